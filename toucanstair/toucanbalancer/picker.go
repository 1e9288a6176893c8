package toucanbalancer

import (
	"slices"
	"time"

	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanrules"
)

const (
	// Assumed round-trip times to a target in this zone, in another zone of this
	// region, and in another region.
	rttZone   = time.Millisecond
	rttRegion = 4 * time.Millisecond
	rttRemote = 26 * time.Millisecond
	// defaultServiceTime is the time that a target without observations is assumed to
	// need for a request.
	defaultServiceTime = 10 * time.Millisecond
	// connectCost is the time that a target needs to accept a new connection, without
	// the round trip.
	connectCost = 6 * time.Millisecond
	// failureCost is added to the expected latency, times the probability of failure.
	failureCost = 400 * time.Millisecond
	// coldFactor is how many times slower a cold target is assumed to be.
	coldFactor = 2
)

// Picker selects the target of a service for a request. It keeps no state and uses no
// network.
type Picker struct {
	Zone        toucanzone.Name
	Region      toucanrules.Region
	ZoneRegions toucanrules.ZoneRegions
	// HasConnection reports whether there is an idle connection to a target; nil means
	// always.
	HasConnection func(*Target) bool
}

// Constraints limits the targets of a service that a request may go to.
type Constraints struct {
	AllowedRegions   []toucanrules.Region     // regions that may serve the request; empty: all
	ExcludedZones    map[toucanzone.Name]bool // zones that get no requests
	ExcludedTargets  []toucanreplica.ID       // targets that were already tried
	ExcludedVersion  string                   // software version that gets no requests; "": none
	PreferredVersion string                   // software version to use if one of its targets is available; "": any
	ColdRateLimit    float64                  // requests per second from this host to a cold target; 0: no limit
}

// Pick returns the target with the lowest expected latency and that latency, or nil
// when no target is available. Without an available target of PreferredVersion, it
// picks one of another version.
func (c *Picker) Pick(ts []*Target, n Constraints, now time.Time) (*Target, time.Duration) {
	if n.PreferredVersion != "" {
		if t, expect := c.fastest(ts, n, now); t != nil {
			return t, expect
		}
		n.PreferredVersion, n.ExcludedVersion = "", n.PreferredVersion
	}
	return c.fastest(ts, n.relaxedFor(ts), now)
}

// fastest returns the allowed target with the lowest expected latency that is neither
// paused nor over its cold limit, or nil. It takes a token of the cold limit.
func (c *Picker) fastest(ts []*Target, n Constraints, now time.Time) (*Target, time.Duration) {
	var best *Target
	var least time.Duration
	for _, t := range ts {
		if !c.allowed(t, n) || n.PreferredVersion != "" && t.Version != n.PreferredVersion {
			continue
		}
		v := t.Stats.Snapshot(now)
		if v.Paused || n.ColdRateLimit > 0 && t.IsCold(now) && !t.coldLimit.available(now, n.ColdRateLimit) {
			continue
		}
		if e := c.ExpectedLatency(t, v, now); best == nil || e < least {
			best, least = t, e
		}
	}
	if best != nil && n.ColdRateLimit > 0 && best.IsCold(now) {
		best.coldLimit.take()
	}
	return best, least
}

// AnyAllowed reports whether a request may go to at least one target, even if the
// target is paused or over its cold limit now.
func (c *Picker) AnyAllowed(ts []*Target, n Constraints) bool {
	n = n.relaxedFor(ts)
	return slices.ContainsFunc(ts, func(t *Target) bool { return c.allowed(t, n) })
}

// relaxedFor drops ExcludedVersion when all targets have that version.
func (n Constraints) relaxedFor(ts []*Target) Constraints {
	if n.ExcludedVersion != "" && !slices.ContainsFunc(ts, func(t *Target) bool { return t.Version != n.ExcludedVersion }) {
		n.ExcludedVersion = ""
	}
	return n
}

func (c *Picker) allowed(t *Target, n Constraints) bool {
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

// ExpectedLatency returns the expected time to a response of a target, including the
// cost of its queue and of its failures.
func (c *Picker) ExpectedLatency(t *Target, v StatsSnapshot, now time.Time) time.Duration {
	e := v.Latency
	if e == 0 {
		e = c.RTT(t) + defaultServiceTime
		if t.IsCold(now) {
			e *= coldFactor
		}
	}
	// A target whose oldest exchange takes longer than usual is paused or lost.
	e = max(e, v.OldestAge)
	if c.HasConnection != nil && !c.HasConnection(t) {
		e += c.RTT(t) + connectCost
	}
	slots := max(1, t.Slots)
	queue := max(v.InFlight, v.QueueLength)
	e += e * time.Duration(queue) / time.Duration(2*slots)
	return e + time.Duration((v.Failures+v.Refusals/2)*float64(failureCost))
}

// RTT returns the assumed round-trip time to a target.
func (c *Picker) RTT(t *Target) time.Duration {
	switch {
	case t.Zone == c.Zone:
		return rttZone
	case c.ZoneRegions[t.Zone] == c.Region:
		return rttRegion
	}
	return rttRemote
}
