// Package toucanmerge merges result lists into one bounded list.
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
// The best items are held in a heap with the worst one at the root, so that
// memory depends on the limit and not on the number of lists. An id that was
// evicted may return with a higher score: the items that displaced it can only
// have improved since, so the result does not depend on the order of arrival.
type Merger struct {
	mu    sync.Mutex
	limit int
	worst queue
}

// New returns a merger that keeps at most limit items.
func New(limit int) *Merger {
	return &Merger{limit: limit, worst: queue{places: make(map[string]int, limit)}}
}

// Add takes in one list, which must not be changed afterwards.
func (m *Merger) Add(items []*toucanpb.Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, it := range items {
		m.add(it)
	}
}

func (m *Merger) add(it *toucanpb.Item) {
	q := &m.worst
	full := len(q.items) >= m.limit
	if full && (m.limit <= 0 || order(it, q.items[0]) >= 0) {
		return
	}
	if at, ok := q.places[it.GetId()]; ok {
		if order(it, q.items[at]) < 0 {
			q.items[at] = it
			heap.Fix(q, at)
		}
		return
	}
	if !full {
		heap.Push(q, it)
		return
	}
	delete(q.places, q.items[0].GetId())
	q.items[0] = it
	q.places[it.GetId()] = 0
	heap.Fix(q, 0)
}

// Items returns the items kept so far, by descending score, then by id.
func (m *Merger) Items() []*toucanpb.Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := slices.Clone(m.worst.items)
	slices.SortFunc(out, order)
	return out
}

// order is negative when a comes before b. The text decides between two items
// of the same id and score, so that the one kept does not depend on arrival.
func order(a, b *toucanpb.Item) int {
	if c := cmp.Compare(b.GetScore(), a.GetScore()); c != 0 {
		return c
	}
	if c := cmp.Compare(a.GetId(), b.GetId()); c != 0 {
		return c
	}
	return cmp.Compare(a.GetText(), b.GetText())
}

// queue is a heap.Interface with the worst item first.
type queue struct {
	items  []*toucanpb.Item
	places map[string]int // id to position in items
}

func (q *queue) Len() int           { return len(q.items) }
func (q *queue) Less(i, j int) bool { return order(q.items[i], q.items[j]) > 0 }

func (q *queue) Swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	q.places[q.items[i].GetId()] = i
	q.places[q.items[j].GetId()] = j
}

func (q *queue) Push(x any) {
	it := x.(*toucanpb.Item)
	q.places[it.GetId()] = len(q.items)
	q.items = append(q.items, it)
}

func (q *queue) Pop() any {
	last := len(q.items) - 1
	it := q.items[last]
	q.items = q.items[:last]
	delete(q.places, it.GetId())
	return it
}
