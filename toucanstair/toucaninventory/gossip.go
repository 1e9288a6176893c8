package toucaninventory

import (
	"encoding/binary"
	"hash/fnv"
	"strings"
	"time"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucanzone"
)

// A heartbeat carries three kinds of messages in its list of served shards:
//   - an entry, which has a service, to a host that may not have it;
//   - a stamp, which has a source and a sequence number only, shows that the
//     source lives; its index holds the digest of the source's entries;
//   - a request, which has a source only, from a host whose digest differs from
//     that of a stamp. The peer sends it the entries of the source again.

// Offer adds to a heartbeat what the host is not known to have. Hosts of this
// zone get what is known of its hosts and of other zones; hosts of other zones
// get the zone's summary.
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
	p := i.peer(to.GetId())
	near := to.GetZone() == self.GetZone()
	if now.Sub(p.at) < steady {
		p.run++
	} else {
		p.run = 0
	}
	p.at = now
	seldom := near && p.run < steadyRun && i.steadyPeers() >= enough
	// A host that was heard without a digest does not pull, so it is sent all.
	pulls := !near && i.farPeers(self.GetZone()) > enough
	holds := pulls && !p.lacks && (p.told || !p.met)
	p.zone = to.GetZone()
	for _, name := range p.ask {
		g.Served = append(g.Served, &toucanpb.Served{Source: name})
	}
	p.ask = nil
	if seldom {
		return
	}
	summary := zonePrefix + self.GetZone()
	// Relaying only what is alive keeps two hosts from renewing each other's
	// knowledge of a source that is gone.
	offers := func(name string, s *source) bool {
		return near != (name == summary) && name != to.GetId() && now.Sub(s.heard) < fresh
	}
	if pulls {
		i.offerDigest(zonePrefix+to.GetZone(), g)
	}
	for k, e := range i.entries {
		if !offers(k.source, e.source) || p.sent[k] == e.sequence || holds {
			continue
		}
		p.sent[k] = e.sequence
		// The entry shows that the source lives, so the stamp is not needed.
		p.stamps[k.source] = e.source.sequence
		g.Served = append(g.Served, &toucanpb.Served{
			Source: k.source, Sequence: e.sequence, Service: k.service, Index: k.index, Shards: e.shards,
		})
	}
	p.lacks = false
	for name, s := range i.sources {
		if !offers(name, s) || s.sequence == 0 || p.stamps[name] >= s.sequence {
			continue
		}
		p.stamps[name] = s.sequence
		g.Served = append(g.Served, &toucanpb.Served{Source: name, Sequence: s.sequence, Index: uint64(i.digest(name))})
	}
}

// offerDigest tells a host of another zone what is known of its zone, so that
// it answers with entries only when they differ. Pushing the zone's entries
// instead would repeat them to each of the many hosts that a host meets once.
func (i *Inventory) offerDigest(name string, g *toucanpb.Gossip) {
	known := &toucanpb.Served{Source: name, Sequence: 1}
	if s := i.sources[name]; s != nil {
		known.Sequence, known.Index = max(1, s.sequence), uint64(i.digest(name))
	}
	g.Served = append(g.Served, known)
}

// compare notes whether a host of another zone lacks entries of this zone.
func (i *Inventory) compare(p *peer, s *toucanpb.Served) {
	p.told = true
	if uint32(s.GetIndex()) == i.digest(s.GetSource()) {
		return
	}
	i.resend(p, s.GetSource())
}

// farPeers returns the number of hosts of other zones met lately.
func (i *Inventory) farPeers(own string) int {
	n := 0
	for _, p := range i.peers {
		if p.zone != "" && p.zone != own {
			n++
		}
	}
	return n
}

// steadyPeers returns the number of hosts with which this one exchanges all.
func (i *Inventory) steadyPeers() int {
	n := 0
	for _, p := range i.peers {
		if p.run >= steadyRun {
			n++
		}
	}
	return n
}

func (i *Inventory) peer(id string) *peer {
	p := i.peers[id]
	if p == nil {
		p = &peer{sent: make(map[key]uint64), stamps: make(map[string]uint64), wanted: make(map[string]time.Time)}
		i.peers[id] = p
	}
	return p
}

