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
	valueLimit = 1 << 20
	// Long polls end before the client's limit of 35 s.
	watchLimit = 30 * time.Second
	// A watch reply holds at most this many bytes of values, or one entry,
	// which keeps it below the client's limit of 2 MB.
	batchLimit = 1 << 20
	// Changes kept for watches and stale reads.
	logLimit = 64 << 20
	// With stale reads on, a watch looks for changes at this interval.
	staleTick = 20 * time.Millisecond
)

// Store holds keys in memory. Entries that it returns must not be changed.
// Create it with New.
type Store struct {
	mu       sync.Mutex
	revision uint64
	live     map[string]*toucanpb.Entry
	leases   map[string]*lease
	granted  uint64
	next     time.Time     // earliest end of a lease, zero when there is none
	changed  chan struct{} // closed and replaced at each change
	sooner   chan struct{} // signals Run that next is earlier

	// base is the state before the first change of log.
	base         map[string]*toucanpb.Entry
	baseRevision uint64
	log          []change
	logSize      int
	stale        time.Duration
}

// change is one revision; a deleted key has an entry without value.
type change struct {
	at    time.Time
	entry *toucanpb.Entry
}

type lease struct {
	ttl  time.Duration
	ends time.Time
	keys map[string]bool
}

// New returns an empty store.
func New() *Store {
	return &Store{
		live:    map[string]*toucanpb.Entry{},
		base:    map[string]*toucanpb.Entry{},
		leases:  map[string]*lease{},
		changed: make(chan struct{}),
		sooner:  make(chan struct{}, 1),
	}
}

// Run ends leases at their time until ctx is done, and reports its end.
func (s *Store) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- s.expire(ctx) }()
	return done
}

func (s *Store) expire(ctx context.Context) error {
	for {
		s.mu.Lock()
		s.sweep()
		wait := watchLimit
		if !s.next.IsZero() {
			wait = time.Until(s.next)
		}
		s.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-s.sooner:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// SetReadLag makes reads and watches serve the state of d ago; 0 ends this.
func (s *Store) SetReadLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = d
	s.wake()
}

// Get returns the entry of key, or nil.
func (s *Store) Get(key string) *toucanpb.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	state, _ := s.visible()
	return state[key]
}

// List returns the entries under prefix ordered by key, and the revision.
func (s *Store) List(prefix string) ([]*toucanpb.Entry, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	state, revision := s.visible()
	var out []*toucanpb.Entry
	for _, k := range slices.Sorted(maps.Keys(state)) {
		if strings.HasPrefix(k, prefix) {
			out = append(out, state[k])
		}
	}
	return out, revision
}

// Put stores value if the key's revision is prev, with 0 for an absent key.
func (s *Store) Put(key string, value []byte, prev uint64, leaseID string) (uint64, error) {
	if len(value) == 0 || len(value) > valueLimit {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_INVALID,
			fmt.Sprintf("value of %s has %d bytes, allowed are 1 to %d", key, len(value), valueLimit))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	old := s.live[key]
	if old.GetRevision() != prev {
		return 0, conflict(key, old.GetRevision(), prev)
	}
	if leaseID != "" {
		l := s.leases[leaseID]
		if l == nil {
			return 0, noLease(leaseID)
		}
		l.keys[key] = true
	}
	s.unbind(old, leaseID)
	s.commit(&toucanpb.Entry{Key: key, Value: value, Lease: leaseID})
	return s.revision, nil
}

// Delete removes key if its revision is prev, or any revision when prev is 0.
func (s *Store) Delete(key string, prev uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	old := s.live[key]
	if prev != 0 && old.GetRevision() != prev {
		return 0, conflict(key, old.GetRevision(), prev)
	}
	if old != nil {
		s.unbind(old, "")
		s.commit(&toucanpb.Entry{Key: key})
	}
	return s.revision, nil
}

