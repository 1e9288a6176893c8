package toucancommand

import (
	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucancanary"
	"toucanstair.example/toucanstair/toucanconfig"
	"toucanstair.example/toucanstair/toucanmembership"
)

// membership is the state page's part on the zone view.
type membership struct{ members *toucanmembership.Manager }

type viewState struct {
	Number    uint64   `json:"number"`
	Joined    bool     `json:"joined"`
	Members   []string `json:"members"`
	Witnesses []string `json:"witnesses"`
}

// State returns the zone view as this host knows it.
func (m membership) State() any {
	v := m.members.View()
	s := viewState{Number: v.Number(), Joined: m.members.Joined(), Members: []string{}, Witnesses: []string{}}
	for _, o := range v.Members() {
		s.Members = append(s.Members, o.GetId())
	}
	for _, o := range v.Proto().GetWitnesses() {
		s.Witnesses = append(s.Witnesses, o.GetId())
	}
	return s
}

// configuration is the state page's part on the configuration.
type configuration struct{ keeper *toucanconfig.Syncer }

type configurationState struct {
	Revision uint64  `json:"revision"`
	Change   string  `json:"change"`
	Age      float64 `json:"age"` // seconds
	Source   string  `json:"source"`
	Refused  string  `json:"refused"`
}

// State returns the revision in effect and the last refusal.
func (c configuration) State() any {
	s := c.keeper.Status()
	out := configurationState{Revision: s.Revision, Change: s.Change, Age: s.Age.Seconds(), Source: s.Source}
	if s.Refusal != nil {
		out.Refused = s.Refusal.String()
	}
	return out
}

// moves is the state page's part on moves to new versions.
type moves struct{ judge *toucancanary.Controller }

type moveState struct {
	Name   string `json:"name"`
	Phase  string `json:"phase"`
	Stage  uint32 `json:"stage"`
	Reason string `json:"reason"`
}

// State returns the states of the moves in the configuration.
func (m moves) State() any {
	out := []moveState{}
	for _, s := range m.judge.States() {
		out = append(out, moveState{s.GetName(), phaseWord(s.GetPhase()), s.GetStage(), s.GetReason()})
	}
	return out
}

func phaseWord(p toucanpb.MoveState_Phase) string {
	return toucanfault.Word(p.String(), "PHASE_")
}
