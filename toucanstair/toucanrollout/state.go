package toucanrollout

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanservice"
)

// StateKeyPrefix is the prefix of the keys that hold the states of moves, one for each
// service.
const StateKeyPrefix = "moves/"

// Order asks for the requests of a service to move to a version.
type Order struct {
	Service   toucanservice.Name
	Version   string
	TimeLimit time.Duration // from the order on
	Number    uint64        // of the order; a later order has a higher one
}

// name identifies the order among all of its service.
func (o Order) name() string { return string(o.Service) + "@" + strconv.FormatUint(o.Number, 10) }

// State is how far a move is, as all hosts see it.
type State struct {
	Service  toucanservice.Name
	Number   uint64 // of the order
	Version  string // that the requests move to
	Phase    toucanpb.MoveState_Phase
	Stage    uint32
	Reason   string
	Deadline time.Time
}

// document is the value of a state's key.
type document struct {
	Order    uint64    `json:"order"`
	Version  string    `json:"version"`
	Phase    string    `json:"phase"`
	Stage    uint32    `json:"stage"`
	Reason   string    `json:"reason"`
	Deadline time.Time `json:"deadline"`
}

// DecodeState returns the state in a key, or nil for one that can't be read.
func DecodeState(key string, value []byte) *State {
	var d document
	if len(key) <= len(StateKeyPrefix) || json.Unmarshal(value, &d) != nil {
		return nil
	}
	phase, known := toucanpb.MoveState_Phase_value[d.Phase]
	if !known {
		return nil
	}
	return &State{
		Service: toucanservice.Name(strings.TrimPrefix(key, StateKeyPrefix)), Number: d.Order, Version: d.Version,
		Phase: toucanpb.MoveState_Phase(phase), Stage: d.Stage, Reason: d.Reason, Deadline: d.Deadline,
	}
}

func (s State) encode() ([]byte, error) {
	return json.Marshal(document{s.Number, s.Version, s.Phase.String(), s.Stage, s.Reason, s.Deadline})
}

// message returns the state as hosts exchange it.
func (s State) message() *toucanpb.MoveState {
	name := Order{Service: s.Service, Number: s.Number}.name()
	return &toucanpb.MoveState{Name: name, Phase: s.Phase, Stage: s.Stage, Reason: s.Reason}
}
