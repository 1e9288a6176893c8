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

// needed counts the shards asked for; with toucan_legs_sent_total it gives the
// extra load of hedges and retries.
var (
	needed = metrics.NewCounter("toucan_legs_needed_total")
	hedges = metrics.NewCounter("toucan_query_hedges_total") // in another zone
)

// ending is what became of one shard.
type ending struct {
	shard  toucanshard.ID
	code   toucanpb.Code // CODE_UNSPECIFIED: answered
	result *toucanpb.LegResult
}

// gather runs a leg for each shard at one index version and merges what came
// until it is time to leave.
func (c *Coordinator) gather(ctx context.Context, t *task) (*toucanpb.Answer, error) {
	index, err := c.Inventory.Pin(t.service, t.catalog)
	if err != nil {
		return nil, err
	}
	needed.Add(int(t.shards))
	serves := c.Inventory.ShardsByZone(t.service, t.catalog, index)
	ends := make(chan ending, t.shards)
	missing := make([]toucanpb.Code, t.shards)
	for n := range t.shards {
		shard := toucanshard.ID(n)
		t, zones, code := c.plan(t, shard, serves)
		if code != toucanpb.Code_CODE_UNSPECIFIED {
			ends <- ending{shard: shard, code: code}
			continue
		}
		// A leg that is still running when the response leaves is cancelled by
		// ctx; it reports its end into the channel's free place.
		missing[n] = toucanpb.Code_CODE_TIMEOUT
		c.workers.Go(func() { ends <- c.runShard(ctx, t, shard, index, zones) })
	}

	merger := toucanmerge.New(int(t.limit))
	answered := uint32(0)
	take := func(e ending) {
		missing[e.shard] = e.code
		if e.code == toucanpb.Code_CODE_UNSPECIFIED {
			answered++
			merger.Add(e.result.GetItems())
			return
		}
		c.log().Info("shard is missing", zap.String("request", t.request), zap.String("service", string(t.service)),
			zap.Uint32("shard", uint32(e.shard)), zap.String("code", toucanfault.CodeWord(e.code)), zap.String("detail", e.result.GetDetail()))
	}
	for open := t.shards; open > 0; open-- {
		select {
		case e := <-ends:
			take(e)
			continue
		case <-ctx.Done():
		}
		for len(ends) > 0 {
			take(<-ends)
		}
		break
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil, toucanfault.Unknown(toucanpb.Code_CODE_CANCELLED, "the caller cancelled the query")
	}
	a := &toucanpb.Answer{
		Request:  t.request,
		Snapshot: &toucanpb.Snapshot{Index: index, Map: t.catalog.Revision()},
		Coverage: &toucanpb.Coverage{Asked: t.shards, Answered: answered},
		Items:    merger.Items(),
	}
	for n, code := range missing {
		if code != toucanpb.Code_CODE_UNSPECIFIED {
			a.Coverage.Missing = append(a.Coverage.Missing, &toucanpb.Missing{Shard: uint32(n), Reason: reason(code)})
		}
	}
	return a, nil
}

// verify returns the code of a leg's result: unspecified only if the leg was
// done and its result is that of the shard at the pinned index version.
func verify(leg *toucanpb.Leg, r *toucanpb.LegResult) toucanpb.Code {
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
		// Such a score has no order and no form in JSON.
		if math.IsNaN(it.GetScore()) || math.IsInf(it.GetScore(), 0) {
			return toucanpb.Code_CODE_INVALID
		}
	}
	return toucanpb.Code_CODE_UNSPECIFIED
}

// reason returns the word for a shard that is missing from a response.
func reason(code toucanpb.Code) string {
	switch code {
	case toucanpb.Code_CODE_TIMEOUT, toucanpb.Code_CODE_REFUSED, toucanpb.Code_CODE_DOWN, toucanpb.Code_CODE_CUT,
		toucanpb.Code_CODE_OUT, toucanpb.Code_CODE_VERSION, toucanpb.Code_CODE_INVALID, toucanpb.Code_CODE_OVERLOAD:
		return toucanfault.CodeWord(code)
	case toucanpb.Code_CODE_CANCELLED:
		return toucanfault.CodeWord(toucanpb.Code_CODE_TIMEOUT)
	case toucanpb.Code_CODE_FAILED, toucanpb.Code_CODE_INTERNAL:
		return toucanfault.CodeWord(toucanpb.Code_CODE_INVALID)
	}
	return toucanfault.CodeWord(toucanpb.Code_CODE_REFUSED)
}
