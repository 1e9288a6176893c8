// Package toucanrollout carries out orders to move a service's requests to
// another version of its targets. The comparison of the versions and the stages
// are toucancanary's; this package gives it the orders, what the targets' responses
// showed, the evidence of the other hosts and the state in the store.
//
// It answers the load of a version that fails or slows down under its first
// requests: until the move is done, the new version gets a small share, and the
// repeats of its failed requests go to the old one.
package toucanrollout

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
	"toucanstair.example/toucanstair/toucancanary"
	"toucanstair.example/toucanstair/toucancatalog"
	"toucanstair.example/toucanstair/toucansource"
)

const (
	// wait is the part of the time that passes before a move is done, since some
	// faults show late. The rest is for hosts and a store that are away.
	wait = 0.75
	// worseBound is how much higher the new version's share of failures, or of slow
	// responses, may be; one pause among ten responses is no fault.
	worseBound = 0.1
	// samples is the number of responses of the new version on each route that a
	// move needs.
	samples = 8
	// routeLeast is the number of responses on a host from which on a route is
	// compared; a move would wait for samples of a rarer one that never come.
	routeLeast = 4
	// leaders is the number of hosts that advance moves. Writes are conditional, so
	// a second one does no harm and goes on when the first one has lost the store.
	leaders = 2
)

// Phase says how a move stands, in the operators' terms.
type Phase int

// The phases of a move. A late move goes on running.
const (
	Running Phase = iota
	Done
	RolledBack
)

// Status is what operators read of a move.
type Status struct {
	Service toucanservice.Name
	Version string
	Phase   Phase
}

// Store keeps the states of moves.
type Store interface {
	// Get returns the value of a key and its revision, 0 when there is none.
	Get(ctx context.Context, key string) ([]byte, uint64, error)
	// WriteState writes a state under its key if that has the revision prev, together
	// with the status for the operators, and returns the new revision.
	WriteState(ctx context.Context, key string, value []byte, prev uint64, s Status) (uint64, error)
}

// GossipClient sends a heartbeat to the host at an address.
type GossipClient interface {
	Beat(ctx context.Context, address string, r *toucanpb.BeatRequest) (*toucanpb.BeatReply, error)
}

// Manager keeps the moves that are on order. Its exported fields are set
// before use.
type Manager struct {
	Self      toucansource.Peer
	ProcessID toucanhost.ID // of this process; differs after a restart
	Store     Store
	Peers     func() []toucansource.Peer
	MinHosts  int // hosts that are assumed while fewer are listed
	Gossip    GossipClient
	Log       *zap.Logger

	once    sync.Once
	judge   *toucancanary.Controller
	catalog atomic.Pointer[toucancatalog.Catalog]
	moves   atomic.Pointer[map[toucanservice.Name]*move] // replaced as a whole

	back atomic.Pointer[map[toucanservice.Name]State] // moves that were taken back; replaced as a whole

	mu     sync.Mutex
	orders map[toucanservice.Name]*move
	routes map[toucanservice.Name]map[string]int // responses seen, up to routeLeast
}

// move is an order with what is known of it.
type move struct {
	Order
	deadline time.Time
	exposure *exposure
}

func (r *Manager) init() {
	r.once.Do(func() {
		r.orders = make(map[toucanservice.Name]*move)
		r.back.Store(&map[toucanservice.Name]State{})
		r.routes = make(map[toucanservice.Name]map[string]int)
		r.judge = &toucancanary.Controller{
			SourceID: r.ProcessID, Catalog: r.catalog.Load, Store: states{r}, IsLeader: r.leads, MinStageFraction: wait, EndAtDeadline: true,
			Log: r.Log,
		}
	})
}

// AddOrder takes in an order that was seen at a moment.
func (r *Manager) AddOrder(o Order, now time.Time) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.orders[o.Service]; old != nil && old.Number >= o.Number {
		return
	}
	r.orders[o.Service] = &move{o, now.Add(o.TimeLimit), &exposure{}}
	if back := r.taken(o.Service); back.Version == o.Version && back.Number < o.Number {
		r.keep(o.Service, State{}) // it is given another try
	}
	r.index()
	r.Log.Info("version on order", zap.String("service", string(o.Service)), zap.String("to", o.Version),
		zap.Duration("within", o.TimeLimit), zap.Uint64("revision", o.Number))
}

// RemoveOrder notes that the order of a service is gone. A version that was taken
// back still gets nothing.
func (r *Manager) RemoveOrder(s toucanservice.Name) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.orders[s]
	if m == nil {
		return
	}
	if r.phase(m) == toucanpb.MoveState_PHASE_BACK {
		r.keep(s, State{Number: m.Number, Version: m.Version})
	}
	delete(r.orders, s)
	r.index()
	r.Log.Info("order withdrawn", zap.String("service", string(s)))
}

// ApplyStoredState takes in a state that was read from the store, whoever wrote it.
func (r *Manager) ApplyStoredState(s State) {
	r.init()
	r.mu.Lock()
	m := r.orders[s.Service]
	if s.Phase == toucanpb.MoveState_PHASE_BACK && s.Number >= r.taken(s.Service).Number && (m == nil || m.Number <= s.Number) {
		r.keep(s.Service, s)
	}
	if m != nil && m.Number == s.Number && s.Deadline.Before(m.deadline) {
		r.orders[s.Service] = &move{m.Order, s.Deadline, m.exposure}
		r.index()
	}
	r.mu.Unlock()
	r.judge.Accept(nil, &toucanpb.Gossip{Moves: []*toucanpb.MoveState{s.message()}})
}

