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

// maxContacts is the number of hosts of a zone that are tried for one leg at most.
const maxContacts = 3

// maxZones is the number of zones that run the leg of one shard at most.
const maxZones = 2

// rankZones returns the zones to ask for a shard, best first. Zones that are known to
// serve the shard at the pinned index version come before the others, then zones with
// a replica of the service version of the request, then this host's zone. Zones
// without a replica that may serve that version are left out. If there is no zone,
// the code says why.
func (c *Coordinator) rankZones(t *task, shard toucanshard.ID, shardsByZone map[toucanzone.Name][]byte) ([]toucanzone.Name, toucanpb.Code) {
	const indexNotServed, otherVersion, otherZone = 4, 2, 1 // penalties; the class of a zone is their sum
	var classes [indexNotServed + otherVersion + otherZone + 1][]toucanzone.Name
	found := 0
	code := toucanpb.Code_CODE_VERSION
	for _, z := range t.catalog.ZonesOfShard(t.service, shard) {
		replicas := t.catalog.ReplicasForVersion(t.service, shard, z, t.version)
		if len(replicas) == 0 {
			continue
		}
		if t.catalog.ZoneOutOfService(z) {
			code = toucanpb.Code_CODE_OUT
			continue
		}
		class := 0
		if !bitmapHas(shardsByZone[z], shard) {
			class += indexNotServed
		}
		if !hasVersion(replicas, t.version) {
			class += otherVersion
		}
		if z != c.Zone {
			class += otherZone
		}
		classes[class] = append(classes[class], z)
		found++
	}
	if found == 0 {
		return nil, code
	}
	return slices.Concat(classes[:]...), toucanpb.Code_CODE_UNSPECIFIED
}

// planShard returns the zones to ask for a shard, and the task to run there. If a
// shard has replicas of the old version only in zones out of service during a rollout,
// the task asks for the new version unless that was rolled back: a leg that may fail
// serves the caller better than a shard that is certainly missing.
func (c *Coordinator) planShard(t *task, shard toucanshard.ID, shardsByZone map[toucanzone.Name][]byte) (*task, []toucanzone.Name, toucanpb.Code) {
	zones, code := c.rankZones(t, shard, shardsByZone)
	m := t.catalog.Move(t.service)
	if code != toucanpb.Code_CODE_OUT || m == nil || t.version != m.GetFrom() || c.Canary == nil || !c.Canary.NewVersionMayServe(t.service) {
		return t, zones, code
	}
	newVersionTask := *t
	newVersionTask.version = m.GetTo()
	zones, code = c.rankZones(&newVersionTask, shard, shardsByZone)
	if code != toucanpb.Code_CODE_UNSPECIFIED {
		return t, nil, code
	}
	c.log().Info("shard has no replica of the old version in service, asking the new one", zap.String("request", t.requestID),
		zap.String("service", string(t.service)), zap.Uint32("shard", uint32(shard)), zap.String("version", m.GetTo()))
	return &newVersionTask, zones, code
}

// hasVersion reports whether a replica has the version. "" matches every replica.
func hasVersion(replicas []*toucanpb.Replica, version string) bool {
	return version == "" || slices.ContainsFunc(replicas, func(r *toucanpb.Replica) bool { return r.GetVersion() == version })
}

func bitmapHas(bitmap []byte, s toucanshard.ID) bool {
	return int(s/8) < len(bitmap) && bitmap[s/8]&(1<<(s%8)) != 0
}

