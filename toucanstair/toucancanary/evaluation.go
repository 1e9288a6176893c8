package toucancanary

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"toucanstair.example/core/toucanpb"
)

const (
	// control is the share that the old version keeps while a move runs.
	control = 0.1
	// minSamples of each version are needed for a comparison.
	minSamples = 30
	// excessShare is the part of the old version's share that widens the bound.
	excessShare = 0.5
	// holdChance is the probability above which an excess may be chance and does
	// not hold a move back. With 42 responses of the new version among 200 and 4%
	// slow ones otherwise, it holds a sound version back in 3 of 100,000 cases, and one
	// with 40% slow responses in 97 of 100. A move is judged a few times at the end of a
	// stage, not for its whole length as a rollback is, so it may be above byChance.
	holdChance = 1e-4

	tick = 500 * time.Millisecond
	// Comparisons cover the last 4 s, which keeps a late fault within 5 s, the
	// last 30 s for routes with little traffic, and the whole stage.
	shortTicks = 8
	longTicks  = 60
)

// trial is the state of one move on this host.
type trial struct {
	move    atomic.Pointer[toucanpb.Move]
	portion atomic.Uint64 // bits of the new version's share, read for each request
	legs    atomic.Uint64 // of one request, at least 1
	routes  sync.Map      // *route by name, read for each response

	mu       sync.Mutex
	phase    toucanpb.MoveState_Phase
	stage    uint32
	reason   string
	entered  time.Time // when this host learned of the stage
	unsaved  bool      // the state has to be written to the store
	sources  map[string]bool
	held     map[evidenceKey]*evidence
	totals   map[string]*pair
	past     []map[string]pair // totals of earlier ticks, the oldest first
	sequence uint64
	peers    map[string]*position
}

type evidenceKey struct{ source, route string }

// evidence is the highest pair of counters seen of a source on a route.
type evidence struct {
	pair
	key     evidenceKey
	changed uint64 // sequence of the last change
}

// position is how far a peer has been sent the evidence.
type position struct {
	sent  uint64 // of the evidence of others
	own   uint64 // of this host's evidence
	began time.Time
}

func newTrial(m *toucanpb.Move) *trial {
	t := &trial{}
	t.move.Store(m)
	t.legs.Store(1)
	t.clear()
	return t
}

// follow takes the move as the configuration has it now, and the number of legs
// that a request of its service has.
func (t *trial) follow(m *toucanpb.Move, legs uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.move.Store(m)
	t.legs.Store(legs)
	t.apportion()
}

func (t *trial) eachRoute(f func(name string, r *route)) {
	t.routes.Range(func(k, v any) bool {
		f(k.(string), v.(*route))
		return true
	})
}

// clear drops the evidence of a stage.
func (t *trial) clear() {
	t.sources, t.held, t.totals = map[string]bool{}, map[evidenceKey]*evidence{}, map[string]*pair{}
	t.past, t.peers = nil, map[string]*position{}
	t.entered = time.Now()
	t.eachRoute(func(_ string, r *route) { r.reset() })
}

func (t *trial) state() *toucanpb.MoveState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &toucanpb.MoveState{Name: t.move.Load().GetName(), Phase: t.phase, Stage: t.stage, Reason: t.reason}
}

// share returns the part of the requests that the new version serves.
func (t *trial) share() float64 { return math.Float64frombits(t.portion.Load()) }

func (t *trial) apportion() {
	share := 0.0
	switch t.phase {
	case toucanpb.MoveState_PHASE_DONE:
		share = 1
	case toucanpb.MoveState_PHASE_RUNNING, toucanpb.MoveState_PHASE_LATE:
		share = min(planned(t.move.Load(), t.stage), 1-control)
	}
	t.portion.Store(math.Float64bits(share))
}

// planned returns the share of a stage: start, then the steps.
func planned(m *toucanpb.Move, stage uint32) float64 {
	if stage == 0 || len(m.GetSteps()) == 0 {
		return m.GetStart()
	}
	return m.GetSteps()[min(int(stage), len(m.GetSteps()))-1]
}

// rank orders phases: a later one replaces an earlier one, never the reverse,
// whatever the order in which hosts learn of them.
func rank(p toucanpb.MoveState_Phase) int {
	return slices.Index([]toucanpb.MoveState_Phase{
		toucanpb.MoveState_PHASE_UNSPECIFIED, toucanpb.MoveState_PHASE_RUNNING,
		toucanpb.MoveState_PHASE_LATE, toucanpb.MoveState_PHASE_DONE, toucanpb.MoveState_PHASE_BACK,
	}, p)
}

