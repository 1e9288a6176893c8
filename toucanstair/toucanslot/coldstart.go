package toucanslot

import (
	"context"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
)

// openAfter is the number of responses in time that open the next slot.
const openAfter = 8

// Cold start. The owner of slot 0 leads: it counts responses in time, opens
// one slot after another and tells the owners of the other slots. Those count
// as closed until the leader has opened them. An owner that sees a cold sign
// closes its own slot, and repeats the sign to the leader until the leader
// answers with an opening for the same boot.
//
// An owner that does not hear the leader any more, because it has died or left
// while the store is down, keeps its slot as long as responses or its own health
// polls show the target without a cold sign. Otherwise a replica would be
// lost with its leader for the time of the outage.

// vouchTime is how long a response shows that a target has not turned cold; it
// covers two health polls.
const vouchTime = 2500 * time.Millisecond

// open returns how many slots may be used now. A host that becomes the leader
// keeps the count that it heard within the lease and otherwise starts at 1.
func (t *Limiter) open(r toucanreplica.ID, g *target) int {
	trusted := time.Since(g.heard) < t.lease()
	leads := t.owns(r, 0)
	if leads && !g.leads && !trusted {
		g.open, g.good = 1, 0
	}
	g.leads = leads
	if leads || trusted || time.Since(g.noted) < vouchTime {
		return g.open
	}
	return 1
}

