package toucanquery_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanhedge"
)

// Guards against a straggler in a zone with one replica of the shard that delays the
// query although another zone has a replica, and against the slower attempt running
// on after the query.
func TestSlowLegIsHedgedInNextZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(waitForIdleWorkers)
		cancelled := make(chan struct{}, 1)
		cluster := &fakeCluster{}
		cluster.run = func(ctx context.Context, address string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			if address == "" {
				<-ctx.Done()
				cancelled <- struct{}{}
				return nil, ctx.Err()
			}
			return doneResult(leg), nil
		}
		c := newCoordinator(cluster, 1, "sierra", "costa")
		c.Budget = &toucanhedge.Budget{}
		begin := time.Now()
		a, err := c.Search(t.Context(), "r", findQuery("1s"))
		require.NoError(t, err)
		require.Equal(t, uint32(1), a.Coverage.Answered)
		require.Less(t, time.Since(begin), 100*time.Millisecond)
		require.True(t, cluster.legs[1].Extra)
		<-cancelled
	})
}

// Guards against shards that are missing while their replicas in one zone drain
// although another zone has one, and against failover after refusals for other
// reasons, which would move the load of one zone to the next.
func TestLegOfDrainingReplicaFailsOverToNextZone(t *testing.T) {
	for draining, answered := range map[bool]uint32{true: 1, false: 0} {
		synctest.Test(t, func(t *testing.T) {
			t.Cleanup(waitForIdleWorkers)
			cluster := &fakeCluster{}
			cluster.run = func(_ context.Context, address string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
				if address == "" {
					return &toucanpb.LegResult{
						Shard: leg.Shard, Index: leg.Index, Outcome: toucanpb.Outcome_OUTCOME_NOTRUN,
						Code: toucanpb.Code_CODE_REFUSED, Draining: draining,
					}, nil
				}
				return doneResult(leg), nil
			}
			a, err := newCoordinator(cluster, 1, "sierra", "costa").Search(t.Context(), "r", findQuery("1s"))
			require.NoError(t, err)
			require.Equal(t, answered, a.Coverage.Answered)
		})
	}
}

// Guards against a shard that is missing because the cold replica of the next zone
// refused the hedge, although it would have run the leg as the only attempt.
func TestLegFailsOverToZoneThatRefusedItsHedge(t *testing.T) {
	for name, failAfter := range map[string]time.Duration{"after the refusal": 400 * time.Millisecond, "at the same time": 60 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				t.Cleanup(waitForIdleWorkers)
				refuse := func(leg *toucanpb.Leg, code toucanpb.Code) *toucanpb.LegResult {
					return &toucanpb.LegResult{Shard: leg.Shard, Index: leg.Index, Outcome: toucanpb.Outcome_OUTCOME_NOTRUN, Code: code}
				}
				cluster := &fakeCluster{}
				cluster.run = func(_ context.Context, address string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
					switch {
					case address == "":
						<-time.After(failAfter)
						return refuse(leg, toucanpb.Code_CODE_CUT), nil
					case leg.Extra:
						<-time.After(40 * time.Millisecond)
						return refuse(leg, toucanpb.Code_CODE_REFUSED), nil
					default:
						return doneResult(leg), nil
					}
				}
				c := newCoordinator(cluster, 1, "sierra", "costa")
				c.Budget = &toucanhedge.Budget{}
				a, err := c.Search(t.Context(), "r", findQuery("1s"))
				require.NoError(t, err)
				require.Equal(t, uint32(1), a.Coverage.Answered, a.Coverage.Missing)
				require.Len(t, cluster.legs, 3)
				require.True(t, cluster.legs[1].Extra)
				require.False(t, cluster.legs[2].Extra)
			})
		})
	}
}

// Guards against a shard that is missing because a host that has just started,
// without a configuration yet, was asked for it.
func TestLegFailsOverFromHostWithoutConfiguration(t *testing.T) {
	for _, starting := range [][]string{{"costa-1"}, {"costa-1", "costa-2"}} {
		synctest.Test(t, func(t *testing.T) {
			t.Cleanup(waitForIdleWorkers)
			cluster := &fakeCluster{}
			cluster.run = func(_ context.Context, address string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
				if slices.Contains(starting, address) {
					return &toucanpb.LegResult{
						Shard: leg.Shard, Index: leg.Index, Outcome: toucanpb.Outcome_OUTCOME_NOTRUN, Code: toucanpb.Code_CODE_CONFIG,
					}, nil
				}
				return doneResult(leg), nil
			}
			a, err := newCoordinator(cluster, 1, "costa", "oriente").Search(t.Context(), "r", findQuery("1s"))
			require.NoError(t, err)
			require.Equal(t, uint32(1), a.Coverage.Answered, "%v: %v", starting, a.Coverage.Missing)
		})
	}
}

// Guards against hedges in other zones beyond the budget when everything is slow.
func TestHedgesInOtherZonesStayInBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(waitForIdleWorkers)
		cluster := &fakeCluster{}
		cluster.run = func(ctx context.Context, _ string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			select {
			case <-time.After(200 * time.Millisecond):
				return doneResult(leg), nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		c := newCoordinator(cluster, 10, "sierra", "costa")
		c.Budget = &toucanhedge.Budget{}
		const queries = 100
		for range queries {
			_, err := c.Search(t.Context(), "r", findQuery("1s"))
			require.NoError(t, err)
		}
		extra := 0
		for _, leg := range cluster.legs {
			if leg.Extra {
				extra++
			}
		}
		require.NotZero(t, extra)
		require.LessOrEqual(t, extra, 20+queries*10/20)
	})
}
