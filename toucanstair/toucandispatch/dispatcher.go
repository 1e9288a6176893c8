// Package toucandispatch runs legs inside the zone: it selects replicas, finds
// the owners of their slots, and hedges and retries legs within a budget. A slot is
// the right to send one request at a time to a replica; each slot has one owner, a host
// of the replica's zone.
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
	// maxAttempts is the number of replicas that one leg is sent to at most.
	maxAttempts = 3
	// onceGrace is how long after its deadline a non-idempotent leg waits for the
	// owner's outcome, which may be notrun. It exceeds the 250 ms that
	// toucanexchange.Client waits for a target to close the connection of a failed
	// request; a queued leg ends at once.
	onceGrace = 300 * time.Millisecond
	// voidTimeout bounds the store calls that void the claim of a lost peer's leg.
	voidTimeout = time.Second
)

var (
	legs    = metrics.NewCounter("toucan_cell_legs_total")
	hedges  = metrics.NewCounter("toucan_cell_hedges_total")
	retries = metrics.NewCounter("toucan_cell_retries_total")
)

// Membership is the part of the zone membership that Dispatcher uses.
type Membership interface {
	Self() *toucanpb.Member
	Owner(r toucanreplica.ID, slot int) (*toucanpb.Member, bool)
	LeaseHeld() bool
}

// Configuration is the configuration of this host; toucanconfig.Syncer implements it.
type Configuration interface {
	// Catalog returns the catalog in effect, or nil if there is none.
	Catalog() *toucancatalog.Catalog
	// AwaitRevision waits for a bounded time until a revision or a later one is in effect.
	// It returns its catalog, or nil.
	AwaitRevision(ctx context.Context, revision uint64) *toucancatalog.Catalog
}

// PeerLink runs a leg at another host; toucanpeerlink.Client implements it.
type PeerLink interface {
	Do(ctx context.Context, address string, leg *toucanpb.Leg) (*toucanpb.LegResult, error)
}

// Claims ensures that a non-idempotent request with a key runs at most once;
// toucanclaim.Registry implements it.
type Claims interface {
	Acquire(ctx context.Context, s toucanservice.Name, key, attempt string) (*toucanclaim.Claim, error)
	Void(ctx context.Context, s toucanservice.Name, key, attempt string) (bool, error)
	Release(c *toucanclaim.Claim)
}

// Canary is given the responses of targets to compare the versions of a service
// during a rollout; toucancanary.Controller implements it.
type Canary interface {
	RecordResponse(s toucanservice.Name, version, route string, code toucanpb.Code, took time.Duration)
}

// Inventory records which index versions a replica serves.
type Inventory interface {
	Record(r toucanreplica.ID, indexes []uint64)
}

// Dispatcher runs the legs of one zone. Canary, Inventory, Claims and Log may be
// nil; without Claims, non-idempotent legs with a key are refused. Fields must not
// change after first use.
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
	// Baseline replaces hedging and the budget by one retry for each leg; it is
	// the reference for measurements.
	Baseline bool
	Log      *zap.Logger

	workers       toucanworker.Pool
	stopping      atomic.Bool
	replicaOwners sync.Map // toucanreplica.ID to *replicaOwners
	lastResponse  sync.Map // toucanreplica.ID to time.Time of the last response or health reply
}

// Stop makes Serve refuse new legs; running legs end normally.
func (d *Dispatcher) Stop() { d.stopping.Store(true) }

// attemptResult is the result of one attempt of a leg at a replica.
type attemptResult struct {
	result *toucanpb.LegResult
	source resultSource
}

// resultSource is where the result of an attempt comes from.
type resultSource int

const (
	fromOwner       resultSource = iota
	fromNoOwner                  // no owner with a usable slot replied, so the result says nothing about the replica
	fromVoidedClaim              // the claim of a lost peer's leg was voided, so the leg is not retried
)

// legRun is the state of one leg.
type legRun struct {
	dispatcher *Dispatcher
	leg        *toucanpb.Leg
	revision   uint64 // of the configuration that the leg was planned with
	candidates []*toucanpb.Replica
	criteria   toucanselector.Criteria
	slots      int
	results    chan attemptResult
	pending    int                 // attempts without a result yet
	sent       uint32              // requests sent by ended attempts
	failure    *toucanpb.LegResult // returned if no attempt succeeds
}

