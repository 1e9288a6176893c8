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
)

const (
	// MaxLegDuration bounds a request to a target. Slot handover relies on
	// this bound: after it, no request of the former owner of a slot is in flight.
	MaxLegDuration = 2 * time.Second
	// maxBodyBytes bounds the body of a response to a leg.
	maxBodyBytes = 4 << 20
	// maxHeaderBytes bounds the header of a response and the body of a health response.
	maxHeaderBytes = 64 << 10
	dialTimeout    = time.Second
)

var legsSent = metrics.NewCounter("toucan_legs_sent_total")

// Client sends legs to targets over pooled connections. The zero value is ready to
// use. It is safe for concurrent use.
type Client struct {
	legs  atomic.Uint64 // legs sent, for their ids
	mu    sync.RWMutex
	pools map[string]*targetPool
}

// targetPool holds the connections to one target.
type targetPool struct {
	maxConnections int
	transport      *http.Transport
	dialSemaphore  chan struct{} // capacity 1: one dial at a time
}

// Request describes one leg to send to a target.
type Request struct {
	Address        string        // IP address and port
	MaxConnections int           // limit of connections from this host to the target; values below 1 count as 1
	Leg            *toucanpb.Leg // read only
	MaySend        func() bool   // called right before the first byte is written; nil allows sending
}

// Response is the response of a target. The fields taken from headers (BootID, State,
// IndexVersions and Load) are also set for a failed request if a response was received.
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
// there is no complete response, Do then also waits for the target to close the
// connection, at most closeTimeout. Errors are of type *toucanfault.Error. Their outcome
// is notrun only if no byte of the request was sent or the target refused it.
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
	id := legID(leg, c.legs.Add(1))
	body, err := encodeQuery(leg, id)
	if err != nil {
		return Response{}, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "query cannot be encoded as JSON").Because(err)
	}
	path := "/search"
	if leg.GetOnce() {
		path = "/run"
	}
	var usedConn *conn
	newConnection := false
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if c, ok := i.Conn.(*conn); ok {
				c.beginRequest(r.MaySend)
				usedConn, newConnection = c, !i.Reused
			}
		},
	})
	req, err := http.NewRequestWithContext(tracedCtx, http.MethodPost, "http://"+r.Address+path, http.NoBody)
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

	httpResponse, err := c.pool(r.Address, r.MaxConnections).transport.RoundTrip(req)
	if err != nil {
		response, err := transportError(ctx, usedConn, start, err)
		response.NewConnection = newConnection
		return response, err
	}
	response := parseHeaders(httpResponse.Header)
	response.MaybeSent, response.NewConnection = true, newConnection
	// Once the body is read, net/http gives the connection to the next leg.
	if err := headerError(httpResponse.Header, id); err != nil {
		closeAndWait(usedConn)
		httpResponse.Body.Close()
		return response, err
	}
	responseBody, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxBodyBytes+1))
	response.Duration = time.Since(start)
	if err != nil || len(responseBody) > maxBodyBytes {
		closeAndWait(usedConn)
		httpResponse.Body.Close()
		if ctx.Err() != nil {
			return response, contextError(ctx, toucanpb.Outcome_OUTCOME_UNKNOWN)
		}
		return response, toucanfault.Unknown(toucanpb.Code_CODE_INVALID, "response body truncated or over the limit").Because(err)
	}
	httpResponse.Body.Close()
	usedConn.endRequest()
	if err := statusError(httpResponse, responseBody); err != nil {
		return response, err
	}
	items, decodeErr := decodeResponse(responseBody, leg, id)
	if decodeErr != nil {
		// The response may belong to another request, so the connection cannot be reused.
		closeAndWait(usedConn)
		return response, decodeErr
	}
	response.Items = items
	return response, nil
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
func (c *Client) Health(ctx context.Context, address string, maxConnections int) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", http.NoBody)
	if err != nil {
		return Response{}, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "invalid target address "+address).Because(err)
	}
	start := time.Now()
	httpResponse, err := c.pool(address, maxConnections).transport.RoundTrip(req)
	if err != nil {
		return Response{}, toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "health check failed").Because(err)
	}
	defer httpResponse.Body.Close()
	response := parseHeaders(httpResponse.Header)
	if _, err := io.Copy(io.Discard, io.LimitReader(httpResponse.Body, maxHeaderBytes)); err != nil {
		return response, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "cannot read the health response body").Because(err)
	}
	response.Duration = time.Since(start)
	return response, nil
}

// Retain removes the pools of the targets for which keep returns false and closes
// their idle connections.
func (c *Client) Retain(keep func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		if !keep(address) {
			p.transport.CloseIdleConnections()
			delete(c.pools, address)
		}
	}
}

// Close closes idle connections. Requests in flight finish normally.
func (c *Client) Close() { c.Retain(func(string) bool { return false }) }

// pool returns the connection pool of an address. If the limit has changed, it creates
// a new transport, because net/http reads the limit without a lock. Connections of the
// old transport close when their request ends.
func (c *Client) pool(address string, maxConnections int) *targetPool {
	maxConnections = max(1, maxConnections)
	c.mu.RLock()
	p := c.pools[address]
	c.mu.RUnlock()
	if p != nil && p.maxConnections == maxConnections {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p = c.pools[address]
	if p != nil && p.maxConnections == maxConnections {
		return p
	}
	if p != nil {
		p.transport.CloseIdleConnections()
	}
	if c.pools == nil {
		c.pools = make(map[string]*targetPool)
	}
	p = newTargetPool(maxConnections)
	c.pools[address] = p
	return p
}

func newTargetPool(maxConnections int) *targetPool {
	p := &targetPool{maxConnections: maxConnections, dialSemaphore: make(chan struct{}, 1)}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	p.transport = &http.Transport{
		DialContext:            p.dial,
		MaxConnsPerHost:        maxConnections,
		MaxIdleConnsPerHost:    maxConnections,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              protocols,
	}
	return p
}

// dial opens one connection at a time, because accepting a connection costs a target
// up to 6 ms.
func (p *targetPool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case p.dialSemaphore <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-p.dialSemaphore }()
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}
