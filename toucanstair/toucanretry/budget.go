// Package toucanretry limits how often requests are retried or hedged, for each
// service and over all hosts together.
package toucanretry

import (
	"sync"

	"toucanstair.example/core/toucanservice"
)

// Budget is a retry budget with a token bucket for each service. A first attempt
// adds Ratio tokens and a retry or hedge takes one, so over any period a host
// sends at most Ratio times its first attempts plus Burst retries and hedges.
// With Burst divided among the hosts, the total over all hosts stays within the
// operators' limit. A bucket starts empty, since a host that replaces another one
// cannot know how many tokens that one has spent; so restarts add no tokens. The
// zero value allows no retries.
type Budget struct {
	Ratio float64 // tokens for each first attempt
	Burst float64 // size of a bucket, in tokens
	// FirstStart says that no host has run before, so that none has spent tokens. Buckets
	// then start with initialFill.
	FirstStart bool

	mu     sync.Mutex
	tokens map[toucanservice.Name]float64 // by service
}

// initialFill is the fraction of a new bucket that is filled at the first start. It is
// less than 1 because the hosts do not know each other yet, and each takes too large a
// share of the operators' limit.
const initialFill = 0.75

// Set changes the ratio and the size of the buckets in tokens.
func (b *Budget) Set(ratio, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Burst = ratio, burst
}

// Deposit adds the tokens for a first attempt at a service.
func (b *Budget) Deposit(s toucanservice.Name) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[s] = min(b.Burst, b.available(s)+b.Ratio)
}

// TryWithdraw takes a token for a retry or hedge and reports whether there was
// one. It leaves at least reserve, a fraction of a full bucket.
func (b *Budget) TryWithdraw(s toucanservice.Name, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := min(b.Burst, b.available(s))
	if tokens < 1+reserve*b.Burst {
		return false
	}
	b.tokens[s] = tokens - 1
	return true
}

// available returns the tokens of a bucket; the caller holds mu.
func (b *Budget) available(s toucanservice.Name) float64 {
	if b.tokens == nil {
		b.tokens = make(map[toucanservice.Name]float64)
	}
	tokens, ok := b.tokens[s]
	if !ok && b.FirstStart {
		return initialFill * b.Burst
	}
	return tokens
}
