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

// nonIdempotentRequests returns a generator of non-idempotent requests to the given hosts,
// one in four of them without a key and each other with a key of its own.
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

// runSteps runs the steps of a scenario with a pause after each.
func (b *testbed) runSteps(pause time.Duration, steps ...func()) {
	b.t.Helper()
	for _, step := range steps {
		step()
		require.True(b.t, b.sleep(pause))
	}
}

// Guards against a refusal that says notrun for a request that ran. The store
// is down in both ways, slow, loses replies after the effect and drops writes;
// targets shed, refuse and get more than they can take.
func TestPromise07NotRunUnderStoreFaultsAndOverload(t *testing.T) {
	b := newTestbed(t)
	for i := range b.Plan.Services {
		b.Plan.Services[i].Behaviour.Work.Median = toucanspec.Duration(20 * time.Millisecond)
	}
	b.Plan.Args = append(b.Plan.Args, "--claims", "200")
	b.startWithFullCoverage()
	calm := b.startLoad(60, b.nonIdempotentRequests("store", "600ms", b.Hosts...))
	b.runSteps(900*time.Millisecond,
		func() { b.storeFault(map[string]any{"lose": 15}) },
		func() { b.storeFault(map[string]any{"drop": 15}) },
		func() { b.storeFault(map[string]any{"delay": "250ms"}) },
		func() { b.storeFault(map[string]any{"delay": "250ms", "lose": 15}) },
		func() { b.storeFault(map[string]any{"down": "hang"}) },
		func() { b.storeFault(map[string]any{}) },
		func() { b.storeFault(map[string]any{"down": "refuse"}) },
		func() { b.storeFault(map[string]any{}) },
		func() { b.changeBehavior("*", map[string]any{"refuse": true}) },
		func() { b.changeBehavior("*", map[string]any{"refuse": false, "shed": true}) },
	)
	all := calm.finish()
	// 40 slots take 400 requests a second of 100 ms each.
	b.changeBehavior("*", map[string]any{"work": map[string]any{"median": "100ms"}})
	flood := b.startLoad(700, b.nonIdempotentRequests("flood", "400ms", b.Hosts...))
	require.True(t, b.sleep(2*time.Second))
	all = append(all, flood.finish()...)
	b.stopAllHosts()
	ledger := b.ledger()
	ends := countResults(all)
	t.Logf("%d requests, ends %v", len(all), ends)
	b.checkAtMostOnce(all, ledger)
	b.checkInFlightLimits(ledger)
	for _, word := range []string{"done", "notrun/store", "notrun/refused", "notrun/overload"} {
		require.Positive(t, ends[word], "the test must see %s", word)
	}
}

// Guards against a refusal that says notrun for a request that ran, when the
// host that has a request is lost: connections between hosts are reset under
// running requests, and hosts are frozen with writes in progress and resumed
// after their lease, killed, cut off from the peers of their zone, and cut off
// from the store.
func TestPromise07NotRunWhenHostsAreLost(t *testing.T) {
	b := newTestbed(t)
	for i := range b.Plan.Services {
		b.Plan.Services[i].Behaviour.Work.Median = toucanspec.Duration(60 * time.Millisecond)
	}
	b.Plan.Args = append(b.Plan.Args, "--claims", "200")
	b.startWithFullCoverage()
	frozen, killed, alone := b.host("sierra-1"), b.host("costa-2"), b.host("oriente-1")
	l := b.startLoad(120, b.nonIdempotentRequests("lost", "1s", b.Hosts...))
	// shake resets the connections to one host after the other.
	shake := func(rounds int) {
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
	shake(16)
	b.runSteps(700*time.Millisecond, func() { b.suspend(frozen) }, func() { b.kill(killed) })
	require.True(t, b.sleep(2500*time.Millisecond))
	b.runSteps(700*time.Millisecond, func() { b.resume(frozen) }, func() { b.suspend(frozen) }, func() { b.resume(frozen) })
	b.isolateHost(alone)
	b.partitionStore(toucanzone.Name("costa"))
	require.True(t, b.sleep(4*time.Second))
	b.reconnectHost(alone)
	b.healStore(toucanzone.Name("costa"))
	b.restart(killed)
	shake(8)
	all := l.finish()
	// The caller's code may be that of the next owner that was asked, so legs
	// refused for a lost lease are counted where the lease is checked.
	unleased := 0
	for _, h := range b.Hosts {
		page, err := b.Get(b.ctx, h.Ops, "/metrics")
		require.NoError(t, err)
		for line := range strings.Lines(string(page)) {
			if n, ok := strings.CutPrefix(line, `toucan_cell_failed_total{code="lease"} `); ok {
				count, err := strconv.Atoi(strings.TrimSpace(n))
				require.NoError(t, err)
				unleased += count
			}
		}
	}
	b.stopAllHosts()
	ledger := b.ledger()
	ends := countResults(all)
	t.Logf("%d requests, %d legs refused for a lost lease, ends %v", len(all), unleased, ends)
	b.checkAtMostOnce(all, ledger)
	b.checkInFlightLimits(ledger)
	require.Positive(t, unleased, "the test must see lost leases")
	for _, word := range []string{"done", "notrun/store"} {
		require.Positive(t, ends[word], "the test must see %s", word)
	}
	require.Positive(t, ends["unknown/down"]+ends["unknown/timeout"], "the test must see lost requests")
}
