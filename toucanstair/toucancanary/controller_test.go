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

func (s *store) set(down bool) {
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

// sound fails 1 in 200 and takes 4 to 12 ms, with 1 in 20 far above the median.
func sound(rng *rand.Rand, _ int, _ bool, _ string, _ time.Duration) (bool, time.Duration) {
	took := 4*time.Millisecond + time.Duration(rng.Int64N(int64(8*time.Millisecond)))
	if rng.IntN(20) == 0 {
		took *= 6
	}
	return rng.IntN(200) == 0, took
}

// fleet is a set of judges that exchange heartbeats and get simulated traffic.
type fleet struct {
	judges []*toucancanary.Controller
	store  *store
	newAt  []time.Duration // when the new version got a request
	total  int
	began  time.Time
	leader atomic.Int32
}

func (f *fleet) exchange(rng *rand.Rand) {
	for a := range f.judges {
		b := rng.IntN(hosts)
		if b == a {
			continue
		}
		from, to := &toucanpb.Member{Id: fmt.Sprint("h", a)}, &toucanpb.Member{Id: fmt.Sprint("h", b)}
		g, back := &toucanpb.Gossip{}, &toucanpb.Gossip{}
		f.judges[a].Offer(to, g)
		if rng.IntN(10) == 0 {
			continue // the heartbeat is lost
		}
		f.judges[b].Accept(from, g)
		f.judges[b].Accept(from, g)
		f.judges[b].Offer(from, back)
		f.judges[a].Accept(to, back)
	}
}

// run drives a move for span with perStep requests a host in each 50 ms, and
// one in 200 ms when that is 0.
func run(t *testing.T, seed uint64, span time.Duration, perStep int, answer response, each func(at time.Duration, f *fleet)) *fleet {
	return runLegs(t, seed, span, perStep, 1, answer, each)
}

// runLegs is run for requests with several legs, which run on random hosts and
// are treated alike.
func runLegs(t *testing.T, seed uint64, span time.Duration, perStep, legs int, answer response, each func(at time.Duration, f *fleet)) *fleet {
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
			j := &toucancanary.Controller{SourceID: toucanhost.ID(fmt.Sprint("h", i)), Store: f.store,
				Catalog: func() *toucancatalog.Catalog { return catalog }, IsLeader: func() bool { return int(f.leader.Load()) == i }}
			f.judges = append(f.judges, j)
			ends = append(ends, j.Run(ctx))
		}
		for n := 0; time.Since(f.began) < span; n++ {
			at := time.Since(f.began)
			for i, j := range f.judges {
				requests := perStep
				if n%4 == 0 {
					requests = max(requests, 1)
				}
				for r := range requests {
					id := fmt.Sprint(seed, "/", n, "/", i, "/", r)
					version, route := j.VersionFor("letters", id), []string{"find", "list"}[rng.IntN(2)]
					f.total++
					if version == "v2" {
						f.newAt = append(f.newAt, at)
					}
					fail, took := answer(rng, i, version == "v2", route, at)
					code := toucanpb.Code_CODE_UNSPECIFIED
					if fail {
						code = toucanpb.Code_CODE_FAILED
					}
					j.RecordResponse("letters", version, route, code, took)
					for range legs - 1 {
						f.judges[rng.IntN(hosts)].RecordResponse("letters", version, route, code, took)
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
	for _, j := range f.judges {
		out[j.States()[0].GetPhase()]++
	}
	return out
}

// after counts requests to the new version later than at.
func (f *fleet) after(at time.Duration) int {
	n := 0
	for _, x := range f.newAt {
		if x > at {
			n++
		}
	}
	return n
}

func everywhere(p toucanpb.MoveState_Phase) map[toucanpb.MoveState_Phase]int {
	return map[toucanpb.MoveState_Phase]int{p: hosts}
}

// seeds runs body for seeds 0 to n-1 in parallel.
func seeds(t *testing.T, name string, n uint64, body func(t *testing.T, seed uint64)) {
	for seed := range n {
		t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
			t.Parallel()
			body(t, seed)
		})
	}
}

// Guards against a good version that is taken back by chance or is late.
func TestGoodMoveFinishesByDeadline(t *testing.T) {
	seeds(t, "sound", 12, func(t *testing.T, seed uint64) {
		f := run(t, seed, deadline, 10, sound, nil)
		require.Equal(t, everywhere(toucanpb.MoveState_PHASE_DONE), f.phases(), "seed %d: %v", seed, f.judges[0].States())
		require.Equal(t, toucanpb.MoveState_PHASE_DONE, f.store.state(t).GetPhase())
	})
}

// Guards against a bad version that gets traffic 5 s after its faults show, or
// more than its share before.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, c := range map[string]struct {
		since time.Duration
		is    response
	}{
		"fails at once": {0, func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
			fail, took := sound(rng, h, isNew, r, at)
			return fail || isNew && rng.IntN(10) < 4, took
		}},
		"one route": {0, func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
			fail, took := sound(rng, h, isNew, r, at)
			return fail || isNew && r == "list" && rng.IntN(10) < 5, took
		}},
		"slow": {0, func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
			fail, took := sound(rng, h, isNew, r, at)
			if isNew {
				took *= 3
			}
			return fail, took
		}},
		"fails later": {40 * time.Second, func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
			fail, took := sound(rng, h, isNew, r, at)
			return fail || isNew && at > 40*time.Second && rng.IntN(10) < 2, took
		}},
		"fails at the last stage": {70 * time.Second, func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
			fail, took := sound(rng, h, isNew, r, at)
			return fail || isNew && at > 70*time.Second && rng.IntN(10) < 2, took
		}},
	} {
		seeds(t, name, 4, func(t *testing.T, seed uint64) {
			f := run(t, seed, deadline, 20, c.is, nil)
			require.Equal(t, everywhere(toucanpb.MoveState_PHASE_BACK), f.phases(), "%s, seed %d: %v", name, seed, f.judges[0].States())
			require.Equal(t, toucanpb.MoveState_PHASE_BACK, f.store.state(t).GetPhase(), name)
			require.NotEmpty(t, f.newAt, name)
			// The first request of the move comes a few seconds after its start.
			shows := max(c.since, f.newAt[0])
			require.Zero(t, f.after(shows+5*time.Second), "%s, seed %d, shows at %v, last at %v", name, seed, shows, f.newAt[len(f.newAt)-1])
			if c.since == 0 {
				require.Less(t, float64(len(f.newAt)), 0.03*float64(f.total), name)
			}
			t.Logf("%s, seed %d: last request %v after the faults show: %s", name, seed, f.newAt[len(f.newAt)-1]-shows, f.judges[1].States()[0].GetReason())
		})
	}
}

