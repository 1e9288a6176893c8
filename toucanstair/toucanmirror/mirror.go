// Package toucanmirror keeps a copy of the store's keys that concern a host.
// Batches may come from several sources in any order; a key never returns to an
// older revision. After the store came back from an earlier copy of itself, a later era
// begins, in which revisions of the earlier one count for nothing.
package toucanmirror

import (
	"slices"
	"sync"
	"time"
)

// removalRetention is how long the removal of a key is remembered, so that a
// receiver that missed it needs no full copy.
const removalRetention = time.Minute

// deletionTimeWanted is how long after a deletion its time is asked for. Later it makes no
// difference.
const deletionTimeWanted = 3 * time.Second

// announceInterval is how much later a confirmation has to be than the last one of which
// receivers were told, so that they know the age of their copy. Small differences come
// from the time that messages take.
const announceInterval = 200 * time.Millisecond

// Item is a key of the store with its value.
type Item struct {
	Key      string
	Revision Revision
	Value    []byte
	Deleted  bool // deleted at Revision
	// DeletedAfter is the earliest possible time of the deletion, or zero if it is not known.
	DeletedAfter time.Time
}

// Batch is a set of changes, or all items, as of a revision.
type Batch struct {
	Items    []Item
	Full     bool // Items are all items of the store
	Revision Revision
}

// Mirror is a copy of the store's items. The zero value is empty and treats
// every change as significant. IsSignificant is set before use.
type Mirror struct {
	// IsSignificant reports whether a new value must be passed on to receivers,
	// which can do without insignificant changes; nil means always. Apply calls
	// it with the Mirror locked, so it must not call the Mirror.
	IsSignificant func(old, new Item) bool
	// Retention returns how long what is known of a key stays in force against what the store
	// has after it came back from an earlier copy; either may be Deleted. A change of the key
	// ends it. nil means not at all. It is set before use, and called like IsSignificant.
	Retention func(known, copied Item) time.Duration

	mu          sync.Mutex
	items       map[string]Item
	removed     map[string]removal
	forgottenTo Revision // removals up to this revision may be forgotten
	gaps        []gap
	revision    Revision
	retained    map[string]retained
	lastEra     EraChange
	confirmedAt time.Time // when the store confirmed the revision
	announcedAt time.Time // confirmedAt when receivers were last woken
	changed     chan struct{}
}

// gap is a range of revisions over which a list replaced the changes. A key that was
// created and removed in it is not known here, but a receiver with a revision inside the
// range may have it.
type gap struct{ from, to Revision } // both excluded

// maxGaps bounds the remembered gaps.
const maxGaps = 8

type removal struct {
	revision Revision
	at       time.Time
	after    time.Time // DeletedAfter of the item
	timedAt  time.Time // when after was added to a removal that was known without it; zero: never
}

// EraError means that a batch is not of the era of the Mirror, and was not applied.
type EraError struct{ Known, Batch Era }

func (e *EraError) Error() string {
	return "the store is in era " + e.Known.String() + ", and this is a part of era " + e.Batch.String()
}

