package toucanconfig_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanhead"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanconfig"
)

const rulesText = `zones: [{name: sierra}]
services:
  - {name: letters, shards: 1, slots: 1, connections: 1, connect: 1ms, routes: [{name: find, timeout: 1s}],
     replicas: [{id: l0, shard: 0, zone: sierra, address: "10.1.1.1:80"}]}
`

// fakeBackend stands in for the store and the peers, with contents that the
// test sets.
type fakeBackend struct {
	mu     sync.Mutex
	store  *toucanpb.Head
	peers  map[string]*toucanpb.Head
	blobs  map[string][]byte
	down   bool
	reads  int
	events chan *toucanpb.Head
}

func newFakeBackend() *fakeBackend {
	return &fakeBackend{peers: map[string]*toucanpb.Head{}, blobs: map[string][]byte{}, events: make(chan *toucanpb.Head, 64)}
}

// head returns a head with one file, whose blob the store and all peers have.
func (b *fakeBackend) head(revision uint64, change, text string) *toucanpb.Head {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := toucanhead.BlobSum([]byte(text))
	b.blobs[sum] = []byte(text)
	return &toucanpb.Head{Revision: revision, Change: change, Files: []*toucanpb.File{{Name: "a.yaml", Sum: sum}}}
}

func (b *fakeBackend) validHead(revision uint64) *toucanpb.Head {
	return b.head(revision, "c", rulesText+fmt.Sprintf("# %d\n", revision))
}

func (b *fakeBackend) Get(_ context.Context, key string) (*toucanpb.Entry, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reads++
	if b.down {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_STORE, "down")
	}
	if key != toucanhead.Key {
		return &toucanpb.Entry{Key: key, Value: b.blobs[strings.TrimPrefix(key, toucanhead.BlobPrefix)]}, nil
	}
	if b.store == nil {
		return nil, nil
	}
	value, err := toucanhead.Encode(b.store)
	return &toucanpb.Entry{Key: key, Value: value, Revision: 5}, err
}

func (b *fakeBackend) Watch(ctx context.Context, _ string, after uint64) ([]*toucanpb.Entry, uint64, error) {
	select {
	case <-ctx.Done():
		return nil, 0, toucanfault.NotRun(toucanpb.Code_CODE_STORE, "ended").Because(ctx.Err())
	case <-time.After(30 * time.Second):
		return nil, after, nil
	case h := <-b.events:
		value, err := toucanhead.Encode(h)
		return []*toucanpb.Entry{{Key: toucanhead.Key, Value: value}}, after + 1, err
	}
}

func (b *fakeBackend) pull(_ context.Context, from *toucanpb.Member, r *toucanpb.FetchRequest) (*toucanpb.FetchReply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reply := &toucanpb.FetchReply{}
	if r.GetHead() {
		reply.Head = b.peers[cmp.Or(from.GetId(), from.GetAddress())]
	}
	for _, s := range r.GetSums() {
		reply.Blobs = append(reply.Blobs, &toucanpb.Blob{Sum: s, Data: b.blobs[s]})
	}
	return reply, nil
}

func (b *fakeBackend) set(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

func gossip(h *toucanpb.Head) *toucanpb.Gossip {
	return &toucanpb.Gossip{Digest: &toucanpb.Digest{Revision: h.GetRevision(), Sum: toucanhead.Sum(h)}}
}

// runSyncer runs body with a running Syncer in a synctest bubble.
func runSyncer(t *testing.T, b *fakeBackend, s *toucanconfig.Syncer, body func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		b.events = make(chan *toucanpb.Head, 64)
		ctx, cancel := context.WithCancel(t.Context())
		end := s.Run(ctx)
		synctest.Wait()
		body(t)
		cancel()
		require.NoError(t, <-end)
	})
}

func advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// Guards against a revision that decreases, or content that changes at one
// revision, when inputs are shuffled, stale, duplicated, invalid or
// contradictory.
func TestRevisionNeverDecreases(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		backend := newFakeBackend()
		syncer := &toucanconfig.Syncer{Store: backend, IsWatcher: func() bool { return seed%2 == 0 }, Pull: backend.pull}
		runSyncer(t, backend, syncer, func(t *testing.T) {
			var held uint64
			var sum, highest = "", uint64(0)
			for range 60 {
				n := 1 + rng.Uint64N(20)
				h := backend.validHead(n)
				bad := rng.IntN(5) == 0
				if bad {
					h = backend.head(n, "other", fmt.Sprintf("zones: 3 # %d\n", rng.IntN(3)))
				} else if rng.IntN(5) == 0 {
					h = backend.head(n, "fork", rulesText+"# fork\n")
				}
				id := fmt.Sprint("peer", rng.IntN(4))
				switch delivery := rng.IntN(3); {
				case delivery == 0:
					backend.set(func() { backend.store = h })
				case delivery == 1 && seed%2 == 0:
					backend.events <- h
					highest = max(highest, n*uint64(1-btoi(bad)))
				default:
					backend.set(func() { backend.peers[id] = h })
					syncer.Accept(&toucanpb.Member{Id: id}, gossip(h))
					highest = max(highest, n*uint64(1-btoi(bad)))
				}
				advance(time.Duration(rng.IntN(3000)) * time.Millisecond)
				if syncer.Catalog() == nil {
					continue
				}
				g := &toucanpb.Gossip{}
				syncer.Offer(nil, g)
				now := syncer.Catalog().Revision()
				require.Equal(t, now, syncer.Status().Revision, "seed %d", seed)
				require.GreaterOrEqual(t, now, held, "seed %d", seed)
				require.GreaterOrEqual(t, now, highest, "seed %d", seed)
				if now == held {
					require.Equal(t, sum, string(g.GetDigest().GetSum()), "seed %d: content changed at revision %d", seed, now)
				}
				held, sum = now, string(g.GetDigest().GetSum())
			}
		})
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against an invalid configuration that is applied in part or refused
// without a report, and against different content at the active revision.
func TestBadConfigurationIsRefusedWhole(t *testing.T) {
	backend := newFakeBackend()
	backend.store = backend.validHead(4)
	syncer := &toucanconfig.Syncer{Store: backend, IsWatcher: func() bool { return true }, Pull: backend.pull}
	runSyncer(t, backend, syncer, func(t *testing.T) {
		require.Equal(t, uint64(4), syncer.Status().Revision)
		require.Nil(t, syncer.Status().Refusal)
		backend.events <- backend.head(5, "bad", rulesText+"out: [nowhere]\n")
		advance(0)
		s := syncer.Status()
		require.Equal(t, uint64(4), s.Revision)
		require.Equal(t, uint64(5), s.Refusal.Revision)
		require.Contains(t, s.Refusal.Reason, `a.yaml:5: unknown zone "nowhere"`)
		fork := backend.head(4, "fork", rulesText)
		syncer.Accept(&toucanpb.Member{Id: "p"}, gossip(fork))
		require.Contains(t, syncer.Status().Refusal.String(), "revision 4 from peer p: another digest")
		corrupted := backend.validHead(6)
		backend.set(func() { backend.blobs[corrupted.GetFiles()[0].GetSum()] = []byte(rulesText) })
		backend.events <- corrupted
		advance(0)
		require.Equal(t, uint64(4), syncer.Status().Revision)
		require.Contains(t, syncer.Status().Refusal.Reason, "another digest")
		backend.events <- backend.validHead(7)
		advance(0)
		require.Equal(t, uint64(7), syncer.Status().Revision)
	})
}

// Guards against a starting host that serves an old revision from the store or
// a peer while another peer has a newer one.
func TestInitialLoadUsesHighestRevision(t *testing.T) {
	backend := newFakeBackend()
	backend.store, backend.peers["a"], backend.peers["b"] = backend.validHead(3), backend.validHead(9), backend.validHead(5)
	core, logs := observer.New(zap.InfoLevel)
	syncer := &toucanconfig.Syncer{Store: backend, Pull: backend.pull, Log: zap.New(core), Peers: func() []*toucanpb.Member {
		return []*toucanpb.Member{{Id: "a"}, {Id: "b"}, {Id: "silent"}}
	}}
	require.Nil(t, syncer.Catalog())
	runSyncer(t, backend, syncer, func(t *testing.T) {
		require.Equal(t, uint64(9), syncer.Catalog().Revision())
		require.Equal(t, "peer a", syncer.Status().Source)
		require.Len(t, logs.FilterMessage("configuration in effect").All(), 1, "an older revision was in effect for a moment")
		reply, err := syncer.Fetch(t.Context(), &toucanpb.FetchRequest{Head: true, Sums: []string{backend.peers["a"].GetFiles()[0].GetSum(), "absent"}})
		require.NoError(t, err)
		require.Equal(t, uint64(9), reply.GetHead().GetRevision())
		require.Len(t, reply.GetBlobs(), 1)
		advance(time.Hour)
		require.Less(t, backend.reads, 5, "a host that does not watch must not read the store")
	})
}

// Guards against a host started without seeds that activates an outdated
// revision from the store, or that stays without a configuration because the
// seeds listed in that revision don't answer.
func TestInitialLoadAsksSeedsOfStoredConfiguration(t *testing.T) {
	for _, test := range []struct {
		name string
		peer uint64 // revision of the seed host; 0 is none
		want uint64
	}{{"newer", 9, 9}, {"silent", 0, 3}, {"older", 2, 3}, {"same", 3, 3}} {
		backend := newFakeBackend()
		text := strings.Replace(rulesText, "name: sierra}", `name: sierra, seeds: ["10.1.1.2:70"]}`, 1)
		backend.store = backend.head(3, "c", text)
		if test.peer != 0 {
			backend.peers["10.1.1.2:70"] = backend.head(test.peer, "c", text+fmt.Sprintf("# %d\n", test.peer))
		}
		if test.peer == 3 {
			backend.peers["10.1.1.2:70"] = backend.store
		}
		core, logs := observer.New(zap.InfoLevel)
		syncer := &toucanconfig.Syncer{Store: backend, Pull: backend.pull, Log: zap.New(core)}
		runSyncer(t, backend, syncer, func(t *testing.T) {
			require.Equal(t, test.want, syncer.Catalog().Revision(), test.name)
			require.Len(t, logs.FilterMessage("configuration in effect").All(), 1, test.name)
			advance(time.Hour)
			require.Equal(t, test.want, syncer.Catalog().Revision(), test.name)
		})
	}
}

// Guards against a lost watch event that is never recovered, reads without
// backoff while the store is down, and a wrong age.
func TestRecoversFromLostEventAndStoreOutage(t *testing.T) {
	backend := newFakeBackend()
	backend.store = backend.validHead(1)
	syncer := &toucanconfig.Syncer{Store: backend, IsWatcher: func() bool { return true }}
	runSyncer(t, backend, syncer, func(t *testing.T) {
		backend.set(func() { backend.store = nil })
		next := backend.validHead(2)
		backend.set(func() { backend.store = next })
		advance(13 * time.Second)
		require.Equal(t, uint64(2), syncer.Status().Revision)
		backend.set(func() { backend.down, backend.reads = true, 0 })
		advance(10 * time.Minute)
		require.Less(t, backend.reads, 120)
		require.Greater(t, syncer.Status().Age, 9*time.Minute)
		require.Equal(t, uint64(2), syncer.Catalog().Revision())
		after := backend.validHead(3)
		backend.set(func() { backend.down, backend.store = false, after })
		advance(13 * time.Second)
		require.Equal(t, uint64(3), syncer.Status().Revision)
		require.Less(t, syncer.Status().Age, 13*time.Second)
	})
}

// Guards against a request that misses a revision which arrives while it waits, and
// against one that waits until its deadline for a revision that does not arrive.
func TestAwaitRevisionIsBounded(t *testing.T) {
	b := newFakeBackend()
	s := &toucanconfig.Syncer{Store: b, Pull: b.pull}
	b.store, b.peers["p"] = b.validHead(3), b.validHead(4)
	runSyncer(t, b, s, func(t *testing.T) {
		require.EqualValues(t, 3, s.AwaitRevision(t.Context(), 2).Revision())
		begin := time.Now()
		require.Nil(t, s.AwaitRevision(t.Context(), 4))
		require.Equal(t, 600*time.Millisecond, time.Since(begin))
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		begin = time.Now()
		require.Nil(t, s.AwaitRevision(ctx, 4))
		require.Equal(t, 200*time.Millisecond, time.Since(begin), "half of the time is left")
		arrived := make(chan uint64, 1)
		go func() { arrived <- s.AwaitRevision(t.Context(), 4).Revision() }()
		synctest.Wait()
		s.Accept(&toucanpb.Member{Id: "p"}, gossip(b.validHead(4)))
		require.EqualValues(t, 4, <-arrived)
	})
}