// Guards against a rollback for reasons that are not the new version's: overload
// of both, or the network of one host.
func TestFaultsOfBothVersionsDoNotRollBack(t *testing.T) {
	within := func(at time.Duration) bool { return at > 30*time.Second && at < 50*time.Second }
	for name, is := range map[string]response{
		"overload": func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
			fail, took := sound(rng, h, isNew, r, at)
			if within(at) {
				return fail || rng.IntN(10) < 3, took * time.Duration(1+rng.IntN(12))
			}
			return fail, took
		},
		"host cut off": func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
			fail, took := sound(rng, h, isNew, r, at)
			return fail || h == 2 && within(at), took
		},
		"host with losses": func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
			fail, took := sound(rng, h, isNew, r, at)
			return fail || h == 2 && within(at) && rng.IntN(2) == 0, took
		},
	} {
		seeds(t, name, 8, func(t *testing.T, seed uint64) {
			f := run(t, seed, deadline, 10, is, nil)
			require.Equal(t, everywhere(toucanpb.MoveState_PHASE_DONE), f.phases(), "%s, seed %d: %v", name, seed, f.judges[0].States())
		})
	}
}

// Guards against a good version that is taken back because a stall of a host
// slows down all legs of a few requests: they are no independent evidence. 10 of
// 41 legs were slow, of 7 requests.
func TestStallsOfWholeRequestsDoNotRollBack(t *testing.T) {
	stalling := func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
		_, took := sound(rng, h, isNew, r, at)
		if rng.IntN(12) == 0 {
			took += 100 * time.Millisecond
		}
		return false, took
	}
	seeds(t, "stalls", 40, func(t *testing.T, seed uint64) {
		f := runLegs(t, seed, 60*time.Second, 1, 6, stalling, nil)
		require.Zero(t, f.phases()[toucanpb.MoveState_PHASE_BACK], "seed %d: %v", seed, f.judges[0].States())
	})
}

// Guards against a slow version that is not noticed because its legs count as
// one.
func TestSlowVersionOfManyLegsIsRolledBack(t *testing.T) {
	slow := func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
		fail, took := sound(rng, h, isNew, r, at)
		if isNew {
			took *= 4
		}
		return fail, took
	}
	seeds(t, "slow", 4, func(t *testing.T, seed uint64) {
		f := runLegs(t, seed, 20*time.Second, 20, 12, slow, nil)
		require.Equal(t, everywhere(toucanpb.MoveState_PHASE_BACK), f.phases(), "seed %d: %v", seed, f.judges[0].States())
		require.Zero(t, f.after(f.newAt[0]+5*time.Second), "seed %d", seed)
	})
}

// Guards against a rollback that needs the store, or that is forgotten when a
// stale state arrives from the store or a peer.
func TestRollbackWithoutStoreIsIrreversible(t *testing.T) {
	bad := func(rng *rand.Rand, h int, isNew bool, r string, at time.Duration) (bool, time.Duration) {
		fail, took := sound(rng, h, isNew, r, at)
		return fail || isNew && at > 40*time.Second, took
	}
	f := run(t, 1, 80*time.Second, 20, bad, func(at time.Duration, f *fleet) {
		f.store.set(at > 35*time.Second && at < 60*time.Second)
		stale := &toucanpb.Gossip{Moves: []*toucanpb.MoveState{{Name: "m", Phase: toucanpb.MoveState_PHASE_RUNNING, Stage: 3}}}
		if at > 50*time.Second {
			f.judges[3].Accept(&toucanpb.Member{Id: "stale"}, stale)
		}
	})
	require.Equal(t, everywhere(toucanpb.MoveState_PHASE_BACK), f.phases())
	require.Equal(t, toucanpb.MoveState_PHASE_BACK, f.store.state(t).GetPhase())
	require.Zero(t, f.after(45*time.Second))
}

