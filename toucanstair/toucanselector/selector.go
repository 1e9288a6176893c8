// Package toucanselector selects the replica for a leg.
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
	// weight of a new sample in the averages; five failures in a row bring the
	// failure average from 0 to over failLimit.
	weight    = 0.15
	failLimit = 0.5

	ejectBase = time.Second
	ejectMost = 60 * time.Second

	// What was learnt about versions and draining is asked again after this.
	stale = 2 * time.Second
	// A replica without traffic for this long does not count as seen.
	forget  = 60 * time.Second
	recount = 5 * time.Second
	// fewSeen is the number of replicas up to which one failure is no sign of a
	// fault of this host.
	fewSeen = 2
)

var ejections = metrics.NewCounter("toucan_route_ejections_total")

// Policy says how a replica is selected.
type Policy string

const (
	// PolicyPowerOfTwo is power of two random choices by queue and latency.
	PolicyPowerOfTwo Policy = ""
	// PolicyRandom selects at random, as a baseline for measurements.
	PolicyRandom Policy = "random"
)

// Selector selects replicas by what it observed. The zero value works with
// seed 0 and PolicyLoad; Policy and Seed must not change after first use.
type Selector struct {
	Policy Policy
	Seed   uint64

	draws    atomic.Uint64
	replicas sync.Map // toucanreplica.ID to *state
	seen     atomic.Int64
	failing  atomic.Int64
	counted  atomic.Int64 // Unix nanoseconds of the last recount
}

// Criteria says what a replica must serve.
type Criteria struct {
	Index   uint64             // pinned index version, 0 for any
	Version string             // preferred service version label, "" for any
	Exclude []toucanreplica.ID // already tried
}

// LegResult is the end of one leg at a replica.
type LegResult struct {
	Code        toucanpb.Code
	Duration    time.Duration
	QueueLength int
	Indexes     []uint64 // versions served, nil when not told
	Draining    bool
}

type state struct {
	mu        sync.Mutex
	queue     int
	running   int // legs of this host
	latency   float64
	failures  float64
	failing   bool
	forgotten bool
	ejected   time.Time
	ejections int
	probing   bool
	indexes   []uint64
	indexed   time.Time
	draining  time.Time
	heard     time.Time
}

// view is what a choice needs of a state.
type view struct {
	replica *toucanpb.Replica
	score   float64
	ejected bool
	probe   bool
}

