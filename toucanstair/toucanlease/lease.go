// Package toucanlease implements the lease under which a host may send requests to
// targets.
package toucanlease

import (
	"sync"
	"sync/atomic"
	"time"

	"toucanstair.example/core/toucanhost"
)

// DefaultTerm is the term of a lease whose Term is zero.
const DefaultTerm = 3 * time.Second

// Lease is held for Term from the start of a round of heartbeats that a majority of
// the voters acknowledged. Times are on the monotonic clock. The zero value is a
// lease that is not held. Its methods are safe for concurrent use.
type Lease struct {
	Term time.Duration // DefaultTerm when zero

	until atomic.Pointer[time.Time]

	mu           sync.Mutex
	round        uint64
	roundStart   time.Time
	voters       map[toucanhost.ID]bool // true for voters that acknowledged this round
	acknowledged int
}

// StartRound starts a round of heartbeats to voters and returns its number. It must
// be called before the first heartbeat of the round is sent. Acknowledgements of
// earlier rounds no longer count.
func (l *Lease) StartRound(voters []toucanhost.ID) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.round++
	l.roundStart = time.Now()
	l.acknowledged = 0
	l.voters = make(map[toucanhost.ID]bool, len(voters))
	for _, v := range voters {
		l.voters[v] = false
	}
	return l.round
}

// Acknowledge counts the acknowledgement of one voter, and renews the lease when a
// majority of the round's voters has acknowledged. Further acknowledgements of the
// same voter, those of other rounds and those of hosts that are not voters are ignored.
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
	l.acknowledged++
	if 2*l.acknowledged <= len(l.voters) {
		return
	}
	until := l.roundStart.Add(l.term())
	l.until.Store(&until)
}

// RoundAcknowledged reports whether a majority has acknowledged the current round.
func (l *Lease) RoundAcknowledged() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 2*l.acknowledged > len(l.voters) && len(l.voters) > 0
}

// CancelRound ends the current round, so that late acknowledgements do not renew the
// lease. A lease that is held stays held until it expires.
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

// Held reports whether the lease is held at this moment.
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
