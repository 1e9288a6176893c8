package toucancommand

import (
	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucancanary"
	"toucanstair.example/toucanstair/toucanconfig"
	"toucanstair.example/toucanstair/toucanmembership"
)

// viewReporter provides the field view of the state page.
type viewReporter struct{ membership *toucanmembership.Manager }

type viewState struct {
	Number    uint64   `json:"number"`
	Joined    bool     `json:"joined"`
	Members   []string `json:"members"`
	Witnesses []string `json:"witnesses"`
}

// State returns the zone view that this host knows.
func (r viewReporter) State() any {
	view := r.membership.View()
	state := viewState{Number: view.Number(), Joined: r.membership.Joined(), Members: []string{}, Witnesses: []string{}}
	for _, member := range view.Members() {
		state.Members = append(state.Members, member.GetId())
	}
	for _, member := range view.Proto().GetWitnesses() {
		state.Witnesses = append(state.Witnesses, member.GetId())
	}
	return state
}

// configurationReporter provides the field configuration of the state page.
type configurationReporter struct{ syncer *toucanconfig.Syncer }

type configurationState struct {
	Revision uint64  `json:"revision"`
	Change   string  `json:"change"`
	Age      float64 `json:"age"` // seconds
	Source   string  `json:"source"`
	Refused  string  `json:"refused"` // the latest refusal, also of an earlier revision; "" if there was none
}

// State returns the configuration in effect and the last refusal.
func (r configurationReporter) State() any {
	status := r.syncer.Status()
	state := configurationState{Revision: status.Revision, Change: status.Change, Age: status.Age.Seconds(), Source: status.Source}
	if status.Refusal != nil {
		state.Refused = status.Refusal.String()
	}
	return state
}

// rolloutReporter provides the field moves of the state page.
type rolloutReporter struct{ canary *toucancanary.Controller }

type rolloutState struct {
	Name   string `json:"name"`
	Phase  string `json:"phase"`
	Stage  uint32 `json:"stage"`
	Reason string `json:"reason"`
}

// State returns the states of the rollouts in the configuration.
func (r rolloutReporter) State() any {
	states := []rolloutState{}
	for _, rollout := range r.canary.States() {
		states = append(states, rolloutState{rollout.GetName(), phaseName(rollout.GetPhase()), rollout.GetStage(), rollout.GetReason()})
	}
	return states
}

// phaseName returns the name of a phase as it appears in metrics and on the state page.
func phaseName(p toucanpb.MoveState_Phase) string {
	return toucanfault.EnumName(p.String(), "PHASE_")
}
