// Package toucandispatch runs legs inside the zone: it selects replicas, finds
// the owners of their slots, and hedges and retries within a budget.
package toucandispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucanshard"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucancatalog"
	"toucanstair.example/toucanstair/toucanclaim"
	"toucanstair.example/toucanstair/toucanexchange"
	"toucanstair.example/toucanstair/toucanhedge"
	"toucanstair.example/toucanstair/toucanselector"
	"toucanstair.example/toucanstair/toucanslot"
	"toucanstair.example/toucanstair/toucanworker"
)

const (
	// attempts is the most replicas that one leg is sent to.
	attempts = 3
	// onceGrace is how long after its deadline a once-only leg waits for the
	// owner's own outcome, which may be notrun. It exceeds the 250 ms that an
	// exchange waits for a target to close; a leg in the queue ends at once.
	onceGrace = 300 * time.Millisecond
	// settleTimeout bounds the store calls that settle a leg of a lost peer.
	settleTimeout = time.Second
)

var (
	legs    = metrics.NewCounter("toucan_cell_legs_total")
	hedges  = metrics.NewCounter("toucan_cell_hedges_total")
	retries = metrics.NewCounter("toucan_cell_retries_total")
)

// Membership is what the cell needs of the zone's membership.
type Membership interface {
	Self() *toucanpb.Member
	Owner(r toucanreplica.ID, slot int) (*toucanpb.Member, bool)
	LeaseHeld() bool
}

// Configuration gives the catalog in effect, or nil.
type Configuration interface {
	Catalog() *toucancatalog.Catalog
}

// PeerLink runs a leg at another host; toucanpeerlink.Client is one.
type PeerLink interface {
	Do(ctx context.Context, address string, leg *toucanpb.Leg) (*toucanpb.LegResult, error)
}

// Claims guards keyed once-only requests; toucanclaim.Registry is one.
type Claims interface {
	Acquire(ctx context.Context, s toucanservice.Name, key, attempt string) (*toucanclaim.Claim, error)
	Void(ctx context.Context, s toucanservice.Name, key, attempt string) (bool, error)
	Release(c *toucanclaim.Claim)
}

// Canary learns of every response of a target.
type Canary interface {
	RecordResponse(s toucanservice.Name, version, route string, code toucanpb.Code, took time.Duration)
}

// Inventory learns which index versions a replica serves.
type Inventory interface {
	Record(r toucanreplica.ID, indexes []uint64)
}

// Dispatcher runs the legs of one zone. Judge, Inventory, Claims and Log may be nil;
// without Claims, legs with a key are refused. Fields must not change after
// first use.
type Dispatcher struct {
	Zone          toucanzone.Name
	Membership    Membership
	Configuration Configuration
	PeerLink      PeerLink
	Limiter       *toucanslot.Limiter
	Selector      *toucanselector.Selector
	Budget        *toucanhedge.Budget
	Exchange      *toucanexchange.Client
	Claims        Claims
	Canary        Canary
	Inventory     Inventory
	// Baseline replaces hedging and the budget by one retry for each leg, to
	// measure against.
	Baseline bool
	Log      *zap.Logger

	workers  toucanworker.Pool
	stopping atomic.Bool
	owners   sync.Map // toucanreplica.ID to *owners
	answered sync.Map // toucanreplica.ID to time.Time of the last response
}

// Stop makes Serve refuse legs from now on; what is running ends normally.
func (c *Dispatcher) Stop() { c.stopping.Store(true) }

// try is one attempt of a leg at a replica.
type try struct {
	result *toucanpb.LegResult
	from   source
}

// source says where the result of an attempt comes from.
type source int

const (
	fromOwner   source = iota
	fromLink           // the owner was not heard, so nothing is known of the replica
	fromSettled        // the claim of a lost peer's leg was voided; the attempt is over
)

// run is the state of one leg.
type run struct {
	cell       *Dispatcher
	leg        *toucanpb.Leg
	candidates []*toucanpb.Replica
	want       toucanselector.Criteria
	slots      int
	results    chan try
	pending    int
	sent       uint32
	failure    *toucanpb.LegResult
}

// Run runs a leg in this zone and returns when there is a valid result, a
// final failure, or ctx or the leg's timeout ends.
func (c *Dispatcher) Run(ctx context.Context, leg *toucanpb.Leg) *toucanpb.LegResult {
	r, fault := c.plan(leg)
	if fault != nil {
		return refusal(leg, fault)
	}
	ctx, cancel := within(ctx, leg)
	defer cancel() // also cancels the attempts that lost
	legs.Inc()
	if !r.launch(ctx, leg.GetExtra()) {
		return r.none()
	}
	if !leg.GetExtra() && len(r.candidates) > 1 {
		// Legs that this cell cannot hedge are in the coordinator's budget.
		c.Budget.Deposit()
	}
	return r.wait(ctx)
}

