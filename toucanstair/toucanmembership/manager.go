// Package toucanmembership keeps a host in the membership view of its zone: it
// joins, sends heartbeats, votes on silent members, changes the view, and says
// which slots the host may use.
package toucanmembership

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanlease"
	"toucanstair.example/toucanstair/toucanview"
)

// Manager is a host's part in the membership of its zone. A slot is used by at
// most one host at a time:
//
//   - A host sends only under a lease, which a majority of its voters renews.
//   - A member is removed only after a majority of its voters under every view
//     that it may hold has promised not to acknowledge it again, so its lease
//     ends at most one term later; the next owner waits that term and the
//     longest leg.
//   - A member that stays in the view says up to which view it has nothing in
//     flight on slots that it lost; the next owner waits for that.
type Manager struct {
	set   Settings
	lease toucanlease.Lease
	group sync.WaitGroup

	standing atomic.Pointer[standing]
	self     atomic.Pointer[toucanpb.Member]
	released atomic.Uint64
	leaving  atomic.Bool // told to peers
	left     atomic.Bool // uses and acknowledges nothing any more
	replaced atomic.Bool

	later chan *toucanpb.Member // hosts with a later view

	mu       sync.Mutex
	rnd      *rand.Rand
	peers    map[toucanhost.ID]*peer
	expiry   map[toucanhost.ID]time.Time // removed members may send until then
	complete time.Time                   // hosts of views that are not listed may send until then
	awaited  map[toucanhost.ID]bool      // members whose release a slot waits for
	contacts map[toucanzone.Name]map[string]contact
	gone     map[string]time.Time // when a name was first missing from the host list
	listed   time.Time            // last good reading of the host list
	ticked   time.Time
	joined   bool
	rested   bool // the last tick sent no heartbeats
	due      schedule
	busy     map[string]bool // background jobs that run now
}

// schedule holds the times of the next periodic actions.
type schedule struct {
	join, reread, list, hosts, contact, witness time.Time
	zone                                        int // round robin over other zones
}

// peer is what is known about one incarnation of another host.
type peer struct {
	heard    time.Time // of the last heartbeat or reply
	since    time.Time // silence counts from here at the earliest
	held     uint64    // last view that it is known to hold
	released uint64
	promised bool      // never acknowledge it again
	retry    time.Time // next attempt to remove it
	wait     time.Duration
}

// New returns a manager that has not joined; Run makes it join.
func New(s Settings) *Manager {
	m := &Manager{
		set:      s.withDefaults(),
		peers:    make(map[toucanhost.ID]*peer),
		expiry:   make(map[toucanhost.ID]time.Time),
		awaited:  make(map[toucanhost.ID]bool),
		contacts: make(map[toucanzone.Name]map[string]contact),
		gone:     make(map[string]time.Time),
		later:    make(chan *toucanpb.Member, 1),
		busy:     make(map[string]bool),
	}
	m.lease.Term = m.set.LeaseTerm
	seed := m.set.RandomSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	m.rnd = rand.New(rand.NewPCG(seed, uint64(len(s.Name))))
	m.self.Store(m.incarnate())
	m.standing.Store(newStanding(toucanview.View{}, m.id()))
	return m
}

// Run starts the manager and reports its end: nil when ctx ended, or a
// toucanfault.Error with CODE_CONFLICT when another process joined under the
// same name.
func (m *Manager) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithCancel(ctx)
		err := m.loop(ctx)
		cancel()
		m.group.Wait()
		done <- err
	}()
	return done
}

// Self returns this host as it appears, or will appear, in the view.
func (m *Manager) Self() *toucanpb.Member { return m.self.Load() }

// View returns the newest known view of the zone.
func (m *Manager) View() toucanview.View { return m.standing.Load().view }

// Joined reports whether this host is a member of the newest known view.
func (m *Manager) Joined() bool { return m.standing.Load().member }

// Owner returns the owner of a slot of replica r under the newest known view.
func (m *Manager) Owner(r toucanreplica.ID, slot int) (*toucanpb.Member, bool) {
	return toucanview.OwnerOf(m.standing.Load().holding(r).owners, slot)
}

