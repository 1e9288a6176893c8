package toucanmembership

import (
	"sync"
	"sync/atomic"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/toucanstair/toucanview"
)

// viewState is the state of this host under one view of its zone. The slots of a
// replica are computed on first use.
type viewState struct {
	view         toucanview.View
	self         toucanhost.ID
	isMember     bool
	voters       []*toucanpb.Member        // whose acknowledgements renew the lease of self
	monitored    []*toucanpb.Member        // members that self is a voter of
	watchesStore bool                      // one of the members that read the store often
	previous     atomic.Pointer[viewState] // the state before, whose grants may be carried over

	mu        sync.RWMutex
	byReplica map[toucanreplica.ID]*replicaSlots
}

// replicaSlots holds the state of the slots of one replica under one view.
type replicaSlots struct {
	owners  []*toucanpb.Member
	granted atomic.Uint64 // bit i is set when self may use slot i while the view is current

	mu            sync.Mutex
	earlierOwners map[int][]earlierOwner
}

// earlierOwner is another host that owned a slot in a listed earlier view.
type earlierOwner struct {
	id       toucanhost.ID
	lastView uint64 // number of the last such view
}

// maxGrantSlots is the number of slots of a replica that granted has bits for.
// Grants of further slots are checked on each use.
const maxGrantSlots = 64

func newViewState(view toucanview.View, self toucanhost.ID) *viewState {
	s := &viewState{view: view, self: self, byReplica: make(map[toucanreplica.ID]*replicaSlots)}
	s.isMember = view.Member(self) != nil
	if !s.isMember {
		return s
	}
	s.voters = view.Voters(self)
	for _, member := range view.Members() {
		if member.GetId() == string(self) {
			continue
		}
		for _, voter := range view.Voters(toucanhost.ID(member.GetId())) {
			if voter.GetId() == string(self) {
				s.monitored = append(s.monitored, member)
			}
		}
	}
	for i, member := range view.Rank("watch", string(view.Zone())) {
		s.watchesStore = s.watchesStore || i < storeWatcherCount && member.GetId() == string(self)
	}
	return s
}

// slotsOf returns the slots of a replica and computes them on first use.
func (s *viewState) slotsOf(r toucanreplica.ID) *replicaSlots {
	s.mu.RLock()
	slots := s.byReplica[r]
	s.mu.RUnlock()
	if slots != nil {
		return slots
	}
	slots = &replicaSlots{owners: s.view.Owners(r), earlierOwners: make(map[int][]earlierOwner)}
	s.carryOverGrants(r, slots)
	s.mu.Lock()
	defer s.mu.Unlock()
	if other := s.byReplica[r]; other != nil {
		return other
	}
	s.byReplica[r] = slots
	return slots
}

func (s *viewState) owns(slots *replicaSlots, slot int) bool {
	m, ok := toucanview.OwnerOf(slots.owners, slot)
	return ok && m.GetId() == string(s.self)
}

// carryOverGrants keeps the grants of the previous state for slots that no other
// host has owned in any view since. When they were granted, every earlier owner had
// released them or could no longer send, so there is no need to wait again.
func (s *viewState) carryOverGrants(r toucanreplica.ID, slots *replicaSlots) {
	prev := s.previous.Load()
	if prev == nil || prev.self != s.self || prev.view.Number() < s.view.Oldest().Number() {
		return
	}
	prev.mu.RLock()
	old := prev.byReplica[r]
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
	for slot := range maxGrantSlots {
		bit := uint64(1) << slot
		if granted&bit == 0 || !s.owns(slots, slot) {
			continue
		}
		uninterrupted := true
		for _, v := range between {
			m, ok := v.Owner(r, slot)
			uninterrupted = uninterrupted && ok && m.GetId() == string(s.self)
		}
		if uninterrupted {
			kept |= bit
		}
	}
	slots.granted.Store(kept)
}

// earlierOwners returns the other hosts that owned the slot in a listed earlier view.
func (s *viewState) earlierOwners(r toucanreplica.ID, slots *replicaSlots, slot int) []earlierOwner {
	slots.mu.Lock()
	defer slots.mu.Unlock()
	if past, ok := slots.earlierOwners[slot]; ok {
		return past
	}
	var past []earlierOwner
	seen := map[toucanhost.ID]bool{s.self: true}
	for _, v := range s.view.Earlier() {
		m, ok := v.Owner(r, slot)
		if !ok || seen[toucanhost.ID(m.GetId())] {
			continue
		}
		seen[toucanhost.ID(m.GetId())] = true
		past = append(past, earlierOwner{toucanhost.ID(m.GetId()), v.Number()})
	}
	slots.earlierOwners[slot] = past
	return past
}
