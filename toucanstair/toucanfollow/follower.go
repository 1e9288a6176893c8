// Package toucanfollow follows the operators' rules and orders and the list of
// targets in a store, through its failures.
package toucanfollow

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucantimer"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanroster"
	"toucanstair.example/toucanstair/toucanrules"
)

const (
	// pollWait is how long the store may hold a watch. It is short because a
	// watch whose connection has gone silent ends only after this time.
	pollWait = 4 * time.Second
	// pollSpare is how much longer than pollWait a watch may take.
	pollSpare = 1200 * time.Millisecond
	// listTime bounds one listing.
	listTime = 3 * time.Second
	// listPause gathers the changes of targets that beat about each second, so
	// that they cost one call instead of one each.
	listPause = 650 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed call.
	retryFirst = 150 * time.Millisecond
	retryMost  = 900 * time.Millisecond
	// unsureFor is how long after a failed call the list counts as uncertain.
	unsureFor = 5 * time.Second
	sweepTime = 250 * time.Millisecond
)

var (
	calls    = metrics.NewCounter("toucan_follow_calls_total")
	failures = metrics.NewCounter("toucan_follow_failures_total")
)

// ErrCompacted means that the store no longer has the changes that were asked
// for.
var ErrCompacted error = compacted{}

type compacted struct{}

func (compacted) Error() string { return "the store no longer has these changes" }

// Item is one key of the store.
type Item struct {
	Key      string
	Revision uint64
	Value    []byte
	Gone     bool // removed at Revision
}

// Change is what an item says. Exactly one of its parts is set, none when the
// item says nothing that concerns this host.
type Change struct {
	Rules  *toucanrules.Rules
	Target *toucanroster.Entry
	Left   toucanreplica.ID // a target whose entry is gone
	Zone   toucanzone.Name  // a zone whose evacuation starts or ends
	Out    bool
}

// Store is the platform's store, as far as it is read here.
type Store interface {
	// List returns the items under a prefix and a revision from which a watch
	// sees every later change.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Watch waits for changes after a revision; ErrCompacted means that they
	// are no longer there.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
}

// Follower keeps what the store says. Its exported fields are set before Run.
type Follower struct {
	Store   Store
	Decode  func(Item) (Change, error)
	Orders  string // prefix of rules and orders
	Targets string // prefix of the list of targets
	Roster  *toucanroster.Roster
	Log     *zap.Logger
	Swept   func() // called when targets were forgotten; may be nil

	rules    atomic.Pointer[toucanrules.Rules]
	revision atomic.Uint64 // of the rules
	out      atomic.Pointer[map[toucanzone.Name]bool]
	mu       sync.Mutex // serializes changes of rules and orders
	listed   atomic.Bool
	unsure   atomic.Int64 // last failure, Unix nanoseconds
}

// Rules returns the newest rules, or nil before there are any.
func (f *Follower) Rules() *toucanrules.Rules { return f.rules.Load() }

// Out returns the zones that get nothing; the map is not changed.
func (f *Follower) Out() map[toucanzone.Name]bool {
	if m := f.out.Load(); m != nil {
		return *m
	}
	return nil
}

// Ready reports whether there are rules and a list of targets.
func (f *Follower) Ready() bool { return f.rules.Load() != nil && f.listed.Load() }

// Run follows the store until ctx ends and then reports on the channel.
func (f *Follower) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	var group sync.WaitGroup
	group.Go(func() { f.follow(ctx, f.Orders, 0, f.orders) })
	group.Go(func() { f.follow(ctx, f.Targets, listPause, f.targets) })
	group.Go(func() { f.sweep(ctx) })
	go func() {
		group.Wait()
		end <- nil
	}()
	return end
}

