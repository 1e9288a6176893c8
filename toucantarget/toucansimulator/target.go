// Package toucansimulator simulates one replica of a target: its limits, cold
// start, faults and ledger.
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
	defaultColdFactor = 3 // multiplies the work time in cold start
	// Responses until warm for a replica that is made cold and whose spec sets
	// neither a count nor a time.
	defaultColdCount = 8
	// How long a crashed replica holds requests before it fails them.
	crashDuration    = 2 * time.Second
	defaultLateDelay = 100 * time.Millisecond // after the deadline of the leg
)

// Target simulates one replica. Create it with New.
type Target struct {
	corpus       *toucancorpus.Corpus
	seed         uint64
	processStart time.Time // origin of all times in the ledger
	log          *zap.Logger

	mu                      sync.Mutex // guards the fields below
	spec                    toucanspec.Replica
	record                  toucanspec.Record
	indexesSetAt            time.Time // when spec.Indexes was set
	bootCount               int
	coldStartedAt           time.Time
	responsesSinceColdStart int // responses with status 200
	warm                    bool
	crashedUntil            time.Time // end of the last crash
	history                 []healthSample
	openConnections         int // at present
}

// healthSample is the state at one time. The health and load endpoints report
// an earlier one if the spec sets a lag.
type healthSample struct {
	at      time.Time
	state   string
	load    int
	indexes []uint64
}

// leg is a request with the outcome that was planned on its arrival. Its status
// is that of a refusal, an index version not served or a crash, otherwise 200.
type leg struct {
	query    *toucanpb.TargetQuery
	key      string
	once     bool // sent to /run, not to /search
	status   int
	work     time.Duration // before the response
	fail     bool          // respond with status 500 after the work time
	response responseKind
}

type responseKind int

const (
	responseOK responseKind = iota
	responseLate
	responseCrossed
	responseGarbage
	responseTruncated
	responseEndless
)

// New returns a replica. Ledger times are relative to processStart; a nil log
// discards everything.
func New(spec toucanspec.Replica, corpus *toucancorpus.Corpus, seed uint64, processStart time.Time, log *zap.Logger) *Target {
	if log == nil {
		log = zap.NewNop()
	}
	now := time.Now()
	t := &Target{
		corpus: corpus, seed: seed ^ xxhash.Sum64String(spec.ID), processStart: processStart, log: log,
		indexesSetAt: processStart, coldStartedAt: now, bootCount: 1,
	}
	t.record.Runs = map[string]uint64{}
	t.record.Versions = map[string]uint64{}
	t.record.Routes = map[string]uint64{}
	t.record.Indexes = map[uint64]uint64{}
	t.setSpec(spec, now)
	return t
}

// ID returns the replica's id.
func (t *Target) ID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spec.ID
}

// Update changes the fields of toucanspec.Replica that the JSON body contains.
// In addition, "chill": true makes the replica cold, and "restart": true does
// so with a new boot id. An invalid body or another replica's id is an error
// with CODE_INVALID and changes nothing.
func (t *Target) Update(body []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	spec := t.spec
	// Decode into copies: json.Unmarshal would write through the slice and the
	// pointer that t.spec and the history still use.
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
			return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "invalid update of replica "+t.spec.ID).Because(err)
		}
	}
	if spec.ID != t.spec.ID {
		return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "the id of replica "+t.spec.ID+" can't be changed")
	}
	now := time.Now()
	if action.Indexes != nil {
		t.indexesSetAt = now
	}
	if action.Restart {
		t.bootCount++
	}
	if action.Restart || action.Chill {
		t.coldStartedAt, t.responsesSinceColdStart, t.warm = now, 0, false
		elapsed := t.sinceStart(now)
		t.record.ColdStartAt, t.record.ColdReportedAt, t.record.ConcurrentWhileCold = &elapsed, nil, toucanspec.Span{}
		if spec.ColdStart.Count == 0 && spec.ColdStart.Time == 0 {
			spec.ColdStart.Count = defaultColdCount
		}
	}
	t.setSpec(spec, now)
	return nil
}

