// Package toucanfrontend is the callers' HTTP listener.
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
	maxBody    = 64 << 10 // bytes
	maxHeader  = 16 << 10 // bytes
	maxCallers = 128      // bytes of the caller's own request id that are logged

	// A slow caller holds a connection and a goroutine, so each part of a
	// request has its own time limit.
	headerTimeout = 2 * time.Second
	bodyTimeout   = 5 * time.Second
	idleTimeout   = time.Minute
	// writeTimeout runs from the end of the header, so it covers the body, the
	// longest query and the response.
	writeTimeout = 30 * time.Second

	defaultInflight = 1000
)

type coordinator interface {
	Search(ctx context.Context, request string, q *toucanpb.Query) (*toucanpb.Answer, error)
}

type keeper interface {
	Catalog() *toucancatalog.Catalog
}

type drainer interface {
	BeginQuery() bool
	EndQuery()
	Stopping() bool
}

// Frontend serves callers. Its fields are set before use and not changed;
// without a Coordinator or Keeper it refuses all queries.
type Frontend struct {
	Zone          toucanzone.Name
	Coordinator   coordinator
	Configuration keeper
	Drainer       drainer // may be nil
	MaxInFlight   int     // queries at a time; 0 means 1,000
	Log           *zap.Logger
	Tracer        trace.Tracer

	running atomic.Int64
	server  atomic.Pointer[http.Server]
}

var (
	seconds = metrics.NewHistogram("toucan_query_seconds")
	full    = metrics.NewCounter(`toucan_responses_total{coverage="full"}`)
	partial = metrics.NewCounter(`toucan_responses_total{coverage="partial"}`)
)

// Serve accepts callers on l until Shutdown or the end of ctx, and then reports
// on the channel why it ended; nil after Shutdown.
func (f *Frontend) Serve(ctx context.Context, l net.Listener) <-chan error {
	s := &http.Server{
		Handler:           f.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       headerTimeout + bodyTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
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

// Shutdown closes the listener and waits until the responses have been sent.
func (f *Frontend) Shutdown(ctx context.Context) error {
	if s := f.server.Load(); s != nil {
		return s.Shutdown(ctx)
	}
	return nil
}

// InFlight returns the number of queries in flight.
func (f *Frontend) InFlight() int64 { return f.running.Load() }

// Handler returns the handler of all paths.
func (f *Frontend) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := newRequest()
		w.Header().Set("X-Request-Id", request)
		if f.Drainer != nil && f.Drainer.Stopping() {
			// The caller opens its next connection to another host.
			w.Header().Set("Connection", "close")
		}
		defer f.recovered(w, request)
		switch {
		case r.URL.Path != "/v1/search":
			f.refuse(w, request, http.StatusNotFound, toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, "no such path; queries go to POST /v1/search"))
		case r.Method != http.MethodPost:
			w.Header().Set("Allow", http.MethodPost)
			f.refuse(w, request, http.StatusMethodNotAllowed, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "queries are sent with POST"))
		default:
			f.search(w, r, request)
		}
	})
}

// search reads a query before it takes a place, so that a slow caller holds
// none, and refuses at once when no place is free.
func (f *Frontend) search(w http.ResponseWriter, r *http.Request, request string) {
	start := time.Now()
	if err := f.admissible(); err != nil {
		f.refuse(w, request, statusOf(err), err)
		return
	}
	if f.running.Load() >= f.inflight() {
		f.refuse(w, request, http.StatusServiceUnavailable, f.overload())
		return
	}
	q, status, err := read(w, r)
	if err != nil {
		f.refuse(w, request, status, err)
		return
	}
	if f.running.Add(1) > f.inflight() {
		f.running.Add(-1)
		f.refuse(w, request, http.StatusServiceUnavailable, f.overload())
		return
	}
	defer f.running.Add(-1)
	if f.Drainer != nil {
		if !f.Drainer.BeginQuery() {
			f.refuse(w, request, http.StatusServiceUnavailable, toucanfault.NotRun(toucanpb.Code_CODE_STOPPING, "the host is stopping"))
			return
		}
		defer f.Drainer.EndQuery()
	}
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := f.tracer().Start(ctx, "query", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("request", request), attribute.String("service", q.GetService()), attribute.String("route", q.GetRoute())))
	defer span.End()
	f.log().Debug("query", zap.String("request", request), zap.String("caller", callers(r)),
		zap.String("service", q.GetService()), zap.String("route", q.GetRoute()))
	a, fault := f.run(ctx, request, q)
	seconds.UpdateDuration(start)
	if fault != nil {
		span.SetStatus(codes.Error, fault.Error())
		f.refuse(w, request, statusOf(fault), fault)
		return
	}
	span.SetAttributes(attribute.Int("asked", int(a.GetCoverage().GetAsked())), attribute.Int("answered", int(a.GetCoverage().GetAnswered())))
	f.respond(w, request, a)
}

