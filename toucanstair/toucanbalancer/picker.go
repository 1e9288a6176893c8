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
// picks one of another version. It takes a token of the cold limit of a cold target.
func (p *Picker) Pick(ts []*Target, cons Constraints, now time.Time) (*Target, time.Duration) {
	best, latency := p.Estimate(ts, cons, now)
	if best != nil && cons.ColdRateLimit > 0 && best.IsCold(now) {
		best.coldLimit.take()
	}
	return best, latency
}

// Estimate returns what Pick would return, without taking a token.
func (p *Picker) Estimate(ts []*Target, cons Constraints, now time.Time) (*Target, time.Duration) {
	if cons.PreferredVersion != "" {
		if t, latency := p.fastest(ts, cons, now); t != nil {
			return t, latency
		}
		cons.PreferredVersion, cons.ExcludedVersion = "", cons.PreferredVersion
	}
	return p.fastest(ts, cons.relaxedFor(ts), now)
}

// fastest returns the allowed target with the lowest expected latency that is neither
// paused nor over its cold limit, or nil.
func (p *Picker) fastest(ts []*Target, cons Constraints, now time.Time) (*Target, time.Duration) {
	var best *Target
	var bestLatency time.Duration
	for _, t := range ts {
		if !p.allowed(t, cons) || t.mayHaveEnded(now) || cons.PreferredVersion != "" && t.Version != cons.PreferredVersion {
			continue
		}
		snap := t.Stats.Snapshot(now)
		if snap.Paused || cons.ColdRateLimit > 0 && t.IsCold(now) && !t.coldLimit.available(now, cons.ColdRateLimit) {
			continue
		}
		if latency := p.ExpectedLatency(t, snap, now); best == nil || latency < bestLatency {
			best, bestLatency = t, latency
		}
	}
	return best, bestLatency
}

// AvailableAt returns when the pause ends that the first of the targets to which a request
// may go has asked for: now, if one has asked for none. It reports false if the request
// may go to none. The pause after a failed connection does not count, since it may end
// earlier, and another host may reach the target.
func (p *Picker) AvailableAt(ts []*Target, cons Constraints, now time.Time) (time.Time, bool) {
	cons = cons.relaxedFor(ts)
	var first time.Time
	for _, t := range ts {
		if !p.allowed(t, cons) || t.mayHaveEnded(now) {
			continue
		}
		at := t.Stats.RequestedPauseEnd()
		if !now.Before(at) {
			return now, true
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// relaxedFor drops ExcludedVersion when all targets have that version.
func (cons Constraints) relaxedFor(ts []*Target) Constraints {
	if cons.ExcludedVersion != "" && !slices.ContainsFunc(ts, func(t *Target) bool { return t.Version != cons.ExcludedVersion }) {
		cons.ExcludedVersion = ""
	}
	return cons
}

func (p *Picker) allowed(t *Target, cons Constraints) bool {
	switch {
	case cons.ExcludedZones[t.Zone], slices.Contains(cons.ExcludedTargets, t.ID):
		return false
	case cons.ExcludedVersion != "" && t.Version == cons.ExcludedVersion:
		return false
	case len(cons.AllowedRegions) > 0 && !slices.Contains(cons.AllowedRegions, p.ZoneRegions[t.Zone]):
		return false
	}
	return true
}

// ExpectedLatency returns the expected time to a response of a target, including the
// cost of its queue and of its failures.
func (p *Picker) ExpectedLatency(t *Target, snap StatsSnapshot, now time.Time) time.Duration {
	latency := snap.Latency
	if latency == 0 {
		latency = p.RTT(t) + defaultServiceTime
		if t.IsCold(now) {
			latency *= coldFactor
		}
	}
	// A target whose oldest exchange takes longer than usual may be stalled or lost.
	latency = max(latency, snap.OldestAge)
	if p.HasConnection != nil && !p.HasConnection(t) {
		latency += p.RTT(t) + connectCost
	}
	slots := max(1, t.Slots)
	queue := max(snap.InFlight, snap.QueueLength)
	latency += latency * time.Duration(queue) / time.Duration(2*slots)
	return latency + time.Duration((snap.FailureRate+snap.RefusalRate/2)*float64(failureCost))
}

// RTT returns the assumed round-trip time to a target.
func (p *Picker) RTT(t *Target) time.Duration {
	switch {
	case t.Zone == p.Zone:
		return rttZone
	case p.ZoneRegions[t.Zone] == p.Region:
		return rttRegion
	}
	return rttRemote
}
