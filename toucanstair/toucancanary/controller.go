// Package toucancanary shifts traffic to a new version in stages and rolls back
// when the new version fails or slows down more often than the old one. A move
// (toucanpb.Move) is one such shift of a service; toucanrollout makes one for each
// rollout. Hosts count the responses of each version by route, and exchange these
// counters, called evidence, in heartbeats.
//
// Both versions are compared over the same interval, because the old version
// keeps part of the traffic until the end of the move. Four rules replace a
// plain comparison of failure rates, so that good versions are not rolled back:
//   - the share of bad responses of the new version must exceed that of the old
//     one by the bound of the move plus half the old version's share, because under
//     overload the shares are high and differ with the number of replicas;
//   - the excess must be significant in Fisher's exact test (p < 1e-8), because 30
//     samples with a common failure rate of 5% exceed a bound of 0.05 by chance
//     every few checks; for slow responses summed over all hosts, the legs of a
//     request count as one observation, because a stall slows down all of them;
//   - a move is held at a stage while its responses on a route are more probable with a
//     worse new version than with an equal one, and one that ends at its deadline, until
//     they are much more probable with an equal one (gate);
//   - a response is slow when it takes more than twice the old version's median
//     on that route and host, and at least 5 ms more than the median.
//
// A running move leaves 10% of the requests to the old version even at the
// last stage; without them a fault of the new version could not be told from
// overload. All requests go to the new version once the move is done.
package toucancanary

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanrank"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/toucanstair/toucancatalog"
)

// KeyPrefix precedes the name of a move in its key in the store; the value is
// an encoded toucanpb.MoveState.
const KeyPrefix = "move/"

const (
	// maxRolledBack bounds the remembered moves that were rolled back and are not
	// in the configuration.
	maxRolledBack = 256
	// maxRenamed bounds the remembered earlier names of moves.
	maxRenamed = 256
	// maxGossipMoves bounds the move states in one heartbeat.
	maxGossipMoves = 16
	// maxStringBytes bounds the reason, source and route that a heartbeat brings, in
	// bytes. The same value bounds the number of routes with evidence of a move.
	maxStringBytes = 200
	// maxSources bounds the processes whose evidence is kept for one move: the 3,900
	// hosts of the design size and some restarts during a stage.
	maxSources = 4096
	// maxGossipPairs bounds the counter pairs in one heartbeat, about 1 KB.
	maxGossipPairs = 8
	// maxPeers bounds the peers for which the evidence already sent is tracked.
	maxPeers = 256
	// resendInterval is how often all evidence is sent to a peer again, because a
	// heartbeat may have been lost.
	resendInterval = 10 * time.Second
)

// Store is the part of the platform's store that Controller uses. Get returns nil
// for a missing key; Put fails unless the key has the revision prev.
type Store interface {
	Get(ctx context.Context, key string) (*toucanpb.Entry, error)
	Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (uint64, error)
}

// Controller decides which version serves a request and when a move advances or
// is rolled back. The fields are set before Run; Store, IsLeader and Log may be nil.
type Controller struct {
	// SourceID identifies this process in evidence; it must differ after a restart,
	// because the counters then start from 0.
	SourceID toucanhost.ID
	Catalog  func() *toucancatalog.Catalog
	Store    Store
	// IsLeader reports whether this host advances the stages.
	IsLeader func() bool
	// MinStageFraction is the minimum duration of a stage, as a fraction of the time
	// left divided by the stages left; 0 means 0.5.
	MinStageFraction float64
	// EndAtDeadline ends a move at its deadline: it is done if nothing holds it, and
	// rolled back otherwise. Without it, the move stays at its stage in phase late.
	EndAtDeadline bool
	// RouteShare is the largest share of a route's requests that goes to the new version,
	// used with EndAtDeadline. A route with so few requests that either version may get fewer
	// than the move's samples needs none. 0 means that each route needs them.
	RouteShare float64
	Log        *zap.Logger

	evaluations atomic.Pointer[map[string]*evaluation] // by move name; the map is replaced, never changed
	gossipTurn  atomic.Uint64                          // rotates the move that Offer starts with

	// renamed holds the earlier names of moves by their names; the map is replaced, never
	// changed.
	renamed atomic.Pointer[map[string]string]

	mu         sync.Mutex
	rolledBack map[string]string // reasons of rolled-back moves not in the configuration, by name
}

// VersionFor returns the version that serves a request, or "" when any may. All
// hosts return the same version at the same stage. Until the state of a move
// is known from the store or a peer, the old version serves.
func (c *Controller) VersionFor(s toucanservice.Name, request string) string {
	m := c.move(s)
	if m == nil {
		return ""
	}
	if ev := c.evaluationOf(m); ev != nil && (toucanrank.Ranker{Seed: m.GetName()}).Fraction(request) < ev.share() {
		return m.GetTo()
	}
	return m.GetFrom()
}

