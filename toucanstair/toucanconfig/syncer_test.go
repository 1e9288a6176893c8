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

// world is a store and peers that answer with whatever the test has set.
type world struct {
	mu    sync.Mutex
	store *toucanpb.Head
	peers map[string]*toucanpb.Head
	blobs map[string][]byte
	down  bool
	reads int
	event chan *toucanpb.Head
}

func newWorld() *world {
	return &world{peers: map[string]*toucanpb.Head{}, blobs: map[string][]byte{}, event: make(chan *toucanpb.Head, 64)}
}

// head returns a head of one file, with its blob held by the store and all peers.
func (w *world) head(revision uint64, change, text string) *toucanpb.Head {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := toucanhead.BlobSum([]byte(text))
	w.blobs[sum] = []byte(text)
	return &toucanpb.Head{Revision: revision, Change: change, Files: []*toucanpb.File{{Name: "a.yaml", Sum: sum}}}
}

func (w *world) good(revision uint64) *toucanpb.Head {
	return w.head(revision, "c", rulesText+fmt.Sprintf("# %d\n", revision))
}

func (w *world) Get(_ context.Context, key string) (*toucanpb.Entry, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reads++
	if w.down {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_STORE, "down")
	}
	if key != toucanhead.Key {
		return &toucanpb.Entry{Key: key, Value: w.blobs[strings.TrimPrefix(key, toucanhead.BlobPrefix)]}, nil
	}
	if w.store == nil {
		return nil, nil
	}
	value, err := toucanhead.Encode(w.store)
	return &toucanpb.Entry{Key: key, Value: value, Revision: 5}, err
}

func (w *world) Watch(ctx context.Context, _ string, after uint64) ([]*toucanpb.Entry, uint64, error) {
	select {
	case <-ctx.Done():
		return nil, 0, toucanfault.NotRun(toucanpb.Code_CODE_STORE, "ended").Because(ctx.Err())
	case <-time.After(30 * time.Second):
		return nil, after, nil
	case h := <-w.event:
		value, err := toucanhead.Encode(h)
		return []*toucanpb.Entry{{Key: toucanhead.Key, Value: value}}, after + 1, err
	}
}

func (w *world) pull(_ context.Context, from *toucanpb.Member, r *toucanpb.FetchRequest) (*toucanpb.FetchReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := &toucanpb.FetchReply{}
	if r.GetHead() {
		reply.Head = w.peers[cmp.Or(from.GetId(), from.GetAddress())]
	}
	for _, s := range r.GetSums() {
		reply.Blobs = append(reply.Blobs, &toucanpb.Blob{Sum: s, Data: w.blobs[s]})
	}
	return reply, nil
}

func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

func gossip(h *toucanpb.Head) *toucanpb.Gossip {
	return &toucanpb.Gossip{Digest: &toucanpb.Digest{Revision: h.GetRevision(), Sum: toucanhead.Sum(h)}}
}

// bubble runs body with a running keeper on paused time.
func bubble(t *testing.T, w *world, k *toucanconfig.Syncer, body func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		w.event = make(chan *toucanpb.Head, 64)
		ctx, cancel := context.WithCancel(t.Context())
		end := k.Run(ctx)
		synctest.Wait()
		body(t)
		cancel()
		require.NoError(t, <-end)
	})
}

