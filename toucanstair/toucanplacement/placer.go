// Package toucanplacement decides which hosts gather responses over many shards
// and how hosts divide the limits of the targets. Weak hosts delegate to
// stronger ones, because their CPUs would take longer to send to all shards than
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
	// minCPURatio is how many times the CPU of another host a host needs to
	// gather for it; below that, the extra hop costs more than it saves.
	minCPURatio = 2
	// suspectDuration is how long a host that did not answer or did not take a
	// request gets no requests.
	suspectDuration = 3 * time.Second
	// gathererShare is the share of the targets' limits for the hosts that gather.
	// The weak hosts use the rest when no gathering host can be reached.
	gathererShare = 0.65
)

// Placer selects the host that gathers a request and computes this host's share
// of the targets' limits from the list of hosts. Self and MinHosts are set, and
// Update is called, before use.
type Placer struct {
	Self     toucansource.Peer
	MinHosts int // number of hosts assumed while fewer are listed

	mu           sync.Mutex
	gatherers    []toucansource.Peer // stronger hosts of the zone; empty if this host gathers itself
	shardedShare float64
	evenShare    float64
	inFlight     map[toucanhost.ID]int
	suspects     map[toucanhost.ID]time.Time // until when a host gets no requests
}

// Update recomputes the gathering hosts and the shares from the listed hosts.
func (p *Placer) Update(peers []toucansource.Peer) {
	zonePeers, zones, listed := []toucansource.Peer{p.Self}, map[toucanzone.Name]bool{p.Self.Zone: true}, 1
	maxCPU := p.Self.CPUMillis
	for _, h := range peers {
		if h.ID == p.Self.ID {
			continue
		}
		listed++
		zones[h.Zone] = true
		if h.Zone == p.Self.Zone {
			zonePeers = append(zonePeers, h)
			maxCPU = max(maxCPU, h.CPUMillis)
		}
	}
	// A host is weak if another one of its zone is much stronger.
	isWeak := func(h toucansource.Peer) bool { return h.CPUMillis < maxCPU && minCPURatio*h.CPUMillis <= maxCPU }
	strong := slices.DeleteFunc(slices.Clone(zonePeers), isWeak)
	zoneShare := 1 / float64(len(zones))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gatherers = nil
	p.evenShare = 1 / float64(max(p.MinHosts, listed))
	switch {
	case isWeak(p.Self):
		p.gatherers = strong
		p.shardedShare = (1 - gathererShare) * zoneShare / float64(len(zonePeers)-len(strong))
	case listed == 1:
		p.shardedShare = p.evenShare
	case len(strong) == len(zonePeers):
		p.shardedShare = zoneShare / float64(len(zonePeers))
	default:
		p.shardedShare = gathererShare * zoneShare / float64(len(strong))
	}
}

// Begin returns the host that is to gather a request, the one with the fewest
// requests in flight from this host, and counts the request until End. It returns
// false when this host has to gather the request itself.
func (p *Placer) Begin(now time.Time) (toucansource.Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best toucansource.Peer
	for _, h := range p.gatherers {
		switch {
		case now.Before(p.suspects[h.ID]):
		case best.ID == "" || cmp.Or(cmp.Compare(p.inFlight[h.ID], p.inFlight[best.ID]), cmp.Compare(h.ID, best.ID)) < 0:
			best = h
		}
	}
	if best.ID == "" {
		return best, false
	}
	if p.inFlight == nil {
		p.inFlight = make(map[toucanhost.ID]int)
	}
	p.inFlight[best.ID]++
	return best, true
}

// End ends a request that Begin counted. healthy is false if the host did not
// answer or did not take the request; it then gets no requests for
// suspectDuration.
func (p *Placer) End(id toucanhost.ID, healthy bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[id]--; p.inFlight[id] <= 0 {
		delete(p.inFlight, id)
	}
	if healthy {
		return
	}
	if p.suspects == nil {
		p.suspects = make(map[toucanhost.ID]time.Time)
	}
	p.suspects[id] = now.Add(suspectDuration)
}

// ShardedShare returns this host's share, 0 to 1, of the limits of a target of a
// sharded service. All zones get the same share, since callers are divided among
// the zones, so a host that is alone in its zone gets a larger share than others.
func (p *Placer) ShardedShare() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shardedShare
}

// EvenShare returns this host's share, 0 to 1, when every host sends its own
// requests and all get the same share.
func (p *Placer) EvenShare() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evenShare
}
