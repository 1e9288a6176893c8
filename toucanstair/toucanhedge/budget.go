// Package toucanhedge limits hedged requests and retries by a budget, and derives
// the hedge delay from the observed latency.
package toucanhedge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"toucanstair.example/core/toucanservice"
)

const (
	// partsPerToken divides a token: each leg deposits one part, which is 0.05 tokens.
	partsPerToken = 20
	// capacityParts is the capacity of the bucket, 20 tokens.
	capacityParts = 20 * partsPerToken

	hedgePercentile     = 95 // percentile of the latency after which a leg is hedged
	minHedgeDelay       = time.Millisecond
	defaultHedgeDelay   = 20 * time.Millisecond // before there are enough samples
	minSamples          = 20                    // before the quantile is used
	windowCount         = 4                     // with windowLength, samples of the last 15 to 20 s count
	windowLength        = 5 * time.Second
	delayUpdateInterval = 50 * time.Millisecond
	maxLatency          = 10 * time.Second // largest value of the histogram
)

// Budget is a token bucket for hedges and retries, with a latency quantile for each
// service. The zero value is a full bucket without samples.
type Budget struct {
	spentParts atomic.Int64 // parts missing from a full bucket
	services   sync.Map     // toucanservice.Name to *latencyStats
}

// latencyStats is the recent latency of one service.
type latencyStats struct {
	delay        atomic.Int64 // nanoseconds; 0 before there are enough samples
	mu           sync.Mutex
	hist         *hdrhistogram.WindowedHistogram // microseconds
	lastRotation time.Time
	lastMerge    time.Time
}

// Deposit adds one part of a token for a leg. Hedges and retries deposit nothing, so
// the extra load is at most 5% of the legs plus 20 requests.
func (b *Budget) Deposit() {
	for {
		spent := b.spentParts.Load()
		if spent <= 0 || b.spentParts.CompareAndSwap(spent, spent-1) {
			return
		}
	}
}

// TryWithdraw takes a token for a hedge or retry. It reports false if there is none.
func (b *Budget) TryWithdraw() bool {
	for {
		spent := b.spentParts.Load()
		if spent+partsPerToken > capacityParts {
			return false
		}
		if b.spentParts.CompareAndSwap(spent, spent+partsPerToken) {
			return true
		}
	}
}

// Tokens returns the number of whole tokens in the bucket.
func (b *Budget) Tokens() int { return int(capacityParts-b.spentParts.Load()) / partsPerToken }

// HedgeDelay returns how long to wait for a response of a service before hedging: the
// 95th percentile of the recent latency, at least 1 ms, or 20 ms before there are
// enough samples.
func (b *Budget) HedgeDelay(s toucanservice.Name) time.Duration {
	if v, ok := b.services.Load(s); ok {
		if d := v.(*latencyStats).delay.Load(); d > 0 {
			return max(minHedgeDelay, time.Duration(d))
		}
	}
	return defaultHedgeDelay
}

// RecordLatency records the latency of a leg of a service.
func (b *Budget) RecordLatency(s toucanservice.Name, took time.Duration) {
	v, ok := b.services.Load(s)
	if !ok {
		v, _ = b.services.LoadOrStore(s, &latencyStats{})
	}
	v.(*latencyStats).observe(took)
}

func (l *latencyStats) observe(took time.Duration) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hist == nil {
		l.hist = hdrhistogram.NewWindowed(windowCount, 1, maxLatency.Microseconds(), 2)
		l.lastRotation = now
	}
	for i := 0; i < windowCount && now.Sub(l.lastRotation) >= windowLength; i++ {
		l.hist.Rotate()
		l.lastRotation = l.lastRotation.Add(windowLength)
	}
	if now.Sub(l.lastRotation) >= windowLength {
		l.lastRotation = now // every window was cleared
	}
	// RecordValue fails only for values out of range, and the value is clamped.
	_ = l.hist.Current.RecordValue(min(max(1, took.Microseconds()), maxLatency.Microseconds()))
	if now.Sub(l.lastMerge) < delayUpdateInterval && l.delay.Load() != 0 {
		return
	}
	l.lastMerge = now
	m := l.hist.Merge()
	if m.TotalCount() >= minSamples {
		l.delay.Store(int64(time.Duration(m.ValueAtQuantile(hedgePercentile)) * time.Microsecond))
	}
}
