// Package toucanquota bounds how often requests are sent to a second target,
// for each service and over all hosts together.
package toucanquota

import (
	"sync"

	"toucanstair.example/core/toucanservice"
)

// Quota is a token bucket for each service. A first send earns Ratio tokens
// and a repeat takes one, so in any time a host sends at most Ratio times its
// first sends plus Burst repeats; with Burst divided among the hosts, the sum
// over all of them stays within the operators' bound. The zero value allows
// no repeats.
type Quota struct {
	Ratio float64
	Burst float64

	mu       sync.Mutex
	services map[toucanservice.Name]float64 // tokens missing from a full bucket
}

// SetBurst changes the size of the buckets.
func (q *Quota) SetBurst(b float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.Burst = b
}

// Earn counts a first send to a service.
func (q *Quota) Earn(s toucanservice.Name) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.services == nil {
		q.services = make(map[toucanservice.Name]float64)
	}
	q.services[s] = max(0, q.services[s]-q.Ratio)
}

// Take takes a token for a repeat, leaving at least the reserve, a part of a
// full bucket, and reports whether there was one.
func (q *Quota) Take(s toucanservice.Name, reserve float64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.services[s]+1+reserve*q.Burst > q.Burst {
		return false
	}
	if q.services == nil {
		q.services = make(map[toucanservice.Name]float64)
	}
	q.services[s]++
	return true
}
