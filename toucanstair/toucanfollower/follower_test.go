package toucanfollower_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucanfollower"
	"toucanstair.example/toucanstair/toucanmirror"
	"toucanstair.example/toucanstair/toucanrollout"
	"toucanstair.example/toucanstair/toucanrules"
	"toucanstair.example/toucanstair/toucansource"
)

// unavailable is the error of a store that refuses calls.
type unavailable struct{}

func (unavailable) Error() string { return "try later" }

// maxEvents is the number of changes in a reply of the store.
const maxEvents = 50

// fakeStore is an in-memory store with configurable failures.
type fakeStore struct {
	mu            sync.Mutex
	items         map[string]toucanmirror.Item
	log           []toucanmirror.Item
	revision      toucanmirror.Revision
	compactedTo   toucanmirror.Revision // changes up to this revision are compacted
	down          bool
	hung          bool                         // watches hang until their context ends
	staleItems    map[string]toucanmirror.Item // returned by stale lists, with staleRevision; nil: the current items
	staleRevision toucanmirror.Revision
	calls         int
	changed       chan struct{}
	hidesEra      bool // the responses do not tell the era
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]toucanmirror.Item{}, changed: make(chan struct{}), revision: 1}
}

func (s *fakeStore) put(key, value string) {
	s.change(toucanmirror.Item{Key: key, Value: []byte(value)})
}
func (s *fakeStore) remove(key string) { s.change(toucanmirror.Item{Key: key, Deleted: true}) }

func (s *fakeStore) change(it toucanmirror.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision = s.revision
	s.log = append(s.log, it)
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) List(_ context.Context, stale bool) ([]toucanmirror.Item, toucanmirror.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, unavailable{}
	}
	if stale && s.staleItems != nil {
		return slices.Collect(maps.Values(s.staleItems)), s.staleRevision, nil
	}
	return slices.Collect(maps.Values(s.items)), s.revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, after toucanmirror.Revision, wait time.Duration) ([]toucanmirror.Item, toucanmirror.Revision, error) {
	s.set(func() { s.calls++ })
	until := time.Now().Add(wait)
	for {
		s.mu.Lock()
		down, hung, changed := s.down, s.hung, s.changed
		var out []toucanmirror.Item
		for _, it := range s.log {
			if it.Revision > after && len(out) < maxEvents {
				out = append(out, it)
			}
		}
		at, compactedTo := s.revision, s.compactedTo
		missing := after.Era() != at.Era() || after > at
		if len(out) == maxEvents {
			at = out[maxEvents-1].Revision
		}
		s.mu.Unlock()
		switch {
		case down:
			return nil, 0, unavailable{}
		case hung:
			<-ctx.Done()
			return nil, 0, ctx.Err()
		case after < compactedTo || missing:
			return nil, 0, toucanfollower.ErrCompacted
		case len(out) > 0 || !time.Now().Before(until):
			return out, at, nil
		}
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// decode reads "rules" with a version, "out/ZONE" and "t/ID" with a state.
func decode(it toucanmirror.Item) (toucanfollower.Change, error) {
	kind, name, _ := strings.Cut(it.Key, "/")
	switch {
	case kind == "rules":
		var v uint64
		_, err := fmt.Sscan(string(it.Value), &v)
		return toucanfollower.Change{Rules: &toucanrules.Rules{Version: v}}, err
	case kind == "out":
		return toucanfollower.Change{Zone: toucanzone.Name(name), OutOfService: !it.Deleted}, nil
	case it.Deleted:
		return toucanfollower.Change{RemovedTarget: toucanreplica.ID(name)}, nil
	}
	state, rest, _ := strings.Cut(string(it.Value), " ")
	target := &toucanbalancer.TargetInfo{ID: toucanreplica.ID(name), Service: "s", Draining: state == "draining"}
	if state == "cold" {
		cold, err := time.ParseDuration(rest)
		target.ColdRemaining = cold
		return toucanfollower.Change{Target: target}, err
	}
	return toucanfollower.Change{Target: target}, nil
}

const maxPropagation = 3 * time.Second

func startFollower(t *testing.T, s toucanfollower.Store) *toucanfollower.Follower {
	f := &toucanfollower.Follower{
		Store: s, Decode: decode, MaxPropagation: maxPropagation, Self: toucansource.Peer{ID: "h", Zone: "a"},
		Mirror: &toucanmirror.Mirror{}, Targets: &toucanbalancer.TargetSet{}, Rollouts: &toucanrollout.Manager{}, Log: zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	end := f.Run(ctx)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-end)
	})
	return f
}

