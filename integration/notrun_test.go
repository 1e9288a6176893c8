package integration

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucandeploy"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanspec"
	"toucanstair.example/core/toucanzone"
)

// nonIdempotentRequests returns a generator of requests to the given hosts. One
// in four is without a key, the others have unique keys with the given prefix.
func (b *testbed) nonIdempotentRequests(prefix string, timeout string, hosts ...*toucandeploy.Host) func(*rand.Rand) (*toucandeploy.Host, *toucanpb.Query) {
	serial := 0
	return func(r *rand.Rand) (*toucandeploy.Host, *toucanpb.Query) {
		serial++
		s := b.Plan.Services[r.IntN(len(b.Plan.Services))]
		q := &toucanpb.Query{
			Service: string(s.Name), Route: s.Routes[1].Name, Query: fmt.Sprintf("write %s %d,", prefix, serial),
			Limit: 1, Timeout: timeout,
		}
		if r.IntN(4) > 0 {
			q.Key = fmt.Sprintf("%s-%d", prefix, serial)
		}
		return hosts[r.IntN(len(hosts))], q
	}
}

// runSteps runs the steps in order and waits after each.
func (b *testbed) runSteps(pause time.Duration, steps ...func()) {
	b.t.Helper()
	for _, step := range steps {
		step()
		require.True(b.t, b.sleep(pause))
	}
}

// Guards against the outcome notrun for a request that ran. The store hangs,
// refuses connections, is slow, loses replies to writes that it applied and drops
// writes. Targets shed, refuse and are overloaded.
func TestPromise07NotRunUnderStoreFaultsAndOverload(t *testing.T) {
	b := newTestbed(t)
	for i := range b.Plan.Services {
		b.Plan.Services[i].Behavior.Work.Median = toucanspec.Duration(20 * time.Millisecond)
	}
	// Store writes a second for claims of keys; the default is 50.
	b.Plan.Args = append(b.Plan.Args, "--claims", "200")
	b.startWithFullCoverage()
	moderate := b.startLoad(60, b.nonIdempotentRequests("store", "600ms", b.Hosts...))
	b.runSteps(900*time.Millisecond,
		func() { b.setStoreFault(map[string]any{"lose": 15}) },
		func() { b.setStoreFault(map[string]any{"drop": 15}) },
		func() { b.setStoreFault(map[string]any{"delay": "250ms"}) },
		func() { b.setStoreFault(map[string]any{"delay": "250ms", "lose": 15}) },
		func() { b.setStoreFault(map[string]any{"down": "hang"}) },
		func() { b.setStoreFault(map[string]any{}) },
		func() { b.setStoreFault(map[string]any{"down": "refuse"}) },
		func() { b.setStoreFault(map[string]any{}) },
		func() { b.changeBehavior("*", map[string]any{"refuse": true}) },
		func() { b.changeBehavior("*", map[string]any{"refuse": false, "shed": true}) },
	)
	all := moderate.finish()
	// 40 slots serve 400 requests a second of 100 ms each, so 700 are an overload.
	b.changeBehavior("*", map[string]any{"work": map[string]any{"median": "100ms"}})
	overload := b.startLoad(700, b.nonIdempotentRequests("flood", "400ms", b.Hosts...))
	require.True(t, b.sleep(2*time.Second))
	all = append(all, overload.finish()...)
	b.stopAllHosts()
	ledger := b.ledger()
	results := countResults(all)
	t.Logf("%d requests, results %v", len(all), results)
	b.checkAtMostOnce(all, ledger)
	b.checkInFlightLimits(ledger)
	for _, result := range []string{"done", "notrun/store", "notrun/refused", "notrun/overload"} {
		require.Positive(t, results[result], "no request ended as %s", result)
	}
}

// Guards against the outcome notrun for a request that ran when the host that
// sent it is lost. Connections between hosts are reset with requests in flight.
// Hosts are suspended with requests in flight and resumed after their lease
// expired, killed, isolated from all peers, and partitioned from the store.
func TestPromise07NotRunWhenHostsAreLost(t *testing.T) {
	b := newTestbed(t)
	for i := range b.Plan.Services {
		b.Plan.Services[i].Behavior.Work.Median = toucanspec.Duration(60 * time.Millisecond)
	}
	// Store writes a second for claims of keys; the default is 50.
	b.Plan.Args = append(b.Plan.Args, "--claims", "200")
	b.startWithFullCoverage()
	suspended, killed, isolated := b.host("sierra-1"), b.host("costa-2"), b.host("oriente-1")
	l := b.startLoad(120, b.nonIdempotentRequests("lost", "1s", b.Hosts...))
	// resetPeerConnections resets the peer connections of one random host per
	// round of 150 ms.
	resetPeerConnections := func(rounds int) {
		for range rounds {
			to := b.Hosts[b.random.IntN(len(b.Hosts))]
			for _, from := range b.Hosts {
				if from != to {
					b.peerProxies[from.Name][to.Name].resetConnections()
				}
			}
			require.True(t, b.sleep(150*time.Millisecond))
		}
	}
	resetPeerConnections(16)
	b.runSteps(700*time.Millisecond, func() { b.suspend(suspended) }, func() { b.kill(killed) })
	require.True(t, b.sleep(2500*time.Millisecond))
	b.runSteps(700*time.Millisecond, func() { b.resume(suspended) }, func() { b.suspend(suspended) }, func() { b.resume(suspended) })
	b.isolateHost(isolated)
	b.partitionStore(toucanzone.Name("costa"))
	require.True(t, b.sleep(4*time.Second))
	// How many requests meet the zone without its store depends on how the others fare.
	b.eventually("a request refused for the store", func() bool { return countResults(l.completed())["notrun/store"] > 0 })
	b.reconnectHost(isolated)
	b.healStore(toucanzone.Name("costa"))
	b.restart(killed)
	resetPeerConnections(8)
	all := l.finish()
	// The code that the caller gets may come from the next owner that was tried,
	// so legs refused for a lost lease are counted in the hosts' metrics.
	leaseRefusals := 0
	for _, h := range b.Hosts {
		page, err := b.Get(b.ctx, h.Ops, "/metrics")
		require.NoError(t, err)
		for line := range strings.Lines(string(page)) {
			if n, ok := strings.CutPrefix(line, `toucan_cell_failed_total{code="lease"} `); ok {
				count, err := strconv.Atoi(strings.TrimSpace(n))
				require.NoError(t, err)
				leaseRefusals += count
			}
		}
	}
	b.stopAllHosts()
	ledger := b.ledger()
	results := countResults(all)
	t.Logf("%d requests, %d legs refused for a lost lease, results %v", len(all), leaseRefusals, results)
	b.checkAtMostOnce(all, ledger)
	b.checkInFlightLimits(ledger)
	require.Positive(t, leaseRefusals, "no leg was refused for a lost lease")
	for _, result := range []string{"done", "notrun/store"} {
		require.Positive(t, results[result], "no request ended as %s", result)
	}
	require.Positive(t, results["unknown/down"]+results["unknown/timeout"], "no request was lost")
}
