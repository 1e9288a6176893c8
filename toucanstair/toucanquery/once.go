package toucanquery

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanrank"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucanshard"
	"toucanstair.example/core/toucanzone"
)

// runOnce runs a non-idempotent request as a single leg on the shard of its key. The
// outcome of a failure says whether the request may have run.
func (c *Coordinator) runOnce(ctx context.Context, t *task) (*toucanpb.Answer, error) {
	key := t.query.GetKey()
	if key == "" {
		key = t.requestID
	}
	shard := shardOfKey(t.service, key, t.shards)
	zones, code := c.rankZones(t, shard, nil)
	if code != toucanpb.Code_CODE_UNSPECIFIED {
		return nil, toucanfault.NotRun(code, fmt.Sprintf("no zone in service holds shard %d", shard))
	}
	leg := t.leg(shard, 0)
	results := make(chan *toucanpb.LegResult, 1)
	go func() { results <- c.runPlannedOnce(ctx, t, shard, zones) }()
	var r *toucanpb.LegResult
	select {
	case r = <-results:
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			return nil, toucanfault.Unknown(toucanpb.Code_CODE_CANCELLED, "the caller cancelled the request")
		}
		// A leg that was still queued reports within the margin that it did not run.
		marginTimer := time.NewTimer(c.responseMargin())
		defer marginTimer.Stop()
		select {
		case r = <-results:
		case <-marginTimer.C:
			return nil, toucanfault.Unknown(toucanpb.Code_CODE_TIMEOUT, "no outcome before the deadline")
		}
	}
	if resultCode(leg, r) == toucanpb.Code_CODE_UNSPECIFIED {
		return &toucanpb.Answer{
			Request:  t.requestID,
			Snapshot: &toucanpb.Snapshot{Index: r.GetIndex(), Map: t.catalog.Revision()},
			Coverage: &toucanpb.Coverage{Asked: 1, Answered: 1},
			Items:    r.GetItems()[:min(len(r.GetItems()), int(t.limit))],
		}, nil
	}
	return nil, c.onceFailure(ctx, t, leg, r)
}

// runWithFailover runs a non-idempotent leg in the first zone, and in the next one if
// no target of the first can have received it.
func (c *Coordinator) runWithFailover(ctx context.Context, t *task, shard toucanshard.ID, zones []toucanzone.Name) *toucanpb.LegResult {
	r := c.runZone(ctx, zones[0], t.leg(shard, 0))
	if len(zones) == 1 || ctx.Err() != nil || r.GetOutcome() != toucanpb.Outcome_OUTCOME_NOTRUN || !permitsFailover(r.GetCode(), r) {
		return r
	}
	if r.GetCode() == toucanpb.Code_CODE_DOWN && t.query.GetKey() != "" {
		// The owner may have claimed the key before it failed to connect; then the
		// leg would be refused as a duplicate elsewhere.
		return r
	}
	return c.runZone(ctx, zones[1], t.leg(shard, 0))
}

// onceFailure returns the failure of a non-idempotent request. If the host that ran
// the leg was lost, voiding the claim of the key proves that the request did not run.
func (c *Coordinator) onceFailure(ctx context.Context, t *task, leg *toucanpb.Leg, r *toucanpb.LegResult) error {
	code := resultCode(leg, r)
	if r.GetOutcome() == toucanpb.Outcome_OUTCOME_NOTRUN {
		return toucanfault.NotRun(code, r.GetDetail())
	}
	lost := code == toucanpb.Code_CODE_DOWN || code == toucanpb.Code_CODE_CUT
	if lost && c.Claims != nil && t.query.GetKey() != "" {
		if void, err := c.Claims.Void(ctx, t.service, t.query.GetKey(), t.requestID); err == nil && void {
			return toucanfault.NotRun(code, "the host that had the request was lost before it claimed the key")
		}
	}
	return toucanfault.Unknown(code, r.GetDetail())
}

// shardOfKey returns the shard of a key by rendezvous hashing, the same on all hosts.
func shardOfKey(s toucanservice.Name, key string, shards uint32) toucanshard.ID {
	nodes := make([]string, shards)
	for n := range nodes {
		nodes[n] = strconv.Itoa(n)
	}
	first := toucanrank.Ranker{Seed: string(s)}.Rank(key, nodes)[0]
	n, _ := strconv.ParseUint(first, 10, 32) // cannot fail, the nodes are formatted above
	return toucanshard.ID(n)
}
