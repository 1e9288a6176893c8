// Package toucanretry bounds how often requests are sent to a second target,
// for each service and over all hosts together.
package toucanretry

import (
	"sync"

	"toucanstair.example/core/toucanservice"
)

// Budget is a token bucket for each service. A first send earns Ratio tokens
// and a repeat takes one, so in any time a host sends at most Ratio times its
// first sends plus Burst repeats; with Burst divided among the hosts, the sum
// over all of them stays within the operators' bound. The zero value allows
// no repeats.
type Budget struct {
	Ratio float64
	Burst float64

	mu       sync.Mutex
	services map[toucanservice.Name]float64 // tokens held
}

// startShare is the part of a bucket that is full at first, since a host that
// starts may follow one that has just spent its tokens.
const startShare = 0.75

// Set changes the ratio and the size of the buckets.
func (q *Budget) Set(ratio, burst float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.Ratio, q.Burst = ratio, burst
}

// Deposit counts a first send to a service.
func (q *Budget) Deposit(s toucanservice.Name) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.services[s] = min(q.Burst, q.held(s)+q.Ratio)
}

// TryWithdraw takes a token for a repeat, leaving at least the reserve, a part of a
// full bucket, and reports whether there was one.
func (q *Budget) TryWithdraw(s toucanservice.Name, reserve float64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	held := min(q.Burst, q.held(s))
	if held < 1+reserve*q.Burst {
		return false
	}
	q.services[s] = held - 1
	return true
}

func (q *Budget) held(s toucanservice.Name) float64 {
	if q.services == nil {
		q.services = make(map[toucanservice.Name]float64)
	}
	held, ok := q.services[s]
	if !ok {
		return startShare * q.Burst
	}
	return held
}
