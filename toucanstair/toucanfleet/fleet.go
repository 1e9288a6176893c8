// Package toucanfleet divides what the targets bear among the hosts.
package toucanfleet

import (
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanreader"
)

// Fleet knows the hosts that are listed. Its fields are set before use.
type Fleet struct {
	Self  toucanreader.Peer
	Peers func() []toucanreader.Peer
	Least int // hosts that are assumed while fewer are listed
}

// Hosts returns the number of hosts, at least Least.
func (f *Fleet) Hosts() int { return max(f.Least, len(f.Peers())) }

// Share returns the part of a target's connections that are this host's.
// Callers are divided among the zones, and in each among its hosts, so a host
// that is alone in its zone needs more than one of many.
func (f *Fleet) Share() float64 {
	near, zones := 1, map[toucanzone.Name]bool{f.Self.Zone: true}
	peers := f.Peers()
	if len(peers) < 2 {
		return 1 / float64(f.Hosts())
	}
	for _, p := range peers {
		zones[p.Zone] = true
		if p.Zone == f.Self.Zone && p.ID != f.Self.ID {
			near++
		}
	}
	return 1 / float64(len(zones)*near)
}
