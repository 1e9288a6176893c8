package toucancanary

import (
	"fmt"
	"math"
	"sync"
	"time"
)

const (
	// A host compares the versions by its own responses when localMinBad of the
	// last localWindow responses of the new version on a route failed or were slow.
	localMinBad = 5
	localWindow = 20
	// localMinSlowShare is the minimum share of slow responses in the window: a slow
	// version slows down nearly all responses, a stall of the host only all legs of
	// a few requests.
	localMinSlowShare = 0.9

	// rollbackPValue is the significance level of a rollback. Sums over all hosts are
	// tested about 1e4 times in a move and single hosts at each failure; with 1e-4
	// for single hosts, 5 of 180 simulated faults of both versions rolled a good
	// version back, and with 1e-8 none of 300.
	rollbackPValue = 1e-8

	// A response is slow above the old version's median times slowFactor, and at
	// least minSlowExcess above the median.
	slowFactor    = 2
	minSlowExcess = 5 * time.Millisecond

	// The median needs medianSamples responses. It covers the responses of the last
	// one to two intervals of histogramRotation, and older ones when there are fewer
	// samples.
	medianSamples     = 4
	histogramRotation = 2 * time.Second

	// maxUnclassified bounds the latencies of a route that are kept until its
	// threshold is known: those of the median and as many of the new version, with
	// room to spare.
	maxUnclassified = 10 * medianSamples

	// histogramBuckets covers latencies up to 2^32 us, about 71 minutes.
	histogramBuckets = 128
	// bucketsPerOctave gives a resolution of 19%, enough for a factor of 2.
	bucketsPerOctave = 4
)

// counts holds the counters of one version; within a stage they only increase.
type counts struct {
	answers, errors, slow uint64
	timed                 uint64 // answers without a failure that are known to be slow or not
	rejected              uint64 // redirects and client errors; part of answers, not of errors
}

func (c counts) minus(o counts) counts {
	return counts{c.answers - o.answers, c.errors - o.errors, c.slow - o.slow, c.timed - o.timed, c.rejected - o.rejected}
}

// merge raises the counters to those of o where these are higher.
func (c counts) merge(o counts) counts {
	return counts{max(c.answers, o.answers), max(c.errors, o.errors), max(c.slow, o.slow), max(c.timed, o.timed), max(c.rejected, o.rejected)}
}

// plus returns the sum of two counts.
func (c counts) plus(o counts) counts {
	return counts{c.answers + o.answers, c.errors + o.errors, c.slow + o.slow, c.timed + o.timed, c.rejected + o.rejected}
}

// countPair holds the counters of both versions over the same interval.
type countPair struct{ old, new counts }

func (p countPair) minus(o countPair) countPair {
	return countPair{p.old.minus(o.old), p.new.minus(o.new)}
}

// windowEntry is a response of the new version, with the old version's counters
// just before it.
type windowEntry struct {
	fail, slow bool
	old        counts
}

// routeStats holds the responses that this host observed on one route.
type routeStats struct {
	mu                sync.Mutex
	totals            countPair
	window            [localWindow]windowEntry
	windowCount       int                         // responses of the new version in this stage; the latest are in window
	windowFailed      int                         // failed responses in window
	windowSlow        int                         // slow responses in window
	histograms        [2][histogramBuckets]uint32 // latencies of the old version: since the last rotation, and from before it
	histogramCounts   [2]uint32                   // sums of the buckets of each histogram
	lastRotation      time.Time                   // of the histograms
	threshold         time.Duration               // above it a response is slow; 0: not known yet
	unclassified      [maxUnclassified]sample     // responses before the threshold was known
	unclassifiedCount int                         // entries in use in unclassified
}

// sample is the latency of a successful response.
type sample struct {
	isNew bool
	took  time.Duration
}

// reset clears the counters for a new stage; the median is kept.
func (r *routeStats) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals, r.windowCount, r.windowFailed, r.windowSlow, r.unclassifiedCount = countPair{}, 0, 0, 0, 0
}

func (r *routeStats) snapshot() countPair {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.totals
}

// observeRejection counts a redirect or a client error. It may be the caller's doing, so that
// one host's responses alone are no reason to roll back.
func (r *routeStats) observeRejection(isNew bool, took time.Duration) string {
	reason := r.observe(isNew, false, took)
	r.mu.Lock()
	defer r.mu.Unlock()
	if isNew {
		r.totals.new.rejected++
	} else {
		r.totals.old.rejected++
	}
	return reason
}

// observe counts a response and returns a reason to roll back, or "". A negative latency
// does not count.
func (r *routeStats) observe(isNew, fail bool, took time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.totals.old
	measured := !fail && took >= 0
	slow := measured && r.threshold > 0 && took > r.threshold
	if isNew {
		c = &r.totals.new
		r.addToWindow(windowEntry{fail, slow, r.totals.old})
	}
	c.answers++
	switch {
	case fail:
		c.errors++
	case measured && r.threshold > 0:
		c.timed++
		c.slow += uint64(boolToInt(slow))
	}
	if measured && r.threshold == 0 && r.unclassifiedCount < maxUnclassified {
		r.unclassified[r.unclassifiedCount] = sample{isNew, took}
		r.unclassifiedCount++
	}
	if !isNew && measured {
		r.histograms[0][bucket(took)]++
		r.histogramCounts[0]++
	}
	// The test runs only for bad responses of the new version, so that overload does
	// not cost a test for each response.
	switch {
	case isNew && fail:
		return r.checkWindow("failed", r.windowFailed, 0, func(c counts) uint64 { return c.errors })
	case isNew && slow:
		return r.checkWindow("were slow", r.windowSlow, localMinSlowShare, func(c counts) uint64 { return c.slow })
	}
	return ""
}

