// Package toucangather decides when a gathered response waits for more shards
// and when it is sent. On routes over many shards, some replica is stalled, slow
// or lost at almost any time, so a response may leave without all shards.
package toucangather

import (
	"math"
	"time"
)

// Decision is what to do with a gathered response now.
type Decision int

// The decisions.
const (
	Wait    Decision = iota // more shards may respond in time
	Respond                 // respond with the shards received so far
	Abandon                 // the minimum coverage can't be reached any more
)

// Tracker tracks the shards of one request. Its fields are set before use.
type Tracker struct {
	Shards       int
	MinCoverage  float64   // least fraction of the shards in a response, 0 to 1
	SoftDeadline time.Time // when a partial response is sent, to meet the latency objective; zero: not before Deadline
	Deadline     time.Time // end of the request

	received int
	lost     int
}

// RecordArrival counts a shard whose response has arrived.
func (t *Tracker) RecordArrival() { t.received++ }

// RecordLoss counts a shard that can't respond any more.
func (t *Tracker) RecordLoss() { t.lost++ }

// Received returns the number of shards whose response has arrived.
func (t *Tracker) Received() int { return t.received }

// Remaining returns the number of shards that have responded or still can.
func (t *Tracker) Remaining() int { return t.Shards - t.lost }

// MinShards returns the number of shards that a response needs, at least 1.
func (t *Tracker) MinShards() int {
	// The margin keeps floating-point error from rounding up a whole number of
	// shards: 0.07 of 100 is 7.000000000000001.
	const margin = 1e-9
	return max(1, int(math.Ceil(t.MinCoverage*float64(t.Shards)-margin)))
}

// Decide returns what to do at the given time.
func (t *Tracker) Decide(now time.Time) Decision {
	covered := t.received >= t.MinShards()
	switch {
	case t.Shards-t.lost < t.MinShards():
		return Abandon
	case t.received+t.lost == t.Shards:
		return Respond
	case covered && !t.SoftDeadline.IsZero() && !now.Before(t.SoftDeadline):
		return Respond
	case !now.Before(t.Deadline):
		if covered {
			return Respond
		}
		return Abandon
	}
	return Wait
}

// NextWake returns when the decision may next change without an arrival or a
// loss.
func (t *Tracker) NextWake(now time.Time) time.Time {
	if !t.SoftDeadline.IsZero() && now.Before(t.SoftDeadline) && t.SoftDeadline.Before(t.Deadline) {
		return t.SoftDeadline
	}
	return t.Deadline
}
