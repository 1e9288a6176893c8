// Package toucanfrontend serves queries of callers over HTTP.
package toucanfrontend

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucancatalog"
)

const (
	maxBodyBytes     = 64 << 10 // bytes
	maxHeaderBytes   = 16 << 10 // bytes
	maxCallerIDBytes = 128      // part of the caller's own request id that is logged

	// A slow caller holds a connection and a goroutine, so each part of a request has
	// its own timeout.
	headerTimeout = 2 * time.Second
	bodyTimeout   = 5 * time.Second
	idleTimeout   = time.Minute
	// writeTimeout starts at the end of the header, so it covers the body, the longest
	// query and the response.
	writeTimeout = 30 * time.Second

	defaultMaxInFlight = 1000 // queries
)

// coordinator runs queries; toucanquery.Coordinator implements it.
type coordinator interface {
	Search(ctx context.Context, request string, q *toucanpb.Query) (*toucanpb.Answer, error)
}

// configuration returns the catalog in effect, or nil if there is none.
type configuration interface {
	Catalog() *toucancatalog.Catalog
}

// drainer counts running queries, so that a shutdown waits for them.
type drainer interface {
	// BeginQuery counts a query until EndQuery. It returns false, and counts none, if
	// the host refuses new queries.
	BeginQuery() bool
	EndQuery()
	// Stopping reports whether a shutdown has started.
	Stopping() bool
}

// Frontend is the HTTP server for callers. Without a Coordinator or Configuration it
// refuses all queries. Fields must not change after first use.
type Frontend struct {
	Zone          toucanzone.Name
	Coordinator   coordinator
	Configuration configuration
	Drainer       drainer // may be nil
	MaxInFlight   int     // concurrent queries; 0 means 1,000
	Log           *zap.Logger
	Tracer        trace.Tracer

	inFlight atomic.Int64
	server   atomic.Pointer[http.Server]
}

var (
	querySeconds     = metrics.NewHistogram("toucan_query_seconds")
	fullResponses    = metrics.NewCounter(`toucan_responses_total{coverage="full"}`)
	partialResponses = metrics.NewCounter(`toucan_responses_total{coverage="partial"}`)
)

// Serve accepts connections on l until Shutdown is called or ctx ends, and then sends
// nil on the channel. If accepting connections fails before, it sends the error.
func (f *Frontend) Serve(ctx context.Context, l net.Listener) <-chan error {
	s := &http.Server{
		Handler:           f.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       headerTimeout + bodyTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(f.log()),
		BaseContext:       func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
	}
	f.server.Store(s)
	end := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() {
		defer stop()
		err := s.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		end <- err
	}()
	return end
}

// Shutdown closes the listener and waits until all responses have been sent. It fails
// if ctx ends before.
func (f *Frontend) Shutdown(ctx context.Context) error {
	if s := f.server.Load(); s != nil {
		return s.Shutdown(ctx)
	}
	return nil
}

// InFlight returns the number of queries in flight.
func (f *Frontend) InFlight() int64 { return f.inFlight.Load() }

// Handler returns the handler of all paths, of which only POST /v1/search is served.
func (f *Frontend) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestID := newRequestID()
		w.Header().Set("X-Request-Id", requestID)
		if f.Drainer != nil && f.Drainer.Stopping() {
			// The caller opens its next connection to another host.
			w.Header().Set("Connection", "close")
		}
		defer f.recoverPanic(w, requestID)
		switch {
		case r.URL.Path != "/v1/search":
			f.refuse(w, requestID, http.StatusNotFound, toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, "no such path; queries go to POST /v1/search"))
		case r.Method != http.MethodPost:
			w.Header().Set("Allow", http.MethodPost)
			f.refuse(w, requestID, http.StatusMethodNotAllowed, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "queries are sent with POST"))
		default:
			f.search(w, r, requestID)
		}
	})
}

// search runs one query. It counts a query as in flight only after it has read the
// body, so that slow callers do not use up the limit, and refuses at once at the limit.
func (f *Frontend) search(w http.ResponseWriter, r *http.Request, requestID string) {
	start := time.Now()
	if err := f.checkAdmission(); err != nil {
		f.refuse(w, requestID, statusOf(err), err)
		return
	}
	if f.inFlight.Load() >= f.maxInFlight() {
		f.refuse(w, requestID, http.StatusServiceUnavailable, f.overloadFault())
		return
	}
	q, status, err := readQuery(w, r)
	if err != nil {
		f.refuse(w, requestID, status, err)
		return
	}
	if f.inFlight.Add(1) > f.maxInFlight() {
		f.inFlight.Add(-1)
		f.refuse(w, requestID, http.StatusServiceUnavailable, f.overloadFault())
		return
	}
	defer f.inFlight.Add(-1)
	if f.Drainer != nil {
		if !f.Drainer.BeginQuery() {
			f.refuse(w, requestID, http.StatusServiceUnavailable, toucanfault.NotRun(toucanpb.Code_CODE_STOPPING, "the host is stopping"))
			return
		}
		defer f.Drainer.EndQuery()
	}
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := f.tracer().Start(ctx, "query", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("request", requestID), attribute.String("service", q.GetService()), attribute.String("route", q.GetRoute())))
	defer span.End()
	f.log().Debug("query", zap.String("request", requestID), zap.String("caller", callerRequestID(r)),
		zap.String("service", q.GetService()), zap.String("route", q.GetRoute()))
	a, fault := f.run(ctx, requestID, q)
	querySeconds.UpdateDuration(start)
	if fault != nil {
		span.SetStatus(codes.Error, fault.Error())
		f.refuse(w, requestID, statusOf(fault), fault)
		return
	}
	span.SetAttributes(attribute.Int("asked", int(a.GetCoverage().GetAsked())), attribute.Int("answered", int(a.GetCoverage().GetAnswered())))
	f.respond(w, requestID, a)
}

