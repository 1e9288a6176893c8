package toucanmember

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanview"
)

// suspects returns the members of which this host is a voter that are silent
// and due for an attempt to remove them. A member that this host has promised
// to remove stays suspect even when it is heard again: its lease may depend on
// the voters that promised, and a new incarnation is its way back. The caller
// holds mu.
func (m *Manager) suspects(now time.Time) []toucanhost.ID {
	if !m.joined {
		return nil
	}
	var out []toucanhost.ID
	for _, w := range m.standing.Load().watched {
		id := toucanhost.ID(w.GetId())
		if p := m.peer(id, now); p.promised || m.isSilent(p, now) {
			out = append(out, id)
		} else {
			p.wait = 0
		}
	}
	return out
}

// Vote answers whether this host promises never to acknowledge the candidate's
// heartbeats again. It promises when it has not heard from the candidate
// either; a host that was paused itself does not.
func (m *Manager) Vote(_ context.Context, r *toucanpb.VoteRequest) (*toucanpb.VoteReply, error) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	id := toucanhost.ID(r.GetCandidate())
	reply := &toucanpb.VoteReply{Sender: m.Self()}
	if id == "" || id == m.id() || m.left.Load() {
		return reply, nil
	}
	p := m.peer(id, now)
	if !p.promised && m.isSilent(p, now) {
		p.promised = true
		m.set.Log.Info("promised not to acknowledge a host", zap.String("id", string(id)), zap.String("asked", r.GetSender().GetId()))
	}
	reply.Promised = p.promised
	reply.Held = p.held
	return reply, nil
}

// tryRemove asks the voters of a member for their promises and removes it when
// they suffice. It first reads the store: without it a removal cannot succeed,
// and promises would only weaken the member's quorum. For the same reason this
// host's own promise comes last.
func (m *Manager) tryRemove(ctx context.Context, id toucanhost.ID) {
	if !m.mayTry(id) {
		return
	}
	v, revision, err := m.read(ctx)
	if err != nil || revision == 0 || v.Member(id) == nil || v.Member(m.id()) == nil {
		return
	}
	promised, held := m.poll(ctx, v, id)
	m.markGone(v, id, promised)
	own := m.id()
	promised[own] = true
	if !v.MayRemove(id, promised, held) {
		m.set.Log.Debug("too few promises to remove a member", zap.String("id", string(id)), zap.Int("promises", len(promised)))
		return
	}
	if !m.promise(id, own) {
		return
	}
	cause := toucanpb.Removal_CAUSE_VOTED
	if promised[id] {
		cause = toucanpb.Removal_CAUSE_GONE
	}
	if err := m.write(ctx, v.Remove(id, cause, m.chooseWitness(id)), revision); err != nil {
		m.set.Log.Info("removal not written", zap.String("id", string(id)), zap.Error(err))
		return
	}
	m.set.Log.Warn("removed a member", zap.String("id", string(id)), zap.Stringer("cause", cause))
}

// mayTry limits the attempts to remove one member.
func (m *Manager) mayTry(id toucanhost.ID) bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peer(id, now)
	if now.Before(p.retry) {
		return false
	}
	p.wait = min(max(2*p.wait, retryFirst), retryLast)
	p.retry = now.Add(p.wait/2 + m.jitter(p.wait))
	return true
}

// promise records this host's own promise, unless the member was heard again
// or this host has another incarnation by now.
func (m *Manager) promise(id, own toucanhost.ID) bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peer(id, now)
	if m.id() != own || m.left.Load() || !p.promised && !m.isSilent(p, now) {
		return false
	}
	p.promised = true
	return true
}

// poll asks every host that may be a voter of the member, and returns who
// promised and the last view that the member is known to hold.
func (m *Manager) poll(ctx context.Context, v toucanview.View, id toucanhost.ID) (map[toucanhost.ID]bool, uint64) {
	m.mu.Lock()
	held := m.peer(id, time.Now()).held
	m.mu.Unlock()
	voters := make(map[toucanhost.ID]*toucanpb.Member)
	span, _ := v.Span(id, held)
	for _, w := range span {
		for _, o := range w.Voters(id) {
			voters[toucanhost.ID(o.GetId())] = o
		}
	}
	delete(voters, id)
	delete(voters, m.id())
	replies := make(chan *toucanpb.VoteReply, len(voters))
	for voter, to := range voters {
		m.group.Go(func() {
			r := m.ask(ctx, to, id)
			if r.GetSender().GetId() != string(voter) {
				r = nil
			}
			replies <- r
		})
	}
	promised := make(map[toucanhost.ID]bool)
	for range voters {
		r := <-replies
		held = max(held, r.GetHeld())
		if r.GetPromised() {
			promised[toucanhost.ID(r.GetSender().GetId())] = true
		}
	}
	return promised, held
}

func (m *Manager) ask(ctx context.Context, to *toucanpb.Member, id toucanhost.ID) *toucanpb.VoteReply {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	c, err := m.set.Dial(to.GetAddress())
	if err != nil {
		return nil
	}
	r, err := c.Vote(ctx, &toucanpb.VoteRequest{Candidate: string(id), Sender: m.Self(), View: m.View().Number()})
	if err != nil {
		return nil
	}
	return r
}

// markGone counts hosts that the platform's list has long not shown as having
// promised: they run no more and acknowledge nothing.
func (m *Manager) markGone(v toucanview.View, id toucanhost.ID, promised map[toucanhost.ID]bool) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isGone(v.Member(id).GetName(), now) {
		return
	}
	promised[id] = true
	for _, w := range append([]toucanview.View{v}, v.Earlier()...) {
		for _, o := range w.Voters(id) {
			if m.isGone(o.GetName(), now) {
				promised[toucanhost.ID(o.GetId())] = true
			}
		}
	}
}

// isGone reports whether the list has not shown a name for long enough, by a
// recent reading; the caller holds mu.
func (m *Manager) isGone(name string, now time.Time) bool {
	since, missing := m.gone[name]
	return missing && now.Sub(since) >= m.set.Gone && now.Sub(m.listed) <= 4*m.set.Reread
}

// readHosts reads the platform's host list. A list without this host itself is
// of no use: the platform does not see this zone.
func (m *Manager) readHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	hosts, err := m.set.Store.Hosts(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	isListed := func(name string) bool {
		return slices.ContainsFunc(hosts, func(h *toucanpb.HostStatus) bool { return h.GetName() == name })
	}
	if !isListed(m.set.Name) || now.Sub(m.listed) > 4*m.set.Reread {
		clear(m.gone)
	}
	if !isListed(m.set.Name) {
		return
	}
	m.listed = now
	v := m.View()
	missing := make(map[string]time.Time)
	for _, w := range append([]toucanview.View{v}, v.Earlier()...) {
		for _, o := range append(slices.Clone(w.Members()), w.Message().GetWitnesses()...) {
			if name := o.GetName(); !isListed(name) {
				missing[name] = now
				if since, ok := m.gone[name]; ok {
					missing[name] = since
				}
			}
		}
	}
	m.gone = missing
}
