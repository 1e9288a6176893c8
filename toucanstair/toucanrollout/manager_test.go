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
	hosts     = 6
	timeLimit = 12 * time.Second
	step      = 20 * time.Millisecond
	// perStep is the number of requests from all hosts in a step: 100 a second.
	perStep = 2
	// A bad version may get exposureShare of the requests between the order and its
	// deadline, plus exposureSlack.
	exposureShare, exposureSlack = 0.1, 50
	// A bad version gets no requests later than rollbackTime after bad response nthBad.
	nthBad       = 50
	rollbackTime = 5 * time.Second
)

// store is the platform's store, with conditional writes.
type store struct {
	mu            sync.Mutex
	values        map[string][]byte
	revs          map[string]uint64
	rev           uint64
	status        []toucanrollout.Status
	unavailableTo func(host toucanhost.ID) bool // whether it rejects a host; nil: none
}

// hostStore is the store as accessed by one host.
type hostStore struct {
	*store
	host toucanhost.ID
}

func (h hostStore) err() error {
	if h.unavailableTo != nil && h.unavailableTo(h.host) {
		return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "the store is unavailable")
	}
	return nil
}

func (h hostStore) Get(_ context.Context, key string) ([]byte, uint64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.values[key], h.revs[key], h.err()
}

func (h hostStore) WriteState(_ context.Context, key string, value []byte, prev uint64, s toucanrollout.Status) (uint64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.err(); err != nil {
		return 0, err
	}
	if h.revs[key] != prev {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT, key)
	}
	h.rev++
	h.values[key], h.revs[key], h.status = value, h.rev, append(h.status, s)
	return h.rev, nil
}

// lastPhase returns the last phase published to operators, or -1.
func (s *store) lastPhase() toucanrollout.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.status) == 0 {
		return -1
	}
	return s.status[len(s.status)-1].Phase
}

// response simulates the response of a target to a request.
type response func(rng *rand.Rand, q request) (fail bool, took time.Duration)

// request holds what a simulated response depends on.
type request struct {
	at    time.Duration // since the order
	share float64       // share of all requests that went to the new version
	route string
}

// healthy fails 1 in 500 requests and takes 8 to 12 ms, with a pause of up to 150 ms in
// 1 of 24.
func healthy(rng *rand.Rand, _ request) (bool, time.Duration) {
	took := 8*time.Millisecond + time.Duration(rng.Int64N(int64(4*time.Millisecond)))
	if rng.IntN(24) == 0 {
		took += time.Duration(rng.Int64N(int64(150 * time.Millisecond))) // a pause
	}
	return rng.IntN(500) == 0, took
}

// fleet is a set of hosts with a rollout of one service.
type fleet struct {
	store       *store
	managers    []*toucanrollout.Manager
	peers       []toucansource.Peer
	bytes       atomic.Int64 // of heartbeats and replies
	partitioned func(from, to toucanhost.ID) bool
	perStep     int // requests from all hosts in a step
	traffic     traffic

	total        int
	exposed      int           // requests to the new version, of total
	faultShownAt time.Duration // time of bad response nthBad; 0: not yet
	bad          int           // bad responses
	lastNew      time.Duration // last request at the new version
}

// traffic replaces parts of the requests and responses of a fleet. Each field may be nil.
type traffic struct {
	routes     func(rng *rand.Rand) []string // of the requests in a step
	oldVersion response
	untimed    func(rng *rand.Rand, q request, isNew bool) bool // the latency does not count
	rejects    func(rng *rand.Rand, q request, isNew bool) bool // a response that did not fail is a client error
}

// gossipLink delivers the heartbeats of one host to the others.
type gossipLink struct {
	*fleet
	from toucanhost.ID
}

