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

// Manager maintains a host's membership in its zone. It ensures that at most one
// host uses a slot at a time:
//
//   - A host sends requests only while it holds a lease, which a majority of its
//     voters renews.
//   - A member is removed only after enough of its voters, under every view that
//     it may hold, have promised not to acknowledge it again. Its lease then ends
//     at most one term later, and the next owner waits for that term and the
//     longest leg.
//   - A member that stays in the view reports the released view: up to that view
//     it has no leg in flight on slots that it lost. The next owner waits for it.
type Manager struct {
	settings Settings
	lease    toucanlease.Lease
	wg       sync.WaitGroup

	state        atomic.Pointer[viewState]
	self         atomic.Pointer[toucanpb.Member]
	releasedView atomic.Uint64
	leaving      atomic.Bool // announced to peers
	left         atomic.Bool // uses no slot and acknowledges no heartbeat any more
	replaced     atomic.Bool // another process has joined under this host's name

	laterViewHosts chan *toucanpb.Member // hosts of this zone that have a later view

	mu                   sync.Mutex
	rng                  *rand.Rand
	peers                map[toucanhost.ID]*peer
	maySendUntil         map[toucanhost.ID]time.Time            // when a removed member can no longer send
	unlistedMaySendUntil time.Time                              // when members of unlisted views can no longer send
	awaitedReleases      map[toucanhost.ID]bool                 // members whose release a slot waits for
	contacts             map[toucanzone.Name]map[string]contact // by zone and host name
	missingSince         map[string]time.Time                   // when a name was first missing from the host list
	hostListRead         time.Time                              // last successful read of a host list with this host
	lastTick             time.Time
	joined               bool
	skippedTick          bool // the last tick sent no heartbeats
	due                  schedule
	runningJobs          map[string]bool // background jobs by name
}

// schedule holds the times of the next periodic actions.
type schedule struct {
	join, viewRead, otherZones, hostList, contact, witness time.Time
	zone                                                   int // index for the round robin over other zones
}

// peer is what is known about one incarnation of another host.
type peer struct {
	lastHeard      time.Time // of the last heartbeat or reply
	observedSince  time.Time // earliest time from which silence counts
	heldView       uint64    // number of the last view that it is known to hold
	releasedView   uint64    // number of the last view that it reported as released
	promised       bool      // this host must not acknowledge it again
	nextRemoval    time.Time // next attempt to remove it
	removalBackoff time.Duration
}

// New returns a manager that has not joined its zone; Run joins it.
func New(s Settings) *Manager {
	m := &Manager{
		settings:        s.withDefaults(),
		peers:           make(map[toucanhost.ID]*peer),
		maySendUntil:    make(map[toucanhost.ID]time.Time),
		awaitedReleases: make(map[toucanhost.ID]bool),
		contacts:        make(map[toucanzone.Name]map[string]contact),
		missingSince:    make(map[string]time.Time),
		laterViewHosts:  make(chan *toucanpb.Member, 1),
		runningJobs:     make(map[string]bool),
	}
	m.lease.Term = m.settings.LeaseTerm
	seed := m.settings.RandomSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	m.rng = rand.New(rand.NewPCG(seed, uint64(len(s.Name))))
	m.self.Store(m.newIncarnation())
	m.state.Store(newViewState(toucanview.View{}, m.id()))
	return m
}

// Run starts the manager. The channel gets one value when the manager has
// stopped: nil when ctx ended, or a toucanfault.Error with CODE_CONFLICT when
// another process joined under the same name.
func (m *Manager) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithCancel(ctx)
		err := m.loop(ctx)
		cancel()
		m.wg.Wait()
		done <- err
	}()
	return done
}

// Self returns this host as it appears, or will appear, in the view.
func (m *Manager) Self() *toucanpb.Member { return m.self.Load() }

// View returns the newest known view of the zone.
func (m *Manager) View() toucanview.View { return m.state.Load().view }

// Joined reports whether this host is a member of the newest known view.
func (m *Manager) Joined() bool { return m.state.Load().isMember }

// Owner returns the owner of a slot of replica r under the newest known view.
func (m *Manager) Owner(r toucanreplica.ID, slot int) (*toucanpb.Member, bool) {
	return toucanview.OwnerOf(m.state.Load().slotsOf(r).owners, slot)
}

// MayUse reports whether this host owns the slot and every earlier owner has
// released it or can no longer send. The caller must register its leg as in flight
// before the call, or under one lock with it, so that no call of SetReleasedView
// ignores the leg.
func (m *Manager) MayUse(r toucanreplica.ID, slot int) bool {
	s := m.state.Load()
	if !s.isMember || m.left.Load() {
		return false
	}
	slots := s.slotsOf(r)
	if !s.owns(slots, slot) {
		return false
	}
	if slot < maxGrantSlots && slots.granted.Load()&(1<<slot) != 0 {
		return true
	}
	if !m.isSlotFree(s, s.earlierOwners(r, slots, slot)) {
		return false
	}
	if slot < maxGrantSlots {
		slots.granted.Or(1 << slot)
	}
	return true
}

