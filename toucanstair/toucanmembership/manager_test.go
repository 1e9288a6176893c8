package toucanmembership

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanred"
	"toucanstair.example/toucanstair/toucanview"
)

const (
	step  = 20 * time.Millisecond
	limit = 15 * time.Second
)

// trial checks a world step by step. Legs stay at the target when their host
// is paused or dies, so that they outlive their host's lease.
type trial struct {
	*testing.T
	*world
	rnd  *rand.Rand                 // apart from the world's, which other goroutines use
	legs map[slot]map[string]flight // by owner id
}

// flight is a leg at the target.
type flight struct {
	until time.Time
	view  uint64 // of the host when the leg started
}

func newTrial(t *testing.T, seed uint64) *trial {
	return &trial{T: t, world: newWorld(seed), rnd: rand.New(rand.NewPCG(seed, 8)), legs: map[slot]map[string]flight{}}
}

// run checks for d, and returns early once done returns true.
func (r *trial) run(d time.Duration, done func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); {
		<-time.After(step)
		synctest.Wait()
		r.check()
		if done != nil && done() {
			return true
		}
	}
	return false
}

func (r *trial) users(s slot) []*proc {
	return slices.DeleteFunc(r.running("z"), func(p *proc) bool {
		return r.isPaused(p) || !p.MayUse(s.replica, s.number) || !p.LeaseHeld()
	})
}

// check guards against two hosts that may use one slot, and against a leg of
// one host that starts while a leg of another is in flight on the slot.
func (r *trial) check() {
	now := time.Now()
	for _, s := range slots() {
		if r.legs[s] == nil {
			r.legs[s] = map[string]flight{}
		}
		users := r.users(s)
		if len(users) > 1 {
			r.Fatalf("slot %v: %s (view %d) and %s (view %d) may both use it", s, users[0].id(), users[0].View().Number(), users[1].id(), users[1].View().Number())
		}
		for _, p := range users {
			id := string(p.id())
			for other, leg := range r.legs[s] {
				if other != id && now.Before(leg.until) {
					r.Fatalf("slot %v: %s sends while a leg of %s is in flight for %v more", s, id, other, leg.until.Sub(now))
				}
			}
			if now.After(r.legs[s][id].until) && r.rnd.IntN(4) == 0 {
				r.legs[s][id] = flight{now.Add(time.Duration(r.rnd.Int64N(int64(defaultLeg)))), p.View().Number()}
			}
		}
	}
	for _, p := range r.running("z") {
		// The view may change meanwhile; what is checked holds up to the one that
		// was read before.
		view := p.View().Number()
		if !r.isPaused(p) && !r.hasLostLegs(p, now) {
			p.SetReleasedView(view)
		}
	}
}

func (r *trial) hasLostLegs(p *proc, now time.Time) bool {
	for s, legs := range r.legs {
		leg := legs[string(p.id())]
		if now.Before(leg.until) && !p.OwnedSince(s.replica, s.number, leg.view) {
			return true
		}
	}
	return false
}

func (r *trial) isPaused(p *proc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paused[p.set.Name].over != nil
}

func (r *trial) allOwned() bool {
	for _, s := range slots() {
		if len(r.users(s)) != 1 {
			return false
		}
	}
	return true
}

// disturb makes one random change to the world.
func (r *trial) disturb(names []string) {
	a, b := names[r.rnd.IntN(len(names))], names[r.rnd.IntN(len(names))]
	if r.rnd.IntN(4) == 0 {
		b = storeName
	}
	switch r.rnd.IntN(10) {
	case 0:
		r.set(func() { r.cut[[2]string{a, b}] = true })
	case 1:
		r.set(func() { r.cut[[2]string{a, b}], r.cut[[2]string{b, a}] = true, true })
	case 2:
		r.set(func() {
			for _, n := range names {
				r.cut[[2]string{a, n}], r.cut[[2]string{n, a}] = true, true
			}
		})
	case 3, 4:
		r.set(func() { clear(r.cut) })
	case 5, 6:
		r.pause(a)
	case 7:
		r.kill(a)
	case 8:
		r.set(func() { r.down = !r.down; r.loss = float64(r.rnd.IntN(3)) * 0.1; r.noise = r.loss })
	case 9:
		if r.procs[a] == nil {
			r.start(a, "z", "y0")
		}
	}
}

