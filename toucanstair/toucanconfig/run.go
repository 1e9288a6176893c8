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
	// rereadEvery bounds the effect of a lost watch event: two watchers in each
	// of 38 zones make 8 reads a second.
	rereadEvery = 10 * time.Second
	// turnEvery is how often a host looks whether it has become a watcher.
	turnEvery = time.Second
	// callTimeout leaves time for three peers and the store within the 16 s in
	// which a change has to be in effect.
	callTimeout = 2 * time.Second
	// watchTimeout is longer than the 30 s of a long poll.
	watchTimeout = 40 * time.Second
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 10 * time.Second
	maxTries     = 3
	maxAsked     = 8
)

// Run starts to follow the published configuration until ctx ends, and
// reports its end on the channel.
func (k *Syncer) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	heads := make(chan *toucanpb.Head, 1)
	watchEnd := make(chan struct{})
	go func() {
		defer close(watchEnd)
		k.watch(ctx, heads)
	}()
	go func() {
		k.follow(ctx, heads)
		<-watchEnd
		end <- nil
		close(end)
	}()
	return end
}

func (k *Syncer) follow(ctx context.Context, heads <-chan *toucanpb.Head) {
	k.mu.Lock()
	wake := k.waker()
	k.mu.Unlock()
	k.start(ctx)
	next := time.NewTimer(turnEvery)
	defer next.Stop()
	fails := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
			k.pull(ctx, k.newest())
		case h := <-heads:
			if !k.load(ctx, h) {
				next.Reset(backoff(1))
			}
		case <-next.C:
			next.Reset(k.reread(ctx, &fails))
		}
	}
}

// found is a head and the peer that has it; nil stands for the store.
type found struct {
	head *toucanpb.Head
	from *toucanpb.Member
}

// start asks the store and peers for their heads and loads the highest that
// is sound, so that a store with an old head does not put that into effect.
func (k *Syncer) start(ctx context.Context) {
	var peers []*toucanpb.Member
	if k.Peers != nil {
		peers = k.Peers()
	}
	stored := make(chan found, 1)
	go func() {
		h, err := k.readHead(ctx)
		if err != nil {
			h = nil
		}
		stored <- found{head: h}
	}()
	all := append(k.pullHeads(ctx, peers), <-stored)
	// The sort is stable, so that among equals a peer's blobs save store reads.
	slices.SortStableFunc(all, byRevision)
	for _, f := range all {
		switch {
		case f.head == nil:
		case f.from != nil:
			k.loadFrom(ctx, f.from, f.head)
		default:
			k.load(ctx, f.head)
		}
	}
}

// byRevision puts the highest revision first.
func byRevision(a, b found) int { return cmp.Compare(b.head.GetRevision(), a.head.GetRevision()) }

// pullHeads asks peers for their heads at once. The result has those that
// answered with a sound one, in the order of the peers.
func (k *Syncer) pullHeads(ctx context.Context, peers []*toucanpb.Member) []found {
	if k.Pull == nil {
		return nil
	}
	peers = peers[:min(len(peers), maxAsked)]
	all := make([]found, len(peers))
	var wg sync.WaitGroup
	for i, p := range peers {
		wg.Go(func() {
			if h, err := k.pullHead(ctx, p); err == nil {
				all[i] = found{h, p}
			}
		})
	}
	wg.Wait()
	return slices.DeleteFunc(all, func(f found) bool { return f.head == nil })
}

// startNewer asks seed hosts that a first configuration of the store names,
// and reports whether a newer one of theirs is in effect. A host that was
// started without seeds knows no other peers, and the store may be outdated.
func (k *Syncer) startNewer(ctx context.Context, head *toucanpb.Head, blobs map[string][]byte) bool {
	rules, err := toucanfolder.New(filesOf(head, blobs), nil).Rules(head.GetRevision())
	if err != nil {
		return false // put refuses it
	}
	var seeds []*toucanpb.Member
	for _, z := range rules.GetZones() {
		for _, address := range z.GetSeeds() {
			seeds = append(seeds, &toucanpb.Member{Address: address})
		}
	}
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	all := k.pullHeads(ctx, seeds)
	slices.SortStableFunc(all, byRevision)
	for _, f := range all {
		if f.head.GetRevision() > head.GetRevision() && k.loadFrom(ctx, f.from, f.head) {
			return true
		}
	}
	return false
}

