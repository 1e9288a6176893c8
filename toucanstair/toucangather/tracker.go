// Package toucangather decides when a gathered response waits for more shards
// and when it is given. It answers the load of routes over many shards, where
// at most moments some replica pauses, is slow or is lost.
package toucangather

import (
	"math"
	"time"
)

// Decision is what to do with a gathered response now.
type Decision int

// The verdicts.
const (
	Wait    Decision = iota // more shards may come in time
	Respond                 // respond with the shards that are in
	Abandon                 // the least coverage can't be reached any more
)

// Tracker follows the shards of one request. Its fields are set before use.
type Tracker struct {
	Shards       int
	MinCoverage  float64   // least share of the shards in a response, 0 to 1
	SoftDeadline time.Time // when a response leaves with what is in, to be within the objective; zero: only when all are in
	Deadline     time.Time // when the request ends

	in   int
	lost int
}

// RecordArrival counts a shard whose part is in.
func (p *Tracker) RecordArrival() { p.in++ }

// RecordLoss counts a shard whose part can't come any more.
func (p *Tracker) RecordLoss() { p.lost++ }

// Received returns the number of shards whose part is in.
func (p *Tracker) Received() int { return p.in }

// MinShards returns the number of shards that a response needs.
func (p *Tracker) MinShards() int {
	// The margin keeps a share such as 0.89 of 100 from rounding up to 90.
	const margin = 1e-9
	return max(1, int(math.Ceil(p.MinCoverage*float64(p.Shards)-margin)))
}

// Decide returns what to do at a moment.
func (p *Tracker) Decide(now time.Time) Decision {
	enough := p.in >= p.MinShards()
	switch {
	case p.Shards-p.lost < p.MinShards():
		return Abandon
	case p.in+p.lost == p.Shards:
		return Respond
	case enough && !p.SoftDeadline.IsZero() && !now.Before(p.SoftDeadline):
		return Respond
	case !now.Before(p.Deadline):
		if enough {
			return Respond
		}
		return Abandon
	}
	return Wait
}

// NextWake returns the next moment at which the verdict may change by itself.
func (p *Tracker) NextWake(now time.Time) time.Time {
	if !p.SoftDeadline.IsZero() && now.Before(p.SoftDeadline) && p.SoftDeadline.Before(p.Deadline) {
		return p.SoftDeadline
	}
	return p.Deadline
}
