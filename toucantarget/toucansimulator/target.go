// Package toucansimulator is one stand-in replica: its limits, cold start,
// faults and ledger.
package toucansimulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanspec"
	"toucanstair.example/toucantarget/toucancorpus"
)

const (
	coldFactor = 3
	// Responses until warm when a replica without a cold start of its own
	// is made cold.
	coldCount = 8
	// A replica that falls over answers nothing for this long.
	fallTime = 2 * time.Second
	lateTime = 100 * time.Millisecond
)

// Target is one replica. Create it with New.
type Target struct {
	library *toucancorpus.Corpus
	seed    uint64
	began   time.Time // of the process
	log     *zap.Logger

	mu      sync.Mutex
	spec    toucanspec.Replica
	record  toucanspec.Record
	indexed time.Time // when spec.Indexes held
	boots   int
	booted  time.Time
	warming int // responses since the boot
	warm    bool
	fallen  time.Time // end of the last fall
	history []sample
	open    int // connections
}

// sample is what the lagging endpoints report.
type sample struct {
	at      time.Time
	state   string
	load    int
	indexes []uint64
}

// leg is the plan for one request, made on its arrival.
type leg struct {
	query  *toucanpb.TargetQuery
	key    string
	once   bool
	status int
	work   time.Duration
	fail   bool
	answer answer
}

type answer int

const (
	answerGood answer = iota
	answerLate
	answerCrossed
	answerGarbage
	answerTruncated
	answerEndless
)

// New returns a replica; began is the start of the process, and log may be nil.
func New(spec toucanspec.Replica, library *toucancorpus.Corpus, seed uint64, began time.Time, log *zap.Logger) *Target {
	if log == nil {
		log = zap.NewNop()
	}
	now := time.Now()
	t := &Target{
		library: library, seed: seed ^ xxhash.Sum64String(spec.ID), began: began, log: log,
		indexed: began, booted: now, boots: 1,
	}
	t.record.Runs = map[string]uint64{}
	t.record.Versions = map[string]uint64{}
	t.record.Routes = map[string]uint64{}
	t.record.Indexes = map[uint64]uint64{}
	t.adopt(spec, now)
	return t
}

// ID returns the replica's id.
func (t *Target) ID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spec.ID
}

// Update changes the fields that a JSON body names. Beside those of
// toucanspec.Replica, "chill" makes the replica cold, and "restart" does so
// with a new boot id.
func (t *Target) Update(body []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	spec := t.spec
	// The present spec is in use; decoding must not write into its parts.
	spec.Indexes = slices.Clone(spec.Indexes)
	if spec.Health.Load != nil {
		load := *spec.Health.Load
		spec.Health.Load = &load
	}
	var action struct {
		Chill   bool     `json:"chill"`
		Restart bool     `json:"restart"`
		Indexes []uint64 `json:"indexes"`
	}
	for _, into := range []any{&spec, &action} {
		if err := json.Unmarshal(body, into); err != nil {
			return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "replica "+t.spec.ID).Because(err)
		}
	}
	if spec.ID != t.spec.ID {
		return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "the id of replica "+t.spec.ID+" can't change")
	}
	now := time.Now()
	if action.Indexes != nil {
		t.indexed = now
	}
	if action.Restart {
		t.boots++
	}
	if action.Restart || action.Chill {
		t.booted, t.warming, t.warm = now, 0, false
		at := t.at(now)
		t.record.ColdStartAt, t.record.ColdReportedAt, t.record.ConcurrentWhileCold = &at, nil, toucanspec.Span{}
		if spec.ColdStart.Count == 0 && spec.ColdStart.Time == 0 {
			spec.ColdStart.Count = coldCount
		}
	}
	t.adopt(spec, now)
	return nil
}

func (t *Target) adopt(spec toucanspec.Replica, now time.Time) {
	if spec.Draining && !t.spec.Draining {
		at := t.at(now)
		t.record.DrainStartedAt, t.record.AfterDrain = &at, toucanspec.Span{}
	}
	if len(spec.Indexes) == 0 {
		spec.Indexes = []uint64{1}
	}
	spec.Slots = max(spec.Slots, 1)
	t.spec = spec
	t.record.Slots = spec.Slots
	t.note(now)
}

// Record returns a copy of the ledger.
func (t *Target) Record() toucanspec.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record
	r.Runs = maps.Clone(r.Runs)
	r.Versions = maps.Clone(r.Versions)
	r.Routes = maps.Clone(r.Routes)
	r.Indexes = maps.Clone(r.Indexes)
	return r
}

// arrive counts a request and decides what happens to it.
func (t *Target) arrive(q *toucanpb.TargetQuery, key string, once bool) leg {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	at := t.at(now)
	s, r := &t.spec, &t.record
	cold := t.cold(now)
	r.Requests++
	r.InFlight++
	r.MaxInFlight = max(r.MaxInFlight, r.InFlight)
	if cold {
		r.MaxInFlightCold = max(r.MaxInFlightCold, r.InFlight)
		if r.InFlight > 1 {
			r.ConcurrentWhileCold.Add(at)
		}
	}
	r.Routes[q.GetRoute()]++
	r.Versions[s.Version]++
	r.Indexes[q.GetIndex()]++
	r.All.Add(at)
	if s.Draining {
		r.AfterDrain.Add(at)
	}
	t.note(now)
	l := leg{query: q, key: key, once: once, status: http.StatusOK}
	over := r.InFlight > s.Slots
	if over {
		r.Overloads++
	}
	switch {
	case s.Refuse || s.RejectExcess && (over || cold && r.InFlight > 1):
		l.status = http.StatusServiceUnavailable
		return l
	case !once && !slices.Contains(t.indexes(now), q.GetIndex()):
		l.status = http.StatusConflict
		return l
	case cold && r.InFlight > 1 && !now.Before(t.fallen):
		r.Crashes++
		t.fallen = now.Add(fallTime)
	}
	if now.Before(t.fallen) {
		l.status = http.StatusInternalServerError
		return l
	}
	t.plan(&l, cold)
	if once {
		r.Runs[key]++
	}
	return l
}

