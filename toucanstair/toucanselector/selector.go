// Package toucanselector selects the replica for a leg by power of two random choices
// and ejects failing replicas (outlier detection).
package toucanselector

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
)

const (
	// sampleWeight is the weight of a new sample in the moving averages; five failures
	// in a row bring the failure rate from 0 to above ejectThreshold.
	sampleWeight   = 0.15
	ejectThreshold = 0.5

	minEjection = time.Second
	maxEjection = 60 * time.Second

	// reportTTL is how long a report of index versions or draining is used.
	reportTTL = 2 * time.Second
	// inactiveAfter is the time without traffic after which a replica is not counted
	// as active.
	inactiveAfter   = 60 * time.Second
	recountInterval = 5 * time.Second
	// smallFleet is the number of active replicas up to which a failure of half of them
	// is no sign of a fault of this host.
	smallFleet = 2
)

var ejections = metrics.NewCounter("toucan_route_ejections_total")

// Policy is how a replica is selected.
type Policy string

const (
	// PolicyPowerOfTwo selects the better of two random replicas by queue length and
	// latency.
	PolicyPowerOfTwo Policy = ""
	// PolicyRandom selects at random; it is a baseline for measurements.
	PolicyRandom Policy = "random"
)

// Selector selects replicas by the results of earlier legs. The zero value is ready for
// use, with seed 0 and PolicyPowerOfTwo; Policy and Seed must not change after first
// use.
type Selector struct {
	Policy Policy
	Seed   uint64

	randomCounter atomic.Uint64
	replicas      sync.Map     // toucanreplica.ID to *replicaState
	activeCount   atomic.Int64 // replicas with traffic within inactiveAfter
	failingCount  atomic.Int64 // replicas whose failure rate exceeded ejectThreshold
	lastRecount   atomic.Int64 // Unix nanoseconds
}

// Criteria limits the replicas that a leg may go to.
type Criteria struct {
	Index   uint64             // pinned index version, 0 for any
	Version string             // preferred service version label, "" for any
	Exclude []toucanreplica.ID // already tried
}

// LegResult is the result of one leg at a replica.
type LegResult struct {
	Code        toucanpb.Code // CODE_UNSPECIFIED: success
	Duration    time.Duration
	QueueLength int
	Indexes     []uint64 // index versions that the replica serves; nil when not reported
	Draining    bool
}

// replicaState holds what this host observed of one replica.
type replicaState struct {
	mu            sync.Mutex
	queueLength   int     // as last reported by the replica
	inFlight      int     // legs of this host
	latency       float64 // moving average, seconds; 0: no sample yet
	failureRate   float64 // moving average, 0 to 1
	failing       bool    // failureRate exceeded ejectThreshold
	inactive      bool    // no traffic for inactiveAfter
	ejectedUntil  time.Time
	ejections     int  // in a row; sets the length of the next one
	probing       bool // a probe of the ejected replica is in flight
	indexes       []uint64
	indexesUntil  time.Time
	drainingUntil time.Time
	lastResponse  time.Time
}

// candidate is a replica that Select may return.
type candidate struct {
	replica *toucanpb.Replica
	score   float64 // expected time in seconds, queue included; the lowest is the best
	ejected bool
	probe   bool // the ejection time has passed, so the leg is to probe the replica
}

