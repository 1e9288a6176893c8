// Package toucanmirror keeps a copy of the store's keys that concern a host,
// from whichever source they come, and never goes back to an older revision
// of a key.
package toucanmirror

import (
	"sync"
	"time"
)

// removedFor is how long the removal of a key is remembered, so that a
// receiver that missed it needs no whole copy.
const removedFor = time.Minute

// Item is one key of the store.
type Item struct {
	Key      string
	Revision uint64
	Value    []byte
	Deleted  bool // removed at Revision
}

// Batch is a number of changes, or all keys, as of a revision.
type Batch struct {
	Items    []Item
	Full     bool // Items are all keys
	Revision uint64
}

// Mirror is the copy. Notable is set before use; the zero value is empty and
// notes every change.
type Mirror struct {
	// IsSignificant reports whether a new value differs from the old one in more than
	// what a host can do without; nil means always.
	IsSignificant func(old, new Item) bool

	mu      sync.Mutex
	items   map[string]Item
	removed map[string]removal
	floor   uint64 // removals up to here may have been forgotten
	at      uint64
	fresh   time.Time // when the store confirmed at
	changed chan struct{}
}

type removal struct {
	revision uint64
	when     time.Time
}

// Apply takes in a batch that the store confirmed at a moment, and returns
// the items that changed: notable ones and the rest.
func (m *Mirror) Apply(b Batch, confirmed time.Time) (notable, minor []Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	listed := make(map[string]bool, len(b.Items))
	for _, it := range b.Items {
		listed[it.Key] = true
		switch old, had := m.items[it.Key]; {
		case it.Revision <= m.known(it.Key):
		case it.Deleted:
			m.remove(it.Key, it.Revision, confirmed)
			if had {
				notable = append(notable, it)
			}
		case had && m.IsSignificant != nil && !m.IsSignificant(old, it):
			// The revision of the last notable change stays, so that receivers are
			// not sent the item again.
			minor = append(minor, it)
		default:
			delete(m.removed, it.Key)
			m.items[it.Key] = it
			notable = append(notable, it)
		}
	}
	if b.Full {
		for key, it := range m.items {
			if listed[key] || it.Revision > b.Revision {
				continue
			}
			m.remove(key, b.Revision, confirmed)
			notable = append(notable, Item{Key: key, Revision: b.Revision, Deleted: true})
		}
	}
	if b.Full {
		m.floor = max(m.floor, b.Revision)
	}
	m.at = max(m.at, b.Revision)
	if confirmed.After(m.fresh) {
		m.fresh = confirmed
	}
	m.forget(confirmed)
	if len(notable) > 0 {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return notable, minor
}

// Since returns the notable changes after a revision, or all items when some
// may be forgotten, and a channel that is closed at the next notable change.
func (m *Mirror) Since(after uint64) (Batch, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	b := Batch{Revision: m.at, Full: after < m.floor || after == 0}
	for _, it := range m.items {
		if b.Full || it.Revision > after {
			b.Items = append(b.Items, it)
		}
	}
	if !b.Full {
		for key, r := range m.removed {
			if r.revision > after {
				b.Items = append(b.Items, Item{Key: key, Revision: r.revision, Deleted: true})
			}
		}
	}
	return b, m.changed
}

// Revision returns the revision of the copy; 0 means that there is none.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at
}

// Age returns the time since the store confirmed the copy.
func (m *Mirror) Age(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fresh.IsZero() {
		return time.Hour
	}
	return max(0, now.Sub(m.fresh))
}

func (m *Mirror) init() {
	if m.items == nil {
		m.items = make(map[string]Item)
		m.removed = make(map[string]removal)
		m.changed = make(chan struct{})
	}
}

// known returns the newest revision of a key that was taken in.
func (m *Mirror) known(key string) uint64 {
	return max(m.items[key].Revision, m.removed[key].revision)
}

func (m *Mirror) remove(key string, revision uint64, now time.Time) {
	delete(m.items, key)
	m.removed[key] = removal{revision, now}
}

func (m *Mirror) forget(now time.Time) {
	for key, r := range m.removed {
		if now.Sub(r.when) > removedFor {
			m.floor = max(m.floor, r.revision)
			delete(m.removed, key)
		}
	}
}
