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

// runOnce runs a non-idempotent request with a single leg on the shard that
// owns its key. The failure's outcome says whether it may have run.
func (c *Coordinator) runOnce(ctx context.Context, t *task) (*toucanpb.Answer, error) {
	key := t.query.GetKey()
	if key == "" {
		key = t.request
	}
	shard := owner(t.service, key, t.shards)
	zones, code := c.zones(t, shard, nil)
	if code != toucanpb.Code_CODE_UNSPECIFIED {
		return nil, toucanfault.NotRun(code, fmt.Sprintf("no zone in service holds shard %d", shard))
	}
	leg := t.leg(shard, 0)
	ends := make(chan *toucanpb.LegResult, 1)
	go func() { ends <- c.runFirst(ctx, t, shard, zones) }()
	var r *toucanpb.LegResult
	select {
	case r = <-ends:
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			return nil, toucanfault.Unknown(toucanpb.Code_CODE_CANCELLED, "the caller cancelled the request")
		}
		// A leg that was still queued says within the margin that it did not run.
		last := time.NewTimer(c.margin())
		defer last.Stop()
		select {
		case r = <-ends:
		case <-last.C:
			return nil, toucanfault.Unknown(toucanpb.Code_CODE_TIMEOUT, "no outcome before the deadline")
		}
	}
	if verify(leg, r) == toucanpb.Code_CODE_UNSPECIFIED {
		return &toucanpb.Answer{
			Request:  t.request,
			Snapshot: &toucanpb.Snapshot{Index: r.GetIndex(), Map: t.catalog.Revision()},
			Coverage: &toucanpb.Coverage{Asked: 1, Answered: 1},
			Items:    r.GetItems()[:min(len(r.GetItems()), int(t.limit))],
		}, nil
	}
	return nil, c.settle(ctx, t, leg, r)
}

// runFirst runs a non-idempotent leg in the first zone, and in the next one if
// nothing of it can have been sent in the first.
func (c *Coordinator) runFirst(ctx context.Context, t *task, shard toucanshard.ID, zones []toucanzone.Name) *toucanpb.LegResult {
	r := c.runZone(ctx, zones[0], t.leg(shard, 0))
	if len(zones) == 1 || ctx.Err() != nil || r.GetOutcome() != toucanpb.Outcome_OUTCOME_NOTRUN || !moves(r.GetCode(), r) {
		return r
	}
	if r.GetCode() == toucanpb.Code_CODE_DOWN && t.query.GetKey() != "" {
		// The owner may have claimed the key before it failed to connect; the
		// claim would refuse the leg elsewhere as a duplicate.
		return r
	}
	return c.runZone(ctx, zones[1], t.leg(shard, 0))
}

// settle returns the failure of a request that was not done. Where the host
// that had the leg was lost, a claim that is voided proves that it did not run.
func (c *Coordinator) settle(ctx context.Context, t *task, leg *toucanpb.Leg, r *toucanpb.LegResult) error {
	code := verify(leg, r)
	if r.GetOutcome() == toucanpb.Outcome_OUTCOME_NOTRUN {
		return toucanfault.NotRun(code, r.GetDetail())
	}
	lost := code == toucanpb.Code_CODE_DOWN || code == toucanpb.Code_CODE_CUT
	if lost && c.Claims != nil && t.query.GetKey() != "" {
		if void, err := c.Claims.Void(ctx, t.service, t.query.GetKey(), t.request); err == nil && void {
			return toucanfault.NotRun(code, "the host that had the request was lost before it claimed the key")
		}
	}
	return toucanfault.Unknown(code, r.GetDetail())
}

// owner returns the shard that owns a key, the same on all hosts.
func owner(s toucanservice.Name, key string, shards uint32) toucanshard.ID {
	nodes := make([]string, shards)
	for n := range nodes {
		nodes[n] = strconv.Itoa(n)
	}
	first := toucanrank.Ranker{Seed: string(s)}.Rank(key, nodes)[0]
	n, _ := strconv.ParseUint(first, 10, 32) // a node written above
	return toucanshard.ID(n)
}
