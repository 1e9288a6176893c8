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
//   - an entry, which has a service, for a host that may lack it;
//   - a stamp, which has only a source and a sequence number, shows that the
//     source is alive; its index is the digest of the source's entries;
//   - a request, which has only a source, from a host whose digest differs from
//     that of a stamp. The peer sends it the entries of the source again.
//
// Between zones, a stamp whose source is the receiver's zone does not show that
// the source is alive: it carries the sender's digest of that zone's entries (see
// offerDigest).

// Offer adds to a heartbeat the entries that the receiver may lack. Hosts of
// this zone get the entries of its hosts and of other zones; hosts of other
// zones get this zone's summary.
func (i *Inventory) Offer(to *toucanpb.Member, g *toucanpb.Gossip) {
	self := i.identity.Self()
	if self == nil || to == nil {
		return
	}
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.refresh(now)
	i.sweep(now)
	p := i.peer(to.GetId())
	sameZone := to.GetZone() == self.GetZone()
	if now.Sub(p.offeredAt) < maxSteadyGap {
		p.streak++
	} else {
		p.streak = 0
	}
	p.offeredAt = now
	skipEntries := sameZone && p.streak < minSteadyStreak && i.steadyPeers() >= enoughPeers
	usesDigest := !sameZone && i.remotePeers(self.GetZone()) > enoughPeers
	// A host whose last heartbeat had no digest does not request entries by
	// digest, so all entries are sent to it.
	upToDate := usesDigest && !p.needsEntries && (p.sentDigest || !p.heard)
	p.zone = to.GetZone()
	for _, name := range p.requests {
		g.Served = append(g.Served, &toucanpb.Served{Source: name})
	}
	p.requests = nil
	if skipEntries {
		return
	}
	summary := zonePrefix + self.GetZone()
	// Relaying only live sources prevents two hosts from renewing each other's
	// knowledge of a dead source.
	shouldOffer := func(name string, s *source) bool {
		return sameZone != (name == summary) && name != to.GetId() && now.Sub(s.heardAt) < entryTTL
	}
	if usesDigest {
		i.offerDigest(zonePrefix+to.GetZone(), g)
	}
	for k, e := range i.entries {
		if !shouldOffer(k.source, e.source) || p.sent[k] == e.sequence || upToDate {
			continue
		}
		p.sent[k] = e.sequence
		// The entry shows that the source is alive, so no stamp is needed.
		p.stamps[k.source] = e.source.sequence
		g.Served = append(g.Served, &toucanpb.Served{
			Source: k.source, Sequence: e.sequence, Service: k.service, Index: k.index, Shards: e.shards,
		})
	}
	p.needsEntries = false
	for name, s := range i.sources {
		if !shouldOffer(name, s) || s.sequence == 0 || p.stamps[name] >= s.sequence {
			continue
		}
		p.stamps[name] = s.sequence
		g.Served = append(g.Served, &toucanpb.Served{Source: name, Sequence: s.sequence, Index: uint64(i.digest(name))})
	}
}

// offerDigest adds the digest of the entries known of the receiver's zone, so
// that the receiver answers with entries only if they differ. Sending the
// entries themselves would repeat them to the many hosts that a host meets only
// once.
func (i *Inventory) offerDigest(name string, g *toucanpb.Gossip) {
	known := &toucanpb.Served{Source: name, Sequence: 1}
	if s := i.sources[name]; s != nil {
		known.Sequence, known.Index = max(1, s.sequence), uint64(i.digest(name))
	}
	g.Served = append(g.Served, known)
}

// compareDigest schedules this zone's entries for a host of another zone if the
// digest that it sent of them differs.
func (i *Inventory) compareDigest(p *peer, s *toucanpb.Served) {
	p.sentDigest = true
	if uint32(s.GetIndex()) == i.digest(s.GetSource()) {
		return
	}
	i.resend(p, s.GetSource())
}

// remotePeers returns the number of recent peers in other zones.
func (i *Inventory) remotePeers(own string) int {
	n := 0
	for _, p := range i.peers {
		if p.zone != "" && p.zone != own {
			n++
		}
	}
	return n
}

// steadyPeers returns the number of peers with which this host exchanges all
// entries.
func (i *Inventory) steadyPeers() int {
	n := 0
	for _, p := range i.peers {
		if p.streak >= minSteadyStreak {
			n++
		}
	}
	return n
}

func (i *Inventory) peer(id string) *peer {
	p := i.peers[id]
	if p == nil {
		p = &peer{sent: make(map[key]uint64), stamps: make(map[string]uint64), requestedAt: make(map[string]time.Time)}
		i.peers[id] = p
	}
	return p
}

// digest returns a hash that is equal on hosts with equal entries of a source.
func (i *Inventory) digest(name string) uint32 {
	s := i.source(name)
	if s.digestValid {
		return s.digest
	}
	s.digest, s.digestValid = 0, true
	for k, e := range i.entries {
		if k.source != name || len(e.shards) == 0 {
			continue
		}
		h := fnv.New32a()
		_, _ = h.Write([]byte(k.service))
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, k.index))
		_, _ = h.Write(e.shards)
		// Addition makes the digest independent of the iteration order.
		s.digest += h.Sum32()
	}
	return s.digest
}

