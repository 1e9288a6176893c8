package toucanmerge_test

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanmerge"
)

// Guards against a result that depends on the order of arrival, repeats an id or
// lacks one of the best items, by comparison with a sort of all items.
func TestMergerEqualsFullSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		item := rapid.Custom(func(t *rapid.T) *toucanpb.Item {
			return &toucanpb.Item{
				Id:    rapid.StringMatching(`[a-f]{1,2}`).Draw(t, "id"),
				Score: float64(rapid.IntRange(0, 9).Draw(t, "score")),
			}
		})
		lists := rapid.SliceOf(rapid.SliceOf(item)).Draw(t, "lists")
		limit := rapid.IntRange(0, 12).Draw(t, "limit")

		best := map[string]float64{}
		for _, it := range slices.Concat(lists...) {
			if s, ok := best[it.Id]; !ok || it.Score > s {
				best[it.Id] = it.Score
			}
		}
		want := []string{}
		for id := range best {
			want = append(want, id)
		}
		slices.SortFunc(want, func(a, b string) int {
			return cmp.Or(cmp.Compare(best[b], best[a]), cmp.Compare(a, b))
		})
		want = want[:min(limit, len(want))]

		m := toucanmerge.New(limit)
		var wg sync.WaitGroup
		for _, l := range lists {
			wg.Go(func() { m.Add(l) })
		}
		wg.Wait()
		got := []string{}
		for _, it := range m.Items() {
			got = append(got, it.Id)
			require.InDelta(t, best[it.Id], it.Score, 0)
		}
		require.Equal(t, want, got)
	})
}

func BenchmarkMerge180x10(b *testing.B) {
	lists := make([][]*toucanpb.Item, 180)
	for i := range lists {
		for j := range 10 {
			lists[i] = append(lists[i], &toucanpb.Item{Id: fmt.Sprint(i, "-", j), Score: float64((i*37+j*101)%1000) / 10})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		m := toucanmerge.New(10)
		for _, l := range lists {
			m.Add(l)
		}
		m.Items()
	}
}
