// Package toucanrollout carries out orders to move a service's requests to
// another version of its targets. Package toucancanary compares the versions and
// sets the stages; this package supplies it with the orders, the results of
// responses, the evidence of other hosts and the state in the store.
//
// A new version may fail or slow down under its first requests. Until the rollout is
// done, it therefore gets a small share, and retries of its failed requests go to
// the old version.
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
	// minStageFraction is the fraction of the time limit that passes before a rollout
	// is done, because some faults show late. The rest covers unavailable hosts or an
	// unavailable store.
	minStageFraction = 0.75
	// excessBound is how much higher the new version's share of failed or of slow
	// responses may be; one pause among ten responses is no fault.
	excessBound = 0.1
	// minRouteSamples is the number of responses of the new version on each route that
	// a rollout needs, unless the route is too rare.
	minRouteSamples = 8
	// leaderCount is the number of hosts that advance rollouts. Writes are conditional,
	// so a second leader does no harm and continues when the first has lost the store.
	leaderCount = 2
	// rewriteTime is how long after the store came back from an earlier copy an order may
	// take to be written again.
	rewriteTime = 15 * time.Second
)

// Phase is the phase of a rollout as operators see it.
type Phase int

// The phases of a rollout. A late rollout is still Running.
const (
	Running Phase = iota
	Done
	RolledBack
)

// Status is the state of a rollout that is published to operators.
type Status struct {
	Service toucanservice.Name
	Version string
	Phase   Phase
}

// Store stores the states of rollouts.
type Store interface {
	// Get returns the value of a key and its revision, 0 when there is none.
	Get(ctx context.Context, key string) ([]byte, uint64, error)
	// WriteState writes a state under its key, together with the status for operators,
	// and returns the new revision. It fails unless the key has the revision prev.
	WriteState(ctx context.Context, key string, value []byte, prev uint64, s Status) (uint64, error)
}

// GossipClient sends a heartbeat to the host at an address and returns its reply.
type GossipClient interface {
	Beat(ctx context.Context, address string, r *toucanpb.BeatRequest) (*toucanpb.BeatReply, error)
}

// Manager tracks the rollouts that are ordered and decides which version a request
// goes to. Its exported fields are set before use.
type Manager struct {
	Self      toucansource.Peer
	ProcessID toucanhost.ID // differs after a restart
	Store     Store
	// Peers returns the listed hosts, with or without this one, in a slice that the
	// Manager may modify.
	Peers    func() []toucansource.Peer
	MinHosts int // number of hosts assumed while fewer are listed
	Gossip   GossipClient
	Log      *zap.Logger

	once     sync.Once
	canary   *toucancanary.Controller
	catalog  atomic.Pointer[toucancatalog.Catalog]
	rollouts atomic.Pointer[map[toucanservice.Name]*rollout] // copy of orders to read without mu; the map is replaced, never changed

	// rolledBack holds the last rollback of each service; the map is replaced, never changed.
	rolledBack atomic.Pointer[map[toucanservice.Name]State]

	mu     sync.Mutex
	orders map[toucanservice.Name]*rollout
	routes map[toucanservice.Name]map[string]bool // routes with responses
}

// rollout is an order with its deadline and the requests counted for it.
type rollout struct {
	Order
	deadline time.Time
	exposure *exposure
	// repeatsUntil is until when an order with the same content is the same one, written
	// again after the store came back from an earlier copy; zero: it did not.
	repeatsUntil time.Time
}

func (mgr *Manager) init() {
	mgr.once.Do(func() {
		mgr.orders = make(map[toucanservice.Name]*rollout)
		mgr.rolledBack.Store(&map[toucanservice.Name]State{})
		mgr.routes = make(map[toucanservice.Name]map[string]bool)
		mgr.canary = &toucancanary.Controller{
			SourceID: mgr.ProcessID, Catalog: mgr.catalog.Load, Store: stateStore{mgr}, IsLeader: mgr.isLeader,
			MinStageFraction: minStageFraction, EndAtDeadline: true, RouteShare: routeShare, Log: mgr.Log,
		}
	})
}

// AddOrder starts a rollout at now. An order that is not newer than the current one of
// its service is ignored, and one that was written again goes on as it was.
func (mgr *Manager) AddOrder(o Order, now time.Time) {
	mgr.init()
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	if old := mgr.orders[o.Service]; old != nil {
		if !o.isNewerThan(old.Order) {
			return
		}
		if o.hasContentOf(old.Order) && (o.Era > old.Era || now.Before(old.repeatsUntil)) {
			mgr.renumber(old, o, now)
			return
		}
	}
	mgr.orders[o.Service] = &rollout{Order: o, deadline: now.Add(o.TimeLimit), exposure: &exposure{}}
	if back := mgr.lastRolledBack(o.Service); back.Version == o.Version && back.Number < o.Number {
		mgr.setRolledBack(o.Service, State{}) // a new order may try the version again
	}
	mgr.rebuildCatalog()
	mgr.Log.Info("version on order", zap.String("service", string(o.Service)), zap.String("to", o.Version),
		zap.Duration("within", o.TimeLimit), zap.Uint64("revision", o.Number))
}