// Grant returns a new lease.
func (s *Store) Grant(ttl time.Duration) (string, error) {
	if ttl <= 0 {
		return "", toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "ttl must be above 0")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted++
	id := fmt.Sprintf("lease-%d", s.granted)
	s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl), keys: map[string]bool{}}
	s.reschedule()
	return id, nil
}

// Renew extends a lease by its time to live.
func (s *Store) Renew(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	l := s.leases[id]
	if l == nil {
		return noLease(id)
	}
	l.ends = time.Now().Add(l.ttl)
	return nil
}

// ExpireLease ends a lease at once; "*" ends all.
func (s *Store) ExpireLease(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range slices.Sorted(maps.Keys(s.leases)) {
		if id == "*" || id == i {
			s.end(i)
		}
	}
}

// Watch waits until there are changes under prefix with a revision above
// after, and returns them in order with the revision to continue from.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) ([]*toucanpb.Entry, uint64) {
	limit := time.NewTimer(watchLimit)
	defer limit.Stop()
	for {
		s.mu.Lock()
		s.sweep()
		found, revision := s.since(prefix, after)
		changed, stale := s.changed, s.stale
		s.mu.Unlock()
		if len(found) > 0 {
			return found, revision
		}
		wait := watchLimit
		if stale > 0 {
			wait = staleTick
		}
		tick := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			tick.Stop()
			return nil, revision
		case <-limit.C:
			tick.Stop()
			return nil, revision
		case <-changed:
			tick.Stop()
		case <-tick.C:
		}
	}
}

// since returns the changes under prefix after a revision, up to one batch.
func (s *Store) since(prefix string, after uint64) ([]*toucanpb.Entry, uint64) {
	state, revision := s.visible()
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
		if len(out) > 0 && size > batchLimit {
			return out, out[len(out)-1].GetRevision()
		}
		out = append(out, e)
	}
	return out, revision
}

// visible returns the state that reads see and its revision.
func (s *Store) visible() (map[string]*toucanpb.Entry, uint64) {
	if s.stale <= 0 {
		return s.live, s.revision
	}
	state, revision := maps.Clone(s.base), s.baseRevision
	until := time.Now().Add(-s.stale)
	for _, c := range s.log {
		if c.at.After(until) {
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
	apply(s.live, e)
	s.log = append(s.log, change{time.Now(), e})
	s.logSize += len(e.GetKey()) + len(e.GetValue())
	for s.logSize > logLimit {
		first := s.log[0].entry
		apply(s.base, first)
		s.baseRevision = first.GetRevision()
		s.logSize -= len(first.GetKey()) + len(first.GetValue())
		s.log = s.log[1:]
	}
	s.wake()
}

func (s *Store) wake() {
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

func (s *Store) unbind(old *toucanpb.Entry, keep string) {
	if l := s.leases[old.GetLease()]; l != nil && old.GetLease() != keep {
		delete(l.keys, old.GetKey())
	}
}

// sweep ends the leases whose time has passed.
func (s *Store) sweep() {
	now := time.Now()
	if s.next.IsZero() || now.Before(s.next) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !now.Before(s.leases[id].ends) {
			s.end(id)
		}
	}
	s.next = time.Time{}
	s.reschedule()
}

func (s *Store) end(id string) {
	l := s.leases[id]
	delete(s.leases, id)
	for _, k := range slices.Sorted(maps.Keys(l.keys)) {
		s.commit(&toucanpb.Entry{Key: k})
	}
}

// reschedule sets next to the earliest end of a lease and tells Run.
func (s *Store) reschedule() {
	for _, l := range s.leases {
		if s.next.IsZero() || l.ends.Before(s.next) {
			s.next = l.ends
		}
	}
	select {
	case s.sooner <- struct{}{}:
	default:
	}
}

func conflict(key string, have, prev uint64) error {
	return toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT,
		fmt.Sprintf("key %s is at revision %d, not %d", key, have, prev))
}

func noLease(id string) error {
	return toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, fmt.Sprintf("lease %s has ended", id))
}
