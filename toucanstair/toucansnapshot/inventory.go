// Package toucansnapshot knows which index version is served for which shard
// and selects the version that a query is pinned to.
package toucansnapshot

import (
	"hash/maphash"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucanshard"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucancatalog"
)

const (
	// fresh is how long an entry counts after its source was last heard from.
	fresh = 10 * time.Second
	// restamp is how often an unchanged own entry gets a new sequence number.
	// Hosts that know the source only through others see by it that it lives,
	// so it is well below fresh.
	restamp = 4 * time.Second
	// forget is how long an entry is kept after it was removed or replaced, so
	// that its removal reaches hosts that missed heartbeats.
	forget = time.Minute
	// full is the number of heartbeats to a host between two that carry every
	// entry; it repairs what a lost heartbeat carried.
	full = 10
	// recompute bounds the age of a selection, because entries expire without
	// an event.
	recompute = 100 * time.Millisecond
	// stripes is the number of locks over the replicas' records, which are
	// refreshed by every response.
	stripes = 16
	// maxBitmap bounds the bitmap that is taken from a peer, in bytes.
	maxBitmap = 1 << 13
)

const zonePrefix = "zone/"

// keeper returns the configuration in effect, or nil.
type keeper interface {
	Catalog() *toucancatalog.Catalog
}

// members returns this host's identity.
type members interface {
	Self() *toucanpb.Member
}

// Inventory holds the index versions that are served, as a bitmap of shards for
// each source, service and version. A source is a host of this zone or a whole
// other zone. It is safe for concurrent use.
type Inventory struct {
	keeper  keeper
	members members
	seed    maphash.Seed
	own     [stripes]stripe
	changes atomic.Uint64

	mu      sync.Mutex
	entries map[key]*entry
	peers   map[string]*peer
	plans   map[toucanservice.Name]*plan
}

type stripe struct {
	mu      sync.Mutex
	records map[toucanreplica.ID]*record
}

type record struct {
	indexes []uint64
	at      time.Time
}

type key struct {
	source  string
	service string
	index   uint64
}

// entry is replaced, not changed, when its shards change; heard may change. An
// entry without shards says that the source no longer serves the version.
type entry struct {
	sequence uint64
	shards   bitmap
	zone     toucanzone.Name
	heard    time.Time
	stamped  time.Time // when the sequence last rose
}

type peer struct {
	beats int
	at    time.Time
	sent  map[key]uint64
}

// New returns an empty inventory. The members give this host's identity, which
// may change when it joins again.
func New(k keeper, m members) *Inventory {
	i := &Inventory{
		keeper:  k,
		members: m,
		seed:    maphash.MakeSeed(),
		entries: make(map[key]*entry),
		peers:   make(map[string]*peer),
		plans:   make(map[toucanservice.Name]*plan),
	}
	for n := range i.own {
		i.own[n].records = make(map[toucanreplica.ID]*record)
	}
	return i
}

// Record notes the index versions that a replica serves. The replica's first
// owner calls it for each response and health poll; a record that is not
// refreshed for 10 s is dropped.
func (i *Inventory) Record(r toucanreplica.ID, indexes []uint64) {
	s := &i.own[maphash.String(i.seed, string(r))%stripes]
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if have := s.records[r]; have != nil && slices.Equal(have.indexes, indexes) {
		if now.Sub(have.at) >= fresh {
			i.changes.Add(1)
		}
		have.at = now
		return
	}
	s.records[r] = &record{indexes: slices.Clone(indexes), at: now}
	i.changes.Add(1)
}

// Pin returns the index version that covers most shards of the service in zones
// that are not out of service, the newest among equals, within the service's
// age bound. It returns a toucanfault.Error when no version is known.
func (i *Inventory) Pin(s toucanservice.Name, c *toucancatalog.Catalog) (uint64, error) {
	p := i.plan(s, c)
	if p == nil || p.pinned == 0 {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_VERSION, "no index version of service "+string(s)+" is known to be served")
	}
	return p.pinned, nil
}

