package toucanquery

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucanshard"
	"toucanstair.example/core/toucanzone"
)

// maxContacts bounds the hosts of a zone that are tried for one leg.
const maxContacts = 3

// mostZones bounds the zones that run the leg of one shard.
const mostZones = 2

// zones returns the zones to ask for a shard, best first: those known to serve
// it at the pinned version, among them those with a replica of the request's
// version label and the own zone; then the other holders. Zones without a
// replica that may serve the label are left out. The code says why there is none.
func (c *Coordinator) zones(t *task, shard toucanshard.ID, serves map[toucanzone.Name][]byte) ([]toucanzone.Name, toucanpb.Code) {
	const unserved, unlabelled, foreign = 4, 2, 1 // what makes a zone worse, the worst first
	var classes [unserved + unlabelled + foreign + 1][]toucanzone.Name
	found := 0
	code := toucanpb.Code_CODE_VERSION
	for _, z := range t.catalog.ZonesOfShard(t.service, shard) {
		replicas := t.catalog.ReplicasForVersion(t.service, shard, z, t.label)
		if len(replicas) == 0 {
			continue
		}
		if t.catalog.ZoneOutOfService(z) {
			code = toucanpb.Code_CODE_OUT
			continue
		}
		class := 0
		if !has(serves[z], shard) {
			class += unserved
		}
		if !carries(replicas, t.label) {
			class += unlabelled
		}
		if z != c.Zone {
			class += foreign
		}
		classes[class] = append(classes[class], z)
		found++
	}
	if found == 0 {
		return nil, code
	}
	return slices.Concat(classes[:]...), toucanpb.Code_CODE_UNSPECIFIED
}

// plan returns the zones to ask for a shard, and the task to ask them for. While
// a service moves, a shard whose only replicas of the old version are in zones out
// of service is asked of the new version, unless that was taken back: a response
// that may fail serves the caller better than a shard that is surely missing.
func (c *Coordinator) plan(t *task, shard toucanshard.ID, serves map[toucanzone.Name][]byte) (*task, []toucanzone.Name, toucanpb.Code) {
	zones, code := c.zones(t, shard, serves)
	m := t.catalog.Move(t.service)
	if code != toucanpb.Code_CODE_OUT || m == nil || t.label != m.GetFrom() || c.Canary == nil || !c.Canary.NewVersionMayServe(t.service) {
		return t, zones, code
	}
	moved := *t
	moved.label = m.GetTo()
	zones, code = c.zones(&moved, shard, serves)
	if code != toucanpb.Code_CODE_UNSPECIFIED {
		return t, nil, code
	}
	c.log().Info("shard has no replica of the old version in service, asking the new one", zap.String("request", t.request),
		zap.String("service", string(t.service)), zap.Uint32("shard", uint32(shard)), zap.String("version", m.GetTo()))
	return &moved, zones, code
}

// carries reports whether a replica has the version label; all have "".
func carries(replicas []*toucanpb.Replica, label string) bool {
	return label == "" || slices.ContainsFunc(replicas, func(r *toucanpb.Replica) bool { return r.GetVersion() == label })
}

func has(bitmap []byte, s toucanshard.ID) bool {
	return int(s/8) < len(bitmap) && bitmap[s/8]&(1<<(s%8)) != 0
}

