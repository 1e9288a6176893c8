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
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/propagation"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucanpanic"
	"toucanstair.example/toucanstair/toucanquota"
	"toucanstair.example/toucanstair/toucanretry"
	"toucanstair.example/toucanstair/toucanrollout"
	"toucanstair.example/toucanstair/toucanrtt"
	"toucanstair.example/toucanstair/toucanrules"
	"toucanstair.example/toucanstair/toucantransport"
	"toucanstair.example/toucanstair/toucanworker"
)

const (
	// deadlineMargin is the part of a caller's deadline that is reserved for
	// returning the response.
	deadlineMargin = 15 * time.Millisecond
	// maxInFlight limits the requests that one host serves at the same time, and
	// so the memory that they use.
	maxInFlight = 600
	// The retryAfter values are the times in Retry-After. The list of targets is
	// complete 2 s after the store is available again.
	// Most callers retry once, so the first value leaves time for all hosts to start.
	retryAfterNoConfig    = 400 * time.Millisecond // until a starting host has rules
	retryAfterOverload    = 60 * time.Millisecond  // until a full host or full targets accept requests again
	retryAfterUnreachable = 150 * time.Millisecond // until a lost target may be back
	retryAfterUnlisted    = 400 * time.Millisecond // until the list has targets of more shards
)

// configSource returns the rules in effect, nil before the first ones are loaded,
// and the zones out of service.
type configSource interface {
	Rules() *toucanrules.Rules
	OutOfServiceZones() map[toucanzone.Name]bool
}

// rollouts selects the version that a request goes to while a rollout runs, and
// collects the results of each version.
type rollouts interface {
	ChooseVersion(s toucanservice.Name, route string, retry bool) toucanrollout.VersionChoice
	InProgress(s toucanservice.Name) bool
	BeginRequest(s toucanservice.Name, version, route string)
	EndRequest(s toucanservice.Name, version, route string, reached bool)
	RecordResponse(s toucanservice.Name, version, route string, code toucanpb.Code, took time.Duration)
}

// transport sends a request to a target. left is the time until the request's
// deadline.
type transport interface {
	Do(ctx context.Context, r *toucantransport.Request, left time.Duration) (*toucantransport.Response, error)
}

// Forwarder is the HTTP handler for callers' requests. Its exported fields are
// set before use.
type Forwarder struct {
	Headers     toucantransport.Headers
	Config      configSource
	Targets     *toucanbalancer.TargetSet
	Picker      *toucanbalancer.Picker
	RetryBudget *toucanretry.Budget
	Transport   transport
	Rollouts    rollouts // selects the version of a service that a request goes to
	// ShardedShare and UnshardedShare return this host's share, 0 to 1, of the
	// limits of each target, for routes over many shards and for other routes.
	ShardedShare, UnshardedShare func() float64
	Delegation                   *Delegation // nil: this host gathers all its requests itself
	// Memory limits the bytes of all request bodies and responses that the host holds; nil
	// means no limit.
	Memory *toucanquota.Quota
	Log    *zap.Logger
	// Draining reports whether the host is shutting down. Connections are then
	// closed after their response, and requests of other hosts are not accepted.
	// It may be nil.
	Draining func() bool

	inFlight     atomic.Int64
	workers      toucanworker.Pool
	sendLag      sendLag
	invalidPause sync.Once // logs an invalid Retry-After of a target
}

// statusCallerGone is the logged status of a request whose caller has left. It is not sent.
const statusCallerGone = 499

var refusedFull = metrics.NewCounter(`toucan_forward_refused_total{reason="host is full"}`)

// ServeHTTP serves one request of a caller. When the host itself responds with
// 503 and Retry-After, the request has not run.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Otherwise net/http reads the rest of a body before it sends the response. Only
	// writers in tests don't support it.
	_ = http.NewResponseController(w).EnableFullDuplex()
	tracked := &trackedWriter{ResponseWriter: w}
	var result serveResult
	if panicked := toucanpanic.Call(func() { result = f.serve(tracked, r) }); panicked != nil {
		result = f.failAfterPanic(tracked, r, panicked)
	}
	switch {
	case result == callerLeft:
		// Without a panic net/http would send a success, which a caller that has closed only
		// its sending side reads.
		panic(http.ErrAbortHandler)
	case result == bodyUnread && r.Body != nil && r.Body != http.NoBody:
		drainBody(w, r)
	}
}

// serveResult says how serving a request ended.
type serveResult int

