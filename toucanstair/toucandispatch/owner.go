package toucandispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanservice"
)

// avoidDuration is how long an owner is tried last after it was not reached, had no
// usable slot or was stopping.
const avoidDuration = 500 * time.Millisecond

// replicaOwners holds the load of the owners of a replica's slots.
type replicaOwners struct {
	mu    sync.Mutex
	hosts map[string]*ownerLoad // by member id
}

// ownerLoad is the load of one owner, for one replica.
type ownerLoad struct {
	queue   int       // legs, as the owner last reported
	running int       // legs from this host
	avoid   time.Time // until then the owner is tried last
}

func (d *Dispatcher) ownersOfReplica(r toucanreplica.ID) *replicaOwners {
	if v, ok := d.replicaOwners.Load(r); ok {
		return v.(*replicaOwners)
	}
	v, _ := d.replicaOwners.LoadOrStore(r, &replicaOwners{hosts: make(map[string]*ownerLoad)})
	return v.(*replicaOwners)
}

// pickOwner returns the least loaded owner that was not tried yet and its slot, or
// nil. It counts a running leg at that owner, which recordResult ends. A tie goes to
// this host, which saves a hop, and then to the lower slot.
func (d *Dispatcher) pickOwner(o *replicaOwners, r toucanreplica.ID, slots int, tried []string) (*toucanpb.Member, int) {
	self, now := d.Membership.Self().GetId(), time.Now()
	var best *toucanpb.Member
	var slot, leastLoad int
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range slots {
		m, ok := d.Membership.Owner(r, i)
		if !ok || slices.Contains(tried, m.GetId()) {
			continue
		}
		// The load is doubled so that the preference for this host only breaks ties.
		load := 1
		if l := o.hosts[m.GetId()]; l != nil {
			load += 2 * (l.queue + l.running)
			if now.Before(l.avoid) {
				const avoidPenalty = 1 << 30
				load += avoidPenalty
			}
		}
		if m.GetId() == self {
			load--
		}
		if best == nil || load < leastLoad {
			best, slot, leastLoad = m, i, load
		}
	}
	if best != nil {
		o.load(best.GetId()).running++
	}
	return best, slot
}

func (o *replicaOwners) load(id string) *ownerLoad {
	l := o.hosts[id]
	if l == nil {
		l = &ownerLoad{}
		o.hosts[id] = l
	}
	return l
}

// recordResult records the end of a leg at an owner and whether to avoid the owner.
func (o *replicaOwners) recordResult(id string, res *toucanpb.LegResult, avoid bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.load(id)
	l.running = max(0, l.running-1)
	l.queue = int(res.GetQueue())
	if avoid {
		l.avoid = time.Now().Add(avoidDuration)
	}
}

// runAttempt runs a leg at an owner of the replica. An owner that has no usable slot,
// is stopping, has an older configuration or was not reached has sent nothing; trying
// the next owner then adds no load on the target and takes no token of the budget.
func (d *Dispatcher) runAttempt(ctx context.Context, leg *toucanpb.Leg, id toucanreplica.ID, slots int, extra bool) (*toucanpb.LegResult, resultSource) {
	o := d.ownersOfReplica(id)
	var buffer [4]string
	tried := buffer[:0]
	var res *toucanpb.LegResult
	for {
		m, slot := d.pickOwner(o, id, slots, tried)
		if m == nil {
			break
		}
		tried = append(tried, m.GetId())
		ownerLeg := legForOwner(leg, id, slot, extra)
		source := fromOwner
		if m.GetId() == d.Membership.Self().GetId() {
			res = d.Serve(ctx, ownerLeg)
		} else {
			res, source = d.runAtPeer(ctx, m, ownerLeg)
		}
		unreached := source == fromNoOwner && res.GetCode() == toucanpb.Code_CODE_DOWN
		unavailable := source == fromOwner && (res.GetCode() == toucanpb.Code_CODE_LEASE || res.GetCode() == toucanpb.Code_CODE_STOPPING || d.isBehind(res))
		o.recordResult(m.GetId(), res, unavailable || unreached)
		if !unavailable && !unreached || res.GetOutcome() != toucanpb.Outcome_OUTCOME_NOTRUN || ctx.Err() != nil {
			return res, source
		}
	}
	if res == nil {
		res = failedResult(leg, toucanfault.NotRun(toucanpb.Code_CODE_LEASE, "no owner of the replica is known"))
		res.Replica = string(id)
	}
	return res, fromNoOwner
}