// Select returns a replica for a leg, or nil when none of candidates may serve it. An
// ejected replica is returned only when no other one is left, or to probe it.
func (sel *Selector) Select(candidates []*toucanpb.Replica, criteria Criteria) *toucanpb.Replica {
	now := time.Now()
	sel.recount(now)
	var buffer [8]candidate
	usable := buffer[:0]
	for _, c := range candidates {
		id := toucanreplica.ID(c.GetId())
		if slices.Contains(criteria.Exclude, id) {
			continue
		}
		if v, ok := sel.evaluate(c, id, criteria.Index, now); ok {
			usable = append(usable, v)
		}
	}
	usable = prefer(usable, func(v candidate) bool { return !v.ejected })
	if criteria.Version != "" {
		usable = prefer(usable, func(v candidate) bool { return v.replica.GetVersion() == criteria.Version })
	}
	switch len(usable) {
	case 0:
		return nil
	case 1:
		return usable[0].replica
	}
	for _, v := range usable {
		if v.probe {
			return v.replica
		}
	}
	i := sel.randomN(len(usable))
	if sel.Policy == PolicyRandom {
		return usable[i].replica
	}
	j := sel.randomN(len(usable) - 1)
	if j >= i {
		j++
	}
	if usable[j].score < usable[i].score {
		i = j
	}
	return usable[i].replica
}

// prefer returns the elements that satisfy ok, or all when none does. It reuses vs.
func prefer(vs []candidate, ok func(candidate) bool) []candidate {
	if !slices.ContainsFunc(vs, ok) {
		return vs
	}
	return slices.DeleteFunc(vs, func(v candidate) bool { return !ok(v) })
}

// evaluate returns the candidate of a replica, and whether it may serve the leg.
func (sel *Selector) evaluate(c *toucanpb.Replica, id toucanreplica.ID, index uint64, now time.Time) (candidate, bool) {
	v := candidate{replica: c}
	s := sel.state(id)
	if s == nil {
		return v, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.drainingUntil) {
		return v, false
	}
	if index != 0 && now.Before(s.indexesUntil) && !slices.Contains(s.indexes, index) {
		return v, false
	}
	v.score = float64(s.queueLength+s.inFlight+1) * s.latency
	if s.failing && !s.ejectedUntil.IsZero() && !sel.ejectionDisabled() {
		due := !now.Before(s.ejectedUntil)
		v.ejected = !due || s.probing
		v.probe = due && !s.probing
	}
	return v, true
}

// ejectionDisabled reports whether at least half of the active replicas fail at the
// same time, so that the network of this host is the likely cause. Up to smallFleet
// replicas, more than half must fail.
func (sel *Selector) ejectionDisabled() bool {
	failing, active := sel.failingCount.Load(), sel.activeCount.Load()
	return 2*failing > active || 2*failing == active && active > smallFleet
}

// EjectedCount returns the number of replicas that are ejected now.
func (sel *Selector) EjectedCount() int {
	if sel.ejectionDisabled() {
		return 0
	}
	n, now := 0, time.Now()
	sel.replicas.Range(func(_, v any) bool {
		s := v.(*replicaState)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.failing && now.Before(s.ejectedUntil) {
			n++
		}
		return true
	})
	return n
}