// Select returns a replica for a leg, or nil when no candidate may serve it.
// An ejected replica is returned only when no other candidate is left.
func (r *Selector) Select(candidates []*toucanpb.Replica, w Criteria) *toucanpb.Replica {
	now := time.Now()
	r.recount(now)
	var room [8]view
	usable := room[:0]
	for _, c := range candidates {
		id := toucanreplica.ID(c.GetId())
		if slices.Contains(w.Exclude, id) {
			continue
		}
		if v, ok := r.inspect(c, id, w.Index, now); ok {
			usable = append(usable, v)
		}
	}
	usable = prefer(usable, func(v view) bool { return !v.ejected })
	if w.Version != "" {
		usable = prefer(usable, func(v view) bool { return v.replica.GetVersion() == w.Version })
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
	i := r.draw(len(usable))
	if r.Policy == PolicyRandom {
		return usable[i].replica
	}
	j := r.draw(len(usable) - 1)
	if j >= i {
		j++
	}
	if usable[j].score < usable[i].score {
		i = j
	}
	return usable[i].replica
}

// prefer keeps the elements that satisfy ok, or all when none does.
func prefer(vs []view, ok func(view) bool) []view {
	if !slices.ContainsFunc(vs, ok) {
		return vs
	}
	return slices.DeleteFunc(vs, func(v view) bool { return !ok(v) })
}

func (r *Selector) inspect(c *toucanpb.Replica, id toucanreplica.ID, index uint64, now time.Time) (view, bool) {
	v := view{replica: c}
	s := r.state(id)
	if s == nil {
		return v, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.draining) {
		return v, false
	}
	if index != 0 && now.Before(s.indexed) && !slices.Contains(s.indexes, index) {
		return v, false
	}
	v.score = float64(s.queue+s.running+1) * s.latency
	if s.failing && !s.ejected.IsZero() && !r.ejectsNone() {
		due := !now.Before(s.ejected)
		v.ejected = !due || s.probing
		v.probe = due && !s.probing
	}
	return v, true
}

// ejectsNone reports whether so many replicas fail at the same time that this
// host's own connection is the likely cause.
func (r *Selector) ejectsNone() bool {
	failing, seen := r.failing.Load(), r.seen.Load()
	return 2*failing > seen || 2*failing == seen && seen > fewSeen
}

// EjectedCount returns the number of replicas that are left out now.
func (r *Selector) EjectedCount() int {
	if r.ejectsNone() {
		return 0
	}
	n, now := 0, time.Now()
	r.replicas.Range(func(_, v any) bool {
		s := v.(*state)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.failing && now.Before(s.ejected) {
			n++
		}
		return true
	})
	return n
}

// BeginLeg records that a leg goes to a replica. Each Start is followed by one
// Observe.
func (r *Selector) BeginLeg(id toucanreplica.ID) {
	s := r.state(id)
	if s == nil {
		v, loaded := r.replicas.LoadOrStore(id, &state{heard: time.Now()})
		s = v.(*state)
		if !loaded {
			r.seen.Add(1)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	if s.forgotten {
		s.forgotten = false
		s.heard = time.Now()
		r.seen.Add(1)
	}
	if s.failing && !s.ejected.IsZero() && !time.Now().Before(s.ejected) {
		s.probing = true
	}
}

// EndLeg records the end of a leg.
func (r *Selector) EndLeg(id toucanreplica.ID, m LegResult) {
	s := r.state(id)
	if s == nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = max(0, s.running-1)
	if m.Indexes != nil {
		s.indexes, s.indexed = m.Indexes, now.Add(stale)
	}
	if m.Draining {
		s.draining = now.Add(stale)
	}
	took := m.Duration.Seconds()
	switch m.Code {
	case toucanpb.Code_CODE_UNSPECIFIED:
		s.heard = now
		s.queue = m.QueueLength
		s.average(took)
		r.succeed(s)
	case toucanpb.Code_CODE_DOWN, toucanpb.Code_CODE_FAILED, toucanpb.Code_CODE_INVALID, toucanpb.Code_CODE_TIMEOUT:
		s.heard = now
		if took > s.latency {
			s.average(took)
		}
		r.fail(s, now)
	case toucanpb.Code_CODE_CANCELLED:
		// The leg would have taken at least this long.
		if took > s.latency {
			s.average(took)
		}
		s.probing = false
	case toucanpb.Code_CODE_LEASE:
		s.probing = false
	default:
		s.queue = m.QueueLength
		s.probing = false
	}
}

func (s *state) average(took float64) {
	if s.latency == 0 {
		s.latency = took
		return
	}
	s.latency += weight * (took - s.latency)
}

func (r *Selector) succeed(s *state) {
	if s.probing {
		s.failures = 0
	}
	s.probing = false
	s.failures -= weight * s.failures
	if s.failing && s.failures <= failLimit {
		s.failing = false
		s.ejected = time.Time{}
		r.failing.Add(-1)
	}
	if !s.failing && s.failures < weight {
		s.ejections = 0
	}
}

func (r *Selector) fail(s *state, now time.Time) {
	probe := s.probing
	s.probing = false
	s.failures += weight * (1 - s.failures)
	if s.failures <= failLimit {
		return
	}
	fresh := !s.failing
	if fresh {
		s.failing = true
		r.failing.Add(1)
	}
	if fresh || probe || !now.Before(s.ejected) {
		span := time.Duration(float64(ejectBase) * math.Pow(2, float64(min(s.ejections, 6))))
		s.ejected = now.Add(min(span, ejectMost))
		s.ejections++
		ejections.Inc()
	}
}

func (r *Selector) state(id toucanreplica.ID) *state {
	if v, ok := r.replicas.Load(id); ok {
		return v.(*state)
	}
	return nil
}

// recount drops replicas without traffic from the counts, so that removed
// replicas do not weigh in the decision to eject none.
func (r *Selector) recount(now time.Time) {
	last := r.counted.Load()
	if now.UnixNano()-last < int64(recount) || !r.counted.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	r.replicas.Range(func(_, v any) bool {
		s := v.(*state)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.running > 0 || s.forgotten || now.Sub(s.heard) < forget || now.Before(s.ejected) {
			return true
		}
		if s.failing {
			s.failing = false
			r.failing.Add(-1)
		}
		s.forgotten = true
		s.failures, s.ejected, s.probing = 0, time.Time{}, false
		r.seen.Add(-1)
		return true
	})
}

// draw returns a number in [0, n) by SplitMix64 over a counter, which needs
// no lock and repeats for one seed.
func (r *Selector) draw(n int) int {
	x := r.Seed + r.draws.Add(1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return int(x % uint64(n))
}
