package toucanslot

import (
	"context"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
)

// inTimeResponsesToOpen is the number of responses in time, which are those that
// latencyEstimate does not count as slow, after which the next slot opens.
const inTimeResponsesToOpen = 8

// Cold start. A target is cold when it is first seen, when its boot id changes, when
// it says so or when its responses turn slow. The owner of slot 0 is the leader: it
// counts responses in time, opens the slots one by one and announces the number of
// open slots to the owners of the others. Slot 0 is always open; any other slot is
// closed until the leader has opened it. An owner that detects a cold target closes
// its slot and reports the target to the leader until the leader replies with an
// opening for the same boot id. The announcements of the leader and the reports of
// the owners are both toucanpb.Opening messages, also called openings; reports have
// Cold set.
//
// An owner that no longer hears from the leader, which may have failed or left
// while the store is down, keeps its slot as long as responses or its own health
// polls show that the target is not cold. Otherwise a replica would become
// unavailable together with its leader for the whole outage.

// warmEvidenceTime is how long a response proves that a target is not cold; it
// covers two intervals of the health polls, 1 s each.
const warmEvidenceTime = 2500 * time.Millisecond

// refreshOpenSlots updates whether this host is the leader and returns the number
// of open slots. A new leader keeps the number that the former one announced
// within the lease term and otherwise starts at 1. For any other owner only slot 0
// counts as open if it has neither heard from the leader within the lease term nor
// seen within warmEvidenceTime that the target is not cold.
func (l *Limiter) refreshOpenSlots(r toucanreplica.ID, target *targetState) int {
	leaderHeard := time.Since(target.leaderLastHeard) < l.leaseTerm()
	isLeader := l.owns(r, 0)
	if isLeader && !target.isLeader && !leaderHeard {
		target.openSlots, target.inTimeResponses = 1, 0
	}
	target.isLeader = isLeader
	if isLeader || leaderHeard || time.Since(target.lastWarm) < warmEvidenceTime {
		return target.openSlots
	}
	return 1
}

