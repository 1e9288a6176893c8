package toucanrollout

import (
	"context"

	"google.golang.org/protobuf/proto"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/toucanstair/toucancanary"
)

// states is the judge's view of the store. The judge has a key for each move;
// the store has one for each service, with the number of the order in its value.
type states struct{ r *Manager }

// ordered returns the order behind a key of the judge.
func (s states) ordered(key string) (*move, error) {
	if ms := s.r.moves.Load(); ms != nil {
		for _, m := range *ms {
			if toucancanary.KeyPrefix+m.name() == key {
				return m, nil
			}
		}
	}
	return nil, toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, "the order of "+key+" is gone")
}

func stateKey(s toucanservice.Name) string { return StateKeyPrefix + string(s) }

// Get returns the state of a move. The state of an earlier order reads as none,
// with the revision that a write has to expect.
func (s states) Get(ctx context.Context, key string) (*toucanpb.Entry, error) {
	m, err := s.ordered(key)
	if err != nil {
		return nil, err
	}
	value, revision, err := s.r.Store.Get(ctx, stateKey(m.Service))
	if err != nil || revision == 0 {
		return nil, err
	}
	e := &toucanpb.Entry{Key: key, Revision: revision}
	held := DecodeState(stateKey(m.Service), value)
	if held == nil || held.Number != m.Number {
		return e, nil
	}
	s.r.ApplyStoredState(*held)
	e.Value, err = proto.Marshal(held.message())
	return e, err
}

// Put writes the state of a move if its key has the revision prev.
func (s states) Put(ctx context.Context, key string, value []byte, prev uint64, _ string) (uint64, error) {
	m, err := s.ordered(key)
	if err != nil {
		return 0, err
	}
	var next toucanpb.MoveState
	if err := proto.Unmarshal(value, &next); err != nil {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "state of "+key).Because(err)
	}
	state := State{
		Service: m.Service, Number: m.Number, Version: m.Version, Phase: next.GetPhase(), Stage: next.GetStage(),
		Reason: next.GetReason(), Deadline: m.deadline,
	}
	raw, err := state.encode()
	if err != nil {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_INTERNAL, "state of "+key).Because(err)
	}
	return s.r.Store.WriteState(ctx, stateKey(m.Service), raw, prev, Status{m.Service, m.Version, phaseOf(next.GetPhase())})
}

func phaseOf(p toucanpb.MoveState_Phase) Phase {
	switch p {
	case toucanpb.MoveState_PHASE_DONE:
		return Done
	case toucanpb.MoveState_PHASE_BACK:
		return RolledBack
	}
	return Running
}
