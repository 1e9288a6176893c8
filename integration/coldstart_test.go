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

	"toucanstair.example/core/toucandeploy"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanspec"
	"toucanstair.example/core/toucanzone"
)

// fullWork and fullRate keep all slots of the targets of a bed in use: 10
// shards with 2 replicas of 2 slots bear 200 queries a second, each to half of
// the shards.
const (
	saturatingWorkTime = 20 * time.Millisecond
	saturatingRate     = 150
)

// slotReassignmentTime is how long slots take to move after a member was removed: new owners
// wait for its lease of 3 s and the longest leg of 2 s.
const slotReassignmentTime = 6 * time.Second

// waitForMembers waits until the view of a host has n members.
func (b *testbed) waitForMembers(h *toucandeploy.Host, n int) {
	b.t.Helper()
	b.eventually(fmt.Sprintf("%d members in the view of %s", n, h.Name), func() bool {
		var s struct{ View struct{ Members []string } }
		return b.state(h, &s) == nil && len(s.View.Members) == n
	})
}

// waitForWitness waits until all hosts of a zone hold a view with n members and a
// witness, and have heard so from each other. A member that may still hold a
// view in which it is alone can't be removed by vote.
func (b *testbed) waitForWitness(zone toucanzone.Name, n int) {
	b.t.Helper()
	b.eventually("a witness of "+string(zone), func() bool {
		numbers := map[uint64]bool{}
		for _, h := range b.hostsOf(zone) {
			var s struct {
				View struct {
					Number             uint64
					Members, Witnesses []string
				}
			}
			if b.state(h, &s) != nil || len(s.View.Members) != n || len(s.View.Witnesses) == 0 {
				return false
			}
			numbers[s.View.Number] = true
		}
		return len(numbers) == 1
	})
	const heartbeats = 2 * time.Second // four, every 500 ms
	require.True(b.t, b.sleep(heartbeats))
}

// stopSaturatingLoad ends the load and the hosts, checks that every target was used and
// none above its slots, and returns the final ledger.
func (b *testbed) stopSaturatingLoad(l *load) map[string]toucanspec.Record {
	b.t.Helper()
	all := l.finish()
	b.stopAllHosts()
	ledger := b.ledger()
	b.t.Logf("ends %v", countResults(all))
	b.checkSaturated(ledger, 10)
	b.checkSlotsAndConnections(ledger)
	return ledger
}

// startSaturatingLoad drives searches with short timeouts at fullRate.
func (b *testbed) startSaturatingLoad() *load {
	next := b.searchRequests(b.Hosts, broadQuery)
	return b.startLoad(saturatingRate, func(r *rand.Rand) (*toucandeploy.Host, *toucanpb.Query) {
		h, q := next(r)
		return h, b.withLegTimeout(q)
	})
}

// checkColdStarts checks the cold starts that the test began under load: legs in
// flight at the begin may meet, and nothing that was sent after the owners
// knew of it.
func (b *testbed) checkColdStarts(ledger map[string]toucanspec.Record, ids []string) {
	b.t.Helper()
	concurrent := 0
	for _, id := range ids {
		r := ledger[id]
		require.NotNil(b.t, r.ColdStartAt, id)
		require.NotNil(b.t, r.ColdReportedAt, "no response of %s showed its cold start", id)
		if r.ConcurrentWhileCold.Count == 0 {
			continue
		}
		concurrent++
		last := time.Duration(r.ConcurrentWhileCold.Last - *r.ColdReportedAt)
		b.t.Logf("%s: cold at %v, first sign after %v, %d legs met another one, the last %v after the sign, %d falls",
			id, time.Duration(*r.ColdStartAt), time.Duration(*r.ColdReportedAt-*r.ColdStartAt), r.ConcurrentWhileCold.Count, last, r.Crashes)
		require.Less(b.t, last, coldDetectionTime, "%s got two legs at once after its owners knew that it is cold", id)
	}
	b.t.Logf("%d of %d replicas got two legs at once before their cold start was known", concurrent, len(ids))
}