func (f *Frontend) run(ctx context.Context, request string, q *toucanpb.Query) (*toucanpb.Answer, *toucanfault.Error) {
	a, err := f.Coordinator.Search(ctx, request, q)
	if err == nil {
		return a, nil
	}
	if fault := toucanfault.As(err); fault != nil {
		return nil, fault
	}
	return nil, toucanfault.Unknown(toucanpb.Code_CODE_INTERNAL, "query failed").Because(err)
}

func (f *Frontend) respond(w http.ResponseWriter, request string, a *toucanpb.Answer) {
	body, err := encode(a)
	if err != nil {
		f.log().Error("encoding a response", zap.String("request", request), zap.Error(err))
		f.refuse(w, request, http.StatusInternalServerError, toucanfault.Unknown(toucanpb.Code_CODE_INTERNAL, "the response cannot be encoded"))
		return
	}
	if a.GetCoverage().GetAnswered() == a.GetCoverage().GetAsked() {
		full.Inc()
	} else {
		partial.Inc()
	}
	for _, m := range a.GetCoverage().GetMissing() {
		metrics.GetOrCreateCounter(fmt.Sprintf("toucan_missing_total{reason=%q}", m.GetReason())).Inc()
	}
	write(w, http.StatusOK, body)
}

func (f *Frontend) refuse(w http.ResponseWriter, request string, status int, e *toucanfault.Error) {
	body, err := encodeRefusal(request, e)
	if err != nil {
		f.log().Error("encoding a refusal", zap.String("request", request), zap.Error(err))
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("toucan_refusals_total{code=%q,outcome=%q}",
		toucanfault.CodeWord(e.Code), outcomeWord(e.Outcome))).Inc()
	f.log().Debug("refusal", zap.String("request", request), zap.Int("status", status), zap.Error(e))
	write(w, status, body)
}

// admissible returns why no query is accepted now, or nil.
func (f *Frontend) admissible() *toucanfault.Error {
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

func (f *Frontend) overload() *toucanfault.Error {
	return toucanfault.NotRun(toucanpb.Code_CODE_OVERLOAD, fmt.Sprintf("%d queries are in flight", f.inflight()))
}

// recovered answers a panic with 500; the outcome is unknown because legs may
// have been sent.
func (f *Frontend) recovered(w http.ResponseWriter, request string) {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(p)
	}
	f.log().Error("panic", zap.String("request", request), zap.Any("panic", p), zap.Stack("stack"))
	f.refuse(w, request, http.StatusInternalServerError, toucanfault.Unknown(toucanpb.Code_CODE_INTERNAL, "a defect in the host"))
}

func (f *Frontend) inflight() int64 {
	if f.MaxInFlight > 0 {
		return int64(f.MaxInFlight)
	}
	return defaultInflight
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

// newRequest returns a random id of 128 bits, hexadecimal. The caller's own id
// is not used: two callers may send the same one.
func newRequest() string {
	var b [16]byte
	rand.Read(b[:]) // it never fails, by its documentation
	return hex.EncodeToString(b[:])
}

func callers(r *http.Request) string {
	id := r.Header.Get("X-Request-Id")
	return id[:min(len(id), maxCallers)]
}

// statusOf returns the HTTP status for a failure.
func statusOf(e *toucanfault.Error) int {
	switch e.Code {
	case toucanpb.Code_CODE_INVALID:
		if e.Outcome != toucanpb.Outcome_OUTCOME_NOTRUN {
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
