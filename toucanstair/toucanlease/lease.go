// Package toucanlease holds a host's right to send to targets.
package toucanlease

import (
	"sync"
	"sync/atomic"
	"time"

	"toucanstair.example/core/toucanhost"
)

// DefaultTerm is the term of a lease whose Term is zero.
const DefaultTerm = 3 * time.Second

// Lease is a right to send that lasts Term from the send time of a heartbeat
// that a majority of the voters acknowledged. Times are on the monotonic
// clock. The zero value is a lease that is not held.
type Lease struct {
	Term time.Duration // DefaultTerm when zero

	until atomic.Pointer[time.Time]

	mu     sync.Mutex
	round  uint64
	sent   time.Time
	voters map[toucanhost.ID]bool // true when acknowledged in this round
	acks   int
}

// StartRound begins a round of heartbeats to voters and returns its number. It
// must be called before the first heartbeat of the round is sent. The
// acknowledgements of earlier rounds no longer count.
func (l *Lease) StartRound(voters []toucanhost.ID) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.round++
	l.sent = time.Now()
	l.acks = 0
	l.voters = make(map[toucanhost.ID]bool, len(voters))
	for _, v := range voters {
		l.voters[v] = false
	}
	return l.round
}

// Acknowledge counts the acknowledgement of one voter and renews the lease
// when a majority of the round's voters has acknowledged.
func (l *Lease) Acknowledge(round uint64, voter toucanhost.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if round != l.round {
		return
	}
	acked, ok := l.voters[voter]
	if !ok || acked {
		return
	}
	l.voters[voter] = true
	l.acks++
	if 2*l.acks <= len(l.voters) {
		return
	}
	until := l.sent.Add(l.term())
	l.until.Store(&until)
}

// RoundAcknowledged reports whether a majority has acknowledged the newest round.
func (l *Lease) RoundAcknowledged() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 2*l.acks > len(l.voters) && len(l.voters) > 0
}

// CancelRound ends the current round, so that its late acknowledgements do not
// renew the lease; a lease that is held stays held until it expires.
func (l *Lease) CancelRound() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.round++
	l.voters = nil
}

// Revoke ends the lease and the current round.
func (l *Lease) Revoke() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.round++
	l.voters = nil
	l.until.Store(nil)
}

// Held reports whether the lease is held now.
func (l *Lease) Held() bool {
	until := l.until.Load()
	return until != nil && time.Now().Before(*until)
}

func (l *Lease) term() time.Duration {
	if l.Term > 0 {
		return l.Term
	}
	return DefaultTerm
}