func within(ctx context.Context, leg *toucanpb.Leg) (context.Context, context.CancelFunc) {
	if us := leg.GetTimeoutUs(); us > 0 {
		return context.WithTimeout(ctx, time.Duration(us)*time.Microsecond)
	}
	return context.WithCancel(ctx)
}

func (c *Dispatcher) plan(leg *toucanpb.Leg) (*run, *toucanfault.Error) {
	catalog := c.Configuration.Catalog()
	if catalog == nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "no configuration in effect")
	}
	if catalog.ZoneOutOfService(c.Zone) {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_OUT, "zone is out of service")
	}
	name, shard := toucanservice.Name(leg.GetService()), toucanshard.ID(leg.GetShard())
	service := catalog.Service(name)
	if service == nil || len(catalog.Replicas(name, shard, c.Zone)) == 0 {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, "shard has no replica in the zone")
	}
	label := leg.GetVersion()
	if label == "" && leg.GetMap() < catalog.Revision() {
		// The sender does not know of the move yet.
		label = catalog.Move(name).GetFrom()
	}
	candidates := catalog.ReplicasForVersion(name, shard, c.Zone, label)
	if len(candidates) == 0 {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_VERSION, "no replica of the old version in the zone")
	}
	return &run{
		cell: c, leg: leg, candidates: candidates,
		want:    toucanselector.Criteria{Index: leg.GetIndex(), Version: label},
		slots:   int(max(1, service.GetSlots())),
		results: make(chan try, attempts),
	}, nil
}

// launch starts an attempt on a replica that was not tried yet, and reports
// whether there was one.
func (r *run) launch(ctx context.Context, extra bool) bool {
	replica := r.next(extra)
	if replica == nil {
		return false
	}
	r.start(ctx, replica, extra)
	return true
}

// none returns why no replica may serve the leg.
func (r *run) none() *toucanpb.LegResult {
	if r.cell.Selector.Select(r.candidates, toucanselector.Criteria{}) == nil {
		res := refusal(r.leg, toucanfault.NotRun(toucanpb.Code_CODE_REFUSED, "every replica of the shard is draining"))
		res.Draining = true
		return res
	}
	return refusal(r.leg, toucanfault.NotRun(toucanpb.Code_CODE_VERSION, "no replica of the shard serves the index version"))
}

func (r *run) next(extra bool) *toucanpb.Replica {
	if extra && len(r.want.Exclude) >= attempts {
		return nil
	}
	return r.cell.Selector.Select(r.candidates, r.want)
}

func (r *run) start(ctx context.Context, replica *toucanpb.Replica, extra bool) {
	id := toucanreplica.ID(replica.GetId())
	r.want.Exclude = append(r.want.Exclude, id)
	r.pending++
	r.cell.Selector.BeginLeg(id)
	r.cell.workers.Go(func() {
		begin := time.Now()
		res, from := r.cell.attempt(ctx, r.leg, id, r.slots, extra)
		r.cell.observe(r.leg, id, res, from, time.Since(begin))
		r.results <- try{res, from}
	})
}

// extra starts a hedge or retry if there is a replica and a token for it.
func (r *run) extra(ctx context.Context, counter *metrics.Counter) bool {
	replica := r.next(true)
	if replica == nil {
		return false
	}
	if r.cell.Baseline {
		if len(r.want.Exclude) > 1 {
			return false
		}
	} else if !r.cell.Budget.TryWithdraw() {
		return false
	}
	counter.Inc()
	r.start(ctx, replica, true)
	return true
}

func (r *run) wait(ctx context.Context) *toucanpb.LegResult {
	var slow <-chan time.Time
	if !r.leg.GetOnce() && !r.cell.Baseline {
		timer := time.NewTimer(r.cell.Budget.HedgeDelay(toucanservice.Name(r.leg.GetService())))
		defer timer.Stop()
		slow = timer.C
	}
	for {
		select {
		case t := <-r.results:
			if r.take(ctx, t) {
				return r.end(t.result)
			}
			if r.pending == 0 {
				return r.end(r.failure)
			}
		case <-slow:
			slow = nil
			r.extra(ctx, hedges)
		case <-ctx.Done():
			return r.expire(ctx)
		}
	}
}

