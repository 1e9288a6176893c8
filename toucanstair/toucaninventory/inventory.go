// Package toucaninventory tracks which index version is served for which shard
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
	// entryTTL is how long an entry is current after its source was last heard
	// from.
	entryTTL = 10 * time.Second
	// stampInterval is how often a source gets a new stamp, which shows that it
	// is alive (see gossip.go). Hosts that learn of the source only through
	// relays depend on it, so it is well below entryTTL.
	stampInterval = 4 * time.Second
	// viewStampInterval is the stampInterval of a source that is in the zone's
	// view. The view shows that it is alive; the stamp then only lets hosts
	// detect missed changes.
	viewStampInterval = 30 * time.Second
	// retention is the minimum time for which removed and expired entries are
	// kept, so that a removal reaches hosts that missed heartbeats. The state of
	// a source without entries is kept for the same time after it was last heard
	// from, and that of a peer after the last Offer to it.
	retention = time.Minute
	// maxSteadyGap is the longest time between two heartbeats to a steady peer,
	// with which a host exchanges all entries. A host sends heartbeats to a few
	// others twice a second and to the rest about once a minute. The rest do not
	// get all entries, which are large, because their own steady peers send them.
	maxSteadyGap = 3 * time.Second
	// minSteadyStreak is the number of consecutive heartbeats, each within
	// maxSteadyGap of the one before, that make a peer a steady one. Two
	// heartbeats with a randomly chosen peer are often close together.
	minSteadyStreak = 4
	// enoughPeers limits the hosts to which entries are sent. In its own zone, a
	// host with at least this many steady peers sends entries only to steady
	// peers; each host has 4 voters besides itself. A host with more peers than
	// this in other zones sends entries only to those of them whose digest shows
	// that they lack some.
	enoughPeers = 4
	// refreshInterval bounds the age of a selection and of this host's own
	// entries, because entries expire without an event.
	refreshInterval = 100 * time.Millisecond
	// lockStripes is the number of locks over the replicas' records, which
	// every response updates.
	lockStripes = 16
	// maxBitmapBytes bounds a bitmap that is accepted from a peer.
	maxBitmapBytes = 1 << 13
)

const zonePrefix = "zone/"

// configuration provides the catalog in effect, or nil if there is none.
type configuration interface {
	Catalog() *toucancatalog.Catalog
}

// identity provides this host's identity.
type identity interface {
	Self() *toucanpb.Member
}

// viewProvider is implemented by an identity that knows the zone's view. Hosts
// in the view count as alive.
type viewProvider interface {
	View() toucanview.View
}

// Inventory holds the index versions that are served, as a bitmap of shards for
// each source, service and version. A source is a host of this zone, or another
// zone as a whole. It is safe for concurrent use.
type Inventory struct {
	configuration configuration
	identity      identity
	seed          maphash.Seed
	records       [lockStripes]stripe
	changes       atomic.Uint64 // incremented by each change that makes selections outdated

	mu               sync.Mutex
	entries          map[key]*entry
	sources          map[string]*source
	peers            map[string]*peer
	selections       map[toucanservice.Name]*selection
	viewNumber       uint64
	refreshedAt      time.Time
	sweptAt          time.Time
	refreshedChanges uint64 // value of changes at the last refresh
}

type stripe struct {
	mu      sync.Mutex
	records map[toucanreplica.ID]*record
}

type record struct {
	indexes    []uint64
	recordedAt time.Time
}

type key struct {
	source  string
	service string
	index   uint64
}

// entry is immutable; a change of the shards replaces it. An entry without
// shards states that the source no longer serves the version.
type entry struct {
	sequence  uint64
	shards    bitmap
	zone      toucanzone.Name
	source    *source
	updatedAt time.Time // when this host created or received it
}

// source is the state of a host or zone that entries come from.
type source struct {
	heardAt     time.Time
	sequence    uint64    // of its latest stamp, or of a later entry received
	stampedAt   time.Time // when this host last stamped it
	inView      bool      // member of the current view
	digest      uint32    // of its entries; valid if digestValid
	digestValid bool
}

func (e *entry) heardAt() time.Time { return e.source.heardAt }

// peer is the state of the exchange of entries with another host.
type peer struct {
	offeredAt    time.Time // of the last Offer to it
	zone         string
	heard        bool                 // has sent a heartbeat
	sentDigest   bool                 // its last heartbeat had a digest of this zone's entries
	needsEntries bool                 // lacks entries, as its digest or a request showed
	streak       int                  // consecutive heartbeats within maxSteadyGap
	sent         map[key]uint64       // sequence of each entry last sent to or received from it
	stamps       map[string]uint64    // sequence of each source last sent to or received from it
	requestedAt  map[string]time.Time // when entries of a source were last requested, by source
	requests     []string             // sources whose entries to request with the next heartbeat
}

// New returns an empty inventory. id provides this host's identity, which
// changes when the host joins again.
func New(c configuration, id identity) *Inventory {
	i := &Inventory{
		configuration: c,
		identity:      id,
		seed:          maphash.MakeSeed(),
		entries:       make(map[key]*entry),
		sources:       make(map[string]*source),
		peers:         make(map[string]*peer),
		selections:    make(map[toucanservice.Name]*selection),
	}
	for n := range i.records {
		i.records[n].records = make(map[toucanreplica.ID]*record)
	}
	return i
}

// Record sets the index versions that a replica serves. The owner of the
// replica's slot 0 calls it for each response and health poll; a record that is
// not refreshed for entryTTL is dropped.
func (i *Inventory) Record(r toucanreplica.ID, indexes []uint64) {
	s := &i.records[maphash.String(i.seed, string(r))%lockStripes]
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.records[r]; known != nil && slices.Equal(known.indexes, indexes) {
		if now.Sub(known.recordedAt) >= entryTTL {
			i.changes.Add(1)
		}
		known.recordedAt = now
		return
	}
	s.records[r] = &record{indexes: slices.Clone(indexes), recordedAt: now}
	i.changes.Add(1)
}