// reread reads the head when this host watches or has no configuration, and
// returns the time until the next look.
func (k *Syncer) reread(ctx context.Context, fails *int) time.Duration {
	if k.Store == nil || !k.watching() && k.Catalog() != nil {
		*fails = 0
		return turnEvery
	}
	head, err := k.readHead(ctx)
	if err != nil {
		*fails++
		k.log().Warn("store not read", zap.Int("fails", *fails), zap.Error(err))
		return backoff(*fails)
	}
	if head == nil {
		*fails = 0
		return jitter(turnEvery)
	}
	if !k.load(ctx, head) {
		*fails++
		return backoff(*fails)
	}
	*fails = 0
	return jitter(rereadEvery)
}

// jitter returns between 0.75 and 1.25 of d.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }

func backoff(fails int) time.Duration {
	return jitter(min(firstBackoff<<min(fails-1, 10), maxBackoff))
}

// watch passes on the heads that long polls return while this host watches.
func (k *Syncer) watch(ctx context.Context, heads chan *toucanpb.Head) {
	var after uint64
	fails := 0
	for ctx.Err() == nil {
		if k.Store == nil || !k.watching() {
			toucantimer.Wait(ctx, turnEvery)
			continue
		}
		call, cancel := context.WithTimeout(ctx, watchTimeout)
		began := time.Now()
		entries, to, err := k.Store.Watch(call, toucanhead.Key, after)
		cancel()
		if err != nil {
			fails++
			// A store that was restored may number its changes from the start.
			after = 0
			toucantimer.Wait(ctx, backoff(fails))
			continue
		}
		fails = 0
		if to <= after && time.Since(began) < turnEvery {
			// A store that answers at once without news must not cause a busy loop.
			toucantimer.Wait(ctx, jitter(turnEvery))
		}
		after = to
		k.forward(entries, heads)
	}
}

// forward puts the highest head of entries in the channel, in place of one
// that has not been taken yet unless that is higher.
func (k *Syncer) forward(entries []*toucanpb.Entry, heads chan *toucanpb.Head) {
	var best *toucanpb.Head
	for _, e := range entries {
		if e.GetKey() != toucanhead.Key || len(e.GetValue()) == 0 {
			continue
		}
		h, err := toucanhead.Decode(e.GetValue())
		if err != nil {
			k.refuseValue(e.GetValue(), err)
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
	// Only this goroutine sends, so there is room.
	heads <- best
}

func (k *Syncer) refuseValue(value []byte, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refuse(&toucanpb.Digest{Sum: []byte(toucanhead.BlobSum(value))}, fromStore, err.Error())
}

// readHead returns nil when nothing is published or there is no store.
func (k *Syncer) readHead(ctx context.Context) (*toucanpb.Head, error) {
	if k.Store == nil {
		return nil, nil
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := k.Store.Get(call, toucanhead.Key)
	if err != nil || e == nil {
		return nil, err
	}
	h, err := toucanhead.Decode(e.GetValue())
	if err != nil {
		k.refuseValue(e.GetValue(), err)
		return nil, err
	}
	return h, nil
}

// load puts a head of the store into effect with blobs of the store; it
// returns false when it has to be tried again.
func (k *Syncer) load(ctx context.Context, head *toucanpb.Head) bool {
	if !k.offered(head, fromStore) {
		return true
	}
	blobs, missing := k.held(head)
	size := 0
	for _, sum := range missing {
		data, err := k.readBlob(ctx, sum)
		if size += len(data); err == nil && size > toucanfolder.MaxBytes {
			err = toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "blobs over the size limit")
		}
		if err != nil {
			k.log().Warn("blob not read", zap.Uint64("revision", head.GetRevision()), zap.Error(err))
			k.note(head, fromStore, err)
			return false
		}
		blobs[sum] = data
	}
	if k.Catalog() == nil && k.startNewer(ctx, head, blobs) {
		return true
	}
	k.put(head, blobs, fromStore)
	return true
}

// note makes a head that could not be loaded visible; it is tried again.
func (k *Syncer) note(head *toucanpb.Head, source string, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	reason := err.Error()
	k.refusal = &Refusal{head.GetRevision(), source, reason[:min(len(reason), maxReason)], time.Now()}
}

func (k *Syncer) readBlob(ctx context.Context, sum string) ([]byte, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := k.Store.Get(call, toucanhead.BlobPrefix+sum)
	if err != nil {
		return nil, err
	}
	if e == nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "no blob "+sum)
	}
	return e.GetValue(), verify(sum, e.GetValue())
}

