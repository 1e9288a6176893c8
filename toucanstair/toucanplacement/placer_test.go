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

func zonePeers(name string, strong, weak int) []toucansource.Peer {
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

func newPlacer(self toucansource.Peer, peers []toucansource.Peer) *toucanplacement.Placer {
	p := &toucanplacement.Placer{Self: self}
	p.Update(peers)
	return p
}

// Guards against shares that together exceed the limits of the targets.
func TestSharesSumToOne(t *testing.T) {
	for _, peers := range [][]toucansource.Peer{
		append(zonePeers("a", 2, 8), append(zonePeers("b", 2, 10), zonePeers("c", 1, 0)...)...),
		append(zonePeers("a", 3, 0), append(zonePeers("b", 1, 0), zonePeers("c", 2, 0)...)...),
		zonePeers("a", 0, 4),
	} {
		sum := 0.0
		for _, self := range peers {
			sum += newPlacer(self, peers).ShardedShare()
		}
		require.InDelta(t, 1, sum, 1e-9)
	}
}

// Guards against hosts of similar power that gather for each other, and against
// one strong host that gets all requests of its zone.
func TestWeakHostsDelegateToStrongHostsOfTheirZone(t *testing.T) {
	now := time.Now()
	peers := append(zonePeers("a", 2, 3), zonePeers("b", 2, 3)...)
	strong := newPlacer(peers[0], peers)
	_, ok := strong.Begin(now)
	require.False(t, ok)
	weak := newPlacer(peers[4], peers)
	first, ok := weak.Begin(now)
	require.True(t, ok)
	second, ok := weak.Begin(now)
	require.True(t, ok)
	require.NotEqual(t, first.ID, second.ID)
	require.Equal(t, toucanzone.Name("a"), first.Zone)
}

// Guards against delegating more requests to a host that has just failed to
// answer.
func TestUnresponsiveHostIsSkippedTemporarily(t *testing.T) {
	now := time.Now()
	peers := zonePeers("a", 1, 2)
	p := newPlacer(peers[1], peers)
	h, ok := p.Begin(now)
	require.True(t, ok)
	p.End(h.ID, false, now)
	_, ok = p.Begin(now.Add(time.Second))
	require.False(t, ok)
	_, ok = p.Begin(now.Add(4 * time.Second))
	require.True(t, ok)
}
