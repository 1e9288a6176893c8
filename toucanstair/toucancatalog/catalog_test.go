package toucancatalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucancatalog"
)

// Guards against a look-up that returns replicas of another zone or shard.
func TestCatalogFindsReplicasByZone(t *testing.T) {
	c := toucancatalog.New(&toucanpb.Rules{
		Revision: 7,
		Zones:    []*toucanpb.Zone{{Name: "sierra"}, {Name: "costa", Out: true}},
		Services: []*toucanpb.Service{{
			Name:   "letters",
			Shards: 2,
			Routes: []*toucanpb.Route{{Name: "find"}},
			Replicas: []*toucanpb.Replica{
				{Id: "a", Shard: 0, Zone: "sierra"},
				{Id: "b", Shard: 0, Zone: "costa"},
				{Id: "c", Shard: 1, Zone: "costa"},
			},
		}},
	})
	require.Len(t, c.Replicas("letters", 0, "sierra"), 1)
	require.Empty(t, c.Replicas("letters", 1, "sierra"))
	require.Equal(t, []toucanzone.Name{"sierra", "costa"}, c.ZonesOfShard("letters", 0))
	require.True(t, c.ZoneOutOfService("costa"))
	require.False(t, c.ZoneOutOfService("elsewhere"))
	require.Nil(t, c.Route("letters", "absent"))
	require.Nil(t, c.Service("absent"))
	r, s := c.Replica("c")
	require.Equal(t, uint32(1), r.GetShard())
	require.Equal(t, "letters", s.GetName())
}
