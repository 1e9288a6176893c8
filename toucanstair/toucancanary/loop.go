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
	callTimeout = 2 * time.Second
	// learnWithin spreads the first reads of 3,900 hosts over 5 s, about 800 a
	// second; most hosts learn the state from a heartbeat before.
	learnWithin = 5 * time.Second
	learnAgain  = 10 * time.Second
	// leadEvery is how often the leader reads a state and tries to advance it.
	leadEvery = time.Second
	maxPause  = 10 * time.Second
	// minStage leaves heartbeats time to bring the evidence of a stage.
	minStage = 2 * time.Second
	// decideAhead is how long before its deadline a decisive move ends, so that the
	// end is in the store by then.
	decideAhead = leadEvery + tick
	// defaultWait is Judge.Wait when that is 0.
	defaultWait = 0.5
)

// Run judges the moves until ctx ends, and reports its end on the channel.
func (j *Controller) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	stored := make(chan struct{})
	// Calls to the store are made apart, because a slow store must not delay
	// a rollback.
	go func() {
		defer close(stored)
		j.every(ctx, j.keep())
	}()
	go func() {
		j.every(ctx, j.check)
		<-stored
		end <- nil
		close(end)
	}()
	return end
}

func (j *Controller) every(ctx context.Context, f func(context.Context)) {
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

func (j *Controller) check(context.Context) {
	j.sync()
	for _, m := range j.moves() {
		t := j.trial(m.GetName())
		if t == nil {
			continue
		}
		if reason := t.judge(string(j.SourceID), time.Now()); reason != "" {
			j.back(t, reason)
		}
	}
}

// visit is when a move's key is next read or written, and how often that failed.
type visit struct {
	at    time.Time
	fails int
	led   bool
}

// keep returns the function that keeps the states in the store.
func (j *Controller) keep() func(context.Context) {
	visits := map[string]*visit{}
	return func(ctx context.Context) {
		if j.Store == nil {
			return
		}
		leads := j.IsLeader != nil && j.IsLeader()
		held := map[string]*visit{}
		for _, m := range j.moves() {
			t := j.trial(m.GetName())
			if t == nil {
				continue
			}
			v := visits[m.GetName()]
			if v == nil {
				v = &visit{at: time.Now().Add(rand.N(learnWithin))}
			}
			held[m.GetName()] = v
			j.visit(ctx, t, v, leads)
		}
		visits = held
	}
}

func (j *Controller) visit(ctx context.Context, t *trial, v *visit, leads bool) {
	phase := t.state().GetPhase()
	t.mu.Lock()
	unsaved := t.unsaved
	t.mu.Unlock()
	if !leads && !unsaved && phase != toucanpb.MoveState_PHASE_UNSPECIFIED {
		return
	}
	// A new leader and a host with a flag wait only while the store fails.
	fresh := leads && !v.led || unsaved
	if time.Now().Before(v.at) && (v.fails > 0 || !fresh) {
		return
	}
	v.led = leads
	if err := j.settle(ctx, t, leads); err != nil {
		v.fails++
		v.at = time.Now().Add(min(leadEvery<<min(v.fails-1, 10), maxPause)/2 + rand.N(leadEvery))
		// A move that is late is declared so without the store, and at once.
		if deadline := time.Unix(t.move.Load().GetDeadline(), 0); time.Now().Before(deadline) && v.at.After(deadline) {
			v.at = deadline
		}
		return
	}
	v.fails = 0
	v.at = time.Now().Add(learnAgain + rand.N(learnWithin))
	if leads && !t.ended() {
		v.at = time.Now().Add(leadEvery)
	}
}

// settle reads the state in the store, merges it with the state here, and
// writes back what the store lacks.
func (j *Controller) settle(ctx context.Context, t *trial, leads bool) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := KeyPrefix + t.move.Load().GetName()
	e, err := j.Store.Get(call, key)
	if err != nil {
		// The end of the time is a fact that needs no store; it is written later. A move
		// that may be done without this host knowing is not taken back.
		if s := j.advance(t, t.state()); leads && s.GetPhase() == toucanpb.MoveState_PHASE_LATE {
			j.adopt(t, s)
			t.markUnsaved()
		}
		return err
	}
	stored := &toucanpb.MoveState{}
	if e != nil {
		if err := proto.Unmarshal(e.GetValue(), stored); err != nil {
			return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "state of "+key).Because(err)
		}
		j.adopt(t, stored)
	}
	next := t.state()
	if leads {
		next = j.advance(t, next)
	}
	// A host that does not lead writes only what it raised itself.
	ahead := rank(next.GetPhase()) > rank(stored.GetPhase()) || leads && next.GetStage() > stored.GetStage()
	if !ahead {
		t.mu.Lock()
		t.unsaved = t.unsaved && rank(t.phase) > rank(stored.GetPhase())
		t.mu.Unlock()
		return nil
	}
	t.mu.Lock()
	unsaved := t.unsaved
	t.mu.Unlock()
	if !leads && !unsaved {
		return nil
	}
	value, err := proto.Marshal(next)
	if err != nil {
		return toucanfault.NotRun(toucanpb.Code_CODE_INTERNAL, "state of "+key).Because(err)
	}
	if _, err := j.Store.Put(call, key, value, e.GetRevision(), ""); err != nil {
		if j.Log != nil {
			j.Log.Warn("move state not written", zap.String("key", key), zap.Error(err))
		}
		return err
	}
	j.adopt(t, next)
	return nil
}

