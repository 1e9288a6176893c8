package toucancanary

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
)

const (
	// callTimeout bounds one read and write of a state in the store.
	callTimeout = 2 * time.Second
	// firstReadSpread spreads the first reads of 3,900 hosts, the design size, over 5 s,
	// about 800 a second; most hosts get the state from a heartbeat before. Later reads
	// are spread by as much.
	firstReadSpread = 5 * time.Second
	// rereadInterval is the time from a successful read of a state to the next one while
	// the state is unknown, and at the leader after the end of the move.
	rereadInterval = 10 * time.Second
	// leaderInterval is how often the leader reads a state and tries to advance it.
	leaderInterval = time.Second
	// maxBackoff bounds the backoff, which doubles with each failure of the store; the
	// wait is half of it plus up to leaderInterval.
	maxBackoff = 10 * time.Second
	// minStageTime bounds minStageDuration from below; it leaves heartbeats time to
	// bring the evidence of a stage.
	minStageTime = 2 * time.Second
	// decisionLead is how long before its deadline a move with EndAtDeadline ends, so
	// that the final state is in the store by then.
	decisionLead = leaderInterval + tick
	// defaultMinStageFraction replaces a MinStageFraction of 0.
	defaultMinStageFraction = 0.5
)

// Run evaluates the moves in the background until ctx ends. The channel then
// delivers nil and is closed.
func (c *Controller) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	storeDone := make(chan struct{})
	// The store has a goroutine of its own, because a slow store must not delay a
	// rollback.
	go func() {
		defer close(storeDone)
		c.tickLoop(ctx, c.storeSync())
	}()
	go func() {
		c.tickLoop(ctx, c.checkRollback)
		<-storeDone
		done <- nil
		close(done)
	}()
	return done
}

// tickLoop calls f at each tick until ctx ends.
func (c *Controller) tickLoop(ctx context.Context, f func(context.Context)) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f(ctx)
		}
	}
}

// checkRollback rolls back each move whose new version is worse.
func (c *Controller) checkRollback(context.Context) {
	c.applyConfig()
	for _, m := range c.moves() {
		ev := c.evaluationOf(m)
		if ev == nil {
			continue
		}
		if reason := ev.rollbackReason(string(c.SourceID), time.Now()); reason != "" {
			c.rollBack(ev, reason)
		}
	}
}

// syncSchedule says when a move is next synchronized with the store.
type syncSchedule struct {
	ev        *evaluation // of the move
	next      time.Time
	failures  int
	wasLeader bool
}

// storeSync returns the function that synchronizes all moves with the store at a
// tick.
func (c *Controller) storeSync() func(context.Context) {
	schedules := map[string]*syncSchedule{}
	return func(ctx context.Context) {
		if c.Store == nil {
			return
		}
		isLeader := c.IsLeader != nil && c.IsLeader()
		next := map[string]*syncSchedule{}
		for _, m := range c.moves() {
			ev := c.evaluationOf(m)
			if ev == nil {
				continue
			}
			schedule := schedules[m.GetName()]
			if schedule == nil || schedule.ev != ev {
				schedule = &syncSchedule{ev: ev, next: time.Now().Add(rand.N(firstReadSpread))}
			}
			next[m.GetName()] = schedule
			c.syncIfDue(ctx, ev, schedule, isLeader)
		}
		schedules = next
	}
}

// syncIfDue synchronizes a move when its schedule says so, and schedules the next
// time. Hosts other than the leader only read an unknown state and write unsaved
// changes.
func (c *Controller) syncIfDue(ctx context.Context, ev *evaluation, schedule *syncSchedule, isLeader bool) {
	phase := ev.state().GetPhase()
	ev.mu.Lock()
	unsaved := ev.unsaved
	ev.mu.Unlock()
	if !isLeader && !unsaved && phase != toucanpb.MoveState_PHASE_UNSPECIFIED {
		return
	}
	// A new leader and a host with an unsaved state wait only after store errors.
	urgent := isLeader && !schedule.wasLeader || unsaved
	if time.Now().Before(schedule.next) && (schedule.failures > 0 || !urgent) {
		return
	}
	schedule.wasLeader = isLeader
	if err := c.syncWithStore(ctx, ev, isLeader); err != nil {
		schedule.failures++
		schedule.next = time.Now().Add(min(leaderInterval<<min(schedule.failures-1, 10), maxBackoff)/2 + rand.N(leaderInterval))
		// At the deadline a move becomes late at once, even without the store.
		if deadline := time.Unix(ev.move.Load().GetDeadline(), 0); time.Now().Before(deadline) && schedule.next.After(deadline) {
			schedule.next = deadline
		}
		return
	}
	schedule.failures = 0
	schedule.next = time.Now().Add(rereadInterval + rand.N(firstReadSpread))
	if isLeader && !ev.ended() {
		schedule.next = time.Now().Add(leaderInterval)
	}
}