func rulesVersion(f *toucanfollower.Follower) uint64 {
	if r := f.Rules(); r != nil {
		return r.Version
	}
	return 0
}

// Guards against one call to the store for each heartbeat of a target, and
// against changes that take effect too late.
func TestHeartbeatsAreBatchedAndChangesApplyInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("rules", "1")
		f := startFollower(t, s)
		const seconds = 30
		for i := range seconds * 50 {
			s.put(fmt.Sprint("t/", i%100), fmt.Sprint("ready ", i))
			<-time.After(20 * time.Millisecond)
		}
		require.Less(t, s.callCount(), 2*seconds)
		s.put("t/5", "draining")
		s.put("rules", "2")
		s.put("out/b", "")
		<-time.After(maxPropagation / 2)
		require.Equal(t, uint64(2), rulesVersion(f))
		require.True(t, f.OutOfServiceZones()["b"])
		for _, target := range f.Targets.Candidates("s") {
			require.NotEqual(t, toucanreplica.ID("5"), target.ID)
		}
		s.remove("out/b")
		<-time.After(maxPropagation / 2)
		require.Empty(t, f.OutOfServiceZones())
	})
}

// Guards against a second cold time that followers never learn of, and a change for each heartbeat.
func TestEachColdTimeIsSignificant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("rules", "1")
		f := startFollower(t, s)
		<-time.After(time.Second)
		for range 3 {
			before := f.Mirror.Revision()
			for left := 3 * time.Second; left >= 0; left -= time.Second {
				s.put("t/1", "cold "+left.String())
				<-time.After(time.Second)
			}
			<-time.After(10 * time.Second)
			changes, _ := f.Mirror.Since(before)
			require.Len(t, changes.Items, 1)
			require.Equal(t, "cold 3s", string(changes.Items[0].Value))
		}
	})
}

// Guards against a host that waits indefinitely on a hung connection.
func TestHungWatchTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("rules", "1")
		f := startFollower(t, s)
		<-time.After(time.Second)
		s.set(func() { s.hung = true })
		<-time.After(10 * time.Second)
		s.put("rules", "2")
		s.set(func() { s.hung = false })
		<-time.After(maxPropagation)
		require.Equal(t, uint64(2), rulesVersion(f))
	})
}

// Guards against pauses while a backlog is read after an outage. With a pause of
// 650 ms after each reply of some hundred heartbeats, a host still sent requests
// to a target 3.1 s after the target had announced that it was leaving.
func TestBacklogAfterOutageIsReadWithoutPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("rules", "1")
		f := startFollower(t, &pagedStore{fakeStore: s, limit: 100})
		<-time.After(time.Second)
		s.set(func() { s.down = true })
		for i := range 1500 {
			s.put(fmt.Sprint("t/", i%100), fmt.Sprint("ready ", i))
		}
		s.put("rules", "2")
		<-time.After(5 * time.Second)
		s.set(func() { s.down = false })
		<-time.After(maxPropagation / 2)
		require.Equal(t, uint64(2), rulesVersion(f))
	})
}

// pagedStore limits the number of changes in one reply.
type pagedStore struct {
	*fakeStore
	limit int
}

func (p *pagedStore) Watch(ctx context.Context, after toucanmirror.Revision, wait time.Duration) ([]toucanmirror.Item, toucanmirror.Revision, error) {
	items, at, err := p.fakeStore.Watch(ctx, after, wait)
	if len(items) > p.limit {
		items = items[:p.limit]
		at = items[p.limit-1].Revision
	}
	return items, at, err
}

