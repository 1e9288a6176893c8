package toucancanary

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against slow responses of a new version that count as good because they
// came before the old version's median was known.
func TestResponsesBeforeThresholdAreClassifiedLater(t *testing.T) {
	const usual, slow = 10 * time.Millisecond, 50 * time.Millisecond
	var r route
	for range medianSamples / 2 {
		r.observe(true, false, slow)
		r.observe(false, false, usual)
		r.observe(true, true, slow)
	}
	r.observe(false, false, slow)
	r.measure(time.Now())
	require.Zero(t, r.pair().new.slow, "too few responses for a median")
	for range medianSamples / 2 {
		r.observe(false, false, usual)
	}
	r.measure(time.Now())
	r.measure(time.Now())
	require.Equal(t, pair{
		old: counts{answers: medianSamples + 1, slow: 1},
		new: counts{answers: medianSamples, errors: medianSamples / 2, slow: medianSamples / 2},
	}, r.pair())
}

// Guards against a sound version that is held back by two pauses among few
// responses, and against a bad one that is not.
func TestStageHoldNeedsSignificance(t *testing.T) {
	for _, c := range []struct {
		name     string
		pair     pair
		heldBack bool
	}{
		{"two pauses", pair{old: counts{172, 0, 2}, new: counts{16, 0, 2}}, false},
		{"a third fails", pair{old: counts{172, 1, 5}, new: counts{33, 11, 0}}, true},
		{"a third is slow", pair{old: counts{172, 1, 5}, new: counts{33, 0, 11}}, true},
		{"overload", pair{old: counts{172, 60, 60}, new: counts{33, 14, 14}}, false},
	} {
		held := false
		for _, k := range c.pair.comparisons(1) {
			held = held || k.exceeds(0.1) && k.chance() < holdChance
		}
		require.Equal(t, c.heldBack, held, c.name)
	}
}