// syncWithStore reads the state in the store, merges it with the local state, and
// writes the result if the store is behind.
func (c *Controller) syncWithStore(ctx context.Context, ev *evaluation, isLeader bool) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := KeyPrefix + ev.move.Load().GetName()
	e, err := c.Store.Get(callCtx, key)
	if err != nil {
		// The deadline passes without the store too: the late state is adopted now and
		// written later. Another host may have completed the move, so it is not rolled
		// back.
		if s := c.nextState(ev, ev.state()); isLeader && s.GetPhase() == toucanpb.MoveState_PHASE_LATE {
			c.mergeState(ev, s)
			ev.markUnsaved()
		}
		return err
	}
	stored := &toucanpb.MoveState{}
	if e != nil {
		if err := proto.Unmarshal(e.GetValue(), stored); err != nil {
			return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "state of "+key).Because(err)
		}
		c.mergeState(ev, stored)
	}
	next := ev.state()
	if isLeader {
		next = c.nextState(ev, next)
	}
	// A host that is not the leader writes only its own changes.
	storeBehind := phaseOrder(next.GetPhase()) > phaseOrder(stored.GetPhase()) || isLeader && next.GetStage() > stored.GetStage()
	if !storeBehind {
		ev.mu.Lock()
		ev.unsaved = ev.unsaved && phaseOrder(ev.phase) > phaseOrder(stored.GetPhase())
		ev.mu.Unlock()
		return nil
	}
	ev.mu.Lock()
	unsaved := ev.unsaved
	ev.mu.Unlock()
	if !isLeader && !unsaved {
		return nil
	}
	if !c.isCurrent(ev) {
		return nil // its name is that of another move now
	}
	value, err := proto.Marshal(next)
	if err != nil {
		return toucanfault.NotRun(toucanpb.Code_CODE_INTERNAL, "state of "+key).Because(err)
	}
	if _, err := c.Store.Put(callCtx, key, value, e.GetRevision(), ""); err != nil {
		if c.Log != nil {
			c.Log.Warn("move state not written", zap.String("key", key), zap.Error(err))
		}
		return err
	}
	c.mergeState(ev, next)
	return nil
}

// nextState returns the state that the leader wants: the first stage of a new
// move, the next stage, or the final phase.
func (c *Controller) nextState(ev *evaluation, s *toucanpb.MoveState) *toucanpb.MoveState {
	m := ev.move.Load()
	now, deadline := time.Now(), time.Unix(m.GetDeadline(), 0)
	switch s.GetPhase() {
	case toucanpb.MoveState_PHASE_UNSPECIFIED:
		s.Phase = toucanpb.MoveState_PHASE_RUNNING
		return s
	case toucanpb.MoveState_PHASE_RUNNING:
	default:
		return s
	}
	if c.EndAtDeadline {
		deadline = deadline.Add(-decisionLead)
	}
	atDeadline := !now.Before(deadline)
	held := ev.hold(c.gate(atDeadline))
	switch {
	case atDeadline && c.EndAtDeadline && held.lacksResponses && now.Before(deadline.Add(decisionLead-tick)):
		return s // a leader that knows more responses decides first
	case atDeadline:
		return c.stateAfterDeadline(s, held.reason)
	}
	if held.reason != "" || now.Sub(ev.stageStarted()) < c.minStageDuration(m, s.GetStage(), ev.stageStarted()) {
		return s
	}
	if int(s.GetStage()) < len(m.GetSteps()) {
		s.Stage++
	} else {
		s.Phase = toucanpb.MoveState_PHASE_DONE
	}
	return s
}

// stateAfterDeadline returns the state of a move whose deadline has passed.
func (c *Controller) stateAfterDeadline(s *toucanpb.MoveState, holdReason string) *toucanpb.MoveState {
	reason := holdReason
	if reason == "" {
		reason = "the store or the leader was not there in time"
	}
	switch {
	case !c.EndAtDeadline:
		s.Phase, s.Reason = toucanpb.MoveState_PHASE_LATE, reason
	case holdReason == "":
		s.Phase, s.Reason = toucanpb.MoveState_PHASE_DONE, "done after its deadline: "+reason
	default:
		s.Phase, s.Reason = toucanpb.MoveState_PHASE_BACK, "not done by its deadline: "+reason
	}
	return s
}

// ended reports whether the phase is final and in the store.
func (ev *evaluation) ended() bool {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	return phaseOrder(ev.phase) >= phaseOrder(toucanpb.MoveState_PHASE_DONE) && !ev.unsaved
}

// stageStarted returns when this host learned of the stage.
func (ev *evaluation) stageStarted() time.Time {
	ev.mu.Lock()
	defer ev.mu.Unlock()
	return ev.stageStart
}

// minStageDuration returns how long a stage lasts at least: a fraction of the time
// left divided by the stages left, so that each stage can show late faults and the
// rest remains for stages that wait for evidence or the store.
func (c *Controller) minStageDuration(m *toucanpb.Move, stage uint32, entered time.Time) time.Duration {
	fraction := c.MinStageFraction
	if fraction <= 0 {
		fraction = defaultMinStageFraction
	}
	left := time.Unix(m.GetDeadline(), 0).Sub(entered)
	evenShare := left / time.Duration(len(m.GetSteps())+1-int(stage))
	return max(time.Duration(fraction*float64(evenShare)), minStageTime)
}
