package toucanmirror_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanstair.example/toucanstair/toucanmirror"
)

func ExampleMirror() {
	var m toucanmirror.Mirror
	now := time.Now()
	_, _, _ = m.Apply(toucanmirror.Batch{Items: []toucanmirror.Item{{Key: "a", Revision: 5}}, Full: true, Revision: 7}, now)
	old := toucanmirror.Batch{Items: []toucanmirror.Item{{Key: "a", Revision: 4, Deleted: true}}, Revision: 4}
	significant, _, _ := m.Apply(old, now)
	fmt.Println(len(significant), m.Revision())
	// Output: 0 7
}

// apply applies a batch that is of the era of the mirror.
func apply(t require.TestingT, m *toucanmirror.Mirror, b toucanmirror.Batch, confirmed time.Time) {
	_, _, err := m.Apply(b, confirmed)
	require.NoError(t, err)
}

// Guards against a stale full list that restores removed keys, or removes keys
// that were added after it.
func TestStaleListDoesNotRevertNewerChanges(t *testing.T) {
	var m toucanmirror.Mirror
	now := time.Now()
	apply(t, &m, toucanmirror.Batch{Items: []toucanmirror.Item{{Key: "kept", Revision: 3}, {Key: "left", Revision: 4}}, Full: true, Revision: 5}, now)
	apply(t, &m, toucanmirror.Batch{Items: []toucanmirror.Item{{Key: "left", Revision: 6, Deleted: true}, {Key: "new", Revision: 7}}, Revision: 7}, now)
	stale := toucanmirror.Batch{Items: []toucanmirror.Item{{Key: "kept", Revision: 3}, {Key: "left", Revision: 4}}, Full: true, Revision: 5}
	significant, _, _ := m.Apply(stale, now)
	require.Empty(t, significant)
	require.Equal(t, toucanmirror.Revision(7), m.Revision())
	b, _ := m.Since(0)
	require.Len(t, b.Items, 2)
}

// Guards against a receiver that misses a removal: it must get a full copy if
// it is behind the first full list of the sender.
func TestReceiverBehindFirstListGetsFullCopy(t *testing.T) {
	var m toucanmirror.Mirror
	apply(t, &m, toucanmirror.Batch{Items: []toucanmirror.Item{{Key: "a", Revision: 90}}, Full: true, Revision: 100}, time.Now())
	behind, _ := m.Since(99)
	require.True(t, behind.Full)
	upToDate, _ := m.Since(100)
	require.False(t, upToDate.Full)
	require.Empty(t, upToDate.Items)
}

// Guards against insignificant changes that are sent to receivers.
func TestInsignificantChangesAreNotRelayed(t *testing.T) {
	m := toucanmirror.Mirror{IsSignificant: func(old, item toucanmirror.Item) bool { return string(old.Value) != string(item.Value) }}
	now := time.Now()
	apply(t, &m, toucanmirror.Batch{Items: []toucanmirror.Item{{Key: "a", Revision: 1, Value: []byte("x")}}, Full: true, Revision: 1}, now)
	significant, insignificant, _ := m.Apply(toucanmirror.Batch{Items: []toucanmirror.Item{{Key: "a", Revision: 2, Value: []byte("x")}}, Revision: 2}, now)
	require.Empty(t, significant)
	require.Len(t, insignificant, 1)
	b, _ := m.Since(1)
	require.Empty(t, b.Items)
	require.Equal(t, toucanmirror.Revision(2), b.Revision)
}

// Guards against copies that diverge from the store after batches and full
// lists from two sources in any order.
func TestMirrorsConvergeToStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := []string{"a", "b", "c", "d"}
		store := map[string]toucanmirror.Item{}
		var log []toucanmirror.Item
		revision := toucanmirror.Revision(0)
		var first, second toucanmirror.Mirror
		now := time.Now()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				revision++
				it := toucanmirror.Item{Key: rapid.SampledFrom(keys).Draw(t, "key"), Revision: revision, Value: []byte(fmt.Sprint(revision))}
				if rapid.Bool().Draw(t, "remove") {
					if _, ok := store[it.Key]; !ok {
						revision--
						continue
					}
					it.Deleted, it.Value = true, nil
					delete(store, it.Key)
				} else {
					store[it.Key] = it
				}
				log = append(log, it)
			case 2:
				apply(t, &first, watch(log, first.Revision(), revision), now)
			case 3:
				apply(t, &first, list(store, revision), now)
			case 4:
				b, _ := first.Since(second.Revision())
				apply(t, &second, b, now)
			}
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Second, 2 * time.Minute}).Draw(t, "passed"))
		}
		apply(t, &first, list(store, revision), now)
		b, _ := first.Since(second.Revision())
		apply(t, &second, b, now)
		for _, m := range []*toucanmirror.Mirror{&first, &second} {
			all, _ := m.Since(0)
			got := map[string]toucanmirror.Item{}
			for _, it := range all.Items {
				got[it.Key] = it
			}
			require.Equal(t, store, got)
		}
	})
}

