package integration

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucandeploy"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanzone"
)

// searchRequests returns a generator of idempotent requests to the given hosts.
func (b *testbed) searchRequests(hosts []*toucandeploy.Host, texts ...string) func(*rand.Rand) (*toucandeploy.Host, *toucanpb.Query) {
	return func(r *rand.Rand) (*toucandeploy.Host, *toucanpb.Query) {
		s := b.Plan.Services[r.IntN(len(b.Plan.Services))]
		return hosts[r.IntN(len(hosts))], &toucanpb.Query{
			Service: string(s.Name), Route: s.Routes[0].Name, Query: texts[r.IntN(len(texts))], Limit: maxItems, Timeout: "1s",
		}
	}
}

// publishIndex moves the replicas, one after the other in random order, to a newer
// index version; each also keeps serving the version before it. A random share of
// the replicas, laggingShare on average, is left as it is until the next call.
func (b *testbed) publishIndex(version uint64, laggingShare float64) {
	b.t.Helper()
	var ids []string
	for _, t := range b.Targets {
		for id := range t.Replicas {
			ids = append(ids, id)
		}
	}
	// The iteration order of a map does not depend on the seed.
	shuffleSorted(ids, b.random)
	for _, id := range ids {
		if b.random.Float64() < laggingShare {
			continue
		}
		b.changeBehavior(id, map[string]any{"indexes": []uint64{version - 1, version}})
	}
}

// Guards against answers that mix index versions. The versions change under load,
// a third of the replicas lag behind, and one zone is partitioned from the other
// zones and the store, and healed, while the versions keep changing.
func TestPromise01OneSnapshot(t *testing.T) {
	b := newTestbed(t)
	reference := b.readReferenceItems(broadQuery)
	b.startWithFullCoverage()
	l := b.startLoad(150, b.searchRequests(b.Hosts, broadQuery))
	const zone = toucanzone.Name("sierra")
	version := uint64(3)
	for round := range 12 {
		switch round {
		case 4:
			b.partitionZone(zone)
			b.partitionStore(zone)
		case 8:
			b.healZone(zone)
			b.healStore(zone)
		}
		b.publishIndex(version, 0.33)
		version++
		require.True(t, b.sleep(600*time.Millisecond))
	}
	for _, finalVersion := range []uint64{version, version + 1} {
		b.publishIndex(finalVersion, 0)
	}
	for _, h := range b.Hosts {
		b.waitForFullCoverage(h)
	}
	all := l.finish()
	n := b.checkAnswers(reference, all)
	seen := map[uint64]int{}
	for _, r := range all {
		if r.Answer != nil {
			seen[r.Answer.GetSnapshot().GetIndex()]++
		}
	}
	t.Logf("%d answers, by index version %v, results %v", n, seen, countResults(all))
	require.GreaterOrEqual(t, len(seen), 6, "too few index versions were seen")
	require.Positive(t, countResults(all)["missing/cut"], "no shard was missing because of the partition")
	b.stopAllHosts()
	b.checkInFlightLimits(b.ledger())
}
