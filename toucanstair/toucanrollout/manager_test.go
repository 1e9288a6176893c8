package toucanrollout_test

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
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanrollout"
	"toucanstair.example/toucanstair/toucansource"
)

const (
	hosts  = 6
	within = 12 * time.Second
	step   = 20 * time.Millisecond
	// perStep is the number of requests of all hosts in a step, 100 a second.
	perStep = 2
	// exposureShare and exposureSlack bound what a bad version may get of the
	// requests between the order and its deadline.
	exposureShare, exposureSlack = 0.1, 50
	// A bad version gets nothing later than backTime after this bad response.
	nthBad   = 50
	backTime = 5 * time.Second
)

// store is the platform's store, with conditional writes.
type store struct {
	mu     sync.Mutex
	values map[string][]byte
	revs   map[string]uint64
	rev    uint64
	status []toucanrollout.Status
	away   func(host toucanhost.ID) bool // hosts that it turns away; nil: none
}

// door is the store as one host reaches it.
type door struct {
	*store
	host toucanhost.ID
}

func (d door) refuses() error {
	if d.away != nil && d.away(d.host) {
		return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "away")
	}
	return nil
}

func (d door) Get(_ context.Context, key string) ([]byte, uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.values[key], d.revs[key], d.refuses()
}

func (d door) WriteState(_ context.Context, key string, value []byte, prev uint64, s toucanrollout.Status) (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.refuses(); err != nil {
		return 0, err
	}
	if d.revs[key] != prev {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT, key)
	}
	d.rev++
	d.values[key], d.revs[key], d.status = value, d.rev, append(d.status, s)
	return d.rev, nil
}

func (s *store) last() toucanrollout.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.status) == 0 {
		return -1
	}
	return s.status[len(s.status)-1].Phase
}

// response is how a target of a version treats a request.
type response func(rng *rand.Rand, q request) (fail bool, took time.Duration)

// request is what a target may treat differently.
type request struct {
	at    time.Duration // since the order
	share float64       // of the requests that the new version has got
	route string
}

func sound(rng *rand.Rand, _ request) (bool, time.Duration) {
	took := 8*time.Millisecond + time.Duration(rng.Int64N(int64(4*time.Millisecond)))
	if rng.IntN(24) == 0 {
		took += time.Duration(rng.Int64N(int64(150 * time.Millisecond))) // a pause
	}
	return rng.IntN(500) == 0, took
}

// fleet is a number of hosts that serve a service while it moves.
type fleet struct {
	store    *store
	rollouts []*toucanrollout.Manager
	peers    []toucansource.Peer
	bytes    atomic.Int64 // of heartbeats and replies
	cut      func(from, to toucanhost.ID) bool
	perStep  int // requests of all hosts

	total   int
	exposed int           // of total, at the new version
	shown   time.Duration // of the 50th bad response; 0: not yet
	bad     int           // bad responses
	lastNew time.Duration // last request at the new version
}

type way struct {
	*fleet
	from toucanhost.ID
}

func (w way) Beat(ctx context.Context, address string, r *toucanpb.BeatRequest) (*toucanpb.BeatReply, error) {
	for i, p := range w.peers {
		if p.Address == address && (w.cut == nil || !w.cut(w.from, p.ID)) {
			reply, err := w.rollouts[i].Beat(ctx, r)
			w.bytes.Add(int64(proto.Size(r) + proto.Size(reply)))
			return reply, err
		}
	}
	return nil, toucanfault.NotRun(toucanpb.Code_CODE_CUT, address)
}

func newFleet(n int) *fleet {
	f := &fleet{perStep: perStep, store: &store{values: map[string][]byte{}, revs: map[string]uint64{}}}
	for i := range n {
		id := toucanhost.ID(fmt.Sprint("h", i))
		p := toucansource.Peer{ID: id, Zone: "a", Address: string(id)}
		f.peers = append(f.peers, p)
		f.rollouts = append(f.rollouts, &toucanrollout.Manager{
			Self: p, ProcessID: id + "/1", Store: door{f.store, id}, Gossip: way{f, id}, Log: zap.NewNop(),
			Peers: func() []toucansource.Peer { return append([]toucansource.Peer(nil), f.peers...) },
		})
	}
	return f
}

