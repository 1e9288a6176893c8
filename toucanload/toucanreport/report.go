// Package toucanreport collects the results of load runs and summarizes them.
package toucanreport

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanspec"
	"toucanstair.example/toucanload/toucandriver"
)

const (
	// Histograms count latency in microseconds, up to maxLatency.
	maxLatency        = time.Minute
	significantDigits = 3
	// windowLength is the resolution of values over time.
	windowLength = time.Second
	// maxListedTargets limits the targets in the text output.
	maxListedTargets = 10
)

// Report collects results. Create it with New. Latency includes answers and
// requests with unknown outcome. It excludes requests that were not run, such as
// refused ones: they end at once and would lower the quantiles.
//
// In summary, Coverage.Full counts the answers with full coverage; Summary divides
// it by the number of answers. coverageSum adds up the share of shards that
// answered, over all answers. windows is keyed by the window's index.
type Report struct {
	duration    time.Duration
	latency     *hdrhistogram.Histogram
	windows     map[int]*window
	summary     Summary
	coverageSum float64
}

// window holds the results of one windowLength by intended arrival.
type window struct {
	latency     *hdrhistogram.Histogram
	coverageSum float64
	answered    int
}

// Summary holds the figures of the runs. Counts are of requests unless stated.
type Summary struct {
	Sent       uint64            `json:"sent"`
	Unsent     uint64            `json:"unsent"` // arrivals not sent because too many requests were in flight
	Outcomes   map[string]uint64 `json:"outcomes"`
	Unanswered map[string]uint64 `json:"refused"` // requests without an answer, by code
	Latency    Latency           `json:"latency"`
	Coverage   Coverage          `json:"coverage"`
	Missing    map[string]uint64 `json:"missing"` // missing shards, by reason
	Goodput    float64           `json:"goodput"` // answers with full coverage per second
	ExtraLegs  *ExtraLegs        `json:"extra,omitempty"`
	Targets    []Target          `json:"targets,omitempty"`
}

// Latency holds quantiles of the time from the intended arrival to the end.
type Latency struct {
	P50  toucanspec.Duration `json:"p50"`
	P90  toucanspec.Duration `json:"p90"`
	P99  toucanspec.Duration `json:"p99"`
	P999 toucanspec.Duration `json:"p999"`
	Max  toucanspec.Duration `json:"max"`
}

// Coverage holds the mean share of shards that answered, and the share of answers
// in which all shards did.
type Coverage struct {
	Mean float64 `json:"mean"`
	Full float64 `json:"full"`
}

// ExtraLegs compares the number of legs that hosts sent, including retries and
// hedged requests, with the number needed.
type ExtraLegs struct {
	Needed float64 `json:"needed"`
	Sent   float64 `json:"sent"`
	Share  float64 `json:"share"` // (Sent-Needed)/Needed
}

// Target holds the slots of a target (its limit of concurrent legs), the highest
// numbers of legs in flight, in all and in cold start, and counts of legs above
// the limit, of crashes and of rejected connections. The fields are as in
// toucanspec.Record.
type Target struct {
	ID                  string `json:"id"`
	Slots               int    `json:"slots"`
	MaxInFlight         int    `json:"peak"`
	MaxInFlightCold     int    `json:"peakcold"`
	Overloads           uint64 `json:"overloads"`
	Crashes             uint64 `json:"falls"`
	RejectedConnections uint64 `json:"unopened"`
}

