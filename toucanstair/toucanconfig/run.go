package toucanconfig

import (
	"bytes"
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanfolder"
	"toucanstair.example/core/toucanhead"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucantimer"
)

const (
	// rereadInterval is the mean interval at which a watcher reads the head,
	// which bounds the delay after a lost watch event. Two watchers in each of
	// 38 zones make 8 reads per second.
	rereadInterval = 10 * time.Second
	// watcherCheckInterval is how often a host checks whether it has become a
	// watcher.
	watcherCheckInterval = time.Second
	// callTimeout bounds one call, so that three peers and the store can be
	// tried within the 16 s in which a change must take effect. Each of them
	// takes a call for the head and at least one for new blobs.
	callTimeout = 2 * time.Second
	// watchTimeout is longer than the 30 s of a long poll.
	watchTimeout = 40 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed read or watch of
	// the store, before jitter.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
	// maxPullAttempts bounds the peers that are tried for one announced
	// revision.
	maxPullAttempts = 3
	// maxPeersQueried bounds the peers that are queried for their heads at
	// startup.
	maxPeersQueried = 8
)

// Run follows the published configuration until ctx ends. The returned channel
// receives nil and is closed once all goroutines have stopped.
func (s *Syncer) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	heads := make(chan *toucanpb.Head, 1)
	watchEnd := make(chan struct{})
	go func() {
		defer close(watchEnd)
		s.watch(ctx, heads)
	}()
	go func() {
		s.follow(ctx, heads)
		<-watchEnd
		end <- nil
		close(end)
	}()
	return end
}

func (s *Syncer) follow(ctx context.Context, heads <-chan *toucanpb.Head) {
	s.mu.Lock()
	wake := s.wakeChannel()
	s.mu.Unlock()
	s.loadInitial(ctx)
	rereadTimer := time.NewTimer(watcherCheckInterval)
	defer rereadTimer.Stop()
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
			s.pullAnnounced(ctx, s.takeNewestAnnouncements())
		case h := <-heads:
			if !s.loadFromStore(ctx, h) {
				rereadTimer.Reset(backoff(1))
			}
		case <-rereadTimer.C:
			rereadTimer.Reset(s.reread(ctx, &failures))
		}
	}
}

// candidate is a head and the peer that returned it; a nil peer stands for the
// store.
type candidate struct {
	head *toucanpb.Head
	from *toucanpb.Member
}

// loadInitial queries the store and peers for their heads and loads the highest
// valid one first, so that an outdated head in the store is not activated.
func (s *Syncer) loadInitial(ctx context.Context) {
	var peers []*toucanpb.Member
	if s.Peers != nil {
		peers = s.Peers()
	}
	stored := make(chan candidate, 1)
	go func() {
		h, err := s.readHead(ctx)
		if err != nil {
			h = nil
		}
		stored <- candidate{head: h}
	}()
	candidates := append(s.pullHeads(ctx, peers), <-stored)
	// Peers precede the store. The stable sort keeps that order among equal
	// revisions, so that blobs come from a peer instead of the store.
	slices.SortStableFunc(candidates, byRevisionDescending)
	for _, c := range candidates {
		switch {
		case c.head == nil:
		case c.from != nil:
			s.loadFromPeer(ctx, c.from, c.head)
		default:
			s.loadFromStore(ctx, c.head)
		}
	}
}

// byRevisionDescending orders the highest revision first.
func byRevisionDescending(a, b candidate) int {
	return cmp.Compare(b.head.GetRevision(), a.head.GetRevision())
}

// pullHeads queries peers for their heads in parallel. It returns the valid
// heads, in the order of the peers.
func (s *Syncer) pullHeads(ctx context.Context, peers []*toucanpb.Member) []candidate {
	if s.Pull == nil {
		return nil
	}
	peers = peers[:min(len(peers), maxPeersQueried)]
	candidates := make([]candidate, len(peers))
	var wg sync.WaitGroup
	for i, p := range peers {
		wg.Go(func() {
			if h, err := s.pullHead(ctx, p); err == nil {
				candidates[i] = candidate{h, p}
			}
		})
	}
	wg.Wait()
	return slices.DeleteFunc(candidates, func(c candidate) bool { return c.head == nil })
}

