// Package toucanplacement decides which hosts gather responses over many shards
// and how hosts divide the limits of the targets. It answers the load of many
// small hosts, whose processors would take longer to send to all shards than
// the shards take to respond.
package toucanplacement

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucansource"
)

const (
	// stronger is how much more power a host needs to gather for another one;
	// below that the way costs more than it saves.
	stronger = 2
	// suspectTime is how long a host that did not answer gets nothing.
	suspectTime = 3 * time.Second
	// gatherShare is the part of the targets' limits that is left to the hosts
	// that gather; the others use the rest when none of those can be reached.
	gatherShare = 0.65
)

// Placer knows the hosts. Self and Least are set before use.
type Placer struct {
	Self     toucansource.Peer
	MinHosts int // hosts that are assumed while fewer are listed

	mu       sync.Mutex
	gather   []toucansource.Peer // stronger hosts of the zone
	part     float64
	even     float64
	running  map[toucanhost.ID]int
	suspects map[toucanhost.ID]time.Time
}

// Update takes in the hosts that are listed.
func (p *Placer) Update(peers []toucansource.Peer) {
	near, zones, listed := []toucansource.Peer{p.Self}, map[toucanzone.Name]bool{p.Self.Zone: true}, 1
	most := p.Self.CPUMillis
	for _, h := range peers {
		if h.ID == p.Self.ID {
			continue
		}
		listed++
		zones[h.Zone] = true
		if h.Zone == p.Self.Zone {
			near = append(near, h)
			most = max(most, h.CPUMillis)
		}
	}
	// A host is weak if another one of its zone is much stronger.
	weak := func(h toucansource.Peer) bool { return h.CPUMillis < most && stronger*h.CPUMillis <= most }
	strong := slices.DeleteFunc(slices.Clone(near), weak)
	one := 1 / float64(len(zones))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gather = nil
	p.even = 1 / float64(max(p.MinHosts, listed))
	switch {
	case weak(p.Self):
		p.gather = strong
		p.part = (1 - gatherShare) * one / float64(len(near)-len(strong))
	case listed == 1:
		p.part = p.even
	case len(strong) == len(near):
		p.part = one / float64(len(near))
	default:
		p.part = gatherShare * one / float64(len(strong))
	}
}

// Begin returns the host that is to gather a request, and counts it as
// running there until End. It reports false when this host does so itself.
func (p *Placer) Begin(now time.Time) (toucansource.Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best toucansource.Peer
	for _, h := range p.gather {
		switch {
		case now.Before(p.suspects[h.ID]):
		case best.ID == "" || cmp.Or(cmp.Compare(p.running[h.ID], p.running[best.ID]), cmp.Compare(h.ID, best.ID)) < 0:
			best = h
		}
	}
	if best.ID == "" {
		return best, false
	}
	if p.running == nil {
		p.running = make(map[toucanhost.ID]int)
	}
	p.running[best.ID]++
	return best, true
}

// End ends a request that Begin counted. A host that did not answer is
// suspected, and gets nothing for a short time.
func (p *Placer) End(id toucanhost.ID, answered bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[id]--; p.running[id] <= 0 {
		delete(p.running, id)
	}
	if answered {
		return
	}
	if p.suspects == nil {
		p.suspects = make(map[toucanhost.ID]time.Time)
	}
	p.suspects[id] = now.Add(suspectTime)
}

// ShardedShare returns the part of what a target of a sharded service can handle, from all
// hosts together, that is this host's. Callers are divided among the zones, so a
// host that is alone in its zone needs more than one of many.
func (p *Placer) ShardedShare() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.part
}

// EvenShare returns the part of this host where every host sends for itself.
func (p *Placer) EvenShare() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.even
}
