package toucanbalancer

import (
	"math/rand/v2"
	"sync"
	"time"
)

// warm limits what a cold target gets from this host. It holds one request at
// most and begins at a random part of one, so that many hosts that share a
// target do not send to it at the same moment.
type warm struct {
	mu     sync.Mutex
	held   float64
	filled time.Time
}

// ready reports whether a request may be sent, at a rate in requests a second.
func (w *warm) ready(now time.Time, rate float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.filled.IsZero() {
		w.held = rand.Float64()
	} else {
		w.held = min(1, w.held+rate*now.Sub(w.filled).Seconds())
	}
	w.filled = now
	return w.held >= 1
}

func (w *warm) take() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held--
}