// loadNewerFromSeeds queries the seed hosts listed in the first configuration
// read from the store, and reports whether it activated a newer revision from
// one of them. A host that was started without seeds knows no other peers, and
// the store may be outdated.
func (s *Syncer) loadNewerFromSeeds(ctx context.Context, head *toucanpb.Head, blobs map[string][]byte) bool {
	rules, err := toucanfolder.New(filesByName(head, blobs), nil).Rules(head.GetRevision())
	if err != nil {
		return false // activate refuses it
	}
	var seeds []*toucanpb.Member
	for _, z := range rules.GetZones() {
		for _, address := range z.GetSeeds() {
			seeds = append(seeds, &toucanpb.Member{Address: address})
		}
	}
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	candidates := s.pullHeads(ctx, seeds)
	slices.SortStableFunc(candidates, byRevisionDescending)
	for _, c := range candidates {
		if c.head.GetRevision() > head.GetRevision() && s.loadFromPeer(ctx, c.from, c.head) {
			return true
		}
	}
	return false
}

// reread reads the head if this host is a watcher or has no configuration, and
// returns the time until the next check. failures counts consecutive failures.
func (s *Syncer) reread(ctx context.Context, failures *int) time.Duration {
	if s.Store == nil || !s.watching() && s.Catalog() != nil {
		*failures = 0
		return watcherCheckInterval
	}
	head, err := s.readHead(ctx)
	if err != nil {
		*failures++
		s.log().Warn("reading the configuration head failed", zap.Int("fails", *failures), zap.Error(err))
		return backoff(*failures)
	}
	if head == nil {
		*failures = 0
		return jitter(watcherCheckInterval)
	}
	if !s.loadFromStore(ctx, head) {
		*failures++
		return backoff(*failures)
	}
	*failures = 0
	return jitter(rereadInterval)
}

// jitter returns a random duration between 0.75 and 1.25 of d.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }

func backoff(failures int) time.Duration {
	return jitter(min(minBackoff<<min(failures-1, 10), maxBackoff))
}

// watch forwards the heads that long polls return while this host is a watcher.
func (s *Syncer) watch(ctx context.Context, heads chan *toucanpb.Head) {
	var after uint64
	failures := 0
	for ctx.Err() == nil {
		if s.Store == nil || !s.watching() {
			toucantimer.Wait(ctx, watcherCheckInterval)
			continue
		}
		call, cancel := context.WithTimeout(ctx, watchTimeout)
		began := time.Now()
		entries, to, err := s.Store.Watch(call, toucanhead.Key, after)
		cancel()
		if err != nil {
			failures++
			// A store restored from a backup may number its changes from the
			// start.
			after = 0
			toucantimer.Wait(ctx, backoff(failures))
			continue
		}
		failures = 0
		if to <= after && time.Since(began) < watcherCheckInterval {
			// Avoid a busy loop if the store answers at once without changes.
			toucantimer.Wait(ctx, jitter(watcherCheckInterval))
		}
		after = to
		s.forward(entries, heads)
	}
}

// forward sends the highest head of entries. It replaces a head that is still
// in the channel, unless that one is higher.
func (s *Syncer) forward(entries []*toucanpb.Entry, heads chan *toucanpb.Head) {
	var best *toucanpb.Head
	for _, e := range entries {
		if e.GetKey() != toucanhead.Key || len(e.GetValue()) == 0 {
			continue
		}
		h, err := toucanhead.Decode(e.GetValue())
		if err != nil {
			s.refuseMalformedHead(e.GetValue(), err)
			continue
		}
		if best == nil || h.GetRevision() > best.GetRevision() {
			best = h
		}
	}
	if best == nil {
		return
	}
	select {
	case waiting := <-heads:
		if waiting.GetRevision() > best.GetRevision() {
			best = waiting
		}
	default:
	}
	// Only this goroutine sends, so the send does not block.
	heads <- best
}

// refuseMalformedHead refuses a value in the store that can't be decoded as a
// head. It is identified by the digest of its bytes.
func (s *Syncer) refuseMalformedHead(value []byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse(&toucanpb.Digest{Sum: []byte(toucanhead.BlobSum(value))}, sourceStore, err.Error())
}

