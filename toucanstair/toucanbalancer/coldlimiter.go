package toucanbalancer

import (
	"math/rand/v2"
	"sync"
	"time"
)

// coldLimiter is a token bucket for the requests of this host to a cold target. It holds
// one token at most and starts with a random part of one, so that many hosts do not
// send to the same target at the same moment.
type coldLimiter struct {
	mu       sync.Mutex
	tokens   float64
	refilled time.Time
}

// available refills the bucket at rate, in requests per second, and reports whether
// it holds a token.
func (l *coldLimiter) available(now time.Time, rate float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refilled.IsZero() {
		l.tokens = rand.Float64()
	} else {
		l.tokens = min(1, l.tokens+rate*now.Sub(l.refilled).Seconds())
	}
	l.refilled = now
	return l.tokens >= 1
}

func (l *coldLimiter) take() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens--
}