// take takes in the end of an attempt and reports whether it is valid. A
// failure that permits it is retried.
func (r *run) take(ctx context.Context, t try) bool {
	res := t.result
	r.pending--
	r.sent += res.GetSent()
	if res.GetCode() == toucanpb.Code_CODE_UNSPECIFIED {
		return true
	}
	// The first failure is kept unless a later one may have run.
	if r.failure == nil || r.failure.GetOutcome() == toucanpb.Outcome_OUTCOME_NOTRUN && res.GetOutcome() == toucanpb.Outcome_OUTCOME_UNKNOWN {
		r.failure = res
	}
	if t.from != fromSettled && !r.claimed(t) && r.retryable(res) && ctx.Err() == nil {
		r.extra(ctx, retries)
	}
	return false
}

// claimed reports whether an owner took the claim of a keyed leg. The claim is
// voided in the background and lists the attempt, so no other owner may send
// it; the caller may repeat the request as a new attempt.
func (r *run) claimed(t try) bool {
	if !r.leg.GetOnce() || r.leg.GetKey() == "" || t.from != fromOwner {
		return false
	}
	return t.result.GetSent() > 0 || t.result.GetCode() == toucanpb.Code_CODE_DOWN
}

func (r *run) retryable(res *toucanpb.LegResult) bool {
	if r.leg.GetOnce() && res.GetOutcome() != toucanpb.Outcome_OUTCOME_NOTRUN {
		return false
	}
	switch res.GetCode() {
	case toucanpb.Code_CODE_REFUSED, toucanpb.Code_CODE_DOWN, toucanpb.Code_CODE_VERSION, toucanpb.Code_CODE_LEASE,
		toucanpb.Code_CODE_OVERLOAD, toucanpb.Code_CODE_FAILED, toucanpb.Code_CODE_INVALID, toucanpb.Code_CODE_STOPPING,
		toucanpb.Code_CODE_CONFIG:
		return true
	}
	return false
}

func (r *run) end(res *toucanpb.LegResult) *toucanpb.LegResult {
	res.Sent = r.sent + uint32(r.pending)
	return res
}

// expire returns the result at the end of ctx. A once-only leg waits a moment
// for the owner, which knows whether the leg was still in the queue.
func (r *run) expire(ctx context.Context) *toucanpb.LegResult {
	if r.leg.GetOnce() {
		timer := time.NewTimer(onceGrace)
		defer timer.Stop()
		select {
		case t := <-r.results:
			r.pending--
			r.sent += t.result.GetSent()
			return r.end(t.result)
		case <-timer.C:
		}
	}
	f := toucanfault.Unknown(toucanpb.Code_CODE_TIMEOUT, "no response in time")
	if ctx.Err() == context.Canceled {
		f = toucanfault.Unknown(toucanpb.Code_CODE_CANCELLED, "leg cancelled")
	}
	return r.end(refusal(r.leg, f))
}

// observe teaches the router and the budget. Legs that ended in the queue or
// on the link are no fault of the replica, but took at least that long.
func (c *Dispatcher) observe(leg *toucanpb.Leg, id toucanreplica.ID, res *toucanpb.LegResult, from source, took time.Duration) {
	code := res.GetCode()
	cut := code == toucanpb.Code_CODE_CANCELLED || code == toucanpb.Code_CODE_TIMEOUT
	if code == toucanpb.Code_CODE_UNSPECIFIED || cut {
		c.Budget.RecordLatency(toucanservice.Name(leg.GetService()), took)
	}
	switch {
	case cut && (from != fromOwner || res.GetSent() == 0):
		code = toucanpb.Code_CODE_CANCELLED
	case from != fromOwner:
		code = toucanpb.Code_CODE_LEASE
	}
	c.Selector.EndLeg(id, toucanselector.LegResult{
		Code: code, Duration: took, QueueLength: int(res.GetQueue()), Indexes: res.GetIndexes(), Draining: res.GetDraining(),
	})
}

func refusal(leg *toucanpb.Leg, f *toucanfault.Error) *toucanpb.LegResult {
	return &toucanpb.LegResult{
		Number: leg.GetNumber(), Shard: leg.GetShard(), Index: leg.GetIndex(), Replica: leg.GetReplica(),
		Outcome: f.Outcome, Code: f.Code, Detail: f.Error(),
	}
}

// faultOf returns the typed failure in err.
func faultOf(err error) *toucanfault.Error {
	if f := toucanfault.As(err); f != nil {
		return f
	}
	return toucanfault.Unknown(toucanpb.Code_CODE_INTERNAL, "untyped failure").Because(err)
}