// readHead returns the head in the store, or nil if nothing is published or no
// store is configured.
func (s *Syncer) readHead(ctx context.Context) (*toucanpb.Head, error) {
	if s.Store == nil {
		return nil, nil
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := s.Store.Get(call, toucanhead.Key)
	if err != nil || e == nil {
		return nil, err
	}
	h, err := toucanhead.Decode(e.GetValue())
	if err != nil {
		s.refuseMalformedHead(e.GetValue(), err)
		return nil, err
	}
	return h, nil
}

// loadFromStore activates a head from the store with blobs from the store. It
// returns false if the load must be retried.
func (s *Syncer) loadFromStore(ctx context.Context, head *toucanpb.Head) bool {
	if !s.shouldLoad(head, sourceStore) {
		return true
	}
	blobs, missing := s.cachedBlobs(head)
	size := 0
	for _, sum := range missing {
		data, err := s.readBlob(ctx, sum)
		if size += len(data); err == nil && size > toucanfolder.MaxBytes {
			err = toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "configuration blobs exceed the size limit")
		}
		if err != nil {
			s.log().Warn("reading a configuration blob failed", zap.Uint64("revision", head.GetRevision()), zap.Error(err))
			s.recordLoadError(head, sourceStore, err)
			return false
		}
		blobs[sum] = data
	}
	if s.Catalog() == nil && s.loadNewerFromSeeds(ctx, head, blobs) {
		return true
	}
	s.activate(head, blobs, sourceStore)
	return true
}

// recordLoadError shows a head that could not be loaded in the status. Unlike a
// refused head, it is retried.
func (s *Syncer) recordLoadError(head *toucanpb.Head, source string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reason := err.Error()
	s.refusal = &Refusal{head.GetRevision(), source, reason[:min(len(reason), maxReasonBytes)], time.Now()}
}

func (s *Syncer) readBlob(ctx context.Context, sum string) ([]byte, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := s.Store.Get(call, toucanhead.BlobPrefix+sum)
	if err != nil {
		return nil, err
	}
	if e == nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "the store has no blob "+sum)
	}
	return e.GetValue(), verifyBlob(sum, e.GetValue())
}

func verifyBlob(sum string, data []byte) error {
	if len(data) > toucanfolder.MaxFileBytes || toucanhead.BlobSum(data) != sum {
		return toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "blob "+sum+" is too large or has another digest")
	}
	return nil
}

// pullAnnounced loads the newest announced revision from one of the peers that
// announced it.
func (s *Syncer) pullAnnounced(ctx context.Context, announcements []announcement) {
	if s.Pull == nil {
		return
	}
	for _, a := range announcements[:min(len(announcements), maxPullAttempts)] {
		head, err := s.pullHead(ctx, a.from)
		if err != nil {
			continue
		}
		// The peer may have activated a later revision since its announcement.
		if head.GetRevision() == a.digest.GetRevision() && !bytes.Equal(toucanhead.Sum(head), a.digest.GetSum()) {
			s.recordLoadError(head, "peer "+a.from.GetId(), toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "the head has another digest than announced"))
			continue
		}
		if s.loadFromPeer(ctx, a.from, head) {
			return
		}
	}
}

func (s *Syncer) pullHead(ctx context.Context, from *toucanpb.Member) (*toucanpb.Head, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.Pull(call, from, &toucanpb.FetchRequest{Head: true})
	if err != nil {
		return nil, err
	}
	return reply.GetHead(), toucanhead.Validate(reply.GetHead())
}

// loadFromPeer activates a head with blobs from a peer, and reports whether it
// did.
func (s *Syncer) loadFromPeer(ctx context.Context, from *toucanpb.Member, head *toucanpb.Head) bool {
	source := "peer " + from.GetId()
	if !s.shouldLoad(head, source) {
		return false
	}
	blobs, missing := s.cachedBlobs(head)
	size := 0
	for len(missing) > 0 {
		got, err := s.pullBlobs(ctx, from, missing[:min(len(missing), maxFetchBlobs)])
		for sum, data := range got {
			blobs[sum] = data
			size += len(data)
		}
		missing = slices.DeleteFunc(missing, func(sum string) bool { _, ok := got[sum]; return ok })
		if err == nil && (len(got) == 0 || size > toucanfolder.MaxBytes) {
			err = toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "configuration blobs are missing or exceed the size limit")
		}
		if err != nil {
			s.log().Info("fetching configuration blobs from a peer failed", zap.String("source", source), zap.Error(err))
			s.recordLoadError(head, source, err)
			return false
		}
	}
	return s.activate(head, blobs, source)
}

func (s *Syncer) pullBlobs(ctx context.Context, from *toucanpb.Member, sums []string) (map[string][]byte, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.Pull(call, from, &toucanpb.FetchRequest{Sums: sums})
	if err != nil {
		return nil, err
	}
	out := map[string][]byte{}
	for _, b := range reply.GetBlobs() {
		if !slices.Contains(sums, b.GetSum()) {
			continue
		}
		if err := verifyBlob(b.GetSum(), b.GetData()); err != nil {
			return nil, err
		}
		out[b.GetSum()] = b.GetData()
	}
	return out, nil
}
