package toucancanary_test

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
	"google.golang.org/protobuf/proto"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucancanary"
	"toucanstair.example/toucanstair/toucancatalog"
)

const (
	hosts    = 6
	deadline = 100 * time.Second
	step     = 50 * time.Millisecond
)

type store struct {
	mu    sync.Mutex
	entry *toucanpb.Entry
	down  bool
}

func (s *store) Get(context.Context, string) (*toucanpb.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_STORE, "down")
	}
	return s.entry, nil
}

func (s *store) Put(_ context.Context, key string, value []byte, prev uint64, _ string) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.entry.GetRevision() != prev {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT, key)
	}
	s.entry = &toucanpb.Entry{Key: key, Value: value, Revision: prev + 7}
	return prev + 7, nil
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) state(t *testing.T) *toucanpb.MoveState {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &toucanpb.MoveState{}
	require.NoError(t, proto.Unmarshal(s.entry.GetValue(), m))
	return m
}

// response simulates one response of a version after the start of the move.
type response func(rng *rand.Rand, host int, isNew bool, route string, at time.Duration) (fail bool, took time.Duration)

// healthy fails 1 in 200 requests and takes 4 to 12 ms, 6 times that in 1 of 20.
func healthy(rng *rand.Rand, _ int, _ bool, _ string, _ time.Duration) (bool, time.Duration) {
	took := 4*time.Millisecond + time.Duration(rng.Int64N(int64(8*time.Millisecond)))
	if rng.IntN(20) == 0 {
		took *= 6
	}
	return rng.IntN(200) == 0, took
}

// fleet is a set of controllers that exchange heartbeats and get simulated traffic.
type fleet struct {
	controllers []*toucancanary.Controller
	store       *store
	newAt       []time.Duration // when the new version got a request
	total       int
	began       time.Time
	leader      atomic.Int32
}

func (f *fleet) exchange(rng *rand.Rand) {
	for a := range f.controllers {
		b := rng.IntN(hosts)
		if b == a {
			continue
		}
		from, to := &toucanpb.Member{Id: fmt.Sprint("h", a)}, &toucanpb.Member{Id: fmt.Sprint("h", b)}
		g, back := &toucanpb.Gossip{}, &toucanpb.Gossip{}
		f.controllers[a].Offer(to, g)
		if rng.IntN(10) == 0 {
			continue // the heartbeat is lost
		}
		f.controllers[b].Accept(from, g)
		f.controllers[b].Accept(from, g)
		f.controllers[b].Offer(from, back)
		f.controllers[a].Accept(to, back)
	}
}

// simulate runs a move for span with perStep requests per host every 50 ms, or one
// every 200 ms when perStep is 0.
func simulate(t *testing.T, seed uint64, span time.Duration, perStep int, respond response, each func(at time.Duration, f *fleet)) *fleet {
	return simulateLegs(t, seed, span, perStep, 1, respond, each)
}

// simulateLegs is simulate for requests with several legs, which are observed by
// random hosts and have the same result.
func simulateLegs(t *testing.T, seed uint64, span time.Duration, perStep, legs int, respond response, each func(at time.Duration, f *fleet)) *fleet {
	f := &fleet{store: &store{}}
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 2))
		f.began = time.Now()
		catalog := toucancatalog.New(&toucanpb.Rules{
			Services: []*toucanpb.Service{{Name: "letters", Shards: uint32(legs), Routes: []*toucanpb.Route{{Name: "find"}, {Name: "list"}}}},
			Moves: []*toucanpb.Move{{Name: "m", Service: "letters", From: "v1", To: "v2", Deadline: f.began.Add(deadline).Unix(),
				Start: 0.02, Steps: []float64{0.1, 0.5, 1}, Bound: 0.05, Samples: 100}},
		})
		ctx, cancel := context.WithCancel(t.Context())
		var ends []<-chan error
		for i := range hosts {
			controller := &toucancanary.Controller{SourceID: toucanhost.ID(fmt.Sprint("h", i)), Store: f.store,
				Catalog: func() *toucancatalog.Catalog { return catalog }, IsLeader: func() bool { return int(f.leader.Load()) == i }}
			f.controllers = append(f.controllers, controller)
			ends = append(ends, controller.Run(ctx))
		}
		for n := 0; time.Since(f.began) < span; n++ {
			at := time.Since(f.began)
			for i, controller := range f.controllers {
				requests := perStep
				if n%4 == 0 {
					requests = max(requests, 1)
				}
				for r := range requests {
					id := fmt.Sprint(seed, "/", n, "/", i, "/", r)
					version, route := controller.VersionFor("letters", id), []string{"find", "list"}[rng.IntN(2)]
					f.total++
					if version == "v2" {
						f.newAt = append(f.newAt, at)
					}
					fail, took := respond(rng, i, version == "v2", route, at)
					code := toucanpb.Code_CODE_UNSPECIFIED
					if fail {
						code = toucanpb.Code_CODE_FAILED
					}
					controller.RecordResponse("letters", version, route, code, took)
					for range legs - 1 {
						f.controllers[rng.IntN(hosts)].RecordResponse("letters", version, route, code, took)
					}
				}
			}
			if n%10 == 0 {
				f.exchange(rng)
			}
			if each != nil {
				each(at, f)
			}
			<-time.After(step)
		}
		synctest.Wait()
		cancel()
		for _, e := range ends {
			require.NoError(t, <-e)
		}
	})
	return f
}

