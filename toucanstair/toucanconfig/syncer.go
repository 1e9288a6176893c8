// Package toucanconfig keeps a host's configuration in sync with the published
// one. Revisions come from the store or from peers, which exchange digests of
// their active revision in heartbeats.
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
	// maxAnnouncements bounds the peers whose announcements are held. A zone
	// has about 103 hosts, and any one of the newest announcements is enough.
	maxAnnouncements = 64
	// maxRefused bounds the digests of refused configurations that are
	// remembered.
	maxRefused = 16
	// maxReasonBytes bounds the reason of a refusal in the status.
	maxReasonBytes = 4 << 10
	// maxFetchBlobs and maxFetchBytes keep a reply below gRPC's default limit
	// of 4 MB.
	maxFetchBlobs = 32
	maxFetchBytes = 2 << 20

	// confirmInterval is how often the digest is sent again to a peer that has
	// the same revision. The digest confirms the peer's configuration.
	confirmInterval = 4 * time.Second
	// maxPeerRevisions bounds the peers whose revision is remembered. At this
	// number all are forgotten, which only makes Offer send more digests.
	maxPeerRevisions = 1024

	sourceStore = "store"

	// maxRevisionWait bounds AwaitRevision: one heartbeat interval of 500 ms, in which a
	// host learns of a revision that another has, and the transfer.
	maxRevisionWait = 600 * time.Millisecond
)

// Store is the part of the platform's store that Syncer reads.
type Store interface {
	Get(ctx context.Context, key string) (*toucanpb.Entry, error)
	Watch(ctx context.Context, prefix string, after uint64) ([]*toucanpb.Entry, uint64, error)
}

// Syncer holds the highest verified revision, and never replaces it by a lower
// one. The exported fields are set before Run; any of them may be nil.
type Syncer struct {
	Store Store
	// IsWatcher reports whether this host is one of the hosts of its zone that
	// watch the store.
	IsWatcher func() bool
	// Pull fetches a head or blobs from a peer.
	Pull func(ctx context.Context, from *toucanpb.Member, r *toucanpb.FetchRequest) (*toucanpb.FetchReply, error)
	// Peers returns the hosts to query at startup, in order of preference.
	Peers func() []*toucanpb.Member
	Log   *zap.Logger

	catalog atomic.Pointer[toucancatalog.Catalog]

	// mu guards the fields below. The callers of isRefused, observeActive,
	// recordAnnouncement, recordPeerRevision, refuse and wakeChannel hold it.
	mu            sync.RWMutex
	active        activeConfig
	confirmedAt   time.Time
	source        string
	refusal       *Refusal
	refused       []*toucanpb.Digest
	announcements map[string]announcement
	peerRevisions map[string]peerRevision // by member ID
	wake          chan struct{}           // tells Run that there are announcements; capacity 1
	changed       chan struct{}           // closed when another revision is in effect; nil if nobody waits
}

// peerRevision is a revision that a peer reported, and the time when it was
// last offered to that peer.
type peerRevision struct {
	revision  uint64
	offeredAt time.Time
}

// activeConfig is the revision in effect. Blobs are keyed by their digest;
// previousBlobs are those of the revision that it replaced, for peers that are
// still fetching that one.
type activeConfig struct {
	head                 *toucanpb.Head
	sum                  []byte
	folder               *toucanfolder.Folder
	blobs, previousBlobs map[string][]byte
}

// announcement is a peer's digest of a revision newer than the active one.
type announcement struct {
	from   *toucanpb.Member
	digest *toucanpb.Digest
}

// Refusal describes a configuration that was not activated: one that was
// refused, which is not fetched again, or one that could not be loaded, which is
// retried.
type Refusal struct {
	Revision uint64
	Source   string
	Reason   string
	At       time.Time
}

// Status describes the configuration of this host.
type Status struct {
	Revision uint64 // 0 if no configuration is in effect
	Change   string // ID of the change that made the revision
	// Age is the time since this revision was last confirmed by the store or,
	// on a host that is not a watcher, by a peer.
	Age     time.Duration
	Source  string   // "store" or "peer <id>", which last confirmed the revision
	Refusal *Refusal // the latest one of any revision, or nil
}

// Catalog returns the configuration in effect, or nil if there is none.
func (s *Syncer) Catalog() *toucancatalog.Catalog { return s.catalog.Load() }

