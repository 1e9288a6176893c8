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

// writes returns a generator of non-idempotent requests to the given hosts,
// one in four of them without a key and each other with a key of its own.
func (b *bed) writes(prefix string, timeout string, hosts ...*toucandeploy.Host) func(*rand.Rand) (*toucandeploy.Host, *toucanpb.Query) {
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

// steps runs the steps of a scenario with a pause after each.
func (b *bed) steps(pause time.Duration, steps ...func()) {
	b.t.Helper()
	for _, step := range steps {
		step()
		require.True(b.t, b.pause(pause))
	}
}

// Guards against a refusal that says notrun for a request that ran. The store
// is down in both ways, slow, loses replies after the effect and drops writes;
// targets shed, refuse and get more than they can take.
func TestPromise07NotRunUnderStoreFaultsAndOverload(t *testing.T) {
	b := newBed(t)
	for i := range b.Plan.Services {
		b.Plan.Services[i].Behaviour.Work.Median = toucanspec.Duration(20 * time.Millisecond)
	}
	b.Plan.Args = append(b.Plan.Args, "--claims", "200")
	b.startCovered()
	calm := b.drive(60, b.writes("store", "600ms", b.Hosts...))
	b.steps(900*time.Millisecond,
		func() { b.storeFault(map[string]any{"lose": 15}) },
		func() { b.storeFault(map[string]any{"drop": 15}) },
		func() { b.storeFault(map[string]any{"delay": "250ms"}) },
		func() { b.storeFault(map[string]any{"delay": "250ms", "lose": 15}) },
		func() { b.storeFault(map[string]any{"down": "hang"}) },
		func() { b.storeFault(map[string]any{}) },
		func() { b.storeFault(map[string]any{"down": "refuse"}) },
		func() { b.storeFault(map[string]any{}) },
		func() { b.behave("*", map[string]any{"refuse": true}) },
		func() { b.behave("*", map[string]any{"refuse": false, "shed": true}) },
	)
	all := calm.finish()
	// 40 slots take 400 requests a second of 100 ms each.
	b.behave("*", map[string]any{"work": map[string]any{"median": "100ms"}})
	flood := b.drive(700, b.writes("flood", "400ms", b.Hosts...))
	require.True(t, b.pause(2*time.Second))
	all = append(all, flood.finish()...)
	b.stopHosts()
	ledger := b.ledger()
	ends := tally(all)
	t.Logf("%d requests, ends %v", len(all), ends)
	b.checkOnce(all, ledger)
	b.checkTargets(ledger)
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
	b := newBed(t)
	for i := range b.Plan.Services {
		b.Plan.Services[i].Behaviour.Work.Median = toucanspec.Duration(60 * time.Millisecond)
	}
	b.Plan.Args = append(b.Plan.Args, "--claims", "200")
	b.startCovered()
	frozen, killed, alone := b.host("sierra-1"), b.host("costa-2"), b.host("oriente-1")
	l := b.drive(120, b.writes("lost", "1s", b.Hosts...))
	// shake resets the connections to one host after the other.
	shake := func(rounds int) {
		for range rounds {
			to := b.Hosts[b.random.IntN(len(b.Hosts))]
			for _, from := range b.Hosts {
				if from != to {
					b.links[from.Name][to.Name].reset()
				}
			}
			require.True(t, b.pause(150*time.Millisecond))
		}
	}
	shake(16)
	b.steps(700*time.Millisecond, func() { b.freeze(frozen) }, func() { b.kill(killed) })
	require.True(t, b.pause(2500*time.Millisecond))
	b.steps(700*time.Millisecond, func() { b.thaw(frozen) }, func() { b.freeze(frozen) }, func() { b.thaw(frozen) })
	b.cutHost(alone)
	b.cutStore(toucanzone.Name("costa"))
	require.True(t, b.pause(4*time.Second))
	b.healHost(alone)
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
	b.stopHosts()
	ledger := b.ledger()
	ends := tally(all)
	t.Logf("%d requests, %d legs refused for a lost lease, ends %v", len(all), unleased, ends)
	b.checkOnce(all, ledger)
	b.checkTargets(ledger)
	require.Positive(t, unleased, "the test must see lost leases")
	for _, word := range []string{"done", "notrun/store"} {
		require.Positive(t, ends[word], "the test must see %s", word)
	}
	require.Positive(t, ends["unknown/down"]+ends["unknown/timeout"], "the test must see lost requests")
}
