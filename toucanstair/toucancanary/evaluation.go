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
	// controlShare is the share of requests that the old version keeps while a move
	// is running.
	controlShare = 0.1
	// minSamples is the number of responses of each version that a comparison needs.
	minSamples = 30
	// relativeExcess is the fraction of the old version's share of bad responses that
	// is added to the bound, but for rejections, which overload does not make more.
	relativeExcess = 0.5
	// maxRejectionExcess bounds the excess of rejections that the bound of a move allows. It
	// lies between 1 in 50, by which newer data may differ, and the fifth of a bad version.
	maxRejectionExcess = 0.08
	// holdPValue is the significance level at which an excess holds a move at its stage,
	// where the odds of the gate do not decide. With 42 responses of the new version among
	// 200 and a usual rate of 4% slow responses, it holds a good version in 3 of 100,000
	// cases, and one with 40% slow responses in 97 of 100. It may be above rollbackPValue, because it is tested a
	// few times at the end of a stage and not throughout the stage.
	holdPValue = 1e-4

	// tick is how often the versions are compared and the store schedules are checked.
	tick = 500 * time.Millisecond
	// Comparisons cover the last 4 s, to roll back within 5 s of a late fault, the
	// last 30 s for routes with little traffic, and the whole stage.
	shortTicks = 8
	longTicks  = 60
)

// evaluation is the state and evidence of one move on this host.
type evaluation struct {
	move      atomic.Pointer[toucanpb.Move]
	shareBits atomic.Uint64 // math.Float64bits of the new version's share; read for each request
	legs      atomic.Uint64 // of one request of the service; at least 1
	routes    sync.Map      // *routeStats by name; read for each response

	mu            sync.Mutex // guards the fields below
	phase         toucanpb.MoveState_Phase
	stage         uint32
	reason        string          // of the phase
	stageStart    time.Time       // when this host learned of the stage
	unsaved       bool            // the state has to be written to the store
	sources       map[string]bool // processes with evidence
	evidence      map[evidenceKey]*evidence
	totals        map[string]*countPair    // sums of evidence, by route
	history       []map[string]countPair   // totals at earlier ticks, oldest first
	sequence      uint64                   // number of changes of evidence
	peerPositions map[string]*peerPosition // by id of the peer
}

type evidenceKey struct{ source, route string }

// evidence holds the highest counters seen of a source on a route.
type evidence struct {
	countPair
	key     evidenceKey
	changed uint64 // sequence of the last change
}

// peerPosition is the sequence up to which a peer has been sent evidence.
type peerPosition struct {
	others  uint64    // for the evidence of other hosts
	own     uint64    // for this host's evidence
	started time.Time // when sending started again with all evidence
}

func newEvaluation(m *toucanpb.Move) *evaluation {
	ev := &evaluation{}
	ev.move.Store(m)
	ev.legs.Store(1)
	ev.clearEvidence()
	return ev
}

// applyConfig sets the move as it now is in the configuration, and the number of
// legs of a request of its service.
func (ev *evaluation) applyConfig(m *toucanpb.Move, legs uint64) {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	ev.move.Store(m)
	ev.legs.Store(legs)
	ev.updateShare()
}

func (ev *evaluation) eachRoute(f func(name string, r *routeStats)) {
	ev.routes.Range(func(k, v any) bool {
		f(k.(string), v.(*routeStats))
		return true
	})
}

// clearEvidence drops the evidence of a stage; the caller holds mu.
func (ev *evaluation) clearEvidence() {
	ev.sources, ev.evidence, ev.totals = map[string]bool{}, map[evidenceKey]*evidence{}, map[string]*countPair{}
	ev.history, ev.peerPositions = nil, map[string]*peerPosition{}
	ev.stageStart = time.Now()
	ev.eachRoute(func(_ string, r *routeStats) { r.reset() })
}

func (ev *evaluation) state() *toucanpb.MoveState {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	m := ev.move.Load()
	return &toucanpb.MoveState{Name: m.GetName(), To: m.GetTo(), Phase: ev.phase, Stage: ev.stage, Reason: ev.reason}
}

// share returns the share of the requests that the new version serves, 0 to 1.
func (ev *evaluation) share() float64 { return math.Float64frombits(ev.shareBits.Load()) }

// updateShare sets the new version's share from the phase and the stage; the
// caller holds mu.
func (ev *evaluation) updateShare() {
	share := 0.0
	switch ev.phase {
	case toucanpb.MoveState_PHASE_DONE:
		share = 1
	case toucanpb.MoveState_PHASE_RUNNING, toucanpb.MoveState_PHASE_LATE:
		share = min(plannedShare(ev.move.Load(), ev.stage), 1-controlShare)
	}
	ev.shareBits.Store(math.Float64bits(share))
}

