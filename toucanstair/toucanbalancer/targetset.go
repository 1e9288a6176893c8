// Package toucanbalancer keeps the listed targets and this host's observations of them,
// and picks the target for a request.
package toucanbalancer

import (
	"sync"
	"sync/atomic"
	"time"

	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucanzone"
)

const (
	// unlistedTTL is how long an unlisted target remains as a fallback. It is shorter
	// than the 3 s for which a target still serves after its entry was removed, minus
	// the delay of a watch (up to 0.85 s).
	unlistedTTL = 1800 * time.Millisecond
	// unlistedTTLAfterOutage replaces unlistedTTL after the list itself was unavailable:
	// entries of live targets are back about 2 s after it returns. With the delay of a
	// watch it stays within the 3 s for which a target serves without an entry.
	unlistedTTLAfterOutage = 2100 * time.Millisecond
	// defaultServingTime is how long a target serves after its entry was removed, if
	// TargetSet.ServingTime is not set.
	defaultServingTime = 3 * time.Second
	// servingMargin is how long before that time an unlisted target gets no more requests,
	// where the earliest possible time of its removal is known. It covers the way of a
	// request to the target.
	servingMargin = 350 * time.Millisecond
)

// TargetInfo is the entry of a target in the list.
type TargetInfo struct {
	ID            toucanreplica.ID
	Service       toucanservice.Name
	Address       string // "ip:port"
	Zone          toucanzone.Name
	Version       string // of the target's software
	Slots         int
	Draining      bool
	ColdRemaining time.Duration // remaining cold start
	StartMillis   int64         // start of this process of the target, Unix milliseconds
}

// Target is a target with this host's observations.
type Target struct {
	TargetInfo
	Stats       Stats
	coldLimit   *coldLimiter // shared by all entries of a process
	coldUntil   atomic.Int64 // end of the cold start, Unix nanoseconds
	unlistedAt  time.Time    // zero while listed; not changed after creation
	servesUntil time.Time    // after which an unlisted target gets no requests, zero if not known; not changed after creation
}

// mayHaveEnded reports whether the target's entry was removed so long ago that it may no
// longer serve.
func (t *Target) mayHaveEnded(now time.Time) bool {
	return !t.servesUntil.IsZero() && !now.Before(t.servesUntil)
}

// IsCold reports whether the target is still in cold start.
func (t *Target) IsCold(now time.Time) bool { return now.UnixNano() < t.coldUntil.Load() }

// SetColdRemaining sets the remaining duration of the cold start.
func (t *Target) SetColdRemaining(now time.Time, d time.Duration) {
	t.coldUntil.Store(now.Add(d).UnixNano())
}

// TargetSet keeps the targets by id and service. The zero value is empty and ready for
// use.
type TargetSet struct {
	// ServingTime is how long a target serves after its entry was removed; 0 means 3 s. It is
	// set before use.
	ServingTime time.Duration

	mu         sync.RWMutex
	targets    map[toucanreplica.ID]*Target
	byService  map[toucanservice.Name]map[toucanreplica.ID]*Target
	candidates map[toucanservice.Name][]*Target
	departures departureLog
}

// Upsert adds or replaces the entry of a target and reports whether it was added.
// Observations are kept unless the target restarted or has a new address.
func (set *TargetSet) Upsert(e TargetInfo, now time.Time) (added bool) {
	set.mu.Lock()
	defer set.mu.Unlock()
	old := set.targets[e.ID]
	if old != nil && old.TargetInfo == e && old.unlistedAt.IsZero() && e.ColdRemaining <= 0 {
		return false
	}
	t := &Target{TargetInfo: e, coldLimit: &coldLimiter{}}
	if old != nil && old.StartMillis == e.StartMillis && old.Address == e.Address {
		if old.unlistedAt.IsZero() && equalExceptCold(old.TargetInfo, e) {
			old.coldUntil.Store(now.Add(e.ColdRemaining).UnixNano())
			return false
		}
		t.Stats.copyFrom(&old.Stats)
		t.coldLimit = old.coldLimit
	}
	t.coldUntil.Store(now.Add(e.ColdRemaining).UnixNano())
	if old != nil && old.Service != e.Service {
		set.delete(old)
	}
	set.put(t)
	return old == nil
}

// put stores a target and rebuilds the candidates of its service; the caller holds mu.
func (set *TargetSet) put(t *Target) {
	if set.targets == nil {
		set.targets = make(map[toucanreplica.ID]*Target)
		set.byService = make(map[toucanservice.Name]map[toucanreplica.ID]*Target)
	}
	if set.byService[t.Service] == nil {
		set.byService[t.Service] = make(map[toucanreplica.ID]*Target)
	}
	set.targets[t.ID], set.byService[t.Service][t.ID] = t, t
	set.rebuildCandidates(t.Service)
}

// delete removes a target and rebuilds the candidates of its service; the caller holds
// mu.
func (set *TargetSet) delete(t *Target) {
	delete(set.targets, t.ID)
	delete(set.byService[t.Service], t.ID)
	if len(set.byService[t.Service]) == 0 {
		delete(set.byService, t.Service)
	}
	set.rebuildCandidates(t.Service)
}

