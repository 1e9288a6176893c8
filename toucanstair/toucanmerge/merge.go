// Package toucanmerge merges the result lists of a query's legs into one bounded
// list. Responses to forwarded requests are merged by toucanrecord.
package toucanmerge

import (
	"cmp"
	"container/heap"
	"slices"
	"sync"

	"toucanstair.example/core/toucanpb"
)

// Merger keeps the best items of any number of lists. It is safe for
// concurrent use; the zero value keeps nothing.
//
// The best items are kept in a heap with the worst one at the root, so that
// memory depends on the limit and not on the number of lists. An evicted id may
// come back with a higher score: the items that displaced it can only have
// improved since, so the result does not depend on the order of arrival.
type Merger struct {
	mu    sync.Mutex
	limit int
	kept  itemHeap
}

// New returns a merger that keeps at most limit items.
func New(limit int) *Merger {
	return &Merger{limit: limit, kept: itemHeap{positions: make(map[string]int, limit)}}
}

// Add adds the items of one list, which must not be changed afterwards.
func (m *Merger) Add(items []*toucanpb.Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, item := range items {
		m.add(item)
	}
}

func (m *Merger) add(item *toucanpb.Item) {
	kept := &m.kept
	full := len(kept.items) >= m.limit
	if full && (m.limit <= 0 || compareItems(item, kept.items[0]) >= 0) {
		return
	}
	if position, ok := kept.positions[item.GetId()]; ok {
		if compareItems(item, kept.items[position]) < 0 {
			kept.items[position] = item
			heap.Fix(kept, position)
		}
		return
	}
	if !full {
		heap.Push(kept, item)
		return
	}
	delete(kept.positions, kept.items[0].GetId())
	kept.items[0] = item
	kept.positions[item.GetId()] = 0
	heap.Fix(kept, 0)
}

// Items returns the items kept so far, by descending score, then by id.
func (m *Merger) Items() []*toucanpb.Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := slices.Clone(m.kept.items)
	slices.SortFunc(out, compareItems)
	return out
}

// compareItems is negative when a comes before b. The text decides between two
// items of the same id and score, so that the one kept does not depend on the order
// of arrival.
func compareItems(a, b *toucanpb.Item) int {
	if c := cmp.Compare(b.GetScore(), a.GetScore()); c != 0 {
		return c
	}
	if c := cmp.Compare(a.GetId(), b.GetId()); c != 0 {
		return c
	}
	return cmp.Compare(a.GetText(), b.GetText())
}

// itemHeap is a heap.Interface with the worst item at the root.
type itemHeap struct {
	items     []*toucanpb.Item
	positions map[string]int // index in items, by id
}

func (h *itemHeap) Len() int           { return len(h.items) }
func (h *itemHeap) Less(i, j int) bool { return compareItems(h.items[i], h.items[j]) > 0 }

func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.positions[h.items[i].GetId()] = i
	h.positions[h.items[j].GetId()] = j
}

func (h *itemHeap) Push(x any) {
	item := x.(*toucanpb.Item)
	h.positions[item.GetId()] = len(h.items)
	h.items = append(h.items, item)
}

func (h *itemHeap) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	h.items = h.items[:last]
	delete(h.positions, item.GetId())
	return item
}
