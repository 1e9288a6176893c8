package toucanrollout

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/toucanstair/toucanmirror"
)

// StateKeyPrefix precedes the name of the service in the key of a rollout's state.
const StateKeyPrefix = "moves/"

// Order is an operator's order to move the requests of a service to a version.
type Order struct {
	Service   toucanservice.Name
	Version   string
	TimeLimit time.Duration // from the moment when this host sees the order
	Number    uint64        // increases with each order of the service within an era of the store
	Era       toucanmirror.Era
}

// isNewerThan reports whether the order was written, or written again, after another one
// of its service.
func (o Order) isNewerThan(other Order) bool {
	return o.Era > other.Era || o.Era == other.Era && o.Number > other.Number
}

// hasContentOf reports whether both orders move their service alike.
func (o Order) hasContentOf(other Order) bool {
	return o.Version == other.Version && o.TimeLimit == other.TimeLimit
}

// name returns the name of the order's move, unique among all orders.
func (o Order) name() string { return string(o.Service) + "@" + strconv.FormatUint(o.Number, 10) }

// State is the state of a rollout that all hosts share.
type State struct {
	Service  toucanservice.Name
	Number   uint64 // of the order
	Version  string // new version
	Phase    toucanpb.MoveState_Phase
	Stage    uint32
	Reason   string
	Deadline time.Time
}

// stateDocument is the JSON value of a state's key.
type stateDocument struct {
	Order    uint64    `json:"order"`
	Version  string    `json:"version"`
	Phase    string    `json:"phase"`
	Stage    uint32    `json:"stage"`
	Reason   string    `json:"reason"`
	Deadline time.Time `json:"deadline"`
}

// DecodeState decodes the value of a state's key. It returns nil for malformed input.
func DecodeState(key string, value []byte) *State {
	var d stateDocument
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
	return json.Marshal(stateDocument{s.Number, s.Version, s.Phase.String(), s.Stage, s.Reason, s.Deadline})
}

// message returns the state as sent in heartbeats.
func (s State) message() *toucanpb.MoveState {
	name := Order{Service: s.Service, Number: s.Number}.name()
	return &toucanpb.MoveState{Name: name, To: s.Version, Phase: s.Phase, Stage: s.Stage, Reason: s.Reason}
}
