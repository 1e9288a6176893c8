// Package toucaninventory knows which index version is served for which shard
// and selects the version that a query is pinned to.
package toucaninventory

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
	"toucanstair.example/toucanstair/toucanview"
)

const (
	// fresh is how long an entry counts after its source was last heard from.
	fresh = 10 * time.Second
	// restamp is how often a source shows that it lives. Hosts that know the
	// source only through others see it by that, so it is well below fresh.
	restamp = 4 * time.Second
	// remind is restamp for a source that the membership vouches for. Its stamp
	// then only shows hosts that they missed a change.
	remind = 30 * time.Second
	// forget is how long an entry is kept after it was removed or replaced, so
	// that its removal reaches hosts that missed heartbeats.
	forget = time.Minute
	// steady is the longest time between two heartbeats of hosts that exchange
	// all they know. Each host beats with a few others twice a second and with
	// the rest about once a minute; what the latter could be told is large and
	// reaches them through their own steady peers.
	steady = 3 * time.Second
	// steadyRun is the number of heartbeats in a row without a longer pause that
	// make a peer a steady one, because a pair of random ones is often close.
	steadyRun = 4
	// enough steady peers make a host leave the others out; each host has 4
	// voters besides itself. Above as many hosts of other zones, entries go to
	// those that lack them only.
	enough = 4
	// recompute bounds the age of a selection and of the own entries, because
	// entries expire without an event.
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

// viewer is implemented by members that know the zone's view. A host that is in
// the view lives as far as the inventory is concerned.
type viewer interface {
	View() toucanview.View
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

	mu        sync.Mutex
	entries   map[key]*entry
	sources   map[string]*source
	peers     map[string]*peer
	plans     map[toucanservice.Name]*plan
	view      uint64
	refreshed time.Time
	swept     time.Time
	state     uint64 // of changes at the last refresh
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

// entry is replaced, not changed, when its shards change. An entry without
// shards says that the source no longer serves the version.
type entry struct {
	sequence uint64
	shards   bitmap
	zone     toucanzone.Name
	source   *source
	stamped  time.Time // when the sequence last rose
}

// source is what is known about a host or a zone that entries come from.
type source struct {
	heard    time.Time
	sequence uint64    // of its last stamp
	stamped  time.Time // when this host last gave it a stamp
	vouched  bool      // a member of the view in use
	sum      uint32    // digest of its entries
	summed   bool      // whether sum is up to date
}

func (e *entry) heard() time.Time { return e.source.heard }

type peer struct {
	at     time.Time
	zone   string
	met    bool // was heard
	told   bool // gave the digest of what it knows of this zone when last heard
	lacks  bool // lacks entries
	run    int  // heartbeats without a longer pause
	sent   map[key]uint64
	stamps map[string]uint64
	wanted map[string]time.Time // sources of which an entry was missed, and when that was said last
	ask    []string             // sources to ask the peer for
}

// New returns an empty inventory. The members give this host's identity, which
// may change when it joins again.
func New(k keeper, m members) *Inventory {
	i := &Inventory{
		keeper:  k,
		members: m,
		seed:    maphash.MakeSeed(),
		entries: make(map[key]*entry),
		sources: make(map[string]*source),
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

// ShardsByZone returns for each zone the bitmap of the service's shards that it is
// known to serve at an index version, bit n%8 of byte n/8 for shard n. The
// caller must not change it.
func (i *Inventory) ShardsByZone(s toucanservice.Name, c *toucancatalog.Catalog, index uint64) map[toucanzone.Name][]byte {
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
			out[k.service] = append(out[k.service], line{k.source, k.index, n, now.Sub(e.heard()) < fresh})
		}
	}
	for _, lines := range out {
		slices.SortFunc(lines, func(a, b line) int {
			return strings.Compare(a.Source, b.Source)
		})
	}
	return out
}

// refresh brings this host's own entries and its zone's summary up to date when
// something changed or they are not recent.
func (i *Inventory) refresh(now time.Time) {
	self := i.members.Self()
	c := i.keeper.Catalog()
	if self == nil || c == nil {
		return
	}
	state := i.changes.Load()
	if state == i.state && now.Sub(i.refreshed) < recompute {
		return
	}
	i.state, i.refreshed = state, now
	zone := toucanzone.Name(self.GetZone())
	i.vouch(now)
	i.publish(self.GetId(), zone, i.recorded(c, now), now)
	i.publish(zonePrefix+string(zone), zone, i.summary(c, zone, now), now)
}

// vouch keeps the sources alive that are in the zone's view.
func (i *Inventory) vouch(now time.Time) {
	m, ok := i.members.(viewer)
	if !ok {
		return
	}
	v := m.View()
	if v.Number() != i.view {
		i.view = v.Number()
		for _, s := range i.sources {
			s.vouched = false
		}
	}
	for _, o := range v.Members() {
		if s := i.sources[o.GetId()]; s != nil {
			s.vouched, s.heard = true, now
		}
	}
}

func (i *Inventory) source(name string) *source {
	s := i.sources[name]
	if s == nil {
		s = &source{}
		i.sources[name] = s
	}
	return s
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

// held is an entry with its key.
type held struct {
	key
	*entry
}

// byService returns the entries of each service.
func (i *Inventory) byService() map[string][]held {
	out := make(map[string][]held)
	for k, e := range i.entries {
		out[k.service] = append(out[k.service], held{k, e})
	}
	return out
}

// summary merges what the hosts of a zone serve.
func (i *Inventory) summary(c *toucancatalog.Catalog, zone toucanzone.Name, now time.Time) map[key]bitmap {
	out := make(map[key]bitmap)
	entries := i.byService()
	for _, s := range c.Rules().GetServices() {
		used := usable(s, entries[s.GetName()], now, func(k key, e *entry) bool {
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

// publish replaces the entries of a source that this host speaks for, and
// stamps the source when that is due.
func (i *Inventory) publish(name string, zone toucanzone.Name, now map[key]bitmap, at time.Time) {
	s := i.source(name)
	s.heard = at
	every := restamp
	if s.vouched {
		every = remind
	}
	if at.Sub(s.stamped) >= every {
		s.sequence, s.stamped = next(s.sequence, at), at
	}
	for k, e := range i.entries {
		if k.source != name {
			continue
		}
		bare := key{service: k.service, index: k.index}
		if _, ok := now[bare]; ok {
			continue
		}
		if len(e.shards) > 0 {
			i.put(k, &entry{sequence: next(e.sequence, at), zone: zone, stamped: at})
		}
	}
	for bare, b := range now {
		k := key{name, bare.service, bare.index}
		e := i.entries[k]
		if e != nil && e.shards.equal(b) {
			continue
		}
		sequence := uint64(0)
		if e != nil {
			sequence = e.sequence
		}
		i.put(k, &entry{sequence: next(sequence, at), shards: b, zone: zone, stamped: at})
	}
}

// put replaces an entry.
func (i *Inventory) put(k key, e *entry) {
	e.source = i.source(k.source)
	e.source.summed = false
	i.entries[k] = e
}

// next returns a sequence number above the earlier one. It follows the wall
// clock, because several hosts of a zone number the zone's summary.
func next(earlier uint64, at time.Time) uint64 {
	return max(uint64(max(at.UnixMilli(), 1)), earlier+1)
}
