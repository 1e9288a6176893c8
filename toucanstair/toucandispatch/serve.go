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
	"toucanstair.example/toucanstair/toucanclaim"
	"toucanstair.example/toucanstair/toucanexchange"
)

// refusals counts failed legs by code; the counters are made once, because
// looking one up by name allocates.
var refusals = func() []*metrics.Counter {
	out := make([]*metrics.Counter, len(toucanpb.Code_name))
	for i := range out {
		out[i] = metrics.NewCounter(`toucan_cell_failed_total{code="` + toucanfault.CodeWord(toucanpb.Code(i)) + `"}`)
	}
	return out
}()

// Serve runs a leg as owner of a slot of leg.Replica and returns when the
// exchange with the target has ended.
func (c *Dispatcher) Serve(ctx context.Context, leg *toucanpb.Leg) *toucanpb.LegResult {
	res, err := c.serve(ctx, leg)
	if err != nil {
		f := faultOf(err)
		res.Outcome, res.Code, res.Detail, res.Items = f.Outcome, f.Code, f.Error(), nil
		if int(f.Code) < len(refusals) {
			refusals[f.Code].Inc()
		}
	}
	id := toucanreplica.ID(leg.GetReplica())
	res.Queue = uint32(c.Limiter.Outstanding(id))
	res.Draining = c.Limiter.IsDraining(id)
	return res
}

func (c *Dispatcher) serve(ctx context.Context, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
	res := &toucanpb.LegResult{Number: leg.GetNumber(), Shard: leg.GetShard(), Index: leg.GetIndex(), Replica: leg.GetReplica()}
	replica, service, err := c.admit(leg)
	if err != nil {
		return res, err
	}
	id := toucanreplica.ID(replica.GetId())
	ctx, cancel := within(ctx, leg)
	defer cancel()
	permit, err := c.Limiter.Acquire(ctx, id)
	if err != nil {
		return res, err
	}
	defer permit.Cancel() // no effect after Done
	claim, err := c.claim(ctx, leg)
	if err != nil {
		return res, err
	}
	reply, err := c.Exchange.Do(ctx, toucanexchange.Request{
		Address: replica.GetAddress(), MaxConnections: c.connections(id, service), Leg: leg, MaySend: c.Membership.LeaseHeld,
	})
	f := toucanfault.As(err)
	if claim != nil && f != nil && f.Outcome == toucanpb.Outcome_OUTCOME_NOTRUN {
		c.Claims.Release(claim)
		if f.Code == toucanpb.Code_CODE_LEASE {
			// CODE_LEASE would send the leg to the next owner, which the claim forbids.
			f = toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "lease lost after the claim").Because(f)
			err = f
		}
	}
	c.note(id, service, replica, leg, reply, f)
	permit.Done(err == nil, reply.Duration)
	res.Items, res.Indexes = reply.Items, reply.IndexVersions
	res.ServiceUs = uint64(reply.Duration.Microseconds())
	if reply.MaybeSent {
		res.Sent = 1
	}
	res.Outcome = toucanpb.Outcome_OUTCOME_DONE
	return res, err
}

// admit checks what needs no slot.
func (c *Dispatcher) admit(leg *toucanpb.Leg) (*toucanpb.Replica, *toucanpb.Service, error) {
	catalog := c.Configuration.Catalog()
	if catalog == nil {
		return nil, nil, toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "no configuration in effect")
	}
	if catalog.ZoneOutOfService(c.Zone) {
		return nil, nil, toucanfault.NotRun(toucanpb.Code_CODE_OUT, "zone is out of service")
	}
	if c.stopping.Load() {
		return nil, nil, toucanfault.NotRun(toucanpb.Code_CODE_STOPPING, "host is stopping")
	}
	id := toucanreplica.ID(leg.GetReplica())
	replica, service := catalog.Replica(id)
	if replica == nil || toucanzone.Name(replica.GetZone()) != c.Zone ||
		replica.GetShard() != leg.GetShard() || service.GetName() != leg.GetService() {
		return nil, nil, toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, "replica "+leg.GetReplica()+" does not serve the shard here")
	}
	if leg.GetExtra() && c.Limiter.IsCold(id) {
		return nil, nil, toucanfault.NotRun(toucanpb.Code_CODE_REFUSED, "no hedge or retry to a cold replica")
	}
	if !c.Membership.LeaseHeld() {
		return nil, nil, toucanfault.NotRun(toucanpb.Code_CODE_LEASE, "host holds no lease")
	}
	return replica, service, nil
}

