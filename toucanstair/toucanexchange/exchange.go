// Package toucanexchange sends requests to targets over HTTP/1.1 and reports
// whether each request may have run.
package toucanexchange

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
)

const (
	// MaxLegDuration bounds a request to a target; slot handover relies on it.
	MaxLegDuration = 2 * time.Second
	// bodyLimit is the largest response body, in bytes.
	bodyLimit   = 4 << 20
	headerLimit = 64 << 10
	dialTimeout = time.Second
)

var sent = metrics.NewCounter("toucan_legs_sent_total")

// Client holds the connections to targets. The zero value works.
type Client struct {
	mu      sync.RWMutex
	targets map[string]*target
}

type target struct {
	limit     int
	transport *http.Transport
	dialing   chan struct{}
}

// Request is one request to a target.
type Request struct {
	Address        string        // ip:port
	MaxConnections int           // most connections of this host to the target, at least 1
	Leg            *toucanpb.Leg // not changed
	MaySend        func() bool   // checked right before the first byte; nil allows
}

// Response is what the target said; its header fields are also set on failures
// when a response was received.
type Response struct {
	Items         []*toucanpb.Item
	BootID        string
	State         string
	IndexVersions []uint64
	Load          int
	Duration      time.Duration // from the start of the request to the end of the response
	MaybeSent     bool          // a byte may have left
	NewConnection bool          // the request was the first one of its connection
}

// Do sends one leg and returns when the exchange has ended. A failure is a
// *toucanfault.Error; its outcome is notrun only if no byte left or if the
// target refused.
func (e *Client) Do(ctx context.Context, r Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, MaxLegDuration)
	defer cancel()
	ctx, span := otel.Tracer("toucanexchange").Start(ctx, "target", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	rep, err := e.send(ctx, r)
	if rep.MaybeSent {
		sent.Inc()
	}
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("toucan.replica", r.Leg.GetReplica()),
			attribute.Int64("toucan.shard", int64(r.Leg.GetShard())))
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
		}
	}
	if err != nil {
		return rep, err
	}
	return rep, nil
}

func (e *Client) send(ctx context.Context, r Request) (Response, error) {
	leg := r.Leg
	body, err := encode(leg)
	if err != nil {
		return Response{}, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "query not encodable").Because(err)
	}
	path := "/search"
	if leg.GetOnce() {
		path = "/run"
	}
	var used *conn
	fresh := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if c, ok := i.Conn.(*conn); ok {
				c.arm(r.MaySend)
				used, fresh = c, !i.Reused
			}
		},
	})
	req, err := http.NewRequestWithContext(traced, http.MethodPost, "http://"+r.Address+path, http.NoBody)
	if err != nil {
		return Response{}, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "address "+r.Address).Because(err)
	}
	// The body is set here because NewRequest would also set GetBody, which
	// allows net/http to repeat the request on a broken kept-alive connection.
	// net/http recognizes this reader as in memory and writes head and body at once.
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	if key := leg.GetKey(); key != "" {
		req.Header.Set("Toucan-Key", key)
	}
	start := time.Now()
	if d, ok := ctx.Deadline(); ok {
		req.Header.Set("Toucan-Deadline", strconv.FormatInt(max(1, d.Sub(start).Milliseconds()), 10))
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))

	res, err := e.target(r.Address, r.MaxConnections).transport.RoundTrip(req)
	if err != nil {
		rep, err := failed(ctx, used, start, err)
		rep.NewConnection = fresh
		return rep, err
	}
	rep := headers(res.Header)
	rep.MaybeSent, rep.NewConnection = true, fresh
	raw, err := io.ReadAll(io.LimitReader(res.Body, bodyLimit+1))
	rep.Duration = time.Since(start)
	if err != nil || len(raw) > bodyLimit {
		end(used)
		res.Body.Close()
		if ctx.Err() != nil {
			return rep, expired(ctx, toucanpb.Outcome_OUTCOME_UNKNOWN)
		}
		return rep, toucanfault.Unknown(toucanpb.Code_CODE_INVALID, "response body truncated or over the limit").Because(err)
	}
	res.Body.Close()
	used.finish()
	if err := status(res, raw); err != nil {
		return rep, err
	}
	items, fault := decode(raw, leg)
	if fault != nil {
		// A response to another request means that the connection is out of step.
		end(used)
		return rep, fault
	}
	rep.Items = items
	return rep, nil
}