// Pin returns the index version that covers most shards of the service in zones
// that are in service, the newest among equals. A version that is older than the
// newest one by more than the service's age limit, in versions, is not selected.
// It returns a toucanfault.Error with CODE_VERSION if no version is known.
func (i *Inventory) Pin(s toucanservice.Name, c *toucancatalog.Catalog) (uint64, error) {
	sel := i.selectionFor(s, c)
	if sel == nil || sel.pinned == 0 {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_VERSION, "no index version of service "+string(s)+" is known to be served")
	}
	return sel.pinned, nil
}

// ShardsByZone returns for each zone the bitmap of the service's shards that it
// serves at an index version: bit n%8 of byte n/8 is shard n. The caller must
// not modify it.
func (i *Inventory) ShardsByZone(s toucanservice.Name, c *toucancatalog.Catalog, index uint64) map[toucanzone.Name][]byte {
	if sel := i.selectionFor(s, c); sel != nil {
		return sel.zones[index]
	}
	return nil
}

// State returns the known versions of each service and the number of shards
// served, for the operators' state page.
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
			out[k.service] = append(out[k.service], line{k.source, k.index, n, now.Sub(e.heardAt()) < entryTTL})
		}
	}
	for _, lines := range out {
		slices.SortFunc(lines, func(a, b line) int {
			return strings.Compare(a.Source, b.Source)
		})
	}
	return out
}

// refresh updates this host's own entries and its zone's summary if something
// changed or they are older than refreshInterval.
func (i *Inventory) refresh(now time.Time) {
	self := i.identity.Self()
	c := i.configuration.Catalog()
	if self == nil || c == nil {
		return
	}
	changes := i.changes.Load()
	if changes == i.refreshedChanges && now.Sub(i.refreshedAt) < refreshInterval {
		return
	}
	i.refreshedChanges, i.refreshedAt = changes, now
	zone := toucanzone.Name(self.GetZone())
	i.refreshViewMembers(now)
	i.publish(self.GetId(), zone, i.recorded(c, now), now)
	i.publish(zonePrefix+string(zone), zone, i.summary(c, zone, now), now)
}

// refreshViewMembers marks the sources in the zone's view as alive.
func (i *Inventory) refreshViewMembers(now time.Time) {
	m, ok := i.identity.(viewProvider)
	if !ok {
		return
	}
	v := m.View()
	if v.Number() != i.viewNumber {
		i.viewNumber = v.Number()
		for _, s := range i.sources {
			s.inView = false
		}
	}
	for _, o := range v.Members() {
		if s := i.sources[o.GetId()]; s != nil {
			s.inView, s.heardAt = true, now
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

// recorded returns this host's records as bitmaps; the keys have no source.
func (i *Inventory) recorded(c *toucancatalog.Catalog, now time.Time) map[key]bitmap {
	out := make(map[key]bitmap)
	for n := range i.records {
		s := &i.records[n]
		s.mu.Lock()
		for id, r := range s.records {
			replica, service := c.Replica(id)
			if replica == nil || now.Sub(r.recordedAt) >= entryTTL {
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

// keyedEntry is an entry with its key.
type keyedEntry struct {
	key
	*entry
}

// byService groups the entries by service.
func (i *Inventory) byService() map[string][]keyedEntry {
	out := make(map[string][]keyedEntry)
	for k, e := range i.entries {
		out[k.service] = append(out[k.service], keyedEntry{k, e})
	}
	return out
}

// summary merges the entries of the hosts of a zone; the keys have no source.
func (i *Inventory) summary(c *toucancatalog.Catalog, zone toucanzone.Name, now time.Time) map[key]bitmap {
	out := make(map[key]bitmap)
	entries := i.byService()
	for _, s := range c.Rules().GetServices() {
		used := usableEntries(s, entries[s.GetName()], now, func(k key, e *entry) bool {
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

// publish replaces the entries of a source for which this host is
// authoritative, and stamps the source if that is due.
func (i *Inventory) publish(name string, zone toucanzone.Name, shards map[key]bitmap, now time.Time) {
	s := i.source(name)
	s.heardAt = now
	every := stampInterval
	if s.inView {
		every = viewStampInterval
	}
	if now.Sub(s.stampedAt) >= every {
		s.sequence, s.stampedAt = nextSequence(s.sequence, now), now
	}
	for k, e := range i.entries {
		if k.source != name {
			continue
		}
		withoutSource := key{service: k.service, index: k.index}
		if _, ok := shards[withoutSource]; ok {
			continue
		}
		if len(e.shards) > 0 {
			i.put(k, &entry{sequence: nextSequence(e.sequence, now), zone: zone, updatedAt: now})
		}
	}
	for withoutSource, b := range shards {
		k := key{name, withoutSource.service, withoutSource.index}
		e := i.entries[k]
		if e != nil && e.shards.equal(b) {
			continue
		}
		sequence := uint64(0)
		if e != nil {
			sequence = e.sequence
		}
		i.put(k, &entry{sequence: nextSequence(sequence, now), shards: b, zone: zone, updatedAt: now})
	}
}

// put stores an entry and invalidates the digest of its source.
func (i *Inventory) put(k key, e *entry) {
	e.source = i.source(k.source)
	e.source.digestValid = false
	i.entries[k] = e
}

// nextSequence returns a sequence number above the previous one. It follows the
// wall clock, because several hosts of a zone number the zone's summary.
func nextSequence(previous uint64, at time.Time) uint64 {
	return max(uint64(max(at.UnixMilli(), 1)), previous+1)
}
