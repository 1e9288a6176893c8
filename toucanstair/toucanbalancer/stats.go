package toucanbalancer

import (
	"math"
	"sync"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 0.2
	// halfLife is the half-life of the failure and refusal rates. Latency decays more
	// slowly. Decay lets a target that failed or was slow be tried again.
	halfLife = 2 * time.Second
	// minPause and maxPause bound the time without requests after a failed connection.
	minPause = 300 * time.Millisecond
	maxPause = 2 * time.Second
	// maxQueueAge is the age from which a reported queue length is ignored.
	maxQueueAge = 300 * time.Millisecond
)

// Stats holds what this host observed of one target. An exchange is a request to the
// target and its response. The zero value is ready for use.
type Stats struct {
	mu            sync.Mutex
	latency       time.Duration // moving average of complete responses; 0: none yet
	deviation     time.Duration // moving average of the deviation from latency
	failureRate   float64       // moving average, 0 to 1
	refusalRate   float64       // moving average, 0 to 1
	decayedAt     time.Time
	inFlight      map[uint64]time.Time
	lastNumber    uint64
	queueLength   int // reported by the target
	queueReported time.Time
	pausedUntil   time.Time
	pauses        int       // since the last complete response; sets the length of the next one
	refusingUntil time.Time // end of the time for which the target asked for no requests
}

// StatsSnapshot is a copy of Stats at one moment.
type StatsSnapshot struct {
	Latency     time.Duration // 0: nothing observed
	Deviation   time.Duration
	FailureRate float64       // 0 to 1
	RefusalRate float64       // 0 to 1
	InFlight    int           // exchanges of this host with the target
	OldestAge   time.Duration // age of the oldest exchange in flight
	QueueLength int           // waiting requests as last reported by the target; 0 when that is stale
	Paused      bool
}

// Begin records the start of an exchange and returns its number for End.
func (s *Stats) Begin(now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight == nil {
		s.inFlight = make(map[uint64]time.Time)
	}
	s.lastNumber++
	s.inFlight[s.lastNumber] = now
	return s.lastNumber
}

// End records that an exchange is no longer in flight. The result is recorded
// separately.
func (s *Stats) End(n uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, n)
}

// RecordSuccess records a complete response and ends a pause.
func (s *Stats) RecordSuccess(now time.Time, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	if s.latency == 0 {
		s.latency, s.deviation = took, took/2
	} else {
		d := max(took-s.latency, s.latency-took)
		s.latency += time.Duration(sampleWeight * float64(took-s.latency))
		s.deviation += time.Duration(sampleWeight * float64(d-s.deviation))
	}
	s.failureRate *= 1 - sampleWeight
	s.refusalRate *= 1 - sampleWeight
	s.pauses, s.pausedUntil = 0, time.Time{}
}

// RecordTimeout records that an exchange was given up after a time without a response.
func (s *Stats) RecordTimeout(now time.Time, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	if after > s.latency {
		s.latency += time.Duration(sampleWeight * float64(after-s.latency))
	}
}

// RecordFailure records an exchange that failed at the target.
func (s *Stats) RecordFailure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.failureRate += sampleWeight * (1 - s.failureRate)
}

// RecordRefusal records that the target refused to run a request.
func (s *Stats) RecordRefusal(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.refusalRate += sampleWeight * (1 - s.refusalRate)
}

// RecordConnectFailure records that no connection could be made and pauses the target.
// The pause doubles each time, up to maxPause.
func (s *Stats) RecordConnectFailure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.failureRate += sampleWeight * (1 - s.failureRate)
	if now.Before(s.pausedUntil) {
		return
	}
	s.pausedUntil = now.Add(min(maxPause, minPause<<min(s.pauses, 4)))
	s.pauses++
}

// RecordRequestedPause records that the target asked this host for no requests for a
// time. Unlike the pause after a failed connection, a response does not end it.
func (s *Stats) RecordRequestedPause(now time.Time, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := now.Add(d); until.After(s.refusingUntil) {
		s.refusingUntil = until
	}
}

// RequestedPauseEnd returns the end of the last pause that the target asked for, or the
// zero time.
func (s *Stats) RequestedPauseEnd() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusingUntil
}

func (s *Stats) pauseEnd() time.Time {
	if s.refusingUntil.After(s.pausedUntil) {
		return s.refusingUntil
	}
	return s.pausedUntil
}

// RecordQueueLength records the number of waiting requests that the target reported.
func (s *Stats) RecordQueueLength(now time.Time, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queueLength, s.queueReported = waiting, now
}

// Snapshot returns the statistics at now.
func (s *Stats) Snapshot(now time.Time) StatsSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	snap := StatsSnapshot{
		Latency: s.latency, Deviation: s.deviation, FailureRate: s.failureRate, RefusalRate: s.refusalRate,
		InFlight: len(s.inFlight), Paused: now.Before(s.pauseEnd()),
	}
	for _, at := range s.inFlight {
		snap.OldestAge = max(snap.OldestAge, now.Sub(at))
	}
	if now.Sub(s.queueReported) < maxQueueAge {
		snap.QueueLength = s.queueLength
	}
	return snap
}

// decay reduces the averages for each quarter of halfLife since the last call.
func (s *Stats) decay(now time.Time) {
	if s.decayedAt.IsZero() {
		s.decayedAt = now
		return
	}
	steps := int(now.Sub(s.decayedAt) / (halfLife / 4))
	if steps <= 0 {
		return
	}
	s.decayedAt = s.decayedAt.Add(time.Duration(steps) * halfLife / 4)
	s.failureRate *= math.Pow(rateDecay, float64(steps))
	s.refusalRate *= math.Pow(rateDecay, float64(steps))
	s.latency = time.Duration(float64(s.latency) * math.Pow(latencyDecay, float64(steps)))
}

const (
	rateDecay    = 0.841 // fourth root of 0.5
	latencyDecay = 0.97  // for each quarter of halfLife: a half-life of about 11 s
)

// copyFrom copies all observations except the exchanges in flight.
func (s *Stats) copyFrom(o *Stats) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s.latency, s.deviation, s.failureRate, s.refusalRate = o.latency, o.deviation, o.failureRate, o.refusalRate
	s.decayedAt, s.queueLength, s.queueReported = o.decayedAt, o.queueLength, o.queueReported
	s.pausedUntil, s.pauses, s.refusingUntil = o.pausedUntil, o.pauses, o.refusingUntil
}
