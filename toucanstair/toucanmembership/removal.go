package toucanmembership

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
	for _, other := range m.suspects(now) {
		if other != id && len(reply.Suspects) < maxSuspects {
			reply.Suspects = append(reply.Suspects, string(other))
		}
	}
	return reply, nil
}

// tryRemove asks the voters of silent members for their promises and removes
// those for which they suffice in one view change. It first reads the store:
// without it a removal cannot succeed, and promises would only weaken the
// members' quorums. For the same reason this host's own promises come last.
func (m *Manager) tryRemove(ctx context.Context, ids []toucanhost.ID) {
	ids = slices.DeleteFunc(ids, func(id toucanhost.ID) bool { return !m.mayTry(id) })
	if len(ids) == 0 {
		return
	}
	v, revision, err := m.read(ctx)
	if err != nil || revision == 0 || v.Member(m.id()) == nil {
		return
	}
	own := m.id()
	ballots := m.ballots(ctx, v, ids)
	for range writeTries {
		causes := make(map[toucanhost.ID]toucanpb.Removal_Cause)
		for id, b := range ballots {
			if cause, ok := m.decide(v, id, own, b); ok {
				causes[id] = cause
			}
		}
		if len(causes) == 0 {
			return
		}
		err = m.write(ctx, v.RemoveAll(causes, m.chooseWitness("")), revision)
		if err == nil {
			m.set.Log.Warn("removed members", zap.Any("causes", causes))
			return
		}
		if !isConflict(err) {
			break
		}
		// Promises hold under every later view, so they need not be asked for again.
		if v, revision, err = m.read(ctx); err != nil || v.Member(own) == nil {
			break
		}
	}
	m.set.Log.Info("removal not written", zap.Error(err))
}

// decide reports whether a member may be removed, and then makes this host's
// own promise if it is a voter of the member.
func (m *Manager) decide(v toucanview.View, id, own toucanhost.ID, b *ballot) (toucanpb.Removal_Cause, bool) {
	if v.Member(id) == nil {
		return 0, false
	}
	m.markGone(v, id, b.promised)
	if b.own {
		b.promised[own] = true
	}
	if !v.MayRemove(id, b.promised, b.held) {
		m.set.Log.Debug("too few promises to remove a member", zap.String("id", string(id)), zap.Int("promises", len(b.promised)))
		return 0, false
	}
	if b.own && !m.promise(id, own) {
		return 0, false
	}
	if b.promised[id] {
		return toucanpb.Removal_CAUSE_GONE, true
	}
	return toucanpb.Removal_CAUSE_VOTED, true
}

// mayTry limits the attempts to remove one member. In a large zone the first
// attempt of each voter is spread over retryFirst, so that one of them removes
// all the members that were lost together before the others try.
func (m *Manager) mayTry(id toucanhost.ID) bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peer(id, now)
	if now.Before(p.retry) {
		return false
	}
	spread := p.wait == 0 && len(m.standing.Load().view.Members()) >= slowZone
	p.wait = min(max(2*p.wait, retryFirst), retryLast)
	if spread {
		p.retry = now.Add(m.jitter(p.wait))
		return false
	}
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

// ballot is what the voters of one member said.
type ballot struct {
	promised map[toucanhost.ID]bool
	held     uint64 // last view that the member is known to hold
	own      bool   // this host is one of the voters
	suspects []string
}

// ballots polls the voters of the members, and of the further members that
// those voters do not hear, so that members lost together are removed together.
func (m *Manager) ballots(ctx context.Context, v toucanview.View, ids []toucanhost.ID) map[toucanhost.ID]*ballot {
	out := make(map[toucanhost.ID]*ballot)
	for range ballotRounds {
		next := make(map[toucanhost.ID]chan *ballot)
		for _, id := range ids {
			if out[id] != nil || next[id] != nil || id == m.id() || v.Member(id) == nil {
				continue
			}
			polled := make(chan *ballot, 1)
			next[id] = polled
			m.group.Go(func() { polled <- m.poll(ctx, v, id) })
		}
		ids = nil
		for id, polled := range next {
			b := <-polled
			out[id] = b
			for _, s := range b.suspects {
				ids = append(ids, toucanhost.ID(s))
			}
		}
		if len(ids) == 0 {
			break
		}
	}
	return out
}

// poll asks every host that may be a voter of the member.
func (m *Manager) poll(ctx context.Context, v toucanview.View, id toucanhost.ID) *ballot {
	m.mu.Lock()
	b := &ballot{promised: make(map[toucanhost.ID]bool), held: m.peer(id, time.Now()).held}
	m.mu.Unlock()
	voters := make(map[toucanhost.ID]*toucanpb.Member)
	span, _ := v.PossibleViews(id, b.held)
	for _, w := range span {
		for _, o := range w.Voters(id) {
			voters[toucanhost.ID(o.GetId())] = o
		}
	}
	b.own = voters[m.id()] != nil
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
	for range voters {
		r := <-replies
		b.held = max(b.held, r.GetHeld())
		b.suspects = append(b.suspects, r.GetSuspects()...)
		if r.GetPromised() {
			b.promised[toucanhost.ID(r.GetSender().GetId())] = true
		}
	}
	return b
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
	return missing && now.Sub(since) >= m.set.AbsenceTimeout && now.Sub(m.listed) <= 4*m.set.StoreReadInterval
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
	if !isListed(m.set.Name) || now.Sub(m.listed) > 4*m.set.StoreReadInterval {
		clear(m.gone)
	}
	if !isListed(m.set.Name) {
		return
	}
	m.listed = now
	v := m.View()
	missing := make(map[string]time.Time)
	for _, w := range append([]toucanview.View{v}, v.Earlier()...) {
		for _, o := range append(slices.Clone(w.Members()), w.Proto().GetWitnesses()...) {
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
