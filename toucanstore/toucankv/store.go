// Package toucankv is an in-memory key-value store with revisions, leases and
// watches.
package toucankv

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
)

const (
	maxValueBytes = 1 << 20
	// Shorter than the client's timeout of 35 s.
	watchTimeout = 30 * time.Second
	// Bytes of values in one watch reply, unless it has a single entry. Keeps
	// the reply below the client's limit of 2 MB.
	maxBatchBytes = 1 << 20
	// Bytes of keys and values of the changes kept for watches and lagging reads.
	maxLogBytes = 64 << 20
	// With a read lag, changes become visible without a notification, so
	// watches poll at this interval.
	lagPollInterval = 20 * time.Millisecond
)

// Store holds keys in memory. Callers must not modify the entries that it
// returns. Create it with New. Methods are safe for concurrent use.
type Store struct {
	mu          sync.Mutex
	revision    uint64
	current     map[string]*toucanpb.Entry
	leases      map[string]*lease
	leaseCount  uint64
	nextExpiry  time.Time     // no lease expires before it; zero if none is known
	changed     chan struct{} // closed and replaced on each change
	rescheduled chan struct{} // wakes Run to read nextExpiry again

	// base is the state before the first change in log.
	base         map[string]*toucanpb.Entry
	baseRevision uint64
	log          []change
	logBytes     int
	readLag      time.Duration
}

// change is one revision. A deletion has an entry without value.
type change struct {
	at    time.Time
	entry *toucanpb.Entry
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
	keys      map[string]bool
}

// New returns an empty store.
func New() *Store {
	return &Store{
		current:     map[string]*toucanpb.Entry{},
		base:        map[string]*toucanpb.Entry{},
		leases:      map[string]*lease{},
		changed:     make(chan struct{}),
		rescheduled: make(chan struct{}, 1),
	}
}

// Run starts a goroutine that expires leases until ctx is done. The channel
// receives nil when it has ended.
func (s *Store) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- s.runExpiry(ctx) }()
	return done
}

func (s *Store) runExpiry(ctx context.Context) error {
	for {
		s.mu.Lock()
		s.expireLeases()
		// Without leases any wait will do, as Grant ends it.
		wait := watchTimeout
		if !s.nextExpiry.IsZero() {
			wait = time.Until(s.nextExpiry)
		}
		s.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-s.rescheduled:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// SetReadLag makes reads and watches return the state of d ago; 0 turns the lag
// off.
func (s *Store) SetReadLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readLag = d
	s.notifyWatchers()
}

// Get returns the entry of key, or nil.
func (s *Store) Get(key string) *toucanpb.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	state, _ := s.visibleState()
	return state[key]
}

// List returns the entries whose key starts with prefix, ordered by key, and the
// store's revision. With a read lag both are those of the earlier state.
func (s *Store) List(prefix string) ([]*toucanpb.Entry, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	state, revision := s.visibleState()
	var out []*toucanpb.Entry
	for _, k := range slices.Sorted(maps.Keys(state)) {
		if strings.HasPrefix(k, prefix) {
			out = append(out, state[k])
		}
	}
	return out, revision
}

// Put stores value if the key's revision is prev, 0 meaning that the key doesn't
// exist, and returns the new revision. The key is deleted when the lease
// expires, unless leaseID is empty. Errors: CODE_INVALID for the size of value,
// CODE_CONFLICT for another revision, CODE_UNKNOWN for an unknown lease.
func (s *Store) Put(key string, value []byte, prev uint64, leaseID string) (uint64, error) {
	if len(value) == 0 || len(value) > maxValueBytes {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_INVALID,
			fmt.Sprintf("value of key %s has %d bytes, must have 1 to %d", key, len(value), maxValueBytes))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	old := s.current[key]
	if old.GetRevision() != prev {
		return 0, conflictError(key, old.GetRevision(), prev)
	}
	if leaseID != "" {
		l := s.leases[leaseID]
		if l == nil {
			return 0, leaseExpiredError(leaseID)
		}
		l.keys[key] = true
	}
	s.detachFromLease(old, leaseID)
	s.commit(&toucanpb.Entry{Key: key, Value: value, Lease: leaseID})
	return s.revision, nil
}

// Delete removes key if its revision is prev, or whatever it is if prev is 0, and
// returns the store's revision. Another revision is an error with CODE_CONFLICT.
func (s *Store) Delete(key string, prev uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	old := s.current[key]
	if prev != 0 && old.GetRevision() != prev {
		return 0, conflictError(key, old.GetRevision(), prev)
	}
	if old != nil {
		s.detachFromLease(old, "")
		s.commit(&toucanpb.Entry{Key: key})
	}
	return s.revision, nil
}

// Grant returns the id of a new lease. A ttl of 0 or less is an error with
// CODE_INVALID.
func (s *Store) Grant(ttl time.Duration) (string, error) {
	if ttl <= 0 {
		return "", toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "ttl must be above 0")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseCount++
	id := fmt.Sprintf("lease-%d", s.leaseCount)
	s.leases[id] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl), keys: map[string]bool{}}
	s.reschedule()
	return id, nil
}

