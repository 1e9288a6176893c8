package toucanfollower_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucanfeed"
	"toucanstair.example/toucanstair/toucanfollower"
	"toucanstair.example/toucanstair/toucanmirror"
	"toucanstair.example/toucanstair/toucanrollout"
	"toucanstair.example/toucanstair/toucanrules"
	"toucanstair.example/toucanstair/toucansource"
)

// fleetPropagation is the bound on the propagation of changes in the simulated fleet.
const fleetPropagation = 6 * time.Second

// storeMode is how the store treats the calls of one host.
type storeMode int

const (
	storeServes storeMode = iota
	storeRefuses
	storeSilent
)

// simulatedFleet is a fleet of followers without a network, on a paused clock.
type simulatedFleet struct {
	store *fakeStore
	nodes map[string]*simulatedNode // by address
	order []*simulatedNode
	// version is the last published version of the rules.
	version uint64

	mu       sync.Mutex
	modes    map[toucanhost.ID]storeMode
	frozen   map[toucanhost.ID]bool
	isolated map[toucanhost.ID]bool // cut off from all other hosts
	cutZone  toucanzone.Name        // cut off from the other zones
	// feedDelay is how long the hosts take to open a feed.
	feedDelay time.Duration
}

// simulatedNode is a host of the fleet. It is its own store client and feed client.
type simulatedNode struct {
	*toucanfollower.Follower
	fleet *simulatedFleet
	calls atomic.Int64 // of the store
}

func (n *simulatedNode) mode() storeMode {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if n.fleet.frozen[n.Self.ID] {
		return storeSilent
	}
	return n.fleet.modes[n.Self.ID]
}