// taken returns the last move of a service that was taken back.
func (r *Manager) taken(s toucanservice.Name) State {
	if back := r.back.Load(); back != nil {
		return (*back)[s]
	}
	return State{}
}

// keep notes that a move was taken back; the caller holds mu.
func (r *Manager) keep(service toucanservice.Name, s State) {
	back := maps.Clone(*r.back.Load())
	back[service] = s
	r.back.Store(&back)
}

// index gives the judge the orders as a configuration; the caller holds mu.
func (r *Manager) index() {
	rules := &toucanpb.Rules{}
	moves := make(map[toucanservice.Name]*move, len(r.orders))
	for s, m := range r.orders {
		moves[s] = m
		service := &toucanpb.Service{Name: string(s)}
		for name, seen := range r.routes[s] {
			if seen >= routeLeast {
				service.Routes = append(service.Routes, &toucanpb.Route{Name: name})
			}
		}
		rules.Services = append(rules.Services, service)
		rules.Moves = append(rules.Moves, &toucanpb.Move{
			Name: m.name(), Service: string(s), To: m.Version, Deadline: m.deadline.Unix(),
			Start: share, Bound: worseBound, Samples: samples,
		})
	}
	r.moves.Store(&moves)
	r.catalog.Store(toucancatalog.New(rules))
}

func (r *Manager) move(s toucanservice.Name) *move {
	if ms := r.moves.Load(); ms != nil {
		return (*ms)[s]
	}
	return nil
}

// VersionChoice says which version of a service's targets a request may go to.
type VersionChoice struct {
	Preferred string // the version that it should go to; "": any but Held
	Excluded  string // the version that gets nothing; "": none
}

// ChooseVersion returns the choice for a request of a route. again says that the request
// was sent before: a repeat is left to the old version.
func (r *Manager) ChooseVersion(s toucanservice.Name, route, request string, again bool) VersionChoice {
	m := r.move(s)
	if m == nil {
		return VersionChoice{Excluded: r.taken(s).Version}
	}
	switch part := r.judge.NewVersionShare(s); {
	case part >= 1:
		return VersionChoice{Preferred: m.Version}
	case part == 0, again, toucanrank.Ranker{Seed: m.name()}.Unit(request) >= routeShare, !m.exposure.allows(route, r.hosts()):
		return VersionChoice{Excluded: m.Version}
	}
	return VersionChoice{Preferred: m.Version}
}

// BeginRequest counts a request that is being sent to a target, if that is of the new
// version.
func (r *Manager) BeginRequest(s toucanservice.Name, version, route string) {
	if m := r.move(s); m != nil && version == m.Version {
		m.exposure.begin(route)
	}
}

// EndRequest counts a request that was given to Begin, if it reached the target.
func (r *Manager) EndRequest(s toucanservice.Name, version, route string, reached bool) {
	if m := r.move(s); m != nil {
		m.exposure.end(route, version == m.Version, reached)
	}
}

// hosts returns the number of hosts that share the allowance of the new version,
// this one included.
func (r *Manager) hosts() int {
	n := 1
	for _, p := range r.Peers() {
		if p.ID != r.Self.ID {
			n++
		}
	}
	return max(n, r.MinHosts)
}

func (r *Manager) phase(m *move) toucanpb.MoveState_Phase {
	for _, s := range r.judge.States() {
		if s.GetName() == m.name() {
			return s.GetPhase()
		}
	}
	return toucanpb.MoveState_PHASE_UNSPECIFIED
}

// InProgress reports whether the responses of a service's targets matter.
func (r *Manager) InProgress(s toucanservice.Name) bool { return r.move(s) != nil }

// RecordResponse counts a response, or the failure, of a target of a version. took is
// the time without the way to the target and back, so that targets in different
// regions can be compared.
func (r *Manager) RecordResponse(s toucanservice.Name, version, route string, code toucanpb.Code, took time.Duration) {
	m := r.move(s)
	if m == nil {
		return
	}
	if version != m.Version {
		version = ""
	}
	if r.counts(s, route) {
		r.judge.RecordResponse(s, version, route, code, took)
	}
}

// counts reports whether a route has enough responses to be compared.
func (r *Manager) counts(s toucanservice.Name, route string) bool {
	if c := r.catalog.Load(); c != nil && c.Route(s, route) != nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routes[s] == nil {
		r.routes[s] = make(map[string]int)
	}
	if r.routes[s][route]++; r.routes[s][route] == routeLeast {
		r.index()
	}
	return false
}

// leads reports whether this host advances moves.
func (r *Manager) leads() bool {
	ids := []string{string(r.Self.ID)}
	for _, p := range r.Peers() {
		if p.ID != r.Self.ID {
			ids = append(ids, string(p.ID))
		}
	}
	ranked := toucanrank.Ranker{}.Rank(StateKeyPrefix, ids)
	for _, id := range ranked[:min(leaders, len(ranked))] {
		if id == string(r.Self.ID) {
			return true
		}
	}
	return false
}