// OwnedSince reports whether this host has owned the slot under every view after
// the one with the given number, including views that it skipped. It returns false
// when one of them is no longer listed.
func (m *Manager) OwnedSince(r toucanreplica.ID, slot int, since uint64) bool {
	s := m.state.Load()
	slots := s.slotsOf(r)
	if !s.owns(slots, slot) || s.view.Oldest().Number() > since+1 {
		return false
	}
	for _, owner := range s.earlierOwners(r, slots, slot) {
		if owner.lastView > since {
			return false
		}
	}
	return true
}

// LeaseHeld reports whether this host holds its lease and has not left, so that it
// may send requests now.
func (m *Manager) LeaseHeld() bool { return m.lease.Held() && !m.left.Load() }

// SetReleasedView records that, up to the view with the given number, every leg in
// flight is on a slot that this host has owned since before the leg started (see
// OwnedSince). A number above the current view counts as the current one; a lower
// number than before has no effect.
func (m *Manager) SetReleasedView(view uint64) {
	view = min(view, m.View().Number())
	for {
		old := m.releasedView.Load()
		if view <= old || m.releasedView.CompareAndSwap(old, view) {
			return
		}
	}
}

// SetLeaving makes heartbeats announce that this host is about to leave, and keeps
// them at the full rate. The host keeps its slots until Leave.
func (m *Manager) SetLeaving() { m.leaving.Store(true) }

// isSlotFree reports whether none of the earlier owners of a slot can still be
// using it, and adds the members whose release is missing to awaitedReleases.
func (m *Manager) isSlotFree(s *viewState, owners []earlierOwner) bool {
	now := time.Now()
	oldest := s.view.Oldest()
	m.mu.Lock()
	defer m.mu.Unlock()
	free := !now.Before(m.unlistedMaySendUntil)
	awaitRelease := func(id toucanhost.ID, number uint64) {
		if p := m.peers[id]; p == nil || p.releasedView < number {
			m.awaitedReleases[id] = true
			free = false
		}
	}
	for _, owner := range owners {
		if s.view.Member(owner.id) != nil {
			awaitRelease(owner.id, owner.lastView+1)
		} else if now.Before(m.maySendUntil[owner.id]) {
			free = false
		}
	}
	if oldest.Number() <= 1 {
		return free
	}
	// A member of the oldest listed view may still hold an earlier, unlisted one.
	for _, member := range oldest.Members() {
		if id := toucanhost.ID(member.GetId()); id != s.self && s.view.Member(id) != nil {
			awaitRelease(id, oldest.Number())
		}
	}
	return free
}

// adoptView makes a view of this zone current if its number is higher than that of the
// current one.
func (m *Manager) adoptView(v toucanview.View) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.state.Load()
	if v.Zone() != m.settings.Zone || v.Number() <= old.view.Number() {
		return
	}
	if m.joined && v.Member(m.id()) == nil {
		m.handleOwnRemoval(v)
	}
	s := newViewState(v, m.id())
	m.setSendDeadlines(old, v, now)
	if s.isMember {
		if !m.joined {
			m.joined = true
			m.releasedView.Store(v.Number())
		}
		if old.isMember {
			s.previous.Store(old)
		}
	}
	old.previous.Store(nil) // otherwise all earlier states would stay in memory
	monitoredBefore := make(map[string]bool, len(old.monitored))
	for _, w := range old.monitored {
		monitoredBefore[w.GetId()] = true
	}
	for _, w := range s.monitored {
		if !monitoredBefore[w.GetId()] {
			m.peer(toucanhost.ID(w.GetId()), now).observedSince = now
		}
	}
	if w := v.Witness(); w != nil && w.GetId() != old.view.Witness().GetId() {
		m.peer(toucanhost.ID(w.GetId()), now).observedSince = now
	}
	clear(m.awaitedReleases)
	m.prunePeers(v, now)
	// Acknowledgements by the voters of the old view do not count under the new
	// one.
	m.lease.CancelRound()
	m.state.Store(s)
	m.settings.Log.Info("zone view changed", zap.Uint64("number", v.Number()), zap.Int("members", len(v.Members())), zap.Bool("member", s.isMember))
}