// pause stops or resumes a process. A host of a larger zone that was paused
// for the term of its lease must not be able to send on waking.
func (r *trial) pause(name string) {
	p := r.procs[name]
	if p == nil {
		return
	}
	if n, ok := r.paused[name]; ok {
		if time.Since(n.start) >= p.set.LeaseTerm && len(p.View().Members()) > 1 {
			require.False(r, p.LeaseHeld(), "a paused host holds its lease on waking")
		}
		r.set(func() { r.resume(name) })
		return
	}
	r.set(func() { r.paused[name] = pause{time.Now(), make(chan struct{})} })
}

func seeds(t *testing.T) []uint64 {
	if s := os.Getenv("TOUCAN_SEED"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		require.NoError(t, err)
		return []uint64{n}
	}
	n, _ := strconv.Atoi(os.Getenv("TOUCAN_RUNS"))
	var out []uint64
	for i := range max(n, 20) {
		out = append(out, uint64(i+1))
	}
	return out
}

// Guards against two users of a slot, and against a slot without a user 15 s
// after healing, under random cuts, pauses, crashes, losses and outages.
func TestRandomFaults(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			entry, err := toucanred.Known("../../KNOWN-RED.txt", t.Name())
			require.NoError(t, err)
			if entry != "" {
				t.Skipf("KNOWN-RED.txt: %s", entry)
			}
			synctest.Test(t, func(t *testing.T) {
				r := newTrial(t, seed)
				defer r.stop()
				names := r.zones(2 + int(seed%5))
				for range 40 {
					r.run(time.Duration(r.rnd.Int64N(int64(4*time.Second))), nil)
					r.disturb(names)
				}
				r.heal()
				for _, n := range names {
					if r.procs[n] == nil {
						r.start(n, "z", "y0")
					}
				}
				healed := time.Now()
				require.True(t, r.run(limit, r.allOwned), "a slot has no user 15 s after healing: %v", r.state())
				t.Logf("healed in %v", time.Since(healed))
			})
		})
	}
}

// zones starts n hosts of zone z and three of zone y, and waits until they
// serve.
func (r *trial) zones(n int) []string {
	for i := range 3 {
		r.start(fmt.Sprint("y", i), "y", "z0")
	}
	r.run(3*time.Second, nil)
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("z", i))
		r.start(names[i], "z", "y0")
	}
	require.True(r, r.run(limit, func() bool {
		return r.allOwned() && len(r.running("z")[0].View().Members()) == n
	}), "no start: %v", r.state())
	r.run(3*time.Second, nil)
	return names
}

func (r *trial) state() []string {
	var out []string
	for _, p := range r.running("z") {
		out = append(out, fmt.Sprint(p.id(), " joined ", p.Joined(), " view ", p.View().Number(), " members ", len(p.View().Members()),
			" lease ", p.LeaseHeld(), " released ", p.released.Load(), " paused ", r.isPaused(p)))
	}
	for _, s := range slots() {
		for _, p := range r.running("z") {
			if o, ok := p.Owner(s.replica, s.number); ok && o.GetId() == string(p.id()) && !p.MayUse(s.replica, s.number) {
				out = append(out, fmt.Sprint(s, " not free for ", p.id()))
			}
		}
	}
	return out
}

func scenario(t *testing.T, n int, f func(r *trial, names []string)) {
	synctest.Test(t, func(t *testing.T) {
		r := newTrial(t, 1)
		defer r.stop()
		f(r, r.zones(n))
	})
}

// Guards against leases that depend on the store.
func TestLeasesSurviveStoreOutage(t *testing.T) {
	scenario(t, 4, func(r *trial, _ []string) {
		r.set(func() { r.down = true })
		r.run(time.Minute, func() bool {
			require.True(r, r.allOwned())
			return false
		})
	})
}