// addToWindow replaces the oldest response of the new version in the window.
func (r *routeStats) addToWindow(n windowEntry) {
	at := &r.window[r.windowCount%localWindow]
	if r.windowCount >= localWindow {
		r.windowFailed -= boolToInt(at.fail)
		r.windowSlow -= boolToInt(at.slow)
	}
	r.windowFailed += boolToInt(n.fail)
	r.windowSlow += boolToInt(n.slow)
	*at = n
	r.windowCount++
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// checkWindow compares the window of the new version with the old version's
// responses over the same interval, if at least minShare of the window was bad. It
// returns a reason to roll back, or "". On a host with a bad network both versions
// fail, which is no reason.
func (r *routeStats) checkWindow(what string, bad int, minShare float64, badCount func(counts) uint64) string {
	if bad < localMinBad {
		return ""
	}
	n, badResponses := min(r.windowCount, localWindow), uint64(bad)
	if float64(bad) < minShare*float64(n) {
		return ""
	}
	first := r.window[0]
	if r.windowCount > localWindow {
		first = r.window[r.windowCount%localWindow]
	}
	old := r.totals.old.minus(first.old)
	if fisherPValue(uint64(n), badResponses, old.answers, badCount(old)) > rollbackPValue {
		return ""
	}
	return fmt.Sprintf("%d of the last %d responses %s, %d of %d of the old version", badResponses, n, what, badCount(old), old.answers)
}

// updateThreshold sets the threshold of slow responses from the old version's
// median and rotates the histograms.
func (r *routeStats) updateThreshold(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := r.histogramCounts[0] + r.histogramCounts[1]
	if total < medianSamples {
		return
	}
	half, sum := (total+1)/2, uint32(0)
	for i := range histogramBuckets {
		if sum += r.histograms[0][i] + r.histograms[1][i]; sum >= half {
			median := bucketMiddle(i)
			r.threshold = max(slowFactor*median, median+minSlowExcess)
			r.classifyUnclassified()
			break
		}
	}
	if r.histogramCounts[0] >= medianSamples && now.Sub(r.lastRotation) >= histogramRotation {
		r.histograms[1], r.histogramCounts[1] = r.histograms[0], r.histogramCounts[0]
		r.histograms[0], r.histogramCounts[0] = [histogramBuckets]uint32{}, 0
		r.lastRotation = now
	}
}

// classifyUnclassified counts the slow ones among the responses that were
// recorded before the threshold was known.
func (r *routeStats) classifyUnclassified() {
	for _, e := range r.unclassified[:r.unclassifiedCount] {
		c := &r.totals.old
		if e.isNew {
			c = &r.totals.new
		}
		c.timed++
		c.slow += uint64(boolToInt(e.took > r.threshold))
	}
	r.unclassifiedCount = 0
}

// bucket returns the index of the histogram bucket of a latency.
func bucket(d time.Duration) int {
	us := max(float64(d)/float64(time.Microsecond), 1)
	return min(int(bucketsPerOctave*math.Log2(us)), histogramBuckets-1)
}

// bucketMiddle returns the geometric middle of a bucket.
func bucketMiddle(i int) time.Duration {
	return time.Duration(math.Exp2((float64(i)+0.5)/bucketsPerOctave) * float64(time.Microsecond))
}

// clusteredPValue is fisherPValue for responses that are correlated in groups of
// legs: a stalled host slows down all legs of a request, which are one observation. An
// incomplete group of bad responses is dropped for the new version and counted in full
// for the old one, so that rounding does not make the new version look worse.
func clusteredPValue(n, a, m, f, legs uint64) float64 {
	roundUpGroups := func(x uint64) uint64 { return (x + legs - 1) / legs }
	return fisherPValue(roundUpGroups(n), a/legs, roundUpGroups(m), roundUpGroups(f))
}

// fisherPValue returns the probability that at least a of n responses of one
// version fail when a+f failures are distributed at random over its n and the
// other's m responses (Fisher's exact test, one-sided).
func fisherPValue(n, a, m, f uint64) float64 {
	k := a + f
	term := math.Exp(logBinomial(k, a) + logBinomial(n+m-k, n-a) - logBinomial(n+m, n))
	sum := term
	for x := a; x < min(n, k); x++ {
		term *= float64(k-x) * float64(n-x) / (float64(x+1) * float64(m+x+1-k))
		sum += term
		if term < sum*1e-9 {
			break
		}
	}
	return min(sum, 1)
}

// logBinomial returns the natural logarithm of the binomial coefficient n choose k.
func logBinomial(n, k uint64) float64 {
	a, _ := math.Lgamma(float64(n) + 1)
	b, _ := math.Lgamma(float64(k) + 1)
	c, _ := math.Lgamma(float64(n-k) + 1)
	return a - b - c
}