func (c *Dispatcher) claim(ctx context.Context, leg *toucanpb.Leg) (*toucanclaim.Claim, error) {
	if !leg.GetOnce() || leg.GetKey() == "" {
		return nil, nil
	}
	if c.Claims == nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_STORE, "no store for idempotency keys")
	}
	return c.Claims.Acquire(ctx, toucanservice.Name(leg.GetService()), leg.GetKey(), leg.GetQueryId())
}

// connections returns the most connections to a replica: one for each slot
// of this host and one for health, within the service's limit. It is 0 when
// this host owns no slot.
func (c *Dispatcher) connections(id toucanreplica.ID, service *toucanpb.Service) int {
	self, n := c.Membership.Self().GetId(), 0
	for i := range int(max(1, service.GetSlots())) {
		if m, ok := c.Membership.Owner(id, i); ok && m.GetId() == self {
			n++
		}
	}
	if n == 0 {
		return 0
	}
	if most := int(service.GetConnections()); most > 0 {
		return min(n+1, most)
	}
	return n + 1
}

// note takes in what a response said of its replica.
func (c *Dispatcher) note(id toucanreplica.ID, service *toucanpb.Service, replica *toucanpb.Replica, leg *toucanpb.Leg, reply toucanexchange.Response, f *toucanfault.Error) {
	c.learn(id, reply, c.Limiter.ObserveResponse)
	var code toucanpb.Code
	if f != nil {
		code = f.Code
	}
	if c.Canary == nil || code == toucanpb.Code_CODE_LEASE {
		return
	}
	// Replicas of a new version start cold and without connections, each of which
	// costs up to 6 ms; that makes a good version slow for a while. Failures count.
	early := reply.NewConnection || reply.State == "cold"
	if code == toucanpb.Code_CODE_UNSPECIFIED && early {
		return
	}
	if code == toucanpb.Code_CODE_CANCELLED {
		// Hedging must not hide a slow version, so a request that was cancelled
		// after the hedge delay counts as a response that took this long.
		if !reply.MaybeSent || early || c.Limiter.IsCold(id) || reply.Duration < c.Budget.HedgeDelay(toucanservice.Name(service.GetName())) {
			return
		}
		code = toucanpb.Code_CODE_UNSPECIFIED
	}
	c.Canary.RecordResponse(toucanservice.Name(service.GetName()), replica.GetVersion(), leg.GetRoute(), code, reply.Duration)
}

func (c *Dispatcher) learn(id toucanreplica.ID, reply toucanexchange.Response, note func(r toucanreplica.ID, boot, state string)) {
	if reply.BootID == "" && reply.State == "" && reply.IndexVersions == nil {
		return
	}
	c.answered.Store(id, time.Now())
	note(id, reply.BootID, reply.State)
	if c.Inventory != nil && reply.IndexVersions != nil && c.leads(id) {
		c.Inventory.Record(id, reply.IndexVersions)
	}
}

func (c *Dispatcher) leads(id toucanreplica.ID) bool {
	m, ok := c.Membership.Owner(id, 0)
	return ok && m.GetId() == c.Membership.Self().GetId()
}

func (c *Dispatcher) log() *zap.Logger {
	if c.Log == nil {
		return zap.NewNop()
	}
	return c.Log
}
