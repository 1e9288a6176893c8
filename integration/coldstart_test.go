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

// saturatingWorkTime and saturatingRate (queries a second to both services
// together) make targets use all their slots; the tests require that at least 10
// of them do. A query goes to all shards of one service, and at this work time the
// 10 shards with 2 replicas of 2 slots serve 200 queries a second of each service.
const (
	saturatingWorkTime = 20 * time.Millisecond
	saturatingRate     = 150
)

// slotReassignmentTime is how long slots take to get a new owner after a member
// was removed: the new owner waits until the lease of the removed member, 3 s, has
// expired and the longest leg, 2 s, has ended.
const slotReassignmentTime = 6 * time.Second

// waitForMembers waits until the view of a host has n members.
func (b *testbed) waitForMembers(h *toucandeploy.Host, n int) {
	b.t.Helper()
	b.eventually(fmt.Sprintf("%d members in the view of %s", n, h.Name), func() bool {
		var s struct{ View struct{ Members []string } }
		return b.state(h, &s) == nil && len(s.View.Members) == n
	})
}

// waitForWitness waits until all hosts of a zone hold the same view, with n
// members and a witness, and have told each other by heartbeat. A member that may
// still hold a view in which it is alone can't be removed by vote.
func (b *testbed) waitForWitness(zone toucanzone.Name, n int) {
	b.t.Helper()
	b.eventually("same view with a witness in "+string(zone), func() bool {
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
	const fourHeartbeats = 2 * time.Second // one is sent every 500 ms
	require.True(b.t, b.sleep(fourHeartbeats))
}

// stopSaturatingLoad stops the load and the hosts, checks that at least 10 targets
// were saturated and none had more legs than slots, and returns the final ledger.
func (b *testbed) stopSaturatingLoad(l *load) map[string]toucanspec.Record {
	b.t.Helper()
	all := l.finish()
	b.stopAllHosts()
	ledger := b.ledger()
	b.t.Logf("results %v", countResults(all))
	b.checkSaturated(ledger, 10)
	b.checkSlotsAndConnections(ledger)
	return ledger
}

// startSaturatingLoad sends searches with saturatingTimeout at saturatingRate.
func (b *testbed) startSaturatingLoad() *load {
	next := b.searchRequests(b.Hosts, broadQuery)
	return b.startLoad(saturatingRate, func(r *rand.Rand) (*toucandeploy.Host, *toucanpb.Query) {
		h, q := next(r)
		return h, b.withSaturatingTimeout(q)
	})
}

// checkColdStarts checks replicas that turned cold under load. Legs that were in
// flight then may run concurrently, but no legs that were sent after the owners of
// the slots knew of the cold start.
func (b *testbed) checkColdStarts(ledger map[string]toucanspec.Record, ids []string) {
	b.t.Helper()
	concurrent := 0
	for _, id := range ids {
		r := ledger[id]
		require.NotNil(b.t, r.ColdStartAt, id)
		require.NotNil(b.t, r.ColdReportedAt, "no response of %s reported its cold start", id)
		if r.ConcurrentWhileCold.Count == 0 {
			continue
		}
		concurrent++
		lastConcurrent := time.Duration(r.ConcurrentWhileCold.Last - *r.ColdReportedAt)
		b.t.Logf("%s: cold at %v, reported after %v, %d legs ran beside another one, the last %v after the report, %d crashes",
			id, time.Duration(*r.ColdStartAt), time.Duration(*r.ColdReportedAt-*r.ColdStartAt), r.ConcurrentWhileCold.Count, lastConcurrent, r.Crashes)
		require.Less(b.t, lastConcurrent, coldDetectionTime, "%s got concurrent legs after the owners of its slots knew that it was cold", id)
	}
	b.t.Logf("%d of %d replicas got concurrent legs before their cold start was known", concurrent, len(ids))
}

// Guards against overload of the targets of a zone that all lose their caches at
// once: every replica of a zone restarts under saturating load and stays cold for
// 8 responses (the count of the plan), but for at most 4 s. All of them report both
// a new boot id and the cold state.
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

// Guards against targets that turn cold unannounced and get concurrent legs after
// a response reported it. One replica after the other turns cold under saturating
// load. Some report only a new boot id, some only the state; some shed excess legs
// and others crash.
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

// Guards against a restart of all hosts that uses all slots and connections of the
// targets at once: all hosts are killed under saturating load, the targets are
// cold when the hosts start again, and the load continues throughout.
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
	b.eventually("no open connection and no leg in flight at the targets", func() bool {
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
		require.Greater(t, r.Requests, before[id].Requests, "%s got no requests after the restart", id)
		require.LessOrEqual(t, r.MaxOpenConnectionsCold, 1, "connections of %s in cold start", id)
	}
}

// Guards against a slot that two hosts use while its owner changes. A host is
// killed under saturating load and starts again while its slots are reassigned to
// the other host of its zone. Then the other host is suspended until its slots are
// reassigned, and resumes with a stale view.
func TestPromise03SlotReassignment(t *testing.T) {
	b := newTestbed(t)
	b.planWorkTime(saturatingWorkTime)
	b.startWithFullCoverage()
	l := b.startSaturatingLoad()
	require.True(t, b.sleep(time.Second))
	// Both are of one zone, so that the witnesses of the second reassignment, in
	// other zones, are alive.
	killed, suspended := b.host("sierra-2"), b.host("sierra-1")
	b.kill(killed)
	b.waitForMembers(suspended, 1)
	b.restart(killed)
	require.NoError(t, b.WaitReady(b.ctx))
	b.waitForWitness(killed.Zone, 2)
	b.checkInFlightLimits(b.ledger())
	b.suspend(suspended)
	b.waitForMembers(killed, 1)
	require.True(t, b.sleep(slotReassignmentTime))
	b.checkInFlightLimits(b.ledger())
	b.resume(suspended)
	require.True(t, b.sleep(time.Second))
	for _, h := range b.Hosts {
		b.waitForFullCoverage(h)
	}
	require.True(t, b.sleep(time.Second))
	b.checkInFlightLimits(b.stopSaturatingLoad(l))
}

// Guards against a split brain in a zone, in which both sides use the same slots:
// the two hosts of a zone are partitioned from each other under saturating load,
// while each still reaches the targets, the store and the other zones. Later the
// partition heals.
func TestPromise03ZonePartitioned(t *testing.T) {
	b := newTestbed(t)
	b.planWorkTime(saturatingWorkTime)
	b.startWithFullCoverage()
	l := b.startSaturatingLoad()
	require.True(t, b.sleep(2*time.Second))
	outgoing, incoming := b.peerProxies["sierra-1"]["sierra-2"], b.peerProxies["sierra-2"]["sierra-1"]
	outgoing.partition()
	incoming.partition()
	require.True(t, b.sleep(10*time.Second))
	b.checkInFlightLimits(b.ledger())
	outgoing.heal()
	incoming.heal()
	for _, h := range b.Hosts {
		b.waitForFullCoverage(h)
	}
	require.True(t, b.sleep(3*time.Second))
	b.checkInFlightLimits(b.stopSaturatingLoad(l))
}

// Guards against an isolated host that keeps using slots that were reassigned,
// because it can't learn of it: a host is partitioned from its peers and the store
// under saturating load, but still reaches its callers and the targets.
func TestPromise03IsolatedHostWithoutStore(t *testing.T) {
	b := newTestbed(t)
	b.planWorkTime(saturatingWorkTime)
	const name = "sierra-1"
	b.hostStoreProxies[name] = nil
	b.startWithFullCoverage()
	l := b.startSaturatingLoad()
	require.True(t, b.sleep(2*time.Second))
	h, neighbour := b.host(name), b.host("sierra-2")
	b.isolateHost(h)
	b.hostStoreProxies[name].partition()
	b.waitForMembers(neighbour, 1)
	require.True(t, b.sleep(slotReassignmentTime))
	b.checkInFlightLimits(b.ledger())
	b.reconnectHost(h)
	b.hostStoreProxies[name].heal()
	b.waitForMembers(neighbour, 2)
	for _, h := range b.Hosts {
		b.waitForFullCoverage(h)
	}
	require.True(t, b.sleep(2*time.Second))
	b.checkInFlightLimits(b.stopSaturatingLoad(l))
}

// Guards against a slot that is used again while the target still works on a
// cancelled leg: callers cancel at random times under saturating load, and hedged
// requests are cancelled when the other one is faster.
func TestPromise03CancelledLegs(t *testing.T) {
	b := newTestbed(t)
	b.planWorkTime(saturatingWorkTime)
	for i := range b.Plan.Services {
		b.Plan.Services[i].Behavior.Straggle = toucanspec.Straggle{Share: 0.05, Factor: 8}
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
				callerCtx, cancelCall := context.WithTimeout(ctx, time.Duration(1+random.IntN(60))*time.Millisecond)
				// The result does not matter; the test checks the ledger.
				_, _ = toucandeploy.Search(callerCtx, client, h.Callers, b.withSaturatingTimeout(q))
				cancelCall()
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
	t.Logf("%d cancelled legs, results %v", cancelled, countResults(all))
	require.Greater(t, cancelled, uint64(100), "too few cancelled legs")
	b.checkSaturated(ledger, 10)
	b.checkInFlightLimits(ledger)
	b.checkSlotsAndConnections(ledger)
}
