package toucanhead_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanhead"
	"toucanstair.example/core/toucanpb"
)

// Guards against replaced blobs filling the store, and against the blobs of the
// published head being deleted.
func TestCleanDeletesReplacedBlobs(t *testing.T) {
	store := newStore()
	h := &toucanhead.Publisher{Store: store}
	for i := range 20 {
		p, err := h.Plan(t.Context(), map[string][]byte{"a.yaml": fmt.Append(nil, i), "b.yaml": []byte("same")}, "op")
		require.NoError(t, err)
		require.Equal(t, toucanhead.Done, h.Apply(t.Context(), p).Phase)
		h.DeleteReplacedBlobs(t.Context(), p)
	}
	require.Len(t, store.entries, 3) // the head and two blobs
}

// Guards against the clean-up of one operator deleting a blob that another one
// publishes again at the same time. The steps of the two are in random order.
func TestCleanKeepsBlobsPublishedAgain(t *testing.T) {
	synctest.Test(t, testCleanKeepsBlobs)
}

func testCleanKeepsBlobs(t *testing.T) {
	const seed = 1
	random := rand.New(rand.NewPCG(seed, 0))
	for range 2000 {
		store := newStore()
		h := &toucanhead.Publisher{Store: store}
		require.Equal(t, toucanhead.Done, apply(t, h, "old", "first").Phase)
		p, err := h.Plan(t.Context(), map[string][]byte{"a.yaml": []byte("new")}, "second")
		require.NoError(t, err)
		require.Equal(t, toucanhead.Done, h.Apply(t.Context(), p).Phase)

		// The store's calls of the clean-up and of the third change interleave.
		actors := []*actor{newActor(), newActor()}
		actors[0].run(func(turn <-chan struct{}) {
			(&toucanhead.Publisher{Store: turned{store, turn}}).DeleteReplacedBlobs(t.Context(), p)
		})
		actors[1].run(func(turn <-chan struct{}) {
			third := &toucanhead.Publisher{Store: turned{store, turn}}
			q, err := third.Plan(t.Context(), map[string][]byte{"a.yaml": []byte("old")}, "third")
			if err == nil {
				third.Apply(t.Context(), q)
			}
		})
		for len(actors) > 0 {
			i := random.IntN(len(actors))
			select {
			case actors[i].turn <- struct{}{}:
			case <-actors[i].done:
				actors = slices.Delete(actors, i, i+1)
			}
		}
		now, err := h.Current(t.Context())
		require.NoError(t, err)
		_, err = h.Files(t.Context(), now.Head)
		require.NoError(t, err, "seed %d: the published head names a deleted blob", seed)
	}
}

// actor makes its calls of the store when it is given a turn.
type actor struct{ turn, done chan struct{} }

func newActor() *actor { return &actor{make(chan struct{}), make(chan struct{})} }

func (a *actor) run(f func(turn <-chan struct{})) {
	go func() {
		defer close(a.done)
		f(a.turn)
	}()
}

// turned is a store of which each call waits for its turn.
type turned struct {
	*fakeStore
	turn <-chan struct{}
}

func (s turned) Get(ctx context.Context, key string) (*toucanpb.Entry, error) {
	<-s.turn
	return s.fakeStore.Get(ctx, key)
}

func (s turned) Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (uint64, error) {
	<-s.turn
	return s.fakeStore.Put(ctx, key, value, prev, lease)
}

func (s turned) Delete(ctx context.Context, key string, prev uint64) error {
	<-s.turn
	return s.fakeStore.Delete(ctx, key, prev)
}
