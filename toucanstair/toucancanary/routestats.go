package toucancanary

import (
	"fmt"
	"math"
	"sync"
	"time"
)

const (
	// fastFailures failures or slow responses in the last fastResponses of the
	// new version start the check on one host.
	fastFailures  = 5
	fastResponses = 20
	// fastSlow is the least share of slow responses among the last ones for that:
	// a slow version slows down nearly all, a stall of the host all legs of a few
	// requests.
	fastSlow = 0.9

	// byChance is the probability above which an excess may be chance. Sums are
	// checked about 1e4 times in a move and single hosts at each failure; with
	// 1e-4 for single hosts, 5 of 180 simulated faults of both versions took a
	// good move back, and with 1e-8 none of 300.
	byChance = 1e-8

	slowFactor = 2
	slowExcess = 5 * time.Millisecond

	// A median needs medianSamples; the interval behind it spans from
	// medianSpan to twice that, and more when there are fewer samples.
	medianSamples = 10
	medianSpan    = 2 * time.Second

	// earlyMost is how many responses of a route are kept until its threshold is
	// known, with room for the new version's and the failed ones beside the median's.
	earlyMost = 4 * medianSamples

	buckets = 128
	// perOctave gives a resolution of 19%, which is enough for a factor of 2.
	perOctave = 4
)

// counts are counters of one version; they only rise within a stage.
type counts struct{ answers, errors, slow uint64 }

func (c counts) minus(o counts) counts {
	return counts{c.answers - o.answers, c.errors - o.errors, c.slow - o.slow}
}

// pair holds the counters of both versions over the same interval.
type pair struct{ old, new counts }

func (p pair) minus(o pair) pair { return pair{p.old.minus(o.old), p.new.minus(o.new)} }

// recent is a response of the new version, with the old version's counters
// from just before it.
type recent struct {
	fail, slow bool
	old        counts
}

// route holds what this host observed on one route.
type route struct {
	mu        sync.Mutex
	seen      pair
	last      [fastResponses]recent
	filled    int // responses of the new version, of which the last are in last
	failed    int // failures in last
	slowed    int // slow responses in last
	hist      [2][buckets]uint32
	held      [2]uint32
	rotated   time.Time
	threshold time.Duration     // 0: not known
	early     [earlyMost]sample // responses from before the threshold was known
	kept      int               // of early
}

// sample is the latency of a response.
type sample struct {
	isNew bool
	took  time.Duration
}

// reset starts the counters of a new stage; the median is kept.
func (r *route) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen, r.filled, r.failed, r.slowed, r.kept = pair{}, 0, 0, 0, 0
}

func (r *route) pair() pair {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen
}

// observe counts a response and returns a reason to take the move back, or "".
func (r *route) observe(isNew, fail bool, took time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.seen.old
	slow := !fail && r.threshold > 0 && took > r.threshold
	if isNew {
		c = &r.seen.new
		r.remember(recent{fail, slow, r.seen.old})
	}
	c.answers++
	switch {
	case fail:
		c.errors++
	case slow:
		c.slow++
	}
	if !fail && r.threshold == 0 && r.kept < earlyMost {
		r.early[r.kept] = sample{isNew, took}
		r.kept++
	}
	if !isNew && !fail {
		r.hist[0][bucket(took)]++
		r.held[0]++
	}
	// Checking at new failures and slow responses only keeps overload from
	// costing a test for each response.
	switch {
	case isNew && fail:
		return r.fast("failed", r.failed, 0, func(c counts) uint64 { return c.errors })
	case isNew && slow:
		return r.fast("were slow", r.slowed, fastSlow, func(c counts) uint64 { return c.slow })
	}
	return ""
}

// remember adds a response of the new version to the last ones.
func (r *route) remember(n recent) {
	at := &r.last[r.filled%fastResponses]
	if r.filled >= fastResponses {
		r.failed -= count(at.fail)
		r.slowed -= count(at.slow)
	}
	r.failed += count(n.fail)
	r.slowed += count(n.slow)
	*at = n
	r.filled++
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// fast compares the last responses of the new version with those of the old
// version since the first of them, if at least a share of them was bad. On a host
// with a bad network both fail.
func (r *route) fast(what string, bad int, least float64, of func(counts) uint64) string {
	if bad < fastFailures {
		return ""
	}
	n, fails := min(r.filled, fastResponses), uint64(bad)
	if float64(bad) < least*float64(n) {
		return ""
	}
	first := r.last[0]
	if r.filled > fastResponses {
		first = r.last[r.filled%fastResponses]
	}
	old := r.seen.old.minus(first.old)
	if chance(uint64(n), fails, old.answers, of(old)) > byChance {
		return ""
	}
	return fmt.Sprintf("%d of the last %d responses %s, %d of %d of the old version", fails, n, what, of(old), old.answers)
}

// measure renews the threshold of slow responses from the old version's median.
func (r *route) measure(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := r.held[0] + r.held[1]
	if total < medianSamples {
		return
	}
	half, sum := (total+1)/2, uint32(0)
	for i := range buckets {
		if sum += r.hist[0][i] + r.hist[1][i]; sum >= half {
			median := span(i)
			r.threshold = max(slowFactor*median, median+slowExcess)
			r.judgeEarly()
			break
		}
	}
	if r.held[0] >= medianSamples && now.Sub(r.rotated) >= medianSpan {
		r.hist[1], r.held[1] = r.hist[0], r.held[0]
		r.hist[0], r.held[0] = [buckets]uint32{}, 0
		r.rotated = now
	}
}

// judgeEarly counts the slow ones among the responses from before the threshold
// was known.
func (r *route) judgeEarly() {
	for _, e := range r.early[:r.kept] {
		switch {
		case e.took <= r.threshold:
		case e.isNew:
			r.seen.new.slow++
		default:
			r.seen.old.slow++
		}
	}
	r.kept = 0
}

func bucket(d time.Duration) int {
	us := max(float64(d)/float64(time.Microsecond), 1)
	return min(int(perOctave*math.Log2(us)), buckets-1)
}

// span returns the middle of a bucket.
func span(i int) time.Duration {
	return time.Duration(math.Exp2((float64(i)+0.5)/perOctave) * float64(time.Microsecond))
}

// clustered is chance for responses of which legs at a time are alike: a host that
// stalls slows down all legs of a request, which are one observation.
func clustered(n, a, m, f, legs uint64) float64 {
	up := func(x uint64) uint64 { return (x + legs - 1) / legs }
	return chance(up(n), a/legs, up(m), up(f))
}

// chance returns the probability that at least a of n responses of one version
// fail when a+f failures are spread by chance over its n and the other's m
// responses (Fisher's exact test, one-sided).
func chance(n, a, m, f uint64) float64 {
	k := a + f
	term := math.Exp(choose(k, a) + choose(n+m-k, n-a) - choose(n+m, n))
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

// choose returns the logarithm of a binomial coefficient.
func choose(n, k uint64) float64 {
	a, _ := math.Lgamma(float64(n) + 1)
	b, _ := math.Lgamma(float64(k) + 1)
	c, _ := math.Lgamma(float64(n-k) + 1)
	return a - b - c
}
