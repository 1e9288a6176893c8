package toucanmembership

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip" // registers the compressor; a server compresses the reply to a compressed request

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanview"
)

// sendHeartbeats sends one round of heartbeats: to the voters, to at most
// maxAwaitedPerRound members whose release a slot waits for, and to one random
// other member. Acknowledgements of the voters renew the lease.
func (m *Manager) sendHeartbeats(ctx context.Context, wg *sync.WaitGroup) {
	m.mu.Lock()
	s := m.state.Load()
	if !s.isMember || m.left.Load() {
		m.mu.Unlock()
		return
	}
	ids := make([]toucanhost.ID, len(s.voters))
	recipients := make(map[toucanhost.ID]*toucanpb.Member, len(s.voters)+1)
	for i, v := range s.voters {
		ids[i] = toucanhost.ID(v.GetId())
		recipients[ids[i]] = v
	}
	if members := s.view.Members(); len(members) > 1 {
		other := members[m.rng.IntN(len(members))]
		recipients[toucanhost.ID(other.GetId())] = other
	}
	awaited := 0
	for id := range m.awaitedReleases {
		if other := s.view.Member(id); other != nil && awaited < maxAwaitedPerRound {
			recipients[id] = other
			awaited++
		}
		delete(m.awaitedReleases, id)
	}
	delete(recipients, s.self)
	round := m.lease.StartRound(ids)
	m.lease.Acknowledge(round, s.self)
	m.mu.Unlock()
	for id, to := range recipients {
		wg.Go(func() {
			r := m.sendHeartbeat(ctx, to)
			if r.GetAcknowledged() && r.GetSender().GetId() == string(id) {
				m.lease.Acknowledge(round, id)
			}
		})
	}
}

// notifyVoters sends one heartbeat to each voter in s except this host.
func (m *Manager) notifyVoters(ctx context.Context, s *viewState, wg *sync.WaitGroup) {
	for _, to := range s.voters {
		if to.GetId() != string(s.self) {
			wg.Go(func() { m.sendHeartbeat(ctx, to) })
		}
	}
}

// sendHeartbeat sends one heartbeat, processes the reply and returns it, or nil
// when the call failed.
func (m *Manager) sendHeartbeat(ctx context.Context, to *toucanpb.Member) *toucanpb.BeatReply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := m.settings.Dial(to.GetAddress())
	if err != nil {
		m.settings.Log.Debug("no connection for a heartbeat", zap.String("address", to.GetAddress()), zap.Error(err))
		return nil
	}
	r, err := c.Beat(ctx, m.heartbeatRequest(to))
	if err != nil {
		m.settings.Log.Debug("heartbeat failed", zap.String("to", to.GetId()), zap.Error(err))
		return nil
	}
	m.recordHeartbeat(r.GetSender(), r.GetView(), r.GetReleased())
	m.handleGossip(r.GetSender(), r.GetGossip())
	m.noteLaterView(r.GetSender(), r.GetView())
	return r
}

// heartbeatRequest builds the heartbeat for one host.
func (m *Manager) heartbeatRequest(to *toucanpb.Member) *toucanpb.BeatRequest {
	r := &toucanpb.BeatRequest{Gossip: m.outgoingGossip(to)}
	// Holding mu keeps the id, the view and the released view consistent.
	m.mu.Lock()
	defer m.mu.Unlock()
	r.Sender = m.Self()
	r.View = m.View().Number()
	r.Released = m.releasedView.Load()
	r.Leaving = m.leaving.Load()
	return r
}

// Beat handles a heartbeat. It acknowledges the sender unless this host has
// left, has promised not to acknowledge the sender, or knows a view of its zone, at
// least as late as the sender's, that lacks the sender. It returns a
// toucanfault.Error with CODE_INVALID when the sender's id, name or zone is missing.
func (m *Manager) Beat(_ context.Context, r *toucanpb.BeatRequest) (*toucanpb.BeatReply, error) {
	from := r.GetSender()
	if from.GetId() == "" || from.GetName() == "" || from.GetZone() == "" {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "heartbeat without the id, name or zone of its sender")
	}
	m.recordHeartbeat(from, r.GetView(), r.GetReleased())
	m.handleGossip(from, r.GetGossip())
	m.noteLaterView(from, r.GetView())
	if isAnnouncement(r) {
		return &toucanpb.BeatReply{}, nil
	}
	reply := m.heartbeatReply(from, r.GetView())
	reply.Gossip = m.outgoingGossip(from)
	return reply, nil
}

