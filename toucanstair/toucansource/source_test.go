package toucansource_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanrules"
	"toucanstair.example/toucanstair/toucansource"
)

// planner returns a planner for which each zone is a region.
func planner(self toucansource.Peer) toucansource.Planner { return toucansource.Planner{Self: self} }

func fleet(zones, hosts int) []toucansource.Peer {
	var out []toucansource.Peer
	for z := range zones {
		for h := range hosts {
			out = append(out, toucansource.Peer{
				ID: toucanhost.ID(fmt.Sprintf("z%d/h%d", z, h)), Zone: toucanzone.Name(fmt.Sprint("z", z)),
				Address: fmt.Sprintf("10.0.%d.%d:7300", z, h), CPUMillis: 192,
			})
		}
	}
	return out
}

// Guards against a store that is read by more hosts as the number of hosts
// grows: one host of each zone reads it, and all others follow that host.
func TestOneHostOfEachZoneReadsTheStore(t *testing.T) {
	peers := fleet(6, 50)
	peers[7].CPUMillis = 800
	readers := map[toucanzone.Name]toucanhost.ID{}
	for _, self := range peers {
		if planner(self).Prioritize(peers)[0].IsStore() {
			require.Empty(t, readers[self.Zone], "two readers in zone %s", self.Zone)
			readers[self.Zone] = self.ID
		}
	}
	require.Len(t, readers, 6)
	require.Equal(t, peers[7].ID, readers["z0"], "the host with the most CPU reads the store")
	for _, self := range peers {
		if first := planner(self).Prioritize(peers)[0]; !first.IsStore() {
			require.Equal(t, readers[self.Zone], first.Peer.ID)
		}
	}
}

// Guards against a host without an alternative when its first source fails.
func TestEveryHostHasFallbackSources(t *testing.T) {
	peers := fleet(3, 4)
	for _, self := range peers {
		stores, far := 0, 0
		for _, s := range planner(self).Prioritize(peers) {
			switch {
			case s.IsStore():
				stores++
			case s.Peer.Zone != self.Zone:
				far++
			}
		}
		require.Equal(t, 1, stores)
		require.Equal(t, 2, far)
	}
	alone := toucansource.Planner{Self: peers[0]}.Prioritize(nil)
	require.Len(t, alone, 1)
	require.True(t, alone[0].IsStore())
}

// Guards against a store that is read by each zone where several zones are close
// together: one host of a region reads it, and the first host of each other zone of the
// region follows that one.
func TestOneHostOfEachRegionReadsTheStore(t *testing.T) {
	peers := fleet(6, 10)
	regions := toucanrules.ZoneRegions{"z0": "x", "z1": "x", "z2": "y", "z3": "y", "z4": "w", "z5": "w"}
	readers := map[toucanrules.Region]toucansource.Peer{}
	for _, self := range peers {
		if (toucansource.Planner{Self: self, Regions: regions}).Prioritize(peers)[0].IsStore() {
			require.Empty(t, readers[regions[self.Zone]].ID)
			readers[regions[self.Zone]] = self
		}
	}
	require.Len(t, readers, 3)
	for _, self := range peers {
		planner := toucansource.Planner{Self: self, Regions: regions}
		first := planner.Prioritize(peers)[0]
		switch reader := readers[regions[self.Zone]]; {
		case first.IsStore():
		case planner.Rank(peers) == 0:
			require.Equal(t, reader, first.Peer)
		default:
			require.Equal(t, self.Zone, first.Peer.Zone)
		}
	}
}

// Guards against backups that include the host itself, name a host twice, or leave out a
// zone.
func TestBackupsCoverAllZones(t *testing.T) {
	peers := fleet(6, 10)
	for _, self := range peers {
		seen, zones := map[toucanhost.ID]bool{self.ID: true}, map[toucanzone.Name]bool{}
		backups := planner(self).Backups(peers)
		for i, p := range backups {
			require.False(t, seen[p.ID], p.ID)
			seen[p.ID] = true
			if i < 5 && planner(self).Rank(peers) <= toucansource.MaxReaderRank {
				require.NotEqual(t, self.Zone, p.Zone)
			}
			zones[p.Zone] = true
		}
		if planner(self).Rank(peers) > toucansource.MaxReaderRank {
			require.Equal(t, map[toucanzone.Name]bool{self.Zone: true}, zones, "the hosts of other zones serve the first ones")
			continue
		}
		require.Len(t, zones, 6)
	}
	require.Empty(t, toucansource.Planner{Self: peers[0]}.Backups(nil))
}