// renumber goes on with a rollout whose order was written again under another number; the
// caller holds mu. The store may have lost its state with the order, so that a leader
// writes it again.
func (mgr *Manager) renumber(ro *rollout, o Order, now time.Time) {
	if back := mgr.lastRolledBack(o.Service); back.Version == o.Version && back.Number == ro.Number {
		back.Number = o.Number
		mgr.setRolledBack(o.Service, back)
	}
	mgr.canary.Rename(ro.name(), o.name(), mgr.isLeader())
	repeatsUntil := ro.repeatsUntil
	if o.Era > ro.Era {
		repeatsUntil = now.Add(rewriteTime)
	}
	mgr.orders[o.Service] = &rollout{o, ro.deadline, ro.exposure, repeatsUntil}
	mgr.rebuildCatalog()
	mgr.Log.Info("order written again", zap.String("service", string(o.Service)), zap.String("to", o.Version),
		zap.Uint64("before", ro.Number), zap.Uint64("revision", o.Number), zap.Stringer("era", o.Era))
}

// RemoveOrder ends the rollout of a service whose order was withdrawn. A version that
// was rolled back still gets no requests.
func (mgr *Manager) RemoveOrder(s toucanservice.Name) {
	mgr.init()
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	ro := mgr.orders[s]
	if ro == nil {
		return
	}
	if mgr.phase(ro) == toucanpb.MoveState_PHASE_BACK {
		mgr.setRolledBack(s, State{Number: ro.Number, Version: ro.Version})
	}
	delete(mgr.orders, s)
	mgr.rebuildCatalog()
	mgr.Log.Info("order withdrawn", zap.String("service", string(s)))
}

// ApplyStoredState merges a state that was read from the store. Each host sets the
// deadline when it sees the order; the earliest one applies.
func (mgr *Manager) ApplyStoredState(s State) {
	mgr.init()
	mgr.mu.Lock()
	ro := mgr.orders[s.Service]
	if s.Phase == toucanpb.MoveState_PHASE_BACK && s.Number >= mgr.lastRolledBack(s.Service).Number && (ro == nil || ro.Number <= s.Number) {
		mgr.setRolledBack(s.Service, s)
	}
	other := ro != nil && ro.Number == s.Number && ro.Version != s.Version // its number was used again
	if ro != nil && ro.Number == s.Number && !other && s.Deadline.Before(ro.deadline) {
		mgr.orders[s.Service] = &rollout{ro.Order, s.Deadline, ro.exposure, ro.repeatsUntil}
		mgr.rebuildCatalog()
	}
	mgr.mu.Unlock()
	if !other {
		mgr.canary.Accept(nil, &toucanpb.Gossip{Moves: []*toucanpb.MoveState{s.message()}})
	}
}

// lastRolledBack returns the last rollout of a service that was rolled back, or the
// zero State.
func (mgr *Manager) lastRolledBack(s toucanservice.Name) State {
	if back := mgr.rolledBack.Load(); back != nil {
		return (*back)[s]
	}
	return State{}
}

// setRolledBack records the last rollback of a service; the caller holds mu.
func (mgr *Manager) setRolledBack(service toucanservice.Name, s State) {
	back := maps.Clone(*mgr.rolledBack.Load())
	back[service] = s
	mgr.rolledBack.Store(&back)
}

// rebuildCatalog passes the orders to the canary controller as a configuration; the
// caller holds mu.
func (mgr *Manager) rebuildCatalog() {
	rules := &toucanpb.Rules{}
	rollouts := make(map[toucanservice.Name]*rollout, len(mgr.orders))
	for s, ro := range mgr.orders {
		rollouts[s] = ro
		service := &toucanpb.Service{Name: string(s)}
		for name := range mgr.routes[s] {
			service.Routes = append(service.Routes, &toucanpb.Route{Name: name})
		}
		rules.Services = append(rules.Services, service)
		rules.Moves = append(rules.Moves, &toucanpb.Move{
			Name: ro.name(), Service: string(s), To: ro.Version, Deadline: ro.deadline.Unix(),
			Start: newVersionShare, Bound: excessBound, Samples: minRouteSamples,
		})
	}
	mgr.rollouts.Store(&rollouts)
	mgr.catalog.Store(toucancatalog.New(rules))
}

