// Package toucanfollower follows the operators' rules and orders, the list of
// targets and the list of hosts, in the store or through another host.
package toucanfollower

import (
	"context"
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
	"toucanstair.example/toucanstair/toucanpanic"
	"toucanstair.example/toucanstair/toucanrollout"
	"toucanstair.example/toucanstair/toucanrules"
	"toucanstair.example/toucanstair/toucansource"
)

const (
	// watchShare is how long the store may hold a watch, as a share of
	// MaxPropagation. A watch on a hung connection ends only after this time
	// and watchSlack. In a fleet of largeFleet hosts or more it is largeWatchShare: few of
	// them read the store, and many depend on each.
	watchShare      = 0.4
	largeWatchShare = 0.25
	largeFleet      = 40
	// watchSlack is the additional time that a watch may take.
	watchSlack  = 1200 * time.Millisecond
	listTimeout = 3 * time.Second
	// pauseShare is the pause between two watches, as a share of
	// MaxPropagation. It lets one call return several changes, because the store
	// limits the number of calls.
	pauseShare = 0.28
	// minCutOffItems and minCutOffBytes are the sizes of a reply from which on the store may
	// have cut it off: its replies hold 50 changes, or 1 MB in its encoding. The next watch
	// then follows without a pause.
	minCutOffItems = 45
	minCutOffBytes = 256 << 10
	// catchUpHold is how long the store may hold a watch for the changes since a list. There
	// are some already, or none.
	catchUpHold = time.Millisecond
	// maxCatchUpCalls bounds the watches after a stale list. A busy store always has more
	// changes, which the following watches return.
	maxCatchUpCalls = 4
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 900 * time.Millisecond
	// uncertainPeriod is how long the list of targets counts as uncertain after
	// a call to the store has failed, or has succeeded again.
	uncertainPeriod = 5 * time.Second
	// maxKeptRules is the number of rules versions that are kept, for requests
	// that another host began with an older version.
	maxKeptRules = 4
	// sweepInterval is how often expired targets are removed.
	sweepInterval = 250 * time.Millisecond
	// fallbackPeriod is how long a host uses a source that is not the best one
	// before it tries a better one.
	fallbackPeriod = 6 * time.Second
	// maxFeedSilence is how long a feed may be silent; it sends a message every
	// 500 ms.
	maxFeedSilence = 1400 * time.Millisecond
	// maxFeedAgeShare is the largest age of the best feed, as a share of
	// MaxPropagation: one pause, an empty watch and the transfer. Meanwhile backups
	// supply what it lacks.
	maxFeedAgeShare = 0.8
)

var (
	calls         = metrics.NewCounter("toucan_follow_calls_total")
	failures      = metrics.NewCounter("toucan_follow_failures_total")
	feedsFollowed = metrics.NewCounter("toucan_follow_feeds_total")
)

// ErrCompacted means that the store has compacted the requested changes, so
// that the caller must list all items again.
var ErrCompacted error = compacted{}

type compacted struct{}

func (compacted) Error() string { return "the store no longer has these changes" }

// Change is the decoded content of an item. It is one kind of change, or none
// for an item that does not concern hosts.
type Change struct {
	Rules          *toucanrules.Rules
	Target         *toucanbalancer.TargetInfo
	RemovedTarget  toucanreplica.ID // a target whose entry was deleted
	Zone           toucanzone.Name  // a zone that OutOfService applies to
	OutOfService   bool
	Order          *toucanrollout.Order // an order to roll out a version; its Number is the revision of the item
	WithdrawnOrder toucanservice.Name   // a service whose order was deleted
	State          *toucanrollout.State // the state of a rollout
	Peer           *toucansource.Peer   // a host
	RemovedHost    toucanhost.ID        // a host whose entry was deleted
}

// Store is the part of the platform's store that the Follower reads.
type Store interface {
	// List returns all items and a revision from which a watch sees every later
	// change. If stale is set, the items may be some seconds old.
	List(ctx context.Context, stale bool) ([]toucanmirror.Item, toucanmirror.Revision, error)
	// Watch waits for changes after a revision. It returns ErrCompacted if they
	// are no longer available, or if the store is in another era.
	Watch(ctx context.Context, after toucanmirror.Revision, wait time.Duration) ([]toucanmirror.Item, toucanmirror.Revision, error)
}

// rollouts executes orders to roll out new versions of services.
type rollouts interface {
	AddOrder(o toucanrollout.Order, now time.Time)
	RemoveOrder(s toucanservice.Name)
	ApplyStoredState(s toucanrollout.State)
}

// feeds are the feeds of other hosts; toucanfeed.Client implements it.
type feeds interface {
	Follow(ctx context.Context, address string, after toucanmirror.Revision, l toucanfeed.Limits, receiver toucanfeed.Receiver) error
}

