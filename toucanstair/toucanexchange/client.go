// Package toucanexchange sends requests to targets over HTTP/1.1 and reports
// whether each request may have run.
package toucanexchange

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanstatus"
)

const (
	// MaxLegDuration bounds a request to a target. Slot handover relies on
	// this bound: after it, no request of the former owner of a slot is in flight.
	MaxLegDuration = 2 * time.Second
	// maxBodyBytes bounds the body of a response to a leg.
	maxBodyBytes = 4 << 20
	// maxHeaderBytes bounds the header of a response and the body of a health response.
	maxHeaderBytes = 64 << 10
)

var (
	legsSent = metrics.NewCounter("toucan_legs_sent_total")
	// unattributedResponses counts responses that may belong to another request.
	unattributedResponses = metrics.NewCounter("toucan_responses_unattributed_total")
)

// Client sends legs to targets over pooled connections. The zero value is ready to
// use. It is safe for concurrent use.
type Client struct {
	requests atomic.Uint64 // legs and health requests, for their ids
	mu       sync.RWMutex
	pools    map[string]*targetPool
}

// Request describes one leg to send to a target.
type Request struct {
	Address        string        // IP address and port
	MaxConnections int           // limit of connections from this host to the target; values below 1 count as 1
	Leg            *toucanpb.Leg // read only
	MaySend        func() bool   // called right before the first byte is written; nil allows sending
}

// Response is the response of a target. The fields taken from headers (BootID, State,
// IndexVersions and Load) are also set for a failed request if its response was received.
type Response struct {
	Items         []*toucanpb.Item
	BootID        string        // changes when the target restarts; "" if not reported
	State         string        // such as "cold"; "" if not reported
	IndexVersions []uint64      // versions that the target serves
	Load          int           // requests in the target, as it reports; 0 if not reported
	Duration      time.Duration // from the start of the request to the end of the response or the failure
	MaybeSent     bool          // a byte of the request may have left this host
	NewConnection bool          // this was the first request on its connection
}

// Do sends one leg to a target and waits for its response, at most MaxLegDuration. If
// the connection is not used again, Do then also waits for the target to close it, at
// most closeTimeout. Errors are of type *toucanfault.Error. Their outcome is notrun only
// if no byte of the request was sent or the target refused it.
//
// A refusal or failure without the leg's id counts only if its connection carried no
// earlier request. Otherwise it may belong to that request, so the outcome is unknown.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, MaxLegDuration)
	defer cancel()
	ctx, span := otel.Tracer("toucanexchange").Start(ctx, "target", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	response, err := c.send(ctx, r)
	if response.MaybeSent {
		legsSent.Inc()
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
		return response, err
	}
	return response, nil
}

func (c *Client) send(ctx context.Context, r Request) (Response, error) {
	leg := r.Leg
	id := legID(leg, c.requests.Add(1))
	body, err := encodeQuery(leg, id)
	if err != nil {
		return Response{}, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "query cannot be encoded as JSON").Because(err)
	}
	path := "/search"
	if leg.GetOnce() {
		path = "/run"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address+path, http.NoBody)
	if err != nil {
		return Response{}, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "invalid target address "+r.Address).Because(err)
	}
	// NewRequest would also set GetBody, which allows net/http to retry the request
	// when a kept-alive connection breaks. net/http recognizes this reader as in
	// memory and writes header and body in one piece.
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

	p := c.pool(r.Address, r.MaxConnections)
	usedConn, err := p.acquire(ctx, false)
	if err != nil {
		return transportError(ctx, nil, start, err)
	}
	reusable := false
	defer func() { p.release(usedConn, reusable) }()
	newConnection := !usedConn.used
	usedConn.beginRequest(r.MaySend)
	req.Close = p.reuseStopped()
	httpResponse, err := usedConn.client.RoundTrip(req)
	if err != nil {
		response, err := transportError(ctx, usedConn, start, err)
		response.NewConnection = newConnection
		return response, err
	}
	defer httpResponse.Body.Close()
	response := Response{MaybeSent: true, NewConnection: newConnection}
	if err := toucanstatus.Code(httpResponse.StatusCode).CheckFinal(); err != nil {
		return response, toucanfault.Unknown(toucanpb.Code_CODE_INVALID, "malformed response").Because(err)
	}
	identified, err := hasID(httpResponse, id)
	if err != nil {
		unattributedResponses.Inc()
		return response, err
	}
	p.recordID(httpResponse.StatusCode, identified, newConnection)
	if !identified && !newConnection && httpResponse.StatusCode != http.StatusOK {
		unattributedResponses.Inc()
		return response, errNoID
	}
	reported := parseHeaders(httpResponse.Header)
	reported.MaybeSent, reported.NewConnection = true, newConnection
	if identified || newConnection {
		response = reported
	}
	responseBody, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxBodyBytes+1))
	response.Duration = time.Since(start)
	if err != nil || len(responseBody) > maxBodyBytes {
		if ctx.Err() != nil {
			return response, contextError(ctx, toucanpb.Outcome_OUTCOME_UNKNOWN)
		}
		return response, toucanfault.Unknown(toucanpb.Code_CODE_INVALID, "response body truncated or over the limit").Because(err)
	}
	if err := statusError(httpResponse, responseBody); err != nil {
		reusable = identified
		return response, err
	}
	items, err := decodeResponse(responseBody, leg, id)
	if err != nil {
		return response, err
	}
	reusable = identified
	reported.Duration, reported.Items = response.Duration, items
	return reported, nil
}