// Run runs a leg in this zone. It returns the first valid result, or a result with a
// code when no attempt is left or when ctx or the leg's timeout ends, for a
// non-idempotent leg up to onceGrace later. A leg that an owner refused by a newer
// configuration is planned again when this host has that configuration, too.
func (d *Dispatcher) Run(ctx context.Context, leg *toucanpb.Leg) *toucanpb.LegResult {
	ctx, cancel := withLegTimeout(ctx, leg)
	defer cancel() // also cancels attempts that are still running
	var sent uint32
	for planned := false; ; planned = true {
		catalog := d.Configuration.Catalog()
		r, fault := d.plan(leg, catalog)
		if fault != nil {
			res := failedResult(leg, fault)
			res.Map, res.Sent = refusingRevision(fault, catalog), sent
			return res
		}
		if !planned {
			legs.Inc()
		}
		r.sent = sent
		if !r.startNext(ctx, leg.GetExtra()) {
			return r.noReplicaResult()
		}
		if !planned && !leg.GetExtra() && len(r.candidates) > 1 {
			// A leg with one candidate cannot be hedged here; it counts in the budget
			// of toucanquery.Coordinator.
			d.Budget.Deposit()
		}
		res := r.wait(ctx)
		if !d.awaitConfiguration(ctx, r.revision, res) {
			return res
		}
		sent = res.GetSent()
	}
}

// awaitConfiguration reports whether a leg that was planned with a revision was refused
// by a newer one that is now in effect here, too.
func (d *Dispatcher) awaitConfiguration(ctx context.Context, revision uint64, res *toucanpb.LegResult) bool {
	if res.GetOutcome() != toucanpb.Outcome_OUTCOME_NOTRUN || res.GetMap() <= revision {
		return false
	}
	return d.Configuration.AwaitRevision(ctx, res.GetMap()) != nil
}

// refusingRevision returns the revision of a catalog if the failure of a leg follows
// from the configuration, so that another revision may permit the leg, and otherwise 0.
func refusingRevision(f *toucanfault.Error, c *toucancatalog.Catalog) uint64 {
	if c == nil || f.Outcome != toucanpb.Outcome_OUTCOME_NOTRUN {
		return 0
	}
	switch f.Code {
	case toucanpb.Code_CODE_OUT, toucanpb.Code_CODE_UNKNOWN, toucanpb.Code_CODE_VERSION:
		return c.Revision()
	}
	return 0
}

// withLegTimeout returns a context with the timeout of the leg, if it has one.
func withLegTimeout(ctx context.Context, leg *toucanpb.Leg) (context.Context, context.CancelFunc) {
	if us := leg.GetTimeoutUs(); us > 0 {
		return context.WithTimeout(ctx, time.Duration(us)*time.Microsecond)
	}
	return context.WithCancel(ctx)
}

// plan selects the candidate replicas of a leg. It fails if the zone or this host
// cannot run the leg.
func (d *Dispatcher) plan(leg *toucanpb.Leg, catalog *toucancatalog.Catalog) (*legRun, *toucanfault.Error) {
	if catalog == nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "no configuration in effect")
	}
	if catalog.ZoneOutOfService(d.Zone) {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_OUT, "zone is out of service")
	}
	name, shard := toucanservice.Name(leg.GetService()), toucanshard.ID(leg.GetShard())
	service := catalog.Service(name)
	if service == nil || len(catalog.Replicas(name, shard, d.Zone)) == 0 {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, "shard has no replica in the zone")
	}
	version := leg.GetVersion()
	if version == "" && leg.GetMap() < catalog.Revision() {
		// The sender selected no version, because it does not have the configuration of
		// the rollout yet.
		version = catalog.Move(name).GetFrom()
	}
	candidates := catalog.ReplicasForVersion(name, shard, d.Zone, version)
	if len(candidates) == 0 {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_VERSION, "no replica of the old version in the zone")
	}
	return &legRun{
		dispatcher: d, leg: leg, revision: catalog.Revision(), candidates: candidates,
		criteria: toucanselector.Criteria{Index: leg.GetIndex(), Version: version},
		slots:    slotCount(service),
		results:  make(chan attemptResult, maxAttempts),
	}, nil
}

