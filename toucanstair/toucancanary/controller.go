// Package toucancanary shifts traffic to a new version by stages and takes it
// back when the new version is worse than the old one.
//
// Both versions are compared over the same interval, because the old version
// takes part of the traffic until the end of the move. Four bounds replace a
// plain comparison of shares, so that good versions are not taken back:
//   - the share of the new version must exceed that of the old one by the bound
//     of the move plus half the old version's share, because under overload the
//     shares are high and differ with the number of replicas;
//   - the excess must be significant in Fisher's exact test (1e-8), because 30
//     samples with a common fault rate of 5% exceed a bound of 0.05 by chance
//     every few checks; for slow responses of all hosts, the legs of a request
//     count as one, because a stall slows down all of them;
//   - a move is held at a stage only by an excess that is above chance, too (1e-4);
//   - a response is slow above 2 times the old version's median on that route
//     and host, and above the median by 5 ms at least.
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

// KeyPrefix is the prefix of a move's key in the store; its value is an
// encoded toucanpb.MoveState.
const KeyPrefix = "move/"

const (
	// maxFlags bounds the names of moves that were taken back and are no longer,
	// or not yet, in the configuration.
	maxFlags = 256
	// maxOffered bounds the move states of one heartbeat.
	maxOffered = 16
	// maxReason bounds the reason in a heartbeat.
	maxReason = 200
	// maxSources bounds the hosts whose evidence is held for one move: 3,900
	// hosts and some restarts during a stage.
	maxSources = 4096
	// evidencePairs bounds the evidence of one heartbeat to about 1 KB.
	evidencePairs = 8
	// maxPeers bounds the peers for which a position in the evidence is held.
	maxPeers = 256
	// resendAfter repeats evidence that was lost with a heartbeat.
	resendAfter = 10 * time.Second
)

// Store is the part of the platform's store that Judge uses.
type Store interface {
	Get(ctx context.Context, key string) (*toucanpb.Entry, error)
	Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (uint64, error)
}

// Controller decides which version serves a request. The fields are set before Run;
// Store, Leading and Log may be nil.
type Controller struct {
	// SourceID names this process in evidence; it must differ after a restart,
	// because counters then begin at 0.
	SourceID toucanhost.ID
	Catalog  func() *toucancatalog.Catalog
	Store    Store
	// IsLeader reports whether this host advances the stages.
	IsLeader func() bool
	// MinStageFraction is the part of an even share of the time left that a stage lasts at
	// least; a half when it is 0.
	MinStageFraction float64
	// EndAtDeadline ends a move at its deadline: it is done if nothing holds it back, and
	// taken back otherwise. A move that is not decisive goes on at its stage and is
	// late.
	EndAtDeadline bool
	Log           *zap.Logger

	trials atomic.Pointer[map[string]*trial] // by move name, replaced as a whole
	turn   atomic.Uint64                     // of Offer

	mu    sync.Mutex
	flags map[string]string // reason by name of moves taken back
}

// VersionFor returns the version that serves a request, or "" when any may. All
// hosts return the same version at the same stage. Until the state of a move
// is known from the store or a peer, the old version serves.
func (j *Controller) VersionFor(s toucanservice.Name, request string) string {
	m := j.move(s)
	if m == nil {
		return ""
	}
	if t := j.trial(m.GetName()); t != nil && (toucanrank.Ranker{Seed: m.GetName()}).Unit(request) < t.share() {
		return m.GetTo()
	}
	return m.GetFrom()
}

// NewVersionShare returns the part of the requests that the new version of a service
// serves at the stage of its move, 0 to 1.
func (j *Controller) NewVersionShare(s toucanservice.Name) float64 {
	if m := j.move(s); m != nil {
		if t := j.trial(m.GetName()); t != nil {
			return t.share()
		}
	}
	return 0
}

// NewVersionMayServe reports whether the version that a service moves to may serve the
// requests that no replica of the old one can: the move has begun and was not
// taken back.
func (j *Controller) NewVersionMayServe(s toucanservice.Name) bool {
	m := j.move(s)
	if m == nil {
		return false
	}
	t := j.trial(m.GetName())
	if t == nil {
		return false
	}
	switch t.state().GetPhase() {
	case toucanpb.MoveState_PHASE_RUNNING, toucanpb.MoveState_PHASE_LATE, toucanpb.MoveState_PHASE_DONE:
		return true
	}
	return false
}

// RecordResponse counts a response. Refusals that are not the version's doing, such
// as those of a stopping host or a caller that went away, are not counted.
func (j *Controller) RecordResponse(s toucanservice.Name, version, route string, code toucanpb.Code, took time.Duration) {
	m := j.move(s)
	if m == nil || version != m.GetFrom() && version != m.GetTo() {
		return
	}
	fail, counts := judged(code)
	t := j.trial(m.GetName())
	if t == nil || !counts || j.Catalog().Route(s, route) == nil {
		return
	}
	if reason := t.route(route).observe(version == m.GetTo(), fail, took); reason != "" {
		j.back(t, "host "+string(j.SourceID)+", route "+route+": "+reason)
	}
}