func (t *Target) setSpec(spec toucanspec.Replica, now time.Time) {
	if spec.Draining && !t.spec.Draining {
		elapsed := t.sinceStart(now)
		t.record.DrainStartedAt, t.record.AfterDrain = &elapsed, toucanspec.Span{}
	}
	if len(spec.Indexes) == 0 {
		spec.Indexes = []uint64{1}
	}
	spec.Slots = max(spec.Slots, 1)
	t.spec = spec
	t.record.Slots = spec.Slots
	t.recordHealth(now)
}

// Record returns a copy of the replica's entry in the ledger.
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

// admit counts a request and decides its status, work time and response.
func (t *Target) admit(q *toucanpb.TargetQuery, key string, once bool) leg {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	elapsed := t.sinceStart(now)
	s, r := &t.spec, &t.record
	cold := t.isCold(now)
	r.Requests++
	r.InFlight++
	r.MaxInFlight = max(r.MaxInFlight, r.InFlight)
	if cold {
		r.MaxInFlightCold = max(r.MaxInFlightCold, r.InFlight)
		if r.InFlight > 1 {
			r.ConcurrentWhileCold.Add(elapsed)
		}
	}
	r.Routes[q.GetRoute()]++
	r.Versions[s.Version]++
	r.Indexes[q.GetIndex()]++
	r.All.Add(elapsed)
	if s.Draining {
		r.AfterDrain.Add(elapsed)
	}
	t.recordHealth(now)
	l := leg{query: q, key: key, once: once, status: http.StatusOK}
	overloaded := r.InFlight > s.Slots
	if overloaded {
		r.Overloads++
	}
	switch {
	case s.Refuse || s.RejectExcess && (overloaded || cold && r.InFlight > 1):
		l.status = http.StatusServiceUnavailable
		return l
	case !once && !slices.Contains(t.indexes(now), q.GetIndex()):
		l.status = http.StatusConflict
		return l
	case cold && r.InFlight > 1 && !now.Before(t.crashedUntil):
		r.Crashes++
		t.crashedUntil = now.Add(crashDuration)
	}
	if now.Before(t.crashedUntil) {
		l.status = http.StatusInternalServerError
		return l
	}
	t.planLeg(&l, cold)
	if once {
		r.Runs[key]++
	}
	return l
}

// planLeg sets the work time and faults of a leg. Each leg has a generator
// seeded by its request number and always makes the same draws in the same
// order, so changing one setting of the spec leaves the other random numbers as
// they are.
func (t *Target) planLeg(l *leg, cold bool) {
	s, inFlight := &t.spec, t.record.InFlight
	rng := rand.New(rand.NewPCG(t.seed, t.record.Requests))
	factor := math.Exp(s.Work.Spread * rng.NormFloat64())
	straggleDraw, failDraw, kindDraw := rng.Float64(), rng.Float64(), rng.Float64()
	if straggleDraw < s.Straggle.Share {
		factor *= s.Straggle.Factor
	}
	if cold {
		if s.ColdStart.Factor > 0 {
			factor *= s.ColdStart.Factor
		} else {
			factor *= defaultColdFactor
		}
	}
	// Above the slots, the work time grows with the cube of the overload.
	if inFlight > s.Slots {
		factor *= math.Pow(float64(inFlight)/float64(s.Slots), 3)
	}
	faulty := t.record.Requests > uint64(s.VersionFaults.AfterLegs) && inFlight >= s.VersionFaults.MinInFlight &&
		(s.VersionFaults.Route == "" || s.VersionFaults.Route == l.query.GetRoute())
	if faulty {
		l.fail = failDraw < s.VersionFaults.Fail
		if l.fail || s.VersionFaults.Slow > 0 && !cold {
			t.record.Faults.Add(t.sinceStart(time.Now()))
		}
		if s.VersionFaults.Slow > 0 {
			factor *= s.VersionFaults.Slow
		}
	}
	l.work = time.Duration(float64(s.Work.Median) * factor)
	// In the order of the responseKind constants after responseOK.
	shares := []float64{s.BadResponses.Late, s.BadResponses.Crossed, s.BadResponses.Garbage, s.BadResponses.Truncated, s.BadResponses.Endless}
	for i, share := range shares {
		if kindDraw < share {
			l.response = responseKind(i + 1)
			return
		}
		kindDraw -= share
	}
}