func list(store map[string]toucanmirror.Item, revision toucanmirror.Revision) toucanmirror.Batch {
	b := toucanmirror.Batch{Full: true, Revision: revision}
	for _, it := range store {
		b.Items = append(b.Items, it)
	}
	return b
}

func watch(log []toucanmirror.Item, after, revision toucanmirror.Revision) toucanmirror.Batch {
	b := toucanmirror.Batch{Revision: revision}
	for _, it := range log {
		if it.Revision > after {
			b.Items = append(b.Items, it)
		}
	}
	return b
}

// Guards against a full copy to each receiver after a list, which a large fleet makes when
// the store has compacted its changes, and against a receiver that keeps a key which was
// created and removed in the changes that the list replaced.
func TestListNeedsFullCopyOnlyWhereChangesAreUnknown(t *testing.T) {
	var m toucanmirror.Mirror
	now := time.Now()
	apply(t, &m, toucanmirror.Batch{Items: []toucanmirror.Item{{Key: "a", Revision: 5}, {Key: "b", Revision: 7}}, Full: true, Revision: 10}, now)
	apply(t, &m, toucanmirror.Batch{Items: []toucanmirror.Item{{Key: "a", Revision: 5}, {Key: "c", Revision: 18}}, Full: true, Revision: 20}, now)
	for after, full := range map[toucanmirror.Revision]bool{0: true, 9: true, 10: false, 11: true, 19: true, 20: false, 25: false} {
		b, _ := m.Since(after)
		require.Equal(t, full, b.Full, "after %d", after)
	}
	b, _ := m.Since(10)
	require.ElementsMatch(t, []toucanmirror.Item{{Key: "c", Revision: 18}, {Key: "b", Revision: 20, Deleted: true}}, b.Items)
}

// Guards against a removal whose time stays unknown, here and on hosts that follow this one,
// because a source without the time came first.
func TestTimeOfRemovalIsAddedByLaterSource(t *testing.T) {
	var m toucanmirror.Mirror
	now := time.Now()
	apply(t, &m, toucanmirror.Batch{Items: []toucanmirror.Item{{Key: "a", Revision: 3}, {Key: "b", Revision: 4}}, Full: true, Revision: 5}, now)
	require.Equal(t, toucanmirror.Revision(5), m.FollowFrom(now))
	apply(t, &m, toucanmirror.Batch{Items: []toucanmirror.Item{{Key: "a", Revision: 7, Deleted: true}, {Key: "c", Revision: 9}}, Revision: 9}, now)
	require.Equal(t, toucanmirror.Revision(6), m.FollowFrom(now), "the other copy has to send the removal")
	require.Equal(t, toucanmirror.Revision(9), m.FollowFrom(now.Add(time.Minute)))
	timed := toucanmirror.Item{Key: "a", Revision: 7, Deleted: true, DeletedAfter: now.Add(-time.Second)}
	significant, _, _ := m.Apply(toucanmirror.Batch{Items: []toucanmirror.Item{timed}, Revision: 9}, now)
	require.Equal(t, []toucanmirror.Item{timed}, significant)
	require.Equal(t, toucanmirror.Revision(9), m.FollowFrom(now))
	b, _ := m.Since(9)
	require.Equal(t, []toucanmirror.Item{timed}, b.Items, "a receiver may know the removal without its time")
	significant, _, _ = m.Apply(toucanmirror.Batch{Items: []toucanmirror.Item{timed}, Revision: 9}, now)
	require.Empty(t, significant)
	apply(t, &m, toucanmirror.Batch{Items: []toucanmirror.Item{{Key: "a", Revision: 12}}, Revision: 12}, now)
	significant, _, _ = m.Apply(toucanmirror.Batch{Items: []toucanmirror.Item{timed}, Revision: 12}, now)
	require.Empty(t, significant, "the key was written again")
}
