package toucandispatch

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucancatalog"
	"toucanstair.example/toucanstair/toucanclaim"
	"toucanstair.example/toucanstair/toucanexchange"
)

// failedLegs holds a counter of failed legs for each code. The counters are created
// once, because a lookup by name allocates.
var failedLegs = func() []*metrics.Counter {
	out := make([]*metrics.Counter, len(toucanpb.Code_name))
	for i := range out {
		out[i] = metrics.NewCounter(`toucan_cell_failed_total{code="` + toucanfault.CodeName(toucanpb.Code(i)) + `"}`)
	}
	return out
}()

// Serve runs a leg as owner of a slot of leg.Replica and returns when the
// exchange with the target has ended.
func (d *Dispatcher) Serve(ctx context.Context, leg *toucanpb.Leg) *toucanpb.LegResult {
	res, err := d.runAsOwner(ctx, leg)
	if err != nil {
		f := asFault(err)
		res.Outcome, res.Code, res.Detail, res.Items = f.Outcome, f.Code, f.Error(), nil
		if int(f.Code) < len(failedLegs) {
			failedLegs[f.Code].Inc()
		}
	}
	id := toucanreplica.ID(leg.GetReplica())
	res.Queue = uint32(d.Limiter.Outstanding(id))
	res.Draining = d.Limiter.IsDraining(id)
	return res
}

// runAsOwner runs a leg through a slot of this host. The result is valid only if
// the error is nil; otherwise it holds what is known of the attempt.
func (d *Dispatcher) runAsOwner(ctx context.Context, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
	res := &toucanpb.LegResult{Number: leg.GetNumber(), Shard: leg.GetShard(), Index: leg.GetIndex(), Replica: leg.GetReplica()}
	catalog := d.Configuration.Catalog()
	replica, service, fault := d.admit(leg, catalog)
	if fault != nil {
		res.Map = refusingRevision(fault, catalog)
		return res, fault
	}
	id := toucanreplica.ID(replica.GetId())
	ctx, cancel := withLegTimeout(ctx, leg)
	defer cancel()
	permit, err := d.Limiter.Acquire(ctx, id)
	if err != nil {
		res.Map = refusingRevision(asFault(err), d.Configuration.Catalog())
		return res, err
	}
	defer permit.Cancel() // no effect after Done
	claim, err := d.acquireClaim(ctx, leg)
	if err != nil {
		return res, err
	}
	reply, err := d.Exchange.Do(ctx, toucanexchange.Request{
		Address: replica.GetAddress(), MaxConnections: maxConnections(service), Leg: leg, MaySend: d.Membership.LeaseHeld,
	})
	f := toucanfault.As(err)
	if claim != nil && f != nil && f.Outcome == toucanpb.Outcome_OUTCOME_NOTRUN {
		d.Claims.Release(claim)
		if f.Code == toucanpb.Code_CODE_LEASE {
			// CODE_LEASE would make the sender try the next owner, but the claim forbids
			// another owner to send this attempt.
			f = toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "lease lost after the claim").Because(f)
			err = f
		}
	}
	d.recordReply(id, service, replica, leg, reply, f)
	permit.Done(err == nil, reply.Duration)
	res.Items, res.Indexes = reply.Items, reply.IndexVersions
	res.ServiceUs = uint64(reply.Duration.Microseconds())
	if reply.MaybeSent {
		res.Sent = 1
	}
	res.Outcome = toucanpb.Outcome_OUTCOME_DONE
	return res, err
}

// admit makes the checks that need no slot, and returns the replica and service of
// the leg.
func (d *Dispatcher) admit(leg *toucanpb.Leg, catalog *toucancatalog.Catalog) (*toucanpb.Replica, *toucanpb.Service, *toucanfault.Error) {
	if catalog == nil {
		return nil, nil, toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "no configuration in effect")
	}
	if catalog.ZoneOutOfService(d.Zone) {
		return nil, nil, toucanfault.NotRun(toucanpb.Code_CODE_OUT, "zone is out of service")
	}
	if d.stopping.Load() {
		return nil, nil, toucanfault.NotRun(toucanpb.Code_CODE_STOPPING, "host is stopping")
	}
	id := toucanreplica.ID(leg.GetReplica())
	replica, service := catalog.Replica(id)
	if replica == nil || toucanzone.Name(replica.GetZone()) != d.Zone ||
		replica.GetShard() != leg.GetShard() || service.GetName() != leg.GetService() {
		return nil, nil, toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, "replica "+leg.GetReplica()+" does not serve the shard here")
	}
	if leg.GetExtra() && d.Limiter.IsCold(id) {
		return nil, nil, toucanfault.NotRun(toucanpb.Code_CODE_REFUSED, "no hedge or retry to a cold replica")
	}
	if !d.Membership.LeaseHeld() {
		return nil, nil, toucanfault.NotRun(toucanpb.Code_CODE_LEASE, "host holds no lease")
	}
	return replica, service, nil
}