// isAnnouncement reports whether a heartbeat carries slot openings only. A
// member's regular heartbeats differ in that they set the released view. The
// sender ignores the reply, so it is left empty: at the design size
// (docs/design.md) a host gets about 34 announcements a second, most of them from
// hosts with which it exchanges no other heartbeats.
func isAnnouncement(r *toucanpb.BeatRequest) bool {
	g := r.GetGossip()
	return r.GetReleased() == 0 && len(g.GetOpenings()) > 0 && g.GetDigest() == nil && len(g.GetMoves()) == 0 &&
		len(g.GetEvidence()) == 0 && len(g.GetServed()) == 0 && len(g.GetContacts()) == 0
}

// heartbeatReply builds the reply to a heartbeat whose sender knows the given view.
func (m *Manager) heartbeatReply(from *toucanpb.Member, view uint64) *toucanpb.BeatReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := toucanhost.ID(from.GetId())
	s := m.state.Load()
	acknowledged := !m.left.Load() && !m.peer(id, time.Now()).promised
	if from.GetZone() == string(m.settings.Zone) && s.view.Member(id) == nil && view <= s.view.Number() {
		acknowledged = false
	}
	return &toucanpb.BeatReply{
		Acknowledged: acknowledged,
		Sender:       m.Self(),
		View:         s.view.Number(),
		Released:     m.releasedView.Load(),
		Leaving:      m.leaving.Load(),
	}
}

// recordHeartbeat records when a host was heard from and the view numbers in its
// heartbeat or reply.
func (m *Manager) recordHeartbeat(from *toucanpb.Member, view, released uint64) {
	if from.GetId() == "" {
		return
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peer(toucanhost.ID(from.GetId()), now)
	p.lastHeard = now
	p.heldView = max(p.heldView, view)
	p.releasedView = max(p.releasedView, min(released, view))
	m.addContact(from, now)
}

// outgoingGossip builds the gossip of a heartbeat or reply to a host.
func (m *Manager) outgoingGossip(to *toucanpb.Member) *toucanpb.Gossip {
	g := &toucanpb.Gossip{Contacts: m.contactsToOffer(to)}
	for _, h := range m.settings.GossipHandlers {
		h.Offer(to, g)
	}
	return g
}

// handleGossip passes received gossip to the contacts and the gossip handlers.
func (m *Manager) handleGossip(from *toucanpb.Member, g *toucanpb.Gossip) {
	if g == nil {
		return
	}
	m.mergeContacts(g.GetContacts())
	for _, h := range m.settings.GossipHandlers {
		h.Accept(from, g)
	}
}

// noteLaterView notifies the loop of a host of this zone that has a later view.
// The notification is dropped when one is pending; the next heartbeat causes another.
func (m *Manager) noteLaterView(from *toucanpb.Member, view uint64) {
	if from.GetZone() != string(m.settings.Zone) || view <= m.View().Number() {
		return
	}
	select {
	case m.laterViewHosts <- from:
	default:
	}
}

// fetchOrReadView fetches the view from a host, or reads it from the store when
// that fails.
func (m *Manager) fetchOrReadView(ctx context.Context, from *toucanpb.Member) {
	if m.fetchView(ctx, from) {
		return
	}
	if _, _, err := m.readView(ctx); err != nil {
		m.settings.Log.Warn("could not get a later zone view", zap.String("from", from.GetId()), zap.Error(err))
	}
}

// fetchView fetches the view from a host and reports whether that succeeded.
func (m *Manager) fetchView(ctx context.Context, from *toucanpb.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := m.settings.Dial(from.GetAddress())
	if err != nil {
		return false
	}
	r, err := c.Fetch(ctx, &toucanpb.FetchRequest{View: true}, grpc.UseCompressor(gzip.Name))
	if err != nil || r.GetView() == nil {
		return false
	}
	m.adoptView(toucanview.FromProto(r.GetView()))
	return true
}