// runShard runs the leg of a shard in the first zone. When that zone could not
// be reached or had nowhere to run it, the leg moves to the next one. When the
// zone has one replica only, so that its cell has nothing to hedge with, a slow
// leg is hedged in the next zone. A zone that did not run the hedge stays one to
// move to, since a cold replica refuses a hedge but not the only attempt.
func (c *Coordinator) runShard(ctx context.Context, t *task, shard toucanshard.ID, index uint64, zones []toucanzone.Name) ending {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // also ends the run that lost
	zones = zones[:min(len(zones), mostZones)]
	ends := make(chan attempt, mostZones+1) // one hedge
	pending := 0
	launch := func(extra bool) {
		z := zones[0]
		zones = zones[1:]
		pending++
		leg := t.leg(shard, index)
		leg.Extra = extra
		c.workers.Go(func() {
			result := c.runZone(ctx, z, leg)
			ends <- attempt{ending{shard: shard, code: verify(leg, result), result: result}, z, extra}
		})
	}
	begin := time.Now()
	var slow <-chan time.Time
	if c.mayHedge(t, shard, zones) {
		c.Budget.Deposit()
		timer := time.NewTimer(c.Budget.HedgeDelay(t.service))
		defer timer.Stop()
		slow = timer.C
	}
	launch(false)
	var failed ending // of the first attempt that was no hedge
	for {
		select {
		case e := <-ends:
			pending--
			switch {
			case e.code == toucanpb.Code_CODE_UNSPECIFIED:
				c.learn(t.service, time.Since(begin))
				return e.ending
			case !e.extra && failed.result == nil:
				failed = e.ending
			case e.extra && e.result.GetOutcome() == toucanpb.Outcome_OUTCOME_NOTRUN:
				zones = append(zones, e.zone)
			}
			if pending > 0 {
				continue
			}
			if len(zones) == 0 || ctx.Err() != nil || !c.mayMove(failed) {
				return failed
			}
			launch(false)
		case <-slow:
			if len(zones) > 0 && c.Budget.TryWithdraw() {
				hedges.Inc()
				launch(true)
			}
		}
	}
}

// attempt is the end of a leg in one zone.
type attempt struct {
	ending
	zone  toucanzone.Name
	extra bool // a hedge
}

// mayMove reports whether a leg that failed may be run in another zone, and
// takes a token for one that may have run.
func (c *Coordinator) mayMove(e ending) bool {
	ran := e.result.GetOutcome() != toucanpb.Outcome_OUTCOME_NOTRUN
	return moves(e.code, e.result) && (!ran || c.mayRepeat())
}

// mayHedge reports whether a slow leg is hedged in the next zone: there is one,
// and the first zone's cell has no other replica to hedge with.
func (c *Coordinator) mayHedge(t *task, shard toucanshard.ID, zones []toucanzone.Name) bool {
	return c.Budget != nil && len(zones) > 1 && len(t.catalog.ReplicasForVersion(t.service, shard, zones[0], t.label)) <= 1
}

func (c *Coordinator) learn(s toucanservice.Name, took time.Duration) {
	if c.Budget != nil {
		c.Budget.RecordLatency(s, took)
	}
}

// mayRepeat takes a token for a leg that may have run before; without a budget
// each leg is repeated once.
func (c *Coordinator) mayRepeat() bool { return c.Budget == nil || c.Budget.TryWithdraw() }

// moves reports whether a leg may be tried in another zone. Overload and
// refusals by targets are not: they would move the load of one zone to the next.
// A zone whose replicas of the shard are draining has no capacity to wait for.
func moves(code toucanpb.Code, r *toucanpb.LegResult) bool {
	if code == toucanpb.Code_CODE_CUT || code == toucanpb.Code_CODE_DOWN {
		return true
	}
	if r.GetOutcome() != toucanpb.Outcome_OUTCOME_NOTRUN {
		return false
	}
	switch code {
	case toucanpb.Code_CODE_REFUSED:
		return r.GetDraining()
	case toucanpb.Code_CODE_OUT, toucanpb.Code_CODE_LEASE, toucanpb.Code_CODE_STOPPING,
		toucanpb.Code_CODE_VERSION, toucanpb.Code_CODE_CONFIG:
		return true
	}
	return false
}

func (t *task) leg(shard toucanshard.ID, index uint64) *toucanpb.Leg {
	return &toucanpb.Leg{
		QueryId:     t.request,
		Service:     t.query.GetService(),
		Shard:       uint32(shard),
		Route:       t.query.GetRoute(),
		Query:       []byte(t.query.GetQuery()),
		Limit:       t.limit,
		Index:       index,
		Map:         t.catalog.Revision(),
		Version:     t.label,
		Traceparent: t.trace,
		TimeoutUs:   uint64(max(time.Until(t.leave).Microseconds(), 0)),
		Key:         t.query.GetKey(),
		Once:        t.once,
	}
}