// Guards against a paused host that is lost for good: it comes back under its
// id when it was not removed, and under a new one when it was.
func TestPausedHost(t *testing.T) {
	for _, down := range []bool{false, true} {
		scenario(t, 3, func(r *trial, names []string) {
			r.set(func() { r.down = down })
			id := r.procs[names[0]].id()
			r.pause(names[0])
			r.run(10*time.Second, nil)
			require.Equal(r, !down, r.procs[names[1]].View().Member(id) == nil)
			if !down {
				require.True(r, r.allOwned(), "the others did not take over: %v", r.state())
			}
			r.pause(names[0])
			require.True(r, r.run(limit, func() bool { return r.procs[names[0]].LeaseHeld() && r.allOwned() }), r.state())
			require.Equal(r, down, r.procs[names[0]].id() == id)
		})
	}
}

// Guards against a lease counted from the arrival of acknowledgements: those
// that wait for a paused host must not let it send when others have its slots.
func TestLateAcknowledgements(t *testing.T) {
	scenario(t, 3, func(r *trial, names []string) {
		r.set(func() { r.lag, r.pauseDue = 200*time.Millisecond, names[0] })
		require.True(r, r.run(limit, func() bool { return r.isPaused(r.procs[names[0]]) }))
		r.run(10*time.Second, nil)
		require.True(r, r.allOwned(), r.state())
		r.pause(names[0])
		r.run(2*time.Second, nil)
	})
}

// Guards against a slot that stays in use although another host had it under a
// view that this host skipped.
func TestGrantNotCarriedOverAfterOtherOwner(t *testing.T) {
	a, b := &toucanpb.Member{Id: "a/1", Name: "a", Zone: "z"}, &toucanpb.Member{Id: "b/1", Name: "b", Zone: "z"}
	first := toucanview.View{}.Join("z", a, nil)
	second := first.Join("z", b, nil)
	third := second.Remove("b/1", toucanpb.Removal_CAUSE_VOTED, nil)
	for _, s := range slots() {
		prev, next := newStanding(first, "a/1"), newStanding(third, "a/1")
		prev.holding(s.replica).granted.Store(3)
		next.prev.Store(prev)
		between, _ := second.Owner(s.replica, s.number)
		kept := next.holding(s.replica).granted.Load()&(1<<s.number) != 0
		assert.Equal(t, between.GetId() == "a/1", kept)
	}
}

// Guards against a release that covers a leg on a slot that another host had
// under a view that this host skipped.
func TestOwnedSinceWithSkippedViews(t *testing.T) {
	a, b := &toucanpb.Member{Id: "a/1", Name: "a", Zone: "z"}, &toucanpb.Member{Id: "b/1", Name: "b", Zone: "z"}
	first := toucanview.View{}.Join("z", a, nil)
	second := first.Join("z", b, nil)
	third := second.Remove("b/1", toucanpb.Removal_CAUSE_VOTED, nil)
	m := New(Settings{Name: "a", Zone: "z"})
	m.standing.Store(newStanding(third, "a/1"))
	lost := 0
	for _, s := range slots() {
		between, _ := second.Owner(s.replica, s.number)
		assert.Equal(t, between.GetId() == "a/1", m.OwnedSince(s.replica, s.number, first.Number()))
		assert.True(t, m.OwnedSince(s.replica, s.number, second.Number()))
		if between.GetId() != "a/1" {
			lost++
		}
	}
	assert.Positive(t, lost)
	for range toucanview.MaxEarlierViews {
		third = third.ReplaceWitness(nil)
	}
	m.standing.Store(newStanding(third, "a/1"))
	assert.False(t, m.OwnedSince("r0", 0, first.Number()), "views that are not listed any more may have had another owner")
}

// Guards against slots that stay unused after a crash, a restart, or the loss
// of the majority of a zone.
func TestCrash(t *testing.T) {
	scenario(t, 4, func(r *trial, names []string) {
		r.kill(names[0])
		require.True(r, r.run(10*time.Second, r.gone(names[0])), r.state())
		r.kill(names[1])
		r.start(names[1], "z", "y0")
		require.True(r, r.run(8*time.Second, r.allOwned), r.state())
		r.kill(names[1])
		r.kill(names[2])
		require.True(r, r.run(time.Minute, r.allOwned), r.state())
	})
}

