package integration

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucandeploy"
	"toucanstair.example/core/toucanpb"
)

// drainLoadRate, in requests a second, is low enough for the remaining replicas
// to take over the load of a draining one.
const drainLoadRate = 60

// oneReplicaPerShard returns one replica of each shard, so that another one
// stays in service.
func (b *testbed) oneReplicaPerShard() []string {
	var out []string
	for _, id := range b.replicaIDs("") {
		if id[len(id)-1] == 'a' {
			out = append(out, id)
		}
	}
	require.NotEmpty(b.t, out)
	return out
}

// searchRequestsFor returns a generator of idempotent requests to the service
// with the given index, at all hosts.
func (b *testbed) searchRequestsFor(service int) func(*rand.Rand) (*toucandeploy.Host, *toucanpb.Query) {
	s := b.Plan.Services[service]
	return func(r *rand.Rand) (*toucandeploy.Host, *toucanpb.Query) {
		return b.Hosts[r.IntN(len(b.Hosts))], &toucanpb.Query{
			Service: string(s.Name), Route: s.Routes[0].Name, Query: broadQuery, Limit: maxItems, Timeout: "1s",
		}
	}
}

// checkDrained checks that replicas got no legs later than noNewWorkAfter after
// they began to drain.
func (b *testbed) checkDrained(ids []string) {
	b.t.Helper()
	ledger := b.ledger()
	for _, id := range ids {
		r := ledger[id]
		require.NotNil(b.t, r.DrainStartedAt, id)
		if r.AfterDrain.Count > 0 {
			lastLeg := time.Duration(r.AfterDrain.Last - *r.DrainStartedAt)
			if lastLeg >= noNewWorkAfter {
				b.t.Errorf("%s got %d legs while draining, the last after %v", id, r.AfterDrain.Count, lastLeg)
			}
		}
		require.Zero(b.t, r.InFlight, "legs in flight at %s", id)
	}
	require.False(b.t, b.t.Failed(), "draining targets got new work")
}

// checkFullCoverage checks that all requests that started in an interval were
// answered with full coverage.
func (b *testbed) checkFullCoverage(all []request, from, to time.Time) {
	b.t.Helper()
	n, partial := 0, 0
	for _, r := range all {
		if r.Started.Before(from) || r.Started.After(to) {
			continue
		}
		n++
		require.NoError(b.t, r.Err, "request to %s", r.Host.Name)
		c := r.Answer.GetCoverage()
		if c.GetAnswered() < c.GetAsked() {
			if partial++; partial <= 5 {
				b.t.Errorf("request %v after the interval began: %s answered with coverage %v", r.Started.Sub(from), r.Host.Name, c)
			}
		}
	}
	require.Positive(b.t, n, "no request started in the interval")
	require.Zero(b.t, partial, "partial answers of %d, although each shard has another replica", n)
}

// Guards against draining targets that get new work because their health endpoint
// is late or wrong. One replica of each shard drains under load and reports it in
// its responses, while its health endpoint reports ready, reports draining 4 s
// late, or reports draining at once.
func TestPromise09DrainingByHeader(t *testing.T) {
	b := newTestbed(t)
	b.startWithFullCoverage()
	l := b.startLoad(drainLoadRate, b.searchRequests(b.Hosts, broadQuery))
	require.True(t, b.sleep(3*time.Second))
	ids := b.oneReplicaPerShard()
	began := time.Now()
	for i, id := range ids {
		health := []map[string]any{{"state": "ready"}, {"lag": "4s"}, {}}[i%3]
		b.changeBehavior(id, map[string]any{"draining": true, "health": health})
	}
	require.True(t, b.sleep(12*time.Second))
	ended := time.Now()
	all := l.finish()
	t.Logf("results %v", countResults(all))
	b.checkDrained(ids)
	b.checkFullCoverage(all, began, ended)
	b.stopAllHosts()
}

// Guards against draining targets that get new work because no response reported
// it. Replicas of a service without traffic drain, which only the health endpoint
// reports, for some of them 3 s late. The traffic starts 5 s after the drain.
func TestPromise09DrainingByHealth(t *testing.T) {
	b := newTestbed(t)
	b.startWithFullCoverage()
	const busy, idle = 0, 1
	l := b.startLoad(drainLoadRate/2, b.searchRequestsFor(busy))
	// Wait for the requests that hosts send on their own at the start.
	require.True(t, b.sleep(2*time.Second))
	var ids []string
	for _, id := range b.oneReplicaPerShard() {
		if id[:5] == string(b.Plan.Services[idle].Name)[:5] {
			ids = append(ids, id)
		}
	}
	for i, id := range ids {
		health := []map[string]any{{"lag": "3s"}, {}}[i%2]
		b.changeBehavior(id, map[string]any{"draining": true, "health": health})
	}
	require.True(t, b.sleep(noNewWorkAfter))
	began := time.Now()
	idleLoad := b.startLoad(drainLoadRate/2, b.searchRequestsFor(idle))
	require.True(t, b.sleep(5*time.Second))
	ended := time.Now()
	all := append(l.finish(), idleLoad.finish()...)
	t.Logf("results %v", countResults(all))
	for _, id := range ids {
		require.Zero(t, b.ledger()[id].AfterDrain.Count, "%s got legs while draining", id)
	}
	b.checkDrained(ids)
	b.checkFullCoverage(all, began, ended)
	b.stopAllHosts()
}

// Guards against targets that get work after they were removed from the
// configuration, and against legs in flight that are aborted by the removal. One
// replica of each shard is removed under load, with work times of 50 ms.
func TestPromise09RemovedFromConfiguration(t *testing.T) {
	skipKnownFailure(t)
	b := newTestbed(t)
	b.planWorkTime(50 * time.Millisecond)
	folder := &configFolder{testbed: b, omitted: map[string]bool{}}
	b.Plan.Rules = folder
	b.startWithFullCoverage()
	l := b.startLoad(drainLoadRate/2, b.searchRequests(b.Hosts, broadQuery))
	// Wait for the end of slow start, because a cold replica gets no hedged
	// requests.
	require.True(t, b.sleep(5*time.Second))
	ids := b.oneReplicaPerShard()
	for _, id := range ids {
		folder.omitted[id] = true
	}
	before := b.ledger()
	began := time.Now()
	require.NoError(t, b.Apply(b.ctx))
	applied := time.Now()
	require.True(t, b.sleep(noNewWorkAfter+3*time.Second))
	ended := time.Now()
	all := l.finish()
	t.Logf("results %v", countResults(all))
	for id, r := range b.timedLedger() {
		if !folder.omitted[id] {
			continue
		}
		require.Positive(t, r.All.Count, id)
		require.Less(t, r.wallTime(r.All.Last).Sub(applied), noNewWorkAfter, "%s got work after it was removed", id)
		require.Zero(t, r.InFlight, id)
		require.Equal(t, before[id].Failed, r.Failed, id)
	}
	b.checkFullCoverage(all, began, ended)
	b.stopAllHosts()
}
