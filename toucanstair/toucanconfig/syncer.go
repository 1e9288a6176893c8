// Package toucanconfig keeps the configuration revision that is in effect on
// a host.
package toucanconfig

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanfolder"
	"toucanstair.example/core/toucanhead"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucancatalog"
)

const (
	// maxClaims bounds the peers whose announcements are held; a zone has
	// about 103 hosts and any one of the newest announcements is enough.
	maxClaims = 64
	// maxRefused bounds the memory of bad configurations.
	maxRefused = 16
	// maxReason bounds the reason of a refusal in the status.
	maxReason = 4 << 10
	// fetchSums and fetchBytes keep a reply below the 4 MB limit of gRPC.
	fetchSums  = 32
	fetchBytes = 2 << 20

	// confirmEvery is how often a peer that has the revision is told of it, by
	// which it confirms its own.
	confirmEvery = 4 * time.Second
	// maxAgreed bounds the peers of which the revision is held.
	maxAgreed = 1024

	fromStore = "store"
)

// Store is the part of the platform's store that Keeper uses.
type Store interface {
	Get(ctx context.Context, key string) (*toucanpb.Entry, error)
	Watch(ctx context.Context, prefix string, after uint64) ([]*toucanpb.Entry, uint64, error)
}

// Syncer holds the highest revision that was verified, and never lowers it.
// The fields are set before Run; any of them may be nil.
type Syncer struct {
	Store Store
	// IsWatcher reports whether this host is one of its zone's watchers.
	IsWatcher func() bool
	// Pull fetches from a peer.
	Pull func(ctx context.Context, from *toucanpb.Member, r *toucanpb.FetchRequest) (*toucanpb.FetchReply, error)
	// Peers returns hosts to ask at the start, the best first.
	Peers func() []*toucanpb.Member
	Log   *zap.Logger

	catalog atomic.Pointer[toucancatalog.Catalog]

	mu        sync.RWMutex
	now       effect
	confirmed time.Time
	source    string
	refusal   *Refusal
	refused   []*toucanpb.Digest
	claims    map[string]claim
	agreed    map[string]offer // by member id
	wake      chan struct{}
}

// offer is a revision that a peer showed, and when it was last offered to it.
type offer struct {
	revision uint64
	at       time.Time
}

// effect is a revision in effect; before holds the blobs of the revision it
// replaced, for peers that are still fetching that.
type effect struct {
	head          *toucanpb.Head
	sum           []byte
	folder        *toucanfolder.Folder
	blobs, before map[string][]byte
}

// claim is a peer's announcement of a newer revision.
type claim struct {
	from   *toucanpb.Member
	digest *toucanpb.Digest
}

// Refusal is a configuration that was not put into effect.
type Refusal struct {
	Revision uint64
	Source   string
	Reason   string
	At       time.Time
}

// Status is the state of a Keeper.
type Status struct {
	Revision uint64 // 0: no configuration is in effect
	Change   string
	// Age is the time since the store, or on a host that does not watch it a
	// peer, last showed this revision.
	Age     time.Duration
	Source  string
	Refusal *Refusal // the last one, or nil
}

// Catalog returns the configuration in effect, or nil.
func (k *Syncer) Catalog() *toucancatalog.Catalog { return k.catalog.Load() }

// Status returns the state of the configuration on this host.
func (k *Syncer) Status() Status {
	k.mu.RLock()
	defer k.mu.RUnlock()
	s := Status{Revision: k.now.head.GetRevision(), Change: toucanhead.ChangeID(k.now.head), Source: k.source}
	if !k.confirmed.IsZero() {
		s.Age = time.Since(k.confirmed)
	}
	if k.refusal != nil {
		r := *k.refusal
		s.Refusal = &r
	}
	return s
}

// Offer adds the digest of the revision in effect to a heartbeat. A peer that
// showed the same one lately gets it again after some seconds only.
func (k *Syncer) Offer(to *toucanpb.Member, g *toucanpb.Gossip) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.now.head == nil {
		return
	}
	now := time.Now()
	o := offer{k.now.head.GetRevision(), now}
	if last, ok := k.agreed[to.GetId()]; ok && last.revision == o.revision && now.Sub(last.at) < confirmEvery {
		return
	}
	g.Digest = &toucanpb.Digest{Revision: o.revision, Sum: k.now.sum}
	if last, ok := k.agreed[to.GetId()]; ok && last.revision == o.revision {
		k.agreed[to.GetId()] = o
	}
}