// AwaitRevision waits until a revision or a later one is in effect and returns its
// catalog. It returns nil after maxRevisionWait or half of the time that ctx has left,
// which leaves the other half for a request that waits.
func (s *Syncer) AwaitRevision(ctx context.Context, revision uint64) *toucancatalog.Catalog {
	wait := maxRevisionWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s.mu.Lock()
		c := s.catalog.Load()
		if c != nil && c.Revision() >= revision {
			s.mu.Unlock()
			return c
		}
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// Status returns the active revision, its source and age, and the latest
// refusal.
func (s *Syncer) Status() Status {
	s.mu.RLock()
	defer s.mu.RUnlock()
	status := Status{Revision: s.active.head.GetRevision(), Change: toucanhead.ChangeID(s.active.head), Source: s.source}
	if !s.confirmedAt.IsZero() {
		status.Age = time.Since(s.confirmedAt)
	}
	if s.refusal != nil {
		r := *s.refusal
		status.Refusal = &r
	}
	return status
}

// Offer adds the digest of the active revision to a heartbeat. A peer that
// reported the same revision gets it only every confirmInterval.
func (s *Syncer) Offer(to *toucanpb.Member, g *toucanpb.Gossip) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active.head == nil {
		return
	}
	now := time.Now()
	current := peerRevision{s.active.head.GetRevision(), now}
	if last, ok := s.peerRevisions[to.GetId()]; ok && last.revision == current.revision && now.Sub(last.offeredAt) < confirmInterval {
		return
	}
	g.Digest = &toucanpb.Digest{Revision: current.revision, Sum: s.active.sum}
	if last, ok := s.peerRevisions[to.GetId()]; ok && last.revision == current.revision {
		s.peerRevisions[to.GetId()] = current
	}
}

// recordPeerRevision remembers that a peer has the active revision, so that it
// is not offered again until confirmInterval has passed.
func (s *Syncer) recordPeerRevision(id string) {
	if s.peerRevisions == nil || len(s.peerRevisions) >= maxPeerRevisions {
		s.peerRevisions = make(map[string]peerRevision)
	}
	s.peerRevisions[id] = peerRevision{s.active.head.GetRevision(), time.Now()}
}

// Accept processes the digest in a heartbeat.
func (s *Syncer) Accept(from *toucanpb.Member, g *toucanpb.Gossip) {
	d := g.GetDigest()
	if d.GetRevision() == 0 || len(d.GetSum()) != sha256.Size {
		return
	}
	watching := s.watching()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch held := s.active.head.GetRevision(); {
	case d.GetRevision() < held || s.isRefused(d):
	case d.GetRevision() == held:
		s.observeActive(d.GetSum(), "peer "+from.GetId(), !watching)
		if last, ok := s.peerRevisions[from.GetId()]; bytes.Equal(d.GetSum(), s.active.sum) && (!ok || last.revision != held) {
			s.recordPeerRevision(from.GetId())
		}
	default:
		s.recordAnnouncement(from, d)
	}
}

// recordAnnouncement keeps the latest announcement of each peer and wakes Run.
// When the limit is reached, a new peer's announcement replaces one of a lower
// revision, or is dropped if there is none.
func (s *Syncer) recordAnnouncement(from *toucanpb.Member, d *toucanpb.Digest) {
	if s.announcements == nil {
		s.announcements = map[string]announcement{}
	}
	if _, known := s.announcements[from.GetId()]; !known && len(s.announcements) >= maxAnnouncements {
		for id, a := range s.announcements {
			if a.digest.GetRevision() < d.GetRevision() {
				delete(s.announcements, id)
				break
			}
		}
	}
	if len(s.announcements) < maxAnnouncements || s.announcements[from.GetId()].digest != nil {
		s.announcements[from.GetId()] = announcement{from, d}
	}
	select {
	case s.wakeChannel() <- struct{}{}:
	default:
	}
}

func (s *Syncer) wakeChannel() chan struct{} {
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
	}
	return s.wake
}

func (s *Syncer) watching() bool { return s.IsWatcher != nil && s.IsWatcher() }

// observeActive handles a digest with the revision number of the active
// configuration. It refuses a different digest, and otherwise renews the
// confirmation time if confirms is set.
func (s *Syncer) observeActive(sum []byte, source string, confirms bool) {
	if !bytes.Equal(sum, s.active.sum) {
		s.refuse(&toucanpb.Digest{Revision: s.active.head.GetRevision(), Sum: sum}, source, "another digest at the revision in effect")
		return
	}
	if confirms {
		s.confirmedAt, s.source = time.Now(), source
	}
}

func (s *Syncer) isRefused(d *toucanpb.Digest) bool {
	for _, r := range s.refused {
		if r.GetRevision() == d.GetRevision() && bytes.Equal(r.GetSum(), d.GetSum()) {
			return true
		}
	}
	return false
}

// refuse records a configuration that is not activated, so that it is not
// fetched again.
func (s *Syncer) refuse(d *toucanpb.Digest, source, reason string) {
	reason = reason[:min(len(reason), maxReasonBytes)]
	s.refusal = &Refusal{Revision: d.GetRevision(), Source: source, Reason: reason, At: time.Now()}
	if !s.isRefused(d) {
		s.refused = append(s.refused, d)
		s.refused = s.refused[max(0, len(s.refused)-maxRefused):]
		s.log().Warn("configuration refused", zap.Uint64("revision", d.GetRevision()),
			zap.String("source", source), zap.String("reason", reason))
	}
}