// finishLeg removes a leg from those in flight and lets count record its result.
func (t *Target) finishLeg(count func(*toucanspec.Record)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	done := t.record.Done
	t.record.InFlight--
	count(&t.record)
	if t.record.Done > done {
		t.responsesSinceColdStart++
	}
	t.recordHealth(time.Now())
}

// crashState returns the end of the last crash and whether the replica is up.
func (t *Target) crashState() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashedUntil, !time.Now().Before(t.crashedUntil)
}

// isCold reports whether the replica is in cold start. Once its count of
// responses or its time is reached, the replica stays warm until an update makes
// it cold again, even if the spec's count or time grows.
func (t *Target) isCold(now time.Time) bool {
	spec := t.spec.ColdStart
	if !t.warm {
		byCount := spec.Count > 0 && t.responsesSinceColdStart >= spec.Count
		byTime := spec.Time > 0 && now.Sub(t.coldStartedAt) >= time.Duration(spec.Time)
		t.warm = byCount || byTime || spec.Count == 0 && spec.Time == 0
	}
	return !t.warm
}

func (t *Target) state(now time.Time) string {
	cold := t.isCold(now)
	switch {
	case t.spec.Draining:
		return "draining"
	case cold && !t.spec.ColdStart.HideState:
		return "cold"
	}
	return "ready"
}

// indexes returns the index versions served at a time, oldest first.
func (t *Target) indexes(now time.Time) []uint64 {
	if t.spec.IndexInterval <= 0 {
		return t.spec.Indexes
	}
	shift := uint64(now.Sub(t.indexesSetAt) / time.Duration(t.spec.IndexInterval))
	out := slices.Clone(t.spec.Indexes)
	for i := range out {
		out[i] += shift
	}
	return out
}

// recordColdReport records the time of the first response that shows a cold
// start to the caller, by its state or by a new boot id.
func (t *Target) recordColdReport(now time.Time, state string) {
	r := &t.record
	if r.ColdStartAt == nil || r.ColdReportedAt != nil || state != "cold" && t.bootCount == 1 {
		return
	}
	elapsed := t.sinceStart(now)
	r.ColdReportedAt = &elapsed
}

func (t *Target) bootID() string { return fmt.Sprintf("%s-%016x-%d", t.spec.ID, t.seed, t.bootCount) }

func (t *Target) sinceStart(now time.Time) toucanspec.Duration {
	return toucanspec.Duration(now.Sub(t.processStart))
}

// recordHealth adds the present state to the history. It drops all samples before
// the newest one that is at least as old as the health lag, so that the first
// sample is the one to report.
func (t *Target) recordHealth(now time.Time) {
	lag := time.Duration(t.spec.Health.Lag)
	if lag <= 0 {
		t.history = t.history[:0]
	}
	t.history = append(t.history, healthSample{now, t.state(now), t.record.InFlight, t.indexes(now)})
	for len(t.history) > 1 && now.Sub(t.history[1].at) >= lag {
		t.history = t.history[1:]
	}
}

// laggedHealth returns what the health and load endpoints report: the state of
// one lag ago, with the overrides of the spec.
func (t *Target) laggedHealth() healthSample {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.recordHealth(now)
	out := t.history[0]
	if t.spec.Health.State != "" {
		out.state = t.spec.Health.State
	}
	if t.spec.Health.Load != nil {
		out.load = *t.spec.Health.Load
	}
	return out
}