// agree notes that a peer showed the revision in effect, so that it need not be
// offered again for a while.
func (k *Syncer) agree(id string) {
	if k.agreed == nil || len(k.agreed) >= maxAgreed {
		k.agreed = make(map[string]offer)
	}
	k.agreed[id] = offer{k.now.head.GetRevision(), time.Now()}
}

// Accept takes in the digest of a heartbeat.
func (k *Syncer) Accept(from *toucanpb.Member, g *toucanpb.Gossip) {
	d := g.GetDigest()
	if d.GetRevision() == 0 || len(d.GetSum()) != sha256.Size {
		return
	}
	watching := k.watching()
	k.mu.Lock()
	defer k.mu.Unlock()
	switch held := k.now.head.GetRevision(); {
	case d.GetRevision() < held || k.isRefused(d):
	case d.GetRevision() == held:
		k.same(d.GetSum(), "peer "+from.GetId(), !watching)
		if last, ok := k.agreed[from.GetId()]; bytes.Equal(d.GetSum(), k.now.sum) && (!ok || last.revision != held) {
			k.agree(from.GetId())
		}
	default:
		k.claim(from, d)
	}
}

// claim keeps the newest announcement of each peer and wakes Run.
func (k *Syncer) claim(from *toucanpb.Member, d *toucanpb.Digest) {
	if k.claims == nil {
		k.claims = map[string]claim{}
	}
	if _, known := k.claims[from.GetId()]; !known && len(k.claims) >= maxClaims {
		for id, c := range k.claims {
			if c.digest.GetRevision() < d.GetRevision() {
				delete(k.claims, id)
				break
			}
		}
	}
	if len(k.claims) < maxClaims || k.claims[from.GetId()].digest != nil {
		k.claims[from.GetId()] = claim{from, d}
	}
	select {
	case k.waker() <- struct{}{}:
	default:
	}
}

func (k *Syncer) waker() chan struct{} {
	if k.wake == nil {
		k.wake = make(chan struct{}, 1)
	}
	return k.wake
}

func (k *Syncer) watching() bool { return k.IsWatcher != nil && k.IsWatcher() }

// same handles another sight of the revision in effect.
func (k *Syncer) same(sum []byte, source string, confirms bool) {
	if !bytes.Equal(sum, k.now.sum) {
		k.refuse(&toucanpb.Digest{Revision: k.now.head.GetRevision(), Sum: sum}, source, "another digest at the revision in effect")
		return
	}
	if confirms {
		k.confirmed, k.source = time.Now(), source
	}
}

func (k *Syncer) isRefused(d *toucanpb.Digest) bool {
	for _, r := range k.refused {
		if r.GetRevision() == d.GetRevision() && bytes.Equal(r.GetSum(), d.GetSum()) {
			return true
		}
	}
	return false
}

// refuse records a configuration that is not put into effect, so that it is
// not fetched again.
func (k *Syncer) refuse(d *toucanpb.Digest, source, reason string) {
	reason = reason[:min(len(reason), maxReason)]
	k.refusal = &Refusal{Revision: d.GetRevision(), Source: source, Reason: reason, At: time.Now()}
	if !k.isRefused(d) {
		k.refused = append(k.refused, d)
		k.refused = k.refused[max(0, len(k.refused)-maxRefused):]
		k.log().Warn("configuration refused", zap.Uint64("revision", d.GetRevision()),
			zap.String("source", source), zap.String("reason", reason))
	}
}

func (k *Syncer) log() *zap.Logger {
	if k.Log == nil {
		return zap.NewNop()
	}
	return k.Log
}