// handleOwnRemoval gives this process a new incarnation. The promises of the old
// one are discarded: they were made under its id, which acknowledges no heartbeat
// any more. The caller holds mu.
func (m *Manager) handleOwnRemoval(v toucanview.View) {
	r := v.Removal(m.id())
	m.settings.Log.Warn("this host was removed from the zone view", zap.String("id", string(m.id())), zap.Stringer("cause", r.GetCause()))
	m.lease.Revoke()
	m.joined = false
	if r.GetCause() == toucanpb.Removal_CAUSE_REPLACED && v.MemberByName(m.settings.Name) != nil {
		m.replaced.Store(true)
	}
	for _, p := range m.peers {
		p.promised = false
	}
	m.self.Store(m.newIncarnation())
}

// setSendDeadlines records until when hosts that are no longer members may still
// send; the caller holds mu.
func (m *Manager) setSendDeadlines(old *viewState, v toucanview.View, now time.Time) {
	missedViews := !old.isMember || v.Oldest().Number() > old.view.Number()+1
	if missedViews && v.Oldest().Number() > 1 {
		m.extendUnlistedDeadline(now.Add(m.settings.LeaseTerm + m.settings.MaxLegDuration))
	}
	past := make(map[toucanhost.ID]bool)
	for _, view := range append(v.Earlier(), old.view) {
		for _, member := range view.Members() {
			past[toucanhost.ID(member.GetId())] = v.Member(toucanhost.ID(member.GetId())) == nil
		}
	}
	for id, isGone := range past {
		if _, known := m.maySendUntil[id]; known || !isGone {
			continue
		}
		wait := m.settings.LeaseTerm + m.settings.MaxLegDuration
		switch v.Removal(id).GetCause() {
		case toucanpb.Removal_CAUSE_LEFT:
			wait = 0
		case toucanpb.Removal_CAUSE_REPLACED:
			// The platform runs one process of a name at a time, so the replaced one has
			// ended, but targets may still run its last legs.
			wait = m.settings.MaxLegDuration
		}
		m.maySendUntil[id] = now.Add(wait)
	}
	for id := range m.maySendUntil {
		if !past[id] {
			m.extendUnlistedDeadline(m.maySendUntil[id])
			delete(m.maySendUntil, id)
		}
	}
}

// extendUnlistedDeadline moves unlistedMaySendUntil to t unless it is later; the
// caller holds mu.
func (m *Manager) extendUnlistedDeadline(t time.Time) {
	if t.After(m.unlistedMaySendUntil) {
		m.unlistedMaySendUntil = t
	}
}

// prunePeers deletes records of hosts outside of the view that were not heard from
// for peerRetention. Those with a promise stay. The caller holds mu.
func (m *Manager) prunePeers(v toucanview.View, now time.Time) {
	for id, p := range m.peers {
		if !p.promised && v.Member(id) == nil && now.Sub(p.lastHeard) > peerRetention && now.Sub(p.observedSince) > peerRetention {
			delete(m.peers, id)
		}
	}
}

// peer returns the record of a host and creates it if needed; the caller holds mu.
func (m *Manager) peer(id toucanhost.ID, now time.Time) *peer {
	p := m.peers[id]
	if p == nil {
		p = &peer{observedSince: now}
		m.peers[id] = p
	}
	return p
}

// isSilent reports whether p has been silent long enough to be suspected. It
// returns false while this host's own loop is late, because then the silence may
// be this host's own pause. The caller holds mu.
func (m *Manager) isSilent(p *peer, now time.Time) bool {
	limit := m.settings.SuspicionTimeout
	if m.usesHalfRate() {
		limit += m.settings.HeartbeatInterval // tolerates one lost heartbeat
	}
	return now.Sub(p.lastHeard) > limit && now.Sub(p.observedSince) > limit && now.Sub(m.lastTick) <= m.settings.HeartbeatInterval+maxTickDelay
}

func (m *Manager) id() toucanhost.ID { return toucanhost.ID(m.self.Load().GetId()) }

// newIncarnation returns this host as a member with a new id. A host gets one when it
// starts and whenever it is removed from the view. The id has a random part, because
// the host stores nothing from which it could count its restarts.
func (m *Manager) newIncarnation() *toucanpb.Member {
	return &toucanpb.Member{
		Id:      m.settings.Name + "/" + strconv.FormatUint(m.rng.Uint64(), 36),
		Name:    m.settings.Name,
		Zone:    string(m.settings.Zone),
		Address: m.settings.Address,
	}
}

func (m *Manager) ownViewKey() string { return viewKey(m.settings.Zone) }

func viewKey(z toucanzone.Name) string { return "zone/" + string(z) + "/view" }

func isConflict(err error) bool {
	f := toucanfault.As(err)
	return f != nil && f.Code == toucanpb.Code_CODE_CONFLICT
}