// judged returns whether a code is a failure and whether it counts at all.
func judged(code toucanpb.Code) (fail, counts bool) {
	switch code {
	case toucanpb.Code_CODE_UNSPECIFIED:
		return false, true
	case toucanpb.Code_CODE_INVALID, toucanpb.Code_CODE_TIMEOUT, toucanpb.Code_CODE_REFUSED,
		toucanpb.Code_CODE_DOWN, toucanpb.Code_CODE_FAILED, toucanpb.Code_CODE_VERSION:
		return true, true
	}
	return false, false
}

// States returns the states of the moves in the configuration, in its order.
// A move whose state is not known yet has the phase unspecified.
func (j *Controller) States() []*toucanpb.MoveState {
	var out []*toucanpb.MoveState
	for _, m := range j.moves() {
		if t := j.trial(m.GetName()); t != nil {
			out = append(out, t.state())
		}
	}
	return out
}

// Offer adds the states of moves and new evidence to a heartbeat.
func (j *Controller) Offer(to *toucanpb.Member, g *toucanpb.Gossip) {
	pairs, moves := evidencePairs, j.moves()
	turn := int(j.turn.Add(1) % uint64(max(1, len(moves))))
	// Each heartbeat begins with another move and leaves room for those after
	// it, so that no move keeps the evidence of the others back.
	for n := range moves {
		m := moves[(turn+n)%len(moves)]
		t := j.trial(m.GetName())
		if t == nil {
			continue
		}
		if s := t.state(); s.GetPhase() != toucanpb.MoveState_PHASE_UNSPECIFIED && len(g.GetMoves()) < maxOffered {
			g.Moves = append(g.Moves, s)
		}
		left := len(moves) - n
		sent := t.offer(string(j.SourceID), to.GetId(), (pairs+left-1)/left)
		g.Evidence = append(g.Evidence, sent...)
		pairs -= len(sent) / 2
	}
}

// Accept takes in the states and the evidence of a heartbeat.
func (j *Controller) Accept(_ *toucanpb.Member, g *toucanpb.Gossip) {
	for i, s := range g.GetMoves() {
		if i == maxOffered {
			break
		}
		t := j.trial(s.GetName())
		if t != nil {
			j.adopt(t, s)
		} else if s.GetPhase() == toucanpb.MoveState_PHASE_BACK {
			j.flag(s.GetName(), s.GetReason())
		}
	}
	for _, e := range g.GetEvidence() {
		if t := j.trial(e.GetMove()); t != nil && e.GetSource() != string(j.SourceID) {
			t.merge(e)
		}
	}
}

// flag remembers that a move that is not in the configuration was taken back.
func (j *Controller) flag(name, reason string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.flags == nil {
		j.flags = map[string]string{}
	}
	for old := range j.flags {
		if len(j.flags) < maxFlags {
			break
		}
		delete(j.flags, old)
	}
	j.flags[name] = reason
}

func (j *Controller) move(s toucanservice.Name) *toucanpb.Move {
	if j.Catalog == nil || j.Catalog() == nil {
		return nil
	}
	return j.Catalog().Move(s)
}

func (j *Controller) moves() []*toucanpb.Move {
	if j.Catalog == nil || j.Catalog() == nil {
		return nil
	}
	return j.Catalog().Rules().GetMoves()
}

func (j *Controller) trial(name string) *trial {
	if ts := j.trials.Load(); ts != nil {
		return (*ts)[name]
	}
	return nil
}

// sync makes the trials follow the configuration. Only Run calls it.
func (j *Controller) sync() {
	old := map[string]*trial{}
	if ts := j.trials.Load(); ts != nil {
		old = *ts
	}
	next := map[string]*trial{}
	for _, m := range j.moves() {
		t := old[m.GetName()]
		if t == nil {
			t = newTrial(m)
			j.mu.Lock()
			reason, flagged := j.flags[m.GetName()]
			j.mu.Unlock()
			if flagged {
				t.adopt(&toucanpb.MoveState{Phase: toucanpb.MoveState_PHASE_BACK, Reason: reason})
			}
		}
		legs := j.Catalog().Service(toucanservice.Name(m.GetService())).GetShards()
		t.follow(m, uint64(max(1, legs)))
		next[m.GetName()] = t
	}
	for name, t := range old {
		if s := t.state(); next[name] == nil && s.GetPhase() == toucanpb.MoveState_PHASE_BACK {
			j.flag(name, s.GetReason())
		}
	}
	if !maps.Equal(old, next) {
		j.trials.Store(&next)
	}
}

// back takes a move back on this host at once; heartbeats and the store spread it.
func (j *Controller) back(t *trial, reason string) {
	if t.back(reason) {
		j.report(t)
	}
}

// adopt merges a state from a peer or the store.
func (j *Controller) adopt(t *trial, s *toucanpb.MoveState) {
	if t.adopt(s) {
		j.report(t)
	}
}

func (j *Controller) report(t *trial) {
	if j.Log == nil {
		return
	}
	now := t.state()
	j.Log.Info("move state", zap.String("move", now.GetName()), zap.Stringer("phase", now.GetPhase()),
		zap.Uint32("stage", now.GetStage()), zap.String("reason", now.GetReason()))
}
