// Package toucanreport summarises the results of a load run.
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
	// Latencies are counted in microseconds with 3 significant digits.
	highest = time.Minute
	digits  = 3
	// Interval of the values over time.
	interval = time.Second
	// Targets listed in the text output.
	listed = 10
)

// Report collects results. Create it with New. Latency covers answers and
// requests with unknown outcome, but not refusals, which end at once.
type Report struct {
	duration time.Duration
	latency  *hdrhistogram.Histogram
	windows  map[int]*window
	summary  Summary
	covered  float64
}

type window struct {
	latency *hdrhistogram.Histogram
	covered float64
	done    int
}

// Summary is the outcome of a run as it is printed.
type Summary struct {
	Sent      uint64            `json:"sent"`
	Unsent    uint64            `json:"unsent"` // more in progress than the tool holds
	Outcomes  map[string]uint64 `json:"outcomes"`
	Refused   map[string]uint64 `json:"refused"` // by code
	Latency   Latency           `json:"latency"`
	Coverage  Coverage          `json:"coverage"`
	Missing   map[string]uint64 `json:"missing"` // shards by reason
	Goodput   float64           `json:"goodput"` // full answers a second
	ExtraLegs *ExtraLegs        `json:"extra,omitempty"`
	Targets   []Target          `json:"targets,omitempty"`
}

// Latency holds quantiles, counted from the intended arrival.
type Latency struct {
	P50  toucanspec.Duration `json:"p50"`
	P90  toucanspec.Duration `json:"p90"`
	P99  toucanspec.Duration `json:"p99"`
	P999 toucanspec.Duration `json:"p999"`
	Max  toucanspec.Duration `json:"max"`
}

// Coverage is the mean share of answered shards and the share of full answers.
type Coverage struct {
	Mean float64 `json:"mean"`
	Full float64 `json:"full"`
}

// ExtraLegs compares the legs that the hosts sent with those that were needed.
type ExtraLegs struct {
	Needed float64 `json:"needed"`
	Sent   float64 `json:"sent"`
	Share  float64 `json:"share"` // sent above needed
}

// Target is the most work that a target held against its slots.
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
		summary: Summary{Outcomes: map[string]uint64{}, Refused: map[string]uint64{}, Missing: map[string]uint64{}},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highest.Microseconds(), digits)
}

// AddDuration adds the duration of a run whose results follow.
func (r *Report) AddDuration(d time.Duration) { r.duration += d }

// Add takes a result; offset is the duration of the runs before its own.
func (r *Report) Add(offset time.Duration, x toucandriver.Result) {
	s := &r.summary
	if x.Unsent {
		s.Unsent++
		return
	}
	s.Sent++
	s.Outcomes[toucanfault.OutcomeName(x.Outcome)]++
	if x.Coverage == nil {
		s.Refused[toucanfault.CodeName(x.Code)]++
	}
	if x.Outcome == toucanpb.Outcome_OUTCOME_NOTRUN {
		return
	}
	w := r.window(offset + x.Arrival)
	// Values above the highest are counted as the highest, so that recording
	// can't fail.
	us := min(max(x.Latency, time.Microsecond), highest).Microseconds()
	_ = r.latency.RecordValue(us)
	_ = w.latency.RecordValue(us)
	if x.Coverage == nil {
		return
	}
	share := 1.0
	if asked := x.Coverage.GetAsked(); asked > 0 {
		share = float64(x.Coverage.GetAnswered()) / float64(asked)
	}
	if share >= 1 {
		s.Coverage.Full++
	}
	r.covered += share
	w.covered += share
	w.done++
	for _, m := range x.Coverage.GetMissing() {
		s.Missing[m.GetReason()]++
	}
}

func (r *Report) window(at time.Duration) *window {
	i := int(at / interval)
	if r.windows[i] == nil {
		r.windows[i] = &window{latency: newHistogram()}
	}
	return r.windows[i]
}