// acquireClaim acquires the claim of a non-idempotent leg with a key; it returns
// nil for other legs.
func (d *Dispatcher) acquireClaim(ctx context.Context, leg *toucanpb.Leg) (*toucanclaim.Claim, error) {
	if !leg.GetOnce() || leg.GetKey() == "" {
		return nil, nil
	}
	if d.Claims == nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_STORE, "no store for idempotency keys")
	}
	return d.Claims.Acquire(ctx, toucanservice.Name(leg.GetService()), leg.GetKey(), leg.GetQueryId())
}

// maxConnections returns the limit of connections to a replica of a service: one for each
// slot and one for health requests, within the service's limit. It does not depend on how
// many slots this host owns, because another limit needs other connections, and a replica
// in cold start would have the former one and the new one for a moment. Slots bound the
// connections in use.
func maxConnections(service *toucanpb.Service) int {
	n := slotCount(service) + 1
	if limit := int(service.GetConnections()); limit > 0 {
		return min(n, limit)
	}
	return n
}

func slotCount(service *toucanpb.Service) int { return int(max(1, service.GetSlots())) }

// ownsSlot reports whether this host owns a slot of a replica.
func (d *Dispatcher) ownsSlot(id toucanreplica.ID, service *toucanpb.Service) bool {
	self := d.Membership.Self().GetId()
	for i := range slotCount(service) {
		if m, ok := d.Membership.Owner(id, i); ok && m.GetId() == self {
			return true
		}
	}
	return false
}

// recordReply records the headers of a reply, and reports its code and duration to
// the canary analysis.
func (d *Dispatcher) recordReply(id toucanreplica.ID, service *toucanpb.Service, replica *toucanpb.Replica, leg *toucanpb.Leg, reply toucanexchange.Response, f *toucanfault.Error) {
	d.recordHeaders(id, reply, d.Limiter.ObserveResponse)
	var code toucanpb.Code
	if f != nil {
		code = f.Code
	}
	if d.Canary == nil || code == toucanpb.Code_CODE_LEASE {
		return
	}
	// Replicas of a new version start cold and without connections, which cost up to
	// 6 ms each, so even a good version is slow at first. Such responses are not
	// counted, but failures are.
	warmingUp := reply.NewConnection || reply.State == "cold"
	if code == toucanpb.Code_CODE_UNSPECIFIED && warmingUp {
		return
	}
	if code == toucanpb.Code_CODE_CANCELLED {
		// Hedging must not hide a slow version, so a request that was cancelled
		// after the hedge delay counts as a response of that duration.
		if !reply.MaybeSent || warmingUp || d.Limiter.IsCold(id) || reply.Duration < d.Budget.HedgeDelay(toucanservice.Name(service.GetName())) {
			return
		}
		code = toucanpb.Code_CODE_UNSPECIFIED
	}
	d.Canary.RecordResponse(toucanservice.Name(service.GetName()), replica.GetVersion(), leg.GetRoute(), code, reply.Duration)
}

// recordHeaders passes the boot id and state of a reply to observe and records the
// index versions. It ignores a reply without any of them.
func (d *Dispatcher) recordHeaders(id toucanreplica.ID, reply toucanexchange.Response, observe func(r toucanreplica.ID, boot, state string)) {
	if reply.BootID == "" && reply.State == "" && reply.IndexVersions == nil {
		return
	}
	d.lastResponse.Store(id, time.Now())
	observe(id, reply.BootID, reply.State)
	if d.Inventory != nil && reply.IndexVersions != nil && d.isLeader(id) {
		d.Inventory.Record(id, reply.IndexVersions)
	}
}

// isLeader reports whether this host owns slot 0 of a replica.
func (d *Dispatcher) isLeader(id toucanreplica.ID) bool {
	m, ok := d.Membership.Owner(id, 0)
	return ok && m.GetId() == d.Membership.Self().GetId()
}

func (d *Dispatcher) log() *zap.Logger {
	if d.Log == nil {
		return zap.NewNop()
	}
	return d.Log
}
