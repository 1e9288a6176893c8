package toucanfollower

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucantimer"
	"toucanstair.example/toucanstair/toucanmirror"
	"toucanstair.example/toucanstair/toucansource"
)

// storeReader is the state of a sequence of calls to the store. It is used by one
// goroutine.
type storeReader struct {
	listedStale bool // the latest list call allowed stale items; the next one does not
	backlog     bool // the store may have more changes than it returned last
	nextCall    time.Time
	// completeTo is a time until which the copy has all changes, zero after a failure. It is
	// taken from the start of calls, because a busy host or a slow link brings answers late.
	completeTo time.Time
	// steadySince is when the calls without a failure began. Shortly after a failure the
	// times of deletions stay unknown, since entries that expired with it come back.
	steadySince time.Time
	// pauseDivisor divides the pause between two watches; 0 means 1.
	pauseDivisor int
}

// readStore reads the store until that fails or, after fallbackUntil, until
// there is a better source.
func (f *Follower) readStore(ctx context.Context, fallbackUntil time.Time) error {
	f.primary.completeTo = time.Time{}
	for ctx.Err() == nil {
		if err := f.readOnce(ctx, &f.primary); err != nil {
			return err
		}
		if !f.primary.backlog {
			f.primaryConfirmed.Store(time.Now().UnixNano())
		}
		f.sourceRegained(toucansource.Source{})
		if first := f.planner().Prioritize(f.Peers())[0]; !first.IsStore() && time.Now().After(fallbackUntil) {
			return nil
		}
		f.primary.pause(ctx)
	}
	return nil
}

// pause waits until the next call is due.
func (r *storeReader) pause(ctx context.Context) { toucantimer.Wait(ctx, time.Until(r.nextCall)) }

// readOnce makes one call to the store: a list if there is no copy yet,
// otherwise a watch.
func (f *Follower) readOnce(ctx context.Context, r *storeReader) error {
	calls.Inc()
	began := time.Now()
	previous := r.completeTo
	r.completeTo = time.Time{}
	after := f.Mirror.Revision()
	if after == 0 {
		return f.list(ctx, r)
	}
	// The store confirms the copy at least each watchHold, also after a pause, and soon
	// when it may have more changes.
	hold := max(catchUpHold, f.watchHold()-f.Mirror.Age(began))
	if r.backlog {
		hold = catchUpHold
	}
	watchCtx, cancel := context.WithTimeout(ctx, hold+watchSlack)
	defer cancel()
	items, revision, err := f.Store.Watch(watchCtx, after, hold)
	if errors.Is(err, ErrCompacted) {
		f.Log.Info("the store does not have these changes, listing again", zap.Stringer("after", after))
		// However often the store has none, there is one list for each pause.
		r.nextCall = began.Add(f.watchPause() / time.Duration(max(1, r.pauseDivisor)))
		return f.list(ctx, r)
	}
	if err != nil {
		return err
	}
	confirmed := time.Now()
	if previous.IsZero() {
		r.steadySince = confirmed
	}
	if confirmed.Sub(r.steadySince) >= uncertainPeriod {
		setDeletedAfter(items, previous)
	}
	r.completeTo = began
	switch r.backlog = isCutOff(items); {
	case r.backlog:
		// The copy is as old as before until the rest is read.
		confirmed = confirmed.Add(-f.Mirror.Age(confirmed))
		r.completeTo = previous
	case len(items) == 0 && confirmed.Sub(began) >= hold:
		r.completeTo = began.Add(hold) // the store has waited for a change for so long
	}
	if err := f.apply(toucanmirror.Batch{Items: items, Revision: revision}, confirmed); err != nil {
		return err
	}
	if !r.backlog && len(items) > 0 {
		r.nextCall = began.Add(f.watchPause() / time.Duration(max(1, r.pauseDivisor)))
	}
	return nil
}

func setDeletedAfter(items []toucanmirror.Item, earliest time.Time) {
	for i := range items {
		if items[i].Deleted {
			items[i].DeletedAfter = earliest
		}
	}
}

// isCutOff reports whether the store may have more changes than it returned.
func isCutOff(items []toucanmirror.Item) bool {
	return len(items) >= minCutOffItems || valueBytes(items) >= minCutOffBytes
}

// valueBytes returns the size of the values of items.
func valueBytes(items []toucanmirror.Item) int {
	n := 0
	for _, it := range items {
		n += len(it.Value)
	}
	return n
}

// list reads all items. The first list of a host may be stale; it is used only
// together with the changes since, so that a restarted host does not use what was
// withdrawn before its start. An empty list has nothing to use, and the next watch brings
// all changes.
func (f *Follower) list(ctx context.Context, r *storeReader) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	stale := f.Mirror.Revision() == 0 && !r.listedStale
	r.listedStale = stale
	items, revision, err := f.Store.List(ctx, stale)
	if err == nil && stale && len(items) > 0 {
		items, revision, err = f.catchUp(ctx, r, items, revision)
		if errors.Is(err, ErrCompacted) {
			items, revision, err = f.Store.List(ctx, false)
		}
	}
	if err != nil {
		return err
	}
	return f.apply(toucanmirror.Batch{Items: items, Full: true, Revision: revision}, time.Now())
}

// catchUp returns listed items with the changes since their revision, as many as
// maxCatchUpCalls return. Without them the items must not be used.
func (f *Follower) catchUp(ctx context.Context, r *storeReader, items []toucanmirror.Item, revision toucanmirror.Revision) ([]toucanmirror.Item, toucanmirror.Revision, error) {
	current := make(map[string]toucanmirror.Item, len(items))
	for _, it := range items {
		current[it.Key] = it
	}
	for n := 1; ; n++ {
		calls.Inc()
		changes, to, err := f.Store.Watch(ctx, revision, catchUpHold)
		if err != nil {
			return nil, 0, err
		}
		for _, it := range changes {
			switch {
			case it.Revision < current[it.Key].Revision:
			case it.Deleted:
				delete(current, it.Key)
			default:
				current[it.Key] = it
			}
		}
		revision = max(revision, to)
		if r.backlog = isCutOff(changes); !r.backlog || n == maxCatchUpCalls {
			return slices.Collect(maps.Values(current)), revision, nil
		}
	}
}
