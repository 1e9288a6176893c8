package toucanrollout

import (
	"context"

	"google.golang.org/protobuf/proto"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/toucanstair/toucancanary"
)

// stateStore adapts Store for the canary controller. The controller has a key for each
// move; the store has one for each service, with the number of the order in its value.
type stateStore struct{ mgr *Manager }

// rolloutFor returns the rollout of a key of the canary controller. The error has
// CODE_UNKNOWN when its order was removed.
func (s stateStore) rolloutFor(key string) (*rollout, error) {
	if rollouts := s.mgr.rollouts.Load(); rollouts != nil {
		for _, ro := range *rollouts {
			if toucancanary.KeyPrefix+ro.name() == key {
				return ro, nil
			}
		}
	}
	return nil, toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, "the order of "+key+" was removed")
}

func stateKey(s toucanservice.Name) string { return StateKeyPrefix + string(s) }

// Get returns the state of a move. If the store holds the state of another order or a
// malformed one, the entry has no value, only the revision that the next write must
// expect.
func (s stateStore) Get(ctx context.Context, key string) (*toucanpb.Entry, error) {
	ro, err := s.rolloutFor(key)
	if err != nil {
		return nil, err
	}
	value, revision, err := s.mgr.Store.Get(ctx, stateKey(ro.Service))
	if err != nil || revision == 0 {
		return nil, err
	}
	e := &toucanpb.Entry{Key: key, Revision: revision}
	stored := DecodeState(stateKey(ro.Service), value)
	if stored == nil || stored.Number != ro.Number || stored.Version != ro.Version {
		return e, nil
	}
	s.mgr.ApplyStoredState(*stored)
	e.Value, err = proto.Marshal(stored.message())
	return e, err
}

// Put writes the state of a move. It fails unless its key has the revision prev.
func (s stateStore) Put(ctx context.Context, key string, value []byte, prev uint64, _ string) (uint64, error) {
	ro, err := s.rolloutFor(key)
	if err != nil {
		return 0, err
	}
	var next toucanpb.MoveState
	if err := proto.Unmarshal(value, &next); err != nil {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "state of "+key).Because(err)
	}
	state := State{
		Service: ro.Service, Number: ro.Number, Version: ro.Version, Phase: next.GetPhase(), Stage: next.GetStage(),
		Reason: next.GetReason(), Deadline: ro.deadline,
	}
	raw, err := state.encode()
	if err != nil {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_INTERNAL, "state of "+key).Because(err)
	}
	return s.mgr.Store.WriteState(ctx, stateKey(ro.Service), raw, prev, Status{ro.Service, ro.Version, operatorPhase(next.GetPhase())})
}

func operatorPhase(p toucanpb.MoveState_Phase) Phase {
	switch p {
	case toucanpb.MoveState_PHASE_DONE:
		return Done
	case toucanpb.MoveState_PHASE_BACK:
		return RolledBack
	}
	return Running
}
