package toucanrecord_test

import (
	"bytes"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanstair.example/toucanstair/toucanrecord"
)

// Guards against a result that differs from a sort of all records, including
// duplicates, remainders and responses shorter than one record.
func TestTopKEqualsFullSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		top := toucanrecord.TopK{Limit: rapid.IntRange(0, 12).Draw(t, "limit")}
		var all [][]byte
		for _, part := range rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 70), 0, 6).Draw(t, "parts") {
			top.Add(part)
			for r := range slices.Chunk(part, toucanrecord.Size) {
				if len(r) == toucanrecord.Size {
					all = append(all, r)
				}
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(len(all), top.Limit)], nil)
		require.Equal(t, string(want), string(top.Bytes()))
	})
}