// Follower maintains the state that the store holds. The exported fields are
// set before Run.
type Follower struct {
	Store            Store
	Feeds            feeds // nil: toucanfeed.Client
	Decode           func(toucanmirror.Item) (Change, error)
	Self             toucansource.Peer
	ZoneRegions      toucanrules.ZoneRegions
	MaxPropagation   time.Duration // bound on the time from a change in the store until it is in effect
	Mirror           *toucanmirror.Mirror
	Targets          *toucanbalancer.TargetSet
	Rollouts         rollouts
	Log              *zap.Logger
	OnTargetsRemoved func() // called after targets were removed from Targets; may be nil

	mu                  sync.Mutex // serializes batches
	rules               atomic.Pointer[toucanrules.Rules]
	rulesRevision       toucanmirror.Revision                // of the item with the newest rules
	recentRules         atomic.Pointer[[]*toucanrules.Rules] // newest first
	outOfService        atomic.Pointer[map[toucanzone.Name]bool]
	peers               atomic.Pointer[map[toucanhost.ID]toucansource.Peer]
	listed              atomic.Bool
	storeUncertainSince atomic.Int64             // when a call to the store last failed or recovered, Unix nanoseconds
	disconnected        bool                     // no source has worked since the last failure
	primaryConfirmed    atomic.Int64             // when the store confirmed what the primary source last sent, Unix nanoseconds
	readsStore          atomic.Bool              // the primary source is the store
	primary             storeReader              // of the primary source
	lastSignificant     map[string]appliedChange // by key
	decoded             map[itemVersion]Change   // items of the current batch
}

// Rules returns the newest rules, or nil if there are none yet.
func (f *Follower) Rules() *toucanrules.Rules { return f.rules.Load() }

// Limits returns the limits on callers' requests, or the zero value if there
// are no rules yet.
func (f *Follower) Limits() toucanrules.Limits {
	if r := f.Rules(); r != nil {
		return r.Limits
	}
	return toucanrules.Limits{}
}

// RulesAt returns the rules of a version that is in effect or was until
// recently, or nil.
func (f *Follower) RulesAt(version uint64) *toucanrules.Rules {
	recent := f.recentRules.Load()
	if recent == nil {
		return nil
	}
	for _, r := range *recent {
		if r.Version == version {
			return r
		}
	}
	return nil
}

// OutOfServiceZones returns the zones that get no requests. The caller must not
// modify the map.
func (f *Follower) OutOfServiceZones() map[toucanzone.Name]bool {
	if m := f.outOfService.Load(); m != nil {
		return *m
	}
	return nil
}

// Peers returns the listed hosts. They include this host once its entry has
// been read.
func (f *Follower) Peers() []toucansource.Peer {
	if m := f.peers.Load(); m != nil {
		return slices.Collect(maps.Values(*m))
	}
	return nil
}

// Ready reports whether rules and a list of targets are available.
func (f *Follower) Ready() bool { return f.rules.Load() != nil && f.listed.Load() }

// Run follows the store until ctx ends. The returned channel receives nil once
// all goroutines have stopped.
func (f *Follower) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	var group sync.WaitGroup
	group.Go(func() { f.follow(ctx) })
	group.Go(func() { f.followBackups(ctx) })
	group.Go(func() {
		for ctx.Err() == nil {
			f.recovering(func() { f.readStoreAsBackup(ctx) })
		}
	})
	group.Go(func() { f.sweep(ctx) })
	go func() {
		group.Wait()
		end <- nil
	}()
	return end
}

// follow reads from the best available source, and periodically retries a
// better one.
func (f *Follower) follow(ctx context.Context) {
	failedAttempts, skip := 0, 0
	fallbackUntil := time.Time{}
	for ctx.Err() == nil {
		if skip > 0 && time.Now().After(fallbackUntil) {
			skip = 0
		}
		sources := f.planner().Prioritize(f.Peers())
		s := sources[min(skip, len(sources)-1)]
		began := time.Now()
		f.readsStore.Store(s.IsStore())
		var err error
		panicked := toucanpanic.Call(func() {
			if s.IsStore() {
				err = f.readStore(ctx, fallbackUntil)
				return
			}
			feedsFollowed.Inc()
			err = f.followHost(ctx, s.Peer, skip > 0, fallbackUntil)
		})
		if panicked != nil {
			f.Log.Error("reading a source panicked", zap.String("source", sourceName(s)), zap.ByteString("stack", panicked.Stack))
			err = panicked
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			failedAttempts = 0
			continue
		}
		f.sourceFailed(s, err)
		if time.Since(began) > maxBackoff {
			failedAttempts = 0
		}
		failedAttempts++
		fallbackUntil = time.Now().Add(fallbackPeriod)
		if skip++; skip >= len(sources) {
			skip = 0
			toucantimer.Wait(ctx, backoff(failedAttempts))
		}
	}
}

