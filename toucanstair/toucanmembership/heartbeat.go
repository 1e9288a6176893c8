package toucanmembership

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip" // the reply has the compression of the request

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanview"
)

// beatRound sends one round of heartbeats: to the voters, to the members whose
// release is awaited, and to one random other member.
func (m *Manager) beatRound(ctx context.Context, group *sync.WaitGroup) {
	m.mu.Lock()
	s := m.standing.Load()
	if !s.member || m.left.Load() {
		m.mu.Unlock()
		return
	}
	ids := make([]toucanhost.ID, len(s.voters))
	targets := make(map[toucanhost.ID]*toucanpb.Member, len(s.voters)+1)
	for i, v := range s.voters {
		ids[i] = toucanhost.ID(v.GetId())
		targets[ids[i]] = v
	}
	if ms := s.view.Members(); len(ms) > 1 {
		o := ms[m.rnd.IntN(len(ms))]
		targets[toucanhost.ID(o.GetId())] = o
	}
	n := 0
	for id := range m.awaited {
		if o := s.view.Member(id); o != nil && n < awaitedLimit {
			targets[id] = o
			n++
		}
		delete(m.awaited, id)
	}
	delete(targets, s.self)
	round := m.lease.StartRound(ids)
	m.lease.Acknowledge(round, s.self)
	m.mu.Unlock()
	for id, to := range targets {
		group.Go(func() {
			r := m.beat(ctx, to)
			if r.GetAcknowledged() && r.GetSender().GetId() == string(id) {
				m.lease.Acknowledge(round, id)
			}
		})
	}
}

// tellVoters sends one heartbeat to each of the voters that s lists.
func (m *Manager) tellVoters(ctx context.Context, s *standing, group *sync.WaitGroup) {
	for _, to := range s.voters {
		if to.GetId() != string(s.self) {
			group.Go(func() { m.beat(ctx, to) })
		}
	}
}

// beat sends one heartbeat and takes in the reply; nil when there is none.
func (m *Manager) beat(ctx context.Context, to *toucanpb.Member) *toucanpb.BeatReply {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	c, err := m.set.Dial(to.GetAddress())
	if err != nil {
		m.set.Log.Debug("no connection for a heartbeat", zap.String("address", to.GetAddress()), zap.Error(err))
		return nil
	}
	r, err := c.Beat(ctx, m.request(to))
	if err != nil {
		m.set.Log.Debug("heartbeat failed", zap.String("to", to.GetId()), zap.Error(err))
		return nil
	}
	m.hear(r.GetSender(), r.GetView(), r.GetReleased())
	m.absorb(r.GetSender(), r.GetGossip())
	m.noteLater(r.GetSender(), r.GetView())
	return r
}

func (m *Manager) request(to *toucanpb.Member) *toucanpb.BeatRequest {
	r := &toucanpb.BeatRequest{Gossip: m.offer(to)}
	// Under mu the id, the view and the release belong together.
	m.mu.Lock()
	defer m.mu.Unlock()
	r.Sender = m.Self()
	r.View = m.View().Number()
	r.Released = m.released.Load()
	r.Leaving = m.leaving.Load()
	return r
}

// Beat answers a heartbeat. It acknowledges the sender unless this host has
// promised not to, or knows a view without the sender.
func (m *Manager) Beat(_ context.Context, r *toucanpb.BeatRequest) (*toucanpb.BeatReply, error) {
	from := r.GetSender()
	if from.GetId() == "" || from.GetName() == "" || from.GetZone() == "" {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "heartbeat without a sender")
	}
	m.hear(from, r.GetView(), r.GetReleased())
	m.absorb(from, r.GetGossip())
	m.noteLater(from, r.GetView())
	if isAnnouncement(r) {
		return &toucanpb.BeatReply{}, nil
	}
	reply := m.answer(from, r.GetView())
	reply.Gossip = m.offer(from)
	return reply, nil
}

// isAnnouncement reports whether a heartbeat only brings slot openings; those of
// a member also name the view that it has released. The sender does not read the
// reply, and at the design size a host gets about 34 a second, most of them from
// hosts that it exchanges no other heartbeats with.
func isAnnouncement(r *toucanpb.BeatRequest) bool {
	g := r.GetGossip()
	return r.GetReleased() == 0 && len(g.GetOpenings()) > 0 && g.GetDigest() == nil && len(g.GetMoves()) == 0 &&
		len(g.GetEvidence()) == 0 && len(g.GetServed()) == 0 && len(g.GetContacts()) == 0
}

func (m *Manager) answer(from *toucanpb.Member, view uint64) *toucanpb.BeatReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := toucanhost.ID(from.GetId())
	s := m.standing.Load()
	ok := !m.left.Load() && !m.peer(id, time.Now()).promised
	if from.GetZone() == string(m.set.Zone) && s.view.Member(id) == nil && view <= s.view.Number() {
		ok = false
	}
	return &toucanpb.BeatReply{
		Acknowledged: ok,
		Sender:       m.Self(),
		View:         s.view.Number(),
		Released:     m.released.Load(),
		Leaving:      m.leaving.Load(),
	}
}

// hear records what a heartbeat or reply says about its sender.
func (m *Manager) hear(from *toucanpb.Member, view, released uint64) {
	if from.GetId() == "" {
		return
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peer(toucanhost.ID(from.GetId()), now)
	p.heard = now
	p.held = max(p.held, view)
	p.released = max(p.released, min(released, view))
	m.addContact(from, now)
}

// offer fills the gossip of a heartbeat or reply.
func (m *Manager) offer(to *toucanpb.Member) *toucanpb.Gossip {
	g := &toucanpb.Gossip{Contacts: m.offeredContacts(to)}
	for _, c := range m.set.GossipHandlers {
		c.Offer(to, g)
	}
	return g
}

func (m *Manager) absorb(from *toucanpb.Member, g *toucanpb.Gossip) {
	if g == nil {
		return
	}
	m.acceptContacts(g.GetContacts())
	for _, c := range m.set.GossipHandlers {
		c.Accept(from, g)
	}
}

// noteLater tells the loop of a host of this zone that has a later view. When
// the loop is busy the note is dropped; the next heartbeat brings another one.
func (m *Manager) noteLater(from *toucanpb.Member, view uint64) {
	if from.GetZone() != string(m.set.Zone) || view <= m.View().Number() {
		return
	}
	select {
	case m.later <- from:
	default:
	}
}

// learn fetches the view from a host, or from the store when that fails.
func (m *Manager) learn(ctx context.Context, from *toucanpb.Member) {
	if m.fetch(ctx, from) {
		return
	}
	if _, _, err := m.read(ctx); err != nil {
		m.set.Log.Warn("a later zone view was not learnt", zap.String("from", from.GetId()), zap.Error(err))
	}
}

func (m *Manager) fetch(ctx context.Context, from *toucanpb.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	c, err := m.set.Dial(from.GetAddress())
	if err != nil {
		return false
	}
	r, err := c.Fetch(ctx, &toucanpb.FetchRequest{View: true}, grpc.UseCompressor(gzip.Name))
	if err != nil || r.GetView() == nil {
		return false
	}
	m.adopt(toucanview.FromProto(r.GetView()))
	return true
}
