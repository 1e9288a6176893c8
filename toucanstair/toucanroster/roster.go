// Package toucanroster keeps the targets that are listed and what this host
// observed of each.
package toucanroster

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

// Entry is what the list says of one target.
type Entry struct {
	ID       toucanreplica.ID
	Service  toucanservice.Name
	Address  string // "ip:port"
	Zone     toucanzone.Name
	Version  string
	Slots    int
	Draining bool
	Cold     time.Duration // how much longer the target is cold
	Born     int64         // start of this incarnation, Unix milliseconds
}

// Target is a listed target with this host's observations.
type Target struct {
	Entry
	Load  Load
	warm  warm
	until atomic.Int64 // end of the cold time, Unix nanoseconds
	gone  time.Time    // when the entry went; guarded by the roster
}

// Cold reports whether the target is still in cold start.
func (t *Target) Cold(now time.Time) bool { return now.UnixNano() < t.until.Load() }

// SetCold says how much longer the target is cold.
func (t *Target) SetCold(now time.Time, d time.Duration) { t.until.Store(now.Add(d).UnixNano()) }

// Roster keeps the targets by service. The zero value is empty.
type Roster struct {
	mu       sync.RWMutex
	all      map[toucanreplica.ID]*Target
	services map[toucanservice.Name][]*Target
}

// Put adds or replaces the entry of a target. Observations stay as long as
// the incarnation is the same.
func (r *Roster) Put(e Entry, now time.Time) (added bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.all[e.ID]
	if old != nil && old.Entry == e && old.gone.IsZero() {
		return false
	}
	t := &Target{Entry: e}
	if old != nil && old.Born == e.Born && old.Address == e.Address {
		if old.gone.IsZero() && sameButCold(old.Entry, e) {
			old.until.Store(now.Add(e.Cold).UnixNano())
			return false
		}
		t.Load.adopt(&old.Load)
	}
	t.until.Store(now.Add(e.Cold).UnixNano())
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

func sameButCold(a, b Entry) bool {
	a.Cold = b.Cold
	return a == b
}

// Drop notes that the entry of a target went.
func (r *Roster) Drop(id toucanreplica.ID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.all[id]
	if t == nil || !t.gone.IsZero() {
		return
	}
	c := &Target{Entry: t.Entry, gone: now}
	c.Load.adopt(&t.Load)
	r.all[id] = c
	r.regroup(t.Service)
}

// Keep drops every target that is not in the list.
func (r *Roster) Keep(listed map[toucanreplica.ID]bool, now time.Time) {
	r.mu.RLock()
	var missing []toucanreplica.ID
	for id := range r.all {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	r.mu.RUnlock()
	for _, id := range missing {
		r.Drop(id, now)
	}
}

// Sweep forgets the targets whose entry went long enough ago; unsure says that
// the list was out of reach a short time ago.
func (r *Roster) Sweep(now time.Time, unsure bool) []toucanreplica.ID {
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

// Listed returns the targets of a service that may get requests: the listed
// ones, or those whose entry has just gone when none is listed.
func (r *Roster) Listed(s toucanservice.Name) []*Target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[s]
}

// Has reports whether a target is known.
func (r *Roster) Has(id toucanreplica.ID) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.all[id] != nil
}

// Size returns the number of targets.
func (r *Roster) Size() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.all)
}

// regroup rebuilds the group of one service; groups are never changed, so
// that readers need no lock.
func (r *Roster) regroup(s toucanservice.Name) {
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