func verify(sum string, data []byte) error {
	if len(data) > toucanfolder.MaxFileBytes || toucanhead.BlobSum(data) != sum {
		return toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "blob "+sum+" has another digest")
	}
	return nil
}

// pull loads the newest announced revision from one of the peers that have it.
func (k *Syncer) pull(ctx context.Context, claims []claim) {
	if k.Pull == nil {
		return
	}
	for _, c := range claims[:min(len(claims), maxTries)] {
		head, err := k.pullHead(ctx, c.from)
		if err != nil {
			continue
		}
		// A peer may have moved on since it announced the revision.
		if head.GetRevision() == c.digest.GetRevision() && !bytes.Equal(toucanhead.Sum(head), c.digest.GetSum()) {
			k.note(head, "peer "+c.from.GetId(), toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "the head has another digest than announced"))
			continue
		}
		if k.loadFrom(ctx, c.from, head) {
			return
		}
	}
}

func (k *Syncer) pullHead(ctx context.Context, from *toucanpb.Member) (*toucanpb.Head, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := k.Pull(call, from, &toucanpb.FetchRequest{Head: true})
	if err != nil {
		return nil, err
	}
	return reply.GetHead(), toucanhead.Validate(reply.GetHead())
}

// loadFrom puts a head into effect with blobs of a peer.
func (k *Syncer) loadFrom(ctx context.Context, from *toucanpb.Member, head *toucanpb.Head) bool {
	source := "peer " + from.GetId()
	if !k.offered(head, source) {
		return false
	}
	blobs, missing := k.held(head)
	size := 0
	for len(missing) > 0 {
		got, err := k.pullBlobs(ctx, from, missing[:min(len(missing), fetchSums)])
		for sum, data := range got {
			blobs[sum] = data
			size += len(data)
		}
		missing = slices.DeleteFunc(missing, func(sum string) bool { _, ok := got[sum]; return ok })
		if err == nil && (len(got) == 0 || size > toucanfolder.MaxBytes) {
			err = toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "blobs missing or over the size limit")
		}
		if err != nil {
			k.log().Info("blobs not pulled", zap.String("source", source), zap.Error(err))
			k.note(head, source, err)
			return false
		}
	}
	return k.put(head, blobs, source)
}

func (k *Syncer) pullBlobs(ctx context.Context, from *toucanpb.Member, sums []string) (map[string][]byte, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := k.Pull(call, from, &toucanpb.FetchRequest{Sums: sums})
	if err != nil {
		return nil, err
	}
	out := map[string][]byte{}
	for _, b := range reply.GetBlobs() {
		if !slices.Contains(sums, b.GetSum()) {
			continue
		}
		if err := verify(b.GetSum(), b.GetData()); err != nil {
			return nil, err
		}
		out[b.GetSum()] = b.GetData()
	}
	return out, nil
}
