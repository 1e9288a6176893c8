package toucanmirror_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/toucanstair/toucanmirror"
)

func ExampleRevision() {
	before, after := toucanmirror.At(1, 900), toucanmirror.At(2, 17)
	fmt.Println(after > before, after)
	// Output: true 1/17
}

// keepFor retains each key for a time.
func keepFor(d time.Duration) func(toucanmirror.Item, toucanmirror.Item) time.Duration {
	return func(toucanmirror.Item, toucanmirror.Item) time.Duration { return d }
}

func item(key string, revision toucanmirror.Revision, value string) toucanmirror.Item {
	return toucanmirror.Item{Key: key, Revision: revision, Value: []byte(value)}
}

func full(revision toucanmirror.Revision, items ...toucanmirror.Item) toucanmirror.Batch {
	return toucanmirror.Batch{Items: items, Full: true, Revision: revision}
}

// values returns the value of each key of a mirror.
func values(m *toucanmirror.Mirror) map[string]string {
	all, _ := m.Since(0)
	out := map[string]string{}
	for _, it := range all.Items {
		out[it.Key] = string(it.Value)
	}
	return out
}

// Guards against changes of a later era that are ignored because the store's count went back.
func TestChangesOfALaterEraApplyWhateverTheirCount(t *testing.T) {
	var m toucanmirror.Mirror
	now := time.Now()
	apply(t, &m, full(toucanmirror.At(1, 90), item("a", toucanmirror.At(1, 80), "old"), item("b", toucanmirror.At(1, 90), "lost")), now)
	apply(t, &m, full(toucanmirror.At(2, 50), item("a", toucanmirror.At(2, 40), "older")), now)
	require.Equal(t, map[string]string{"a": "older"}, values(&m))
	apply(t, &m, toucanmirror.Batch{Items: []toucanmirror.Item{item("a", toucanmirror.At(2, 51), "new")}, Revision: toucanmirror.At(2, 51)}, now)
	require.Equal(t, map[string]string{"a": "new"}, values(&m))
	require.Equal(t, toucanmirror.At(2, 51), m.Revision())
}

// Guards against batches of an earlier era that bring its history back, and against changes of a later one that are added to it.
func TestBatchesOfAnotherEraAreNotApplied(t *testing.T) {
	var m toucanmirror.Mirror
	now := time.Now()
	apply(t, &m, full(toucanmirror.At(2, 50), item("a", toucanmirror.At(2, 40), "x")), now)
	for name, b := range map[string]toucanmirror.Batch{
		"all items of an earlier era": full(toucanmirror.At(1, 900), item("a", toucanmirror.At(1, 900), "earlier")),
		"changes of an earlier era":   {Items: []toucanmirror.Item{item("a", toucanmirror.At(1, 900), "earlier")}, Revision: toucanmirror.At(1, 900)},
		"changes of a later era":      {Items: []toucanmirror.Item{item("a", toucanmirror.At(3, 60), "later")}, Revision: toucanmirror.At(3, 60)},
	} {
		_, _, err := m.Apply(b, now.Add(time.Minute))
		var eraErr *toucanmirror.EraError
		require.ErrorAs(t, err, &eraErr, name)
		require.Equal(t, map[string]string{"a": "x"}, values(&m), name)
		require.Equal(t, time.Minute, m.Age(now.Add(time.Minute)), name+": it confirms nothing")
	}
}