// IsLeaderless reports whether this host had an open slot of a replica whose leader
// it does not hear any more; its health is then for this host to poll.
func (t *Limiter) IsLeaderless(r toucanreplica.ID) bool {
	p := t.part(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.targets[r]
	return g != nil && g.open > 1 && !t.owns(r, 0) && time.Since(g.heard) >= t.lease()
}

func (t *Limiter) lease() time.Duration {
	if t.LeaseTerm > 0 {
		return t.LeaseTerm
	}
	return defaultLease
}

// IsCold reports whether a replica has closed slots, as far as this host knows.
func (t *Limiter) IsCold(r toucanreplica.ID) bool {
	slots, err := t.slots(r)
	if err != nil {
		return true
	}
	p := t.part(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.targets[r]
	if g == nil {
		return true
	}
	return t.open(r, g) < slots || slots == 1 && g.good < openAfter
}

// OpenSlots returns how many slots of a replica may be used, as far as this host
// knows; slots beyond the first of an unknown replica are closed.
func (t *Limiter) OpenSlots(r toucanreplica.ID) int {
	p := t.part(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.targets[r]; g != nil {
		return t.open(r, g)
	}
	return 1
}

// IsDraining reports whether a replica said that it is draining.
func (t *Limiter) IsDraining(r toucanreplica.ID) bool {
	p := t.part(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.targets[r]
	return g != nil && g.draining
}

// ObserveResponse takes in the boot id and the state that a response named; either may
// be empty.
func (t *Limiter) ObserveResponse(r toucanreplica.ID, boot string, state string) {
	t.note(r, boot, state, true)
}

// ObserveHealth is Note for the health endpoint, which may lag or mislead. After a
// response said draining, health ends that only for a new boot id, or when it
// has said draining itself.
func (t *Limiter) ObserveHealth(r toucanreplica.ID, boot string, state string) {
	t.note(r, boot, state, false)
}

func (t *Limiter) note(r toucanreplica.ID, boot string, state string, response bool) {
	slots, _ := t.slots(r)
	p := t.part(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.target(r)
	restarted := boot != "" && g.boot != "" && boot != g.boot
	if state != "" {
		t.drain(r, g, slots, state == "draining", response, restarted)
	}
	if boot != "" {
		g.boot = boot
	}
	if restarted || state == "cold" {
		t.chill(r, g, slots, restarted)
	} else if boot != "" {
		g.noted = time.Now()
	}
	t.pump(r, g, slots)
}

// drain takes in whether a target says that it is draining, and tells the
// others concerned of a change.
func (t *Limiter) drain(r toucanreplica.ID, g *target, slots int, draining, response, restarted bool) {
	if !response && g.vouched && !restarted {
		g.vouched = !draining
		return
	}
	was := g.draining
	g.draining, g.vouched = draining, draining && response
	if !g.draining {
		g.agreed = false
	}
	switch {
	case g.draining == was:
	case t.owns(r, 0):
		t.tell(r, g, slots)
	case g.vouched:
		if m, ok := t.Membership.Owner(r, 0); ok {
			t.announce(m, []*toucanpb.Opening{t.drainSign(r, g)})
		}
	}
}

// drainSign tells the leader that a response to this host said draining.
func (t *Limiter) drainSign(r toucanreplica.ID, g *target) *toucanpb.Opening {
	return &toucanpb.Opening{
		Replica: string(r), Boot: g.boot, Sequence: t.sequence.Add(1), Source: t.Membership.Self().GetId(), Cold: true,
	}
}

// judge takes in the end of a request through a slot of this host.
func (t *Limiter) judge(r toucanreplica.ID, g *target, slots int, ok bool, took time.Duration) {
	if !ok {
		// A failure delays the next opening but closes nothing.
		if g.good < openAfter {
			g.good = 0
		}
		g.speed.cut(took)
	}
	inTime := ok && g.speed.observe(took)
	if g.speed.run >= slowRun {
		g.speed.run = 0
		t.chill(r, g, slots, false)
		return
	}
	if !inTime || t.open(r, g) >= slots && slots > 1 || !g.leads {
		return
	}
	g.good++
	if g.good < openAfter || slots == 1 {
		return
	}
	g.good = 0
	g.open++
	t.tell(r, g, slots)
}

// chill closes every slot but slot 0 and tells the others concerned. A leader
// that repeats what it told last says so only for a new boot.
func (t *Limiter) chill(r toucanreplica.ID, g *target, slots int, restarted bool) {
	if g.open > 1 {
		coldSeen.Inc()
		t.log().Info("target is cold", zap.String("replica", string(r)), zap.String("boot", g.boot))
	}
	told := g.open == 1 && !restarted
	g.open, g.good = 1, 0
	if t.owns(r, 0) {
		if !told {
			t.tell(r, g, slots)
		}
		return
	}
	self := t.Membership.Self().GetId()
	g.cold = &toucanpb.Opening{
		Replica: string(r), Boot: g.boot, Open: 1, Sequence: t.sequence.Add(1), Source: self, Cold: true,
	}
	if m, ok := t.Membership.Owner(r, 0); ok {
		t.announce(m, []*toucanpb.Opening{g.cold})
	}
}

// opening is what the leader tells; an open count of 0 means draining.
func (t *Limiter) opening(r toucanreplica.ID, g *target) *toucanpb.Opening {
	open := g.open
	if g.draining {
		open = 0
	}
	return &toucanpb.Opening{
		Replica: string(r), Boot: g.boot, Open: uint32(open),
		Sequence: t.sequence.Add(1), Source: t.Membership.Self().GetId(),
	}
}

// tell sends the open count to the owners of the other slots.
func (t *Limiter) tell(r toucanreplica.ID, g *target, slots int) {
	for i := 1; i < slots; i++ {
		if m, ok := t.Membership.Owner(r, i); ok && !t.owns(r, i) {
			t.announce(m, []*toucanpb.Opening{t.opening(r, g)})
		}
	}
}

func (t *Limiter) announce(to *toucanpb.Member, openings []*toucanpb.Opening) {
	if t.Announce != nil {
		t.Announce(to, openings)
	}
}

// Offer adds to a heartbeat the open counts and cold signs that concern the
// receiver, unless it was sent them lately; changes are announced at once.
func (t *Limiter) Offer(to *toucanpb.Member, g *toucanpb.Gossip) {
	if to.GetId() == "" {
		return
	}
	now := time.Now()
	if at, ok := t.offered.Load(to.GetId()); ok && now.Sub(at.(time.Time)) < offerEvery {
		return
	}
	t.offered.Store(to.GetId(), now)
	for _, o := range t.concerning(to.GetId())[to.GetId()] {
		g.Openings = append(g.Openings, o.Opening)
	}
}

type addressed struct {
	*toucanpb.Opening
	to *toucanpb.Member
}

// concerning returns what each other owner, or only one, should know, by member
// id.
func (t *Limiter) concerning(only string) map[string][]addressed {
	out := make(map[string][]addressed)
	wants := func(m *toucanpb.Member) bool { return only == "" || only == m.GetId() }
	for i := range t.parts {
		p := &t.parts[i]
		p.mu.Lock()
		for r, g := range p.targets {
			slots, err := t.slots(r)
			if err != nil {
				continue
			}
			if !t.owns(r, 0) {
				m, ok := t.Membership.Owner(r, 0)
				if ok && g.cold != nil && wants(m) {
					out[m.GetId()] = append(out[m.GetId()], addressed{g.cold, m})
				}
				if ok && g.vouched && !g.agreed && wants(m) {
					out[m.GetId()] = append(out[m.GetId()], addressed{t.drainSign(r, g), m})
				}
				continue
			}
			for s := 1; s < slots; s++ {
				if m, ok := t.Membership.Owner(r, s); ok && wants(m) && !t.owns(r, s) {
					out[m.GetId()] = append(out[m.GetId()], addressed{t.opening(r, g), m})
				}
			}
		}
		p.mu.Unlock()
	}
	return out
}

// Accept takes in the openings of a heartbeat or an announcement.
func (t *Limiter) Accept(from *toucanpb.Member, g *toucanpb.Gossip) {
	for _, o := range g.GetOpenings() {
		if o.GetSource() == from.GetId() {
			t.accept(o)
		}
	}
}

func (t *Limiter) accept(o *toucanpb.Opening) {
	r := toucanreplica.ID(o.GetReplica())
	slots, err := t.slots(r)
	if err != nil {
		return
	}
	leader, ok := t.Membership.Owner(r, 0)
	if !ok {
		return
	}
	p := t.part(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.target(r)
	leads := t.owns(r, 0)
	switch {
	case o.GetCold() && leads:
		t.warned(r, g, slots, o)
	case !o.GetCold() && !leads && o.GetSource() == leader.GetId():
		t.told(r, g, slots, o)
	}
}

// warned is the leader's reaction to an owner's sign of a cold target, or of a
// draining one when the open count is 0. A repeated sign is
// answered but closes nothing again.
func (t *Limiter) warned(r toucanreplica.ID, g *target, slots int, o *toucanpb.Opening) {
	if o.GetSource() != g.source || o.GetSequence() > g.sequence {
		g.source, g.sequence = o.GetSource(), o.GetSequence()
		if o.GetBoot() != "" {
			g.boot = o.GetBoot()
		}
		if o.GetOpen() == 0 {
			g.draining, g.vouched = true, true
		} else {
			g.open, g.good = 1, 0
		}
	}
	t.tell(r, g, slots)
}

// told is an owner's reaction to the leader's open count.
func (t *Limiter) told(r toucanreplica.ID, g *target, slots int, o *toucanpb.Opening) {
	if o.GetSource() == g.source && o.GetSequence() <= g.sequence {
		return
	}
	switch {
	case o.GetOpen() == 0:
		g.draining, g.vouched, g.agreed = true, true, true
	case !g.vouched || g.agreed || o.GetBoot() != g.boot:
		g.draining, g.vouched, g.agreed = false, false, false
	}
	open := int(min(max(1, o.GetOpen()), uint32(slots)))
	agreed := g.boot == "" || o.GetBoot() == g.boot
	switch {
	case !agreed && open > 1:
		// The leader opened slots of another boot than the one seen here.
		g.open = 1
		if g.cold == nil {
			t.chill(r, g, slots, false)
		}
		return
	case g.cold != nil && open > 1:
		return // sent before the leader learnt of the cold sign
	}
	g.cold = nil
	if o.GetBoot() != "" {
		g.boot = o.GetBoot()
	}
	g.source, g.sequence = o.GetSource(), o.GetSequence()
	g.heard, g.open = time.Now(), open
	t.pump(r, g, slots)
}

// Run repeats openings to owners that get no heartbeats from this host, wakes
// waiting legs after view changes and reports released views. It ends with
// ctx and then reports on the channel.
func (t *Limiter) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(tick)
		defer ticker.Stop()
		last := time.Now()
		for {
			select {
			case <-ctx.Done():
				end <- nil
				return
			case <-ticker.C:
			}
			t.sweep()
			if time.Since(last) >= retell {
				last = time.Now()
				t.repeat()
			}
		}
	}()
	return end
}

func (t *Limiter) repeat() {
	for id, list := range t.concerning("") {
		if at, ok := t.offered.Load(id); ok && time.Since(at.(time.Time)) < retell {
			continue
		}
		openings := make([]*toucanpb.Opening, len(list))
		for i, a := range list {
			openings[i] = a.Opening
		}
		t.announce(list[0].to, openings)
	}
}

func (t *Limiter) sweep() {
	if t.CurrentView != nil && t.OnViewReleased != nil {
		// The view is read first: permits given after it are under this view
		// or a later one.
		if v := t.CurrentView(); t.LostPermits() == 0 {
			t.OnViewReleased(v)
		}
	}
	for i := range t.parts {
		p := &t.parts[i]
		p.mu.Lock()
		for r, g := range p.targets {
			slots, err := t.slots(r)
			if err != nil && g.busy == 0 && len(g.waiting) == 0 {
				delete(p.targets, r)
				continue
			}
			t.open(r, g)
			t.pump(r, g, slots)
		}
		p.mu.Unlock()
	}
}