// Guards against a zone whose targets all lose their caches at once and are
// overrun: every replica of a zone restarts under full load and stays cold for
// 4 s, seen by the boot id in some and by the state in the others.
func TestPromise03WholeZoneColdStart(t *testing.T) {
	b := newTestbed(t)
	b.planWorkTime(saturatingWorkTime)
	b.startWithFullCoverage()
	l := b.startSaturatingLoad()
	require.True(t, b.sleep(3*time.Second))
	const zone = toucanzone.Name("sierra")
	b.checkInFlightLimits(b.ledger())
	b.checkSlotsAndConnections(b.ledger())
	b.changeZoneBehavior(zone, map[string]any{"restart": true, "warm": toucanspec.ColdStart{Time: toucanspec.Duration(4 * time.Second)}})
	require.True(t, b.sleep(7*time.Second))
	b.checkColdStarts(b.stopSaturatingLoad(l), b.replicaIDs(zone))
}

// Guards against targets that turn cold without warning and get more than one
// leg at once after that showed. One replica after the other turns cold under
// full load; some show a new boot id only, some the state only, and some shed
// what is too much while others fall over.
func TestPromise03UnannouncedColdStart(t *testing.T) {
	b := newTestbed(t)
	b.planWorkTime(saturatingWorkTime)
	b.startWithFullCoverage()
	l := b.startSaturatingLoad()
	require.True(t, b.sleep(3*time.Second))
	b.checkInFlightLimits(b.ledger())
	b.checkSlotsAndConnections(b.ledger())
	ids := b.replicaIDs("")
	for i, id := range ids {
		warm := toucanspec.ColdStart{Time: toucanspec.Duration(4 * time.Second), HideState: i%2 == 0}
		action := "chill"
		if warm.HideState {
			action = "restart"
		}
		b.changeBehavior(id, map[string]any{action: true, "warm": warm, "shed": i%4 < 2})
		require.True(t, b.sleep(time.Duration(b.random.IntN(400))*time.Millisecond))
	}
	require.True(t, b.sleep(6*time.Second))
	b.checkColdStarts(b.stopSaturatingLoad(l), ids)
}

// Guards against a restart of all hosts that opens every slot and connection of
// the targets at once: all hosts are killed under full load, the targets are
// cold when the hosts come back, and the load goes on throughout.
func TestPromise03AllHostsRestart(t *testing.T) {
	skipKnownFailure(t)
	b := newTestbed(t)
	b.planWorkTime(saturatingWorkTime)
	b.startWithFullCoverage()
	l := b.startSaturatingLoad()
	require.True(t, b.sleep(2*time.Second))
	for _, h := range b.Hosts {
		b.kill(h)
	}
	b.eventually("no connection and no leg at the targets", func() bool {
		for _, r := range b.ledger() {
			if r.InFlight > 0 || r.OpenConnections > 0 {
				return false
			}
		}
		return true
	})
	before := b.ledger()
	b.checkInFlightLimits(before)
	b.checkSlotsAndConnections(before)
	b.changeBehavior("*", map[string]any{"restart": true, "warm": toucanspec.ColdStart{Count: 8}})
	for _, h := range b.Hosts {
		b.restart(h)
	}
	require.NoError(t, b.WaitReady(b.ctx))
	for _, h := range b.Hosts {
		b.waitForFullCoverage(h)
	}
	require.True(t, b.sleep(3*time.Second))
	ledger := b.stopSaturatingLoad(l)
	b.checkInFlightLimits(ledger)
	for id, r := range ledger {
		require.Zero(t, r.Crashes, id)
		require.Greater(t, r.Requests, before[id].Requests, "%s must be in use again", id)
		require.LessOrEqual(t, r.MaxOpenConnectionsCold, 1, "connections of %s in cold start", id)
	}
}

// Guards against a slot that two hosts use while it moves between them: a host
// is killed under full load and comes back while its slots are on their way to
// the other host of its zone; then the other one is frozen until its
// slots have moved, and resumes with its old view.
func TestPromise03SlotReassignment(t *testing.T) {
	b := newTestbed(t)
	b.planWorkTime(saturatingWorkTime)
	b.startWithFullCoverage()
	l := b.startSaturatingLoad()
	require.True(t, b.sleep(time.Second))
	// Both are of one zone, so that no witness of the second move is dead.
	killed, frozen := b.host("sierra-2"), b.host("sierra-1")
	b.kill(killed)
	b.waitForMembers(frozen, 1)
	b.restart(killed)
	require.NoError(t, b.WaitReady(b.ctx))
	b.waitForWitness(killed.Zone, 2)
	b.checkInFlightLimits(b.ledger())
	b.suspend(frozen)
	b.waitForMembers(killed, 1)
	require.True(t, b.sleep(slotReassignmentTime))
	b.checkInFlightLimits(b.ledger())
	b.resume(frozen)
	require.True(t, b.sleep(time.Second))
	for _, h := range b.Hosts {
		b.waitForFullCoverage(h)
	}
	require.True(t, b.sleep(time.Second))
	b.checkInFlightLimits(b.stopSaturatingLoad(l))
}

