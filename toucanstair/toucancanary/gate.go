package toucancanary

import "math"

const (
	// costRatio is what it costs the operators to roll back a good version, as a fraction of
	// what it costs to be done with a bad one.
	costRatio = 0.02
	// finalOdds decides at the deadline, for new versions that are good three times as often
	// as bad. earlyOdds decides before it: the rest of the time brings more responses.
	earlyOdds = costRatio / 4
	finalOdds = 3 * costRatio
	// slowOdds decides on slow responses. Stalls of a host make several slow at once, so
	// that their odds say less than those of failures.
	slowOdds = 10

	// finalRejectionLevel and earlyRejectionLevel are the significance levels at which an
	// excess of rejections holds a move, at its deadline and before it, divided by the number
	// of its routes. Callers that ask for what isn't there get rejections from any version, so
	// that not their share but only the difference between the versions decides. Of good
	// versions, at most finalRejectionLevel are rolled back.
	finalRejectionLevel = 0.04
	earlyRejectionLevel = 0.25

	// minSlowSamples is the number of responses of the new version from which on the odds
	// decide on slow ones. With fewer, the pauses of good versions decide too often.
	minSlowSamples = 12
	// minEarlyTimed is the number of responses whose latency must be known before the deadline.
	minEarlyTimed = 24
	// A version counts as worse from this multiple of the bound of the move on. Slow
	// responses are common with good versions, too.
	worseFailures = 2
	worseSlowness = 3
	// Old versions with smaller shares of bad responses count alike, because few responses
	// don't show that there are none.
	minFailureShare = 0.015
	minSlowShare    = 0.04
)

// badness is the way in which a response is bad.
type badness string

const (
	failures   badness = "failed"
	rejections badness = "rejected"
	slowness   badness = "slow"
)

// gate is what the responses must show for a move to leave its stage.
type gate struct {
	// maxFailureOdds and maxSlowOdds bound the odds that the new version is worse by its
	// failures and by its slow responses. 0: no bound.
	maxFailureOdds, maxSlowOdds float64
	// rejectionLevel is the significance level at which rejections hold the move. 0:
	// holdPValue.
	rejectionLevel float64
	// minTimed is the number of responses of the new version on a route whose latency must
	// be known.
	minTimed uint64
	// acceptClean lets a route pass without a failure of the new version, however few
	// responses there are: it cannot show more.
	acceptClean bool
	// routeShare is the largest share of a route's requests that goes to the new version. A
	// route that gets too few samples by it needs none. 0: each route needs its samples.
	routeShare float64
}

// gate returns the gate of a stage, or the one at the deadline.
func (c *Controller) gate(atDeadline bool) gate {
	switch {
	case !c.EndAtDeadline:
		return gate{}
	case atDeadline:
		return gate{maxFailureOdds: finalOdds, maxSlowOdds: slowOdds, rejectionLevel: finalRejectionLevel, acceptClean: true, routeShare: c.RouteShare}
	}
	return gate{maxFailureOdds: earlyOdds, maxSlowOdds: slowOdds, rejectionLevel: earlyRejectionLevel, minTimed: minEarlyTimed, routeShare: c.RouteShare}
}

// holds reports whether a comparison keeps a move with a bound at its stage.
func (g gate) holds(c comparison, bound float64) bool {
	if c.exceeds(bound) && c.pValue() < holdPValue {
		return true
	}
	switch c.what {
	case rejections:
		return c.exceeds(bound) && c.pValue() < g.rejectionLevel
	case slowness:
		return g.maxSlowOdds > 0 && c.pair.new.answers >= minSlowSamples && c.logWorseOdds(bound) > math.Log(g.maxSlowOdds)
	}
	if g.maxFailureOdds <= 0 {
		return false
	}
	limit := math.Log(g.maxFailureOdds)
	if g.acceptClean {
		clean := c
		clean.newBad = 0
		limit = max(limit, clean.logWorseOdds(bound))
	}
	return c.logWorseOdds(bound) > limit
}

// logWorseOdds returns the natural logarithm of the odds that the new version is worse: how
// many times more probable its responses are if its share of bad ones is higher than the
// old one's by a multiple of the bound than if both shares are equal.
func (c comparison) logWorseOdds(bound float64) float64 {
	excess, share := worseFailures*bound, minFailureShare
	if c.what == slowness {
		excess, share = worseSlowness*bound, minSlowShare
	}
	const maxShare = 0.98
	if c.pair.old.answers > 0 {
		share = min(maxShare, max(share, float64(c.oldBad)/float64(c.pair.old.answers)))
	}
	worse := min(share+excess+relativeExcess*share, (1+maxShare)/2)
	bad := float64(c.newBad / c.legs)
	good := max(0, float64(c.pair.new.answers)/float64(c.legs)-bad)
	return bad*math.Log(worse/share) + good*math.Log((1-worse)/(1-share))
}
