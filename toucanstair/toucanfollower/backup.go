package toucanfollower

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucantimer"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucanmirror"
	"toucanstair.example/toucanstair/toucanpanic"
	"toucanstair.example/toucanstair/toucansource"
)

// Backups. A host follows further hosts beside its source while its copy of the store is
// older than a working source would leave it. Keys carry revisions and a mirror never goes
// back, so the sources need not agree, and the freshest one wins. Backups serve the load
// of a store that turns some hosts away: a reader that is turned away passes on what it
// gets from the readers of other zones, so the hosts that follow it notice nothing.
const (
	// backupSlack is how much older than an empty watch a copy may be: the call, the
	// transfer and the wake-up of a busy host.
	backupSlack = 400 * time.Millisecond
	// followerSlack is the additional age for hosts that do not read the store: two hops and
	// a busy host between. Their source gets backups first.
	followerSlack = 150 * time.Millisecond
	// followerJitter spreads the backups of the hosts of a zone.
	followerJitter = 100 * time.Millisecond
	// rankDelay is how much longer each host of a zone waits than the one ranked before it
	// before it reads the store beside its source.
	rankDelay = 100 * time.Millisecond
	// maxBackups is how many hosts are followed at once as backups by a host that others may
	// follow. Some of them may be as old. The other hosts follow one of their zone.
	maxBackups = 4
	// backupPauseDivisor shortens the pauses between watches of a host that reads the store
	// as a backup, since its changes reach the others through one more host.
	backupPauseDivisor = 2
	// backupCheckInterval is the shortest interval between two checks of the age of the copy.
	backupCheckInterval = 50 * time.Millisecond
	// backupRetryInterval is the pause before the next backup is tried. Once all were tried
	// twice it doubles with each further round, up to maxBackupRetryInterval, since the store
	// may be out of reach of all hosts.
	backupRetryInterval    = 20 * time.Millisecond
	maxBackupRetryInterval = time.Second
)

// backupAge is the age of a copy from which on a host that reads the store follows backups,
// and the largest age of a backup.
func (f *Follower) backupAge() time.Duration {
	return max(f.watchHold(), f.watchPause()) + backupSlack
}

// primaryAge returns the time since the store confirmed what the primary source last sent.
func (f *Follower) primaryAge() time.Duration {
	return time.Since(time.Unix(0, f.primaryConfirmed.Load()))
}

// timeUntilOld returns when to check an age again: when it may reach backupAge, and not
// more often than each backupCheckInterval.
func (f *Follower) timeUntilOld(age time.Duration) time.Duration {
	return max(backupCheckInterval, f.backupAge()-age)
}

// followBackups follows backups whenever the primary source is too old, until ctx ends.
func (f *Follower) followBackups(ctx context.Context) {
	jitter := rand.N(followerJitter)
	for toucantimer.Wait(ctx, f.timeUntilOld(f.primaryAge())) {
		if f.Mirror.Revision() == 0 || f.primaryAge() <= f.backupAge() {
			continue
		}
		peers := f.Peers()
		wait := f.backupAge()
		if planner := f.planner(); !planner.Prioritize(peers)[0].IsStore() {
			wait += followerSlack + jitter
		}
		if f.primaryAge() > wait {
			f.runBackups(ctx, f.planner().Backups(peers))
		}
	}
}

// runBackups follows backups until the primary source is fresh again or ctx ends.
func (f *Follower) runBackups(ctx context.Context, hosts []toucansource.Peer) {
	ctx, cancel := context.WithCancel(ctx)
	f.Log.Info("source is old, backups followed", zap.Duration("age", f.primaryAge()), zap.Stringer("revision", f.Mirror.Revision()), zap.Int("hosts", len(hosts)))
	parallel := maxBackups
	if f.planner().Rank(f.Peers()) > toucansource.MaxReaderRank {
		parallel = 1
	}
	var group sync.WaitGroup
	var tried atomic.Int64
	for range min(parallel, len(hosts)) {
		group.Go(func() {
			for ctx.Err() == nil {
				n := int(tried.Add(1) - 1)
				f.recovering(func() { f.followBackup(ctx, hosts[n%len(hosts)]) })
				toucantimer.Wait(ctx, min(maxBackupRetryInterval, backupRetryInterval<<min(max(0, n/len(hosts)-1), 10)))
			}
		})
	}
	for toucantimer.Wait(ctx, backupCheckInterval) && f.primaryAge() > f.backupAge() {
	}
	cancel()
	group.Wait()
	f.Log.Info("backups ended", zap.Duration("age", f.primaryAge()), zap.Stringer("revision", f.Mirror.Revision()))
}

