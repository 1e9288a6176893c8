package toucansnapshot

import (
	"strings"
	"time"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucanzone"
)

// Offer adds to a heartbeat what changed since it was last sent to that host,
// and everything in every tenth one. Hosts of this zone get the entries of its
// hosts and of other zones; hosts of other zones get the zone's summary.
func (i *Inventory) Offer(to *toucanpb.Member, g *toucanpb.Gossip) {
	self := i.members.Self()
	if self == nil || to == nil {
		return
	}
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.refresh(now)
	i.sweep(now)
	p := i.peers[to.GetId()]
	if p == nil {
		p = &peer{sent: make(map[key]uint64)}
		i.peers[to.GetId()] = p
	}
	p.at = now
	all := p.beats%full == 0
	p.beats++
	summary := zonePrefix + self.GetZone()
	near := to.GetZone() == self.GetZone()
	for k, e := range i.entries {
		switch {
		case near == (k.source == summary), k.source == to.GetId():
			continue
		case now.Sub(e.heard) >= fresh:
			// Relaying only what is alive keeps two hosts from renewing each
			// other's knowledge of a source that is gone.
			continue
		case !all && p.sent[k] == e.sequence:
			continue
		}
		p.sent[k] = e.sequence
		g.Served = append(g.Served, &toucanpb.Served{
			Source: k.source, Sequence: e.sequence, Service: k.service, Index: k.index, Shards: e.shards,
		})
	}
}

// Accept takes in the part of a heartbeat that Offer added at its sender.
func (i *Inventory) Accept(from *toucanpb.Member, g *toucanpb.Gossip) {
	self := i.members.Self()
	if self == nil || from == nil {
		return
	}
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	near := from.GetZone() == self.GetZone()
	if near {
		i.replace(from)
	}
	for _, s := range g.GetServed() {
		name, isZone := strings.CutPrefix(s.GetSource(), zonePrefix)
		zone := toucanzone.Name(name)
		if !isZone {
			zone = toucanzone.Name(self.GetZone())
		}
		switch {
		case s.GetSource() == self.GetId(), isZone && name == self.GetZone():
			continue // this host speaks for these itself
		case !near && name != from.GetZone(), !near && !isZone:
			continue // hosts of other zones speak for their zone only
		case len(s.GetShards()) > maxBitmap:
			continue
		}
		direct := s.GetSource() == from.GetId() || isZone && name == from.GetZone()
		i.take(s, zone, direct, now)
	}
	for k, e := range i.entries {
		if k.source == from.GetId() || !near && k.source == zonePrefix+from.GetZone() {
			e.heard = now
		}
	}
	i.changes.Add(1)
}

// take stores an entry that is newer than the known one. From the source itself
// a lower number is taken too once the known one has expired: the numbers of a
// zone's summary follow several hosts' clocks, and the fastest one may be gone.
func (i *Inventory) take(s *toucanpb.Served, zone toucanzone.Name, direct bool, now time.Time) {
	k := key{s.GetSource(), s.GetService(), s.GetIndex()}
	e := i.entries[k]
	if e != nil && s.GetSequence() <= e.sequence && (!direct || now.Sub(e.heard) < fresh) {
		return
	}
	i.entries[k] = &entry{sequence: s.GetSequence(), shards: s.GetShards(), zone: zone, heard: now, stamped: now}
}

// replace drops the entries of earlier incarnations of a host.
func (i *Inventory) replace(from *toucanpb.Member) {
	name, _, _ := strings.Cut(from.GetId(), "/")
	for k := range i.entries {
		other, _, ok := strings.Cut(k.source, "/")
		if ok && other == name && k.source != from.GetId() && !strings.HasPrefix(k.source, zonePrefix) {
			delete(i.entries, k)
		}
	}
}

// sweep drops removed entries after a while, and expired ones once all their
// shards are known from elsewhere or their service is gone. Both are kept for
// some time first, so that a late relay of the same entry is recognised as old.
func (i *Inventory) sweep(now time.Time) {
	for id, p := range i.peers {
		if now.Sub(p.at) >= forget {
			delete(i.peers, id)
		}
	}
	c := i.keeper.Catalog()
	known := make(map[string]bitmap)
	for k, e := range i.entries {
		if now.Sub(e.heard) < fresh {
			known[k.service] = known[k.service].union(e.shards)
		}
	}
	for k, e := range i.entries {
		removed := len(e.shards) == 0 && now.Sub(e.stamped) >= forget
		hidden := e.shards.without(known[k.service]).count() == 0 ||
			c != nil && c.Service(toucanservice.Name(k.service)) == nil
		if removed || hidden && now.Sub(e.heard) >= forget {
			delete(i.entries, k)
			for _, p := range i.peers {
				delete(p.sent, k)
			}
		}
	}
}