func (s *Syncer) log() *zap.Logger {
	if s.Log == nil {
		return zap.NewNop()
	}
	return s.Log
}

// Fetch returns the active head if requested, and the requested blobs that this
// host has, at most maxFetchBlobs and maxFetchBytes in one reply. The caller
// asks again for the rest.
func (s *Syncer) Fetch(_ context.Context, r *toucanpb.FetchRequest) (*toucanpb.FetchReply, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	reply := &toucanpb.FetchReply{}
	if r.GetHead() {
		reply.Head = s.active.head
	}
	size := 0
	for _, sum := range r.GetSums()[:min(len(r.GetSums()), maxFetchBlobs)] {
		data, held := s.active.blobs[sum]
		if !held {
			data, held = s.active.previousBlobs[sum]
		}
		if size += len(data); size > maxFetchBytes {
			break
		}
		if held {
			reply.Blobs = append(reply.Blobs, &toucanpb.Blob{Sum: sum, Data: data})
		}
	}
	return reply, nil
}

// shouldLoad reports whether a head is newer than the active one and was not
// refused. A head with the active revision is passed to observeActive.
func (s *Syncer) shouldLoad(head *toucanpb.Head, source string) bool {
	d := digest(head)
	watching := s.watching()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch held := s.active.head.GetRevision(); {
	case head.GetRevision() < held || s.isRefused(d):
		return false
	case head.GetRevision() == held:
		s.observeActive(d.GetSum(), source, source == sourceStore || !watching)
		return false
	}
	return true
}

func digest(head *toucanpb.Head) *toucanpb.Digest {
	return &toucanpb.Digest{Revision: head.GetRevision(), Sum: toucanhead.Sum(head)}
}

// activate validates a configuration and puts it into effect; an invalid one is
// refused as a whole. It is called only by Run's goroutine, which alone changes
// s.active, so the revision cannot rise while the files are validated.
func (s *Syncer) activate(head *toucanpb.Head, blobs map[string][]byte, source string) bool {
	s.mu.RLock()
	previous := s.active.folder
	s.mu.RUnlock()
	folder := toucanfolder.New(filesByName(head, blobs), previous)
	rules, err := folder.Rules(head.GetRevision())
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.refuse(digest(head), source, err.Error())
		return false
	}
	if head.GetRevision() <= s.active.head.GetRevision() {
		return false
	}
	s.active = activeConfig{head: head, sum: toucanhead.Sum(head), folder: folder, blobs: blobs, previousBlobs: s.active.blobs}
	s.confirmedAt, s.source = time.Now(), source
	s.catalog.Store(toucancatalog.New(rules))
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	s.log().Info("configuration in effect", zap.Uint64("revision", head.GetRevision()),
		zap.String("change", toucanhead.ChangeID(head)), zap.String("source", source))
	return true
}

// filesByName returns the contents of the files of head by name.
func filesByName(head *toucanpb.Head, blobs map[string][]byte) map[string][]byte {
	files := make(map[string][]byte, len(head.GetFiles()))
	for _, f := range head.GetFiles() {
		files[f.GetName()] = blobs[f.GetSum()]
	}
	return files
}

// cachedBlobs returns the blobs of head that are in memory and the digests of
// the missing ones.
func (s *Syncer) cachedBlobs(head *toucanpb.Head) (map[string][]byte, []string) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	blobs, missing := map[string][]byte{}, map[string]bool{}
	var missingSums []string
	for _, f := range head.GetFiles() {
		sum := f.GetSum()
		if data, ok := s.active.blobs[sum]; ok {
			blobs[sum] = data
		} else if data, ok := s.active.previousBlobs[sum]; ok {
			blobs[sum] = data
		} else if !missing[sum] {
			missing[sum] = true
			missingSums = append(missingSums, sum)
		}
	}
	return blobs, missingSums
}

// takeNewestAnnouncements returns the announcements of the highest revision and
// clears all announcements.
func (s *Syncer) takeNewestAnnouncements() []announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	var newest []announcement
	for _, a := range s.announcements {
		if a.digest.GetRevision() <= s.active.head.GetRevision() || s.isRefused(a.digest) {
			continue
		}
		if len(newest) > 0 && a.digest.GetRevision() > newest[0].digest.GetRevision() {
			newest = nil
		}
		if len(newest) == 0 || a.digest.GetRevision() == newest[0].digest.GetRevision() {
			newest = append(newest, a)
		}
	}
	maps.DeleteFunc(s.announcements, func(string, announcement) bool { return true })
	return newest
}

// String formats the refusal in one line.
func (r *Refusal) String() string {
	return fmt.Sprintf("revision %d from %s: %s", r.Revision, r.Source, r.Reason)
}
