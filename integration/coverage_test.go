package integration

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanzone"
)

// missingReason returns why an answer lacks a shard, or "" if the answer covers
// the shard.
func missingReason(a *toucanpb.Answer, shard uint32) string {
	for _, m := range a.GetCoverage().GetMissing() {
		if m.GetShard() == shard {
			return m.GetReason()
		}
	}
	return ""
}

// answeredSince returns the requests that started after a time and were answered.
func answeredSince(all []request, at time.Time) []request {
	var out []request
	for _, r := range all {
		if r.Answer != nil && r.Started.After(at) {
			out = append(out, r)
		}
	}
	return out
}

// Guards against answers whose coverage includes shards that did not answer, or
// that lack items of covered shards. All replicas of one shard send garbage, a
// host is suspended under load and resumed, a zone is partitioned, and the targets
// of two zones are killed, which leaves some shards without a replica.
func TestPromise02CoverageIsAccurate(t *testing.T) {
	b := newTestbed(t)
	reference := b.readReferenceItems(broadQuery)
	b.startWithFullCoverage()
	l := b.startLoad(150, b.searchRequests(b.Hosts, broadQuery))
	require.True(t, b.sleep(500*time.Millisecond))

	for _, id := range []string{"coordinator-0-a", "coordinator-0-b"} {
		b.changeBehavior(id, map[string]any{"answers": map[string]any{"garbage": 1}})
	}
	garbageFrom := time.Now()
	require.True(t, b.sleep(1500*time.Millisecond))
	garbageUntil := time.Now()
	for _, id := range []string{"coordinator-0-a", "coordinator-0-b"} {
		b.changeBehavior(id, map[string]any{"answers": map[string]any{"garbage": 0}})
	}

	suspended := b.host("costa-1")
	b.suspend(suspended)
	require.True(t, b.sleep(2*time.Second))
	b.resume(suspended)
	require.True(t, b.sleep(time.Second))

	const zone = toucanzone.Name("oriente")
	b.partitionZone(zone)
	require.True(t, b.sleep(2*time.Second))
	b.healZone(zone)
	for _, h := range b.Hosts {
		b.waitForFullCoverage(h)
	}

	b.checkInFlightLimits(b.ledger())
	for _, z := range []toucanzone.Name{"sierra", "costa"} {
		b.targetProcess(z).Process.Kill()
	}
	killed := time.Now()
	require.True(t, b.sleep(2*time.Second))

	all := l.finish()
	n := b.checkAnswers(reference, all)
	t.Logf("%d answers, results %v", n, countResults(all))
	for _, r := range answeredSince(all, garbageFrom) {
		if r.Ended.Before(garbageUntil) && r.Query.GetService() == "coordinator" {
			require.NotEmpty(t, missingReason(r.Answer, 0), "shard 0 is covered although its replicas sent only garbage")
		}
	}
	checkedShards := 0
	for _, r := range answeredSince(all, killed) {
		for shard := uint32(0); shard < b.shardCount(r.Query.GetService()); shard += 3 {
			checkedShards++
			require.NotEmpty(t, missingReason(r.Answer, shard), "shard %d is covered although its replicas in sierra and costa were killed", shard)
		}
	}
	require.Positive(t, checkedShards, "no answers after the targets were killed")
	results := countResults(all)
	for _, result := range []string{"done", "partial", "missing/invalid", "missing/down"} {
		require.Positive(t, results[result], "no request ended as %s", result)
	}
	require.Positive(t, results["missing/cut"]+results["missing/timeout"], "no shard was missing because of the partition")
	b.stopAllHosts()
}
