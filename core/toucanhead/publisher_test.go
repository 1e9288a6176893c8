package toucanhead_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanhead"
	"toucanstair.example/core/toucanpb"
)

// fakeStore is an in-memory store. beforePut and afterPut run around each Put
// and may make it return an error.
type fakeStore struct {
	mu        sync.Mutex
	entries   map[string]*toucanpb.Entry
	revision  uint64
	beforePut func(key string) error
	afterPut  func(key string) error
}

func newStore() *fakeStore {
	return &fakeStore{entries: map[string]*toucanpb.Entry{}, revision: 1000}
}

func (s *fakeStore) Get(_ context.Context, key string) (*toucanpb.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key], nil
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, prev uint64, _ string) (uint64, error) {
	if s.beforePut != nil {
		if err := s.beforePut(key); err != nil {
			return 0, err
		}
	}
	s.mu.Lock()
	if s.entries[key].GetRevision() != prev {
		s.mu.Unlock()
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT, key)
	}
	s.revision += 3 // unlike the revisions of heads, which increase by 1
	r := s.revision
	s.entries[key] = &toucanpb.Entry{Key: key, Value: value, Revision: r}
	s.mu.Unlock()
	if s.afterPut != nil {
		return r, s.afterPut(key)
	}
	return r, nil
}

func (s *fakeStore) Delete(_ context.Context, key string, prev uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].GetRevision() != prev {
		return toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT, key)
	}
	delete(s.entries, key)
	return nil
}

var errReplyLost = toucanfault.Unknown(toucanpb.Code_CODE_STORE, "reply lost")

func apply(t *testing.T, pub *toucanhead.Publisher, text, author string) toucanhead.Result {
	p, err := pub.Plan(t.Context(), map[string][]byte{"a.yaml": []byte(text)}, author)
	require.NoError(t, err)
	return pub.Apply(t.Context(), p)
}

// Guards against concurrent changes of which none or several are reported as
// done, and against a lost change that does not report the winner.
func TestConcurrentAppliesHaveOneWinner(t *testing.T) {
	for range 50 {
		store := newStore()
		require.Equal(t, toucanhead.Done, apply(t, &toucanhead.Publisher{Store: store}, "0", "setup").Phase)
		var plans []*toucanhead.Plan
		for i := range 4 {
			pub := &toucanhead.Publisher{Store: store}
			p, err := pub.Plan(t.Context(), map[string][]byte{"a.yaml": fmt.Append(nil, "x", i)}, fmt.Sprint("op", i))
			require.NoError(t, err)
			require.Equal(t, []string{"a.yaml"}, p.Changed)
			plans = append(plans, p)
		}
		results := make([]toucanhead.Result, len(plans))
		var wg sync.WaitGroup
		for i, p := range plans {
			wg.Go(func() { results[i] = (&toucanhead.Publisher{Store: store}).Apply(t.Context(), p) })
		}
		wg.Wait()
		now, err := (&toucanhead.Publisher{Store: store}).Current(t.Context())
		require.NoError(t, err)
		require.Equal(t, uint64(2), now.Head.GetRevision())
		for i, r := range results {
			want := toucanhead.Lost
			if fmt.Sprint("op", i) == now.Head.GetAuthor() {
				want = toucanhead.Done
			}
			require.Equal(t, toucanhead.Result{Phase: want, Revision: 2, Author: now.Head.GetAuthor()}, r)
		}
	}
}

// Guards against a change whose reply was lost being reported as failed or
// lost, or published twice.
func TestApplySucceedsDespiteLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.afterPut = func(string) error { return errReplyLost }
		require.Equal(t, toucanhead.Result{Phase: toucanhead.Done, Revision: 1, Author: "ana"}, apply(t, &toucanhead.Publisher{Store: store}, "1", "ana"))
		// Other operators publish before the reply of the next change is lost.
		once := true
		store.afterPut = func(key string) error {
			if key != toucanhead.Key || !once {
				return nil
			}
			once = false
			for i := range 3 {
				require.Equal(t, toucanhead.Done, apply(t, &toucanhead.Publisher{Store: store}, fmt.Sprint("later", i), "ben").Phase)
			}
			return errReplyLost
		}
		require.Equal(t, toucanhead.Result{Phase: toucanhead.Done, Revision: 2, Author: "ana"}, apply(t, &toucanhead.Publisher{Store: store}, "2", "ana"))
		now, err := (&toucanhead.Publisher{Store: store}).Current(t.Context())
		require.NoError(t, err)
		require.Equal(t, uint64(5), now.Head.GetRevision())
	})
}

// Guards against reporting an unknown outcome as definite, and against retrying
// without limit, while the store does not reply or refuses.
func TestApplyWithFailingStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.beforePut = func(key string) error {
			if key == toucanhead.Key {
				return errReplyLost
			}
			return nil
		}
		require.Equal(t, toucanhead.Unknown, apply(t, &toucanhead.Publisher{Store: store}, "1", "ana").Phase)
		store.beforePut = func(string) error { return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "down") }
		require.Equal(t, toucanhead.Failed, apply(t, &toucanhead.Publisher{Store: store}, "1", "ana").Phase)
	})
}

// Guards against taking the store's revision as that of the head, against
// revisions that hosts ignore after the store was restored, and against using or
// keeping a blob whose content does not match its digest.
func TestRevisionNumbers(t *testing.T) {
	store := newStore()
	require.Equal(t, uint64(1), apply(t, &toucanhead.Publisher{Store: store}, "1", "a").Revision)
	require.Equal(t, uint64(2), apply(t, &toucanhead.Publisher{Store: store}, "2", "a").Revision)
	require.Equal(t, uint64(900), apply(t, &toucanhead.Publisher{Store: store, MinRevision: 900}, "3", "a").Revision)
	pub := &toucanhead.Publisher{Store: store}
	now, err := pub.Current(t.Context())
	require.NoError(t, err)
	files, err := pub.Files(t.Context(), now.Head)
	require.NoError(t, err)
	require.Equal(t, "3", string(files["a.yaml"]))
	store.entries[toucanhead.BlobPrefix+now.Head.GetFiles()[0].GetSum()].Value = []byte("other")
	_, err = pub.Files(t.Context(), now.Head)
	require.ErrorContains(t, err, "another digest")
	p, err := pub.Plan(t.Context(), map[string][]byte{"b.yaml": []byte("3")}, "a")
	require.NoError(t, err)
	require.Equal(t, []string{"b.yaml"}, p.Added)
	require.Equal(t, []string{"a.yaml"}, p.Removed)
	require.Equal(t, toucanhead.Failed, pub.Apply(t.Context(), p).Phase)
}