// Guards against a host that loses its rules or returns to older ones when the
// store is down, compacts changes or recovers.
func TestRulesVersionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("rules", "7")
		f := startFollower(t, s)
		<-time.After(time.Second)
		newest := rulesVersion(f)
		require.Equal(t, uint64(7), newest)
		for v := 8; v < 20; v++ {
			s.set(func() { s.down = v%3 == 0 })
			s.put("rules", fmt.Sprint(v))
			if v%4 == 0 {
				s.set(func() { s.compactedTo, s.log = s.revision-1, nil })
			}
			for range 10 {
				<-time.After(200 * time.Millisecond)
				require.GreaterOrEqual(t, rulesVersion(f), newest)
				newest = rulesVersion(f)
			}
		}
		s.set(func() { s.down = false })
		<-time.After(maxPropagation)
		require.Equal(t, uint64(19), rulesVersion(f))
	})
}

// Guards against targets that remain after their entries were removed in
// changes that the store has compacted.
func TestRemovalsInCompactedChangesAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("t/1", "ready")
		s.put("t/2", "ready")
		f := startFollower(t, s)
		<-time.After(time.Second)
		require.Len(t, f.Targets.Candidates("s"), 2)
		s.set(func() { s.down = true })
		<-time.After(time.Second)
		s.remove("t/2")
		s.set(func() { s.compactedTo, s.log, s.down = s.revision, nil, false })
		<-time.After(maxPropagation)
		require.Len(t, f.Targets.Candidates("s"), 1)
	})
}

// Guards against calls without backoff while the store is down, and against a
// host that stops calling it.
func TestBacksOffWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		startFollower(t, s)
		<-time.After(time.Second)
		s.set(func() { s.down, s.calls = true, 0 })
		<-time.After(20 * time.Second)
		require.Less(t, s.callCount(), 50)
		require.Greater(t, s.callCount(), 10)
	})
}

// Guards against a restarted host that uses, for a moment or for as long as the store is
// away, what was withdrawn before its start: a target that left, a zone that was taken
// out of service, older rules.
func TestRestartedHostDoesNotUseWithdrawnItems(t *testing.T) {
	for name, fail := range map[string]func(*fakeStore){
		"changes available": func(*fakeStore) {},
		"changes compacted": func(s *fakeStore) { s.compactedTo, s.log = s.revision, nil },
		"watches hang":      func(s *fakeStore) { s.hung = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				s.put("rules", "7")
				s.put("t/1", "ready")
				s.put("t/2", "ready")
				s.set(func() { s.staleItems, s.staleRevision = maps.Clone(s.items), s.revision })
				s.remove("t/1")
				s.put("rules", "8")
				s.put("out/a", "")
				s.set(func() { fail(s) })
				f := startFollower(t, s)
				for range 400 {
					<-time.After(10 * time.Millisecond)
					require.NotEqual(t, uint64(7), rulesVersion(f))
					require.False(t, f.Targets.Contains("1"))
					require.Equal(t, f.Ready(), f.OutOfServiceZones()["a"])
				}
				s.set(func() { s.hung = false })
				<-time.After(10 * time.Second)
				require.Equal(t, uint64(8), rulesVersion(f))
			})
		})
	}
}

// Guards against one malformed item that ends the process, or the reading of others.
func TestPanicOnOneItemLeavesTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := &toucanfollower.Follower{
			Store: s, MaxPropagation: maxPropagation, Self: toucansource.Peer{ID: "h", Zone: "a"},
			Mirror: &toucanmirror.Mirror{}, Targets: &toucanbalancer.TargetSet{}, Rollouts: &toucanrollout.Manager{}, Log: zap.NewNop(),
			Decode: func(it toucanmirror.Item) (toucanfollower.Change, error) {
				if it.Key == "t/bad" {
					panic("a defect")
				}
				return decode(it)
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		end := f.Run(ctx)
		s.put("t/bad", "ready")
		s.put("t/1", "ready")
		<-time.After(maxPropagation)
		s.put("t/bad", "again")
		s.put("t/2", "ready")
		<-time.After(maxPropagation)
		require.Len(t, f.Targets.Candidates("s"), 2)
		cancel()
		require.NoError(t, <-end)
	})
}

// Guards against a call of each host of a large fleet that brings nothing when they all
// start for the first time.
func TestStartAtEmptyStoreNeedsNoCatchingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		startFollower(t, s)
		<-time.After(100 * time.Millisecond)
		require.Equal(t, 2, s.callCount(), "a list and the first watch")
	})
}