// digest returns a number that is equal on hosts with equal entries of a source.
func (i *Inventory) digest(name string) uint32 {
	s := i.source(name)
	if s.summed {
		return s.sum
	}
	s.sum, s.summed = 0, true
	for k, e := range i.entries {
		if k.source != name || len(e.shards) == 0 {
			continue
		}
		h := fnv.New32a()
		_, _ = h.Write([]byte(k.service))
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, k.index))
		_, _ = h.Write(e.shards)
		// The sum does not depend on the order of the entries.
		s.sum += h.Sum32()
	}
	return s.sum
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
	p := i.peer(from.GetId())
	if near && i.sources[from.GetId()] == nil {
		// A host that has just joined needs all there is in the reply.
		p.run, p.at = steadyRun, now
	}
	p.met, p.told = true, false
	var stamps []*toucanpb.Served
	for _, s := range g.GetServed() {
		if s.GetSequence() == 0 {
			i.resend(p, s.GetSource())
			continue
		}
		name, isZone := strings.CutPrefix(s.GetSource(), zonePrefix)
		zone := toucanzone.Name(name)
		if !isZone {
			zone = toucanzone.Name(self.GetZone())
		}
		if !near && isZone && name == self.GetZone() && s.GetService() == "" {
			i.compare(p, s)
			continue
		}
		switch {
		case s.GetSource() == self.GetId(), isZone && name == self.GetZone():
			continue // this host speaks for these itself
		case !near && name != from.GetZone(), !near && !isZone:
			continue // hosts of other zones speak for their zone only
		case len(s.GetShards()) > maxBitmap:
			continue
		}
		if s.GetService() == "" {
			stamps = append(stamps, s)
			continue
		}
		direct := s.GetSource() == from.GetId() || isZone && name == from.GetZone()
		i.take(p, s, zone, direct, now)
	}
	for _, s := range stamps {
		direct := s.GetSource() == from.GetId() || s.GetSource() == zonePrefix+from.GetZone()
		i.takeStamp(p, s, direct, now)
	}
	if near {
		i.hear(from.GetId(), now)
	} else {
		i.hear(zonePrefix+from.GetZone(), now)
	}
}

func (i *Inventory) hear(name string, now time.Time) {
	s := i.sources[name]
	if s == nil {
		return
	}
	if now.Sub(s.heard) >= fresh {
		i.changes.Add(1)
	}
	s.heard = now
}

// resend makes the next heartbeats to a peer carry the entries of a source.
func (i *Inventory) resend(p *peer, name string) {
	p.lacks = true
	for k := range p.sent {
		if k.source == name {
			delete(p.sent, k)
		}
	}
}

// take stores an entry that is newer than the known one. From the source itself
// a lower number is taken too once the known one has expired: the numbers of a
// zone's summary follow several hosts' clocks, and the fastest one may be gone.
func (i *Inventory) take(p *peer, s *toucanpb.Served, zone toucanzone.Name, direct bool, now time.Time) {
	k := key{s.GetSource(), s.GetService(), s.GetIndex()}
	p.sent[k] = s.GetSequence()
	e := i.entries[k]
	if e != nil && s.GetSequence() <= e.sequence && (!direct || now.Sub(e.heard()) < fresh) {
		return
	}
	i.put(k, &entry{sequence: s.GetSequence(), shards: s.GetShards(), zone: zone, stamped: now})
	i.source(k.source).heard = now
	i.source(k.source).sequence = max(i.source(k.source).sequence, s.GetSequence())
	i.changes.Add(1)
}

// takeStamp notes that a source lives, and that entries of it were missed.
func (i *Inventory) takeStamp(p *peer, s *toucanpb.Served, direct bool, now time.Time) {
	name := s.GetSource()
	p.stamps[name] = max(p.stamps[name], s.GetSequence())
	k := i.source(name)
	if s.GetSequence() <= k.sequence && (!direct || now.Sub(k.heard) < fresh) {
		return
	}
	k.sequence = s.GetSequence()
	i.hear(name, now)
	if i.digest(name) == uint32(s.GetIndex()) {
		delete(p.wanted, name)
		return
	}
	// Hosts that speak for one zone may differ for a moment.
	if at, asked := p.wanted[name]; !asked || now.Sub(at) >= restamp {
		p.wanted[name] = now
		p.ask = append(p.ask, name)
	}
}

// replace drops the entries of earlier incarnations of a host.
func (i *Inventory) replace(from *toucanpb.Member) {
	name, _, _ := strings.Cut(from.GetId(), "/")
	for old := range i.sources {
		other, _, ok := strings.Cut(old, "/")
		if !ok || other != name || old == from.GetId() || strings.HasPrefix(old, zonePrefix) {
			continue
		}
		delete(i.sources, old)
		for k := range i.entries {
			if k.source == old {
				delete(i.entries, k)
			}
		}
		i.changes.Add(1)
	}
}

// sweep drops removed entries after a while, and expired ones once all their
// shards are known from elsewhere or their service is gone. Both are kept for
// some time first, so that a late relay of the same entry is recognised as old.
func (i *Inventory) sweep(now time.Time) {
	if now.Sub(i.swept) < time.Second {
		return
	}
	i.swept = now
	for id, p := range i.peers {
		if now.Sub(p.at) >= steady {
			p.run = 0
		}
		if now.Sub(p.at) >= forget {
			delete(i.peers, id)
		}
	}
	c := i.keeper.Catalog()
	known := make(map[string]bitmap)
	for k, e := range i.entries {
		if now.Sub(e.heard()) < fresh {
			known[k.service] = known[k.service].union(e.shards)
		}
	}
	used := make(map[string]bool)
	for k, e := range i.entries {
		removed := len(e.shards) == 0 && now.Sub(e.stamped) >= forget
		hidden := e.shards.without(known[k.service]).count() == 0 ||
			c != nil && c.Service(toucanservice.Name(k.service)) == nil
		if !removed && (!hidden || now.Sub(e.heard()) < forget) {
			used[k.source] = true
			continue
		}
		delete(i.entries, k)
		e.source.summed = false
		for _, p := range i.peers {
			delete(p.sent, k)
		}
	}
	for name, s := range i.sources {
		if !used[name] && now.Sub(s.heard) >= forget {
			delete(i.sources, name)
		}
	}
}