// startNext starts an attempt at a replica that was not tried yet, and reports
// whether there is one.
func (r *legRun) startNext(ctx context.Context, extra bool) bool {
	replica := r.nextReplica(extra)
	if replica == nil {
		return false
	}
	r.startAttempt(ctx, replica, extra)
	return true
}

// noReplicaResult returns the failure of a leg that no replica may serve.
func (r *legRun) noReplicaResult() *toucanpb.LegResult {
	if r.dispatcher.Selector.Select(r.candidates, toucanselector.Criteria{}) == nil {
		res := failedResult(r.leg, toucanfault.NotRun(toucanpb.Code_CODE_REFUSED, "every replica of the shard is draining"))
		res.Draining = true
		return res
	}
	return failedResult(r.leg, toucanfault.NotRun(toucanpb.Code_CODE_VERSION, "no replica of the shard serves the index version"))
}

func (r *legRun) nextReplica(extra bool) *toucanpb.Replica {
	if extra && len(r.criteria.Exclude) >= maxAttempts {
		return nil
	}
	return r.dispatcher.Selector.Select(r.candidates, r.criteria)
}

func (r *legRun) startAttempt(ctx context.Context, replica *toucanpb.Replica, extra bool) {
	id := toucanreplica.ID(replica.GetId())
	r.criteria.Exclude = append(r.criteria.Exclude, id)
	r.pending++
	r.dispatcher.Selector.BeginLeg(id)
	r.dispatcher.workers.Go(func() {
		begin := time.Now()
		res, source := r.dispatcher.runAttempt(ctx, r.leg, id, r.slots, extra)
		r.dispatcher.recordResult(r.leg, id, res, source, time.Since(begin))
		r.results <- attemptResult{res, source}
	})
}

// startExtra starts a hedge or retry and counts it. It reports false if there is
// no replica or no token for it.
func (r *legRun) startExtra(ctx context.Context, counter *metrics.Counter) bool {
	replica := r.nextReplica(true)
	if replica == nil {
		return false
	}
	if r.dispatcher.Baseline {
		if len(r.criteria.Exclude) > 1 {
			return false
		}
	} else if !r.dispatcher.Budget.TryWithdraw() {
		return false
	}
	counter.Inc()
	r.startAttempt(ctx, replica, true)
	return true
}

func (r *legRun) wait(ctx context.Context) *toucanpb.LegResult {
	var hedgeTimer <-chan time.Time
	if !r.leg.GetOnce() && !r.dispatcher.Baseline {
		timer := time.NewTimer(r.dispatcher.Budget.HedgeDelay(toucanservice.Name(r.leg.GetService())))
		defer timer.Stop()
		hedgeTimer = timer.C
	}
	for {
		select {
		case t := <-r.results:
			if r.handleResult(ctx, t) {
				return r.finish(t.result)
			}
			if r.pending == 0 {
				return r.finish(r.failure)
			}
		case <-hedgeTimer:
			hedgeTimer = nil
			r.startExtra(ctx, hedges)
		case <-ctx.Done():
			return r.finishWithoutResponse(ctx)
		}
	}
}

// handleResult records the result of an attempt and reports whether it is valid.
// It retries the leg after a failure that permits a retry.
func (r *legRun) handleResult(ctx context.Context, t attemptResult) bool {
	res := t.result
	r.pending--
	r.sent += res.GetSent()
	if res.GetCode() == toucanpb.Code_CODE_UNSPECIFIED {
		return true
	}
	// The first failure is kept, unless only a later attempt may have run.
	if r.failure == nil || r.failure.GetOutcome() == toucanpb.Outcome_OUTCOME_NOTRUN && res.GetOutcome() == toucanpb.Outcome_OUTCOME_UNKNOWN {
		r.failure = res
	}
	if t.source != fromVoidedClaim && !r.keyClaimed(t) && r.isRetryable(res) && ctx.Err() == nil {
		r.startExtra(ctx, retries)
	}
	return false
}

// keyClaimed reports whether an owner acquired the claim of a leg with a key: it sent
// the request, or failed with CODE_DOWN, which an owner returns only after the claim.
// If the request did not run, the claim is voided in the background. The voided claim
// lists the attempt as not run, so no other owner may send it; the caller may retry the
// request as a new attempt.
func (r *legRun) keyClaimed(t attemptResult) bool {
	if !r.leg.GetOnce() || r.leg.GetKey() == "" || t.source != fromOwner {
		return false
	}
	return t.result.GetSent() > 0 || t.result.GetCode() == toucanpb.Code_CODE_DOWN
}

