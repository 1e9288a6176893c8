package toucancanary

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against slow responses of a new version that are counted as fast because
// they came before the old version's median was known.
func TestResponsesBeforeThresholdAreClassifiedLater(t *testing.T) {
	const usual, slow = 10 * time.Millisecond, 50 * time.Millisecond
	var r routeStats
	const usualOnes = medianSamples - 2
	for range usualOnes {
		r.observe(true, false, slow)
		r.observe(false, false, usual)
		r.observe(true, true, slow)
	}
	r.observe(false, false, slow)
	r.updateThreshold(time.Now())
	require.Zero(t, r.snapshot().new.slow, "too few responses for a median")
	require.Zero(t, r.snapshot().new.timed, "too few responses for a median")
	r.observe(false, false, usual)
	r.updateThreshold(time.Now())
	r.updateThreshold(time.Now())
	require.Equal(t, countPair{
		old: counts{answers: usualOnes + 2, slow: 1, timed: usualOnes + 2},
		new: counts{answers: 2 * usualOnes, errors: usualOnes, slow: usualOnes, timed: usualOnes},
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
		{"two pauses", countPair{old: counts{answers: 172, errors: 0, slow: 2, timed: 172}, new: counts{answers: 16, errors: 0, slow: 2, timed: 16}}, false},
		{"a third fails", countPair{old: counts{answers: 172, errors: 1, slow: 5, timed: 172}, new: counts{answers: 33, errors: 11, slow: 0, timed: 33}}, true},
		{"a third is slow", countPair{old: counts{answers: 172, errors: 1, slow: 5, timed: 172}, new: counts{answers: 33, errors: 0, slow: 11, timed: 33}}, true},
		{"overload", countPair{old: counts{answers: 172, errors: 60, slow: 60, timed: 172}, new: counts{answers: 33, errors: 14, slow: 14, timed: 33}}, false},
	} {
		held := false
		for _, k := range c.pair.comparisons(1) {
			held = held || finalGate().holds(k, 0.1)
		}
		require.Equal(t, c.heldBack, held, c.name)
	}
}

// Guards against a latency that does not count, of a cold target or on a new connection, that
// is taken for a fast or a slow response, and against a failure there that is not counted.
func TestUntimedResponsesCountForFailuresOnly(t *testing.T) {
	const usual, slow = 10 * time.Millisecond, 50 * time.Millisecond
	var r routeStats
	for range medianSamples {
		r.observe(false, false, -1)
	}
	r.updateThreshold(time.Now())
	r.observe(true, false, slow)
	require.Zero(t, r.threshold, "no latency is known")
	for range medianSamples {
		r.observe(false, false, usual)
	}
	r.updateThreshold(time.Now())
	r.observe(true, false, -1)
	r.observe(true, true, -1)
	require.Equal(t, countPair{
		old: counts{answers: 2 * medianSamples, timed: medianSamples},
		new: counts{answers: 3, errors: 1, slow: 1, timed: 1},
	}, r.snapshot())
}

// finalGate returns the gate at the deadline of a move that ends there.
func finalGate() gate { return (&Controller{EndAtDeadline: true}).gate(true) }

// binomial returns the probability of each number of bad ones among n responses.
func binomial(n uint64, share float64) []float64 {
	out := make([]float64, n+1)
	for k := range out {
		out[k] = math.Exp(logBinomial(n, uint64(k))) * math.Pow(share, float64(k)) * math.Pow(1-share, float64(n)-float64(k))
	}
	return out
}

// passShare returns how often a route passes the gate at the deadline.
func passShare(what badness, newAnswers, oldAnswers uint64, newShare, oldShare float64) float64 {
	return passShareOf(finalGate(), what, newAnswers, oldAnswers, newShare, oldShare)
}

// passShareOf is passShare for a gate.
func passShareOf(g gate, what badness, newAnswers, oldAnswers uint64, newShare, oldShare float64) float64 {
	pass := 0.0
	for k0, p0 := range binomial(oldAnswers, oldShare) {
		for k, p := range binomial(newAnswers, newShare) {
			c := comparison{what: what, pair: countPair{old: counts{answers: oldAnswers}, new: counts{answers: newAnswers}}, newBad: uint64(k), oldBad: uint64(k0), legs: 1}
			if p0*p > 1e-12 && !g.holds(c, 0.1) {
				pass += p0 * p
			}
		}
	}
	return pass
}

// Guards against a gate that lets more than 1 in 100 bad versions pass or holds more than 1
// in 20 good ones. Completing a bad version breaks a rule, rolling back a good one costs a
// fiftieth of that. The shares are exact.
func TestGateErrorsStayWithinTargets(t *testing.T) {
	const maxBadPassed, maxGoodHeld = 0.01, 0.05
	for _, answers := range []struct{ new, old uint64 }{{45, 50}, {60, 60}, {45, 300}} {
		for _, usual := range []float64{0, 0.002, 0.01, 0.02} {
			require.LessOrEqual(t, passShare(failures, answers.new, answers.old, usual+0.2, usual), maxBadPassed, "%v responses, %v fail", answers, usual)
			require.LessOrEqual(t, 1-passShare(failures, answers.new, answers.old, usual, usual), maxGoodHeld, "%v responses, %v fail", answers, usual)
		}
		for _, usual := range []float64{0, 0.02, 0.04} {
			require.LessOrEqual(t, passShare(slowness, answers.new, answers.old, usual+0.4, usual), maxBadPassed, "%v responses, %v slow", answers, usual)
			require.LessOrEqual(t, 1-passShare(slowness, answers.new, answers.old, usual, usual), maxGoodHeld, "%v responses, %v slow", answers, usual)
		}
	}
}

// Guards against a gate that passes more than 1 in 100 versions that reject two fifths more
// of the requests, or that holds more than 1 in 20 good ones on both routes of a service,
// whatever share of its requests callers get rejected. The shares are exact.
func TestRejectionGateErrorsStayWithinTargets(t *testing.T) {
	const maxBadPassed, maxGoodHeld, routes = 0.01, 0.05, 2
	g := finalGate()
	g.rejectionLevel /= routes
	for _, answers := range []struct{ new, old uint64 }{{45, 50}, {60, 60}, {45, 300}, {25, 150}} {
		for _, usual := range []float64{0, 0.01, 0.05, 0.1, 0.3, 0.5, 0.9} {
			good := passShareOf(g, rejections, answers.new, answers.old, usual, usual)
			require.GreaterOrEqual(t, good*good, 1-maxGoodHeld, "%v responses, %v rejected", answers, usual)
		}
		require.LessOrEqual(t, passShareOf(g, rejections, answers.new, answers.old, 0.4, 0), maxBadPassed, "%v responses", answers)
	}
	require.LessOrEqual(t, passShareOf(g, rejections, 60, 300, 0.46, 0.1), maxBadPassed)
}

// Guards against failures that hide rejections: while the old version is overloaded, few of
// its responses are rejected.
func TestRejectionsAreComparedAmongAnswersThatDidNotFail(t *testing.T) {
	p := countPair{old: counts{answers: 300, errors: 200, rejected: 40}, new: counts{answers: 60, rejected: 24}}
	for _, c := range p.comparisons(1) {
		if c.what == rejections {
			require.False(t, c.exceeds(0.1), "two fifths are rejected by both: %v", c)
		}
	}
}

// Guards against one host's rejections, which may be one caller's, that roll back a move
// before those of the other hosts are known.
func TestRejectionsOfOneHostAreNoReason(t *testing.T) {
	r := &routeStats{}
	for range 200 {
		require.Empty(t, r.observe(false, false, time.Millisecond))
	}
	for range 20 {
		require.Empty(t, r.observeRejection(true, time.Millisecond))
	}
	require.Equal(t, uint64(20), r.snapshot().new.rejected)
	require.Zero(t, r.snapshot().new.errors)
}

// Guards against a rare route on which a good version can never pass.
func TestGatePassesFewResponsesWithoutFailure(t *testing.T) {
	for n := range uint64(30) {
		c := comparison{what: failures, pair: countPair{old: counts{answers: 40}, new: counts{answers: n}}, legs: 1}
		require.False(t, finalGate().holds(c, 0.1), "%d responses", n)
		c.newBad = 1
		require.Equal(t, n > 0 && n < 20, n > 0 && n < 20 && finalGate().holds(c, 0.1), "%d responses, one failed", n)
	}
}