// plannedShare returns the configured share of a stage: start, then the steps.
func plannedShare(m *toucanpb.Move, stage uint32) float64 {
	if stage == 0 || len(m.GetSteps()) == 0 {
		return m.GetStart()
	}
	return m.GetSteps()[min(int(stage), len(m.GetSteps()))-1]
}

// phaseOrder returns the rank of a phase: a higher one replaces a lower one, never
// the reverse, whatever the order in which hosts learn of them.
func phaseOrder(p toucanpb.MoveState_Phase) int {
	return slices.Index([]toucanpb.MoveState_Phase{
		toucanpb.MoveState_PHASE_UNSPECIFIED, toucanpb.MoveState_PHASE_RUNNING,
		toucanpb.MoveState_PHASE_LATE, toucanpb.MoveState_PHASE_DONE, toucanpb.MoveState_PHASE_BACK,
	}, p)
}

// mergeState merges a state and reports whether it changed anything.
func (ev *evaluation) mergeState(s *toucanpb.MoveState) bool {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	if to := s.GetTo(); to != "" && to != ev.move.Load().GetTo() {
		return false // of another move that had the same name
	}
	changed := false
	if phaseOrder(s.GetPhase()) > phaseOrder(ev.phase) {
		if ev.phase == toucanpb.MoveState_PHASE_UNSPECIFIED {
			// Earlier responses do not belong to the first stage.
			ev.clearEvidence()
		}
		ev.phase, changed = s.GetPhase(), true
		ev.reason = s.GetReason()[:min(len(s.GetReason()), maxStringBytes)]
	}
	if last := uint32(len(ev.move.Load().GetSteps())); s.GetStage() > ev.stage && ev.stage < last {
		ev.stage, changed = min(s.GetStage(), last), true
		ev.clearEvidence()
	}
	ev.updateShare()
	return changed
}

// rollBack rolls the move back if it is running or late, and reports whether it
// did.
func (ev *evaluation) rollBack(reason string) bool {
	ev.mu.Lock()
	open, stage := ev.open(), ev.stage
	ev.unsaved = ev.unsaved || open
	ev.mu.Unlock()
	return open && ev.mergeState(&toucanpb.MoveState{Phase: toucanpb.MoveState_PHASE_BACK, Stage: stage, Reason: reason})
}

func (ev *evaluation) markUnsaved() {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	ev.unsaved = true
}

// route returns the statistics of a route, which it creates at first use.
func (ev *evaluation) route(name string) *routeStats {
	if r, ok := ev.routes.Load(name); ok {
		return r.(*routeStats)
	}
	r, _ := ev.routes.LoadOrStore(name, &routeStats{})
	return r.(*routeStats)
}

// open reports whether the move is running or late, so that evidence still counts;
// the caller holds mu.
func (ev *evaluation) open() bool {
	return ev.phase == toucanpb.MoveState_PHASE_RUNNING || ev.phase == toucanpb.MoveState_PHASE_LATE
}

// mergeEvidence merges the counters of a host by maximum. Counters only increase, so
// lost, duplicate and reordered heartbeats do no harm.
func (ev *evaluation) mergeEvidence(e *toucanpb.Evidence) {
	m := ev.move.Load()
	ev.mu.Lock()
	defer ev.mu.Unlock()
	isNew := e.GetVersion() == m.GetTo()
	if !ev.open() || e.GetStage() != ev.stage || !isNew && e.GetVersion() != m.GetFrom() {
		return
	}
	if e.GetErrors() > e.GetAnswers() || e.GetSlow() > e.GetAnswers() || e.GetTimed() > e.GetAnswers()-e.GetErrors() || e.GetRejected() > e.GetAnswers()-e.GetErrors() || len(e.GetSource()) > maxStringBytes || len(e.GetRoute()) > maxStringBytes {
		return
	}
	p := countPair{old: counts{e.GetAnswers(), e.GetErrors(), min(e.GetSlow(), e.GetTimed()), e.GetTimed(), e.GetRejected()}}
	if isNew {
		p.old, p.new = p.new, p.old
	}
	ev.raiseCounters(evidenceKey{e.GetSource(), e.GetRoute()}, p)
}

