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

// suspects returns the members that are silent or that this host has promised not
// to acknowledge, among those of which it is a voter. A member with such a promise
// stays suspected even when it is heard from again: its lease may depend on the
// voters that promised, so it must be removed and rejoin as a new incarnation. The
// removal backoff of the other members is reset. The caller holds mu.
func (m *Manager) suspects(now time.Time) []toucanhost.ID {
	if !m.joined {
		return nil
	}
	var out []toucanhost.ID
	for _, member := range m.state.Load().monitored {
		id := toucanhost.ID(member.GetId())
		if p := m.peer(id, now); p.promised || m.isSilent(p, now) {
			out = append(out, id)
		} else {
			p.removalBackoff = 0
		}
	}
	return out
}

// Vote asks this host to promise never to acknowledge the candidate's heartbeats
// again. It promises when the candidate is silent here too, but not when its own
// loop is late, as after a pause. The reply also names other suspected members.
// The error is always nil.
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
		m.settings.Log.Info("promised not to acknowledge a host", zap.String("id", string(id)), zap.String("asked", r.GetSender().GetId()))
	}
	reply.Promised = p.promised
	reply.Held = p.heldView
	for _, other := range m.suspects(now) {
		if other != id && len(reply.Suspects) < maxSuspects {
			reply.Suspects = append(reply.Suspects, string(other))
		}
	}
	return reply, nil
}

// removeSuspects asks the voters of suspected members for their promises, and
// removes all members with enough promises in one view change. It reads the store
// first: without the store a removal cannot succeed, and promises would only make
// it harder for the members to renew their leases. For the same reason this host
// makes its own promises last.
func (m *Manager) removeSuspects(ctx context.Context, ids []toucanhost.ID) {
	ids = slices.DeleteFunc(ids, func(id toucanhost.ID) bool { return !m.isRemovalDue(id) })
	if len(ids) == 0 {
		return
	}
	v, revision, err := m.readView(ctx)
	if err != nil || revision == 0 || v.Member(m.id()) == nil {
		return
	}
	own := m.id()
	results := m.pollSuspects(ctx, v, ids)
	for range maxWriteAttempts {
		causes := make(map[toucanhost.ID]toucanpb.Removal_Cause)
		for id, result := range results {
			if cause, ok := m.removalCause(v, id, own, result); ok {
				causes[id] = cause
			}
		}
		if len(causes) == 0 {
			return
		}
		err = m.writeView(ctx, v.RemoveAll(causes, m.chooseWitness("")), revision)
		if err == nil {
			m.settings.Log.Warn("removed members", zap.Any("causes", causes))
			return
		}
		if !isConflict(err) {
			break
		}
		// Promises also hold under later views, so the voters need not be asked again.
		if v, revision, err = m.readView(ctx); err != nil || v.Member(own) == nil {
			break
		}
	}
	m.settings.Log.Info("could not write the removal of members", zap.Error(err))
}

// removalCause returns the cause of a member's removal, and whether the member may
// be removed. If so, and if this host is a voter of the member, it records its own
// promise first.
func (m *Manager) removalCause(v toucanview.View, id, own toucanhost.ID, result *pollResult) (toucanpb.Removal_Cause, bool) {
	if v.Member(id) == nil {
		return 0, false
	}
	m.countAbsentAsPromised(v, id, result.promised)
	if result.isVoter {
		result.promised[own] = true
	}
	if !v.MayRemove(id, result.promised, result.heldView) {
		m.settings.Log.Debug("too few promises to remove a member", zap.String("id", string(id)), zap.Int("promises", len(result.promised)))
		return 0, false
	}
	if result.isVoter && !m.recordPromise(id, own) {
		return 0, false
	}
	if result.promised[id] { // countAbsentAsPromised found the member itself absent
		return toucanpb.Removal_CAUSE_GONE, true
	}
	return toucanpb.Removal_CAUSE_VOTED, true
}

// isRemovalDue reports whether an attempt to remove a member is due, and schedules
// the next one with exponential backoff. In a large zone the first attempts of the
// voters are spread over minRemovalBackoff, so that one voter removes all members
// that failed together before the others try.
func (m *Manager) isRemovalDue(id toucanhost.ID) bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peer(id, now)
	if now.Before(p.nextRemoval) {
		return false
	}
	delayFirst := p.removalBackoff == 0 && len(m.state.Load().view.Members()) >= halfRateZoneSize
	p.removalBackoff = min(max(2*p.removalBackoff, minRemovalBackoff), maxRemovalBackoff)
	if delayFirst {
		p.nextRemoval = now.Add(m.jitter(p.removalBackoff))
		return false
	}
	p.nextRemoval = now.Add(p.removalBackoff/2 + m.jitter(p.removalBackoff))
	return true
}

