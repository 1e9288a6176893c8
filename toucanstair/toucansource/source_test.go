package toucansource_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucansource"
)

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
		if toucansource.Prioritize(self, peers)[0].IsStore() {
			require.Empty(t, readers[self.Zone], "two readers in zone %s", self.Zone)
			readers[self.Zone] = self.ID
		}
	}
	require.Len(t, readers, 6)
	require.Equal(t, peers[7].ID, readers["z0"], "the host with the most CPU reads the store")
	for _, self := range peers {
		if first := toucansource.Prioritize(self, peers)[0]; !first.IsStore() {
			require.Equal(t, readers[self.Zone], first.Peer.ID)
		}
	}
}

// Guards against a host without an alternative when its first source fails.
func TestEveryHostHasFallbackSources(t *testing.T) {
	peers := fleet(3, 4)
	for _, self := range peers {
		stores, far := 0, 0
		for _, s := range toucansource.Prioritize(self, peers) {
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
	alone := toucansource.Prioritize(peers[0], nil)
	require.Len(t, alone, 1)
	require.True(t, alone[0].IsStore())
}
