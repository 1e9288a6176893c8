// Package toucanfollower follows the operators' rules and orders, the list of
// targets and the other hosts, in a store or through another host.
package toucanfollower

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucantimer"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucanfeed"
	"toucanstair.example/toucanstair/toucanmirror"
	"toucanstair.example/toucanstair/toucanrollout"
	"toucanstair.example/toucanstair/toucanrules"
	"toucanstair.example/toucanstair/toucansource"
)

const (
	// pollShare is how long the store may hold a watch, as a part of the time
	// within which changes must be in effect. A watch whose connection has gone
	// silent ends only after this time.
	pollShare = 0.4
	// pollSpare is how much longer than that a watch may take.
	pollSpare = 1200 * time.Millisecond
	// listTime bounds one listing.
	listTime = 3 * time.Second
	// pauseShare is the part of the time within which changes must be in effect
	// that a host waits between two watches. Targets beat about each second, and
	// each call counts.
	pauseShare = 0.28
	// caughtUp is the number of changes in one reply below which none wait.
	caughtUp = 20
	// retryFirst and retryMost bound the pause after a failed call.
	retryFirst = 150 * time.Millisecond
	retryMost  = 900 * time.Millisecond
	// unsureFor is how long after a failed call the list counts as uncertain.
	unsureFor = 5 * time.Second
	// keptRules is the number of versions of the rules that are kept, for
	// requests that another host began with an older one.
	keptRules = 4
	sweepTime = 250 * time.Millisecond
	// holdTime is how long a host stays with a source that is not the best
	// before it tries a better one.
	holdTime = 6 * time.Second
	// feedSilence is how long a feed may be silent; it sends twice a second.
	feedSilence = 1400 * time.Millisecond
	// ageShare is the part of the time for changes by which a feed may lag: a
	// pause, an empty watch and some time for the way.
	ageShare = 0.8
)

var (
	calls    = metrics.NewCounter("toucan_follow_calls_total")
	failures = metrics.NewCounter("toucan_follow_failures_total")
	feeds    = metrics.NewCounter("toucan_follow_feeds_total")
)

// ErrCompacted means that the store no longer has the changes that were asked
// for.
var ErrCompacted error = compacted{}

type compacted struct{}

func (compacted) Error() string { return "the store no longer has these changes" }

// Change is what an item says. At most one of its parts is set.
type Change struct {
	Rules          *toucanrules.Rules
	Target         *toucanbalancer.TargetInfo
	RemovedTarget  toucanreplica.ID // a target whose entry is gone
	Zone           toucanzone.Name  // a zone that is taken out of service or back
	OutOfService   bool
	Order          *toucanrollout.Order // a version that requests are to move to; Number is the revision
	WithdrawnOrder toucanservice.Name   // a service whose order is gone
	State          *toucanrollout.State // of a move
	Peer           *toucansource.Peer   // a host
	RemovedHost    toucanhost.ID        // a host whose entry is gone
}

// Store is the platform's store, as far as it is read here.
type Store interface {
	// List returns all items and a revision from which a watch sees every later
	// change. What it returns may be some seconds old where stale is set.
	List(ctx context.Context, stale bool) ([]toucanmirror.Item, uint64, error)
	// Watch waits for changes after a revision; ErrCompacted means that they
	// are no longer there.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]toucanmirror.Item, uint64, error)
}

// moves carries out orders to move services to new versions.
type moves interface {
	AddOrder(o toucanrollout.Order, now time.Time)
	RemoveOrder(s toucanservice.Name)
	ApplyStoredState(s toucanrollout.State)
}

// Follower keeps what the store says. Its exported fields are set before Run.
type Follower struct {
	Store            Store
	Decode           func(toucanmirror.Item) (Change, error)
	Self             toucansource.Peer
	MaxPropagation   time.Duration // in which a change must be in effect
	Mirror           *toucanmirror.Mirror
	Targets          *toucanbalancer.TargetSet
	Rollouts         moves
	Log              *zap.Logger
	OnTargetsRemoved func() // called when targets were forgotten; may be nil

	mu       sync.Mutex // serializes batches
	rules    atomic.Pointer[toucanrules.Rules]
	revision uint64                               // of the rules
	recent   atomic.Pointer[[]*toucanrules.Rules] // newest first
	out      atomic.Pointer[map[toucanzone.Name]bool]
	peers    atomic.Pointer[map[toucanhost.ID]toucansource.Peer]
	listed   atomic.Bool
	unsure   atomic.Int64 // last failure, Unix nanoseconds
	stale    bool         // the last whole list may have been old
	lost     bool
	behind   bool              // changes may wait that were made while the source was lost
	said     map[string]Change // of the last notable value of each key
	batch    map[version]Change
}

// Rules returns the newest rules, or nil before there are any.
func (f *Follower) Rules() *toucanrules.Rules { return f.rules.Load() }

// Limits returns what callers may send; nothing is known before there are rules.
func (f *Follower) Limits() toucanrules.Limits {
	if r := f.Rules(); r != nil {
		return r.Limits
	}
	return toucanrules.Limits{}
}

// RulesAt returns the rules of a version that is, or was a short time ago, in
// effect, or nil.
func (f *Follower) RulesAt(version uint64) *toucanrules.Rules {
	kept := f.recent.Load()
	if kept == nil {
		return nil
	}
	for _, r := range *kept {
		if r.Version == version {
			return r
		}
	}
	return nil
}

// OutOfServiceZones returns the zones that get nothing; the map is not changed.
func (f *Follower) OutOfServiceZones() map[toucanzone.Name]bool {
	if m := f.out.Load(); m != nil {
		return *m
	}
	return nil
}