// Guards against what a copy has undone, or lacks, before it can be written again.
func TestKnownStateStaysInForceUntilItIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := toucanmirror.Mirror{Retention: keepFor(10 * time.Second)}
		apply(t, &m, full(toucanmirror.At(1, 80), item("changed", toucanmirror.At(1, 70), "1"), item("removed", toucanmirror.At(1, 60), "1")), time.Now())
		apply(t, &m, toucanmirror.Batch{Items: []toucanmirror.Item{
			item("changed", toucanmirror.At(1, 81), "2"), item("added", toucanmirror.At(1, 82), "1"), {Key: "removed", Revision: toucanmirror.At(1, 83), Deleted: true},
		}, Revision: toucanmirror.At(1, 83)}, time.Now())
		known := map[string]string{"changed": "2", "added": "1"}
		drill := full(toucanmirror.At(2, 80), item("changed", toucanmirror.At(2, 70), "1"), item("removed", toucanmirror.At(2, 60), "1"))
		apply(t, &m, drill, time.Now())
		require.Equal(t, known, values(&m))
		require.Equal(t, toucanmirror.EraChange{Era: 2, Retained: 3}, m.LastEraChange())
		apply(t, &m, drill, time.Now())
		require.Equal(t, known, values(&m), "the same list again")

		apply(t, &m, toucanmirror.Batch{Items: []toucanmirror.Item{item("changed", toucanmirror.At(2, 81), "3")}, Revision: toucanmirror.At(2, 81)}, time.Now())
		known["changed"] = "3"
		require.Equal(t, known, values(&m), "a change ends it")

		var follower toucanmirror.Mirror
		b, _ := m.Since(follower.Revision())
		apply(t, &follower, b, time.Now())
		require.Equal(t, known, values(&follower))

		<-time.After(11 * time.Second)
		apply(t, &m, toucanmirror.Batch{Revision: toucanmirror.At(2, 82)}, time.Now())
		require.Equal(t, map[string]string{"changed": "3", "removed": "1"}, values(&m), "at last the copy is right")
		b, _ = m.Since(follower.Revision())
		apply(t, &follower, b, time.Now())
		require.Equal(t, values(&m), values(&follower))
	})
}

// Guards against a receiver that gets only the changes after a count that the earlier era has used too.
func TestReceiverOfAnEarlierEraGetsAllItems(t *testing.T) {
	var m toucanmirror.Mirror
	apply(t, &m, full(toucanmirror.At(1, 90), item("a", toucanmirror.At(1, 80), "x")), time.Now())
	apply(t, &m, full(toucanmirror.At(2, 95), item("a", toucanmirror.At(2, 80), "x"), item("b", toucanmirror.At(2, 85), "y")), time.Now())
	b, _ := m.Since(toucanmirror.At(1, 90))
	require.True(t, b.Full)
	require.Len(t, b.Items, 2)
	for _, it := range b.Items {
		require.Equal(t, toucanmirror.Era(2), it.Revision.Era(), it.Key)
	}
}

// Guards against an order that seems to be of the earlier era for as long as nobody writes it again, although the copy has it unchanged.
func TestUnchangedItemsAreOfTheNewEraAtOnce(t *testing.T) {
	m := toucanmirror.Mirror{Retention: keepFor(10 * time.Second)}
	apply(t, &m, full(toucanmirror.At(1, 80), item("a", toucanmirror.At(1, 70), "1")), time.Now())
	significant, _, err := m.Apply(full(toucanmirror.At(2, 75), item("a", toucanmirror.At(2, 70), "1")), time.Now())
	require.NoError(t, err)
	require.Equal(t, []toucanmirror.Item{item("a", toucanmirror.At(2, 70), "1")}, significant)
	require.Zero(t, m.LastEraChange().Retained)
}

// Guards against changes that wait, because an era is told for the first time, as by the first host of a later version that is followed.
func TestFirstEraThatIsToldRetainsNothing(t *testing.T) {
	m := toucanmirror.Mirror{Retention: keepFor(10 * time.Second)}
	apply(t, &m, full(80, item("a", 70, "1"), item("b", 60, "1")), time.Now())
	apply(t, &m, full(toucanmirror.At(1, 85), item("a", toucanmirror.At(1, 82), "2")), time.Now())
	require.Equal(t, map[string]string{"a": "2"}, values(&m))
	require.Zero(t, m.LastEraChange())
}