// adopt merges a state and returns whether it changed anything.
func (t *trial) adopt(s *toucanpb.MoveState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	if rank(s.GetPhase()) > rank(t.phase) {
		if t.phase == toucanpb.MoveState_PHASE_UNSPECIFIED {
			// Earlier responses do not belong to the first stage.
			t.clear()
		}
		t.phase, changed = s.GetPhase(), true
		t.reason = s.GetReason()[:min(len(s.GetReason()), maxReason)]
	}
	if last := uint32(len(t.move.Load().GetSteps())); s.GetStage() > t.stage && t.stage < last {
		t.stage, changed = min(s.GetStage(), last), true
		t.clear()
	}
	t.apportion()
	return changed
}

// back takes the move back if it is still open.
func (t *trial) back(reason string) bool {
	t.mu.Lock()
	open, stage := t.open(), t.stage
	t.unsaved = t.unsaved || open
	t.mu.Unlock()
	return open && t.adopt(&toucanpb.MoveState{Phase: toucanpb.MoveState_PHASE_BACK, Stage: stage, Reason: reason})
}

func (t *trial) markUnsaved() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsaved = true
}

func (t *trial) route(name string) *route {
	if r, ok := t.routes.Load(name); ok {
		return r.(*route)
	}
	r, _ := t.routes.LoadOrStore(name, &route{})
	return r.(*route)
}

// open reports whether evidence matters.
func (t *trial) open() bool {
	return t.phase == toucanpb.MoveState_PHASE_RUNNING || t.phase == toucanpb.MoveState_PHASE_LATE
}

// merge takes in counters of a host by maximum; they only rise, so lost,
// repeated and reordered heartbeats do no harm.
func (t *trial) merge(e *toucanpb.Evidence) {
	m := t.move.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	isNew := e.GetVersion() == m.GetTo()
	if !t.open() || e.GetStage() != t.stage || !isNew && e.GetVersion() != m.GetFrom() {
		return
	}
	if e.GetErrors() > e.GetAnswers() || e.GetSlow() > e.GetAnswers() || len(e.GetSource()) > maxReason || len(e.GetRoute()) > maxReason {
		return
	}
	p := pair{old: counts{e.GetAnswers(), e.GetErrors(), e.GetSlow()}}
	if isNew {
		p.old, p.new = p.new, p.old
	}
	t.raise(evidenceKey{e.GetSource(), e.GetRoute()}, p)
}

func (t *trial) raise(key evidenceKey, p pair) {
	e := t.held[key]
	if e == nil {
		// Routes are those of the service, of which a source has few.
		if !t.sources[key.source] && len(t.sources) >= maxSources || len(t.totals) >= maxReason && t.totals[key.route] == nil {
			return
		}
		t.sources[key.source] = true
		e = &evidence{key: key}
		t.held[key] = e
		if t.totals[key.route] == nil {
			t.totals[key.route] = &pair{}
		}
	}
	was, total := e.pair, t.totals[key.route]
	for _, f := range []struct{ held, total *counts }{{&e.old, &total.old}, {&e.new, &total.new}} {
		in := p.old
		if f.held == &e.new {
			in = p.new
		}
		f.total.answers += max(in.answers, f.held.answers) - f.held.answers
		f.total.errors += max(in.errors, f.held.errors) - f.held.errors
		f.total.slow += max(in.slow, f.held.slow) - f.held.slow
		*f.held = counts{max(in.answers, f.held.answers), max(in.errors, f.held.errors), max(in.slow, f.held.slow)}
	}
	if was != e.pair {
		t.sequence++
		e.changed = t.sequence
	}
}

// own takes the counters of this host into the sums.
func (t *trial) own(source string) {
	t.eachRoute(func(name string, r *route) {
		if p := r.pair(); p != (pair{}) {
			t.raise(evidenceKey{source, name}, p)
		}
	})
}

