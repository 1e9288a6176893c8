// Package toucanretry limits how often requests are retried or hedged, for each
// service and over all hosts together.
package toucanretry

import (
	"slices"
	"sync"
	"time"

	"toucanstair.example/core/toucanservice"
)

// Budget is a retry budget with a token bucket for each service. A first attempt
// adds Ratio tokens and a retry or hedge takes one, so over any period a host
// sends at most Ratio times its first attempts plus Burst retries and hedges.
// With Burst divided among the hosts, the total over all hosts stays within the
// operators' limit.
//
// The host may have replaced another one that has spent all its tokens, so a bucket
// starts empty. Once the Budget is Window old, the retries of the other host no longer
// count, and each bucket gets the part of Burst that it has not earned yet. Restarts
// therefore add no retries in any Window. For the same reason a larger Burst, the share of
// a host that has left, is in effect after a Window. The zero value allows no retries.
type Budget struct {
	Ratio  float64       // tokens for each first attempt
	Burst  float64       // size of a bucket, in tokens
	Window time.Duration // in which the operators count retries

	mu      sync.Mutex
	started time.Time // of the first use
	buckets map[toucanservice.Name]*bucket
	bursts  []burstSetting // of the last Window, rising; Burst is the first
}

// burstSetting is a size of the buckets and when it was last set.
type burstSetting struct {
	burst float64
	at    time.Time
}

// bucket holds the tokens of one service.
type bucket struct {
	tokens  float64
	earned  float64 // tokens added for first attempts until the bucket was granted its rest
	granted bool    // the bucket has its rest
}

// Set changes the ratio and the size of the buckets in tokens. The smallest size that was
// set in the last Window is in effect. To take a larger one into account, Set is called
// again.
func (b *Budget) Set(ratio, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	now := time.Now()
	b.bursts = slices.DeleteFunc(b.bursts, func(s burstSetting) bool { return s.burst >= burst || now.Sub(s.at) >= b.Window })
	b.bursts = append(b.bursts, burstSetting{burst, now})
	b.Ratio, b.Burst = ratio, b.bursts[0].burst
}

// Deposit adds the tokens for a first attempt at a service.
func (b *Budget) Deposit(s toucanservice.Name) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(s)
	k.tokens += b.Ratio
	k.earned += b.Ratio
	k.tokens = min(b.Burst, k.tokens)
}

// TryWithdraw takes a token for a retry or hedge and reports whether there was
// one. It leaves at least reserve, a fraction of a full bucket.
func (b *Budget) TryWithdraw(s toucanservice.Name, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(s)
	tokens := min(b.Burst, k.tokens)
	if tokens < 1+reserve*b.Burst {
		return false
	}
	k.tokens = tokens - 1
	return true
}

// start notes the time of the first use; the caller holds mu.
func (b *Budget) start() {
	if b.started.IsZero() {
		b.started = time.Now()
	}
}

// bucket returns the bucket of a service, with its rest once that is due; the caller
// holds mu.
func (b *Budget) bucket(s toucanservice.Name) *bucket {
	b.start()
	k := b.buckets[s]
	if k == nil {
		if b.buckets == nil {
			b.buckets = make(map[toucanservice.Name]*bucket)
		}
		k = &bucket{}
		b.buckets[s] = k
	}
	if !k.granted && time.Since(b.started) >= b.Window {
		k.granted = true
		k.tokens += max(0, b.Burst-k.earned)
	}
	return k
}