// advance returns the state that the leader wants: the first stage of a new
// move, the next stage, or the end.
func (j *Controller) advance(t *trial, s *toucanpb.MoveState) *toucanpb.MoveState {
	m := t.move.Load()
	now, deadline := time.Now(), time.Unix(m.GetDeadline(), 0)
	switch s.GetPhase() {
	case toucanpb.MoveState_PHASE_UNSPECIFIED:
		s.Phase = toucanpb.MoveState_PHASE_RUNNING
		return s
	case toucanpb.MoveState_PHASE_RUNNING:
	default:
		return s
	}
	lacking := t.lacking()
	if j.EndAtDeadline {
		deadline = deadline.Add(-decideAhead)
	}
	if !now.Before(deadline) {
		return j.overdue(s, lacking)
	}
	if lacking != "" || now.Sub(t.since()) < j.pace(m, s.GetStage(), t.since()) {
		return s
	}
	if int(s.GetStage()) < len(m.GetSteps()) {
		s.Stage++
	} else {
		s.Phase = toucanpb.MoveState_PHASE_DONE
	}
	return s
}

// overdue returns the state of a move whose deadline has passed.
func (j *Controller) overdue(s *toucanpb.MoveState, lacking string) *toucanpb.MoveState {
	reason := lacking
	if reason == "" {
		reason = "the store or the leader was not there in time"
	}
	switch {
	case !j.EndAtDeadline:
		s.Phase, s.Reason = toucanpb.MoveState_PHASE_LATE, reason
	case lacking == "":
		s.Phase, s.Reason = toucanpb.MoveState_PHASE_DONE, "done after its deadline: "+reason
	default:
		s.Phase, s.Reason = toucanpb.MoveState_PHASE_BACK, "not done by its deadline: "+reason
	}
	return s
}

// ended reports whether the state is final and written.
func (t *trial) ended() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return rank(t.phase) >= rank(toucanpb.MoveState_PHASE_DONE) && !t.unsaved
}

func (t *trial) since() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entered
}

// pace returns how long a stage lasts at least: a part of an even share of the
// time left, so that each stage gets time for late faults and the rest remains
// for stages that wait for evidence or the store.
func (j *Controller) pace(m *toucanpb.Move, stage uint32, entered time.Time) time.Duration {
	wait := j.MinStageFraction
	if wait <= 0 {
		wait = defaultWait
	}
	left := time.Unix(m.GetDeadline(), 0).Sub(entered)
	even := left / time.Duration(len(m.GetSteps())+1-int(stage))
	return max(time.Duration(wait*float64(even)), minStage)
}
