package toucaninventory

import (
	"time"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucanshard"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucancatalog"
)

// selection is the selected version of one service with the shards that each
// zone serves. It is immutable.
type selection struct {
	catalog *toucancatalog.Catalog
	changes uint64 // Inventory.changes when the selection was made
	madeAt  time.Time
	pinned  uint64                                // the selected version, or 0
	zones   map[uint64]map[toucanzone.Name][]byte // shards served, by version and zone
}

// contribution is the part of an entry that is used for a selection.
type contribution struct {
	index  uint64
	zone   toucanzone.Name
	shards bitmap
}

// selectionFor returns the selection for a service, or nil for an unknown
// service. It is at most refreshInterval old and includes every known change.
func (i *Inventory) selectionFor(name toucanservice.Name, c *toucancatalog.Catalog) *selection {
	now := time.Now()
	changes := i.changes.Load()
	i.mu.Lock()
	defer i.mu.Unlock()
	sel := i.selections[name]
	if sel != nil && sel.catalog == c && sel.changes == changes && now.Sub(sel.madeAt) < refreshInterval {
		return sel
	}
	s := c.Service(name)
	if s == nil {
		return nil
	}
	i.refresh(now)
	sel = i.selectVersion(s, c, now)
	sel.changes = changes
	i.selections[name] = sel
	return sel
}

func (i *Inventory) selectVersion(s *toucanpb.Service, c *toucancatalog.Catalog, now time.Time) *selection {
	sel := &selection{catalog: c, madeAt: now, zones: make(map[uint64]map[toucanzone.Name][]byte)}
	own := ""
	if self := i.identity.Self(); self != nil {
		own = zonePrefix + self.GetZone()
	}
	configured := configuredShards(s, c)
	for _, contributed := range usableEntries(s, i.entriesOf(s), now, func(k key, e *entry) bool {
		// This zone's summary repeats the entries of its hosts.
		return k.source != own && !c.ZoneOutOfService(e.zone)
	}) {
		zones := sel.zones[contributed.index]
		if zones == nil {
			zones = make(map[toucanzone.Name][]byte)
			sel.zones[contributed.index] = zones
		}
		if zones[contributed.zone] == nil {
			zones[contributed.zone] = newBitmap(s.GetShards())
		}
		// The intersection with the shards that the configuration assigns to
		// the zone.
		configuredPart := contributed.shards.without(contributed.shards.without(configured[contributed.zone]))
		bitmap(zones[contributed.zone]).merge(configuredPart)
	}
	sel.pinned = pickVersion(sel.zones, s)
	return sel
}

// configuredShards returns the shards that the configuration assigns to each
// zone.
func configuredShards(s *toucanpb.Service, c *toucancatalog.Catalog) map[toucanzone.Name]bitmap {
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

// pickVersion returns the version that covers most shards, the newest among
// equals, and at most the service's age limit, in versions, behind the newest
// one; 0 if there is none. A version makes others too old only if it covers at
// least half as many shards as the widest one, so that one replica that reports
// a wrong version does not stop a service.
func pickVersion(zones map[uint64]map[toucanzone.Name][]byte, s *toucanpb.Service) uint64 {
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

func (i *Inventory) entriesOf(s *toucanpb.Service) []keyedEntry {
	var out []keyedEntry
	for k, e := range i.entries {
		if k.service == s.GetName() {
			out = append(out, keyedEntry{k, e})
		}
	}
	return out
}

// usableEntries returns the parts of a service's selected entries that count:
// current entries as a whole, and of expired entries the shards that no current
// entry covers. A partitioned host thus keeps the last entries that it knew.
func usableEntries(s *toucanpb.Service, entries []keyedEntry, now time.Time, selected func(key, *entry) bool) []contribution {
	var out, stale []contribution
	known := newBitmap(s.GetShards())
	for _, e := range entries {
		if len(e.shards) == 0 || !selected(e.key, e.entry) {
			continue
		}
		c := contribution{e.index, e.zone, e.shards}
		if now.Sub(e.heardAt()) < entryTTL {
			out = append(out, c)
			known.merge(e.shards)
		} else {
			stale = append(stale, c)
		}
	}
	for _, c := range stale {
		c.shards = c.shards.without(known)
		out = append(out, c)
	}
	return out
}
