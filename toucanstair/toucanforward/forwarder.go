// Package toucanforward answers callers' requests with the responses of
// targets: one target's response as it is, or the merged records of all
// shards.
package toucanforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/propagation"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucanretry"
	"toucanstair.example/toucanstair/toucanrollout"
	"toucanstair.example/toucanstair/toucanrtt"
	"toucanstair.example/toucanstair/toucanrules"
	"toucanstair.example/toucanstair/toucantransport"
	"toucanstair.example/toucanstair/toucanworker"
)

const (
	// deadlineSpare is left of a caller's deadline for the way back.
	deadlineSpare = 15 * time.Millisecond
	// bodyTime bounds the reading of a request body.
	bodyTime = 5 * time.Second
	// maxFlights bounds the requests that one host serves at the same time, and
	// with it the memory they use.
	maxFlights = 600
	// pauseUnready, pauseFull, pauseNone and pauseUnlisted say when a caller may
	// return: when a starting host has rules, when the queues of targets are
	// shorter, when a lost target may be back, and when the list of targets, which
	// is complete 2 s after the store returns, has more shards.
	pauseUnready  = 400 * time.Millisecond
	pauseFull     = 60 * time.Millisecond
	pauseNone     = 150 * time.Millisecond
	pauseUnlisted = 400 * time.Millisecond
)

type guide interface {
	Rules() *toucanrules.Rules
	OutOfServiceZones() map[toucanzone.Name]bool
}

// moves says which version a request goes to while services move to new ones.
type moves interface {
	ChooseVersion(s toucanservice.Name, route, request string, again bool) toucanrollout.VersionChoice
	InProgress(s toucanservice.Name) bool
	BeginRequest(s toucanservice.Name, version, route string)
	EndRequest(s toucanservice.Name, version, route string, reached bool)
	RecordResponse(s toucanservice.Name, version, route string, code toucanpb.Code, took time.Duration)
}

type sender interface {
	Do(ctx context.Context, r *toucantransport.Request, left time.Duration) (*toucantransport.Response, error)
}

// Forwarder is the handler of callers' requests. Its exported fields are set
// before use.
type Forwarder struct {
	Headers     toucantransport.Headers
	Config      guide
	Targets     *toucanbalancer.TargetSet
	Picker      *toucanbalancer.Picker
	RetryBudget *toucanretry.Budget
	Transport   sender
	Rollouts    moves // which version of a service a request goes to
	// ShardedShare and Single return the part of the connections of a target that are
	// this host's, of a sharded service and of others.
	ShardedShare, UnshardedShare func() float64
	Delegation                   *Delegation // nil: this host gathers all its requests itself
	Log                          *zap.Logger
	// Draining reports whether connections are closed after their response.
	Draining func() bool

	flights atomic.Int64
	workers toucanworker.Pool
	lag     lag
}

var tooMany = metrics.NewCounter(`toucan_forward_refused_total{reason="host is full"}`)

// ServeHTTP answers one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	if f.Draining != nil && f.Draining() {
		w.Header().Set("Connection", "close")
	}
	defer f.flights.Add(-1)
	running := f.flights.Add(1)
	e := &entry{id: r.Header.Get(f.Headers.RequestID), began: began, way: toucanrtt.FromContext(r.Context()).BeginRequest()}
	defer f.report(e)
	rules := f.Config.Rules()
	if rules == nil {
		f.refuse(w, e, pauseUnready, "no configuration is in effect yet")
		return
	}
	e.version = rules.Version
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := rules.MatchRoute(r.Host, path)
	if route == nil {
		f.fail(w, e, http.StatusNotFound, "no route matches the host name and path")
		return
	}
	e.route = route.Name
	ctx, span := startSpan(r.Context(), propagation.HeaderCarrier(r.Header), "request")
	defer func() { endSpan(span, e) }()
	r = r.WithContext(ctx)
	if e.id == "" {
		f.fail(w, e, http.StatusBadRequest, "the request has no id")
		return
	}
	if running > maxFlights {
		tooMany.Inc()
		f.refuse(w, e, pauseFull, "the host has too many requests in flight")
		return
	}
	limit, err := f.limit(r, route, began)
	if err != nil {
		f.fail(w, e, http.StatusBadRequest, err.Error())
		return
	}
	body, status, err := readBody(w, r, rules.Limits.MaxBodyBytes)
	if err != nil {
		f.fail(w, e, status, err.Error())
		return
	}
	m := toucantransport.NewMessage(e.id, r.Method, r.RequestURI, r.Host, f.forwardable(r.Header), body)
	g := f.flight(m, route, e, limit)
	if f.hand(r.Context(), w, g, body, r) {
		return
	}
	g.run(r.Context())
	g.respond(w)
}

// limit returns when a request ends: at the caller's deadline or the route's
// timeout.
func (f *Forwarder) limit(r *http.Request, route *toucanrules.Route, began time.Time) (time.Time, error) {
	limit := began.Add(route.Timeout)
	text := r.Header.Get(f.Headers.Deadline)
	if text == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return limit, &headerError{f.Headers.Deadline, text}
	}
	deadline := began.Add(time.Duration(min(ms, int64(time.Hour/time.Millisecond))) * time.Millisecond)
	if deadline = deadline.Add(-deadlineSpare); deadline.Before(limit) || route.Timeout <= 0 {
		limit = deadline
	}
	return limit, nil
}

type headerError struct{ name, value string }

func (e *headerError) Error() string {
	return "header " + e.name + " has the value " + strconv.Quote(e.value) + ", not a positive whole number"
}

func readBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, int, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0, nil
	}
	if most > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, most)
	}
	control := http.NewResponseController(w)
	// A connection without deadlines is only found in tests.
	_ = control.SetReadDeadline(time.Now().Add(bodyTime))
	body, err := io.ReadAll(r.Body)
	_ = control.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, http.StatusRequestEntityTooLarge, err
	case err != nil:
		return nil, http.StatusBadRequest, err
	}
	return body, 0, nil
}

// refuse answers that a request has not run and when the caller may return.
func (f *Forwarder) refuse(w http.ResponseWriter, e *entry, pause time.Duration, why string) {
	w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
	f.fail(w, e, http.StatusServiceUnavailable, why)
}

func (f *Forwarder) fail(w http.ResponseWriter, e *entry, status int, why string) {
	e.status, e.why = status, why
	if e.id != "" {
		w.Header().Set(f.Headers.RequestID, e.id)
	}
	http.Error(w, why, status)
}

// part returns this host's part of the limits of a route's targets.
func (f *Forwarder) part(route *toucanrules.Route) float64 {
	if route.FansOut() {
		return f.ShardedShare()
	}
	return f.UnshardedShare()
}
