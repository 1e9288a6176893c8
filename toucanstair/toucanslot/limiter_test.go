package toucanslot_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/toucanstair/toucancatalog"
	"toucanstair.example/toucanstair/toucanslot"
)

const replica = toucanreplica.ID("r")

// zone is a fixed membership in which member i owns slot i.
type zone struct {
	mu      sync.Mutex
	members []*toucanpb.Member
	skipped uint64 // a view under which other hosts had all slots, which no host saw
}

func (z *zone) owner(slot int) (*toucanpb.Member, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if slot >= len(z.members) {
		return nil, false
	}
	return z.members[slot], true
}

type host struct {
	zone *zone
	self *toucanpb.Member
}

func (h host) Self() *toucanpb.Member { return h.self }

func (h host) Owner(_ toucanreplica.ID, slot int) (*toucanpb.Member, bool) { return h.zone.owner(slot) }

func (h host) MayUse(_ toucanreplica.ID, slot int) bool {
	m, ok := h.zone.owner(slot)
	return ok && m.GetId() == h.self.GetId()
}

func (h host) OwnedSince(_ toucanreplica.ID, slot int, since uint64) bool {
	h.zone.mu.Lock()
	defer h.zone.mu.Unlock()
	return slot < len(h.zone.members) && h.zone.members[slot].GetId() == h.self.GetId() && h.zone.skipped <= since
}

func (h host) Catalog() *toucancatalog.Catalog {
	return toucancatalog.New(&toucanpb.Rules{Services: []*toucanpb.Service{{
		Name: "s", Slots: 3, Shards: 1, Replicas: []*toucanpb.Replica{{Id: string(replica)}},
	}}})
}

const announceTime = 2 * time.Millisecond

func tables(n int) (*zone, []*toucanslot.Limiter) {
	z := &zone{}
	byID := map[string]*toucanslot.Limiter{}
	out := make([]*toucanslot.Limiter, n)
	for i := range out {
		m := &toucanpb.Member{Id: fmt.Sprint("h", i)}
		z.members = append(z.members, m)
		h := host{z, m}
		out[i] = &toucanslot.Limiter{Membership: h, Configuration: h}
		out[i].Announce = func(to *toucanpb.Member, o []*toucanpb.Opening) {
			time.AfterFunc(announceTime, func() { byID[to.GetId()].Accept(m, &toucanpb.Gossip{Openings: o}) })
		}
		byID[m.GetId()] = out[i]
	}
	return z, out
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a cold target that gets more requests at once than the
// leader opened, before and after a restart, and a warm one more than it has
// slots; and against slots that never open.
func TestOpenSlotsBoundConcurrentRequests(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	synctest.Test(t, func(t *testing.T) {
		_, ts := tables(3)
		ctx, stop := context.WithCancel(t.Context())
		var ends []<-chan error
		for _, table := range ts {
			ends = append(ends, table.Run(ctx))
		}
		var mu sync.Mutex
		var clients sync.WaitGroup
		active, most, served, boot, restart := 0, 0, 0, "b1", time.Now()
		for c := range 12 {
			rng := rand.New(rand.NewPCG(seed, uint64(c)))
			clients.Go(func() {
				for ctx.Err() == nil {
					table := ts[rng.IntN(3)]
					permit, err := table.Acquire(within(t, 50*time.Millisecond), replica)
					if err != nil {
						<-time.After(time.Millisecond)
						continue
					}
					mu.Lock()
					active++
					most = max(most, active)
					// The leader sees a restart within two requests of 4 ms and tells it in
					// 2 ms; what others sent before ends 4 ms later. The bound is counted
					// here and not taken from the tables.
					if bound := min(3, 1+served/8); time.Since(restart) > 15*time.Millisecond && active > bound {
						t.Errorf("%d requests at once after %d responses to the leader, seed %d", active, served, seed)
						stop()
					}
					b := boot
					mu.Unlock()
					took := time.Duration(1+rng.IntN(4)) * time.Millisecond
					<-time.After(took)
					mu.Lock()
					active--
					if table == ts[0] {
						served++
					}
					mu.Unlock()
					table.ObserveResponse(replica, b, "ready")
					permit.Done(true, took)
				}
			})
		}
		for round := range 5 {
			<-time.After(2 * time.Second)
			mu.Lock()
			if open := ts[0].OpenSlots(replica); open != 3 || most != 3 && round > 0 || ts[0].IsCold(replica) {
				t.Errorf("round %d: %d open, at most %d requests at once, seed %d", round, open, most, seed)
			}
			boot, restart, most, served = fmt.Sprint("b", round+2), time.Now(), 0, 0
			mu.Unlock()
		}
		stop()
		clients.Wait()
		for _, e := range ends {
			require.NoError(t, <-e)
		}
	})
}

func warm(ts []*toucanslot.Limiter, t *testing.T, n int) {
	for range n {
		p, err := ts[0].Acquire(t.Context(), replica)
		require.NoError(t, err)
		p.Done(true, time.Millisecond)
	}
	<-time.After(2 * announceTime)
}

// Guards against an owner that uses a slot without hearing from the leader,
// and against cold signs that do not reach the leader.
func TestOwnerClosesSlotWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, ts := tables(3)
		_, err := ts[1].Acquire(t.Context(), replica)
		require.Equal(t, toucanpb.Code_CODE_LEASE, toucanfault.As(err).Code)
		warm(ts, t, 16)
		require.Equal(t, 3, ts[2].OpenSlots(replica))
		<-time.After(3 * time.Second)
		require.Equal(t, 1, ts[2].OpenSlots(replica))
		require.Equal(t, 3, ts[0].OpenSlots(replica))
		var g toucanpb.Gossip
		ts[0].Offer(&toucanpb.Member{Id: "h2"}, &g)
		ts[2].Accept(&toucanpb.Member{Id: "h0"}, &g)
		require.Equal(t, 3, ts[2].OpenSlots(replica))
		for range 10 {
			p, err := ts[2].Acquire(t.Context(), replica)
			require.NoError(t, err)
			p.Done(true, time.Millisecond)
		}
		for range 3 {
			p, err := ts[2].Acquire(t.Context(), replica)
			require.NoError(t, err)
			p.Done(true, 30*time.Millisecond)
		}
		require.Equal(t, 1, ts[2].OpenSlots(replica))
		<-time.After(2 * announceTime)
		require.Equal(t, 1, ts[0].OpenSlots(replica))
	})
}