func (link gossipLink) Beat(ctx context.Context, address string, r *toucanpb.BeatRequest) (*toucanpb.BeatReply, error) {
	for i, p := range link.peers {
		if p.Address == address && (link.partitioned == nil || !link.partitioned(link.from, p.ID)) {
			reply, err := link.managers[i].Beat(ctx, r)
			link.bytes.Add(int64(proto.Size(r) + proto.Size(reply)))
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
		f.managers = append(f.managers, &toucanrollout.Manager{
			Self: p, ProcessID: id + "/1", Store: hostStore{f.store, id}, Gossip: gossipLink{f, id}, Log: zap.NewNop(),
			Peers: func() []toucansource.Peer { return append([]toucansource.Peer(nil), f.peers...) },
		})
	}
	return f
}

// simulate runs an order from its start for span, and calls each before each step.
func (f *fleet) simulate(t *testing.T, seed uint64, span time.Duration, newVersion response, each func(at time.Duration)) {
	f.simulateOrder(t, seed, order(7), span, newVersion, each)
}

// simulateOrder is simulate for an order with another time limit.
func (f *fleet) simulateOrder(t *testing.T, seed uint64, o toucanrollout.Order, span time.Duration, newVersion response, each func(at time.Duration)) {
	rng := rand.New(rand.NewPCG(seed, 3))
	ctx, cancel := context.WithCancel(t.Context())
	var ends []<-chan error
	for _, manager := range f.managers {
		ends = append(ends, manager.Run(ctx))
		manager.AddOrder(o, time.Now())
	}
	began := time.Now()
	for n := 0; time.Since(began) < span; n++ {
		at := time.Since(began)
		if each != nil {
			each(at)
		}
		for _, route := range f.routes(rng) {
			manager := f.managers[rng.IntN(len(f.managers))]
			f.sendRequest(rng, manager, route, at, newVersion)
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
	return toucanrollout.Order{Service: "s", Version: "v2", TimeLimit: timeLimit, Number: n}
}

// routes returns the routes of the requests in a step.
func (f *fleet) routes(rng *rand.Rand) []string {
	if f.traffic.routes != nil {
		return f.traffic.routes(rng)
	}
	out := make([]string, f.perStep)
	for i := range out {
		out[i] = []string{"broad", "broad", "broad", "quick"}[rng.IntN(4)]
	}
	return out
}

func (f *fleet) sendRequest(rng *rand.Rand, manager *toucanrollout.Manager, route string, at time.Duration, newVersion response) {
	f.total++
	c := manager.ChooseVersion("s", route, false)
	version, respond := "v1", response(healthy)
	if f.traffic.oldVersion != nil {
		respond = f.traffic.oldVersion
	}
	if c.Preferred == "v2" {
		version, respond = "v2", newVersion
		f.exposed++
		f.lastNew = at
	}
	manager.BeginRequest("s", version, route)
	q := request{at, float64(f.exposed) / float64(f.total), route}
	fail, took := respond(rng, q)
	manager.EndRequest("s", version, route, true)
	rejected := !fail && f.traffic.rejects != nil && f.traffic.rejects(rng, q, version == "v2")
	// A response is slow above twice the 12 ms that healthy takes at most without a pause.
	if version == "v2" && (fail || rejected || took > 24*time.Millisecond) {
		if f.bad++; f.bad == nthBad {
			f.faultShownAt = at
		}
	}
	code := toucanpb.Code_CODE_UNSPECIFIED
	if fail {
		code = toucanpb.Code_CODE_FAILED
	}
	if rejected {
		code = toucanpb.Code_CODE_REJECTED
	}
	if f.traffic.untimed != nil && f.traffic.untimed(rng, q, version == "v2") {
		took = -1
	}
	manager.RecordResponse("s", version, route, code, took)
}

// requireGoodVersionDone simulates the rollout of a good version and requires it to be
// done at its deadline.
func requireGoodVersionDone(t *testing.T, seed uint64, prepare func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hosts)
		prepare(f)
		f.simulate(t, seed, timeLimit, healthy, nil)
		require.Equal(t, toucanrollout.Done, f.store.lastPhase(), "seed %d: %s", seed, f.store.values["moves/s"])
	})
}

// Guards against a good version that is not done by its deadline, also when the store
// rejects one host.
func TestGoodVersionCompletesByDeadline(t *testing.T) {
	for name, prepare := range map[string]func(f *fleet){
		"calm":                 func(*fleet) {},
		"store rejects a host": func(f *fleet) { f.store.unavailableTo = func(h toucanhost.ID) bool { return h == "h0" } },
	} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) { requireGoodVersionDone(t, seed, prepare) })
		}
	}
}

// Guards against a good version that misses its deadline because the evidence of a
// host that is cut off from all others is missing.
func TestGoodVersionCompletesByDeadlineWithIsolatedHost(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			requireGoodVersionDone(t, seed, func(f *fleet) {
				f.partitioned = func(a, b toucanhost.ID) bool { return a == "h3" || b == "h3" }
			})
		})
	}
}

// Guards against a version that fails or slows down and gets more than its share of
// the requests, or requests after its faults have shown.
func TestBadVersionExposureIsBounded(t *testing.T) {
	failing := func(rng *rand.Rand, q request) (bool, time.Duration) {
		fail, took := healthy(rng, q)
		return fail || rng.IntN(10) < 4, took
	}
	for name, newVersion := range map[string]response{
		"fails": failing,
		"slow": func(rng *rand.Rand, q request) (bool, time.Duration) {
			fail, took := healthy(rng, q)
			return fail, 4 * took
		},
		"fails later": func(rng *rand.Rand, q request) (bool, time.Duration) {
			if q.at < 3*time.Second {
				return healthy(rng, q)
			}
			return failing(rng, q)
		},
		"fails under load": func(rng *rand.Rand, q request) (bool, time.Duration) {
			if q.share < 0.04 {
				return healthy(rng, q)
			}
			return failing(rng, q)
		},
		"fails on the rare route": func(rng *rand.Rand, q request) (bool, time.Duration) {
			if q.route != "quick" {
				return healthy(rng, q)
			}
			return failing(rng, q)
		},
		"slow on the rare route": func(rng *rand.Rand, q request) (bool, time.Duration) {
			fail, took := healthy(rng, q)
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
					f.simulate(t, seed, timeLimit, newVersion, nil)
					t.Logf("%d of %d requests, %d bad responses, last at %v", f.exposed, f.total, f.bad, f.lastNew)
					require.LessOrEqual(t, float64(f.exposed), exposureShare*float64(f.total)+exposureSlack, "seed %d", seed)
					if f.faultShownAt > 0 {
						require.LessOrEqual(t, f.lastNew, f.faultShownAt+rollbackTime, "seed %d", seed)
					}
					require.Equal(t, toucanrollout.RolledBack, f.store.lastPhase(), "seed %d: %s", seed, f.store.values["moves/s"])
				})
			})
		}
	}
}