// Guards against a move without enough evidence that advances, or ends without a reason.
func TestMoveWithoutEvidenceIsLate(t *testing.T) {
	f := run(t, 1, deadline+10*time.Second, 0, sound, nil)
	require.Equal(t, everywhere(toucanpb.MoveState_PHASE_LATE), f.phases())
	require.Contains(t, f.store.state(t).GetReason(), "of 100 responses of the new version at stage 0")
}

// Guards against a rollback that waits for other hosts or the next tick when
// one host sees clear failures, and against one when its old version fails too.
func TestLocalCheckRollsBackWithoutPeers(t *testing.T) {
	for _, c := range []struct {
		oldFails int // of 200
		want     toucanpb.MoveState_Phase
	}{{0, toucanpb.MoveState_PHASE_BACK}, {1, toucanpb.MoveState_PHASE_BACK}, {100, toucanpb.MoveState_PHASE_RUNNING}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			j, end := started(ctx, t)
			for i := range 205 {
				version, code := "v1", toucanpb.Code_CODE_UNSPECIFIED
				if i%50 == 25 {
					version, code = "v2", toucanpb.Code_CODE_TIMEOUT
				} else if i*c.oldFails/205 != (i+1)*c.oldFails/205 {
					code = toucanpb.Code_CODE_TIMEOUT
				}
				j.RecordResponse("letters", version, "find", code, time.Millisecond)
			}
			require.Equal(t, toucanpb.MoveState_PHASE_RUNNING, j.States()[0].GetPhase())
			j.RecordResponse("letters", "v2", "find", toucanpb.Code_CODE_CANCELLED, time.Millisecond)
			j.RecordResponse("letters", "v2", "find", toucanpb.Code_CODE_FAILED, time.Millisecond)
			require.Equal(t, c.want, j.States()[0].GetPhase(), "%d failures of the old version", c.oldFails)
			cancel()
			require.NoError(t, <-end)
		})
	}
}

// Guards against a move that stops when its leader leaves, or runs without
// end when the store is down at the deadline.
func TestLeaderLeavesAndStoreDownAtDeadline(t *testing.T) {
	f := run(t, 1, deadline, 10, sound, func(at time.Duration, f *fleet) {
		if at > 20*time.Second {
			f.leader.Store(4)
		}
	})
	require.Equal(t, everywhere(toucanpb.MoveState_PHASE_DONE), f.phases())
	f = run(t, 1, deadline+20*time.Second, 10, sound, func(at time.Duration, f *fleet) {
		f.store.set(at > 20*time.Second && at < deadline+10*time.Second)
		if at > deadline+6*time.Second && at < deadline+7*time.Second {
			require.Equal(t, everywhere(toucanpb.MoveState_PHASE_LATE), f.phases())
		}
	})
	require.Equal(t, toucanpb.MoveState_PHASE_LATE, f.store.state(t).GetPhase())
	require.Contains(t, f.store.state(t).GetReason(), "the store")
}

func BenchmarkEvidenceMerge(b *testing.B) {
	for _, sources := range []int{6, 24, 96, 384} {
		b.Run(fmt.Sprint(sources), func(b *testing.B) {
			j, _ := started(b.Context(), b)
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
					j.Accept(nil, g)
				}
			}
		})
	}
}

// started returns a judge that has learned that the move runs.
func started(ctx context.Context, t testing.TB) (*toucancanary.Controller, <-chan error) {
	catalog := toucancatalog.New(&toucanpb.Rules{
		Services: []*toucanpb.Service{{Name: "letters", Routes: []*toucanpb.Route{{Name: "find"}, {Name: "list"}}}},
		Moves:    []*toucanpb.Move{{Name: "m", Service: "letters", From: "v1", To: "v2", Start: 0.02, Steps: []float64{1}, Bound: 0.05, Samples: 100}},
	})
	j := &toucancanary.Controller{SourceID: "me", Catalog: func() *toucancatalog.Catalog { return catalog }}
	end := j.Run(ctx)
	for len(j.States()) == 0 {
		<-time.After(10 * time.Millisecond)
	}
	require.Equal(t, "v1", j.VersionFor("letters", "before the state is known"))
	j.Accept(nil, &toucanpb.Gossip{Moves: []*toucanpb.MoveState{{Name: "m", Phase: toucanpb.MoveState_PHASE_RUNNING}}})
	require.Equal(t, toucanpb.MoveState_PHASE_RUNNING, j.States()[0].GetPhase())
	return j, end
}