func (f *fleet) phases() map[toucanpb.MoveState_Phase]int {
	out := map[toucanpb.MoveState_Phase]int{}
	for _, controller := range f.controllers {
		out[controller.States()[0].GetPhase()]++
	}
	return out
}

// newVersionRequestsAfter counts the requests to the new version later than at.
func (f *fleet) newVersionRequestsAfter(at time.Duration) int {
	n := 0
	for _, x := range f.newAt {
		if x > at {
			n++
		}
	}
	return n
}

func onAllHosts(p toucanpb.MoveState_Phase) map[toucanpb.MoveState_Phase]int {
	return map[toucanpb.MoveState_Phase]int{p: hosts}
}

// runSeeds runs body for seeds 0 to n-1 in parallel.
func runSeeds(t *testing.T, name string, n uint64, body func(t *testing.T, seed uint64)) {
	for seed := range n {
		t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
			t.Parallel()
			body(t, seed)
		})
	}
}

// Guards against a good version that is rolled back by chance or misses its
// deadline.
func TestGoodMoveFinishesByDeadline(t *testing.T) {
	runSeeds(t, "sound", 12, func(t *testing.T, seed uint64) {
		f := simulate(t, seed, deadline, 10, healthy, nil)
		require.Equal(t, onAllHosts(toucanpb.MoveState_PHASE_DONE), f.phases(), "seed %d: %v", seed, f.controllers[0].States())
		require.Equal(t, toucanpb.MoveState_PHASE_DONE, f.store.state(t).GetPhase())
	})
}

// Guards against a bad version that still gets traffic 5 s after its faults show, or
// 3% of all requests or more when it is bad from the start.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, c := range map[string]struct {
		since   time.Duration
		respond response
	}{
		"fails at once": {0, func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
			fail, took := healthy(rng, h, isNew, r, at)
			return fail || isNew && rng.IntN(10) < 4, took
		}},
		"one route": {0, func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
			fail, took := healthy(rng, h, isNew, r, at)
			return fail || isNew && r == "list" && rng.IntN(10) < 5, took
		}},
		"slow": {0, func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
			fail, took := healthy(rng, h, isNew, r, at)
			if isNew {
				took *= 3
			}
			return fail, took
		}},
		"fails later": {40 * time.Second, func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
			fail, took := healthy(rng, h, isNew, r, at)
			return fail || isNew && at > 40*time.Second && rng.IntN(10) < 2, took
		}},
		"fails at the last stage": {70 * time.Second, func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
			fail, took := healthy(rng, h, isNew, r, at)
			return fail || isNew && at > 70*time.Second && rng.IntN(10) < 2, took
		}},
	} {
		runSeeds(t, name, 4, func(t *testing.T, seed uint64) {
			f := simulate(t, seed, deadline, 20, c.respond, nil)
			require.Equal(t, onAllHosts(toucanpb.MoveState_PHASE_BACK), f.phases(), "%s, seed %d: %v", name, seed, f.controllers[0].States())
			require.Equal(t, toucanpb.MoveState_PHASE_BACK, f.store.state(t).GetPhase(), name)
			require.NotEmpty(t, f.newAt, name)
			// The first request to the new version comes a few seconds after the start.
			shownAt := max(c.since, f.newAt[0])
			require.Zero(t, f.newVersionRequestsAfter(shownAt+5*time.Second), "%s, seed %d, shows at %v, last at %v", name, seed, shownAt, f.newAt[len(f.newAt)-1])
			if c.since == 0 {
				require.Less(t, float64(len(f.newAt)), 0.03*float64(f.total), name)
			}
			t.Logf("%s, seed %d: last request %v after the faults show: %s", name, seed, f.newAt[len(f.newAt)-1]-shownAt, f.controllers[1].States()[0].GetReason())
		})
	}
}