// runShard runs the leg of a shard in the first zone. If that zone cannot be reached
// or has no replica that can run it, the leg fails over to the next one. If the first
// zone has only one replica, so that its dispatcher cannot hedge, a slow leg is hedged
// in the next zone. A zone that did not run the hedge remains one to fail over to,
// since a cold replica refuses a hedge but not the only attempt.
func (c *Coordinator) runShard(ctx context.Context, t *task, shard toucanshard.ID, index uint64, zones []toucanzone.Name) shardResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // also cancels an attempt that is still running
	zones = zones[:min(len(zones), maxZones)]
	results := make(chan zoneAttempt, maxZones+1) // a zone that refused the hedge may run the leg again
	pending := 0
	launch := func(extra bool) {
		z := zones[0]
		zones = zones[1:]
		pending++
		leg := t.leg(shard, index)
		leg.Extra = extra
		c.workers.Go(func() {
			result := c.runZone(ctx, z, leg)
			results <- zoneAttempt{shardResult{shard: shard, code: resultCode(leg, result), legResult: result}, z, extra}
		})
	}
	begin := time.Now()
	var hedgeTimer <-chan time.Time
	if c.mayHedge(t, shard, zones) {
		c.Budget.Deposit()
		timer := time.NewTimer(c.Budget.HedgeDelay(t.service))
		defer timer.Stop()
		hedgeTimer = timer.C
	}
	launch(false)
	var firstFailure shardResult // of the attempts that are not hedges
	var refusedBy uint64         // newest configuration revision that refused an attempt
	for {
		select {
		case e := <-results:
			pending--
			refusedBy = max(refusedBy, e.legResult.GetMap())
			switch {
			case e.code == toucanpb.Code_CODE_UNSPECIFIED:
				c.recordLatency(t.service, time.Since(begin))
				return e.shardResult
			case !e.extra && firstFailure.legResult == nil:
				firstFailure = e.shardResult
			case e.extra && e.legResult.GetOutcome() == toucanpb.Outcome_OUTCOME_NOTRUN:
				zones = append(zones, e.zone)
			}
			if pending > 0 {
				continue
			}
			if len(zones) == 0 || ctx.Err() != nil || !c.mayFailOver(firstFailure) {
				firstFailure.legResult.Map = refusedBy
				return firstFailure
			}
			launch(false)
		case <-hedgeTimer:
			if len(zones) > 0 && c.Budget.TryWithdraw() {
				hedges.Inc()
				launch(true)
			}
		}
	}
}

// zoneAttempt is the result of a leg in one zone.
type zoneAttempt struct {
	shardResult
	zone  toucanzone.Name
	extra bool // a hedge
}

// mayFailOver reports whether a failed leg may run in another zone. It takes a token
// of the budget for a leg that may have run.
func (c *Coordinator) mayFailOver(e shardResult) bool {
	mayHaveRun := e.legResult.GetOutcome() != toucanpb.Outcome_OUTCOME_NOTRUN
	return permitsFailover(e.code, e.legResult) && (!mayHaveRun || c.takeRetryToken())
}

// mayHedge reports whether a slow leg is hedged in the next zone: there is one, and
// the first zone has no second replica to hedge with.
func (c *Coordinator) mayHedge(t *task, shard toucanshard.ID, zones []toucanzone.Name) bool {
	return c.Budget != nil && len(zones) > 1 && len(t.catalog.ReplicasForVersion(t.service, shard, zones[0], t.version)) <= 1
}

func (c *Coordinator) recordLatency(s toucanservice.Name, took time.Duration) {
	if c.Budget != nil {
		c.Budget.RecordLatency(s, took)
	}
}

// takeRetryToken takes a token for the retry of a leg that may have run, and reports
// whether there was one. Without a budget it permits every retry.
func (c *Coordinator) takeRetryToken() bool { return c.Budget == nil || c.Budget.TryWithdraw() }