// New returns an empty report.
func New() *Report {
	return &Report{
		latency: newHistogram(), windows: map[int]*window{},
		summary: Summary{Outcomes: map[string]uint64{}, Unanswered: map[string]uint64{}, Missing: map[string]uint64{}},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

// AddDuration adds the duration of a run, by which goodput is divided.
func (r *Report) AddDuration(d time.Duration) { r.duration += d }

// Add adds a result. offset is the total duration of the runs before its own.
func (r *Report) Add(offset time.Duration, result toucandriver.Result) {
	s := &r.summary
	if result.Unsent {
		s.Unsent++
		return
	}
	s.Sent++
	s.Outcomes[toucanfault.OutcomeName(result.Outcome)]++
	if result.Coverage == nil {
		s.Unanswered[toucanfault.CodeName(result.Code)]++
	}
	if result.Outcome == toucanpb.Outcome_OUTCOME_NOTRUN {
		return
	}
	w := r.window(offset + result.Arrival)
	// Values are clamped to the range of the histogram, so that RecordValue
	// can't fail.
	us := min(max(result.Latency, time.Microsecond), maxLatency).Microseconds()
	_ = r.latency.RecordValue(us)
	_ = w.latency.RecordValue(us)
	if result.Coverage == nil {
		return
	}
	share := 1.0
	if asked := result.Coverage.GetAsked(); asked > 0 {
		share = float64(result.Coverage.GetAnswered()) / float64(asked)
	}
	if share >= 1 {
		s.Coverage.Full++
	}
	r.coverageSum += share
	w.coverageSum += share
	w.answered++
	for _, m := range result.Coverage.GetMissing() {
		s.Missing[m.GetReason()]++
	}
}

func (r *Report) window(at time.Duration) *window {
	i := int(at / windowLength)
	if r.windows[i] == nil {
		r.windows[i] = &window{latency: newHistogram()}
	}
	return r.windows[i]
}

// SetExtraLegs sets the number of legs needed and sent during the runs.
func (r *Report) SetExtraLegs(needed, sent float64) {
	e := &ExtraLegs{Needed: needed, Sent: sent}
	if needed > 0 {
		e.Share = sent/needed - 1
	}
	r.summary.ExtraLegs = e
}

// SetTargets sets the records of targets after the runs, keyed by replica.
func (r *Report) SetTargets(records map[string]toucanspec.Record) {
	r.summary.Targets = nil
	for _, id := range slices.Sorted(maps.Keys(records)) {
		record := records[id]
		r.summary.Targets = append(r.summary.Targets, Target{
			ID: id, Slots: record.Slots, MaxInFlight: record.MaxInFlight, MaxInFlightCold: record.MaxInFlightCold,
			Overloads: record.Overloads, Crashes: record.Crashes, RejectedConnections: record.RejectedConnections,
		})
	}
}

// Summary returns the figures of all results added so far.
func (r *Report) Summary() Summary {
	s := r.summary
	quantile := func(q float64) toucanspec.Duration { return microseconds(r.latency.ValueAtQuantile(q)) }
	s.Latency = Latency{quantile(50), quantile(90), quantile(99), quantile(99.9), microseconds(r.latency.Max())}
	full := s.Coverage.Full
	s.Coverage = Coverage{}
	if done := s.Outcomes["done"]; done > 0 {
		s.Coverage = Coverage{r.coverageSum / float64(done), full / float64(done)}
	}
	if r.duration > 0 {
		s.Goodput = full / r.duration.Seconds()
	}
	return s
}

// Print writes the figures as text. It lists the targets that most exceed their
// slots first.
func (s Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "sent      %d, unsent %d\n", s.Sent, s.Unsent)
	fmt.Fprintf(w, "outcomes  %s\n", formatCounts(s.Outcomes))
	fmt.Fprintf(w, "refused   %s\n", formatCounts(s.Unanswered))
	l := s.Latency
	fmt.Fprintf(w, "latency   p50 %s  p90 %s  p99 %s  p99.9 %s  max %s\n",
		formatDuration(l.P50), formatDuration(l.P90), formatDuration(l.P99), formatDuration(l.P999), formatDuration(l.Max))
	fmt.Fprintf(w, "coverage  mean %.4f, full answers %.4f; missing shards: %s\n",
		s.Coverage.Mean, s.Coverage.Full, formatCounts(s.Missing))
	fmt.Fprintf(w, "goodput   %.1f full answers/s\n", s.Goodput)
	if e := s.ExtraLegs; e != nil {
		fmt.Fprintf(w, "extra     %.2f%% (%.0f legs sent, %.0f needed)\n", 100*e.Share, e.Sent, e.Needed)
	}
	if len(s.Targets) == 0 {
		return
	}
	worst := slices.Clone(s.Targets)
	slices.SortStableFunc(worst, func(a, b Target) int { return cmp.Compare(b.MaxInFlight-b.Slots, a.MaxInFlight-a.Slots) })
	exceeded := 0
	for _, t := range worst {
		// During a cold start the limit is one leg at a time.
		if t.MaxInFlight > t.Slots || t.MaxInFlightCold > 1 {
			exceeded++
		}
	}
	fmt.Fprintf(w, "targets   %d, over their limit: %d\n", len(worst), exceeded)
	for _, t := range worst[:min(len(worst), maxListedTargets)] {
		fmt.Fprintf(w, "  %-20s peak %d of %d slots, cold %d, overloads %d, falls %d, connections refused %d\n",
			t.ID, t.MaxInFlight, t.Slots, t.MaxInFlightCold, t.Overloads, t.Crashes, t.RejectedConnections)
	}
}

func formatCounts(m map[string]uint64) string {
	out := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out += fmt.Sprintf("%s %d  ", k, m[k])
	}
	if out == "" {
		return "none"
	}
	return out[:len(out)-2]
}

func microseconds(v int64) toucanspec.Duration {
	return toucanspec.Duration(time.Duration(v) * time.Microsecond)
}

func formatDuration(d toucanspec.Duration) string {
	return time.Duration(d).Round(10 * time.Microsecond).String()
}