// Guards against a rollback for faults that both versions share: overload, or the
// network of one host.
func TestFaultsOfBothVersionsDoNotRollBack(t *testing.T) {
	duringFault := func(at time.Duration) bool { return at > 30*time.Second && at < 50*time.Second }
	for name, respond := range map[string]response{
		"overload": func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
			fail, took := healthy(rng, h, isNew, r, at)
			if duringFault(at) {
				return fail || rng.IntN(10) < 3, took * time.Duration(1+rng.IntN(12))
			}
			return fail, took
		},
		"host cut off": func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
			fail, took := healthy(rng, h, isNew, r, at)
			return fail || h == 2 && duringFault(at), took
		},
		"host with losses": func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
			fail, took := healthy(rng, h, isNew, r, at)
			return fail || h == 2 && duringFault(at) && rng.IntN(2) == 0, took
		},
	} {
		runSeeds(t, name, 8, func(t *testing.T, seed uint64) {
			f := simulate(t, seed, deadline, 10, respond, nil)
			require.Equal(t, onAllHosts(toucanpb.MoveState_PHASE_DONE), f.phases(), "%s, seed %d: %v", name, seed, f.controllers[0].States())
		})
	}
}

// Guards against a good version that is rolled back because a stalled host slows
// down all legs of a few requests, which are not independent observations: 10 of
// 41 legs were slow, from 7 requests.
func TestStallsOfWholeRequestsDoNotRollBack(t *testing.T) {
	stalling := func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
		_, took := healthy(rng, h, isNew, r, at)
		if rng.IntN(12) == 0 {
			took += 100 * time.Millisecond
		}
		return false, took
	}
	runSeeds(t, "stalls", 40, func(t *testing.T, seed uint64) {
		f := simulateLegs(t, seed, 60*time.Second, 1, 6, stalling, nil)
		require.Zero(t, f.phases()[toucanpb.MoveState_PHASE_BACK], "seed %d: %v", seed, f.controllers[0].States())
	})
}

// Guards against a slow version that is not detected because the legs of a request
// count as one observation.
func TestSlowVersionOfManyLegsIsRolledBack(t *testing.T) {
	slow := func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
		fail, took := healthy(rng, h, isNew, r, at)
		if isNew {
			took *= 4
		}
		return fail, took
	}
	runSeeds(t, "slow", 4, func(t *testing.T, seed uint64) {
		f := simulateLegs(t, seed, 20*time.Second, 20, 12, slow, nil)
		require.Equal(t, onAllHosts(toucanpb.MoveState_PHASE_BACK), f.phases(), "seed %d: %v", seed, f.controllers[0].States())
		require.Zero(t, f.newVersionRequestsAfter(f.newAt[0]+5*time.Second), "seed %d", seed)
	})
}

// Guards against a rollback that needs the store, or that is undone by a stale
// state from the store or a peer.
func TestRollbackWithoutStoreIsIrreversible(t *testing.T) {
	bad := func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
		fail, took := healthy(rng, h, isNew, r, at)
		return fail || isNew && at > 40*time.Second, took
	}
	f := simulate(t, 1, 80*time.Second, 20, bad, func(at time.Duration, f *fleet) {
		f.store.setDown(at > 35*time.Second && at < 60*time.Second)
		stale := &toucanpb.Gossip{Moves: []*toucanpb.MoveState{{Name: "m", Phase: toucanpb.MoveState_PHASE_RUNNING, Stage: 3}}}
		if at > 50*time.Second {
			f.controllers[3].Accept(&toucanpb.Member{Id: "stale"}, stale)
		}
	})
	require.Equal(t, onAllHosts(toucanpb.MoveState_PHASE_BACK), f.phases())
	require.Equal(t, toucanpb.MoveState_PHASE_BACK, f.store.state(t).GetPhase())
	require.Zero(t, f.newVersionRequestsAfter(45*time.Second))
}

// Guards against a move that advances without enough evidence, or is late without
// a reason.
func TestMoveWithoutEvidenceIsLate(t *testing.T) {
	f := simulate(t, 1, deadline+10*time.Second, 0, healthy, nil)
	require.Equal(t, onAllHosts(toucanpb.MoveState_PHASE_LATE), f.phases())
	require.Contains(t, f.store.state(t).GetReason(), "of 100 responses of the new version at stage 0")
}