// Serves returns for each zone the bitmap of the service's shards that it is
// known to serve at an index version, bit n%8 of byte n/8 for shard n. The
// caller must not change it.
func (i *Inventory) Serves(s toucanservice.Name, c *toucancatalog.Catalog, index uint64) map[toucanzone.Name][]byte {
	if p := i.plan(s, c); p != nil {
		return p.zones[index]
	}
	return nil
}

// State returns the versions known for each service and the shards served, for
// the operators' state page.
func (i *Inventory) State() any {
	type line struct {
		Source string `json:"source"`
		Index  uint64 `json:"index"`
		Shards int    `json:"shards"`
		Fresh  bool   `json:"fresh"`
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	i.refresh(now)
	out := map[string][]line{}
	for k, e := range i.entries {
		if n := e.shards.count(); n > 0 {
			out[k.service] = append(out[k.service], line{k.source, k.index, n, now.Sub(e.heard) < fresh})
		}
	}
	for _, lines := range out {
		slices.SortFunc(lines, func(a, b line) int {
			return strings.Compare(a.Source, b.Source)
		})
	}
	return out
}

// refresh brings this host's own entries and its zone's summary up to date.
func (i *Inventory) refresh(now time.Time) {
	self := i.members.Self()
	c := i.keeper.Catalog()
	if self == nil || c == nil {
		return
	}
	zone := toucanzone.Name(self.GetZone())
	i.publish(self.GetId(), zone, i.recorded(c, now), now)
	i.publish(zonePrefix+string(zone), zone, i.summary(c, zone, now), now)
}

// recorded returns this host's records as entries without a source.
func (i *Inventory) recorded(c *toucancatalog.Catalog, now time.Time) map[key]bitmap {
	out := make(map[key]bitmap)
	for n := range i.own {
		s := &i.own[n]
		s.mu.Lock()
		for id, r := range s.records {
			replica, service := c.Replica(id)
			if replica == nil || now.Sub(r.at) >= fresh {
				delete(s.records, id)
				continue
			}
			for _, index := range r.indexes {
				k := key{service: service.GetName(), index: index}
				b := out[k]
				if b == nil {
					b = newBitmap(service.GetShards())
					out[k] = b
				}
				b.set(toucanshard.ID(replica.GetShard()))
			}
		}
		s.mu.Unlock()
	}
	return out
}

// summary merges what the hosts of a zone serve.
func (i *Inventory) summary(c *toucancatalog.Catalog, zone toucanzone.Name, now time.Time) map[key]bitmap {
	out := make(map[key]bitmap)
	for _, s := range c.Rules().GetServices() {
		used := i.usable(s, now, func(k key, e *entry) bool {
			return e.zone == zone && !strings.HasPrefix(k.source, zonePrefix)
		})
		for _, u := range used {
			k := key{service: s.GetName(), index: u.index}
			b := out[k]
			if b == nil {
				b = newBitmap(s.GetShards())
				out[k] = b
			}
			b.merge(u.shards)
		}
	}
	return out
}

// publish replaces the entries of a source that this host speaks for.
func (i *Inventory) publish(source string, zone toucanzone.Name, now map[key]bitmap, at time.Time) {
	for k, e := range i.entries {
		if k.source != source {
			continue
		}
		bare := key{service: k.service, index: k.index}
		if _, ok := now[bare]; ok {
			continue
		}
		if len(e.shards) > 0 {
			i.entries[k] = &entry{sequence: next(e, at), zone: zone, heard: at, stamped: at}
		} else {
			e.heard = at
		}
	}
	for bare, b := range now {
		k := key{source, bare.service, bare.index}
		e := i.entries[k]
		if e != nil && e.shards.equal(b) && at.Sub(e.stamped) < restamp {
			e.heard = at
			continue
		}
		i.entries[k] = &entry{sequence: next(e, at), shards: b, zone: zone, heard: at, stamped: at}
	}
}

// next returns a sequence number above the earlier one. It follows the wall
// clock, because several hosts of a zone number the zone's summary.
func next(e *entry, at time.Time) uint64 {
	now := uint64(max(at.UnixMilli(), 1))
	if e != nil && e.sequence >= now {
		return e.sequence + 1
	}
	return now
}