// Fetch returns the head in effect and the blobs that are held, at most 32
// and 2 MB in one reply; the caller asks again for the rest.
func (k *Syncer) Fetch(_ context.Context, r *toucanpb.FetchRequest) (*toucanpb.FetchReply, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	reply := &toucanpb.FetchReply{}
	if r.GetHead() {
		reply.Head = k.now.head
	}
	size := 0
	for _, sum := range r.GetSums()[:min(len(r.GetSums()), fetchSums)] {
		data, held := k.now.blobs[sum]
		if !held {
			data, held = k.now.before[sum]
		}
		if size += len(data); size > fetchBytes {
			break
		}
		if held {
			reply.Blobs = append(reply.Blobs, &toucanpb.Blob{Sum: sum, Data: data})
		}
	}
	return reply, nil
}

// offered reports whether a head is worth loading, and records what its sight
// means for the revision in effect.
func (k *Syncer) offered(head *toucanpb.Head, source string) bool {
	d := digest(head)
	watching := k.watching()
	k.mu.Lock()
	defer k.mu.Unlock()
	switch held := k.now.head.GetRevision(); {
	case head.GetRevision() < held || k.isRefused(d):
		return false
	case head.GetRevision() == held:
		k.same(d.GetSum(), source, source == fromStore || !watching)
		return false
	}
	return true
}

func digest(head *toucanpb.Head) *toucanpb.Digest {
	return &toucanpb.Digest{Revision: head.GetRevision(), Sum: toucanhead.Sum(head)}
}

// put validates a configuration and puts it into effect; a bad one is refused
// whole. Only Run calls it, so the revision cannot rise between check and use.
func (k *Syncer) put(head *toucanpb.Head, blobs map[string][]byte, source string) bool {
	k.mu.RLock()
	prior := k.now.folder
	k.mu.RUnlock()
	folder := toucanfolder.New(filesOf(head, blobs), prior)
	rules, err := folder.Rules(head.GetRevision())
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.refuse(digest(head), source, err.Error())
		return false
	}
	if head.GetRevision() <= k.now.head.GetRevision() {
		return false
	}
	k.now = effect{head: head, sum: toucanhead.Sum(head), folder: folder, blobs: blobs, before: k.now.blobs}
	k.confirmed, k.source = time.Now(), source
	k.catalog.Store(toucancatalog.New(rules))
	k.log().Info("configuration in effect", zap.Uint64("revision", head.GetRevision()),
		zap.String("change", toucanhead.ChangeID(head)), zap.String("source", source))
	return true
}

// filesOf returns the files of head by name.
func filesOf(head *toucanpb.Head, blobs map[string][]byte) map[string][]byte {
	files := make(map[string][]byte, len(head.GetFiles()))
	for _, f := range head.GetFiles() {
		files[f.GetName()] = blobs[f.GetSum()]
	}
	return files
}

// held returns the blobs of head that are in memory and the sums of the rest.
func (k *Syncer) held(head *toucanpb.Head) (map[string][]byte, []string) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	blobs, missing := map[string][]byte{}, map[string]bool{}
	var order []string
	for _, f := range head.GetFiles() {
		sum := f.GetSum()
		if data, ok := k.now.blobs[sum]; ok {
			blobs[sum] = data
		} else if data, ok := k.now.before[sum]; ok {
			blobs[sum] = data
		} else if !missing[sum] {
			missing[sum] = true
			order = append(order, sum)
		}
	}
	return blobs, order
}

// newest takes the announcements of the highest revision.
func (k *Syncer) newest() []claim {
	k.mu.Lock()
	defer k.mu.Unlock()
	var best []claim
	for _, c := range k.claims {
		if c.digest.GetRevision() <= k.now.head.GetRevision() || k.isRefused(c.digest) {
			continue
		}
		if len(best) > 0 && c.digest.GetRevision() > best[0].digest.GetRevision() {
			best = nil
		}
		if len(best) == 0 || c.digest.GetRevision() == best[0].digest.GetRevision() {
			best = append(best, c)
		}
	}
	maps.DeleteFunc(k.claims, func(string, claim) bool { return true })
	return best
}

// String returns the refusal in one line.
func (r *Refusal) String() string {
	return fmt.Sprintf("revision %d from %s: %s", r.Revision, r.Source, r.Reason)
}