// Guards against a rollback that waits for other hosts or the next tick although
// one host sees clear failures, and against one when the old version fails there too.
func TestLocalCheckRollsBackWithoutPeers(t *testing.T) {
	for _, c := range []struct {
		oldFails int // of 200
		want     toucanpb.MoveState_Phase
	}{{0, toucanpb.MoveState_PHASE_BACK}, {1, toucanpb.MoveState_PHASE_BACK}, {100, toucanpb.MoveState_PHASE_RUNNING}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			controller, end := startController(ctx, t)
			for i := range 205 {
				version, code := "v1", toucanpb.Code_CODE_UNSPECIFIED
				if i%50 == 25 {
					version, code = "v2", toucanpb.Code_CODE_TIMEOUT
				} else if i*c.oldFails/205 != (i+1)*c.oldFails/205 {
					code = toucanpb.Code_CODE_TIMEOUT
				}
				controller.RecordResponse("letters", version, "find", code, time.Millisecond)
			}
			require.Equal(t, toucanpb.MoveState_PHASE_RUNNING, controller.States()[0].GetPhase())
			controller.RecordResponse("letters", "v2", "find", toucanpb.Code_CODE_CANCELLED, time.Millisecond)
			controller.RecordResponse("letters", "v2", "find", toucanpb.Code_CODE_FAILED, time.Millisecond)
			require.Equal(t, c.want, controller.States()[0].GetPhase(), "%d failures of the old version", c.oldFails)
			cancel()
			require.NoError(t, <-end)
		})
	}
}

// Guards against a move that stops when the leader changes, or that never ends
// when the store is down at the deadline.
func TestLeaderLeavesAndStoreDownAtDeadline(t *testing.T) {
	f := simulate(t, 1, deadline, 10, healthy, func(at time.Duration, f *fleet) {
		if at > 20*time.Second {
			f.leader.Store(4)
		}
	})
	require.Equal(t, onAllHosts(toucanpb.MoveState_PHASE_DONE), f.phases())
	f = simulate(t, 1, deadline+20*time.Second, 10, healthy, func(at time.Duration, f *fleet) {
		f.store.setDown(at > 20*time.Second && at < deadline+10*time.Second)
		if at > deadline+6*time.Second && at < deadline+7*time.Second {
			require.Equal(t, onAllHosts(toucanpb.MoveState_PHASE_LATE), f.phases())
		}
	})
	require.Equal(t, toucanpb.MoveState_PHASE_LATE, f.store.state(t).GetPhase())
	require.Contains(t, f.store.state(t).GetReason(), "the store")
}

func BenchmarkEvidenceMerge(b *testing.B) {
	for _, sources := range []int{6, 24, 96, 384} {
		b.Run(fmt.Sprint(sources), func(b *testing.B) {
			controller, _ := startController(b.Context(), b)
			var gs []*toucanpb.Gossip
			for s := range sources {
				g := &toucanpb.Gossip{}
				for _, v := range []string{"v1", "v2"} {
					for _, r := range []string{"find", "list"} {
						g.Evidence = append(g.Evidence, &toucanpb.Evidence{Source: fmt.Sprint("h", s), Move: "m", Version: v, Route: r})
					}
				}
				gs = append(gs, g)
			}
			b.ReportAllocs()
			for b.Loop() {
				for _, g := range gs {
					for _, e := range g.GetEvidence() {
						e.Answers++
					}
					controller.Accept(nil, g)
				}
			}
		})
	}
}

// startController returns a controller that knows the move to be running.
func startController(ctx context.Context, t testing.TB) (*toucancanary.Controller, <-chan error) {
	catalog := toucancatalog.New(&toucanpb.Rules{
		Services: []*toucanpb.Service{{Name: "letters", Routes: []*toucanpb.Route{{Name: "find"}, {Name: "list"}}}},
		Moves:    []*toucanpb.Move{{Name: "m", Service: "letters", From: "v1", To: "v2", Start: 0.02, Steps: []float64{1}, Bound: 0.05, Samples: 100}},
	})
	controller := &toucancanary.Controller{SourceID: "me", Catalog: func() *toucancatalog.Catalog { return catalog }}
	end := controller.Run(ctx)
	for len(controller.States()) == 0 {
		<-time.After(10 * time.Millisecond)
	}
	require.Equal(t, "v1", controller.VersionFor("letters", "before the state is known"))
	controller.Accept(nil, &toucanpb.Gossip{Moves: []*toucanpb.MoveState{{Name: "m", Phase: toucanpb.MoveState_PHASE_RUNNING}}})
	require.Equal(t, toucanpb.MoveState_PHASE_RUNNING, controller.States()[0].GetPhase())
	return controller, end
}