// permitsFailover reports whether the result of a leg permits another zone. Overload
// and refusals by targets do not, because they would move the load of one zone to the
// next. Refusals by draining replicas do: waiting gives that zone no capacity.
func permitsFailover(code toucanpb.Code, r *toucanpb.LegResult) bool {
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

// leg returns the leg of a shard, with the time left until legDeadline as its timeout.
func (t *task) leg(shard toucanshard.ID, index uint64) *toucanpb.Leg {
	return &toucanpb.Leg{
		QueryId:     t.requestID,
		Service:     t.query.GetService(),
		Shard:       uint32(shard),
		Route:       t.query.GetRoute(),
		Query:       []byte(t.query.GetQuery()),
		Limit:       t.limit,
		Index:       index,
		Map:         t.catalog.Revision(),
		Version:     t.version,
		Traceparent: t.traceparent,
		TimeoutUs:   uint64(max(time.Until(t.legDeadline).Microseconds(), 0)),
		Key:         t.query.GetKey(),
		Once:        t.once,
	}
}

// runZone runs a leg in a zone. It always returns a result, also after a panic.
func (c *Coordinator) runZone(ctx context.Context, z toucanzone.Name, leg *toucanpb.Leg) (result *toucanpb.LegResult) {
	if c.Drainer != nil {
		if !c.Drainer.BeginLeg() {
			return failedResult(leg, toucanfault.NotRun(toucanpb.Code_CODE_STOPPING, "the host is stopping"))
		}
		defer c.Drainer.EndLeg()
	}
	defer func() {
		if p := recover(); p != nil {
			c.log().Error("leg panicked", zap.String("request", leg.GetQueryId()), zap.Any("panic", p), zap.Stack("stack"))
			result = failedResult(leg, toucanfault.Unknown(toucanpb.Code_CODE_INTERNAL, fmt.Sprint("panic: ", p)))
		}
		if result == nil {
			result = failedResult(leg, toucanfault.Unknown(toucanpb.Code_CODE_INTERNAL, "no result"))
		}
	}()
	if z == c.Zone {
		return c.Local.Run(ctx, leg)
	}
	return c.runRemote(ctx, z, leg)
}

// runRemote tries the zone's contacts in turn. It goes on to the next one only if the
// leg did not run at the one before, which is unavailable or has an older
// configuration, or if that one was lost and the leg is idempotent; such a retry takes a token of the budget. The retry is not marked as
// extra, because a cold replica must not refuse the only remaining attempt.
func (c *Coordinator) runRemote(ctx context.Context, z toucanzone.Name, leg *toucanpb.Leg) *toucanpb.LegResult {
	hosts := c.Contacts.Contacts(z)
	last := toucanfault.NotRun(toucanpb.Code_CODE_CUT, "no host of zone "+string(z)+" is known")
	lost := false
	for _, m := range hosts[:min(len(hosts), maxContacts)] {
		result, err := c.PeerLink.Do(ctx, m.GetAddress(), leg)
		if err == nil {
			behind := result.GetMap() != 0 && result.GetMap() < leg.GetMap()
			if ctx.Err() != nil || !behind && !hostUnavailable(result.GetOutcome(), result.GetCode()) {
				return result
			}
			last = toucanfault.NotRun(result.GetCode(), result.GetDetail())
			continue
		}
		if last = toucanfault.As(err); last == nil {
			last = toucanfault.Unknown(toucanpb.Code_CODE_DOWN, "link failed").Because(err)
		}
		if ctx.Err() != nil || leg.GetOnce() && last.Outcome != toucanpb.Outcome_OUTCOME_NOTRUN {
			return failedResult(leg, last)
		}
		down := last.Code == toucanpb.Code_CODE_DOWN
		switch {
		case hostUnavailable(last.Outcome, last.Code):
		case down && last.Outcome == toucanpb.Outcome_OUTCOME_NOTRUN:
		case down && !lost && c.takeRetryToken():
			lost = true
			leg = proto.CloneOf(leg) // the peer link may still use the original
		default:
			return failedResult(leg, last)
		}
	}
	cut := &toucanfault.Error{Code: toucanpb.Code_CODE_CUT, Outcome: toucanpb.Outcome_OUTCOME_NOTRUN, Detail: "zone " + string(z), Cause: last}
	if lost {
		cut.Outcome = toucanpb.Outcome_OUTCOME_UNKNOWN
	}
	return failedResult(leg, cut)
}

// hostUnavailable reports whether the host itself, and not a target, refused the leg:
// it has no lease, is stopping, or has just started and has no configuration yet.
func hostUnavailable(o toucanpb.Outcome, code toucanpb.Code) bool {
	return o == toucanpb.Outcome_OUTCOME_NOTRUN &&
		(code == toucanpb.Code_CODE_LEASE || code == toucanpb.Code_CODE_STOPPING || code == toucanpb.Code_CODE_CONFIG)
}

// failedResult returns the result of a leg that failed with f. An outcome that is
// unspecified or done becomes unknown.
func failedResult(leg *toucanpb.Leg, f *toucanfault.Error) *toucanpb.LegResult {
	outcome := f.Outcome
	if outcome == toucanpb.Outcome_OUTCOME_UNSPECIFIED || outcome == toucanpb.Outcome_OUTCOME_DONE {
		outcome = toucanpb.Outcome_OUTCOME_UNKNOWN
	}
	return &toucanpb.LegResult{Shard: leg.GetShard(), Index: leg.GetIndex(), Outcome: outcome, Code: f.Code, Detail: f.Error()}
}

// traceparent returns the W3C trace context of ctx, or "" if it has none.
func traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier["traceparent"]
}