// raiseCounters raises the counters of a source on a route, and the totals by the
// difference; the caller holds mu.
func (ev *evaluation) raiseCounters(key evidenceKey, p countPair) {
	e := ev.evidence[key]
	if e == nil {
		// The number of sources and the number of routes are bounded. A service has few
		// routes, so the evidence of one source needs no bound.
		if !ev.sources[key.source] && len(ev.sources) >= maxSources || len(ev.totals) >= maxStringBytes && ev.totals[key.route] == nil {
			return
		}
		ev.sources[key.source] = true
		e = &evidence{key: key}
		ev.evidence[key] = e
		if ev.totals[key.route] == nil {
			ev.totals[key.route] = &countPair{}
		}
	}
	previous, total := e.countPair, ev.totals[key.route]
	e.old, e.new = e.old.merge(p.old), e.new.merge(p.new)
	total.old, total.new = total.old.plus(e.old.minus(previous.old)), total.new.plus(e.new.minus(previous.new))
	if previous != e.countPair {
		ev.sequence++
		e.changed = ev.sequence
	}
}

// addOwnEvidence adds the counters of this host to the evidence; the caller holds mu.
func (ev *evaluation) addOwnEvidence(source string) {
	ev.eachRoute(func(name string, r *routeStats) {
		if p := r.snapshot(); p != (countPair{}) {
			ev.raiseCounters(evidenceKey{source, name}, p)
		}
	})
}

// unsentEvidence returns the evidence that changed since it was last sent to the
// peer, at most the given number of pairs. Both versions are sent together, to
// cover the same interval.
func (ev *evaluation) unsentEvidence(source string, peer string, pairs int) []*toucanpb.Evidence {
	m := ev.move.Load()
	ev.mu.Lock()
	defer ev.mu.Unlock()
	if !ev.open() || pairs <= 0 {
		return nil
	}
	ev.addOwnEvidence(source)
	pos := ev.peerPositions[peer]
	if pos == nil || time.Since(pos.started) > resendInterval {
		if len(ev.peerPositions) >= maxPeers {
			clear(ev.peerPositions)
		}
		pos = &peerPosition{started: time.Now()}
		ev.peerPositions[peer] = pos
	}
	// This host's evidence changes before each heartbeat, so by age it would always
	// come after that of other hosts. It gets half of the pairs, because the evidence
	// of other hosts also reaches the peer through them.
	var own, due []*evidence
	for _, e := range ev.evidence {
		switch {
		case e.key.source == source && e.changed > pos.own:
			own = append(own, e)
		case e.key.source != source && e.key.source != peer && e.changed > pos.others:
			due = append(due, e)
		}
	}
	own, due = leastRecentlyChanged(own, (pairs+1)/2), leastRecentlyChanged(due, pairs)
	due = due[:min(len(due), pairs-len(own))]
	if len(own) > 0 {
		pos.own = own[len(own)-1].changed
	}
	if len(due) > 0 {
		pos.others = due[len(due)-1].changed
	}
	due = append(own, due...)
	out := make([]*toucanpb.Evidence, 0, 2*len(due))
	for _, e := range due {
		for version, c := range map[string]counts{m.GetFrom(): e.old, m.GetTo(): e.new} {
			out = append(out, &toucanpb.Evidence{
				Source: e.key.source, Move: m.GetName(), Version: version, Route: e.key.route,
				Answers: c.answers, Errors: c.errors, Slow: c.slow, Timed: c.timed, Rejected: c.rejected, Stage: ev.stage,
			})
		}
	}
	return out
}

// leastRecentlyChanged returns the n entries that changed longest ago, in that
// order, or fewer.
func leastRecentlyChanged(es []*evidence, n int) []*evidence {
	slices.SortFunc(es, func(a, b *evidence) int { return cmp.Compare(a.changed, b.changed) })
	return es[:min(len(es), n)]
}

// rollbackReason records the totals at this tick and returns a reason to roll
// back, or "".
func (ev *evaluation) rollbackReason(source string, now time.Time) string {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	ev.eachRoute(func(_ string, r *routeStats) { r.updateThreshold(now) })
	if !ev.open() {
		return ""
	}
	ev.addOwnEvidence(source)
	sums := make(map[string]countPair, len(ev.totals))
	for name, p := range ev.totals {
		sums[name] = *p
	}
	bound := ev.move.Load().GetBound()
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		// Beyond the history, the comparison covers the whole stage.
		for _, ticksBack := range []int{shortTicks, longTicks, len(ev.history) + 1} {
			var before countPair
			if ticksBack <= len(ev.history) {
				before = ev.history[len(ev.history)-ticksBack][name]
			}
			if what := regression(sums[name].minus(before), bound, ev.legs.Load()); what != "" {
				return "route " + name + ": " + what
			}
		}
	}
	ev.history = append(ev.history, sums)
	ev.history = ev.history[max(0, len(ev.history)-longTicks):]
	return ""
}