// IsLeaderless reports whether this host, which is not the leader of a replica, no
// longer hears from the leader although slots other than slot 0 were open. This host
// then polls the health of the replica.
func (l *Limiter) IsLeaderless(r toucanreplica.ID) bool {
	p := l.stripe(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	target := p.targets[r]
	return target != nil && target.openSlots > 1 && !l.owns(r, 0) && time.Since(target.leaderLastHeard) >= l.leaseTerm()
}

func (l *Limiter) leaseTerm() time.Duration {
	if l.LeaseTerm > 0 {
		return l.LeaseTerm
	}
	return defaultLeaseTerm
}

// IsCold reports whether a replica is in cold start, as far as this host knows: some
// of its slots are closed, or it has one slot and too few responses in time so far.
// A replica that is unknown or not configured counts as cold.
func (l *Limiter) IsCold(r toucanreplica.ID) bool {
	slots, err := l.slotCount(r)
	if err != nil {
		return true
	}
	p := l.stripe(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	target := p.targets[r]
	if target == nil {
		return true
	}
	return l.refreshOpenSlots(r, target) < slots || slots == 1 && target.inTimeResponses < inTimeResponsesToOpen
}

// OpenSlots returns the number of open slots of a replica, as far as this host
// knows. It is 1 for an unknown replica.
func (l *Limiter) OpenSlots(r toucanreplica.ID) int {
	p := l.stripe(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	if target := p.targets[r]; target != nil {
		return l.refreshOpenSlots(r, target)
	}
	return 1
}

// IsDraining reports whether a replica is draining.
func (l *Limiter) IsDraining(r toucanreplica.ID) bool {
	p := l.stripe(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	target := p.targets[r]
	return target != nil && target.draining
}

// ObserveResponse records the boot id and the state in the headers of a response;
// either may be empty.
func (l *Limiter) ObserveResponse(r toucanreplica.ID, boot string, state string) {
	l.observe(r, boot, state, true)
}

// ObserveHealth is ObserveResponse for the health endpoint, which may be stale or
// wrong. After a response with the state draining, health ends the draining only
// with a new boot id, or once it has itself reported draining.
func (l *Limiter) ObserveHealth(r toucanreplica.ID, boot string, state string) {
	l.observe(r, boot, state, false)
}

func (l *Limiter) observe(r toucanreplica.ID, boot string, state string, fromResponse bool) {
	slots, _ := l.slotCount(r)
	p := l.stripe(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	target := p.target(r)
	restarted := boot != "" && target.boot != "" && boot != target.boot
	if state != "" {
		l.updateDraining(r, target, slots, state == "draining", fromResponse, restarted)
	}
	if boot != "" {
		target.boot = boot
	}
	if restarted || state == "cold" {
		l.closeSlots(r, target, slots, restarted)
	} else if boot != "" {
		target.lastWarm = time.Now()
	}
	l.grantWaiting(r, target, slots)
}

// updateDraining records whether a target is draining. The leader announces a
// change to the other owners, and they report draining to the leader.
func (l *Limiter) updateDraining(r toucanreplica.ID, target *targetState, slots int, draining, fromResponse, restarted bool) {
	if !fromResponse && target.drainingConfirmed && !restarted {
		// Health has no effect until it reports draining itself; the next health poll
		// may then end the draining.
		target.drainingConfirmed = !draining
		return
	}
	wasDraining := target.draining
	target.draining, target.drainingConfirmed = draining, draining && fromResponse
	if !target.draining {
		target.leaderKnowsDraining = false
	}
	switch {
	case target.draining == wasDraining:
	case l.owns(r, 0):
		l.announceOpenSlots(r, target, slots)
	case target.drainingConfirmed:
		if m, ok := l.Membership.Owner(r, 0); ok {
			l.announce(m, []*toucanpb.Opening{l.drainingReport(r, target)})
		}
	}
}

// drainingReport returns the message that reports a draining target to the leader. Its
// open count of 0 distinguishes it from the report of a cold target; Cold marks any
// report.
func (l *Limiter) drainingReport(r toucanreplica.ID, target *targetState) *toucanpb.Opening {
	return &toucanpb.Opening{
		Replica: string(r), Boot: target.boot, Sequence: l.sequence.Add(1), Source: l.Membership.Self().GetId(), Cold: true,
	}
}

// recordResult records the end of a request through a slot of this host, and opens
// the next slot or closes slots accordingly.
func (l *Limiter) recordResult(r toucanreplica.ID, target *targetState, slots int, ok bool, took time.Duration) {
	if !ok {
		// A failure delays the opening of the next slot. It closes none by itself, but
		// counts as slow if it took that long. A target with one slot stays warm once
		// it has reached inTimeResponsesToOpen.
		if target.inTimeResponses < inTimeResponsesToOpen {
			target.inTimeResponses = 0
		}
		target.latency.observeAborted(took)
	}
	inTime := ok && target.latency.observe(took)
	if target.latency.consecutiveSlow >= maxConsecutiveSlow {
		target.latency.consecutiveSlow = 0
		l.closeSlots(r, target, slots, false)
		return
	}
	// Only the leader counts responses; refreshOpenSlots updates isLeader before it is
	// read here. Responses of a target with one slot are counted too, for IsCold.
	if !inTime || l.refreshOpenSlots(r, target) >= slots && slots > 1 || !target.isLeader {
		return
	}
	target.inTimeResponses++
	if target.inTimeResponses < inTimeResponsesToOpen || slots == 1 {
		return
	}
	target.inTimeResponses = 0
	target.openSlots++
	l.announceOpenSlots(r, target, slots)
}

// closeSlots closes every slot but slot 0. The leader announces it to the other
// owners, unless they already know for this boot id; an owner reports the cold
// target to the leader.
func (l *Limiter) closeSlots(r toucanreplica.ID, target *targetState, slots int, restarted bool) {
	if target.openSlots > 1 {
		coldDetections.Inc()
		l.log().Info("target is cold", zap.String("replica", string(r)), zap.String("boot", target.boot))
	}
	announced := target.openSlots == 1 && !restarted
	target.openSlots, target.inTimeResponses = 1, 0
	if l.owns(r, 0) {
		if !announced {
			l.announceOpenSlots(r, target, slots)
		}
		return
	}
	self := l.Membership.Self().GetId()
	target.coldReport = &toucanpb.Opening{
		Replica: string(r), Boot: target.boot, Open: 1, Sequence: l.sequence.Add(1), Source: self, Cold: true,
	}
	if m, ok := l.Membership.Owner(r, 0); ok {
		l.announce(m, []*toucanpb.Opening{target.coldReport})
	}
}

// announcement returns the leader's message to the other owners; 0 open slots mean
// draining.
func (l *Limiter) announcement(r toucanreplica.ID, target *targetState) *toucanpb.Opening {
	open := target.openSlots
	if target.draining {
		open = 0
	}
	return &toucanpb.Opening{
		Replica: string(r), Boot: target.boot, Open: uint32(open),
		Sequence: l.sequence.Add(1), Source: l.Membership.Self().GetId(),
	}
}

// announceOpenSlots sends the leader's announcement to the owners of the other slots.
func (l *Limiter) announceOpenSlots(r toucanreplica.ID, target *targetState, slots int) {
	for i := 1; i < slots; i++ {
		if m, ok := l.Membership.Owner(r, i); ok && !l.owns(r, i) {
			l.announce(m, []*toucanpb.Opening{l.announcement(r, target)})
		}
	}
}

func (l *Limiter) announce(to *toucanpb.Member, openings []*toucanpb.Opening) {
	if l.Announce != nil {
		l.Announce(to, openings)
	}
}

// Offer adds to a heartbeat the announcements and reports for the receiver, unless
// they were added within gossipInterval. Changes are sent at once by Announce.
func (l *Limiter) Offer(to *toucanpb.Member, gossip *toucanpb.Gossip) {
	if to.GetId() == "" {
		return
	}
	now := time.Now()
	if at, ok := l.lastHeartbeat.Load(to.GetId()); ok && now.Sub(at.(time.Time)) < gossipInterval {
		return
	}
	l.lastHeartbeat.Store(to.GetId(), now)
	for _, o := range l.pendingOpenings(to.GetId())[to.GetId()] {
		gossip.Openings = append(gossip.Openings, o.Opening)
	}
}

// addressedOpening is an opening with its receiver.
type addressedOpening struct {
	*toucanpb.Opening
	to *toucanpb.Member
}

// pendingOpenings returns the current announcements and reports for one receiver,
// or for every owner if receiver is empty, by member id.
func (l *Limiter) pendingOpenings(receiver string) map[string][]addressedOpening {
	out := make(map[string][]addressedOpening)
	wants := func(m *toucanpb.Member) bool { return receiver == "" || receiver == m.GetId() }
	for i := range l.stripes {
		p := &l.stripes[i]
		p.mu.Lock()
		for r, target := range p.targets {
			slots, err := l.slotCount(r)
			if err != nil {
				continue
			}
			if !l.owns(r, 0) {
				m, ok := l.Membership.Owner(r, 0)
				if ok && target.coldReport != nil && wants(m) {
					out[m.GetId()] = append(out[m.GetId()], addressedOpening{target.coldReport, m})
				}
				if ok && target.drainingConfirmed && !target.leaderKnowsDraining && wants(m) {
					out[m.GetId()] = append(out[m.GetId()], addressedOpening{l.drainingReport(r, target), m})
				}
				continue
			}
			for s := 1; s < slots; s++ {
				if m, ok := l.Membership.Owner(r, s); ok && wants(m) && !l.owns(r, s) {
					out[m.GetId()] = append(out[m.GetId()], addressedOpening{l.announcement(r, target), m})
				}
			}
		}
		p.mu.Unlock()
	}
	return out
}

// Accept applies those openings in received gossip whose source is the host that sent
// the gossip, and ignores all others.
func (l *Limiter) Accept(from *toucanpb.Member, gossip *toucanpb.Gossip) {
	for _, o := range gossip.GetOpenings() {
		if o.GetSource() == from.GetId() {
			l.acceptOpening(o)
		}
	}
}

func (l *Limiter) acceptOpening(o *toucanpb.Opening) {
	r := toucanreplica.ID(o.GetReplica())
	slots, err := l.slotCount(r)
	if err != nil {
		return
	}
	leader, ok := l.Membership.Owner(r, 0)
	if !ok {
		return
	}
	p := l.stripe(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	target := p.target(r)
	isLeader := l.owns(r, 0)
	switch {
	case o.GetCold() && isLeader:
		l.handleReport(r, target, slots, o)
	case !o.GetCold() && !isLeader && o.GetSource() == leader.GetId():
		l.handleAnnouncement(r, target, slots, o)
	}
}

// handleReport applies, at the leader, an owner's report of a cold target, or of a
// draining one if its open count is 0. A report that was resent gets a reply but
// closes no slots again, unless another owner's report was applied in between.
func (l *Limiter) handleReport(r toucanreplica.ID, target *targetState, slots int, o *toucanpb.Opening) {
	if o.GetSource() != target.source || o.GetSequence() > target.sequence {
		target.source, target.sequence = o.GetSource(), o.GetSequence()
		if o.GetBoot() != "" {
			target.boot = o.GetBoot()
		}
		if o.GetOpen() == 0 {
			target.draining, target.drainingConfirmed = true, true
		} else {
			target.openSlots, target.inTimeResponses = 1, 0
		}
	}
	l.announceOpenSlots(r, target, slots)
}

// handleAnnouncement applies the leader's announcement at an owner.
func (l *Limiter) handleAnnouncement(r toucanreplica.ID, target *targetState, slots int, o *toucanpb.Opening) {
	if o.GetSource() == target.source && o.GetSequence() <= target.sequence {
		return
	}
	switch {
	case o.GetOpen() == 0:
		target.draining, target.drainingConfirmed, target.leaderKnowsDraining = true, true, true
	// The announcement ends the draining, unless this host confirmed it for the same
	// boot id and the leader does not know of it yet.
	case !target.drainingConfirmed || target.leaderKnowsDraining || o.GetBoot() != target.boot:
		target.draining, target.drainingConfirmed, target.leaderKnowsDraining = false, false, false
	}
	open := int(min(max(1, o.GetOpen()), uint32(slots)))
	sameBoot := target.boot == "" || o.GetBoot() == target.boot
	switch {
	case !sameBoot && open > 1:
		// The leader opened slots for a boot id other than the one seen here.
		target.openSlots = 1
		if target.coldReport == nil {
			l.closeSlots(r, target, slots, false)
		}
		return
	case target.coldReport != nil && open > 1:
		return // sent before the leader received the cold report
	}
	target.coldReport = nil
	if o.GetBoot() != "" {
		target.boot = o.GetBoot()
	}
	target.source, target.sequence = o.GetSource(), o.GetSequence()
	target.leaderLastHeard, target.openSlots = time.Now(), open
	l.grantWaiting(r, target, slots)
}

// Run resends openings to owners that get no heartbeats from this host, grants
// slots to queued legs after view changes and reports released views. It sends nil
// on the channel when ctx ends.
func (l *Limiter) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(sweepInterval)
		defer ticker.Stop()
		last := time.Now()
		for {
			select {
			case <-ctx.Done():
				end <- nil
				return
			case <-ticker.C:
			}
			l.sweep()
			if time.Since(last) >= announceInterval {
				last = time.Now()
				l.reannounce()
			}
		}
	}()
	return end
}

// reannounce resends openings to owners without a recent heartbeat.
func (l *Limiter) reannounce() {
	for id, list := range l.pendingOpenings("") {
		if at, ok := l.lastHeartbeat.Load(id); ok && time.Since(at.(time.Time)) < announceInterval {
			continue
		}
		openings := make([]*toucanpb.Opening, len(list))
		for i, a := range list {
			openings[i] = a.Opening
		}
		l.announce(list[0].to, openings)
	}
}

// sweep reports a released view, removes replicas that are no longer configured
// and grants slots to queued legs.
func (l *Limiter) sweep() {
	if l.CurrentView != nil && l.OnViewReleased != nil {
		// The view is read before the permits are counted: permits granted after
		// that belong to this view or a later one.
		if v := l.CurrentView(); l.LostPermits() == 0 {
			l.OnViewReleased(v)
		}
	}
	for i := range l.stripes {
		p := &l.stripes[i]
		p.mu.Lock()
		for r, target := range p.targets {
			slots, err := l.slotCount(r)
			if err != nil && target.busySlots == 0 && len(target.queue) == 0 {
				delete(p.targets, r)
				continue
			}
			l.refreshOpenSlots(r, target)
			l.grantWaiting(r, target, slots)
		}
		p.mu.Unlock()
	}
}