// Apply applies a batch that the store confirmed at a point in time, and
// returns the significant and the insignificant changes. A batch of an earlier era, or one
// of a later era that does not have all items, is not applied; the error is an *EraError.
func (m *Mirror) Apply(b Batch, confirmed time.Time) (significant, insignificant []Item, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	if known, era := m.revision.Era(), b.Revision.Era(); m.revision > 0 && era != known {
		if era < known || !b.Full {
			return nil, nil, &EraError{known, era}
		}
		m.enterEra(b, time.Now())
	}
	before := m.revision
	listed := make(map[string]bool, len(b.Items))
	for _, it := range b.Items {
		listed[it.Key] = true
		retained, ends := m.checkRetention(it)
		if retained {
			continue
		}
		switch old, exists := m.items[it.Key]; {
		case it.Deleted && m.addDeletionTime(it):
			significant = append(significant, it)
		case it.Revision <= m.newestRevision(it.Key):
		case it.Deleted:
			m.remove(it.Key, removal{revision: it.Revision, at: confirmed, after: it.DeletedAfter})
			if exists {
				significant = append(significant, it)
			}
		case exists && !ends && m.IsSignificant != nil && !m.IsSignificant(old, it):
			// The revision of the last significant change stays, so that the
			// item is not sent to receivers again.
			insignificant = append(insignificant, it)
		default:
			// A change that ends a retention is sent to receivers in any case, as it ends theirs.
			delete(m.removed, it.Key)
			m.items[it.Key] = it
			significant = append(significant, it)
		}
	}
	if b.Full {
		for key, it := range m.items {
			if _, kept := m.retained[key]; kept || listed[key] || it.Revision > b.Revision {
				continue
			}
			m.remove(key, removal{revision: b.Revision, at: confirmed})
			significant = append(significant, Item{Key: key, Revision: b.Revision, Deleted: true})
		}
	}
	if b.Full {
		m.addGap(gap{m.revision, b.Revision})
	}
	if b.Revision > before {
		significant = append(significant, m.endRetention(b.Revision, time.Now())...)
	}
	m.revision = max(m.revision, b.Revision)
	if confirmed.After(m.confirmedAt) {
		m.confirmedAt = confirmed
	}
	m.forgetRemovals(confirmed)
	if len(significant) > 0 || m.confirmedAt.Sub(m.announcedAt) > announceInterval {
		m.announcedAt = m.confirmedAt
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return significant, insignificant, nil
}

// addDeletionTime records the earliest time of a deletion that another source brought
// without one, and reports whether it did.
func (m *Mirror) addDeletionTime(it Item) bool {
	r, known := m.removed[it.Key]
	if !known || r.revision != it.Revision || !r.after.IsZero() || it.DeletedAfter.IsZero() {
		return false
	}
	r.after, r.timedAt = it.DeletedAfter, time.Now()
	m.removed[it.Key] = r
	return true
}

// addGap remembers a gap. Beyond maxGaps, receivers below the end of the oldest one get all
// items.
func (m *Mirror) addGap(g gap) {
	m.gaps = append(m.gaps, g)
	if len(m.gaps) > maxGaps {
		m.forgottenTo = max(m.forgottenTo, m.gaps[0].to)
		m.gaps = m.gaps[1:]
	}
}

// needsAll reports whether a receiver with a revision may have keys whose removal is not
// known here any more.
func (m *Mirror) needsAll(after Revision) bool {
	return after == 0 || after.Era() != m.revision.Era() || after < m.forgottenTo || slices.ContainsFunc(m.gaps, func(g gap) bool { return after > g.from && after < g.to })
}

// Since returns the significant changes after a revision, or all items if
// removals after it may not be known, and a channel that is closed at the next
// significant change or confirmation.
func (m *Mirror) Since(after Revision) (Batch, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	b := Batch{Revision: m.revision, Full: m.needsAll(after)}
	for _, it := range m.items {
		if b.Full || it.Revision > after {
			b.Items = append(b.Items, it)
		}
	}
	if !b.Full {
		for key, r := range m.removed {
			// Receivers may know the removal without its time.
			if r.revision > after || !r.timedAt.IsZero() && time.Since(r.timedAt) < deletionTimeWanted {
				b.Items = append(b.Items, Item{Key: key, Revision: r.revision, Deleted: true, DeletedAfter: r.after})
			}
		}
	}
	return b, m.changed
}

// Revision returns the revision of the copy, or 0 if nothing was applied yet.
func (m *Mirror) Revision() Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// FollowFrom returns the revision from which to follow another copy: that of this one, or an
// earlier one, so that the other copy can add the times of recent deletions that are not
// known here.
func (m *Mirror) FollowFrom(now time.Time) Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	from := m.revision
	for _, r := range m.removed {
		if r.after.IsZero() && now.Sub(r.at) < deletionTimeWanted && r.revision > m.forgottenTo && r.revision.Count() > carriedCount {
			from = min(from, r.revision-1)
		}
	}
	return from
}

// Age returns the time since the store last confirmed the copy, or 1 h if it
// never did.
func (m *Mirror) Age(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.confirmedAt.IsZero() {
		return time.Hour
	}
	return max(0, now.Sub(m.confirmedAt))
}

func (m *Mirror) init() {
	if m.items == nil {
		m.items = make(map[string]Item)
		m.removed = make(map[string]removal)
		m.changed = make(chan struct{})
	}
}

// newestRevision returns the newest applied revision of a key.
func (m *Mirror) newestRevision(key string) Revision {
	return max(m.items[key].Revision, m.removed[key].revision)
}

func (m *Mirror) remove(key string, r removal) {
	delete(m.items, key)
	m.removed[key] = r
}

func (m *Mirror) forgetRemovals(now time.Time) {
	for key, r := range m.removed {
		if now.Sub(r.at) > removalRetention {
			m.forgottenTo = max(m.forgottenTo, r.revision)
			delete(m.removed, key)
		}
	}
}
