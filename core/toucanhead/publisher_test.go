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

// fakeStore is a store in memory; before and after run around each Put and may
// replace its error.
type fakeStore struct {
	mu       sync.Mutex
	entries  map[string]*toucanpb.Entry
	revision uint64
	before   func(key string) error
	after    func(key string) error
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
	if s.before != nil {
		if err := s.before(key); err != nil {
			return 0, err
		}
	}
	s.mu.Lock()
	if s.entries[key].GetRevision() != prev {
		s.mu.Unlock()
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT, key)
	}
	s.revision += 3
	r := s.revision
	s.entries[key] = &toucanpb.Entry{Key: key, Value: value, Revision: r}
	s.mu.Unlock()
	if s.after != nil {
		return r, s.after(key)
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

var lost = toucanfault.Unknown(toucanpb.Code_CODE_STORE, "reply lost")

func apply(t *testing.T, h *toucanhead.Publisher, text, author string) toucanhead.Result {
	p, err := h.Plan(t.Context(), map[string][]byte{"a.yaml": []byte(text)}, author)
	require.NoError(t, err)
	return h.Apply(t.Context(), p)
}

// Guards against two operators of which both or none are told that they won,
// and against a loser who is not told the winner.
func TestConcurrentAppliesHaveOneWinner(t *testing.T) {
	for range 50 {
		store := newStore()
		require.Equal(t, toucanhead.Done, apply(t, &toucanhead.Publisher{Store: store}, "0", "setup").Phase)
		var plans []*toucanhead.Plan
		for i := range 4 {
			h := &toucanhead.Publisher{Store: store}
			p, err := h.Plan(t.Context(), map[string][]byte{"a.yaml": fmt.Append(nil, "x", i)}, fmt.Sprint("op", i))
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

// Guards against a change that took effect being reported as failed, lost or
// published twice because its reply was lost.
func TestApplySucceedsDespiteLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.after = func(string) error { return lost }
		require.Equal(t, toucanhead.Result{Phase: toucanhead.Done, Revision: 1, Author: "ana"}, apply(t, &toucanhead.Publisher{Store: store}, "1", "ana"))
		// Other operators publish before the reply of the next change is lost.
		once := true
		store.after = func(key string) error {
			if key != toucanhead.Key || !once {
				return nil
			}
			once = false
			for i := range 3 {
				require.Equal(t, toucanhead.Done, apply(t, &toucanhead.Publisher{Store: store}, fmt.Sprint("later", i), "ben").Phase)
			}
			return lost
		}
		require.Equal(t, toucanhead.Result{Phase: toucanhead.Done, Revision: 2, Author: "ana"}, apply(t, &toucanhead.Publisher{Store: store}, "2", "ana"))
		now, err := (&toucanhead.Publisher{Store: store}).Current(t.Context())
		require.NoError(t, err)
		require.Equal(t, uint64(5), now.Head.GetRevision())
	})
}

// Guards against a store that stays silent or refuses being reported as a
// definite end, or taking unbounded time.
func TestApplyWithFailingStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.before = func(key string) error {
			if key == toucanhead.Key {
				return lost
			}
			return nil
		}
		require.Equal(t, toucanhead.Unknown, apply(t, &toucanhead.Publisher{Store: store}, "1", "ana").Phase)
		store.before = func(string) error { return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "down") }
		require.Equal(t, toucanhead.Failed, apply(t, &toucanhead.Publisher{Store: store}, "1", "ana").Phase)
	})
}

// Guards against revisions that follow the store's numbers, and against a
// restored store whose new revisions hosts would ignore.
func TestRevisionNumbers(t *testing.T) {
	store := newStore()
	require.Equal(t, uint64(1), apply(t, &toucanhead.Publisher{Store: store}, "1", "a").Revision)
	require.Equal(t, uint64(2), apply(t, &toucanhead.Publisher{Store: store}, "2", "a").Revision)
	require.Equal(t, uint64(900), apply(t, &toucanhead.Publisher{Store: store, MinRevision: 900}, "3", "a").Revision)
	h := &toucanhead.Publisher{Store: store}
	now, err := h.Current(t.Context())
	require.NoError(t, err)
	files, err := h.Files(t.Context(), now.Head)
	require.NoError(t, err)
	require.Equal(t, "3", string(files["a.yaml"]))
	store.entries[toucanhead.BlobPrefix+now.Head.GetFiles()[0].GetSum()].Value = []byte("other")
	_, err = h.Files(t.Context(), now.Head)
	require.ErrorContains(t, err, "another digest")
	p, err := h.Plan(t.Context(), map[string][]byte{"b.yaml": []byte("3")}, "a")
	require.NoError(t, err)
	require.Equal(t, []string{"b.yaml"}, p.Added)
	require.Equal(t, []string{"a.yaml"}, p.Removed)
	require.Equal(t, toucanhead.Failed, h.Apply(t.Context(), p).Phase)
}
