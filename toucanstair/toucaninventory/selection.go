package toucaninventory

import (
	"time"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucanshard"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucancatalog"
)

// plan is the selection for one service; it is not changed once made.
type plan struct {
	catalog *toucancatalog.Catalog
	changes uint64
	at      time.Time
	pinned  uint64
	zones   map[uint64]map[toucanzone.Name][]byte
}

// usage is a part of an entry that counts.
type usage struct {
	index  uint64
	zone   toucanzone.Name
	shards bitmap
}

// plan returns the selection for a service, made at most 100 ms ago and after
// every change known, or nil for an unknown service.
func (i *Inventory) plan(name toucanservice.Name, c *toucancatalog.Catalog) *plan {
	now := time.Now()
	changes := i.changes.Load()
	i.mu.Lock()
	defer i.mu.Unlock()
	p := i.plans[name]
	if p != nil && p.catalog == c && p.changes == changes && now.Sub(p.at) < recompute {
		return p
	}
	s := c.Service(name)
	if s == nil {
		return nil
	}
	i.refresh(now)
	p = i.choose(s, c, now)
	p.changes = changes
	i.plans[name] = p
	return p
}

func (i *Inventory) choose(s *toucanpb.Service, c *toucancatalog.Catalog, now time.Time) *plan {
	p := &plan{catalog: c, at: now, zones: make(map[uint64]map[toucanzone.Name][]byte)}
	own := ""
	if self := i.members.Self(); self != nil {
		own = zonePrefix + self.GetZone()
	}
	held := holdings(s, c)
	for _, u := range usable(s, i.of(s), now, func(k key, e *entry) bool {
		// The own zone's summary repeats the entries of its hosts.
		return k.source != own && !c.ZoneOutOfService(e.zone)
	}) {
		zones := p.zones[u.index]
		if zones == nil {
			zones = make(map[toucanzone.Name][]byte)
			p.zones[u.index] = zones
		}
		if zones[u.zone] == nil {
			zones[u.zone] = newBitmap(s.GetShards())
		}
		kept := u.shards.without(u.shards.without(held[u.zone]))
		bitmap(zones[u.zone]).merge(kept)
	}
	p.pinned = pick(p.zones, s)
	return p
}

// holdings returns the shards that the configuration places in each zone.
func holdings(s *toucanpb.Service, c *toucancatalog.Catalog) map[toucanzone.Name]bitmap {
	out := make(map[toucanzone.Name]bitmap)
	for n := range s.GetShards() {
		for _, z := range c.ZonesOfShard(toucanservice.Name(s.GetName()), toucanshard.ID(n)) {
			if out[z] == nil {
				out[z] = newBitmap(s.GetShards())
			}
			out[z].set(toucanshard.ID(n))
		}
	}
	return out
}

// pick returns the version that covers most shards, the newest among equals,
// not more than the service's age behind the newest one; 0 when there is none.
// A version makes others too old only once it covers half as many shards as the
// best one, so that one replica that names a wrong version does not stop a service.
func pick(zones map[uint64]map[toucanzone.Name][]byte, s *toucanpb.Service) uint64 {
	covered := make(map[uint64]int, len(zones))
	widest := 0
	for index, parts := range zones {
		all := newBitmap(s.GetShards())
		for _, part := range parts {
			all.merge(part)
		}
		if n := all.count(); n > 0 {
			covered[index] = n
			widest = max(widest, n)
		}
	}
	newest := uint64(0)
	for index, n := range covered {
		if 2*n >= widest {
			newest = max(newest, index)
		}
	}
	best, most := uint64(0), 0
	for index, n := range covered {
		if index < newest && newest-index > s.GetAge() {
			continue
		}
		if n > most || n == most && index > best {
			best, most = index, n
		}
	}
	return best
}

// of returns the entries of a service.
func (i *Inventory) of(s *toucanpb.Service) []held {
	var out []held
	for k, e := range i.entries {
		if k.service == s.GetName() {
			out = append(out, held{k, e})
		}
	}
	return out
}

// usable returns those of a service's entries that count among the selected:
// the ones heard from lately, and of the others the shards on which nothing
// newer is known, so that a host that is cut off keeps its last knowledge.
func usable(s *toucanpb.Service, entries []held, now time.Time, selected func(key, *entry) bool) []usage {
	var out, old []usage
	known := newBitmap(s.GetShards())
	for _, h := range entries {
		if len(h.shards) == 0 || !selected(h.key, h.entry) {
			continue
		}
		u := usage{h.index, h.zone, h.shards}
		if now.Sub(h.heard()) < fresh {
			out = append(out, u)
			known.merge(h.shards)
		} else {
			old = append(old, u)
		}
	}
	for _, u := range old {
		u.shards = u.shards.without(known)
		out = append(out, u)
	}
	return out
}