// Peers returns the hosts that are listed, this one included once it is.
func (f *Follower) Peers() []toucansource.Peer {
	if m := f.peers.Load(); m != nil {
		return slices.Collect(maps.Values(*m))
	}
	return nil
}

// Ready reports whether there are rules and a list of targets.
func (f *Follower) Ready() bool { return f.rules.Load() != nil && f.listed.Load() }

// Run follows the store until ctx ends and then reports on the channel.
func (f *Follower) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	var group sync.WaitGroup
	group.Go(func() { f.follow(ctx) })
	group.Go(func() { f.sweep(ctx) })
	go func() {
		group.Wait()
		end <- nil
	}()
	return end
}

// follow learns from the best source that works, and now and then tries a
// better one.
func (f *Follower) follow(ctx context.Context) {
	fails, skip := 0, 0
	until := time.Time{}
	for ctx.Err() == nil {
		if skip > 0 && time.Now().After(until) {
			skip = 0
		}
		sources := toucansource.Prioritize(f.Self, f.Peers())
		s := sources[min(skip, len(sources)-1)]
		began := time.Now()
		var err error
		if s.IsStore() {
			err = f.direct(ctx, until)
		} else {
			feeds.Inc()
			err = f.feed(ctx, s.Peer, skip > 0, until)
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			fails = 0
			continue
		}
		f.failed(s, err)
		if time.Since(began) > retryMost {
			fails = 0
		}
		fails++
		until = time.Now().Add(holdTime)
		if skip++; skip >= len(sources) {
			skip = 0
			toucantimer.Wait(ctx, backoff(fails))
		}
	}
}

func (f *Follower) failed(s toucansource.Source, err error) {
	failures.Inc()
	if s.IsStore() {
		f.unsure.Store(time.Now().UnixNano())
	}
	f.lost, f.behind = true, true
	f.Log.Warn("dependency lost", zap.String("source", name(s)), zap.Uint64("revision", f.Mirror.Revision()),
		zap.Duration("age", f.Mirror.Age(time.Now())), zap.Error(err))
}

func name(s toucansource.Source) string {
	if s.IsStore() {
		return "store"
	}
	return "host " + string(s.Peer.ID)
}

func (f *Follower) regained(s toucansource.Source) {
	if !f.lost {
		return
	}
	f.lost = false
	if s.IsStore() {
		f.unsure.Store(time.Now().UnixNano())
	}
	f.Log.Info("dependency regained", zap.String("source", name(s)), zap.Uint64("revision", f.Mirror.Revision()))
}

func backoff(fails int) time.Duration {
	d := min(retryMost, retryFirst<<min(fails-1, 4))
	return d/2 + rand.N(d/2)
}

// feed follows another host until that fails, or until a moment where there
// is a better source to try.
func (f *Follower) feed(ctx context.Context, p toucansource.Peer, bounded bool, until time.Time) error {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	if bounded {
		inner, cancel = context.WithDeadline(ctx, until)
		defer cancel()
	}
	limits := toucanfeed.Limits{MaxSilence: feedSilence, MaxAge: time.Duration(ageShare * float64(f.MaxPropagation))}
	err := toucanfeed.Follow(inner, p.Address, f.Mirror.Revision(), limits, func(b toucanmirror.Batch, confirmed time.Time) {
		f.apply(b, confirmed)
		f.regained(toucansource.Source{Peer: p})
	})
	if bounded && inner.Err() != nil && ctx.Err() == nil {
		return nil
	}
	return err
}

// direct reads the store until that fails, or until this host should learn
// from another source.
func (f *Follower) direct(ctx context.Context, until time.Time) error {
	for ctx.Err() == nil {
		if err := f.read(ctx); err != nil {
			return err
		}
		f.regained(toucansource.Source{})
		if first := toucansource.Prioritize(f.Self, f.Peers())[0]; !first.IsStore() && time.Now().After(until) {
			return nil
		}
	}
	return nil
}

// read makes one call: a listing first, and watches after that.
func (f *Follower) read(ctx context.Context) error {
	calls.Inc()
	began := time.Now()
	after := f.Mirror.Revision()
	if after == 0 {
		return f.list(ctx)
	}
	hold := time.Duration(pollShare * float64(f.MaxPropagation))
	wait, cancel := context.WithTimeout(ctx, hold+pollSpare)
	defer cancel()
	items, at, err := f.Store.Watch(wait, after, hold)
	if errors.Is(err, ErrCompacted) {
		f.Log.Info("the store has compacted its changes, listing again", zap.Uint64("after", after))
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	f.apply(toucanmirror.Batch{Items: items, Revision: at}, time.Now())
	if f.behind {
		f.behind = len(items) >= caughtUp
	} else if len(items) > 0 {
		toucantimer.Wait(ctx, time.Duration(pauseShare*float64(f.MaxPropagation))-time.Since(began))
	}
	return nil
}

// list takes in the whole store. The first list of a host may be old, since
// the watch after it brings the rest.
func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	stale := f.Mirror.Revision() == 0 && !f.stale
	f.stale = stale
	items, at, err := f.Store.List(ctx, stale)
	if err != nil {
		return err
	}
	f.apply(toucanmirror.Batch{Items: items, Full: true, Revision: at}, time.Now())
	return nil
}

func (f *Follower) sweep(ctx context.Context) {
	for toucantimer.Wait(ctx, sweepTime) {
		now := time.Now()
		unsure := now.UnixNano()-f.unsure.Load() < int64(unsureFor)
		gone := f.Targets.RemoveExpired(now, unsure)
		if len(gone) > 0 && f.OnTargetsRemoved != nil {
			f.OnTargetsRemoved()
		}
	}
}
