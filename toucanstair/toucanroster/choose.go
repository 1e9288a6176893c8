package toucanroster

import (
	"slices"
	"time"

	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanrules"
)

const (
	// Times to a target and back that are assumed.
	wayZone   = time.Millisecond
	wayRegion = 4 * time.Millisecond
	wayFar    = 26 * time.Millisecond
	// guessWork is the time of a target that is assumed before it was observed.
	guessWork = 10 * time.Millisecond
	// connectWork is the time that a target takes for a new connection.
	connectWork = 6 * time.Millisecond
	// failCost is the latency that one sure failure is worth.
	failCost = 400 * time.Millisecond
	// coldFactor is how much slower a cold target is assumed to be.
	coldFactor = 2
)

// Chooser orders the targets of a service for one request. It has no state
// and uses no network: what it needs is in its fields and arguments.
type Chooser struct {
	Zone   toucanzone.Name
	Region toucanrules.Region
	Places toucanrules.Places
	// Connected reports whether a target can be sent to without a new
	// connection; nil means always.
	Connected func(*Target) bool
}

// Need says which targets of a service a request may go to.
type Need struct {
	Homes    []toucanrules.Region     // regions that may serve it; empty: all
	Out      map[toucanzone.Name]bool // zones that get nothing
	Tried    []toucanreplica.ID       // targets that have got it
	Held     string                   // version of the software that gets nothing; "": none
	Only     string                   // version that it goes to if a target of it can be used; "": any
	ColdRate float64                  // requests a second that a cold target may get from this host; 0: no limit
}

// Choose returns the target with the least expected time to respond and that
// time, or nil when no target may be used. Without a target of the version that
// it should go to, a request goes to another one.
func (c *Chooser) Choose(ts []*Target, n Need, now time.Time) (*Target, time.Duration) {
	if n.Only != "" {
		if t, expect := c.least(ts, n, now); t != nil {
			return t, expect
		}
		n.Only, n.Held = "", n.Only
	}
	return c.least(ts, n.among(ts), now)
}

func (c *Chooser) least(ts []*Target, n Need, now time.Time) (*Target, time.Duration) {
	var best *Target
	var least time.Duration
	for _, t := range ts {
		if !c.allows(t, n) || n.Only != "" && t.Version != n.Only {
			continue
		}
		v := t.Load.View(now)
		if v.Banned || n.ColdRate > 0 && t.Cold(now) && !t.warm.ready(now, n.ColdRate) {
			continue
		}
		if e := c.Expect(t, v, now); best == nil || e < least {
			best, least = t, e
		}
	}
	if best != nil && n.ColdRate > 0 && best.Cold(now) {
		best.warm.take()
	}
	return best, least
}

// Any reports whether a request may go to at least one target, also one that
// is out of reach for a moment.
func (c *Chooser) Any(ts []*Target, n Need) bool {
	n = n.among(ts)
	return slices.ContainsFunc(ts, func(t *Target) bool { return c.allows(t, n) })
}

// among holds back no version where there is no other one.
func (n Need) among(ts []*Target) Need {
	if n.Held != "" && !slices.ContainsFunc(ts, func(t *Target) bool { return t.Version != n.Held }) {
		n.Held = ""
	}
	return n
}

func (c *Chooser) allows(t *Target, n Need) bool {
	switch {
	case n.Out[t.Zone], slices.Contains(n.Tried, t.ID):
		return false
	case n.Held != "" && t.Version == n.Held:
		return false
	case len(n.Homes) > 0 && !slices.Contains(n.Homes, c.Places[t.Zone]):
		return false
	}
	return true
}

// Expect returns the time in which a target is expected to respond, with what
// its failures cost.
func (c *Chooser) Expect(t *Target, v View, now time.Time) time.Duration {
	e := v.Latency
	if e == 0 {
		e = c.Way(t) + guessWork
		if t.Cold(now) {
			e *= coldFactor
		}
	}
	// A target whose oldest exchange is late has paused or is lost.
	e = max(e, v.Oldest)
	if c.Connected != nil && !c.Connected(t) {
		e += c.Way(t) + connectWork
	}
	slots := max(1, t.Slots)
	queue := max(v.Running, v.Waiting)
	e += e * time.Duration(queue) / time.Duration(2*slots)
	return e + time.Duration((v.Failures+v.Refusals/2)*float64(failCost))
}

// Way returns the assumed time to a target and back.
func (c *Chooser) Way(t *Target) time.Duration {
	switch {
	case t.Zone == c.Zone:
		return wayZone
	case c.Places[t.Zone] == c.Region:
		return wayRegion
	}
	return wayFar
}