// call makes a call to the store as its mode allows.
func (n *simulatedNode) call(ctx context.Context, f func()) error {
	const storeLatency = 4 * time.Millisecond
	n.calls.Add(1)
	<-time.After(storeLatency)
	if n.mode() == storeServes {
		f()
	}
	switch n.mode() {
	case storeRefuses:
		return unavailable{}
	case storeSilent:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (n *simulatedNode) List(ctx context.Context, stale bool) (items []toucanmirror.Item, revision toucanmirror.Revision, err error) {
	if e := n.call(ctx, func() { items, revision, err = n.fleet.store.List(ctx, stale) }); e != nil {
		return nil, 0, e
	}
	return items, revision, err
}

func (n *simulatedNode) Watch(ctx context.Context, after toucanmirror.Revision, wait time.Duration) (items []toucanmirror.Item, revision toucanmirror.Revision, err error) {
	if e := n.call(ctx, func() { items, revision, err = n.fleet.store.Watch(ctx, after, wait) }); e != nil {
		return nil, 0, e
	}
	return items, revision, err
}

// reaches reports whether messages pass between two hosts.
func (f *simulatedFleet) reaches(a, b toucansource.Peer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen[a.ID] || f.frozen[b.ID] || f.isolated[a.ID] || f.isolated[b.ID] {
		return false
	}
	return a.Zone == b.Zone || f.cutZone != a.Zone && f.cutZone != b.Zone
}

// Follow streams the mirror of another host as toucanfeed does.
func (n *simulatedNode) Follow(ctx context.Context, address string, after toucanmirror.Revision, l toucanfeed.Limits, receiver toucanfeed.Receiver) error {
	other := n.fleet.nodes[address]
	latency := time.Millisecond
	if other.Self.Zone != n.Self.Zone {
		latency = 12 * time.Millisecond
	}
	<-time.After(2*latency + n.fleet.feedDelay)
	silentSince := time.Now()
	if after.Era() > other.Mirror.Revision().Era() {
		return unavailable{}
	}
	for ctx.Err() == nil {
		b, changed := other.Mirror.Since(after)
		if b.Revision == 0 {
			b.Full = false
		}
		if b.Full && l.DeltasOnly {
			return unavailable{}
		}
		confirmed := time.Now().Add(-other.Mirror.Age(time.Now()))
		<-time.After(latency)
		if n.fleet.reaches(n.Self, other.Self) {
			silentSince = time.Now()
			if age := time.Since(confirmed); age > l.MaxAge {
				return &toucanfeed.StaleError{Address: address, Age: age}
			}
			if err := receiver.ApplyBatch(b, confirmed.Add(latency-20*time.Millisecond)); err != nil {
				return err
			}
			after = b.Revision
		} else if time.Since(silentSince) > l.MaxSilence {
			return context.DeadlineExceeded
		}
		select {
		case <-changed:
		case <-time.After(500 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// decodeFleet is decode with "hosts/ID", whose value is the zone, address and CPU.
func decodeFleet(it toucanmirror.Item) (toucanfollower.Change, error) {
	id, isHost := strings.CutPrefix(it.Key, "hosts/")
	if !isHost {
		return decode(it)
	}
	if it.Deleted {
		return toucanfollower.Change{RemovedHost: toucanhost.ID(id)}, nil
	}
	p := &toucansource.Peer{ID: toucanhost.ID(id)}
	_, err := fmt.Sscan(string(it.Value), &p.Zone, &p.Address, &p.CPUMillis)
	return toucanfollower.Change{Peer: p}, err
}

func (f *simulatedFleet) register(n *simulatedNode) {
	f.store.put("hosts/"+string(n.Self.ID), fmt.Sprint(n.Self.Zone, " ", n.Self.Address, " ", n.Self.CPUMillis))
}

// startFleet starts hosts in six zones, three of them with more CPU in each zone, and
// waits until all have read the store.
func startFleet(t *testing.T, hosts int) *simulatedFleet {
	return startFleetWithin(t, hosts, fleetPropagation)
}

// startFleetWithin is startFleet with another bound on the propagation of changes.
func startFleetWithin(t *testing.T, hosts int, propagation time.Duration) *simulatedFleet {
	f := &simulatedFleet{
		store: newFakeStore(), nodes: map[string]*simulatedNode{},
		modes: map[toucanhost.ID]storeMode{}, frozen: map[toucanhost.ID]bool{}, isolated: map[toucanhost.ID]bool{},
	}
	f.store.revision = toucanmirror.At(1, 1)
	f.store.put("rules", "1")
	ctx, cancel := context.WithCancel(t.Context())
	var ends []<-chan error
	for i := range hosts {
		cpu := 192
		if i < 18 {
			cpu = 800
		}
		n := &simulatedNode{fleet: f}
		n.Follower = &toucanfollower.Follower{
			Store: n, Feeds: n, Decode: decodeFleet, MaxPropagation: propagation,
			ZoneRegions: toucanrules.ZoneRegions{"z0": "x", "z1": "x", "z2": "y", "z3": "y", "z4": "w", "z5": "w"},
			Self:        toucansource.Peer{ID: toucanhost.ID(fmt.Sprint("h", i)), Zone: toucanzone.Name(fmt.Sprint("z", i%6)), Address: fmt.Sprint("a", i), CPUMillis: cpu},
			Mirror:      &toucanmirror.Mirror{}, Targets: &toucanbalancer.TargetSet{}, Rollouts: &toucanrollout.Manager{}, Log: zap.NewNop(),
		}
		f.nodes[n.Self.Address] = n
		f.order = append(f.order, n)
		f.register(n)
	}
	for _, n := range f.order {
		ends = append(ends, n.Run(ctx))
	}
	t.Cleanup(func() {
		cancel()
		for _, end := range ends {
			require.NoError(t, <-end)
		}
	})
	<-time.After(8 * time.Second)
	for _, n := range f.order {
		require.True(t, n.Ready(), n.Self.ID)
	}
	return f
}

// readers returns the hosts that read the store.
func (f *simulatedFleet) readers() []*simulatedNode {
	before := map[*simulatedNode]int64{}
	for _, n := range f.order {
		before[n] = n.calls.Load()
	}
	<-time.After(2 * maxPropagation)
	return slices.DeleteFunc(slices.Clone(f.order), func(n *simulatedNode) bool { return n.calls.Load() == before[n] })
}

// setMode sets how the store treats the calls of hosts.
func (f *simulatedFleet) setMode(m storeMode, hosts ...*simulatedNode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range hosts {
		f.modes[n.Self.ID] = m
	}
}

// lags publishes versions of the rules during a time and returns, for each host that
// counts, how late it had each of them.
func (f *simulatedFleet) lags(during time.Duration, random *rand.Rand, counts func(*simulatedNode) bool) []time.Duration {
	const step = 20 * time.Millisecond
	published := map[uint64]time.Time{}
	has := map[*simulatedNode]uint64{}
	for _, n := range f.order {
		has[n] = n.Rules().Version
		f.version = max(f.version, has[n])
	}
	first := f.version
	var out []time.Duration
	next := time.Now()
	end := time.Now().Add(during)
	for time.Now().Before(end.Add(fleetPropagation)) {
		if now := time.Now(); now.Before(end) && !now.Before(next) {
			f.version++
			published[f.version] = now
			f.store.put("rules", fmt.Sprint(f.version))
			next = now.Add(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		}
		<-time.After(step)
		for _, n := range f.order {
			for v := n.Rules().Version; has[n] < v; {
				has[n]++
				if counts(n) && has[n] > first {
					out = append(out, time.Since(published[has[n]]))
				}
			}
		}
	}
	for _, n := range f.order {
		for ; has[n] < f.version; has[n]++ {
			if counts(n) && has[n]+1 > first {
				out = append(out, time.Since(published[has[n]+1]))
			}
		}
	}
	slices.Sort(out)
	return out
}

// fleetSeeds returns the seeds to run: TOUCAN_SEEDS, or 1 to 3.
func fleetSeeds(t *testing.T) []uint64 {
	var out []uint64
	for field := range strings.SplitSeq(cmp.Or(os.Getenv("TOUCAN_SEEDS"), "1,2,3"), ",") {
		n, err := strconv.ParseUint(field, 10, 64)
		require.NoError(t, err)
		out = append(out, n)
	}
	return out
}

// Guards against hosts that get changes late while the store turns a third of them away,
// the readers first, while their entries are revoked, hundreds of entries change, single
// hosts are cut off or a reader is frozen. Every host that reaches the others has a
// change after a quarter of the bound in the middle and half of it at worst.
func TestChangesReachAllHostsWhileStoreTurnsSomeAway(t *testing.T) {
	for i, seed := range fleetSeeds(t) {
		sizes := []int{23, 62, 295}
		if i > 0 && os.Getenv("TOUCAN_SEEDS") == "" {
			sizes = sizes[:2] // the largest one takes most of the time
		}
		for _, hosts := range sizes {
			t.Run(fmt.Sprint("seed", seed, "/", hosts, "hosts"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(seed, uint64(hosts)))
					f := startFleet(t, hosts)
					excused := map[*simulatedNode]bool{}
					turnedAway := slices.Clone(f.order)
					random.Shuffle(len(turnedAway), func(i, j int) { turnedAway[i], turnedAway[j] = turnedAway[j], turnedAway[i] })
					if random.IntN(2) == 0 { // the strong hosts first, which read the store
						slices.SortStableFunc(turnedAway, func(a, b *simulatedNode) int { return b.Self.CPUMillis - a.Self.CPUMillis })
					}
					turnedAway = turnedAway[:hosts/3]
					mode := storeMode(1 + random.IntN(2))
					revoke := random.IntN(2) == 0
					f.mu.Lock()
					for _, n := range turnedAway {
						f.modes[n.Self.ID] = mode
					}
					cut := f.order[random.IntN(hosts)]
					f.isolated[cut.Self.ID], excused[cut] = true, true
					frozen := f.order[random.IntN(6)]
					f.frozen[frozen.Self.ID], excused[frozen] = true, true
					f.mu.Unlock()
					t.Logf("mode %d, revoke %v, first %s, cut %s, frozen %s", mode, revoke, turnedAway[0].Self.ID, cut.Self.ID, frozen.Self.ID)
					if revoke {
						for _, n := range turnedAway {
							f.store.remove("hosts/" + string(n.Self.ID))
						}
					}
					for i := range 300 {
						f.store.put(fmt.Sprint("t/new", i), "ready")
					}
					f.store.set(func() { f.store.calls = 0 })
					lags := f.lags(9*time.Second, random, func(n *simulatedNode) bool { return !excused[n] })
					calls := f.store.callCount()
					f.mu.Lock()
					clear(f.modes)
					f.mu.Unlock()
					for _, n := range turnedAway {
						f.register(n)
					}
					after := f.lags(9*time.Second, random, func(n *simulatedNode) bool { return !excused[n] })
					for phase, l := range map[string][]time.Duration{"turned away": lags, "served again": after} {
						median, worst := l[len(l)/2], l[len(l)-1]
						t.Logf("%s: median %v, worst %v of %d; %d calls of the store in 15 s", phase, median, worst, len(l), calls)
						require.LessOrEqual(t, median, fleetPropagation/4, phase)
						require.LessOrEqual(t, worst, fleetPropagation/2, phase)
					}
				})
			})
		}
	}
}

// Guards against requests to targets that left more than 3 s ago, sent by hosts whose zone's
// reader is cut off from the store.
func TestRemovedTargetsExpireInTimeWhileReaderIsCutOff(t *testing.T) {
	testReaderIsCutOff(t, 0)
}

// Guards against such requests of a host that is so busy that it reads a removal from the
// store, without its time, before it has opened a feed that has the time.
func TestRemovedTargetsExpireInTimeWhileFeedsOpenLate(t *testing.T) {
	for delay := 100 * time.Millisecond; delay <= 600*time.Millisecond; delay += 100 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) { testReaderIsCutOff(t, delay) })
	}
}

// testReaderIsCutOff cuts the reader of a zone off from the store before a target's entry is
// removed. All other hosts must drop the target before it ends.
func testReaderIsCutOff(t *testing.T, feedDelay time.Duration) {
	const servesFor = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := startFleetWithin(t, 23, maxPropagation)
		f.feedDelay = feedDelay
		for phase := time.Duration(0); phase <= 1300*time.Millisecond; phase += 100 * time.Millisecond {
			f.store.put("t/1", "ready")
			<-time.After(8 * time.Second)
			readers := f.readers()
			require.NotEmpty(t, readers)
			f.store.put("t/other", fmt.Sprint("draining ", phase))
			<-time.After(phase)
			f.setMode(storeSilent, readers[0])
			<-time.After(100 * time.Millisecond)
			f.store.remove("t/1")
			<-time.After(servesFor)
			for _, n := range f.order {
				if n != readers[0] {
					require.Empty(t, n.Targets.Candidates("s"), "%s, phase %v", n.Self.ID, phase)
				}
			}
			<-time.After(2500 * time.Millisecond)
			f.setMode(storeServes, readers[0])
		}
	})
}