func (f *Frontend) run(ctx context.Context, requestID string, q *toucanpb.Query) (*toucanpb.Answer, *toucanfault.Error) {
	a, err := f.Coordinator.Search(ctx, requestID, q)
	if err == nil {
		return a, nil
	}
	if fault := toucanfault.As(err); fault != nil {
		return nil, fault
	}
	return nil, toucanfault.Unknown(toucanpb.Code_CODE_INTERNAL, "query failed").Because(err)
}

func (f *Frontend) respond(w http.ResponseWriter, requestID string, a *toucanpb.Answer) {
	body, err := encodeAnswer(a)
	if err != nil {
		f.log().Error("encoding a response", zap.String("request", requestID), zap.Error(err))
		f.refuse(w, requestID, http.StatusInternalServerError, toucanfault.Unknown(toucanpb.Code_CODE_INTERNAL, "the response cannot be encoded"))
		return
	}
	if a.GetCoverage().GetAnswered() == a.GetCoverage().GetAsked() {
		fullResponses.Inc()
	} else {
		partialResponses.Inc()
	}
	for _, m := range a.GetCoverage().GetMissing() {
		metrics.GetOrCreateCounter(fmt.Sprintf("toucan_missing_total{reason=%q}", m.GetReason())).Inc()
	}
	writeJSON(w, http.StatusOK, body)
}

// refuse sends an error response and counts it as a refusal, also for a query that ran
// and failed.
func (f *Frontend) refuse(w http.ResponseWriter, requestID string, status int, fault *toucanfault.Error) {
	body, err := encodeRefusal(requestID, fault)
	if err != nil {
		f.log().Error("encoding a refusal", zap.String("request", requestID), zap.Error(err))
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("toucan_refusals_total{code=%q,outcome=%q}",
		toucanfault.CodeName(fault.Code), outcomeWord(fault.Outcome))).Inc()
	f.log().Debug("refusal", zap.String("request", requestID), zap.Int("status", status), zap.Error(fault))
	writeJSON(w, status, body)
}

// checkAdmission returns the reason why this host accepts no queries, or nil.
func (f *Frontend) checkAdmission() *toucanfault.Error {
	if f.Configuration == nil || f.Coordinator == nil {
		return toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "no configuration is in effect on this host")
	}
	c := f.Configuration.Catalog()
	if c == nil {
		return toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "no configuration is in effect on this host")
	}
	if c.ZoneOutOfService(f.Zone) {
		return toucanfault.NotRun(toucanpb.Code_CODE_OUT, fmt.Sprintf("zone %s is out of service", f.Zone))
	}
	return nil
}

func (f *Frontend) overloadFault() *toucanfault.Error {
	return toucanfault.NotRun(toucanpb.Code_CODE_OVERLOAD, fmt.Sprintf("%d queries are in flight", f.maxInFlight()))
}

// recoverPanic responds to a panic with status 500. The outcome is unknown, because
// legs may have been sent.
func (f *Frontend) recoverPanic(w http.ResponseWriter, requestID string) {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(p)
	}
	f.log().Error("panic", zap.String("request", requestID), zap.Any("panic", p), zap.Stack("stack"))
	f.refuse(w, requestID, http.StatusInternalServerError, toucanfault.Unknown(toucanpb.Code_CODE_INTERNAL, "a defect in the host"))
}

func (f *Frontend) maxInFlight() int64 {
	if f.MaxInFlight > 0 {
		return int64(f.MaxInFlight)
	}
	return defaultMaxInFlight
}

func (f *Frontend) log() *zap.Logger {
	if f.Log == nil {
		return zap.NewNop()
	}
	return f.Log
}

func (f *Frontend) tracer() trace.Tracer {
	if f.Tracer == nil {
		return noop.Tracer{}
	}
	return f.Tracer
}

// newRequestID returns a random id of 128 bits in hexadecimal. The caller's own id is
// not used, because two callers may send the same one.
func newRequestID() string {
	var b [16]byte
	rand.Read(b[:]) // documented to never fail
	return hex.EncodeToString(b[:])
}

// callerRequestID returns the caller's own request id, shortened for the log.
func callerRequestID(r *http.Request) string {
	id := r.Header.Get("X-Request-Id")
	return id[:min(len(id), maxCallerIDBytes)]
}

// statusOf returns the HTTP status of a failure.
func statusOf(fault *toucanfault.Error) int {
	switch fault.Code {
	case toucanpb.Code_CODE_INVALID:
		// If nothing ran, the query is invalid; otherwise, the response of a target is.
		if fault.Outcome != toucanpb.Outcome_OUTCOME_NOTRUN {
			return http.StatusBadGateway
		}
		return http.StatusBadRequest
	case toucanpb.Code_CODE_UNKNOWN:
		return http.StatusNotFound
	case toucanpb.Code_CODE_DUPLICATE:
		return http.StatusConflict
	case toucanpb.Code_CODE_TIMEOUT, toucanpb.Code_CODE_CANCELLED:
		return http.StatusGatewayTimeout
	case toucanpb.Code_CODE_FAILED:
		return http.StatusBadGateway
	case toucanpb.Code_CODE_INTERNAL, toucanpb.Code_CODE_UNSPECIFIED:
		return http.StatusInternalServerError
	}
	return http.StatusServiceUnavailable
}
