// Package toucanbalancer keeps the targets that are listed and what this host
// observed of each.
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
	// lapsedFor is how long a target without an entry stays a last resort. It is
	// shorter than the 3 s that targets go on serving after their entry went,
	// less the delay of a watch.
	lapsedFor = 1800 * time.Millisecond
	// returnFor is lapsedFor while the list itself was out of reach: entries of
	// live targets are back about 2 s after it returns. With the delay of a watch it
	// stays within the 3 s for which a target serves after its entry went.
	returnFor = 2100 * time.Millisecond
)

// TargetInfo is what the list says of one target.
type TargetInfo struct {
	ID            toucanreplica.ID
	Service       toucanservice.Name
	Address       string // "ip:port"
	Zone          toucanzone.Name
	Version       string
	Slots         int
	Draining      bool
	ColdRemaining time.Duration // how much longer the target is cold
	StartMillis   int64         // start of this incarnation, Unix milliseconds
}

// Target is a listed target with this host's observations.
type Target struct {
	TargetInfo
	Stats Stats
	warm  warm
	until atomic.Int64 // end of the cold time, Unix nanoseconds
	gone  time.Time    // when the entry went; guarded by the roster
}

// IsCold reports whether the target is still in cold start.
func (t *Target) IsCold(now time.Time) bool { return now.UnixNano() < t.until.Load() }

// SetColdRemaining says how much longer the target is cold.
func (t *Target) SetColdRemaining(now time.Time, d time.Duration) {
	t.until.Store(now.Add(d).UnixNano())
}

// TargetSet keeps the targets by service. The zero value is empty.
type TargetSet struct {
	mu       sync.RWMutex
	all      map[toucanreplica.ID]*Target
	services map[toucanservice.Name][]*Target
}

// Upsert adds or replaces the entry of a target. Observations stay as long as
// the incarnation is the same.
func (r *TargetSet) Upsert(e TargetInfo, now time.Time) (added bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.all[e.ID]
	if old != nil && old.TargetInfo == e && old.gone.IsZero() {
		return false
	}
	t := &Target{TargetInfo: e}
	if old != nil && old.StartMillis == e.StartMillis && old.Address == e.Address {
		if old.gone.IsZero() && sameButCold(old.TargetInfo, e) {
			old.until.Store(now.Add(e.ColdRemaining).UnixNano())
			return false
		}
		t.Stats.adopt(&old.Stats)
	}
	t.until.Store(now.Add(e.ColdRemaining).UnixNano())
	if r.all == nil {
		r.all = make(map[toucanreplica.ID]*Target)
	}
	r.all[e.ID] = t
	r.regroup(e.Service)
	if old != nil && old.Service != e.Service {
		r.regroup(old.Service)
	}
	return old == nil
}

func sameButCold(a, b TargetInfo) bool {
	a.ColdRemaining = b.ColdRemaining
	return a == b
}

// MarkUnlisted notes that the entry of a target went.
func (r *TargetSet) MarkUnlisted(id toucanreplica.ID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.all[id]
	if t == nil || !t.gone.IsZero() {
		return
	}
	c := &Target{TargetInfo: t.TargetInfo, gone: now}
	c.Stats.adopt(&t.Stats)
	r.all[id] = c
	r.regroup(t.Service)
}

// MarkUnlistedExcept drops every target that is not in the list.
func (r *TargetSet) MarkUnlistedExcept(listed map[toucanreplica.ID]bool, now time.Time) {
	r.mu.RLock()
	var missing []toucanreplica.ID
	for id := range r.all {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	r.mu.RUnlock()
	for _, id := range missing {
		r.MarkUnlisted(id, now)
	}
}

// RemoveExpired forgets the targets whose entry went long enough ago; unsure says that
// the list was out of reach a short time ago.
func (r *TargetSet) RemoveExpired(now time.Time, unsure bool) []toucanreplica.ID {
	limit := lapsedFor
	if unsure {
		limit = returnFor
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []toucanreplica.ID
	for id, t := range r.all {
		if t.gone.IsZero() || now.Sub(t.gone) < limit {
			continue
		}
		delete(r.all, id)
		r.regroup(t.Service)
		out = append(out, id)
	}
	return out
}

// Candidates returns the targets of a service that may get requests: the listed
// ones, or those whose entry has just gone when none is listed.
func (r *TargetSet) Candidates(s toucanservice.Name) []*Target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[s]
}

// Contains reports whether a target is known.
func (r *TargetSet) Contains(id toucanreplica.ID) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.all[id] != nil
}

// Len returns the number of targets.
func (r *TargetSet) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.all)
}

// regroup rebuilds the group of one service; groups are never changed, so
// that readers need no lock.
func (r *TargetSet) regroup(s toucanservice.Name) {
	var ready, lapsed []*Target
	for _, t := range r.all {
		switch {
		case t.Service != s || t.Draining:
		case t.gone.IsZero():
			ready = append(ready, t)
		default:
			lapsed = append(lapsed, t)
		}
	}
	if len(ready) == 0 {
		ready = lapsed
	}
	if r.services == nil {
		r.services = make(map[toucanservice.Name][]*Target)
	}
	if len(ready) == 0 {
		delete(r.services, s)
		return
	}
	r.services[s] = ready
}