// runZone runs a leg in a zone and returns a result in every case.
func (c *Coordinator) runZone(ctx context.Context, z toucanzone.Name, leg *toucanpb.Leg) (result *toucanpb.LegResult) {
	if c.Drainer != nil {
		if !c.Drainer.BeginLeg() {
			return refusal(leg, toucanfault.NotRun(toucanpb.Code_CODE_STOPPING, "the host is stopping"))
		}
		defer c.Drainer.EndLeg()
	}
	defer func() {
		if p := recover(); p != nil {
			c.log().Error("leg panicked", zap.String("request", leg.GetQueryId()), zap.Any("panic", p), zap.Stack("stack"))
			result = refusal(leg, toucanfault.Unknown(toucanpb.Code_CODE_INTERNAL, fmt.Sprint("panic: ", p)))
		}
		if result == nil {
			result = refusal(leg, toucanfault.Unknown(toucanpb.Code_CODE_INTERNAL, "no result"))
		}
	}()
	if z == c.Zone {
		return c.Local.Run(ctx, leg)
	}
	return c.runRemote(ctx, z, leg)
}

// runRemote asks the zone's contacts in turn. The next one is asked only if the
// leg did not run at the one before, or if that one was lost and the leg is
// idempotent; the repeat takes a token of the budget. It is not marked extra,
// because a cold replica must not refuse a leg that has nowhere else to go.
func (c *Coordinator) runRemote(ctx context.Context, z toucanzone.Name, leg *toucanpb.Leg) *toucanpb.LegResult {
	hosts := c.Contacts.Contacts(z)
	last := toucanfault.NotRun(toucanpb.Code_CODE_CUT, "no host of zone "+string(z)+" is known")
	lost := false
	for _, m := range hosts[:min(len(hosts), maxContacts)] {
		result, err := c.PeerLink.Do(ctx, m.GetAddress(), leg)
		if err == nil {
			if ctx.Err() != nil || !cannotServe(result.GetOutcome(), result.GetCode()) {
				return result
			}
			last = toucanfault.NotRun(result.GetCode(), result.GetDetail())
			continue
		}
		if last = toucanfault.As(err); last == nil {
			last = toucanfault.Unknown(toucanpb.Code_CODE_DOWN, "link failed").Because(err)
		}
		if ctx.Err() != nil || leg.GetOnce() && last.Outcome != toucanpb.Outcome_OUTCOME_NOTRUN {
			return refusal(leg, last)
		}
		down := last.Code == toucanpb.Code_CODE_DOWN
		switch {
		case cannotServe(last.Outcome, last.Code):
		case down && last.Outcome == toucanpb.Outcome_OUTCOME_NOTRUN:
		case down && !lost && c.mayRepeat():
			lost = true
			leg = proto.CloneOf(leg) // the link to the lost host may still use it
		default:
			return refusal(leg, last)
		}
	}
	cut := &toucanfault.Error{Code: toucanpb.Code_CODE_CUT, Outcome: toucanpb.Outcome_OUTCOME_NOTRUN, Detail: "zone " + string(z), Cause: last}
	if lost {
		cut.Outcome = toucanpb.Outcome_OUTCOME_UNKNOWN
	}
	return refusal(leg, cut)
}

// cannotServe reports whether a host itself, and not the targets behind it,
// turned the leg away: it has no lease, is stopping, or has just started and has
// no configuration yet.
func cannotServe(o toucanpb.Outcome, code toucanpb.Code) bool {
	return o == toucanpb.Outcome_OUTCOME_NOTRUN &&
		(code == toucanpb.Code_CODE_LEASE || code == toucanpb.Code_CODE_STOPPING || code == toucanpb.Code_CODE_CONFIG)
}

// refusal turns a failure into a leg's result.
func refusal(leg *toucanpb.Leg, f *toucanfault.Error) *toucanpb.LegResult {
	outcome := f.Outcome
	if outcome == toucanpb.Outcome_OUTCOME_UNSPECIFIED || outcome == toucanpb.Outcome_OUTCOME_DONE {
		outcome = toucanpb.Outcome_OUTCOME_UNKNOWN
	}
	return &toucanpb.LegResult{Shard: leg.GetShard(), Index: leg.GetIndex(), Outcome: outcome, Code: f.Code, Detail: f.Error()}
}

// traceparent returns the W3C trace context of ctx, "" when it has none.
func traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier["traceparent"]
}