func equalExceptCold(a, b TargetInfo) bool {
	a.ColdRemaining = b.ColdRemaining
	return a == b
}

// MarkUnlisted records that the entry of a target was removed. The target remains as
// a fallback until RemoveExpired.
func (set *TargetSet) MarkUnlisted(id toucanreplica.ID, now time.Time) {
	set.MarkRemoved(id, time.Time{}, now)
}

// MarkRemoved is MarkUnlisted for an entry that was removed after a point in time. It may
// be zero, if it is not known, and is then taken from a later call.
func (set *TargetSet) MarkRemoved(id toucanreplica.ID, after, now time.Time) {
	set.mu.Lock()
	defer set.mu.Unlock()
	t := set.targets[id]
	switch {
	case t == nil:
		return
	case t.unlistedAt.IsZero():
	case after.IsZero() || !t.servesUntil.IsZero():
		return
	default:
		now = t.unlistedAt // only the time of the removal is new
	}
	unlisted := &Target{TargetInfo: t.TargetInfo, unlistedAt: now, coldLimit: t.coldLimit}
	if !after.IsZero() {
		unlisted.servesUntil = after.Add(set.servingTime() - servingMargin)
	}
	unlisted.Stats.copyFrom(&t.Stats)
	unlisted.coldUntil.Store(t.coldUntil.Load())
	set.put(unlisted)
}

func (set *TargetSet) servingTime() time.Duration {
	if set.ServingTime <= 0 {
		return defaultServingTime
	}
	return set.ServingTime
}

// MarkLeaving records that a process of a target has announced its departure, and
// reports whether that is new. The process gets no requests any more, also when its
// entry is listed later; the next process of the target does.
func (set *TargetSet) MarkLeaving(d Departure, now time.Time) bool {
	set.mu.Lock()
	defer set.mu.Unlock()
	if !set.departures.add(d, now) {
		return false
	}
	if t := set.targets[d.Target]; t != nil {
		set.rebuildCandidates(t.Service)
	}
	return true
}

// DeparturesSince returns the departures recorded after the one with a number, and the
// number of the last one. Numbers start at 1.
func (set *TargetSet) DeparturesSince(number uint64) ([]Departure, uint64) {
	set.mu.RLock()
	defer set.mu.RUnlock()
	return set.departures.since(number)
}

// MarkUnlistedExcept marks every target that is not in listed.
func (set *TargetSet) MarkUnlistedExcept(listed map[toucanreplica.ID]bool, now time.Time) {
	set.mu.RLock()
	var missing []toucanreplica.ID
	for id := range set.targets {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	set.mu.RUnlock()
	for _, id := range missing {
		set.MarkUnlisted(id, now)
	}
}

// RemoveExpired removes and returns the targets that have been unlisted, or removed, for
// longer than the limit; afterOutage says that the list was unavailable a short time ago.
func (set *TargetSet) RemoveExpired(now time.Time, afterOutage bool) []toucanreplica.ID {
	ttl := unlistedTTL
	if afterOutage {
		ttl = unlistedTTLAfterOutage
	}
	set.mu.Lock()
	defer set.mu.Unlock()
	var out []toucanreplica.ID
	for id, t := range set.targets {
		if t.unlistedAt.IsZero() {
			continue
		}
		if now.Sub(t.unlistedAt) < ttl && !t.mayHaveEnded(now) {
			continue
		}
		set.delete(t)
		out = append(out, id)
	}
	set.departures.forget(now)
	return out
}

// Candidates returns the targets of a service that may get requests: the listed ones
// that are neither draining nor leaving, or, when there is none, those that were unlisted recently.
// The caller must not change the slice.
func (set *TargetSet) Candidates(s toucanservice.Name) []*Target {
	set.mu.RLock()
	defer set.mu.RUnlock()
	return set.candidates[s]
}

// Contains reports whether a target is in the set, listed or not.
func (set *TargetSet) Contains(id toucanreplica.ID) bool {
	set.mu.RLock()
	defer set.mu.RUnlock()
	return set.targets[id] != nil
}

// Len returns the number of targets.
func (set *TargetSet) Len() int {
	set.mu.RLock()
	defer set.mu.RUnlock()
	return len(set.targets)
}

// rebuildCandidates rebuilds the candidates of one service; the caller holds mu. It
// makes a new slice, because readers use the old one without a lock.
func (set *TargetSet) rebuildCandidates(s toucanservice.Name) {
	var listed, unlisted []*Target
	for _, t := range set.byService[s] {
		switch {
		case t.Draining || set.departures.contains(Departure{t.ID, t.StartMillis}):
		case t.unlistedAt.IsZero():
			listed = append(listed, t)
		default:
			unlisted = append(unlisted, t)
		}
	}
	if len(listed) == 0 {
		listed = unlisted
	}
	if set.candidates == nil {
		set.candidates = make(map[toucanservice.Name][]*Target)
	}
	if len(listed) == 0 {
		delete(set.candidates, s)
		return
	}
	set.candidates[s] = listed
}