func later(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// Guards against a revision that goes down, or content that changes at one
// revision, when inputs are shuffled, stale, duplicated, bad or contradictory.
func TestRevisionNeverDecreases(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := newWorld()
		k := &toucanconfig.Syncer{Store: w, IsWatcher: func() bool { return seed%2 == 0 }, Pull: w.pull}
		bubble(t, w, k, func(t *testing.T) {
			var held uint64
			var text, highest = "", uint64(0)
			for range 60 {
				n := 1 + rng.Uint64N(20)
				h := w.good(n)
				bad := rng.IntN(5) == 0
				if bad {
					h = w.head(n, "other", fmt.Sprintf("zones: 3 # %d\n", rng.IntN(3)))
				} else if rng.IntN(5) == 0 {
					h = w.head(n, "fork", rulesText+"# fork\n")
				}
				id := fmt.Sprint("peer", rng.IntN(4))
				switch way := rng.IntN(3); {
				case way == 0:
					w.set(func() { w.store = h })
				case way == 1 && seed%2 == 0:
					w.event <- h
					highest = max(highest, n*uint64(1-btoi(bad)))
				default:
					w.set(func() { w.peers[id] = h })
					k.Accept(&toucanpb.Member{Id: id}, gossip(h))
					highest = max(highest, n*uint64(1-btoi(bad)))
				}
				later(time.Duration(rng.IntN(3000)) * time.Millisecond)
				if k.Catalog() == nil {
					continue
				}
				g := &toucanpb.Gossip{}
				k.Offer(nil, g)
				now := k.Catalog().Revision()
				require.Equal(t, now, k.Status().Revision, "seed %d", seed)
				require.GreaterOrEqual(t, now, held, "seed %d", seed)
				require.GreaterOrEqual(t, now, highest, "seed %d", seed)
				if now == held {
					require.Equal(t, text, string(g.GetDigest().GetSum()), "seed %d: content changed at revision %d", seed, now)
				}
				held, text = now, string(g.GetDigest().GetSum())
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

// Guards against a partial or silent handling of a bad configuration, and
// against a second content for the revision in effect.
func TestBadConfigurationIsRefusedWhole(t *testing.T) {
	w := newWorld()
	w.store = w.good(4)
	k := &toucanconfig.Syncer{Store: w, IsWatcher: func() bool { return true }, Pull: w.pull}
	bubble(t, w, k, func(t *testing.T) {
		require.Equal(t, uint64(4), k.Status().Revision)
		require.Nil(t, k.Status().Refusal)
		w.event <- w.head(5, "bad", rulesText+"out: [nowhere]\n")
		later(0)
		s := k.Status()
		require.Equal(t, uint64(4), s.Revision)
		require.Equal(t, uint64(5), s.Refusal.Revision)
		require.Contains(t, s.Refusal.Reason, `a.yaml:5: unknown zone "nowhere"`)
		fork := w.head(4, "fork", rulesText)
		k.Accept(&toucanpb.Member{Id: "p"}, gossip(fork))
		require.Contains(t, k.Status().Refusal.String(), "revision 4 from peer p: another digest")
		lying := w.good(6)
		w.set(func() { w.blobs[lying.GetFiles()[0].GetSum()] = []byte(rulesText) })
		w.event <- lying
		later(0)
		require.Equal(t, uint64(4), k.Status().Revision)
		require.Contains(t, k.Status().Refusal.Reason, "another digest")
		w.event <- w.good(7)
		later(0)
		require.Equal(t, uint64(7), k.Status().Revision)
	})
}

// Guards against a fresh host that serves an old revision of the store or of
// one peer while another peer has a newer one.
func TestInitialLoadUsesHighestRevision(t *testing.T) {
	w := newWorld()
	w.store, w.peers["a"], w.peers["b"] = w.good(3), w.good(9), w.good(5)
	core, logs := observer.New(zap.InfoLevel)
	k := &toucanconfig.Syncer{Store: w, Pull: w.pull, Log: zap.New(core), Peers: func() []*toucanpb.Member {
		return []*toucanpb.Member{{Id: "a"}, {Id: "b"}, {Id: "silent"}}
	}}
	require.Nil(t, k.Catalog())
	bubble(t, w, k, func(t *testing.T) {
		require.Equal(t, uint64(9), k.Catalog().Revision())
		require.Equal(t, "peer a", k.Status().Source)
		require.Len(t, logs.FilterMessage("configuration in effect").All(), 1, "an older revision was in effect for a moment")
		reply, err := k.Fetch(t.Context(), &toucanpb.FetchRequest{Head: true, Sums: []string{w.peers["a"].GetFiles()[0].GetSum(), "absent"}})
		require.NoError(t, err)
		require.Equal(t, uint64(9), reply.GetHead().GetRevision())
		require.Len(t, reply.GetBlobs(), 1)
		later(time.Hour)
		require.Less(t, w.reads, 5, "a host that does not watch must not read the store")
	})
}

// Guards against a fresh host without seeds of its own that puts an old
// revision of the store into effect, or that stays without a configuration
// when the seeds in it don't answer.
func TestInitialLoadAsksSeedsOfStoredConfiguration(t *testing.T) {
	for _, k := range []struct {
		name   string
		peer   uint64 // revision of the seed host; 0 is none
		effect uint64
	}{{"newer", 9, 9}, {"silent", 0, 3}, {"older", 2, 3}, {"same", 3, 3}} {
		w := newWorld()
		text := strings.Replace(rulesText, "name: sierra}", `name: sierra, seeds: ["10.1.1.2:70"]}`, 1)
		w.store = w.head(3, "c", text)
		if k.peer != 0 {
			w.peers["10.1.1.2:70"] = w.head(k.peer, "c", text+fmt.Sprintf("# %d\n", k.peer))
		}
		if k.peer == 3 {
			w.peers["10.1.1.2:70"] = w.store
		}
		core, logs := observer.New(zap.InfoLevel)
		keeper := &toucanconfig.Syncer{Store: w, Pull: w.pull, Log: zap.New(core)}
		bubble(t, w, keeper, func(t *testing.T) {
			require.Equal(t, k.effect, keeper.Catalog().Revision(), k.name)
			require.Len(t, logs.FilterMessage("configuration in effect").All(), 1, k.name)
			later(time.Hour)
			require.Equal(t, k.effect, keeper.Catalog().Revision(), k.name)
		})
	}
}

// Guards against a lost watch event that is never made up for, reads without
// backoff while the store is down, and a wrong age.
func TestRecoversFromLostEventAndStoreOutage(t *testing.T) {
	w := newWorld()
	w.store = w.good(1)
	k := &toucanconfig.Syncer{Store: w, IsWatcher: func() bool { return true }}
	bubble(t, w, k, func(t *testing.T) {
		w.set(func() { w.store = nil })
		next := w.good(2)
		w.set(func() { w.store = next })
		later(13 * time.Second)
		require.Equal(t, uint64(2), k.Status().Revision)
		w.set(func() { w.down, w.reads = true, 0 })
		later(10 * time.Minute)
		require.Less(t, w.reads, 120)
		require.Greater(t, k.Status().Age, 9*time.Minute)
		require.Equal(t, uint64(2), k.Catalog().Revision())
		after := w.good(3)
		w.set(func() { w.down, w.store = false, after })
		later(13 * time.Second)
		require.Equal(t, uint64(3), k.Status().Revision)
		require.Less(t, k.Status().Age, 13*time.Second)
	})
}