// plan draws the work time and faults of a leg. Every leg draws the same
// numbers in the same order from its own generator, so that a change of
// behaviour leaves the other draws as they are.
func (t *Target) plan(l *leg, cold bool) {
	s, held := &t.spec, t.record.InFlight
	draw := rand.New(rand.NewPCG(t.seed, t.record.Requests))
	factor := math.Exp(s.Work.Spread * draw.NormFloat64())
	straggle, fail, kind := draw.Float64(), draw.Float64(), draw.Float64()
	if straggle < s.Straggle.Share {
		factor *= s.Straggle.Factor
	}
	if cold {
		if s.ColdStart.Factor > 0 {
			factor *= s.ColdStart.Factor
		} else {
			factor *= coldFactor
		}
	}
	if held > s.Slots {
		factor *= math.Pow(float64(held)/float64(s.Slots), 3)
	}
	bad := t.record.Requests > uint64(s.VersionFaults.AfterLegs) && held >= s.VersionFaults.MinInFlight &&
		(s.VersionFaults.Route == "" || s.VersionFaults.Route == l.query.GetRoute())
	if bad {
		l.fail = fail < s.VersionFaults.Fail
		if l.fail || s.VersionFaults.Slow > 0 && !cold {
			t.record.Faults.Add(t.at(time.Now()))
		}
		if s.VersionFaults.Slow > 0 {
			factor *= s.VersionFaults.Slow
		}
	}
	l.work = time.Duration(float64(s.Work.Median) * factor)
	shares := []float64{s.BadResponses.Late, s.BadResponses.Crossed, s.BadResponses.Garbage, s.BadResponses.Truncated, s.BadResponses.Endless}
	for i, share := range shares {
		if kind < share {
			l.answer = answer(i + 1)
			return
		}
		kind -= share
	}
}

// leave ends a leg with its counter.
func (t *Target) leave(count func(*toucanspec.Record)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	done := t.record.Done
	t.record.InFlight--
	count(&t.record)
	if t.record.Done > done {
		t.warming++
	}
	t.note(time.Now())
}

// standing returns the end of the present fall, or false.
func (t *Target) standing() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fallen, !time.Now().Before(t.fallen)
}

// cold ends the cold start when its time has come.
func (t *Target) cold(now time.Time) bool {
	w := t.spec.ColdStart
	if !t.warm {
		byCount := w.Count > 0 && t.warming >= w.Count
		byTime := w.Time > 0 && now.Sub(t.booted) >= time.Duration(w.Time)
		t.warm = byCount || byTime || w.Count == 0 && w.Time == 0
	}
	return !t.warm
}

func (t *Target) state(now time.Time) string {
	cold := t.cold(now)
	switch {
	case t.spec.Draining:
		return "draining"
	case cold && !t.spec.ColdStart.HideState:
		return "cold"
	}
	return "ready"
}

// indexes returns the versions served, oldest first.
func (t *Target) indexes(now time.Time) []uint64 {
	if t.spec.IndexInterval <= 0 {
		return t.spec.Indexes
	}
	shift := uint64(now.Sub(t.indexed) / time.Duration(t.spec.IndexInterval))
	out := slices.Clone(t.spec.Indexes)
	for i := range out {
		out[i] += shift
	}
	return out
}

// sign records the first response that shows a cold start, by its state or by
// a new boot id.
func (t *Target) sign(now time.Time, state string) {
	r := &t.record
	if r.ColdStartAt == nil || r.ColdReportedAt != nil || state != "cold" && t.boots == 1 {
		return
	}
	at := t.at(now)
	r.ColdReportedAt = &at
}

func (t *Target) boot() string { return fmt.Sprintf("%s-%016x-%d", t.spec.ID, t.seed, t.boots) }

func (t *Target) at(now time.Time) toucanspec.Duration { return toucanspec.Duration(now.Sub(t.began)) }

// note records the state for the lagging endpoints.
func (t *Target) note(now time.Time) {
	lag := time.Duration(t.spec.Health.Lag)
	if lag <= 0 {
		t.history = t.history[:0]
	}
	t.history = append(t.history, sample{now, t.state(now), t.record.InFlight, t.indexes(now)})
	for len(t.history) > 1 && now.Sub(t.history[1].at) >= lag {
		t.history = t.history[1:]
	}
}

// reported is what the health and load endpoints say.
func (t *Target) reported() sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.note(now)
	out := t.history[0]
	if t.spec.Health.State != "" {
		out.state = t.spec.Health.State
	}
	if t.spec.Health.Load != nil {
		out.load = *t.spec.Health.Load
	}
	return out
}