// NewVersionShare returns the share of the requests that the new version of a
// service serves at the current stage of its move, 0 to 1.
func (c *Controller) NewVersionShare(s toucanservice.Name) float64 {
	if m := c.move(s); m != nil {
		if ev := c.evaluationOf(m); ev != nil {
			return ev.share()
		}
	}
	return 0
}

// NewVersionMayServe reports whether the new version of a service may serve
// requests for which no replica of the old one is available: the move has begun
// and was not rolled back.
func (c *Controller) NewVersionMayServe(s toucanservice.Name) bool {
	m := c.move(s)
	if m == nil {
		return false
	}
	ev := c.evaluationOf(m)
	if ev == nil {
		return false
	}
	switch ev.state().GetPhase() {
	case toucanpb.MoveState_PHASE_RUNNING, toucanpb.MoveState_PHASE_LATE, toucanpb.MoveState_PHASE_DONE:
		return true
	}
	return false
}

// RecordResponse counts a response. Refusals that do not depend on the version,
// such as those of a stopping host or after the caller cancelled, are not counted. A
// negative latency does not count, only whether the request failed.
func (c *Controller) RecordResponse(s toucanservice.Name, version, route string, code toucanpb.Code, took time.Duration) {
	m := c.move(s)
	if m == nil || version != m.GetFrom() && version != m.GetTo() {
		return
	}
	fail, counts := classify(code)
	ev := c.evaluationOf(m)
	if ev == nil || !counts || c.Catalog().Route(s, route) == nil {
		return
	}
	isNew, stats, reason := version == m.GetTo(), ev.route(route), ""
	if code == toucanpb.Code_CODE_REJECTED {
		reason = stats.observeRejection(isNew, took)
	} else {
		reason = stats.observe(isNew, fail, took)
	}
	if reason != "" {
		c.rollBack(ev, "host "+string(c.SourceID)+", route "+route+": "+reason)
	}
}

// classify returns whether a code is a failure and whether it is counted at all.
func classify(code toucanpb.Code) (fail, counts bool) {
	switch code {
	case toucanpb.Code_CODE_UNSPECIFIED, toucanpb.Code_CODE_REJECTED:
		return false, true
	case toucanpb.Code_CODE_INVALID, toucanpb.Code_CODE_TIMEOUT, toucanpb.Code_CODE_REFUSED,
		toucanpb.Code_CODE_DOWN, toucanpb.Code_CODE_FAILED, toucanpb.Code_CODE_VERSION:
		return true, true
	}
	return false, false
}

// States returns the states of the moves in the configuration, in its order.
// A move whose state is not known yet has the phase unspecified.
func (c *Controller) States() []*toucanpb.MoveState {
	var out []*toucanpb.MoveState
	for _, m := range c.moves() {
		if ev := c.evaluationOf(m); ev != nil {
			s := ev.state()
			s.Name = m.GetName()
			out = append(out, s)
		}
	}
	return out
}

// Offer adds the states of moves and new evidence to a heartbeat.
func (c *Controller) Offer(to *toucanpb.Member, g *toucanpb.Gossip) {
	pairs, moves := maxGossipPairs, c.moves()
	turn := int(c.gossipTurn.Add(1) % uint64(max(1, len(moves))))
	// Each heartbeat starts with a different move and divides the remaining room
	// evenly, so that no move crowds out the evidence of the others.
	for n := range moves {
		m := moves[(turn+n)%len(moves)]
		ev := c.evaluationOf(m)
		if ev == nil {
			continue
		}
		if s := ev.state(); s.GetPhase() != toucanpb.MoveState_PHASE_UNSPECIFIED && len(g.GetMoves()) < maxGossipMoves {
			g.Moves = append(g.Moves, s)
		}
		left := len(moves) - n
		sent := ev.unsentEvidence(string(c.SourceID), to.GetId(), (pairs+left-1)/left)
		g.Evidence = append(g.Evidence, sent...)
		pairs -= len(sent) / 2
	}
}

// Accept merges the states and the evidence of a heartbeat.
func (c *Controller) Accept(_ *toucanpb.Member, g *toucanpb.Gossip) {
	for i, s := range g.GetMoves() {
		if i == maxGossipMoves {
			break
		}
		ev := c.evaluation(s.GetName())
		if ev != nil {
			c.mergeState(ev, s)
		} else if s.GetPhase() == toucanpb.MoveState_PHASE_BACK {
			c.markRolledBack(s.GetName(), s.GetReason())
		}
	}
	for _, e := range g.GetEvidence() {
		if ev := c.evaluation(e.GetMove()); ev != nil && e.GetSource() != string(c.SourceID) {
			ev.mergeEvidence(e)
		}
	}
}