// BeginLeg records that a leg is sent to a replica. Each BeginLeg must be followed by
// one EndLeg.
func (sel *Selector) BeginLeg(id toucanreplica.ID) {
	s := sel.state(id)
	if s == nil {
		v, loaded := sel.replicas.LoadOrStore(id, &replicaState{lastResponse: time.Now()})
		s = v.(*replicaState)
		if !loaded {
			sel.activeCount.Add(1)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	if s.inactive {
		s.inactive = false
		s.lastResponse = time.Now()
		sel.activeCount.Add(1)
	}
	if s.failing && !s.ejectedUntil.IsZero() && !time.Now().Before(s.ejectedUntil) {
		s.probing = true
	}
}

// EndLeg records the result of a leg. It ignores a replica without BeginLeg.
func (sel *Selector) EndLeg(id toucanreplica.ID, result LegResult) {
	s := sel.state(id)
	if s == nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = max(0, s.inFlight-1)
	if result.Indexes != nil {
		s.indexes, s.indexesUntil = result.Indexes, now.Add(reportTTL)
	}
	if result.Draining {
		s.drainingUntil = now.Add(reportTTL)
	}
	took := result.Duration.Seconds()
	switch result.Code {
	case toucanpb.Code_CODE_UNSPECIFIED:
		s.lastResponse = now
		s.queueLength = result.QueueLength
		s.addLatency(took)
		sel.recordSuccess(s)
	case toucanpb.Code_CODE_DOWN, toucanpb.Code_CODE_FAILED, toucanpb.Code_CODE_INVALID, toucanpb.Code_CODE_TIMEOUT:
		s.lastResponse = now
		if took > s.latency {
			s.addLatency(took)
		}
		sel.recordFailure(s, now)
	case toucanpb.Code_CODE_CANCELLED:
		// The leg would have taken at least this long.
		if took > s.latency {
			s.addLatency(took)
		}
		s.probing = false
	case toucanpb.Code_CODE_LEASE:
		// The leg failed at a host or on the way to it, so the result says nothing about
		// the replica and has no queue length.
		s.probing = false
	default:
		// A refusal is no failure of the replica, but reports its queue length.
		s.queueLength = result.QueueLength
		s.probing = false
	}
}

// addLatency adds a sample in seconds to the moving average.
func (s *replicaState) addLatency(took float64) {
	if s.latency == 0 {
		s.latency = took
		return
	}
	s.latency += sampleWeight * (took - s.latency)
}

// recordSuccess lowers the failure rate and readmits the replica when the rate is low
// enough; a successful probe resets the rate. The caller holds the lock of s.
func (sel *Selector) recordSuccess(s *replicaState) {
	if s.probing {
		s.failureRate = 0
	}
	s.probing = false
	s.failureRate -= sampleWeight * s.failureRate
	if s.failing && s.failureRate <= ejectThreshold {
		s.failing = false
		s.ejectedUntil = time.Time{}
		sel.failingCount.Add(-1)
	}
	if !s.failing && s.failureRate < sampleWeight {
		s.ejections = 0
	}
}

// recordFailure raises the failure rate and ejects the replica when the rate is above
// the threshold. The ejection time doubles each time, from minEjection to maxEjection.
// The caller holds the lock of s.
func (sel *Selector) recordFailure(s *replicaState, now time.Time) {
	probe := s.probing
	s.probing = false
	s.failureRate += sampleWeight * (1 - s.failureRate)
	if s.failureRate <= ejectThreshold {
		return
	}
	newlyFailing := !s.failing
	if newlyFailing {
		s.failing = true
		sel.failingCount.Add(1)
	}
	if newlyFailing || probe || !now.Before(s.ejectedUntil) {
		ejection := time.Duration(float64(minEjection) * math.Pow(2, float64(min(s.ejections, 6))))
		s.ejectedUntil = now.Add(min(ejection, maxEjection))
		s.ejections++
		ejections.Inc()
	}
}

func (sel *Selector) state(id toucanreplica.ID) *replicaState {
	if v, ok := sel.replicas.Load(id); ok {
		return v.(*replicaState)
	}
	return nil
}

// recount drops replicas without traffic from the counts, so that removed replicas do
// not influence ejectionDisabled.
func (sel *Selector) recount(now time.Time) {
	last := sel.lastRecount.Load()
	if now.UnixNano()-last < int64(recountInterval) || !sel.lastRecount.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	sel.replicas.Range(func(_, v any) bool {
		s := v.(*replicaState)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.inFlight > 0 || s.inactive || now.Sub(s.lastResponse) < inactiveAfter || now.Before(s.ejectedUntil) {
			return true
		}
		if s.failing {
			s.failing = false
			sel.failingCount.Add(-1)
		}
		s.inactive = true
		s.failureRate, s.ejectedUntil, s.probing = 0, time.Time{}, false
		sel.activeCount.Add(-1)
		return true
	})
}

// randomN returns a number in [0, n) by SplitMix64 of a counter, which needs no lock
// and is reproducible for a seed.
func (sel *Selector) randomN(n int) int {
	x := sel.Seed + sel.randomCounter.Add(1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return int(x % uint64(n))
}