// recordPromise records this host's own promise and returns true. It returns false
// when the member was heard from meanwhile, when this host has left, or when this
// host's id is no longer own.
func (m *Manager) recordPromise(id, own toucanhost.ID) bool {
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

// pollResult is the combined result of polling the voters of one member.
type pollResult struct {
	promised map[toucanhost.ID]bool
	heldView uint64 // number of the last view that the member is known to hold
	isVoter  bool   // this host is one of the voters
	suspects []string
}

// pollSuspects polls the voters of the given members, and of the members that
// those voters suspect in turn, for at most maxPollRounds rounds. Members that
// failed together can then be removed together.
func (m *Manager) pollSuspects(ctx context.Context, v toucanview.View, ids []toucanhost.ID) map[toucanhost.ID]*pollResult {
	out := make(map[toucanhost.ID]*pollResult)
	for range maxPollRounds {
		next := make(map[toucanhost.ID]chan *pollResult)
		for _, id := range ids {
			if out[id] != nil || next[id] != nil || id == m.id() || v.Member(id) == nil {
				continue
			}
			pending := make(chan *pollResult, 1)
			next[id] = pending
			m.wg.Go(func() { pending <- m.pollVoters(ctx, v, id) })
		}
		ids = nil
		for id, pending := range next {
			result := <-pending
			out[id] = result
			for _, s := range result.suspects {
				ids = append(ids, toucanhost.ID(s))
			}
		}
		if len(ids) == 0 {
			break
		}
	}
	return out
}

// pollVoters requests a vote from every other host that is a voter of the member
// under a view that it may hold.
func (m *Manager) pollVoters(ctx context.Context, v toucanview.View, id toucanhost.ID) *pollResult {
	m.mu.Lock()
	result := &pollResult{promised: make(map[toucanhost.ID]bool), heldView: m.peer(id, time.Now()).heldView}
	m.mu.Unlock()
	voters := make(map[toucanhost.ID]*toucanpb.Member)
	views, _ := v.PossibleViews(id, result.heldView)
	for _, view := range views {
		for _, member := range view.Voters(id) {
			voters[toucanhost.ID(member.GetId())] = member
		}
	}
	result.isVoter = voters[m.id()] != nil
	delete(voters, id)
	delete(voters, m.id())
	replies := make(chan *toucanpb.VoteReply, len(voters))
	for voter, to := range voters {
		m.wg.Go(func() {
			r := m.requestVote(ctx, to, id)
			if r.GetSender().GetId() != string(voter) {
				r = nil
			}
			replies <- r
		})
	}
	for range voters {
		r := <-replies
		result.heldView = max(result.heldView, r.GetHeld())
		result.suspects = append(result.suspects, r.GetSuspects()...)
		if r.GetPromised() {
			result.promised[toucanhost.ID(r.GetSender().GetId())] = true
		}
	}
	return result
}

// requestVote asks one host for its promise; it returns nil when the call failed.
func (m *Manager) requestVote(ctx context.Context, to *toucanpb.Member, id toucanhost.ID) *toucanpb.VoteReply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := m.settings.Dial(to.GetAddress())
	if err != nil {
		return nil
	}
	r, err := c.Vote(ctx, &toucanpb.VoteRequest{Candidate: string(id), Sender: m.Self(), View: m.View().Number()})
	if err != nil {
		return nil
	}
	return r
}

// countAbsentAsPromised adds the absent ones among a member and its voters to
// promised, if the member itself is absent: an absent host does not run any more,
// so it acknowledges no heartbeat.
func (m *Manager) countAbsentAsPromised(v toucanview.View, id toucanhost.ID, promised map[toucanhost.ID]bool) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isAbsent(v.Member(id).GetName(), now) {
		return
	}
	promised[id] = true
	for _, view := range append([]toucanview.View{v}, v.Earlier()...) {
		for _, member := range view.Voters(id) {
			if m.isAbsent(member.GetName(), now) {
				promised[toucanhost.ID(member.GetId())] = true
			}
		}
	}
}

// isAbsent reports whether a name has been missing from the host list for
// AbsenceTimeout. It returns false when the list was not read recently. The caller
// holds mu.
func (m *Manager) isAbsent(name string, now time.Time) bool {
	since, missing := m.missingSince[name]
	return missing && now.Sub(since) >= m.settings.AbsenceTimeout && now.Sub(m.hostListRead) <= 4*m.settings.StoreReadInterval
}

// readHostList reads the platform's host list and records which known hosts are
// missing from it. A list without this host itself is ignored, because the platform
// then does not see this zone. Absences start anew after such a list, and when the last
// valid one is too old, because a host may have been listed in between.
func (m *Manager) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	hosts, err := m.settings.Store.Hosts(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	isListed := func(name string) bool {
		return slices.ContainsFunc(hosts, func(h *toucanpb.HostStatus) bool { return h.GetName() == name })
	}
	if !isListed(m.settings.Name) || now.Sub(m.hostListRead) > 4*m.settings.StoreReadInterval {
		clear(m.missingSince)
	}
	if !isListed(m.settings.Name) {
		return
	}
	m.hostListRead = now
	v := m.View()
	missing := make(map[string]time.Time)
	for _, view := range append([]toucanview.View{v}, v.Earlier()...) {
		for _, member := range append(slices.Clone(view.Members()), view.Proto().GetWitnesses()...) {
			if name := member.GetName(); !isListed(name) {
				missing[name] = now
				if since, ok := m.missingSince[name]; ok {
					missing[name] = since
				}
			}
		}
	}
	m.missingSince = missing
}