// Guards against a zone cut in two halves of hosts that both use the same slots:
// the two hosts of a zone are cut from each other under full load, each still
// reaches the targets, the store and the other zones, and later they meet again.
func TestPromise03ZonePartitioned(t *testing.T) {
	b := newTestbed(t)
	b.planWorkTime(saturatingWorkTime)
	b.startWithFullCoverage()
	l := b.startSaturatingLoad()
	require.True(t, b.sleep(2*time.Second))
	one, two := b.peerProxies["sierra-1"]["sierra-2"], b.peerProxies["sierra-2"]["sierra-1"]
	one.partition()
	two.partition()
	require.True(t, b.sleep(10*time.Second))
	b.checkInFlightLimits(b.ledger())
	one.heal()
	two.heal()
	for _, h := range b.Hosts {
		b.waitForFullCoverage(h)
	}
	require.True(t, b.sleep(3*time.Second))
	b.checkInFlightLimits(b.stopSaturatingLoad(l))
}

// Guards against a half of a zone that goes on with slots that moved to the
// other half because nobody can tell it: a host is cut from its peers and the
// store under full load, but still reaches its callers and the targets.
func TestPromise03IsolatedHostWithoutStore(t *testing.T) {
	b := newTestbed(t)
	b.planWorkTime(saturatingWorkTime)
	const name = "sierra-1"
	b.hostStoreProxies[name] = nil
	b.startWithFullCoverage()
	l := b.startSaturatingLoad()
	require.True(t, b.sleep(2*time.Second))
	h, other := b.host(name), b.host("sierra-2")
	b.isolateHost(h)
	b.hostStoreProxies[name].partition()
	b.waitForMembers(other, 1)
	require.True(t, b.sleep(slotReassignmentTime))
	b.checkInFlightLimits(b.ledger())
	b.reconnectHost(h)
	b.hostStoreProxies[name].heal()
	b.waitForMembers(other, 2)
	for _, h := range b.Hosts {
		b.waitForFullCoverage(h)
	}
	require.True(t, b.sleep(2*time.Second))
	b.checkInFlightLimits(b.stopSaturatingLoad(l))
}

// Guards against a slot that is used again while the target still works on a
// leg that was cancelled: callers go away at any moment under full load, and
// hedges lose.
func TestPromise03CancelledLegs(t *testing.T) {
	b := newTestbed(t)
	b.planWorkTime(saturatingWorkTime)
	for i := range b.Plan.Services {
		b.Plan.Services[i].Behaviour.Straggle = toucanspec.Straggle{Share: 0.05, Factor: 8}
	}
	b.startWithFullCoverage()
	l := b.startSaturatingLoad()
	ctx, stop := context.WithCancel(b.ctx)
	var callers sync.WaitGroup
	for n := range 16 {
		random := rand.New(rand.NewPCG(b.seed, uint64(100+n)))
		callers.Go(func() {
			client := &http.Client{}
			defer client.CloseIdleConnections()
			next := b.searchRequests(b.Hosts, broadQuery)
			for ctx.Err() == nil {
				h, q := next(random)
				gone, leave := context.WithTimeout(ctx, time.Duration(1+random.IntN(60))*time.Millisecond)
				// The end does not matter; the ledger decides.
				_, _ = toucandeploy.Search(gone, client, h.Callers, b.withLegTimeout(q))
				leave()
			}
		})
	}
	require.True(t, b.sleep(8*time.Second))
	stop()
	callers.Wait()
	all := l.finish()
	b.stopAllHosts()
	ledger := b.ledger()
	var cancelled uint64
	for _, r := range ledger {
		cancelled += r.Cancelled
	}
	t.Logf("%d cancelled legs, ends %v", cancelled, countResults(all))
	require.Greater(t, cancelled, uint64(100), "the test must see cancelled legs")
	b.checkSaturated(ledger, 10)
	b.checkInFlightLimits(ledger)
	b.checkSlotsAndConnections(ledger)
}
