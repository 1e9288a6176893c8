// Package toucanhedge limits hedged requests and retries and tells when a
// request is slow enough to be hedged.
package toucanhedge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"toucanstair.example/core/toucanservice"
)

const (
	// Parts of a token: each leg adds one part, which is 0.05 tokens.
	parts = 20
	// held is the most tokens, in parts.
	held = 20 * parts

	quantile   = 95
	floor      = time.Millisecond
	unmeasured = 20 * time.Millisecond // delay before there are samples
	enough     = 20                    // samples before the quantile is used
	windows    = 4
	window     = 5 * time.Second
	refresh    = 50 * time.Millisecond
	longest    = 10 * time.Second
)

// Budget is a token bucket for extra requests with a latency quantile for
// each service. The zero value is a full bucket without samples.
type Budget struct {
	spent    atomic.Int64 // parts missing from a full bucket
	services sync.Map     // toucanservice.Name to *latency
}

type latency struct {
	delay   atomic.Int64 // nanoseconds; 0 before there are enough samples
	mu      sync.Mutex
	hist    *hdrhistogram.WindowedHistogram // microseconds
	rotated time.Time
	merged  time.Time
}

// Deposit adds the share of one leg. Hedges and retries add nothing, so extra
// load is at most 5% of the first sends plus the 20 tokens held.
func (b *Budget) Deposit() {
	for {
		s := b.spent.Load()
		if s <= 0 || b.spent.CompareAndSwap(s, s-1) {
			return
		}
	}
}

// TryWithdraw takes a token for a hedge or retry and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	for {
		s := b.spent.Load()
		if s+parts > held {
			return false
		}
		if b.spent.CompareAndSwap(s, s+parts) {
			return true
		}
	}
}

// Tokens returns the number of whole tokens held.
func (b *Budget) Tokens() int { return int(held-b.spent.Load()) / parts }

// HedgeDelay returns how long to wait for a response before hedging.
func (b *Budget) HedgeDelay(s toucanservice.Name) time.Duration {
	if v, ok := b.services.Load(s); ok {
		if d := v.(*latency).delay.Load(); d > 0 {
			return max(floor, time.Duration(d))
		}
	}
	return unmeasured
}

// RecordLatency records the latency of a leg.
func (b *Budget) RecordLatency(s toucanservice.Name, took time.Duration) {
	v, ok := b.services.Load(s)
	if !ok {
		v, _ = b.services.LoadOrStore(s, &latency{})
	}
	v.(*latency).observe(took)
}

func (l *latency) observe(took time.Duration) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hist == nil {
		l.hist = hdrhistogram.NewWindowed(windows, 1, longest.Microseconds(), 2)
		l.rotated = now
	}
	for i := 0; i < windows && now.Sub(l.rotated) >= window; i++ {
		l.hist.Rotate()
		l.rotated = l.rotated.Add(window)
	}
	if now.Sub(l.rotated) >= window {
		l.rotated = now // every window was cleared
	}
	// Clamped to the range, so the only error of RecordValue cannot occur.
	_ = l.hist.Current.RecordValue(min(max(1, took.Microseconds()), longest.Microseconds()))
	if now.Sub(l.merged) < refresh && l.delay.Load() != 0 {
		return
	}
	l.merged = now
	m := l.hist.Merge()
	if m.TotalCount() >= enough {
		l.delay.Store(int64(time.Duration(m.ValueAtQuantile(quantile)) * time.Microsecond))
	}
}