// isBehind reports whether an owner refused a leg by an older configuration than this
// host's.
func (d *Dispatcher) isBehind(res *toucanpb.LegResult) bool {
	return res.GetMap() != 0 && res.GetMap() < d.Configuration.Catalog().Revision()
}

// legForOwner returns a copy of leg that addresses a replica and a slot.
func legForOwner(leg *toucanpb.Leg, id toucanreplica.ID, slot int, extra bool) *toucanpb.Leg {
	return &toucanpb.Leg{
		QueryId: leg.GetQueryId(), Service: leg.GetService(), Shard: leg.GetShard(), Route: leg.GetRoute(),
		Query: leg.GetQuery(), Limit: leg.GetLimit(), Index: leg.GetIndex(), Map: leg.GetMap(),
		Replica: string(id), Slot: uint32(slot), View: leg.GetView(), TimeoutUs: leg.GetTimeoutUs(),
		Key: leg.GetKey(), Once: leg.GetOnce(), Version: leg.GetVersion(), Traceparent: leg.GetTraceparent(),
		Extra: extra,
	}
}

// runAtPeer runs a leg at a peer. If the peer is lost during a non-idempotent leg
// with a key, it voids the claim; if that succeeds, the leg did not run and cannot run
// any more.
func (d *Dispatcher) runAtPeer(ctx context.Context, m *toucanpb.Member, leg *toucanpb.Leg) (*toucanpb.LegResult, resultSource) {
	res, err := d.PeerLink.Do(ctx, m.GetAddress(), leg)
	if err == nil {
		return validated(leg, res), fromOwner
	}
	f, source := asFault(err), fromNoOwner
	if f.Outcome == toucanpb.Outcome_OUTCOME_UNKNOWN && f.Code == toucanpb.Code_CODE_DOWN && d.voidClaim(ctx, leg) {
		f, source = toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "peer lost before it claimed the request"), fromVoidedClaim
	}
	res = failedResult(leg, f)
	if f.Outcome == toucanpb.Outcome_OUTCOME_UNKNOWN {
		res.Sent = 1 // the peer may have sent it
	}
	return res, source
}

// voidClaim voids the claim of a lost peer's leg and reports whether the leg
// certainly did not run. It ignores the deadline of the leg, because the outcome
// matters after it, too.
func (d *Dispatcher) voidClaim(ctx context.Context, leg *toucanpb.Leg) bool {
	if !leg.GetOnce() || leg.GetKey() == "" || d.Claims == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), voidTimeout)
	defer cancel()
	void, err := d.Claims.Void(ctx, toucanservice.Name(leg.GetService()), leg.GetKey(), leg.GetQueryId())
	return void && err == nil
}

// validated returns res, or a CODE_INVALID failure if res is not for the leg.
func validated(leg *toucanpb.Leg, res *toucanpb.LegResult) *toucanpb.LegResult {
	if res.GetCode() != toucanpb.Code_CODE_UNSPECIFIED {
		return res
	}
	if res.GetShard() == leg.GetShard() && res.GetIndex() == leg.GetIndex() && res.GetOutcome() == toucanpb.Outcome_OUTCOME_DONE {
		return res
	}
	invalid := failedResult(leg, toucanfault.Unknown(toucanpb.Code_CODE_INVALID, "peer's result is for another leg"))
	invalid.Sent = res.GetSent()
	return invalid
}
