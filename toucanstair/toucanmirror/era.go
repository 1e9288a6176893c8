package toucanmirror

import (
	"bytes"
	"time"
)

// carriedCount is the count of items that were taken over from an earlier era. Changes of
// the new era have a higher one.
const carriedCount = 1

// retained is what is known of a key from an earlier era, which stays in force against the
// copy from which the store came back.
type retained struct {
	copied Item      // what the copy has; Deleted: nothing
	until  time.Time // from then on the copy is right
}

// enterEra takes all items that are known over to the era of a batch with all items. What
// the store has acknowledged in the era before may be missing in the batch, or undone. It
// is written again, some of it later, so that Retention decides for each difference
// which of both is in force until then.
func (m *Mirror) enterEra(b Batch, now time.Time) {
	start := At(b.Revision.Era(), carriedCount)
	copied := make(map[string]Item, len(b.Items))
	for _, it := range b.Items {
		copied[it.Key] = it
	}
	m.retained = make(map[string]retained)
	for key, known := range m.items {
		it, listed := copied[key]
		switch {
		case !listed:
			m.retain(known, Item{Key: key, Revision: b.Revision, Deleted: true}, now)
		case bytes.Equal(known.Value, it.Value):
		case m.IsSignificant == nil || m.IsSignificant(known, it):
			m.retain(known, it, now)
		}
		known.Revision = start
		m.items[key] = known
	}
	for key, r := range m.removed {
		if it, listed := copied[key]; listed {
			m.retain(Item{Key: key, Revision: r.revision, Deleted: true, DeletedAfter: r.after}, it, now)
		}
		r.revision = start
		m.removed[key] = r
	}
	if m.revision.Era() == 0 {
		m.retained = nil // the era before may be the same, and was not told
	} else {
		m.lastEra = EraChange{b.Revision.Era(), len(m.retained)}
	}
	m.gaps, m.forgottenTo, m.revision = nil, 0, start
}

// retain keeps what is known of a key in force against a copy for as long as Retention says.
func (m *Mirror) retain(known, copied Item, now time.Time) {
	if m.Retention == nil {
		return
	}
	if d := m.Retention(known, copied); d > 0 {
		m.retained[copied.Key] = retained{copied, now.Add(d)}
	}
}

// checkRetention reports whether an item is the one that the copy has, so that what is
// known of its key stays in force, and whether it is the first later change of such a key,
// which ends that.
func (m *Mirror) checkRetention(it Item) (retained, ends bool) {
	r, ok := m.retained[it.Key]
	if !ok {
		return false, false
	}
	if it.Revision <= r.copied.Revision {
		return true, false
	}
	delete(m.retained, it.Key)
	return false, true
}

// endRetention applies what the copy has where its time has come, with the changes up to a
// revision, and returns the changes. Receivers that do not know of them get all items.
func (m *Mirror) endRetention(to Revision, now time.Time) []Item {
	var out []Item
	for key, r := range m.retained {
		if now.Before(r.until) {
			continue
		}
		delete(m.retained, key)
		it := r.copied
		if it.Deleted {
			it.Revision = to
			m.remove(key, removal{revision: to, at: now})
		} else {
			delete(m.removed, key)
			m.items[key] = it
			m.forgottenTo = max(m.forgottenTo, to)
		}
		out = append(out, it)
	}
	return out
}

// EraChange is the begin of an era at a Mirror that knew the one before.
type EraChange struct {
	Era      Era
	Retained int // keys of which the earlier knowledge stays in force for now
}

// LastEraChange returns the last change of the era, or the zero value.
func (m *Mirror) LastEraChange() EraChange {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastEra
}