// Guards against requests refused after a short outage of the store, in which the entries of
// all targets expired.
func TestTargetsAreKeptUntilTheyAreListedAgainAfterOutage(t *testing.T) {
	for _, mode := range []storeMode{storeRefuses, storeSilent} {
		synctest.Test(t, func(t *testing.T) {
			f := startFleetWithin(t, 23, maxPropagation)
			for outage := 200 * time.Millisecond; outage <= 3*time.Second; outage += 200 * time.Millisecond {
				f.store.put("t/1", "ready")
				<-time.After(8 * time.Second)
				f.setMode(mode, f.order...)
				<-time.After(outage / 2)
				f.store.remove("t/1")
				<-time.After(outage / 2)
				f.setMode(storeServes, f.order...)
				for back := time.Now().Add(1500 * time.Millisecond); time.Now().Before(back); <-time.After(10 * time.Millisecond) {
					for _, n := range f.order {
						require.NotEmpty(t, n.Targets.Candidates("s"), "%s, outage %v, mode %d", n.Self.ID, outage, mode)
					}
				}
			}
		})
	}
}

// Guards against requests refused because entries that expired shortly after an outage of the
// store count as removed earlier than the hosts learned of it.
func TestTargetsAreKeptWhenTheirEntriesExpireAfterOutage(t *testing.T) {
	const absence = 1750 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := startFleetWithin(t, 23, maxPropagation)
		for delay := 1500 * time.Millisecond; delay <= 2500*time.Millisecond; delay += 100 * time.Millisecond {
			f.store.put("t/1", "ready")
			<-time.After(8 * time.Second)
			f.setMode(storeRefuses, f.order...)
			<-time.After(2 * time.Second)
			f.setMode(storeServes, f.order...)
			<-time.After(delay)
			before := f.order[0].Mirror.Revision()
			f.store.remove("t/1")
			<-time.After(absence)
			for _, n := range f.order {
				require.NotEmpty(t, n.Targets.Candidates("s"), "%s, delay %v", n.Self.ID, delay)
				changes, _ := n.Mirror.Since(before)
				require.Len(t, changes.Items, 1)
				require.Zero(t, changes.Items[0].DeletedAfter, "%s, delay %v", n.Self.ID, delay)
			}
		}
	})
}