// regression describes how the new version is significantly worse than the old
// one, or returns "".
func regression(p countPair, bound float64, legs uint64) string {
	for _, c := range p.comparisons(legs) {
		enough := c.pair.new.answers >= minSamples && c.pair.old.answers >= minSamples
		if enough && c.exceeds(bound) && c.pValue() < rollbackPValue {
			return c.String()
		}
	}
	return ""
}

// comparison compares the failed, the rejected or the slow responses of both versions.
type comparison struct {
	what           badness
	pair           countPair
	newBad, oldBad uint64 // bad responses
	legs           uint64 // number of responses that are correlated; 1: all independent
}

// comparisons returns the comparison of failures, which are independent between
// legs, of rejections among the other responses, and of slow responses, which are
// correlated between the legs of a request.
func (p countPair) comparisons(legs uint64) [3]comparison {
	return [3]comparison{
		{failures, p, p.new.errors, p.old.errors, 1},
		{rejections, countPair{counts{answers: p.old.answers - p.old.errors}, counts{answers: p.new.answers - p.new.errors}}, p.new.rejected, p.old.rejected, 1},
		{slowness, countPair{counts{answers: p.old.timed}, counts{answers: p.new.timed}}, p.new.slow, p.old.slow, legs},
	}
}

// exceeds reports whether the new version's share of bad responses exceeds the old
// one's by more than the bound allows.
func (c comparison) exceeds(bound float64) bool {
	share := float64(c.oldBad) / float64(c.pair.old.answers)
	if c.what == rejections {
		bound = min(bound, maxRejectionExcess)
	} else {
		bound += relativeExcess * share
	}
	return float64(c.newBad)/float64(c.pair.new.answers) > share+bound
}

// pValue returns the probability of at least as many bad responses of the new
// version if both versions are equally good.
func (c comparison) pValue() float64 {
	return clusteredPValue(c.pair.new.answers, c.newBad, c.pair.old.answers, c.oldBad, c.legs)
}

func (c comparison) String() string {
	return fmt.Sprintf("%d of %d responses %s, %d of %d of the old version", c.newBad, c.pair.new.answers, c.what, c.oldBad, c.pair.old.answers)
}

// hold is what keeps a move at its stage.
type hold struct {
	reason string // "": nothing
	// lacksResponses says that this host knows too few responses. Other hosts may know more.
	lacksResponses bool
}

// hold returns what keeps the move at its stage.
func (ev *evaluation) hold(g gate) hold {
	m := ev.move.Load()
	ev.mu.Lock()
	defer ev.mu.Unlock()
	if len(ev.totals) == 0 {
		return hold{"no responses", true}
	}
	g.rejectionLevel /= float64(len(ev.totals))
	legs, seen := ev.legs.Load(), uint64(0)
	for _, name := range slices.Sorted(maps.Keys(ev.totals)) {
		p := *ev.totals[name]
		seen += p.new.answers
		expected := min(g.routeShare, 1-g.routeShare) * float64(p.new.answers+p.old.answers)
		switch {
		case g.routeShare > 0 && expected < float64(m.GetSamples()):
			// The route is too rare for the samples.
		case p.new.answers < m.GetSamples():
			return hold{fmt.Sprintf("route %s has %d of %d responses of the new version at stage %d", name, p.new.answers, m.GetSamples(), ev.stage), true}
		case p.old.answers < min(minSamples, m.GetSamples()):
			return hold{fmt.Sprintf("route %s has %d responses of the old version at stage %d", name, p.old.answers, ev.stage), true}
		case p.new.timed < g.minTimed:
			return hold{fmt.Sprintf("the latency of %d of %d responses of the new version on route %s is known at stage %d", p.new.timed, g.minTimed, name, ev.stage), true}
		}
		for _, c := range p.comparisons(legs) {
			if g.holds(c, m.GetBound()) {
				return hold{reason: fmt.Sprintf("route %s is not good enough at stage %d: %s", name, ev.stage, c)}
			}
		}
	}
	if seen < m.GetSamples() {
		return hold{fmt.Sprintf("there are %d of %d responses of the new version at stage %d", seen, m.GetSamples(), ev.stage), true}
	}
	return hold{}
}