// markRolledBack remembers that a move outside the configuration was rolled back.
// It forgets arbitrary moves beyond maxRolledBack.
func (c *Controller) markRolledBack(name, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rolledBack == nil {
		c.rolledBack = map[string]string{}
	}
	for old := range c.rolledBack {
		if len(c.rolledBack) < maxRolledBack {
			break
		}
		delete(c.rolledBack, old)
	}
	c.rolledBack[name] = reason
}

func (c *Controller) move(s toucanservice.Name) *toucanpb.Move {
	if c.Catalog == nil || c.Catalog() == nil {
		return nil
	}
	return c.Catalog().Move(s)
}

func (c *Controller) moves() []*toucanpb.Move {
	if c.Catalog == nil || c.Catalog() == nil {
		return nil
	}
	return c.Catalog().Rules().GetMoves()
}

func (c *Controller) evaluation(name string) *evaluation {
	if evs := c.evaluations.Load(); evs != nil {
		return c.find(*evs, name)
	}
	return nil
}

// find returns the evaluation of a move by its name or one that it had earlier, or nil. The
// evaluations get the names of the configuration some time after it.
func (c *Controller) find(evs map[string]*evaluation, name string) *evaluation {
	if ev := evs[name]; ev != nil {
		return ev
	}
	renamed := c.renamed.Load()
	if renamed == nil {
		return nil
	}
	for range len(*renamed) {
		if name = (*renamed)[name]; evs[name] != nil {
			return evs[name]
		}
	}
	return nil
}

// evaluationOf returns the evaluation of a move, nil if there is none yet. After the store
// came back from an earlier copy, a move may have the name of another one before it.
func (c *Controller) evaluationOf(m *toucanpb.Move) *evaluation {
	ev := c.evaluation(m.GetName())
	if ev == nil || ev.move.Load().GetTo() != m.GetTo() {
		return nil
	}
	return ev
}

// isCurrent reports whether an evaluation is that of the move of its service.
func (c *Controller) isCurrent(ev *evaluation) bool {
	m := c.move(toucanservice.Name(ev.move.Load().GetService()))
	return m != nil && c.evaluationOf(m) == ev
}

// Rename gives a move another name, under which it goes on with its state and evidence
// once the configuration has it. unsaved says that the store may lack the state and that
// this host writes it.
func (c *Controller) Rename(from, to string, unsaved bool) {
	if ev := c.evaluation(from); ev != nil && unsaved {
		ev.markUnsaved()
	}
	if from == to {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	renamed := map[string]string{}
	if old := c.renamed.Load(); old != nil && len(*old) < maxRenamed {
		maps.Copy(renamed, *old)
	}
	renamed[to] = from
	c.renamed.Store(&renamed)
}

// applyConfig creates, updates and removes evaluations to match the configuration.
// Only the goroutine of Run calls it.
func (c *Controller) applyConfig() {
	old := map[string]*evaluation{}
	if evs := c.evaluations.Load(); evs != nil {
		old = *evs
	}
	next := map[string]*evaluation{}
	for _, m := range c.moves() {
		ev := c.find(old, m.GetName())
		if ev == nil || ev.move.Load().GetTo() != m.GetTo() {
			ev = newEvaluation(m)
			c.mu.Lock()
			reason, known := c.rolledBack[m.GetName()]
			c.mu.Unlock()
			if known {
				ev.mergeState(&toucanpb.MoveState{Phase: toucanpb.MoveState_PHASE_BACK, Reason: reason})
			}
		}
		legs := c.Catalog().Service(toucanservice.Name(m.GetService())).GetShards()
		ev.applyConfig(m, uint64(max(1, legs)))
		next[m.GetName()] = ev
	}
	for name, ev := range old {
		if s := ev.state(); next[name] == nil && s.GetPhase() == toucanpb.MoveState_PHASE_BACK {
			c.markRolledBack(name, s.GetReason())
		}
	}
	if !maps.Equal(old, next) {
		c.evaluations.Store(&next)
	}
}

// rollBack rolls a move back on this host at once; heartbeats and the store
// propagate the state.
func (c *Controller) rollBack(ev *evaluation, reason string) {
	if ev.rollBack(reason) {
		c.logState(ev)
	}
}

// mergeState merges a state from a peer or the store.
func (c *Controller) mergeState(ev *evaluation, s *toucanpb.MoveState) {
	if ev.mergeState(s) {
		c.logState(ev)
	}
}

func (c *Controller) logState(ev *evaluation) {
	if c.Log == nil {
		return
	}
	now := ev.state()
	c.Log.Info("move state", zap.String("move", now.GetName()), zap.Stringer("phase", now.GetPhase()),
		zap.Uint32("stage", now.GetStage()), zap.String("reason", now.GetReason()))
}
