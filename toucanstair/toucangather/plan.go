// Package toucangather decides when a gathered response waits for more shards
// and when it is given. It answers the load of routes over many shards, where
// at most moments some replica pauses, is slow or is lost.
package toucangather

import (
	"math"
	"time"
)

// Verdict is what to do with a gathered response now.
type Verdict int

// The verdicts.
const (
	Wait    Verdict = iota // more shards may come in time
	Give                   // respond with the shards that are in
	Abandon                // the least coverage can't be reached any more
)

// Plan follows the shards of one request. Its fields are set before use.
type Plan struct {
	Shards   int
	Coverage float64   // least share of the shards in a response, 0 to 1
	Due      time.Time // when a response leaves with what is in, to be within the objective; zero: only when all are in
	Limit    time.Time // when the request ends

	in   int
	lost int
}

// Arrived counts a shard whose part is in.
func (p *Plan) Arrived() { p.in++ }

// Lost counts a shard whose part can't come any more.
func (p *Plan) Lost() { p.lost++ }

// In returns the number of shards whose part is in.
func (p *Plan) In() int { return p.in }

// Least returns the number of shards that a response needs.
func (p *Plan) Least() int {
	// The margin keeps a share such as 0.89 of 100 from rounding up to 90.
	const margin = 1e-9
	return max(1, int(math.Ceil(p.Coverage*float64(p.Shards)-margin)))
}

// Verdict returns what to do at a moment.
func (p *Plan) Verdict(now time.Time) Verdict {
	enough := p.in >= p.Least()
	switch {
	case p.Shards-p.lost < p.Least():
		return Abandon
	case p.in+p.lost == p.Shards:
		return Give
	case enough && !p.Due.IsZero() && !now.Before(p.Due):
		return Give
	case !now.Before(p.Limit):
		if enough {
			return Give
		}
		return Abandon
	}
	return Wait
}

// Wake returns the next moment at which the verdict may change by itself.
func (p *Plan) Wake(now time.Time) time.Time {
	if !p.Due.IsZero() && now.Before(p.Due) && p.Due.Before(p.Limit) {
		return p.Due
	}
	return p.Limit
}
