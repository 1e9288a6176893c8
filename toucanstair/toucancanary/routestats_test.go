package toucancanary

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against slow responses of a new version that are counted as fast because
// they came before the old version's median was known.
func TestResponsesBeforeThresholdAreClassifiedLater(t *testing.T) {
	const usual, slow = 10 * time.Millisecond, 50 * time.Millisecond
	var r routeStats
	for range medianSamples / 2 {
		r.observe(true, false, slow)
		r.observe(false, false, usual)
		r.observe(true, true, slow)
	}
	r.observe(false, false, slow)
	r.updateThreshold(time.Now())
	require.Zero(t, r.snapshot().new.slow, "too few responses for a median")
	for range medianSamples / 2 {
		r.observe(false, false, usual)
	}
	r.updateThreshold(time.Now())
	r.updateThreshold(time.Now())
	require.Equal(t, countPair{
		old: counts{answers: medianSamples + 1, slow: 1},
		new: counts{answers: medianSamples, errors: medianSamples / 2, slow: medianSamples / 2},
	}, r.snapshot())
}

// Guards against a good version that is held at a stage by two slow responses among
// few, or by overload of both versions, and against a bad one that is not held.
func TestStageHoldNeedsSignificance(t *testing.T) {
	for _, c := range []struct {
		name     string
		pair     countPair
		heldBack bool
	}{
		{"two pauses", countPair{old: counts{172, 0, 2}, new: counts{16, 0, 2}}, false},
		{"a third fails", countPair{old: counts{172, 1, 5}, new: counts{33, 11, 0}}, true},
		{"a third is slow", countPair{old: counts{172, 1, 5}, new: counts{33, 0, 11}}, true},
		{"overload", countPair{old: counts{172, 60, 60}, new: counts{33, 14, 14}}, false},
	} {
		held := false
		for _, k := range c.pair.comparisons(1) {
			held = held || k.exceeds(0.1) && k.pValue() < holdPValue
		}
		require.Equal(t, c.heldBack, held, c.name)
	}
}