// Guards against a warm replica that is lost with its leader, against slots that
// stay open without any sign that the target is warm, and against an owner
// that goes on after a cold sign when no leader can tell it more.
func TestOwnerKeepsSlotOfWarmTargetWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, ts := tables(3)
		warm(ts, t, 16)
		ts[2].ObserveResponse(replica, "b1", "ready")
		require.False(t, ts[2].IsLeaderless(replica))
		for range 10 {
			<-time.After(time.Second)
			ts[2].ObserveHealth(replica, "b1", "ready")
			require.Equal(t, 3, ts[2].OpenSlots(replica))
		}
		require.True(t, ts[2].IsLeaderless(replica))
		<-time.After(3 * time.Second)
		require.Equal(t, 1, ts[2].OpenSlots(replica))
		ts[2].ObserveHealth(replica, "b1", "ready")
		require.Equal(t, 3, ts[2].OpenSlots(replica))
		ts[2].ObserveHealth(replica, "b2", "ready")
		require.Equal(t, 1, ts[2].OpenSlots(replica))
		ts[2].ObserveHealth(replica, "b2", "ready")
		require.Equal(t, 1, ts[2].OpenSlots(replica))
	})
}

// Guards against owners that send to a draining target because only the
// leader saw its state.
func TestLeaderAnnouncesDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, ts := tables(3)
		warm(ts, t, 16)
		ts[0].ObserveResponse(replica, "", "draining")
		<-time.After(2 * announceTime)
		require.True(t, ts[2].IsDraining(replica))
		_, err := ts[2].Acquire(t.Context(), replica)
		require.Equal(t, toucanpb.Code_CODE_REFUSED, toucanfault.As(err).Code)
		ts[0].ObserveResponse(replica, "", "ready")
		<-time.After(2 * announceTime)
		require.False(t, ts[2].IsDraining(replica))
	})
}