// SetExtraLegs gives the legs needed and sent during the runs.
func (r *Report) SetExtraLegs(needed, sent float64) {
	e := &ExtraLegs{Needed: needed, Sent: sent}
	if needed > 0 {
		e.Share = sent/needed - 1
	}
	r.summary.ExtraLegs = e
}

// SetTargets gives the targets' ledgers after the runs.
func (r *Report) SetTargets(ledger map[string]toucanspec.Record) {
	r.summary.Targets = nil
	for _, id := range slices.Sorted(maps.Keys(ledger)) {
		l := ledger[id]
		r.summary.Targets = append(r.summary.Targets, Target{
			ID: id, Slots: l.Slots, MaxInFlight: l.MaxInFlight, MaxInFlightCold: l.MaxInFlightCold,
			Overloads: l.Overloads, Crashes: l.Crashes, RejectedConnections: l.RejectedConnections,
		})
	}
}

// Summary returns the figures so far.
func (r *Report) Summary() Summary {
	s := r.summary
	at := func(q float64) toucanspec.Duration { return micros(r.latency.ValueAtQuantile(q)) }
	s.Latency = Latency{at(50), at(90), at(99), at(99.9), micros(r.latency.Max())}
	full := s.Coverage.Full
	s.Coverage = Coverage{}
	if done := s.Outcomes["done"]; done > 0 {
		s.Coverage = Coverage{r.covered / float64(done), full / float64(done)}
	}
	if r.duration > 0 {
		s.Goodput = full / r.duration.Seconds()
	}
	return s
}

// Print writes the figures as text.
func (s Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "sent      %d, unsent %d\n", s.Sent, s.Unsent)
	fmt.Fprintf(w, "outcomes  %s\n", words(s.Outcomes))
	fmt.Fprintf(w, "refused   %s\n", words(s.Refused))
	l := s.Latency
	fmt.Fprintf(w, "latency   p50 %s  p90 %s  p99 %s  p99.9 %s  max %s\n",
		text(l.P50), text(l.P90), text(l.P99), text(l.P999), text(l.Max))
	fmt.Fprintf(w, "coverage  mean %.4f, full answers %.4f; missing shards: %s\n",
		s.Coverage.Mean, s.Coverage.Full, words(s.Missing))
	fmt.Fprintf(w, "goodput   %.1f full answers/s\n", s.Goodput)
	if e := s.ExtraLegs; e != nil {
		fmt.Fprintf(w, "extra     %.2f%% (%.0f legs sent, %.0f needed)\n", 100*e.Share, e.Sent, e.Needed)
	}
	if len(s.Targets) == 0 {
		return
	}
	worst := slices.Clone(s.Targets)
	slices.SortStableFunc(worst, func(a, b Target) int { return cmp.Compare(b.MaxInFlight-b.Slots, a.MaxInFlight-a.Slots) })
	over := 0
	for _, t := range worst {
		if t.MaxInFlight > t.Slots || t.MaxInFlightCold > 1 {
			over++
		}
	}
	fmt.Fprintf(w, "targets   %d, over their limit: %d\n", len(worst), over)
	for _, t := range worst[:min(len(worst), listed)] {
		fmt.Fprintf(w, "  %-20s peak %d of %d slots, cold %d, overloads %d, falls %d, connections refused %d\n",
			t.ID, t.MaxInFlight, t.Slots, t.MaxInFlightCold, t.Overloads, t.Crashes, t.RejectedConnections)
	}
}

func words(m map[string]uint64) string {
	out := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out += fmt.Sprintf("%s %d  ", k, m[k])
	}
	if out == "" {
		return "none"
	}
	return out[:len(out)-2]
}

func micros(v int64) toucanspec.Duration {
	return toucanspec.Duration(time.Duration(v) * time.Microsecond)
}

func text(d toucanspec.Duration) string {
	return time.Duration(d).Round(10 * time.Microsecond).String()
}