func (r *trial) gone(name string) func() bool {
	return func() bool { return r.allOwned() && r.running("z")[0].View().MemberByName(name) == nil }
}

// Guards against a leaving host whose slots wait for a lease, and against a
// Leave that does not end when the store is down.
func TestLeave(t *testing.T) {
	scenario(t, 4, func(r *trial, names []string) {
		r.legs = map[slot]map[string]flight{}
		require.NoError(r, r.procs[names[0]].Leave(r.Context()))
		r.kill(names[0])
		require.True(r, r.run(4500*time.Millisecond, r.gone(names[0])), r.state())
		r.set(func() { r.down = true })
		start := time.Now()
		require.Error(r, r.procs[names[1]].Leave(r.Context()))
		require.Less(r, time.Since(start), defaultFarewell+callLimit+time.Second)
		require.False(r, r.procs[names[1]].LeaseHeld())
	})
}

// Guards against a 2-host zone that one failure stops although its witness
// lives, and against two halves that both go on when all are cut off.
func TestTwoHostZone(t *testing.T) {
	scenario(t, 2, func(r *trial, names []string) {
		w := r.procs[names[0]].View().Witness()
		require.NotNil(r, w)
		r.kill(w.GetName())
		require.True(r, r.run(30*time.Second, func() bool {
			next := r.procs[names[0]].View().Witness()
			return next != nil && next.GetId() != w.GetId()
		}), "a dead witness stays")
		// A host that dies before anybody knows that it holds the new view could
		// still be acknowledged by the old witness.
		r.run(2*time.Second, nil)
		r.kill(names[0])
		require.True(r, r.run(10*time.Second, r.gone(names[0])), r.state())
		r.start(names[0], "z", "y1")
		require.True(r, r.run(limit, func() bool { return r.allOwned() && r.procs[names[1]].View().Witness() != nil }), r.state())
		for _, a := range names {
			for _, b := range []string{names[0], names[1], "y0", "y1", "y2", storeName} {
				r.set(func() { r.cut[[2]string{a, b}], r.cut[[2]string{b, a}] = true, true })
			}
		}
		r.run(4*time.Second, nil)
		assert.False(r, r.procs[names[0]].LeaseHeld())
		assert.False(r, r.procs[names[1]].LeaseHeld())
	})
}

// Guards against two processes of one name that replace each other for ever.
func TestReplacedProcessStops(t *testing.T) {
	scenario(t, 3, func(r *trial, names []string) {
		old := r.procs[names[0]]
		r.start(names[0], "z", "y0")
		require.True(r, r.run(limit, func() bool { return len(old.done) > 0 }))
		err := <-old.done
		r.all = slices.DeleteFunc(r.all, func(p *proc) bool { return p == old })
		f := toucanfault.As(err)
		require.NotNil(r, f)
		assert.Equal(r, toucanpb.Code_CODE_CONFLICT, f.Code)
		assert.False(r, old.LeaseHeld())
		old.cancel()
	})
}

// Guards against a large zone that beats at the full rate, and against leases
// or members that are lost at half the rate when messages are.
func TestLargeZoneHeartbeatsAtHalfRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(11)
		for i := range slowZone {
			w.start(fmt.Sprintf("h%02d", i), "sierra")
			<-time.After(50 * time.Millisecond)
		}
		<-time.After(30 * time.Second)
		ps := w.running("sierra")
		number := ps[0].View().Number()
		count := func(span time.Duration) float64 {
			w.set(func() { w.beats = 0 })
			<-time.After(span)
			w.mu.Lock()
			defer w.mu.Unlock()
			return float64(w.beats) / span.Seconds() / slowZone
		}
		rate := count(20 * time.Second)
		require.Less(t, rate, 5.2, "4 voters and a random member each second")
		require.Greater(t, rate, 4.5)
		w.set(func() { w.loss = 0.05 })
		for range 300 {
			<-time.After(100 * time.Millisecond)
			for _, p := range ps {
				require.True(t, p.LeaseHeld())
			}
		}
		for _, p := range ps {
			require.Equal(t, number, p.View().Number())
		}
		w.stop()
	})
}