// failed classifies an error of the transport after closing the connection.
func failed(ctx context.Context, used *conn, start time.Time, cause error) (Response, error) {
	rep := Response{MaybeSent: used != nil && !used.seal()}
	if used != nil {
		end(used)
	}
	rep.Duration = time.Since(start)
	outcome := toucanpb.Outcome_OUTCOME_NOTRUN
	if rep.MaybeSent {
		outcome = toucanpb.Outcome_OUTCOME_UNKNOWN
	}
	if ctx.Err() != nil {
		return rep, expired(ctx, outcome)
	}
	if used != nil && !rep.MaybeSent && used.may != nil && !used.may() {
		return rep, toucanfault.NotRun(toucanpb.Code_CODE_LEASE, "lease lost before the send")
	}
	f := &toucanfault.Error{Code: toucanpb.Code_CODE_DOWN, Outcome: outcome, Detail: "target not reached", Cause: cause}
	if rep.MaybeSent {
		f.Detail = "connection to target broken"
		if malformed(cause) {
			f.Code, f.Detail = toucanpb.Code_CODE_INVALID, "malformed response"
		}
	}
	return rep, f
}

// end closes a connection and waits until the target cannot be working on its
// request any more, or the linger time has passed.
func end(c *conn) {
	_ = c.Close() // the connection is given up either way
	<-c.ended
}

func expired(ctx context.Context, o toucanpb.Outcome) error {
	code, detail := toucanpb.Code_CODE_TIMEOUT, "deadline passed"
	if ctx.Err() == context.Canceled {
		code, detail = toucanpb.Code_CODE_CANCELLED, "request cancelled"
	}
	return &toucanfault.Error{Code: code, Outcome: o, Detail: detail, Cause: context.Cause(ctx)}
}

// Health reads the headers of GET /health.
func (e *Client) Health(ctx context.Context, address string, connections int) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", http.NoBody)
	if err != nil {
		return Response{}, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "address "+address).Because(err)
	}
	start := time.Now()
	res, err := e.target(address, connections).transport.RoundTrip(req)
	if err != nil {
		return Response{}, toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "health not read").Because(err)
	}
	defer res.Body.Close()
	rep := headers(res.Header)
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, headerLimit)); err != nil {
		return rep, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "health body").Because(err)
	}
	rep.Duration = time.Since(start)
	return rep, nil
}

// Retain closes the connections to targets for which keep returns false.
func (e *Client) Retain(keep func(address string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for a, t := range e.targets {
		if !keep(a) {
			t.transport.CloseIdleConnections()
			delete(e.targets, a)
		}
	}
}

// Close closes idle connections; running requests end normally.
func (e *Client) Close() { e.Retain(func(string) bool { return false }) }

// target returns the pool of an address. A changed limit needs a new
// transport, because net/http reads the limit without a lock; connections of
// the old one close when their request ends.
func (e *Client) target(address string, limit int) *target {
	limit = max(1, limit)
	e.mu.RLock()
	t := e.targets[address]
	e.mu.RUnlock()
	if t != nil && t.limit == limit {
		return t
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	t = e.targets[address]
	if t != nil && t.limit == limit {
		return t
	}
	if t != nil {
		t.transport.CloseIdleConnections()
	}
	if e.targets == nil {
		e.targets = make(map[string]*target)
	}
	t = newTarget(limit)
	e.targets[address] = t
	return t
}

func newTarget(limit int) *target {
	t := &target{limit: limit, dialing: make(chan struct{}, 1)}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	t.transport = &http.Transport{
		DialContext:            t.dial,
		MaxConnsPerHost:        limit,
		MaxIdleConnsPerHost:    limit,
		DisableCompression:     true,
		MaxResponseHeaderBytes: headerLimit,
		Protocols:              protocols,
	}
	return t
}

// dial opens one connection at a time, because accepting one costs a target
// up to 6 ms.
func (t *target) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case t.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-t.dialing }()
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}
