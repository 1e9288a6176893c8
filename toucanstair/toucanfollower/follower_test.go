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

// refused is a call that the store did not serve.
type refused struct{}

func (refused) Error() string { return "try later" }

// store is a stand-in of the platform's store with its failures.
type store struct {
	mu       sync.Mutex
	items    map[string]toucanmirror.Item
	log      []toucanmirror.Item
	revision uint64
	from     uint64 // changes up to here are forgotten
	down     bool
	silent   bool // calls that wait hang until their context ends
	calls    int
	changed  chan struct{}
}

func newStore() *store {
	return &store{items: map[string]toucanmirror.Item{}, changed: make(chan struct{}), revision: 1}
}

func (s *store) put(key, value string) { s.change(toucanmirror.Item{Key: key, Value: []byte(value)}) }
func (s *store) remove(key string)     { s.change(toucanmirror.Item{Key: key, Deleted: true}) }

func (s *store) change(it toucanmirror.Item) {
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

func (s *store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *store) asked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *store) List(context.Context, bool) ([]toucanmirror.Item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, refused{}
	}
	return slices.Collect(maps.Values(s.items)), s.revision, nil
}

func (s *store) Watch(ctx context.Context, after uint64, wait time.Duration) ([]toucanmirror.Item, uint64, error) {
	s.set(func() { s.calls++ })
	until := time.Now().Add(wait)
	for {
		s.mu.Lock()
		down, silent, changed := s.down, s.silent, s.changed
		var out []toucanmirror.Item
		for _, it := range s.log {
			if it.Revision > after {
				out = append(out, it)
			}
		}
		at, from := s.revision, s.from
		s.mu.Unlock()
		switch {
		case down:
			return nil, 0, refused{}
		case silent:
			<-ctx.Done()
			return nil, 0, ctx.Err()
		case after < from:
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
	state, _, _ := strings.Cut(string(it.Value), " ")
	return toucanfollower.Change{Target: &toucanbalancer.TargetInfo{ID: toucanreplica.ID(name), Service: "s", Draining: state == "draining"}}, nil
}

const within = 3 * time.Second

func follow(t *testing.T, s toucanfollower.Store) *toucanfollower.Follower {
	f := &toucanfollower.Follower{
		Store: s, Decode: decode, MaxPropagation: within, Self: toucansource.Peer{ID: "h", Zone: "a"},
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

func version(f *toucanfollower.Follower) uint64 {
	if r := f.Rules(); r != nil {
		return r.Version
	}
	return 0
}

// Guards against a call for each beat of a target, and against changes that
// come into effect too late.
func TestHeartbeatsAreBatchedAndChangesApplyInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("rules", "1")
		f := follow(t, s)
		const seconds = 30
		for i := range seconds * 50 {
			s.put(fmt.Sprint("t/", i%100), fmt.Sprint("ready ", i))
			<-time.After(20 * time.Millisecond)
		}
		require.Less(t, s.asked(), 2*seconds)
		s.put("t/5", "draining")
		s.put("rules", "2")
		s.put("out/b", "")
		<-time.After(within / 2)
		require.Equal(t, uint64(2), version(f))
		require.True(t, f.OutOfServiceZones()["b"])
		for _, target := range f.Targets.Candidates("s") {
			require.NotEqual(t, toucanreplica.ID("5"), target.ID)
		}
		s.remove("out/b")
		<-time.After(within / 2)
		require.Empty(t, f.OutOfServiceZones())
	})
}

// Guards against a host that waits on a connection which has gone silent.
func TestHungWatchTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("rules", "1")
		f := follow(t, s)
		<-time.After(time.Second)
		s.set(func() { s.silent = true })
		<-time.After(10 * time.Second)
		s.put("rules", "2")
		s.set(func() { s.silent = false })
		<-time.After(within)
		require.Equal(t, uint64(2), version(f))
	})
}

// Guards against changes that wait in a long backlog after an outage: a host
// took 650 ms for each reply of some hundred beats, and sent to a target 3.1 s
// after that had said that it leaves.
func TestBacklogAfterOutageIsReadWithoutPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("rules", "1")
		f := follow(t, &pages{store: s, most: 100})
		<-time.After(time.Second)
		s.set(func() { s.down = true })
		for i := range 1500 {
			s.put(fmt.Sprint("t/", i%100), fmt.Sprint("ready ", i))
		}
		s.put("rules", "2")
		<-time.After(5 * time.Second)
		s.set(func() { s.down = false })
		<-time.After(within / 2)
		require.Equal(t, uint64(2), version(f))
	})
}

// pages is a store that returns a limited number of changes.
type pages struct {
	*store
	most int
}

func (p *pages) Watch(ctx context.Context, after uint64, wait time.Duration) ([]toucanmirror.Item, uint64, error) {
	items, at, err := p.store.Watch(ctx, after, wait)
	if len(items) > p.most {
		items = items[:p.most]
		at = items[p.most-1].Revision
	}
	return items, at, err
}

// Guards against a host that loses its rules or goes back to older ones when
// the store is down, forgets changes or comes back.
func TestRulesVersionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("rules", "7")
		f := follow(t, s)
		<-time.After(time.Second)
		newest := version(f)
		require.Equal(t, uint64(7), newest)
		for v := 8; v < 20; v++ {
			s.set(func() { s.down = v%3 == 0 })
			s.put("rules", fmt.Sprint(v))
			if v%4 == 0 {
				s.set(func() { s.from, s.log = s.revision-1, nil })
			}
			for range 10 {
				<-time.After(200 * time.Millisecond)
				require.GreaterOrEqual(t, version(f), newest)
				newest = version(f)
			}
		}
		s.set(func() { s.down = false })
		<-time.After(within)
		require.Equal(t, uint64(19), version(f))
	})
}

// Guards against targets that stay after their entries were removed in
// changes that the store has forgotten.
func TestRemovalsInCompactedChangesAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("t/1", "ready")
		s.put("t/2", "ready")
		f := follow(t, s)
		<-time.After(time.Second)
		require.Len(t, f.Targets.Candidates("s"), 2)
		s.set(func() { s.down = true })
		<-time.After(time.Second)
		s.remove("t/2")
		s.set(func() { s.from, s.log, s.down = s.revision, nil, false })
		<-time.After(within)
		require.Len(t, f.Targets.Candidates("s"), 1)
	})
}

// Guards against a store that is asked without pause while it is down.
func TestBacksOffWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		follow(t, s)
		<-time.After(time.Second)
		s.set(func() { s.down, s.calls = true, 0 })
		<-time.After(20 * time.Second)
		require.Less(t, s.asked(), 50)
		require.Greater(t, s.asked(), 10)
	})
}
