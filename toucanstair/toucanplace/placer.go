// Package toucanplace decides which hosts gather responses over many shards
// and how hosts divide what the targets bear. It answers the load of many
// small hosts, whose processors would take longer to send to all shards than
// the shards take to respond.
package toucanplace

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanreader"
)

const (
	// stronger is how much more power a host needs to gather for another one;
	// below that the way costs more than it saves.
	stronger = 2
	// suspectTime is how long a host that did not answer gets nothing.
	suspectTime = 3 * time.Second
	// gatherShare is the part of what the targets bear that is left to the hosts
	// that gather; the others use the rest when none of those can be reached.
	gatherShare = 0.65
)

// Placer knows the hosts. Its fields are set before use.
type Placer struct {
	Self  toucanreader.Peer
	Peers func() []toucanreader.Peer
	Least int // hosts that are assumed while fewer are listed

	mu       sync.Mutex
	running  map[toucanhost.ID]int
	suspects map[toucanhost.ID]time.Time
}

// Begin returns the host that is to gather a request, and counts it as
// running there until End. It reports false when this host does so itself.
func (p *Placer) Begin(now time.Time) (toucanreader.Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best toucanreader.Peer
	for _, h := range p.strong(p.Self.Zone) {
		switch {
		case h.Power < stronger*p.Self.Power || now.Before(p.suspects[h.ID]):
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

// strong returns the strongest hosts of a zone, which gather for the others.
func (p *Placer) strong(z toucanzone.Name) []toucanreader.Peer {
	hosts := p.hosts(z)
	most := 0
	for _, h := range hosts {
		most = max(most, h.Power)
	}
	return slices.DeleteFunc(hosts, func(h toucanreader.Peer) bool { return stronger*h.Power <= most && h.Power < most })
}

// hosts returns the listed hosts of a zone with this one.
func (p *Placer) hosts(z toucanzone.Name) []toucanreader.Peer {
	var out []toucanreader.Peer
	for _, h := range p.Peers() {
		if h.Zone == z && h.ID != p.Self.ID {
			out = append(out, h)
		}
	}
	if z == p.Self.Zone {
		out = append(out, p.Self)
	}
	return out
}

// Part returns the part of what a target of a sharded service bears, from all
// hosts together, that is this host's. Callers are divided among the zones, so a
// host that is alone in its zone needs more than one of many.
func (p *Placer) Part() float64 {
	zones := map[toucanzone.Name]bool{p.Self.Zone: true}
	peers := p.Peers()
	if len(peers) < 2 {
		return 1 / float64(max(1, p.Least))
	}
	for _, h := range peers {
		zones[h.Zone] = true
	}
	hosts, strong := p.hosts(p.Self.Zone), p.strong(p.Self.Zone)
	one := 1 / float64(len(zones))
	switch {
	case len(strong) == len(hosts):
		return one / float64(len(hosts))
	case slices.ContainsFunc(strong, func(h toucanreader.Peer) bool { return h.ID == p.Self.ID }):
		return gatherShare * one / float64(len(strong))
	}
	return (1 - gatherShare) * one / float64(len(hosts)-len(strong))
}

// Even returns the part of this host where every host sends for itself.
func (p *Placer) Even() float64 { return 1 / float64(max(1, p.Least, len(p.Peers()))) }