// Renew makes a lease expire one time to live from now. An unknown or expired
// lease is an error with CODE_UNKNOWN.
func (s *Store) Renew(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[id]
	if l == nil {
		return leaseExpiredError(id)
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return nil
}

// ExpireLease expires a lease at once, or all leases if id is "*".
func (s *Store) ExpireLease(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range slices.Sorted(maps.Keys(s.leases)) {
		if id == "*" || id == i {
			s.deleteLease(i)
		}
	}
}

// Watch waits until keys that start with prefix have changes with a revision
// above after, and returns them in order with the revision to continue from. It
// returns no entries after 30 s or when ctx is done.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) ([]*toucanpb.Entry, uint64) {
	deadline := time.NewTimer(watchTimeout)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		s.expireLeases()
		found, revision := s.changesSince(prefix, after)
		changed, readLag := s.changed, s.readLag
		s.mu.Unlock()
		if len(found) > 0 {
			return found, revision
		}
		wait := watchTimeout
		if readLag > 0 {
			wait = lagPollInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, revision
		case <-deadline.C:
			timer.Stop()
			return nil, revision
		case <-changed:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// changesSince returns the changes after a revision to keys that start with
// prefix, up to one batch, and the revision to continue from. If the log no
// longer reaches back that far, it returns the present entries instead.
func (s *Store) changesSince(prefix string, after uint64) ([]*toucanpb.Entry, uint64) {
	state, revision := s.visibleState()
	var all []*toucanpb.Entry
	if after < s.baseRevision {
		for _, e := range state {
			all = append(all, e)
		}
		slices.SortFunc(all, func(a, b *toucanpb.Entry) int {
			if a.GetRevision() < b.GetRevision() {
				return -1
			}
			return 1
		})
	} else {
		for i := after - s.baseRevision; i < uint64(len(s.log)); i++ {
			all = append(all, s.log[i].entry)
		}
	}
	var out []*toucanpb.Entry
	size := 0
	for _, e := range all {
		if e.GetRevision() <= after || e.GetRevision() > revision || !strings.HasPrefix(e.GetKey(), prefix) {
			continue
		}
		size += len(e.GetValue())
		if len(out) > 0 && size > maxBatchBytes {
			return out, out[len(out)-1].GetRevision()
		}
		out = append(out, e)
	}
	return out, revision
}

// visibleState returns the state that reads see, which lags by readLag, and its
// revision.
func (s *Store) visibleState() (map[string]*toucanpb.Entry, uint64) {
	if s.readLag <= 0 {
		return s.current, s.revision
	}
	state, revision := maps.Clone(s.base), s.baseRevision
	cutoff := time.Now().Add(-s.readLag)
	for _, c := range s.log {
		if c.at.After(cutoff) {
			break
		}
		apply(state, c.entry)
		revision = c.entry.GetRevision()
	}
	return state, revision
}

func (s *Store) commit(e *toucanpb.Entry) {
	s.revision++
	e.Revision = s.revision
	apply(s.current, e)
	s.log = append(s.log, change{time.Now(), e})
	s.logBytes += len(e.GetKey()) + len(e.GetValue())
	for s.logBytes > maxLogBytes {
		first := s.log[0].entry
		apply(s.base, first)
		s.baseRevision = first.GetRevision()
		s.logBytes -= len(first.GetKey()) + len(first.GetValue())
		s.log = s.log[1:]
	}
	s.notifyWatchers()
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func apply(state map[string]*toucanpb.Entry, e *toucanpb.Entry) {
	if len(e.GetValue()) == 0 {
		delete(state, e.GetKey())
		return
	}
	state[e.GetKey()] = e
}

func (s *Store) detachFromLease(old *toucanpb.Entry, newLease string) {
	if l := s.leases[old.GetLease()]; l != nil && old.GetLease() != newLease {
		delete(l.keys, old.GetKey())
	}
}

// expireLeases deletes the leases whose time has passed, with their keys.
func (s *Store) expireLeases() {
	now := time.Now()
	if s.nextExpiry.IsZero() || now.Before(s.nextExpiry) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !now.Before(s.leases[id].expiresAt) {
			s.deleteLease(id)
		}
	}
	s.nextExpiry = time.Time{}
	s.reschedule()
}

func (s *Store) deleteLease(id string) {
	l := s.leases[id]
	delete(s.leases, id)
	for _, k := range slices.Sorted(maps.Keys(l.keys)) {
		s.commit(&toucanpb.Entry{Key: k})
	}
}

// reschedule lowers nextExpiry to the earliest expiry of a lease and wakes Run.
func (s *Store) reschedule() {
	for _, l := range s.leases {
		if s.nextExpiry.IsZero() || l.expiresAt.Before(s.nextExpiry) {
			s.nextExpiry = l.expiresAt
		}
	}
	select {
	case s.rescheduled <- struct{}{}:
	default:
	}
}

func conflictError(key string, have, prev uint64) error {
	return toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT,
		fmt.Sprintf("key %s is at revision %d, not %d", key, have, prev))
}

func leaseExpiredError(id string) error {
	return toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, fmt.Sprintf("lease %s is unknown or has expired", id))
}
