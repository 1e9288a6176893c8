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

// Guards against replaced blobs filling the store, and against deleting the
// blobs of the published head.
func TestCleanDeletesReplacedBlobs(t *testing.T) {
	store := newStore()
	pub := &toucanhead.Publisher{Store: store}
	for i := range 20 {
		p, err := pub.Plan(t.Context(), map[string][]byte{"a.yaml": fmt.Append(nil, i), "b.yaml": []byte("same")}, "op")
		require.NoError(t, err)
		require.Equal(t, toucanhead.Done, pub.Apply(t.Context(), p).Phase)
		pub.DeleteReplacedBlobs(t.Context(), p)
	}
	require.Len(t, store.entries, 3) // the head and two blobs
}

// Guards against one operator's DeleteReplacedBlobs deleting a blob that another
// one publishes again at the same time. Their store calls run in random order.
func TestCleanKeepsBlobsPublishedAgain(t *testing.T) {
	synctest.Test(t, testCleanKeepsBlobs)
}

func testCleanKeepsBlobs(t *testing.T) {
	const seed = 1
	random := rand.New(rand.NewPCG(seed, 0))
	for range 2000 {
		store := newStore()
		pub := &toucanhead.Publisher{Store: store}
		require.Equal(t, toucanhead.Done, apply(t, pub, "old", "first").Phase)
		p, err := pub.Plan(t.Context(), map[string][]byte{"a.yaml": []byte("new")}, "second")
		require.NoError(t, err)
		require.Equal(t, toucanhead.Done, pub.Apply(t.Context(), p).Phase)

		// The store calls of the deletion and of the third change interleave.
		actors := []*actor{newActor(), newActor()}
		actors[0].run(func(turn <-chan struct{}) {
			(&toucanhead.Publisher{Store: scheduledStore{store, turn}}).DeleteReplacedBlobs(t.Context(), p)
		})
		actors[1].run(func(turn <-chan struct{}) {
			third := &toucanhead.Publisher{Store: scheduledStore{store, turn}}
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
		now, err := pub.Current(t.Context())
		require.NoError(t, err)
		_, err = pub.Files(t.Context(), now.Head)
		require.NoError(t, err, "seed %d: the published head names a deleted blob", seed)
	}
}

// actor is a goroutine that makes one store call per receive from turn.
type actor struct{ turn, done chan struct{} }

func newActor() *actor { return &actor{make(chan struct{}), make(chan struct{})} }

func (a *actor) run(f func(turn <-chan struct{})) {
	go func() {
		defer close(a.done)
		f(a.turn)
	}()
}

// scheduledStore is a store in which each call waits for its turn.
type scheduledStore struct {
	*fakeStore
	turn <-chan struct{}
}

func (s scheduledStore) Get(ctx context.Context, key string) (*toucanpb.Entry, error) {
	<-s.turn
	return s.fakeStore.Get(ctx, key)
}

func (s scheduledStore) Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (uint64, error) {
	<-s.turn
	return s.fakeStore.Put(ctx, key, value, prev, lease)
}

func (s scheduledStore) Delete(ctx context.Context, key string, prev uint64) error {
	<-s.turn
	return s.fakeStore.Delete(ctx, key, prev)
}
