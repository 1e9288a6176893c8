package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanspec"
)

const (
	// attemptTimeout is how long a caller waits for a result before it sends its
	// key again.
	attemptTimeout = 1500 * time.Millisecond
	maxAttempts    = 5 // for each key
	retryDelay     = 80 * time.Millisecond
)

// startRetryingCallers starts callers that send non-idempotent requests, each
// with a new key, to random hosts. A caller sends a key, to a random host each
// time, until an attempt succeeds or maxAttempts is reached. One key in four is
// also sent concurrently, to a random host. finish stops the callers and returns
// all requests.
func (b *testbed) startRetryingCallers(callers int) (finish func() []request) {
	ctx, stop := context.WithCancel(b.ctx)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var mu sync.Mutex
	var all []request
	send := func(r *rand.Rand, q *toucanpb.Query) bool {
		attemptCtx, cancel := context.WithTimeout(b.ctx, attemptTimeout)
		defer cancel()
		result := sendRequest(attemptCtx, client, b.Hosts[r.IntN(len(b.Hosts))], q)
		mu.Lock()
		defer mu.Unlock()
		all = append(all, result)
		return result.Err == nil
	}
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() {
			r := rand.New(rand.NewPCG(b.seed, 100+uint64(n)))
			for serial := 0; ctx.Err() == nil; serial++ {
				s := b.Plan.Services[r.IntN(len(b.Plan.Services))]
				q := &toucanpb.Query{
					Service: string(s.Name), Route: s.Routes[1].Name, Query: fmt.Sprintf("caller %d write %d,", n, serial),
					Limit: 1, Timeout: "1s", Key: fmt.Sprintf("once-%d-%d", n, serial),
				}
				if r.IntN(4) == 0 {
					duplicateRandom := rand.New(rand.NewPCG(b.seed, r.Uint64()))
					group.Go(func() { send(duplicateRandom, q) })
				}
				for attempt := 0; attempt < maxAttempts && !send(r, q); attempt++ {
					b.sleep(retryDelay)
				}
			}
		})
	}
	end := func() []request {
		stop()
		group.Wait()
		client.CloseIdleConnections()
		return all
	}
	b.t.Cleanup(func() { end() })
	return end
}

// Guards against a key that runs twice. Callers time out and retry their keys at
// random hosts while hosts are killed, or suspended with non-idempotent requests in
// flight and resumed after their lease expired. The store is slow and loses replies
// to writes that it applied, and connections to targets are reset after the
// request was sent.
func TestPromise08AtMostOnce(t *testing.T) {
	b := newTestbed(t)
	b.shouldProxyTarget = func(string) bool { return true }
	for i := range b.Plan.Services {
		b.Plan.Services[i].Behavior.Work.Median = toucanspec.Duration(40 * time.Millisecond)
	}
	// Store writes a second for claims of keys; the default is 50.
	b.Plan.Args = append(b.Plan.Args, "--claims", "500")
	b.startWithFullCoverage()
	// The delay lengthens the time between the claim of a key and the send.
	slowStore := map[string]any{"delay": "15ms"}
	b.setStoreFault(slowStore)
	finish := b.startRetryingCallers(24)
	var replicas []string
	for id := range b.targetProxies {
		replicas = append(replicas, id)
	}
	shuffleSorted(replicas, b.random)
	// injectFaults resets connections to targets and loses store replies, for
	// rounds of 100 ms.
	injectFaults := func(rounds int) {
		for range rounds {
			b.targetProxies[replicas[b.random.IntN(len(replicas))]].resetConnections()
			if b.random.IntN(3) == 0 {
				b.setStoreFault(map[string]any{"delay": "15ms", "lose": 2})
			}
			require.True(t, b.sleep(100*time.Millisecond))
		}
	}
	injectFaults(10)
	suspended, killed := b.host("sierra-1"), b.host("costa-2")
	b.suspend(suspended)
	injectFaults(15)
	b.kill(killed)
	injectFaults(25)
	b.resume(suspended)
	injectFaults(10)
	b.restart(killed)
	b.suspend(b.host("oriente-2"))
	injectFaults(8)
	b.resume(b.host("oriente-2"))
	injectFaults(10)
	b.setStoreFault(map[string]any{})
	all := finish()
	b.stopAllHosts()
	ledger := b.ledger()
	results, ran := countResults(all), 0
	for key, n := range runsByKey(ledger) {
		if key != "" {
			ran += int(n)
		}
	}
	keys := map[string]int{}
	for _, r := range all {
		keys[r.Query.GetKey()]++
	}
	resent := 0
	for _, n := range keys {
		if n > 1 {
			resent++
		}
	}
	t.Logf("%d requests for %d keys, %d keys sent more than once, %d runs, results %v", len(all), len(keys), resent, ran, results)
	b.checkAtMostOnce(all, ledger)
	require.Greater(t, resent, 50, "too few keys were sent more than once")
	for _, result := range []string{"done", "notrun/duplicate", "unknown/down"} {
		require.Positive(t, results[result], "no request ended as %s", result)
	}
}