// recovering calls a part of a backup and logs its panic.
func (f *Follower) recovering(part func()) {
	if panicked := toucanpanic.Call(part); panicked != nil {
		f.Log.Error("reading a source panicked", zap.Error(panicked), zap.ByteString("stack", panicked.Stack))
	}
}

// followBackup follows a host until that fails or its copy is too old.
func (f *Follower) followBackup(ctx context.Context, p toucansource.Peer) {
	feedsFollowed.Inc()
	limits := f.feedLimits(f.backupAge())
	limits.DeltasOnly = true
	from := f.Mirror.FollowFrom(time.Now())
	err := f.feeds().Follow(ctx, p.Address, from, limits, backupReceiver{f})
	if revision := f.Mirror.Revision(); from < revision && ctx.Err() == nil {
		// The host may not have all changes since the earlier revision.
		err = f.feeds().Follow(ctx, p.Address, revision, limits, backupReceiver{f})
	}
	if ctx.Err() == nil {
		failures.Inc()
		f.Log.Debug("backup lost", zap.String("peer", string(p.ID)), zap.Error(err))
	}
}

// readStoreAsBackup reads the store beside the primary source until ctx ends: from the
// time when the copy is still old although the hosts of a lower rank had time to read the
// store, for at least fallbackPeriod and until another source is fresher. So at first one
// host of each zone reads the store, and at last one of them all.
func (f *Follower) readStoreAsBackup(ctx context.Context) {
	reader := storeReader{pauseDivisor: backupPauseDivisor}
	var started, lastRead time.Time // zero lastRead: not reading
	failed := 0
	for toucantimer.Wait(ctx, f.timeUntilOld(f.Mirror.Age(time.Now()))) {
		age := f.Mirror.Age(time.Now())
		superseded := !lastRead.IsZero() && time.Since(started) > fallbackPeriod && age < time.Since(lastRead)
		switch {
		case f.Mirror.Revision() == 0 || f.readsStore.Load() || superseded:
			lastRead = time.Time{}
			continue
		case lastRead.IsZero() && !f.mayReadStore(age):
			continue
		case lastRead.IsZero():
			reader.completeTo = time.Time{}
		}
		if err := f.readOnce(ctx, &reader); err != nil {
			failures.Inc()
			failed++
			f.Log.Debug("store not read as a backup", zap.Error(err))
			toucantimer.Wait(ctx, backoff(failed))
			continue
		}
		if lastRead.IsZero() {
			started = time.Now()
		}
		failed, lastRead = 0, time.Now()
		reader.pause(ctx)
	}
}

// mayReadStore reports whether a host whose copy has an age reads the store beside its
// source.
func (f *Follower) mayReadStore(age time.Duration) bool {
	if age <= f.backupAge() {
		return false
	}
	rank := f.planner().Rank(f.Peers())
	return rank <= toucansource.MaxReaderRank && age > f.backupAge()+followerSlack+time.Duration(rank)*rankDelay
}

// backupReceiver applies the messages of a backup.
type backupReceiver struct{ follower *Follower }

func (r backupReceiver) ApplyBatch(b toucanmirror.Batch, confirmed time.Time) error {
	return r.follower.apply(b, confirmed)
}

func (r backupReceiver) RecordDeparture(d toucanbalancer.Departure) {
	r.follower.Targets.MarkLeaving(d, time.Now())
}
