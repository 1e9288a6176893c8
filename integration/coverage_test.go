package integration

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanzone"
)

// missingReason returns the reason that an answer gives for a shard, "" when the
// answer claims the shard.
func missingReason(a *toucanpb.Answer, shard uint32) string {
	for _, m := range a.GetCoverage().GetMissing() {
		if m.GetShard() == shard {
			return m.GetReason()
		}
	}
	return ""
}

// answeredSince returns the requests that began after a time and were answered.
func answeredSince(all []request, at time.Time) []request {
	var out []request
	for _, r := range all {
		if r.Answer != nil && r.Started.After(at) {
			out = append(out, r)
		}
	}
	return out
}

// Guards against responses that claim shards which did not answer, or lose
// items of shards that they claim. All replicas of one shard send garbage, a
// host is frozen under queries and resumed, a zone is cut off, and the targets
// of two zones are killed, which leaves some shards with none.
func TestPromise02CoverageIsAccurate(t *testing.T) {
	b := newTestbed(t)
	known := b.readReferenceItems(broadQuery)
	b.startWithFullCoverage()
	l := b.startLoad(150, b.searchRequests(b.Hosts, broadQuery))
	require.True(t, b.sleep(500*time.Millisecond))

	for _, id := range []string{"coordinator-0-a", "coordinator-0-b"} {
		b.changeBehavior(id, map[string]any{"answers": map[string]any{"garbage": 1}})
	}
	garbled := time.Now()
	require.True(t, b.sleep(1500*time.Millisecond))
	mended := time.Now()
	for _, id := range []string{"coordinator-0-a", "coordinator-0-b"} {
		b.changeBehavior(id, map[string]any{"answers": map[string]any{"garbage": 0}})
	}

	frozen := b.host("costa-1")
	b.suspend(frozen)
	require.True(t, b.sleep(2*time.Second))
	b.resume(frozen)
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
	n := b.checkAnswers(known, all)
	t.Logf("%d answers, ends %v", n, countResults(all))
	for _, r := range answeredSince(all, garbled) {
		if r.Ended.Before(mended) && r.Query.GetService() == "coordinator" {
			require.NotEmpty(t, missingReason(r.Answer, 0), "shard 0 sent garbage only")
		}
	}
	lost := 0
	for _, r := range answeredSince(all, killed) {
		for shard := uint32(0); shard < b.shardCount(r.Query.GetService()); shard += 3 {
			lost++
			require.NotEmpty(t, missingReason(r.Answer, shard), "shard %d had its replicas in sierra and costa", shard)
		}
	}
	require.Positive(t, lost, "the test must see answers after the loss of the targets")
	ends := countResults(all)
	for _, word := range []string{"done", "partial", "missing/invalid", "missing/down"} {
		require.Positive(t, ends[word], "the test must see %s", word)
	}
	require.Positive(t, ends["missing/cut"]+ends["missing/timeout"], "the test must see the cut")
	b.stopAllHosts()
}