// offer returns evidence that changed since the peer was last sent it, at
// most so many pairs; both versions travel together to cover one interval.
func (t *trial) offer(source string, peer string, pairs int) []*toucanpb.Evidence {
	m := t.move.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.open() || pairs <= 0 {
		return nil
	}
	t.own(source)
	pos := t.peers[peer]
	if pos == nil || time.Since(pos.began) > resendAfter {
		if len(t.peers) >= maxPeers {
			clear(t.peers)
		}
		pos = &position{began: time.Now()}
		t.peers[peer] = pos
	}
	// This host's evidence changes before each heartbeat and would always be
	// behind that of others, which reaches the peer on other ways, too.
	var own, due []*evidence
	for _, e := range t.held {
		switch {
		case e.key.source == source && e.changed > pos.own:
			own = append(own, e)
		case e.key.source != source && e.key.source != peer && e.changed > pos.sent:
			due = append(due, e)
		}
	}
	own, due = oldest(own, (pairs+1)/2), oldest(due, pairs)
	due = due[:min(len(due), pairs-len(own))]
	if len(own) > 0 {
		pos.own = own[len(own)-1].changed
	}
	if len(due) > 0 {
		pos.sent = due[len(due)-1].changed
	}
	due = append(own, due...)
	out := make([]*toucanpb.Evidence, 0, 2*len(due))
	for _, e := range due {
		for version, c := range map[string]counts{m.GetFrom(): e.old, m.GetTo(): e.new} {
			out = append(out, &toucanpb.Evidence{
				Source: e.key.source, Move: m.GetName(), Version: version, Route: e.key.route,
				Answers: c.answers, Errors: c.errors, Slow: c.slow, Stage: t.stage,
			})
		}
	}
	return out
}

// oldest returns at most n, those that changed first.
func oldest(es []*evidence, n int) []*evidence {
	slices.SortFunc(es, func(a, b *evidence) int { return cmp.Compare(a.changed, b.changed) })
	return es[:min(len(es), n)]
}

// judge takes the sums of this tick and returns a reason to take the move
// back, or "".
func (t *trial) judge(source string, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.eachRoute(func(_ string, r *route) { r.measure(now) })
	if !t.open() {
		return ""
	}
	t.own(source)
	sums := make(map[string]pair, len(t.totals))
	for name, p := range t.totals {
		sums[name] = *p
	}
	bound := t.move.Load().GetBound()
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		for _, back := range []int{shortTicks, longTicks, len(t.past) + 1} {
			var before pair
			if back <= len(t.past) {
				before = t.past[len(t.past)-back][name]
			}
			if what := worse(sums[name].minus(before), bound, t.legs.Load()); what != "" {
				return "route " + name + ": " + what
			}
		}
	}
	t.past = append(t.past, sums)
	t.past = t.past[max(0, len(t.past)-longTicks):]
	return ""
}

// worse says in what the new version is worse than the old one, or "".
func worse(p pair, bound float64, legs uint64) string {
	if p.new.answers < minSamples || p.old.answers < minSamples {
		return ""
	}
	for _, c := range p.comparisons(legs) {
		if c.exceeds(bound) && c.chance() < byChance {
			return c.String()
		}
	}
	return ""
}

// comparison sets the bad responses of one kind of the new version against
// those of the old one.
type comparison struct {
	what     string
	pair     pair
	new, old uint64 // bad responses
	legs     uint64 // that are alike; 1: none
}

// comparisons returns the failures, which strike legs one by one, and the slow
// responses, in which the legs of a request are alike.
func (p pair) comparisons(legs uint64) [2]comparison {
	return [2]comparison{
		{"failed", p, p.new.errors, p.old.errors, 1},
		{"slow", p, p.new.slow, p.old.slow, legs},
	}
}

// exceeds reports whether the new version's share is above the old one's by more
// than the bound allows.
func (c comparison) exceeds(bound float64) bool {
	share := float64(c.old) / float64(c.pair.old.answers)
	return float64(c.new)/float64(c.pair.new.answers) > share+bound+excessShare*share
}

// chance returns the probability of as many bad responses of the new version if
// both versions are alike.
func (c comparison) chance() float64 {
	return clustered(c.pair.new.answers, c.new, c.pair.old.answers, c.old, c.legs)
}

func (c comparison) String() string {
	return fmt.Sprintf("%d of %d responses %s, %d of %d of the old version", c.new, c.pair.new.answers, c.what, c.old, c.pair.old.answers)
}

// lacking returns what is missing to leave the stage, or "".
func (t *trial) lacking() string {
	m := t.move.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.totals) == 0 {
		return "no responses"
	}
	legs := t.legs.Load()
	for _, name := range slices.Sorted(maps.Keys(t.totals)) {
		p := *t.totals[name]
		switch {
		case p.new.answers < m.GetSamples():
			return fmt.Sprintf("route %s has %d of %d responses of the new version at stage %d", name, p.new.answers, m.GetSamples(), t.stage)
		case p.old.answers < min(minSamples, m.GetSamples()):
			return fmt.Sprintf("route %s has %d responses of the old version at stage %d", name, p.old.answers, t.stage)
		}
		for _, c := range p.comparisons(legs) {
			if c.exceeds(m.GetBound()) && c.chance() < holdChance {
				return fmt.Sprintf("route %s is not good enough at stage %d: %s", name, t.stage, c)
			}
		}
	}
	return ""
}
