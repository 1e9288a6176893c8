package toucanbalancer

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

// Picker orders the targets of a service for one request. It has no state
// and uses no network: what it needs is in its fields and arguments.
type Picker struct {
	Zone        toucanzone.Name
	Region      toucanrules.Region
	ZoneRegions toucanrules.ZoneRegions
	// HasConnection reports whether a target can be sent to without a new
	// connection; nil means always.
	HasConnection func(*Target) bool
}

// Constraints says which targets of a service a request may go to.
type Constraints struct {
	AllowedRegions   []toucanrules.Region     // regions that may serve it; empty: all
	ExcludedZones    map[toucanzone.Name]bool // zones that get nothing
	ExcludedTargets  []toucanreplica.ID       // targets that have got it
	ExcludedVersion  string                   // version of the software that gets nothing; "": none
	PreferredVersion string                   // version that it goes to if a target of it can be used; "": any
	ColdRateLimit    float64                  // requests a second that a cold target may get from this host; 0: no limit
}

// Pick returns the target with the least expected time to respond and that
// time, or nil when no target may be used. Without a target of the version that
// it should go to, a request goes to another one.
func (c *Picker) Pick(ts []*Target, n Constraints, now time.Time) (*Target, time.Duration) {
	if n.PreferredVersion != "" {
		if t, expect := c.least(ts, n, now); t != nil {
			return t, expect
		}
		n.PreferredVersion, n.ExcludedVersion = "", n.PreferredVersion
	}
	return c.least(ts, n.among(ts), now)
}

func (c *Picker) least(ts []*Target, n Constraints, now time.Time) (*Target, time.Duration) {
	var best *Target
	var least time.Duration
	for _, t := range ts {
		if !c.allows(t, n) || n.PreferredVersion != "" && t.Version != n.PreferredVersion {
			continue
		}
		v := t.Stats.Snapshot(now)
		if v.Paused || n.ColdRateLimit > 0 && t.IsCold(now) && !t.warm.ready(now, n.ColdRateLimit) {
			continue
		}
		if e := c.ExpectedLatency(t, v, now); best == nil || e < least {
			best, least = t, e
		}
	}
	if best != nil && n.ColdRateLimit > 0 && best.IsCold(now) {
		best.warm.take()
	}
	return best, least
}

// AnyAllowed reports whether a request may go to at least one target, also one that
// is out of reach for a moment.
func (c *Picker) AnyAllowed(ts []*Target, n Constraints) bool {
	n = n.among(ts)
	return slices.ContainsFunc(ts, func(t *Target) bool { return c.allows(t, n) })
}

// among holds back no version where there is no other one.
func (n Constraints) among(ts []*Target) Constraints {
	if n.ExcludedVersion != "" && !slices.ContainsFunc(ts, func(t *Target) bool { return t.Version != n.ExcludedVersion }) {
		n.ExcludedVersion = ""
	}
	return n
}

func (c *Picker) allows(t *Target, n Constraints) bool {
	switch {
	case n.ExcludedZones[t.Zone], slices.Contains(n.ExcludedTargets, t.ID):
		return false
	case n.ExcludedVersion != "" && t.Version == n.ExcludedVersion:
		return false
	case len(n.AllowedRegions) > 0 && !slices.Contains(n.AllowedRegions, c.ZoneRegions[t.Zone]):
		return false
	}
	return true
}

// ExpectedLatency returns the time in which a target is expected to respond, with what
// its failures cost.
func (c *Picker) ExpectedLatency(t *Target, v StatsSnapshot, now time.Time) time.Duration {
	e := v.Latency
	if e == 0 {
		e = c.RTT(t) + guessWork
		if t.IsCold(now) {
			e *= coldFactor
		}
	}
	// A target whose oldest exchange is late has paused or is lost.
	e = max(e, v.OldestAge)
	if c.HasConnection != nil && !c.HasConnection(t) {
		e += c.RTT(t) + connectWork
	}
	slots := max(1, t.Slots)
	queue := max(v.InFlight, v.QueueLength)
	e += e * time.Duration(queue) / time.Duration(2*slots)
	return e + time.Duration((v.Failures+v.Refusals/2)*float64(failCost))
}

// RTT returns the assumed time to a target and back.
func (c *Picker) RTT(t *Target) time.Duration {
	switch {
	case t.Zone == c.Zone:
		return wayZone
	case c.ZoneRegions[t.Zone] == c.Region:
		return wayRegion
	}
	return wayFar
}
