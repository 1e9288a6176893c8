// Package toucansource selects the sources from which a host reads the contents
// of the store: the store itself or another host. This bounds the load of many
// hosts on a store that limits the number of calls.
package toucansource

import (
	"slices"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanrank"
	"toucanstair.example/core/toucanzone"
)

// Peer is a host that others can follow.
type Peer struct {
	ID        toucanhost.ID
	Zone      toucanzone.Name
	Address   string // "ip:port" for other hosts
	CPUMillis int    // CPU, in thousandths of a core
}

// Source is a place to read from; the zero value is the store.
type Source struct {
	Peer Peer
}

// IsStore reports whether the source is the store.
func (s Source) IsStore() bool { return s.Peer.Address == "" }

// maxFallbacks bounds the hosts of other zones that are tried if the store
// can't be reached.
const maxFallbacks = 2

// Prioritize returns the sources of a host, best first. In each zone the host
// with the most CPU reads the store; rendezvous hashing breaks ties. The others
// follow that host, and read the store if it can't be followed. If the store
// can't be read either, hosts of other zones that may still reach it are
// followed.
func Prioritize(self Peer, peers []Peer) []Source {
	byID := make(map[string]Peer, len(peers))
	sameZone, otherZones := []string{string(self.ID)}, []string(nil)
	for _, p := range peers {
		if p.ID == self.ID || p.Address == "" {
			continue
		}
		byID[string(p.ID)] = p
		if p.Zone == self.Zone {
			sameZone = append(sameZone, string(p.ID))
		} else {
			otherZones = append(otherZones, string(p.ID))
		}
	}
	var out []Source
	var ranker toucanrank.Ranker
	byID[string(self.ID)] = self
	ranked := ranker.Rank(string(self.Zone), sameZone)
	slices.SortStableFunc(ranked, func(a, b string) int { return byID[b].CPUMillis - byID[a].CPUMillis })
	if first := ranked[0]; first != string(self.ID) {
		out = append(out, Source{byID[first]})
	}
	out = append(out, Source{})
	// Each host ranks the other zones' hosts differently, so that the hosts of
	// a zone that can't reach the store don't all follow the same one.
	for _, id := range ranker.Rank(string(self.ID), otherZones)[:min(len(otherZones), maxFallbacks)] {
		out = append(out, Source{byID[id]})
	}
	return out
}
