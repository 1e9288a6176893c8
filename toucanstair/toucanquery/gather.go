package toucanquery

import (
	"context"
	"errors"
	"math"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanshard"
	"toucanstair.example/toucanstair/toucanmerge"
)

var (
	// legsNeeded counts the shards that queries ask for. The excess of
	// toucan_legs_sent_total over it is the extra load of hedges and retries.
	legsNeeded = metrics.NewCounter("toucan_legs_needed_total")
	hedges     = metrics.NewCounter("toucan_query_hedges_total") // in another zone
)

// shardResult is the result of the leg of one shard.
type shardResult struct {
	shard     toucanshard.ID
	code      toucanpb.Code // CODE_UNSPECIFIED if the shard answered
	legResult *toucanpb.LegResult
}

// gather runs a leg for each shard at one pinned index version and merges the
// results that arrive before the deadline of the legs.
func (c *Coordinator) gather(ctx context.Context, t *task) (*toucanpb.Answer, error) {
	index, err := c.Inventory.Pin(t.service, t.catalog)
	if err != nil {
		return nil, err
	}
	legsNeeded.Add(int(t.shards))
	shardsByZone := c.Inventory.ShardsByZone(t.service, t.catalog, index)
	results := make(chan shardResult, t.shards)
	shardCodes := make([]toucanpb.Code, t.shards) // CODE_UNSPECIFIED if the shard answered
	for n := range t.shards {
		shard := toucanshard.ID(n)
		t, zones, code := c.planShard(t, shard, shardsByZone)
		if code != toucanpb.Code_CODE_UNSPECIFIED {
			results <- shardResult{shard: shard, code: code}
			continue
		}
		// A leg that is still running at the time of the response is cancelled by ctx;
		// its result fits in the buffer of the channel, so the worker does not block.
		shardCodes[n] = toucanpb.Code_CODE_TIMEOUT
		c.workers.Go(func() { results <- c.runPlannedShard(ctx, t, shard, index, zones) })
	}

	merger := toucanmerge.New(int(t.limit))
	answered := uint32(0)
	handleResult := func(result shardResult) {
		shardCodes[result.shard] = result.code
		if result.code == toucanpb.Code_CODE_UNSPECIFIED {
			answered++
			merger.Add(result.legResult.GetItems())
			return
		}
		c.log().Info("shard is missing", zap.String("request", t.requestID), zap.String("service", string(t.service)),
			zap.Uint32("shard", uint32(result.shard)), zap.String("code", toucanfault.CodeName(result.code)), zap.String("detail", result.legResult.GetDetail()))
	}
	for pending := t.shards; pending > 0; pending-- {
		select {
		case result := <-results:
			handleResult(result)
			continue
		case <-ctx.Done():
		}
		for len(results) > 0 {
			handleResult(<-results)
		}
		break
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil, toucanfault.Unknown(toucanpb.Code_CODE_CANCELLED, "the caller cancelled the query")
	}
	a := &toucanpb.Answer{
		Request:  t.requestID,
		Snapshot: &toucanpb.Snapshot{Index: index, Map: t.catalog.Revision()},
		Coverage: &toucanpb.Coverage{Asked: t.shards, Answered: answered},
		Items:    merger.Items(),
	}
	for n, code := range shardCodes {
		if code != toucanpb.Code_CODE_UNSPECIFIED {
			a.Coverage.Missing = append(a.Coverage.Missing, &toucanpb.Missing{Shard: uint32(n), Reason: missingReason(code)})
		}
	}
	return a, nil
}

// resultCode returns the code of a leg's result. It is CODE_UNSPECIFIED only if the
// leg was done and the result is for its shard and the pinned index version.
func resultCode(leg *toucanpb.Leg, r *toucanpb.LegResult) toucanpb.Code {
	if r.GetOutcome() != toucanpb.Outcome_OUTCOME_DONE {
		if r.GetCode() == toucanpb.Code_CODE_UNSPECIFIED {
			return toucanpb.Code_CODE_INVALID
		}
		return r.GetCode()
	}
	if r.GetCode() != toucanpb.Code_CODE_UNSPECIFIED || r.GetShard() != leg.GetShard() ||
		!leg.GetOnce() && r.GetIndex() != leg.GetIndex() {
		return toucanpb.Code_CODE_INVALID
	}
	for _, it := range r.GetItems() {
		// Such scores cannot be sorted or encoded as JSON.
		if math.IsNaN(it.GetScore()) || math.IsInf(it.GetScore(), 0) {
			return toucanpb.Code_CODE_INVALID
		}
	}
	return toucanpb.Code_CODE_UNSPECIFIED
}

// missingReason returns the reason that a response gives for a missing shard.
func missingReason(code toucanpb.Code) string {
	switch code {
	case toucanpb.Code_CODE_TIMEOUT, toucanpb.Code_CODE_REFUSED, toucanpb.Code_CODE_DOWN, toucanpb.Code_CODE_CUT,
		toucanpb.Code_CODE_OUT, toucanpb.Code_CODE_VERSION, toucanpb.Code_CODE_INVALID, toucanpb.Code_CODE_OVERLOAD:
		return toucanfault.CodeName(code)
	case toucanpb.Code_CODE_CANCELLED:
		return toucanfault.CodeName(toucanpb.Code_CODE_TIMEOUT)
	case toucanpb.Code_CODE_FAILED, toucanpb.Code_CODE_INTERNAL:
		return toucanfault.CodeName(toucanpb.Code_CODE_INVALID)
	}
	return toucanfault.CodeName(toucanpb.Code_CODE_REFUSED)
}