// play drives an order from its start for a span, and calls each before each step.
func (f *fleet) play(t *testing.T, seed uint64, span time.Duration, fresh response, each func(at time.Duration)) {
	rng := rand.New(rand.NewPCG(seed, 3))
	ctx, cancel := context.WithCancel(t.Context())
	var ends []<-chan error
	for _, r := range f.rollouts {
		ends = append(ends, r.Run(ctx))
		r.AddOrder(order(7), time.Now())
	}
	began := time.Now()
	for n := 0; time.Since(began) < span; n++ {
		at := time.Since(began)
		if each != nil {
			each(at)
		}
		for k := range f.perStep {
			r := f.rollouts[rng.IntN(len(f.rollouts))]
			f.ask(rng, r, fmt.Sprint(seed, "/", n, "/", k), at, fresh)
		}
		<-time.After(step)
	}
	synctest.Wait()
	cancel()
	for _, e := range ends {
		require.NoError(t, <-e)
	}
}

func order(n uint64) toucanrollout.Order {
	return toucanrollout.Order{Service: "s", Version: "v2", TimeLimit: within, Number: n}
}

func (f *fleet) ask(rng *rand.Rand, r *toucanrollout.Manager, id string, at time.Duration, fresh response) {
	f.total++
	route := []string{"broad", "broad", "broad", "quick"}[rng.IntN(4)]
	c := r.ChooseVersion("s", route, id, false)
	version, answer := "v1", response(sound)
	if c.Preferred == "v2" {
		version, answer = "v2", fresh
		f.exposed++
		f.lastNew = at
	}
	r.BeginRequest("s", version, route)
	fail, took := answer(rng, request{at, float64(f.exposed) / float64(f.total), route})
	r.EndRequest("s", version, route, true)
	if version == "v2" && (fail || took > 24*time.Millisecond) {
		if f.bad++; f.bad == nthBad {
			f.shown = at
		}
	}
	code := toucanpb.Code_CODE_UNSPECIFIED
	if fail {
		code = toucanpb.Code_CODE_FAILED
	}
	r.RecordResponse("s", version, route, code, took)
}

// goodIsDone plays an order for a good version and requires it to be in use at
// its deadline.
func goodIsDone(t *testing.T, seed uint64, prepare func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hosts)
		prepare(f)
		f.play(t, seed, within, sound, nil)
		require.Equal(t, toucanrollout.Done, f.store.last(), "seed %d: %s", seed, f.store.values["moves/s"])
	})
}

// Guards against a good version that is not in use by its deadline, also when
// the store turns a host away.
func TestGoodVersionCompletesByDeadline(t *testing.T) {
	for name, prepare := range map[string]func(f *fleet){
		"calm":                  func(*fleet) {},
		"a host is turned away": func(f *fleet) { f.store.away = func(h toucanhost.ID) bool { return h == "h0" } },
	} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) { goodIsDone(t, seed, prepare) })
		}
	}
}

// Guards against a good version that is late because the evidence of a host that
// is cut off from all others does not come.
func TestGoodVersionCompletesByDeadlineWithIsolatedHost(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			goodIsDone(t, seed, func(f *fleet) {
				f.cut = func(a, b toucanhost.ID) bool { return a == "h3" || b == "h3" }
			})
		})
	}
}

// Plays versions that fail or slow down and checks what they get of the callers'
// requests.
func TestBadVersionExposureIsBounded(t *testing.T) {
	failing := func(rng *rand.Rand, q request) (bool, time.Duration) {
		fail, took := sound(rng, q)
		return fail || rng.IntN(10) < 4, took
	}
	for name, is := range map[string]response{
		"fails": failing,
		"slow": func(rng *rand.Rand, q request) (bool, time.Duration) {
			fail, took := sound(rng, q)
			return fail, 4 * took
		},
		"fails later": func(rng *rand.Rand, q request) (bool, time.Duration) {
			if q.at < 3*time.Second {
				return sound(rng, q)
			}
			return failing(rng, q)
		},
		"fails under load": func(rng *rand.Rand, q request) (bool, time.Duration) {
			if q.share < 0.04 {
				return sound(rng, q)
			}
			return failing(rng, q)
		},
		"fails on the rare route": func(rng *rand.Rand, q request) (bool, time.Duration) {
			if q.route != "quick" {
				return sound(rng, q)
			}
			return failing(rng, q)
		},
		"slow on the rare route": func(rng *rand.Rand, q request) (bool, time.Duration) {
			fail, took := sound(rng, q)
			if q.route == "quick" && rng.IntN(2) == 0 {
				took *= 4
			}
			return fail, took
		},
	} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(hosts)
					f.play(t, seed, within, is, nil)
					t.Logf("%d of %d requests, %d bad responses, last at %v", f.exposed, f.total, f.bad, f.lastNew)
					require.LessOrEqual(t, float64(f.exposed), exposureShare*float64(f.total)+exposureSlack, "seed %d", seed)
					if f.shown > 0 {
						require.LessOrEqual(t, f.lastNew, f.shown+backTime, "seed %d", seed)
					}
					require.Equal(t, toucanrollout.RolledBack, f.store.last(), "seed %d: %s", seed, f.store.values["moves/s"])
				})
			})
		}
	}
}