// Guards against a draining target that gets work again because its health
// endpoint says ready, or because only an owner that does not lead saw it.
func TestHealthDoesNotEndDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, ts := tables(3)
		warm(ts, t, 16)
		ts[0].ObserveResponse(replica, "a", "ready")
		ts[2].ObserveResponse(replica, "a", "draining")
		<-time.After(4 * announceTime)
		for range 3 {
			ts[0].ObserveHealth(replica, "a", "ready")
			<-time.After(2 * announceTime)
			for _, table := range ts {
				require.True(t, table.IsDraining(replica))
			}
		}
		ts[0].ObserveHealth(replica, "a", "draining")
		ts[0].ObserveHealth(replica, "a", "ready")
		<-time.After(2 * announceTime)
		for _, table := range ts {
			require.False(t, table.IsDraining(replica), "health has caught up")
		}
		ts[0].ObserveResponse(replica, "a", "draining")
		ts[0].ObserveHealth(replica, "b", "ready")
		require.False(t, ts[0].IsDraining(replica), "the target restarted")
	})
}

// Guards against a leg that is reported as not run and later gets a permit,
// an unbounded queue, and waiting that loses the order.
func TestQueueIsBoundedAndOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, ts := tables(1)
		table := ts[0]
		held, err := table.Acquire(t.Context(), replica)
		require.NoError(t, err)
		_, err = table.Acquire(within(t, 10*time.Millisecond), replica)
		require.Equal(t, toucanpb.Code_CODE_TIMEOUT, toucanfault.As(err).Code)
		require.Equal(t, toucanpb.Outcome_OUTCOME_NOTRUN, toucanfault.As(err).Outcome)
		require.Equal(t, 1, table.Outstanding(replica))
		order := make(chan int, 16)
		for i := range 16 {
			go func() {
				p, err := table.Acquire(t.Context(), replica)
				if err == nil {
					order <- i
					p.Cancel()
				}
			}()
			synctest.Wait()
		}
		require.Equal(t, 17, table.Outstanding(replica))
		_, err = table.Acquire(within(t, time.Millisecond), replica)
		require.Equal(t, toucanpb.Code_CODE_OVERLOAD, toucanfault.As(err).Code)
		held.Done(true, time.Millisecond)
		for i := range 16 {
			require.Equal(t, i, <-order)
		}
		synctest.Wait()
		require.Zero(t, table.Outstanding(replica))
	})
}

// Guards against a view reported as released while a request is in flight on a
// slot that another host had under a view that this host skipped.
func TestReleaseWaitsForSkippedViews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z, ts := tables(1)
		var view, released atomic.Uint64
		view.Store(1)
		ts[0].CurrentView = view.Load
		ts[0].OnViewReleased = released.Store
		ctx, stop := context.WithCancel(t.Context())
		end := ts[0].Run(ctx)
		p, err := ts[0].Acquire(ctx, replica)
		require.NoError(t, err)
		z.mu.Lock()
		z.skipped = 2
		z.mu.Unlock()
		view.Store(3)
		<-time.After(time.Second)
		require.Zero(t, released.Load())
		p.Cancel()
		p, err = ts[0].Acquire(ctx, replica)
		require.NoError(t, err)
		<-time.After(time.Second)
		require.Equal(t, uint64(3), released.Load())
		p.Cancel()
		stop()
		require.NoError(t, <-end)
	})
}

// Guards against a view reported as released while a request on a lost slot
// is in flight, and against new work for a draining target.
func TestReleaseWaitsForLostSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z, ts := tables(2)
		var mu sync.Mutex
		view, released := uint64(1), uint64(0)
		ts[0].CurrentView = func() uint64 { mu.Lock(); defer mu.Unlock(); return view }
		ts[0].OnViewReleased = func(v uint64) { mu.Lock(); defer mu.Unlock(); released = v }
		told := func() uint64 { mu.Lock(); defer mu.Unlock(); return released }
		ctx, stop := context.WithCancel(t.Context())
		end := ts[0].Run(ctx)
		p, err := ts[0].Acquire(ctx, replica)
		require.NoError(t, err)
		z.mu.Lock()
		z.members = z.members[1:]
		z.mu.Unlock()
		mu.Lock()
		view = 2
		mu.Unlock()
		<-time.After(time.Second)
		require.Equal(t, 1, ts[0].LostPermits())
		require.Equal(t, uint64(0), told()) // the first tick came after the view change
		p.Cancel()
		<-time.After(time.Second)
		require.Equal(t, uint64(2), told())
		ts[1].ObserveResponse(replica, "b", "draining")
		_, err = ts[1].Acquire(ctx, replica)
		require.Equal(t, toucanpb.Code_CODE_REFUSED, toucanfault.As(err).Code)
		stop()
		require.NoError(t, <-end)
	})
}
