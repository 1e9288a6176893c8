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

// avoidTime is how long an owner that was not reached or had no open slot is
// asked last.
const avoidTime = 500 * time.Millisecond

// owners is what is known of the owners of a replica's slots.
type owners struct {
	mu    sync.Mutex
	hosts map[string]*ownerLoad // by member id
}

type ownerLoad struct {
	queue   int // as last reported
	running int // legs of this host
	avoid   time.Time
}

func (c *Dispatcher) ownersOf(r toucanreplica.ID) *owners {
	if v, ok := c.owners.Load(r); ok {
		return v.(*owners)
	}
	v, _ := c.owners.LoadOrStore(r, &owners{hosts: make(map[string]*ownerLoad)})
	return v.(*owners)
}

// pick returns the least loaded owner that was not asked yet, or nil. This
// host wins ties, which saves a hop, and then the lower slot.
func (c *Dispatcher) pick(o *owners, r toucanreplica.ID, slots int, asked []string) (*toucanpb.Member, int) {
	self, now := c.Membership.Self().GetId(), time.Now()
	var best *toucanpb.Member
	var slot, least int
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range slots {
		m, ok := c.Membership.Owner(r, i)
		if !ok || slices.Contains(asked, m.GetId()) {
			continue
		}
		// Doubled, so that the preference for this host only breaks ties.
		load := 1
		if l := o.hosts[m.GetId()]; l != nil {
			load += 2 * (l.queue + l.running)
			if now.Before(l.avoid) {
				const last = 1 << 30
				load += last
			}
		}
		if m.GetId() == self {
			load--
		}
		if best == nil || load < least {
			best, slot, least = m, i, load
		}
	}
	if best != nil {
		o.load(best.GetId()).running++
	}
	return best, slot
}

func (o *owners) load(id string) *ownerLoad {
	l := o.hosts[id]
	if l == nil {
		l = &ownerLoad{}
		o.hosts[id] = l
	}
	return l
}

// learn records the end of a leg at an owner.
func (o *owners) learn(id string, res *toucanpb.LegResult, avoid bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.load(id)
	l.running = max(0, l.running-1)
	l.queue = int(res.GetQueue())
	if avoid {
		l.avoid = time.Now().Add(avoidTime)
	}
}

// attempt runs a leg at an owner of the replica. An owner without a usable
// slot, or one that was not reached, has sent nothing, so asking the next
// owner is no extra load on the target and takes no token.
func (c *Dispatcher) attempt(ctx context.Context, leg *toucanpb.Leg, id toucanreplica.ID, slots int, extra bool) (*toucanpb.LegResult, source) {
	o := c.ownersOf(id)
	var room [4]string
	asked := room[:0]
	var res *toucanpb.LegResult
	for {
		m, slot := c.pick(o, id, slots, asked)
		if m == nil {
			break
		}
		asked = append(asked, m.GetId())
		part := share(leg, id, slot, extra)
		from := fromOwner
		if m.GetId() == c.Membership.Self().GetId() {
			res = c.Serve(ctx, part)
		} else {
			res, from = c.remote(ctx, m, part)
		}
		unreached := from == fromLink && res.GetCode() == toucanpb.Code_CODE_DOWN
		closed := from == fromOwner && (res.GetCode() == toucanpb.Code_CODE_LEASE || res.GetCode() == toucanpb.Code_CODE_STOPPING)
		o.learn(m.GetId(), res, closed || unreached)
		if !closed && !unreached || res.GetOutcome() != toucanpb.Outcome_OUTCOME_NOTRUN || ctx.Err() != nil {
			return res, from
		}
	}
	if res == nil {
		res = refusal(leg, toucanfault.NotRun(toucanpb.Code_CODE_LEASE, "no owner of the replica is known"))
		res.Replica = string(id)
	}
	return res, fromLink
}

// share returns a copy of leg for one owner.
func share(leg *toucanpb.Leg, id toucanreplica.ID, slot int, extra bool) *toucanpb.Leg {
	return &toucanpb.Leg{
		QueryId: leg.GetQueryId(), Service: leg.GetService(), Shard: leg.GetShard(), Route: leg.GetRoute(),
		Query: leg.GetQuery(), Limit: leg.GetLimit(), Index: leg.GetIndex(), Map: leg.GetMap(),
		Replica: string(id), Slot: uint32(slot), View: leg.GetView(), TimeoutUs: leg.GetTimeoutUs(),
		Key: leg.GetKey(), Once: leg.GetOnce(), Version: leg.GetVersion(), Traceparent: leg.GetTraceparent(),
		Extra: extra,
	}
}

// remote runs a leg at a peer. A once-only leg with a key whose peer was lost
// is settled through its claim.
func (c *Dispatcher) remote(ctx context.Context, m *toucanpb.Member, leg *toucanpb.Leg) (*toucanpb.LegResult, source) {
	res, err := c.PeerLink.Do(ctx, m.GetAddress(), leg)
	if err == nil {
		return checked(leg, res), fromOwner
	}
	f, from := faultOf(err), fromLink
	if f.Outcome == toucanpb.Outcome_OUTCOME_UNKNOWN && f.Code == toucanpb.Code_CODE_DOWN && c.settle(ctx, leg) {
		f, from = toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "peer lost before it claimed the request"), fromSettled
	}
	res = refusal(leg, f)
	if f.Outcome == toucanpb.Outcome_OUTCOME_UNKNOWN {
		res.Sent = 1
	}
	return res, from
}

// settle reports whether the leg of a lost peer can be declared not run. The
// deadline of the leg does not apply: the answer matters after it, too.
func (c *Dispatcher) settle(ctx context.Context, leg *toucanpb.Leg) bool {
	if !leg.GetOnce() || leg.GetKey() == "" || c.Claims == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	void, err := c.Claims.Void(ctx, toucanservice.Name(leg.GetService()), leg.GetKey(), leg.GetQueryId())
	return void && err == nil
}

// checked rejects a result that is not for the leg.
func checked(leg *toucanpb.Leg, res *toucanpb.LegResult) *toucanpb.LegResult {
	if res.GetCode() != toucanpb.Code_CODE_UNSPECIFIED {
		return res
	}
	if res.GetShard() == leg.GetShard() && res.GetIndex() == leg.GetIndex() && res.GetOutcome() == toucanpb.Outcome_OUTCOME_DONE {
		return res
	}
	bad := refusal(leg, toucanfault.Unknown(toucanpb.Code_CODE_INVALID, "peer's result is for another leg"))
	bad.Sent = res.GetSent()
	return bad
}