// MayUse reports whether this host owns the slot and every earlier owner has
// released it or can no longer send. A caller registers its leg as in flight
// before it asks, so that SetReleased is not called meanwhile.
func (m *Manager) MayUse(r toucanreplica.ID, slot int) bool {
	s := m.standing.Load()
	if !s.member || m.left.Load() {
		return false
	}
	h := s.holding(r)
	if !s.owns(h, slot) {
		return false
	}
	if slot < slotBits && h.granted.Load()&(1<<slot) != 0 {
		return true
	}
	if !m.isFree(s, s.claims(r, h, slot)) {
		return false
	}
	if slot < slotBits {
		h.granted.Or(1 << slot)
	}
	return true
}

// OwnedSince reports whether this host has owned the slot under every view after the
// given one. Where it skipped views, another host may have had the slot between.
func (m *Manager) OwnedSince(r toucanreplica.ID, slot int, since uint64) bool {
	s := m.standing.Load()
	h := s.holding(r)
	if !s.owns(h, slot) || s.view.Oldest().Number() > since+1 {
		return false
	}
	for _, c := range s.claims(r, h, slot) {
		if c.number > since {
			return false
		}
	}
	return true
}

// LeaseHeld reports whether this host may send now.
func (m *Manager) LeaseHeld() bool { return m.lease.Held() && !m.left.Load() }

// SetReleasedView states that every leg in flight is on a slot that this host has
// Kept since before the leg, up to the given view. A number above the current view counts as the current one.
func (m *Manager) SetReleasedView(view uint64) {
	view = min(view, m.View().Number())
	for {
		old := m.released.Load()
		if view <= old || m.released.CompareAndSwap(old, view) {
			return
		}
	}
}

// SetLeaving makes the heartbeats say that this host is about to leave, and
// keeps them at the full rate. Slots stay in use until Leave.
func (m *Manager) SetLeaving() { m.leaving.Store(true) }

// isFree reports whether no other host can be using a slot with the given
// claims, and notes the members whose release is missing.
func (m *Manager) isFree(s *standing, claims []claim) bool {
	now := time.Now()
	oldest := s.view.Oldest()
	m.mu.Lock()
	defer m.mu.Unlock()
	free := !now.Before(m.complete)
	need := func(id toucanhost.ID, number uint64) {
		if p := m.peers[id]; p == nil || p.released < number {
			m.awaited[id] = true
			free = false
		}
	}
	for _, c := range claims {
		if s.view.Member(c.id) != nil {
			need(c.id, c.number+1)
		} else if now.Before(m.expiry[c.id]) {
			free = false
		}
	}
	if oldest.Number() <= 1 {
		return free
	}
	// A member of the oldest listed view may still hold one that is not listed.
	for _, o := range oldest.Members() {
		if id := toucanhost.ID(o.GetId()); id != s.self && s.view.Member(id) != nil {
			need(id, oldest.Number())
		}
	}
	return free
}

// adopt makes a view current unless a later one is.
func (m *Manager) adopt(v toucanview.View) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.standing.Load()
	if v.Zone() != m.set.Zone || v.Number() <= old.view.Number() {
		return
	}
	if m.joined && v.Member(m.id()) == nil {
		m.removed(v)
	}
	s := newStanding(v, m.id())
	m.expire(old, v, now)
	if s.member {
		if !m.joined {
			m.joined = true
			m.released.Store(v.Number())
		}
		if old.member {
			s.prev.Store(old)
		}
	}
	old.prev.Store(nil)
	was := make(map[string]bool, len(old.watched))
	for _, w := range old.watched {
		was[w.GetId()] = true
	}
	for _, w := range s.watched {
		if !was[w.GetId()] {
			m.peer(toucanhost.ID(w.GetId()), now).since = now
		}
	}
	if w := v.Witness(); w != nil && w.GetId() != old.view.Witness().GetId() {
		m.peer(toucanhost.ID(w.GetId()), now).since = now
	}
	clear(m.awaited)
	m.prune(v, now)
	// Acknowledgements collected under the old view say nothing about the new
	// view's voters.
	m.lease.CancelRound()
	m.standing.Store(s)
	m.set.Log.Info("zone view changed", zap.Uint64("number", v.Number()), zap.Int("members", len(v.Members())), zap.Bool("member", s.member))
}

