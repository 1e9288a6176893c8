package toucanplacement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanplacement"
	"toucanstair.example/toucanstair/toucansource"
)

func zone(name string, strong, weak int) []toucansource.Peer {
	var out []toucansource.Peer
	for i := range strong + weak {
		p := toucansource.Peer{ID: toucanhost.ID(fmt.Sprint(name, i)), Zone: toucanzone.Name(name), CPUMillis: 800}
		if i >= strong {
			p.CPUMillis = 192
		}
		out = append(out, p)
	}
	return out
}

func placer(self toucansource.Peer, peers []toucansource.Peer) *toucanplacement.Placer {
	p := &toucanplacement.Placer{Self: self}
	p.Update(peers)
	return p
}

// Guards against a share of the targets that exceeds the whole over all hosts.
func TestSharesSumToOne(t *testing.T) {
	for _, peers := range [][]toucansource.Peer{
		append(zone("a", 2, 8), append(zone("b", 2, 10), zone("c", 1, 0)...)...),
		append(zone("a", 3, 0), append(zone("b", 1, 0), zone("c", 2, 0)...)...),
		zone("a", 0, 4),
	} {
		sum := 0.0
		for _, self := range peers {
			sum += placer(self, peers).ShardedShare()
		}
		require.InDelta(t, 1, sum, 1e-9)
	}
}

// Guards against hosts of like power that gather for each other, and against
// one strong host that gets all requests of its zone.
func TestWeakHostsDelegateToStrongHostsOfTheirZone(t *testing.T) {
	now := time.Now()
	peers := append(zone("a", 2, 3), zone("b", 2, 3)...)
	strong := placer(peers[0], peers)
	_, ok := strong.Begin(now)
	require.False(t, ok)
	weak := placer(peers[4], peers)
	first, ok := weak.Begin(now)
	require.True(t, ok)
	second, ok := weak.Begin(now)
	require.True(t, ok)
	require.NotEqual(t, first.ID, second.ID)
	require.Equal(t, toucanzone.Name("a"), first.Zone)
}

// Guards against a host that hands requests to one that did not answer.
func TestUnresponsiveHostIsSkippedTemporarily(t *testing.T) {
	now := time.Now()
	peers := zone("a", 1, 2)
	p := placer(peers[1], peers)
	h, ok := p.Begin(now)
	require.True(t, ok)
	p.End(h.ID, false, now)
	_, ok = p.Begin(now.Add(time.Second))
	require.False(t, ok)
	_, ok = p.Begin(now.Add(4 * time.Second))
	require.True(t, ok)
}