// rollout returns the ordered rollout of a service, or nil.
func (mgr *Manager) rollout(s toucanservice.Name) *rollout {
	if rollouts := mgr.rollouts.Load(); rollouts != nil {
		return (*rollouts)[s]
	}
	return nil
}

// VersionChoice is the version of a service's targets that a request may go to.
type VersionChoice struct {
	Preferred string // version to use if available; "": any but Excluded
	Excluded  string // version that gets no requests; "": none
}

// ChooseVersion returns the choice for a request of a route. A retry never goes to
// the new version before the rollout is done.
func (mgr *Manager) ChooseVersion(s toucanservice.Name, route string, retry bool) VersionChoice {
	ro := mgr.rollout(s)
	if ro == nil {
		return VersionChoice{Excluded: mgr.lastRolledBack(s).Version}
	}
	switch newShare := mgr.canary.NewVersionShare(s); {
	case newShare >= 1:
		return VersionChoice{Preferred: ro.Version}
	case newShare == 0, retry, !ro.exposure.allows(route, mgr.allowance(ro)):
		return VersionChoice{Excluded: ro.Version}
	}
	return VersionChoice{Preferred: ro.Version}
}

// BeginRequest counts a request that is being sent to a target, if the target has the
// new version.
func (mgr *Manager) BeginRequest(s toucanservice.Name, version, route string) {
	if ro := mgr.rollout(s); ro != nil && version == ro.Version {
		ro.exposure.beginRequest(route)
	}
}

// EndRequest records the end of a request that was passed to BeginRequest, of either
// version; reached says whether it reached the target.
func (mgr *Manager) EndRequest(s toucanservice.Name, version, route string, reached bool) {
	if ro := mgr.rollout(s); ro != nil {
		ro.exposure.endRequest(route, version == ro.Version, reached)
	}
}

// allowance returns what this host may now send to the new version of a rollout on top of
// its share.
func (mgr *Manager) allowance(ro *rollout) allowance {
	progress := 1 - time.Until(ro.deadline).Seconds()/ro.TimeLimit.Seconds()
	return allowance{
		extra:    extraRequests * min(1, max(0, progress/minStageFraction)) / float64(mgr.hostCount()),
		rounding: toucanrank.Ranker{Seed: ro.name()}.Fraction(string(mgr.Self.ID)),
	}
}

// hostCount returns the number of hosts that share extraRequests, including this
// one.
func (mgr *Manager) hostCount() int {
	n := 1
	for _, p := range mgr.Peers() {
		if p.ID != mgr.Self.ID {
			n++
		}
	}
	return max(n, mgr.MinHosts)
}

// phase returns the phase of a rollout, unspecified when it is not known yet.
func (mgr *Manager) phase(ro *rollout) toucanpb.MoveState_Phase {
	for _, s := range mgr.canary.States() {
		if s.GetName() == ro.name() {
			return s.GetPhase()
		}
	}
	return toucanpb.MoveState_PHASE_UNSPECIFIED
}

// InProgress reports whether a rollout of a service is ordered, so that responses of
// its targets must be recorded.
func (mgr *Manager) InProgress(s toucanservice.Name) bool { return mgr.rollout(s) != nil }

// RecordResponse counts a response or failure of a target of a version. took excludes
// the round-trip time to the target, so that targets in different regions can be
// compared; it is negative if the latency says nothing of the version.
func (mgr *Manager) RecordResponse(s toucanservice.Name, version, route string, code toucanpb.Code, took time.Duration) {
	ro := mgr.rollout(s)
	if ro == nil {
		return
	}
	if version != ro.Version {
		// The moves of rebuildCatalog have no From: all other versions count as the old one.
		version = ""
	}
	mgr.addRoute(s, route)
	mgr.canary.RecordResponse(s, version, route, code, took)
}

// addRoute adds a route to the catalog, so that its responses are compared.
func (mgr *Manager) addRoute(s toucanservice.Name, route string) {
	if c := mgr.catalog.Load(); c != nil && c.Route(s, route) != nil {
		return
	}
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	if mgr.routes[s] == nil {
		mgr.routes[s] = make(map[string]bool)
	}
	mgr.routes[s][route] = true
	mgr.rebuildCatalog()
}

// isLeader reports whether this host advances rollouts.
func (mgr *Manager) isLeader() bool {
	ids := []string{string(mgr.Self.ID)}
	for _, p := range mgr.Peers() {
		if p.ID != mgr.Self.ID {
			ids = append(ids, string(p.ID))
		}
	}
	ranked := toucanrank.Ranker{}.Rank(StateKeyPrefix, ids)
	for _, id := range ranked[:min(leaderCount, len(ranked))] {
		if id == string(mgr.Self.ID) {
			return true
		}
	}
	return false
}
