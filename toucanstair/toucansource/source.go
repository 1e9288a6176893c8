// Package toucansource decides from where a host learns what the store says:
// from the store itself or from another host. It answers the load of many
// hosts on a store that counts each call.
package toucansource

import (
	"slices"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanrank"
	"toucanstair.example/core/toucanzone"
)

// Peer is another host that can be followed.
type Peer struct {
	ID        toucanhost.ID
	Zone      toucanzone.Name
	Address   string // "ip:port" for other hosts
	CPUMillis int    // processor, in thousandths of a core
}

// Source is a place to learn from; the zero value is the store.
type Source struct {
	Peer Peer
}

// IsStore reports whether the source is the store itself.
func (s Source) IsStore() bool { return s.Peer.Address == "" }

// fallbacks bounds the hosts of other zones that are tried when the store
// can't be reached.
const fallbacks = 2

// Prioritize returns the sources of a host, best first. The first host of each
// zone by power and rank reads the store; the others follow it, and read the store
// themselves when it can't be followed. When the store can't be read either, hosts of
// other zones that may still reach it are followed.
func Prioritize(self Peer, peers []Peer) []Source {
	byID := make(map[string]Peer, len(peers))
	near, far := []string{string(self.ID)}, []string(nil)
	for _, p := range peers {
		if p.ID == self.ID || p.Address == "" {
			continue
		}
		byID[string(p.ID)] = p
		if p.Zone == self.Zone {
			near = append(near, string(p.ID))
		} else {
			far = append(far, string(p.ID))
		}
	}
	var out []Source
	var ranker toucanrank.Ranker
	byID[string(self.ID)] = self
	ranked := ranker.Rank(string(self.Zone), near)
	slices.SortStableFunc(ranked, func(a, b string) int { return byID[b].CPUMillis - byID[a].CPUMillis })
	if first := ranked[0]; first != string(self.ID) {
		out = append(out, Source{byID[first]})
	}
	out = append(out, Source{})
	// Each host has its own order, so that the hosts of a zone that can't reach
	// the store don't all follow the same one.
	for _, id := range ranker.Rank(string(self.ID), far)[:min(len(far), fallbacks)] {
		out = append(out, Source{byID[id]})
	}
	return out
}
