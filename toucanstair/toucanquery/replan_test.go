package toucanquery_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucancatalog"
)

// rolloutRules returns rules in which zone costa holds the old version of the only
// shard, and sierra the new one.
func rolloutRules(revision uint64, costaOut bool, shards uint32) *toucanpb.Rules {
	return &toucanpb.Rules{
		Revision: revision,
		Zones:    []*toucanpb.Zone{{Name: "sierra"}, {Name: "costa", Out: costaOut}},
		Moves:    []*toucanpb.Move{{Name: "m", Service: "letters", From: "v1", To: "v2"}},
		Services: []*toucanpb.Service{{
			Name: "letters", Shards: shards, Routes: []*toucanpb.Route{{Name: "find", TimeoutUs: 2e6}, {Name: "pair", TimeoutUs: 2e6, Once: true}},
			Replicas: []*toucanpb.Replica{{Id: "old", Zone: "costa", Version: "v1"}, {Id: "new", Zone: "sierra", Version: "v2"}},
		}},
	}
}

// newRefusingCluster returns a cluster with revision 9, and a coordinator. Zone costa, which
// has the next revision, refuses each leg.
func newRefusingCluster() (*fakeCluster, func(*toucanpb.Query) (*toucanpb.Answer, error)) {
	cluster := &fakeCluster{version: "v1"}
	cluster.run = func(_ context.Context, address string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
		if address == "" {
			return doneResult(leg), nil
		}
		return &toucanpb.LegResult{Shard: leg.Shard, Outcome: toucanpb.Outcome_OUTCOME_NOTRUN, Code: toucanpb.Code_CODE_OUT, Map: 10}, nil
	}
	c := newCoordinator(cluster, 1)
	cluster.catalog = toucancatalog.New(rolloutRules(9, false, 1))
	return cluster, func(q *toucanpb.Query) (*toucanpb.Answer, error) { return c.Search(context.Background(), "r", q) }
}

// Guards against a shard that is missing because its zone has been taken out of service
// by a configuration that this host gets a moment later.
func TestLegRefusedByNewerConfigurationIsPlannedAgain(t *testing.T) {
	cluster, search := newRefusingCluster()
	cluster.newer = toucancatalog.New(rolloutRules(10, true, 1))
	a, err := search(findQuery("1s"))
	require.NoError(t, err)
	require.Equal(t, uint32(1), a.Coverage.Answered, "%v", a.Coverage.Missing)
	require.Equal(t, []string{"costa-1", ""}, cluster.asked)
	require.Equal(t, "v2", cluster.legs[1].Version)
	require.Equal(t, uint64(10), cluster.legs[1].Map)
}

// Guards against a response that mixes the shards of two configurations.
func TestLegIsNotPlannedAgainWithOtherShards(t *testing.T) {
	cluster, search := newRefusingCluster()
	cluster.newer = toucancatalog.New(rolloutRules(10, true, 2))
	a, err := search(findQuery("1s"))
	require.NoError(t, err)
	require.Zero(t, a.Coverage.Answered)
	require.Equal(t, "out", a.Coverage.Missing[0].Reason)
	require.Equal(t, []string{"costa-1"}, cluster.asked)
}

// Guards against a non-idempotent request that fails although the newer configuration
// has a zone for it.
func TestNonIdempotentLegIsPlannedAgain(t *testing.T) {
	cluster, search := newRefusingCluster()
	cluster.run = func(_ context.Context, _ string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
		if leg.Map == 10 {
			return doneResult(leg), nil
		}
		return &toucanpb.LegResult{Shard: leg.Shard, Outcome: toucanpb.Outcome_OUTCOME_NOTRUN, Code: toucanpb.Code_CODE_UNKNOWN, Map: 10}, nil
	}
	cluster.newer = toucancatalog.New(rolloutRules(10, false, 1))
	a, err := search(&toucanpb.Query{Service: "letters", Route: "pair", Key: "k"})
	require.NoError(t, err)
	require.Equal(t, uint32(1), a.Coverage.Answered)
	require.Len(t, cluster.legs, 2)
}
