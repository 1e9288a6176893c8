// Package toucanquota limits the memory that all exchanges of a process use together.
package toucanquota

import "sync/atomic"

// Quota is a number of bytes that several users share. The zero value has no limit.
type Quota struct {
	Limit int64 // bytes; 0: no limit. It is set before use.

	used atomic.Int64
}

// TryReserve reserves n bytes and reports whether there was room for them.
func (q *Quota) TryReserve(n int64) bool {
	if used := q.used.Add(n); q.Limit <= 0 || used <= q.Limit {
		return true
	}
	q.used.Add(-n)
	return false
}

// Release returns n reserved bytes.
func (q *Quota) Release(n int64) { q.used.Add(-n) }

// Used returns the number of reserved bytes.
func (q *Quota) Used() int64 { return q.used.Load() }
