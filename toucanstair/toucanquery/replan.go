package toucanquery

import (
	"context"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanshard"
	"toucanstair.example/core/toucanzone"
)

// runPlannedShard runs the leg of a shard. If a host with a newer configuration refused
// it, the leg is planned again with that configuration.
func (c *Coordinator) runPlannedShard(ctx context.Context, t *task, shard toucanshard.ID, index uint64, zones []toucanzone.Name) shardResult {
	for {
		result := c.runShard(ctx, t, shard, index, zones)
		newer := c.awaitNewerTask(ctx, t, result.legResult)
		if newer == nil {
			return result
		}
		planned, newerZones, code := c.planShard(newer, shard, c.Inventory.ShardsByZone(t.service, newer.catalog, index))
		if code != toucanpb.Code_CODE_UNSPECIFIED {
			return shardResult{shard: shard, code: code}
		}
		t, zones = planned, newerZones
	}
}

// runPlannedOnce runs a non-idempotent leg. If a host with a newer configuration refused
// it, which happens before a claim of its key, the leg is planned again with that
// configuration.
func (c *Coordinator) runPlannedOnce(ctx context.Context, t *task, shard toucanshard.ID, zones []toucanzone.Name) *toucanpb.LegResult {
	for {
		r := c.runWithFailover(ctx, t, shard, zones)
		newer := c.awaitNewerTask(ctx, t, r)
		if newer == nil {
			return r
		}
		newerZones, code := c.rankZones(newer, shard, nil)
		if code != toucanpb.Code_CODE_UNSPECIFIED {
			return failedResult(t.leg(shard, 0), toucanfault.NotRun(code, "no zone in service holds the shard"))
		}
		t, zones = newer, newerZones
	}
}

// awaitNewerTask returns the task under the newer configuration by which a host refused
// a leg, once this host has it. It returns nil if the leg failed for another reason, if
// the configuration does not arrive in time, or if the shards differ, so that the
// response would mix two shard maps.
func (c *Coordinator) awaitNewerTask(ctx context.Context, t *task, r *toucanpb.LegResult) *task {
	if r.GetOutcome() != toucanpb.Outcome_OUTCOME_NOTRUN || r.GetMap() <= t.catalog.Revision() {
		return nil
	}
	catalog := c.Configuration.AwaitRevision(ctx, r.GetMap())
	if catalog == nil || catalog.Service(t.service).GetShards() != t.shards || catalog.Route(t.service, t.query.GetRoute()) == nil {
		return nil
	}
	c.log().Info("leg refused by a newer configuration, planned again", zap.String("request", t.requestID), zap.String("service", string(t.service)),
		zap.Uint32("shard", r.GetShard()), zap.Uint64("revision", t.catalog.Revision()), zap.Uint64("newer", catalog.Revision()))
	newer := *t
	newer.catalog = catalog
	return &newer
}