// Accept processes what Offer added to a heartbeat at its sender.
func (i *Inventory) Accept(from *toucanpb.Member, g *toucanpb.Gossip) {
	self := i.identity.Self()
	if self == nil || from == nil {
		return
	}
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	sameZone := from.GetZone() == self.GetZone()
	if sameZone {
		i.dropEarlierIncarnations(from)
	}
	p := i.peer(from.GetId())
	if sameZone && i.sources[from.GetId()] == nil {
		// A host that has just joined gets all entries in the reply.
		p.streak, p.offeredAt = minSteadyStreak, now
	}
	p.heard, p.sentDigest = true, false
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
		if !sameZone && isZone && name == self.GetZone() && s.GetService() == "" {
			i.compareDigest(p, s)
			continue
		}
		switch {
		case s.GetSource() == self.GetId(), isZone && name == self.GetZone():
			continue // this host is authoritative for these
		case !sameZone && name != from.GetZone(), !sameZone && !isZone:
			continue // hosts of other zones are authoritative for their zone only
		case len(s.GetShards()) > maxBitmapBytes:
			continue
		}
		if s.GetService() == "" {
			stamps = append(stamps, s)
			continue
		}
		direct := s.GetSource() == from.GetId() || isZone && name == from.GetZone()
		i.storeEntry(p, s, zone, direct, now)
	}
	for _, s := range stamps {
		direct := s.GetSource() == from.GetId() || s.GetSource() == zonePrefix+from.GetZone()
		i.storeStamp(p, s, direct, now)
	}
	if sameZone {
		i.markHeard(from.GetId(), now)
	} else {
		i.markHeard(zonePrefix+from.GetZone(), now)
	}
}

func (i *Inventory) markHeard(name string, now time.Time) {
	s := i.sources[name]
	if s == nil {
		return
	}
	if now.Sub(s.heardAt) >= entryTTL {
		i.changes.Add(1)
	}
	s.heardAt = now
}

// resend schedules the entries of a source for the next heartbeats to a peer.
func (i *Inventory) resend(p *peer, name string) {
	p.needsEntries = true
	for k := range p.sent {
		if k.source == name {
			delete(p.sent, k)
		}
	}
}

// storeEntry stores an entry that is newer than the known one. An entry with a
// lower sequence number is accepted from the source itself once the known one
// has expired: the sequence numbers of a zone's summary follow the clocks of
// several hosts, and the host with the fastest clock may be gone.
func (i *Inventory) storeEntry(p *peer, s *toucanpb.Served, zone toucanzone.Name, direct bool, now time.Time) {
	k := key{s.GetSource(), s.GetService(), s.GetIndex()}
	p.sent[k] = s.GetSequence()
	e := i.entries[k]
	if e != nil && s.GetSequence() <= e.sequence && (!direct || now.Sub(e.heardAt()) < entryTTL) {
		return
	}
	i.put(k, &entry{sequence: s.GetSequence(), shards: s.GetShards(), zone: zone, updatedAt: now})
	i.source(k.source).heardAt = now
	i.source(k.source).sequence = max(i.source(k.source).sequence, s.GetSequence())
	i.changes.Add(1)
}

// storeStamp marks a source as alive, and requests its entries if the digest
// shows that some were missed.
func (i *Inventory) storeStamp(p *peer, s *toucanpb.Served, direct bool, now time.Time) {
	name := s.GetSource()
	p.stamps[name] = max(p.stamps[name], s.GetSequence())
	src := i.source(name)
	if s.GetSequence() <= src.sequence && (!direct || now.Sub(src.heardAt) < entryTTL) {
		return
	}
	src.sequence = s.GetSequence()
	i.markHeard(name, now)
	if i.digest(name) == uint32(s.GetIndex()) {
		delete(p.requestedAt, name)
		return
	}
	// Hosts of one zone may publish different summaries for a short time.
	if at, asked := p.requestedAt[name]; !asked || now.Sub(at) >= stampInterval {
		p.requestedAt[name] = now
		p.requests = append(p.requests, name)
	}
}

// dropEarlierIncarnations drops the entries of earlier incarnations of a host.
// Host IDs have the form "name/incarnation".
func (i *Inventory) dropEarlierIncarnations(from *toucanpb.Member) {
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

// sweep drops removed entries after the retention period. It drops expired
// entries once all their shards are known from elsewhere or their service is
// gone. Both are kept for the retention period first, so that a late relay of
// the same entry is recognized as old.
func (i *Inventory) sweep(now time.Time) {
	if now.Sub(i.sweptAt) < time.Second {
		return
	}
	i.sweptAt = now
	for id, p := range i.peers {
		if now.Sub(p.offeredAt) >= maxSteadyGap {
			p.streak = 0
		}
		if now.Sub(p.offeredAt) >= retention {
			delete(i.peers, id)
		}
	}
	c := i.configuration.Catalog()
	known := make(map[string]bitmap)
	for k, e := range i.entries {
		if now.Sub(e.heardAt()) < entryTTL {
			known[k.service] = known[k.service].union(e.shards)
		}
	}
	used := make(map[string]bool)
	for k, e := range i.entries {
		removed := len(e.shards) == 0 && now.Sub(e.updatedAt) >= retention
		redundant := e.shards.without(known[k.service]).count() == 0 ||
			c != nil && c.Service(toucanservice.Name(k.service)) == nil
		if !removed && (!redundant || now.Sub(e.heardAt()) < retention) {
			used[k.source] = true
			continue
		}
		delete(i.entries, k)
		e.source.digestValid = false
		for _, p := range i.peers {
			delete(p.sent, k)
		}
	}
	for name, s := range i.sources {
		if !used[name] && now.Sub(s.heardAt) >= retention {
			delete(i.sources, name)
		}
	}
}
