// Package toucansource selects the sources from which a host reads the contents
// of the store: the store itself or another host. This bounds the load of many
// hosts on a store that limits the number of calls.
package toucansource

import (
	"slices"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanrank"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanrules"
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

// maxFallbacks bounds the hosts of other zones that are tried if the first sources can't
// be read.
const maxFallbacks = 2

// MaxReaderRank is the rank in its zone up to which a host may read the store, or follow
// hosts of other zones, for the others of its zone.
const MaxReaderRank = 5

// maxStoreRank is the rank in the zone up to which a host reads the store as soon as the
// reader of its zone fails. The others follow the hosts of a lower rank.
const maxStoreRank = 2

// Planner selects the sources of a host.
type Planner struct {
	Self    Peer
	Regions toucanrules.ZoneRegions // a zone that is not in it is a region of its own
}

// Prioritize returns the sources of the host, best first. In each zone the others follow
// the host with the most CPU, where rendezvous hashing breaks ties, and in each region one
// of these reads the store, which the others of them follow. If a host's source fails, the
// first ones of its zone read the store, and the others follow the next one of its zone;
// then come the readers of other zones, which may still reach the store, and at last the
// store.
func (p Planner) Prioritize(peers []Peer) []Source {
	zones := rankZones(p.Self, peers)
	own := zones[p.Self.Zone]
	rank := indexOf(own, p.Self.ID)
	var out []Source
	if rank > 0 {
		out = append(out, Source{own[0]})
	} else if reader := p.regionReader(zones); reader.ID != p.Self.ID {
		out = append(out, Source{reader})
	}
	if rank <= maxStoreRank {
		out = append(out, Source{})
	} else {
		out = append(out, Source{own[1]})
	}
	// Each host ranks the other zones differently, so that the hosts of a zone that can't
	// reach the store don't all follow the same one.
	others := otherZones(p.Self, zones)
	for _, z := range others[:min(len(others), maxFallbacks)] {
		out = append(out, Source{zones[z][0]})
	}
	if rank > maxStoreRank {
		out = append(out, Source{})
	}
	return out
}

// Backups returns the hosts that the host follows beside its source while its copy is
// old, best first: the first ones of other zones, then the next one of its own zone, the
// next ones of other zones, and so on. A host beyond MaxReaderRank follows only the next
// ones of its own zone.
func (p Planner) Backups(peers []Peer) []Peer {
	zones := rankZones(p.Self, peers)
	others := otherZones(p.Self, zones)
	if indexOf(zones[p.Self.Zone], p.Self.ID) > MaxReaderRank {
		others = nil
	}
	var out []Peer
	for tier := range MaxReaderRank + 1 {
		for _, z := range others {
			if tier < len(zones[z]) {
				out = append(out, zones[z][tier])
			}
		}
		if own := zones[p.Self.Zone]; tier+1 < len(own) && own[tier+1].ID != p.Self.ID {
			out = append(out, own[tier+1])
		}
	}
	return out
}

// Rank returns the rank of the host in its zone, 0 for the one that the others follow.
func (p Planner) Rank(peers []Peer) int {
	return indexOf(rankZones(p.Self, peers)[p.Self.Zone], p.Self.ID)
}

// regionReader returns the host that reads the store for the host's region: of the first
// hosts of the zones the one with the most CPU.
func (p Planner) regionReader(zones map[toucanzone.Name][]Peer) Peer {
	region := p.region(p.Self.Zone)
	byID := make(map[string]Peer)
	var ids []string
	for zone, hosts := range zones {
		if p.region(zone) == region {
			byID[string(hosts[0].ID)] = hosts[0]
			ids = append(ids, string(hosts[0].ID))
		}
	}
	ranked := toucanrank.Ranker{}.Rank(string(region), ids)
	slices.SortStableFunc(ranked, func(a, b string) int { return byID[b].CPUMillis - byID[a].CPUMillis })
	return byID[ranked[0]]
}

func (p Planner) region(z toucanzone.Name) toucanrules.Region {
	if region, ok := p.Regions[z]; ok {
		return region
	}
	return toucanrules.Region(z)
}

// rankZones returns the hosts of each zone, the one that the others follow first.
func rankZones(self Peer, peers []Peer) map[toucanzone.Name][]Peer {
	byID := map[string]Peer{string(self.ID): self}
	names := map[toucanzone.Name][]string{self.Zone: {string(self.ID)}}
	for _, p := range peers {
		if p.ID == self.ID || p.Address == "" {
			continue
		}
		byID[string(p.ID)] = p
		names[p.Zone] = append(names[p.Zone], string(p.ID))
	}
	var ranker toucanrank.Ranker
	out := make(map[toucanzone.Name][]Peer, len(names))
	for zone, ids := range names {
		ranked := ranker.Rank(string(zone), ids)
		slices.SortStableFunc(ranked, func(a, b string) int { return byID[b].CPUMillis - byID[a].CPUMillis })
		for _, id := range ranked {
			out[zone] = append(out[zone], byID[id])
		}
	}
	return out
}

// otherZones returns the zones other than the own one, in an order that differs by host.
func otherZones(self Peer, zones map[toucanzone.Name][]Peer) []toucanzone.Name {
	var names []string
	for z := range zones {
		if z != self.Zone {
			names = append(names, string(z))
		}
	}
	var out []toucanzone.Name
	for _, name := range (toucanrank.Ranker{}).Rank(string(self.ID), names) {
		out = append(out, toucanzone.Name(name))
	}
	return out
}

func indexOf(hosts []Peer, id toucanhost.ID) int {
	return slices.IndexFunc(hosts, func(p Peer) bool { return p.ID == id })
}