// Guards against a move that ends neither way: one that nobody uses is taken back
// at its deadline, and one that nothing holds back is done when the store returns.
func TestMoveEndsAtItsDeadline(t *testing.T) {
	const spare = 5 * time.Second
	t.Run("no requests", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(hosts)
			f.perStep = 0
			f.play(t, 1, within+spare, sound, nil)
			require.Equal(t, toucanrollout.RolledBack, f.store.last(), "%s", f.store.values["moves/s"])
		})
	})
	t.Run("the store is away", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(hosts)
			var down atomic.Bool
			f.store.away = func(toucanhost.ID) bool { return down.Load() }
			f.play(t, 1, within+2*spare, sound, func(at time.Duration) { down.Store(at > within/2 && at < within+spare/2) })
			require.Equal(t, toucanrollout.Done, f.store.last(), "%s", f.store.values["moves/s"])
		})
	})
}

// Guards against a version that was taken back and gets requests again when its
// order is gone, on hosts that saw the move and on one that started after it; and
// against one that stays held when it is ordered anew.
func TestRolledBackVersionGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hosts)
		always := func(*rand.Rand, request) (bool, time.Duration) { return true, 8 * time.Millisecond }
		f.play(t, 1, within, always, nil)
		require.Equal(t, toucanrollout.RolledBack, f.store.last())
		late := &toucanrollout.Manager{Log: zap.NewNop()}
		state := toucanrollout.DecodeState("moves/s", f.store.values["moves/s"])
		require.NotNil(t, state)
		late.ApplyStoredState(*state)
		require.Equal(t, toucanrollout.VersionChoice{Excluded: "v2"}, late.ChooseVersion("s", "broad", "q", false), "the order was gone before it started")
		late.AddOrder(order(7), time.Now())
		for _, r := range append(f.rollouts, late) {
			r.RemoveOrder("s")
			require.Equal(t, toucanrollout.VersionChoice{Excluded: "v2"}, r.ChooseVersion("s", "broad", "q", false))
		}
		late.AddOrder(order(9), time.Now())
		require.True(t, late.InProgress("s"))
		late.ApplyStoredState(*state)
		late.RemoveOrder("s")
		require.Equal(t, toucanrollout.VersionChoice{}, late.ChooseVersion("s", "broad", "q", false), "a new order gives it another try")
	})
}

// Guards against a move that starts before the hosts agree on its state, and
// against an older order that replaces a newer one.
func TestNewVersionGetsNoRequestsWhileStateUnknown(t *testing.T) {
	r := &toucanrollout.Manager{Log: zap.NewNop()}
	require.Equal(t, toucanrollout.VersionChoice{}, r.ChooseVersion("s", "broad", "q", false))
	r.AddOrder(toucanrollout.Order{Service: "s", Version: "v3", TimeLimit: within, Number: 9}, time.Now())
	r.AddOrder(order(7), time.Now())
	for i := range 100 {
		require.Equal(t, toucanrollout.VersionChoice{Excluded: "v3"}, r.ChooseVersion("s", "broad", fmt.Sprint(i), false))
	}
	require.Equal(t, toucanrollout.VersionChoice{}, r.ChooseVersion("other", "broad", "q", false))
}

// Guards against a host that knows no others yet, or is cut off from all, and takes
// the whole allowance of the new version for itself.
func TestAllowanceIsDividedBeforeHostsAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		r := f.rollouts[0]
		r.MinHosts = hosts
		ctx, cancel := context.WithCancel(t.Context())
		end := r.Run(ctx)
		r.AddOrder(order(7), time.Now())
		<-time.After(within / 2)
		fresh := 0
		for i := range 1000 {
			if r.ChooseVersion("s", "broad", fmt.Sprint(i), false).Preferred == "" {
				continue
			}
			fresh++
			r.BeginRequest("s", "v2", "broad")
		}
		require.Positive(t, fresh)
		require.LessOrEqual(t, fresh, exposureSlack/hosts)
		cancel()
		require.NoError(t, <-end)
	})
}