func (f *Follower) sourceFailed(s toucansource.Source, err error) {
	failures.Inc()
	if s.IsStore() {
		f.storeUncertainSince.Store(time.Now().UnixNano())
	}
	f.disconnected = true
	f.Log.Warn("dependency lost", zap.String("source", sourceName(s)), zap.Stringer("revision", f.Mirror.Revision()),
		zap.Duration("age", f.Mirror.Age(time.Now())), zap.Error(err))
}

func sourceName(s toucansource.Source) string {
	if s.IsStore() {
		return "store"
	}
	return "host " + string(s.Peer.ID)
}

func (f *Follower) sourceRegained(s toucansource.Source) {
	if !f.disconnected {
		return
	}
	f.disconnected = false
	if s.IsStore() {
		f.storeUncertainSince.Store(time.Now().UnixNano())
	}
	f.Log.Info("dependency regained", zap.String("source", sourceName(s)), zap.Stringer("revision", f.Mirror.Revision()))
}

func backoff(failures int) time.Duration {
	d := min(maxBackoff, minBackoff<<min(failures-1, 4))
	return d/2 + rand.N(d/2)
}

func (f *Follower) planner() toucansource.Planner {
	return toucansource.Planner{Self: f.Self, Regions: f.ZoneRegions}
}

// watchHold returns how long the store may hold a watch.
func (f *Follower) watchHold() time.Duration {
	share := watchShare
	if m := f.peers.Load(); m != nil && len(*m) >= largeFleet {
		share = largeWatchShare
	}
	return time.Duration(share * float64(f.MaxPropagation))
}

// watchPause returns the pause between two watches.
func (f *Follower) watchPause() time.Duration {
	return time.Duration(pauseShare * float64(f.MaxPropagation))
}

func (f *Follower) feeds() feeds {
	if f.Feeds == nil {
		return toucanfeed.Client{}
	}
	return f.Feeds
}

// followHost follows another host until that fails or, if bounded is set, until
// fallbackUntil, when a better source is tried.
func (f *Follower) followHost(ctx context.Context, p toucansource.Peer, bounded bool, fallbackUntil time.Time) error {
	feedCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if bounded {
		feedCtx, cancel = context.WithDeadline(ctx, fallbackUntil)
		defer cancel()
	}
	limits := f.feedLimits(time.Duration(maxFeedAgeShare * float64(f.MaxPropagation)))
	if bounded {
		limits.MaxAge = f.backupAge()
	}
	err := f.feeds().Follow(feedCtx, p.Address, f.Mirror.FollowFrom(time.Now()), limits, feedReceiver{f, p, !bounded})
	if bounded && feedCtx.Err() != nil && ctx.Err() == nil {
		return nil
	}
	return err
}

// feedLimits returns the limits of a feed with a largest age. Before the first change of
// the era a host that tells none is in the same.
func (f *Follower) feedLimits(maxAge time.Duration) toucanfeed.Limits {
	return toucanfeed.Limits{MaxSilence: maxFeedSilence, MaxAge: maxAge, NeedsEra: f.Mirror.LastEraChange().Era > 0}
}

// feedReceiver applies the messages of another host's feed.
type feedReceiver struct {
	follower *Follower
	peer     toucansource.Peer
	// best says that it is the best source. Two hosts that can't reach theirs may follow
	// each other, so that such a feed does not show that backups can end.
	best bool
}

func (r feedReceiver) ApplyBatch(b toucanmirror.Batch, confirmed time.Time) error {
	if err := r.follower.apply(b, confirmed); err != nil {
		return err
	}
	if r.best {
		r.follower.primaryConfirmed.Store(confirmed.UnixNano())
	}
	r.follower.sourceRegained(toucansource.Source{Peer: r.peer})
	return nil
}

func (r feedReceiver) RecordDeparture(d toucanbalancer.Departure) {
	r.follower.Targets.MarkLeaving(d, time.Now())
}

// sweep removes expired targets until ctx ends.
func (f *Follower) sweep(ctx context.Context) {
	for toucantimer.Wait(ctx, sweepInterval) {
		now := time.Now()
		uncertain := now.UnixNano()-f.storeUncertainSince.Load() < int64(uncertainPeriod)
		removed := f.Targets.RemoveExpired(now, uncertain)
		if len(removed) > 0 && f.OnTargetsRemoved != nil {
			f.OnTargetsRemoved()
		}
	}
}