func (r *legRun) isRetryable(res *toucanpb.LegResult) bool {
	if r.leg.GetOnce() && res.GetOutcome() != toucanpb.Outcome_OUTCOME_NOTRUN {
		return false
	}
	switch res.GetCode() {
	case toucanpb.Code_CODE_REFUSED, toucanpb.Code_CODE_DOWN, toucanpb.Code_CODE_VERSION, toucanpb.Code_CODE_LEASE,
		toucanpb.Code_CODE_OVERLOAD, toucanpb.Code_CODE_FAILED, toucanpb.Code_CODE_INVALID, toucanpb.Code_CODE_STOPPING,
		toucanpb.Code_CODE_CONFIG:
		return true
	case toucanpb.Code_CODE_UNKNOWN:
		// The replica was removed from the owner's configuration, or is not in it yet.
		return res.GetMap() != 0
	}
	return false
}

// finish sets the number of requests sent in res. Each pending attempt counts as one.
func (r *legRun) finish(res *toucanpb.LegResult) *toucanpb.LegResult {
	res.Sent = r.sent + uint32(r.pending)
	return res
}

// finishWithoutResponse returns the result at the end of ctx. A non-idempotent leg
// waits up to onceGrace for the owner, which knows whether the leg was still queued.
func (r *legRun) finishWithoutResponse(ctx context.Context) *toucanpb.LegResult {
	if r.leg.GetOnce() {
		timer := time.NewTimer(onceGrace)
		defer timer.Stop()
		select {
		case t := <-r.results:
			r.pending--
			r.sent += t.result.GetSent()
			return r.finish(t.result)
		case <-timer.C:
		}
	}
	f := toucanfault.Unknown(toucanpb.Code_CODE_TIMEOUT, "no response in time")
	if ctx.Err() == context.Canceled {
		f = toucanfault.Unknown(toucanpb.Code_CODE_CANCELLED, "leg cancelled")
	}
	return r.finish(failedResult(r.leg, f))
}

// recordResult records the result of an attempt in the selector and the budget.
// Legs that ended in the queue or on the peer link are not failures of the replica,
// but their duration is a lower bound of the latency.
func (d *Dispatcher) recordResult(leg *toucanpb.Leg, id toucanreplica.ID, res *toucanpb.LegResult, source resultSource, took time.Duration) {
	code := res.GetCode()
	endedEarly := code == toucanpb.Code_CODE_CANCELLED || code == toucanpb.Code_CODE_TIMEOUT
	if code == toucanpb.Code_CODE_UNSPECIFIED || endedEarly {
		d.Budget.RecordLatency(toucanservice.Name(leg.GetService()), took)
	}
	// The selector counts neither code as a failure; CODE_CANCELLED can raise the
	// latency, CODE_LEASE leaves it.
	switch {
	case endedEarly && (source != fromOwner || res.GetSent() == 0):
		code = toucanpb.Code_CODE_CANCELLED
	case source != fromOwner:
		code = toucanpb.Code_CODE_LEASE
	}
	d.Selector.EndLeg(id, toucanselector.LegResult{
		Code: code, Duration: took, QueueLength: int(res.GetQueue()), Indexes: res.GetIndexes(), Draining: res.GetDraining(),
	})
}

// failedResult returns the result of a leg that failed with f.
func failedResult(leg *toucanpb.Leg, f *toucanfault.Error) *toucanpb.LegResult {
	return &toucanpb.LegResult{
		Number: leg.GetNumber(), Shard: leg.GetShard(), Index: leg.GetIndex(), Replica: leg.GetReplica(),
		Outcome: f.Outcome, Code: f.Code, Detail: f.Error(),
	}
}

// asFault returns the toucanfault.Error in err, or CODE_INTERNAL if there is none.
func asFault(err error) *toucanfault.Error {
	if f := toucanfault.As(err); f != nil {
		return f
	}
	return toucanfault.Unknown(toucanpb.Code_CODE_INTERNAL, "untyped failure").Because(err)
}