const (
	bodyUnread serveResult = iota // there is a response, the body may not be read to its end
	bodyRead                      // there is a response, and the body is read
	callerLeft                    // there is no response, or only a part of one
)

// serve writes the response to a request.
func (f *Forwarder) serve(w http.ResponseWriter, r *http.Request) serveResult {
	start := time.Now()
	if f.Draining != nil && f.Draining() {
		w.Header().Set("Connection", "close")
	}
	defer f.inFlight.Add(-1)
	inFlight := f.inFlight.Add(1)
	log := &requestLog{id: r.Header.Get(f.Headers.RequestID), start: start, networkTime: toucanrtt.FromContext(r.Context()).BeginRequest()}
	defer f.logRequest(log)
	rules := f.Config.Rules()
	if rules == nil {
		f.refuse(w, log, retryAfterNoConfig, "no configuration is in effect yet")
		return bodyUnread
	}
	log.rulesVersion = rules.Version
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := rules.MatchRoute(r.Host, path)
	if route == nil {
		f.fail(w, log, http.StatusNotFound, "no route matches the host name and path")
		return bodyUnread
	}
	log.route = route.Name
	ctx, span := startServerSpan(r.Context(), propagation.HeaderCarrier(r.Header), "request")
	defer func() { endRequestSpan(span, log) }()
	r = r.WithContext(ctx)
	if log.id == "" {
		f.fail(w, log, http.StatusBadRequest, "the request has no id")
		return bodyUnread
	}
	if inFlight > maxInFlight {
		refusedFull.Inc()
		f.refuse(w, log, retryAfterOverload, "the host has too many requests in flight")
		return bodyUnread
	}
	deadline, err := f.requestDeadline(r, route, start)
	if err != nil {
		f.fail(w, log, http.StatusBadRequest, err.Error())
		return bodyUnread
	}
	memory := &reservingReader{quota: f.Memory}
	defer memory.release()
	body, status, err := memory.readBody(w, r, rules.Limits.MaxBodyBytes)
	switch {
	case errors.Is(err, errNoMemory):
		refusedFull.Inc()
		f.refuse(w, log, retryAfterOverload, err.Error())
		return bodyUnread
	case err != nil:
		w.Header().Set("Connection", "close")
		f.fail(w, log, status, err.Error())
		return bodyUnread
	}
	message := toucantransport.NewMessage(log.id, r.Method, r.RequestURI, r.Host, f.forwardableHeader(r.Header), body)
	d := f.newDispatch(message, route, log, deadline)
	defer d.release()
	if !f.delegate(r.Context(), w, d, body, r) {
		d.run(r.Context())
		d.respond(w)
	}
	if log.status == statusCallerGone {
		return callerLeft
	}
	return bodyRead
}

// requestDeadline returns when a request ends: at the route's timeout or at the
// caller's deadline less deadlineMargin, whichever is earlier. A deadline
// header of more than one hour counts as one hour. A malformed one is an error.
func (f *Forwarder) requestDeadline(r *http.Request, route *toucanrules.Route, start time.Time) (time.Time, error) {
	end := start.Add(route.Timeout)
	text := r.Header.Get(f.Headers.Deadline)
	if text == "" {
		return end, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return end, &headerError{f.Headers.Deadline, text}
	}
	deadline := start.Add(time.Duration(min(ms, int64(time.Hour/time.Millisecond))) * time.Millisecond)
	if deadline = deadline.Add(-deadlineMargin); deadline.Before(end) || route.Timeout <= 0 {
		end = deadline
	}
	return end, nil
}

// headerError says that a header is not a positive integer.
type headerError struct{ name, value string }

func (e *headerError) Error() string {
	return "header " + e.name + " has the value " + strconv.Quote(e.value) + ", not a positive whole number"
}

// refuse responds that the request has not run and when the caller may retry.
func (f *Forwarder) refuse(w http.ResponseWriter, log *requestLog, retryAfter time.Duration, reason string) {
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	f.fail(w, log, http.StatusServiceUnavailable, reason)
}

// fail responds with an error status and a plain-text reason.
func (f *Forwarder) fail(w http.ResponseWriter, log *requestLog, status int, reason string) {
	log.status, log.reason = status, reason
	if log.id != "" {
		w.Header().Set(f.Headers.RequestID, log.id)
	}
	reason += "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(reason)))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, reason) // the caller may be gone
}

// targetShare returns this host's share of the limits of a route's targets.
func (f *Forwarder) targetShare(route *toucanrules.Route) float64 {
	if route.FansOut() {
		return f.ShardedShare()
	}
	return f.UnshardedShare()
}