// removed gives this process a new incarnation. Promises of the old one are
// forgotten: they counted for that voter id, which acknowledges nothing more.
func (m *Manager) removed(v toucanview.View) {
	r := v.Removal(m.id())
	m.set.Log.Warn("this host was removed from the zone view", zap.String("id", string(m.id())), zap.Stringer("cause", r.GetCause()))
	m.lease.Revoke()
	m.joined = false
	if r.GetCause() == toucanpb.Removal_CAUSE_REPLACED && v.MemberByName(m.set.Name) != nil {
		m.replaced.Store(true)
	}
	for _, p := range m.peers {
		p.promised = false
	}
	m.self.Store(m.incarnate())
}

// expire sets until when hosts that are no longer members may still send.
func (m *Manager) expire(old *standing, v toucanview.View, now time.Time) {
	gap := !old.member || v.Oldest().Number() > old.view.Number()+1
	if gap && v.Oldest().Number() > 1 {
		m.extend(now.Add(m.set.LeaseTerm + m.set.MaxLegDuration))
	}
	past := make(map[toucanhost.ID]bool)
	for _, w := range append(v.Earlier(), old.view) {
		for _, o := range w.Members() {
			past[toucanhost.ID(o.GetId())] = v.Member(toucanhost.ID(o.GetId())) == nil
		}
	}
	for id, isGone := range past {
		if _, known := m.expiry[id]; known || !isGone {
			continue
		}
		wait := m.set.LeaseTerm + m.set.MaxLegDuration
		switch v.Removal(id).GetCause() {
		case toucanpb.Removal_CAUSE_LEFT:
			wait = 0
		case toucanpb.Removal_CAUSE_REPLACED:
			// The process is dead, but its last legs may still run at targets.
			wait = m.set.MaxLegDuration
		}
		m.expiry[id] = now.Add(wait)
	}
	for id := range m.expiry {
		if !past[id] {
			m.extend(m.expiry[id])
			delete(m.expiry, id)
		}
	}
}

func (m *Manager) extend(t time.Time) {
	if t.After(m.complete) {
		m.complete = t
	}
}

func (m *Manager) prune(v toucanview.View, now time.Time) {
	for id, p := range m.peers {
		if !p.promised && v.Member(id) == nil && now.Sub(p.heard) > peerMemory && now.Sub(p.since) > peerMemory {
			delete(m.peers, id)
		}
	}
}

// peer returns the record of a host; the caller holds mu.
func (m *Manager) peer(id toucanhost.ID, now time.Time) *peer {
	p := m.peers[id]
	if p == nil {
		p = &peer{since: now}
		m.peers[id] = p
	}
	return p
}

// isSilent reports whether p was not heard from for long enough to be
// suspected; the caller holds mu.
func (m *Manager) isSilent(p *peer, now time.Time) bool {
	limit := m.set.SuspicionTimeout
	if m.isSlow() {
		limit += m.set.HeartbeatInterval // one lost heartbeat is no silence
	}
	return now.Sub(p.heard) > limit && now.Sub(p.since) > limit && now.Sub(m.ticked) <= m.set.HeartbeatInterval+stall
}

func (m *Manager) id() toucanhost.ID { return toucanhost.ID(m.self.Load().GetId()) }

// The incarnation is random, because nothing that counts restarts is kept on
// the host.
func (m *Manager) incarnate() *toucanpb.Member {
	return &toucanpb.Member{
		Id:      m.set.Name + "/" + strconv.FormatUint(m.rnd.Uint64(), 36),
		Name:    m.set.Name,
		Zone:    string(m.set.Zone),
		Address: m.set.Address,
	}
}

func (m *Manager) key() string { return viewKey(m.set.Zone) }

func viewKey(z toucanzone.Name) string { return "zone/" + string(z) + "/view" }

func isConflict(err error) bool {
	f := toucanfault.As(err)
	return f != nil && f.Code == toucanpb.Code_CODE_CONFLICT
}