// Guards against a rollout that never ends: one without requests is rolled back at its
// deadline, and one that nothing holds is done when the store is available again.
func TestRolloutEndsAtItsDeadline(t *testing.T) {
	const spare = 5 * time.Second
	t.Run("no requests", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(hosts)
			f.perStep = 0
			f.simulate(t, 1, timeLimit+spare, healthy, nil)
			require.Equal(t, toucanrollout.RolledBack, f.store.lastPhase(), "%s", f.store.values["moves/s"])
		})
	})
	t.Run("store unavailable", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(hosts)
			var down atomic.Bool
			f.store.unavailableTo = func(toucanhost.ID) bool { return down.Load() }
			f.simulate(t, 1, timeLimit+2*spare, healthy, func(at time.Duration) { down.Store(at > timeLimit/2 && at < timeLimit+spare/2) })
			require.Equal(t, toucanrollout.Done, f.store.lastPhase(), "%s", f.store.values["moves/s"])
		})
	})
}

// Guards against a rolled-back version that gets requests again when its order is
// removed, on hosts that saw the rollout and on one that started afterwards; and
// against one that stays excluded after a new order.
func TestRolledBackVersionGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hosts)
		always := func(*rand.Rand, request) (bool, time.Duration) { return true, 8 * time.Millisecond }
		f.simulate(t, 1, timeLimit, always, nil)
		require.Equal(t, toucanrollout.RolledBack, f.store.lastPhase())
		late := &toucanrollout.Manager{Log: zap.NewNop()}
		state := toucanrollout.DecodeState("moves/s", f.store.values["moves/s"])
		require.NotNil(t, state)
		late.ApplyStoredState(*state)
		require.Equal(t, toucanrollout.VersionChoice{Excluded: "v2"}, late.ChooseVersion("s", "broad", false), "the order was removed before it started")
		late.AddOrder(order(7), time.Now())
		for _, mgr := range append(f.managers, late) {
			mgr.RemoveOrder("s")
			require.Equal(t, toucanrollout.VersionChoice{Excluded: "v2"}, mgr.ChooseVersion("s", "broad", false))
		}
		late.AddOrder(order(9), time.Now())
		require.True(t, late.InProgress("s"))
		late.ApplyStoredState(*state)
		late.RemoveOrder("s")
		require.Equal(t, toucanrollout.VersionChoice{}, late.ChooseVersion("s", "broad", false), "a new order allows the version again")
	})
}

// Guards against requests to the new version before the state of its rollout is known,
// and against an older order that replaces a newer one.
func TestNewVersionGetsNoRequestsWhileStateUnknown(t *testing.T) {
	mgr := &toucanrollout.Manager{Log: zap.NewNop()}
	require.Equal(t, toucanrollout.VersionChoice{}, mgr.ChooseVersion("s", "broad", false))
	mgr.AddOrder(toucanrollout.Order{Service: "s", Version: "v3", TimeLimit: timeLimit, Number: 9}, time.Now())
	mgr.AddOrder(order(7), time.Now())
	for range 100 {
		require.Equal(t, toucanrollout.VersionChoice{Excluded: "v3"}, mgr.ChooseVersion("s", "broad", false))
	}
	require.Equal(t, toucanrollout.VersionChoice{}, mgr.ChooseVersion("other", "broad", false))
}

// Guards against a host that knows no others yet, or is cut off from all, and uses
// all of extraRequests by itself.
func TestExtraRequestsAreDividedBeforeHostsAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		mgr := f.managers[0]
		mgr.MinHosts = hosts
		ctx, cancel := context.WithCancel(t.Context())
		end := mgr.Run(ctx)
		mgr.AddOrder(order(7), time.Now())
		<-time.After(timeLimit / 2)
		// Enough requests that half of the route's are more than what the host may send.
		const oldRequests = 30
		for range oldRequests {
			mgr.EndRequest("s", "v1", "broad", true)
		}
		sentToNew := 0
		for range 1000 {
			if mgr.ChooseVersion("s", "broad", false).Preferred == "" {
				continue
			}
			sentToNew++
			mgr.BeginRequest("s", "v2", "broad")
		}
		require.Positive(t, sentToNew)
		require.LessOrEqual(t, float64(sentToNew), exposureShare*oldRequests+exposureSlack/hosts)
		cancel()
		require.NoError(t, <-end)
	})
}