// transportError closes the connection and returns the error for a failed round trip.
// It blocks further writes first, so that a request reported as notrun is never sent.
func transportError(ctx context.Context, usedConn *conn, start time.Time, cause error) (Response, error) {
	response := Response{MaybeSent: usedConn != nil && !usedConn.blockWrites()}
	if usedConn != nil {
		closeAndWait(usedConn)
	}
	response.Duration = time.Since(start)
	outcome := toucanpb.Outcome_OUTCOME_NOTRUN
	if response.MaybeSent {
		outcome = toucanpb.Outcome_OUTCOME_UNKNOWN
	}
	if ctx.Err() != nil {
		return response, contextError(ctx, outcome)
	}
	if usedConn != nil && !response.MaybeSent && usedConn.maySend != nil && !usedConn.maySend() {
		return response, toucanfault.NotRun(toucanpb.Code_CODE_LEASE, "lease lost before the request was sent")
	}
	fault := &toucanfault.Error{Code: toucanpb.Code_CODE_DOWN, Outcome: outcome, Detail: "target not reached", Cause: cause}
	if response.MaybeSent {
		fault.Detail = "connection to target broken"
		if isMalformedResponse(cause) {
			fault.Code, fault.Detail = toucanpb.Code_CODE_INVALID, "malformed response"
		}
	}
	return response, fault
}

// closeAndWait closes a connection and waits until the target has closed its side,
// which shows that it stopped working on the request, or until closeTimeout.
func closeAndWait(c *conn) {
	_ = c.Close() // the connection is not used again, even if this fails
	<-c.closed
}

// contextError returns a timeout or cancellation error for a context that has ended.
func contextError(ctx context.Context, outcome toucanpb.Outcome) error {
	code, detail := toucanpb.Code_CODE_TIMEOUT, "deadline passed"
	if ctx.Err() == context.Canceled {
		code, detail = toucanpb.Code_CODE_CANCELLED, "request cancelled"
	}
	return &toucanfault.Error{Code: code, Outcome: outcome, Detail: detail, Cause: context.Cause(ctx)}
}

// Health calls GET /health and returns what the response headers report, whatever the
// status. Errors are of type *toucanfault.Error.
//
// The request has an id, which targets may return. If a target does not, each health
// request has a connection of its own, so that its response can't be mistaken for that to
// a leg, nor the reverse.
func (c *Client) Health(ctx context.Context, address string, maxConnections int) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", http.NoBody)
	if err != nil {
		return Response{}, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "invalid target address "+address).Because(err)
	}
	id := healthID(c.requests.Add(1))
	req.Header.Set(idHeader, id)
	start := time.Now()
	p := c.pool(address, maxConnections)
	usedConn, err := p.acquire(ctx, !p.isHealthIdentified())
	if err != nil {
		return Response{}, toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "health check failed").Because(err)
	}
	reusable := false
	defer func() { p.release(usedConn, reusable) }()
	newConnection := !usedConn.used
	usedConn.beginRequest(nil)
	httpResponse, err := usedConn.client.RoundTrip(req)
	if err != nil {
		return Response{}, toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "health check failed").Because(err)
	}
	defer httpResponse.Body.Close()
	if err := toucanstatus.Code(httpResponse.StatusCode).CheckFinal(); err != nil {
		return Response{}, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "health check failed").Because(err)
	}
	identified, err := hasID(httpResponse, id)
	if err == nil {
		p.setReturnsHealthID(identified)
		if !identified && !newConnection {
			err = errNoID
		}
	}
	if err != nil {
		unattributedResponses.Inc()
		return Response{}, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "health check failed").Because(err)
	}
	response := parseHeaders(httpResponse.Header)
	if _, err := io.Copy(io.Discard, io.LimitReader(httpResponse.Body, maxHeaderBytes)); err != nil {
		return response, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "cannot read the health response body").Because(err)
	}
	response.Duration = time.Since(start)
	reusable = identified
	return response, nil
}

// Retain removes the pools of the targets for which keep returns false and closes
// their idle connections.
func (c *Client) Retain(keep func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		if !keep(address) {
			p.close()
			delete(c.pools, address)
		}
	}
}

// Close closes idle connections. Requests in flight finish normally.
func (c *Client) Close() { c.Retain(func(string) bool { return false }) }

// pool returns the connection pool of an address. If the limit has changed, it creates
// a new one. Connections of the old one close when their request ends.
func (c *Client) pool(address string, maxConnections int) *targetPool {
	maxConnections = max(1, maxConnections)
	c.mu.RLock()
	p := c.pools[address]
	c.mu.RUnlock()
	if p != nil && cap(p.slots) == maxConnections {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p = c.pools[address]
	if p != nil && cap(p.slots) == maxConnections {
		return p
	}
	if p != nil {
		p.close()
	}
	if c.pools == nil {
		c.pools = make(map[string]*targetPool)
	}
	p = newTargetPool(address, maxConnections)
	c.pools[address] = p
	return p
}