// follow lists a prefix and then watches it, and lists it again when the
// store has forgotten changes.
func (f *Follower) follow(ctx context.Context, prefix string, pause time.Duration, take func([]Item, bool)) {
	after, fails, lost := uint64(0), 0, false
	for ctx.Err() == nil {
		var items []Item
		var at uint64
		var err error
		calls.Inc()
		whole := after == 0
		if whole {
			items, at, err = f.list(ctx, prefix)
		} else {
			items, at, err = f.watch(ctx, prefix, after)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrCompacted) {
			f.Log.Info("the store has compacted its changes, listing again", zap.String("prefix", prefix), zap.Uint64("after", after))
			after = 0
			continue
		}
		if err != nil {
			failures.Inc()
			f.unsure.Store(time.Now().UnixNano())
			if fails++; fails == 1 {
				lost = true
				f.Log.Warn("dependency lost: store", zap.String("prefix", prefix), zap.Uint64("after", after), zap.Error(err))
			}
			toucantimer.Wait(ctx, backoff(fails))
			continue
		}
		if lost {
			f.unsure.Store(time.Now().UnixNano())
			f.Log.Info("dependency regained: store", zap.String("prefix", prefix), zap.Int("failures", fails), zap.Uint64("revision", at))
		}
		fails, lost = 0, false
		take(items, whole)
		after = max(after, at, 1)
		if len(items) > 0 {
			toucantimer.Wait(ctx, pause)
		}
	}
}

func backoff(fails int) time.Duration {
	d := min(retryMost, retryFirst<<min(fails-1, 4))
	return d/2 + rand.N(d/2)
}

func (f *Follower) list(ctx context.Context, prefix string) ([]Item, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	return f.Store.List(ctx, prefix)
}

func (f *Follower) watch(ctx context.Context, prefix string, after uint64) ([]Item, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollSpare)
	defer cancel()
	return f.Store.Watch(ctx, prefix, after, pollWait)
}

// orders takes in rules and orders. A revision of the rules that is not above
// the one in effect is ignored.
func (f *Follower) orders(items []Item, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[toucanzone.Name]bool)
	if !whole {
		maps.Copy(out, f.Out())
	}
	for _, it := range items {
		c, err := f.Decode(it)
		if err != nil {
			f.Log.Warn("an order can't be read and is ignored", zap.String("key", it.Key), zap.Uint64("revision", it.Revision), zap.Error(err))
			continue
		}
		if c.Zone != "" {
			f.Log.Info("evacuation changed", zap.String("evacuated", string(c.Zone)), zap.Bool("out", c.Out), zap.Uint64("revision", it.Revision))
			if c.Out {
				out[c.Zone] = true
			} else {
				delete(out, c.Zone)
			}
		}
		if c.Rules != nil {
			f.adopt(c.Rules, it.Revision)
		}
	}
	f.out.Store(&out)
}

func (f *Follower) adopt(r *toucanrules.Rules, revision uint64) {
	if revision <= f.revision.Load() {
		return
	}
	r.Index()
	f.revision.Store(revision)
	f.rules.Store(r)
	f.Log.Info("rules reloaded", zap.Uint64("version", r.Version), zap.Uint64("revision", revision), zap.Int("routes", len(r.Routes)))
}

// targets takes in entries of targets.
func (f *Follower) targets(items []Item, whole bool) {
	now := time.Now()
	listed := make(map[toucanreplica.ID]bool, len(items))
	for _, it := range items {
		c, err := f.Decode(it)
		if err != nil {
			f.Log.Info("an entry of a target can't be read", zap.String("key", it.Key), zap.Uint64("revision", it.Revision), zap.Error(err))
		}
		switch {
		case c.Target != nil:
			listed[c.Target.ID] = true
			if f.Roster.Put(*c.Target, now) && !whole {
				f.Log.Info("target listed", zap.String("target", string(c.Target.ID)), zap.String("service", string(c.Target.Service)), zap.Uint64("revision", it.Revision))
			}
			if c.Target.Draining {
				f.Log.Info("target draining", zap.String("target", string(c.Target.ID)), zap.Uint64("revision", it.Revision))
			}
		case c.Left != "":
			f.Roster.Drop(c.Left, now)
			f.Log.Info("entry of target gone", zap.String("target", string(c.Left)), zap.Uint64("revision", it.Revision))
		}
	}
	if whole {
		f.Roster.Keep(listed, now)
		f.listed.Store(true)
		f.Log.Info("targets listed", zap.Int("targets", len(listed)))
	}
}

func (f *Follower) sweep(ctx context.Context) {
	for toucantimer.Wait(ctx, sweepTime) {
		now := time.Now()
		unsure := now.UnixNano()-f.unsure.Load() < int64(unsureFor)
		gone := f.Roster.Sweep(now, unsure)
		if len(gone) > 0 && f.Swept != nil {
			f.Swept()
		}
	}
}
