package toucanmembership

import (
	"sync"
	"sync/atomic"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/toucanstair/toucanview"
)

// standing is the manager's place in one view. Its slots are computed when
// first asked for.
type standing struct {
	view    toucanview.View
	self    toucanhost.ID
	member  bool
	voters  []*toucanpb.Member // of self
	watched []*toucanpb.Member // members that self is a voter of
	watcher bool               // watches the store for the zone
	prev    atomic.Pointer[standing]

	mu    sync.RWMutex
	slots map[toucanreplica.ID]*holding
}

// holding is what is known about the slots of one replica under one view.
type holding struct {
	owners  []*toucanpb.Member
	granted atomic.Uint64 // bit i: slot i may be used for as long as the view is current

	mu   sync.Mutex
	past map[int][]claim
}

// claim is the last listed view before the current one in which another host
// owned a slot.
type claim struct {
	id     toucanhost.ID
	number uint64
}

const slotBits = 64

func newStanding(view toucanview.View, self toucanhost.ID) *standing {
	s := &standing{view: view, self: self, slots: make(map[toucanreplica.ID]*holding)}
	s.member = view.Member(self) != nil
	if !s.member {
		return s
	}
	s.voters = view.Voters(self)
	for _, m := range view.Members() {
		if m.GetId() == string(self) {
			continue
		}
		for _, v := range view.Voters(toucanhost.ID(m.GetId())) {
			if v.GetId() == string(self) {
				s.watched = append(s.watched, m)
			}
		}
	}
	for i, m := range view.Rank("watch", string(view.Zone())) {
		s.watcher = s.watcher || i < watchers && m.GetId() == string(self)
	}
	return s
}

func (s *standing) holding(r toucanreplica.ID) *holding {
	s.mu.RLock()
	h := s.slots[r]
	s.mu.RUnlock()
	if h != nil {
		return h
	}
	h = &holding{owners: s.view.Owners(r), past: make(map[int][]claim)}
	s.carry(r, h)
	s.mu.Lock()
	defer s.mu.Unlock()
	if other := s.slots[r]; other != nil {
		return other
	}
	s.slots[r] = h
	return h
}

func (s *standing) owns(h *holding, slot int) bool {
	m, ok := toucanview.OwnerOf(h.owners, slot)
	return ok && m.GetId() == string(s.self)
}

// carry keeps the slots that were granted under the previous standing and
// that no other host owned in any view since. Every host that could have used
// them before was waited for then.
func (s *standing) carry(r toucanreplica.ID, h *holding) {
	prev := s.prev.Load()
	if prev == nil || prev.self != s.self || prev.view.Number() < s.view.Oldest().Number() {
		return
	}
	prev.mu.RLock()
	old := prev.slots[r]
	prev.mu.RUnlock()
	if old == nil {
		return
	}
	granted := old.granted.Load()
	var between []toucanview.View
	for _, v := range s.view.Earlier() {
		if v.Number() > prev.view.Number() {
			between = append(between, v)
		}
	}
	var kept uint64
	for slot := range slotBits {
		bit := uint64(1) << slot
		if granted&bit == 0 || !s.owns(h, slot) {
			continue
		}
		mine := true
		for _, v := range between {
			m, ok := v.Owner(r, slot)
			mine = mine && ok && m.GetId() == string(s.self)
		}
		if mine {
			kept |= bit
		}
	}
	h.granted.Store(kept)
}

// claims returns the other hosts that owned the slot in a listed view.
func (s *standing) claims(r toucanreplica.ID, h *holding, slot int) []claim {
	h.mu.Lock()
	defer h.mu.Unlock()
	if past, ok := h.past[slot]; ok {
		return past
	}
	var past []claim
	seen := map[toucanhost.ID]bool{s.self: true}
	for _, v := range s.view.Earlier() {
		m, ok := v.Owner(r, slot)
		if !ok || seen[toucanhost.ID(m.GetId())] {
			continue
		}
		seen[toucanhost.ID(m.GetId())] = true
		past = append(past, claim{toucanhost.ID(m.GetId()), v.Number()})
	}
	h.past[slot] = past
	return past
}
