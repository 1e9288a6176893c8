package toucanrank_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanrank"
)

// Guards against the removal of a node moving keys between the remaining nodes.
func TestRankIsStableUnderRemoval(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e"}
	var r toucanrank.Ranker
	for i := range 200 {
		key := fmt.Sprint("replica-", i)
		full := r.Rank(key, nodes)
		less := r.Rank(key, []string{"a", "b", "d", "e"})
		var want []string
		for _, n := range full {
			if n != "c" {
				want = append(want, n)
			}
		}
		require.Equal(t, want, less)
	}
}

// Guards against a skewed distribution, which would give one host most slots.
func TestRankSpreadsKeys(t *testing.T) {
	count := map[string]int{}
	var r toucanrank.Ranker
	for i := range 3000 {
		count[r.Rank(fmt.Sprint(i), []string{"a", "b", "c"})[0]]++
	}
	for n, c := range count {
		require.InDelta(t, 1000, c, 150, "node %s", n)
	}
}

// Guards against traffic shares that differ from the configured ones.
func TestFractionIsUniform(t *testing.T) {
	below := 0
	r := toucanrank.Ranker{Seed: "move"}
	for i := range 10000 {
		u := r.Fraction(fmt.Sprint(i))
		require.GreaterOrEqual(t, u, 0.0)
		require.Less(t, u, 1.0)
		if u < 0.05 {
			below++
		}
	}
	require.InDelta(t, 500, below, 100)
}
