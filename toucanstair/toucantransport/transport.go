// Package toucantransport sends requests to targets over pooled HTTP/1.1 connections,
// and reports for each failure whether the request may have been executed.
package toucantransport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanstatus"
	"toucanstair.example/toucanstair/toucanquota"
	"toucanstair.example/toucanstair/toucanresponse"
)

const (
	// maxStrayResponses bounds the responses to earlier requests that are skipped.
	maxStrayResponses = 32
	// maxInterimResponses bounds the 1xx responses before the final one.
	maxInterimResponses = 8
	// minConcurrentBody is the size of a request body, in bytes, from which the response
	// is read while the body is still being written.
	minConcurrentBody = 8 << 10
	// maxLoggedHeaderBytes bounds what a log line quotes of a header.
	maxLoggedHeaderBytes = 128
)

var (
	dialCount = metrics.NewCounter("toucan_send_dials_total")
	// earlyResponses counts responses that arrived before the request body was written.
	earlyResponses = metrics.NewCounter("toucan_send_early_responses_total")
	// omittedIDs counts how often a target was found to leave the id out of responses.
	omittedIDs = metrics.NewCounter("toucan_send_targets_without_ids_total")
	// mixedResponses counts responses that have a part of another one in them.
	mixedResponses = metrics.NewCounter("toucan_send_mixed_responses_total")
	// invalidStatuses counts responses whose status is not one of HTTP.
	invalidStatuses = metrics.NewCounter("toucan_send_invalid_statuses_total")
	// oversizedResponses counts responses that were cut off at a limit.
	oversizedResponses = metrics.NewCounter("toucan_send_oversized_responses_total")
)

// Headers holds the names of the headers in requests to targets and in their
// responses.
type Headers struct {
	RequestID      string // id of the request, echoed by the target
	Deadline       string // time left, in milliseconds
	ExpectedTarget string // id of the target that the request is meant for
	Signature      string // signature of a response, different for each
	NotExecuted    string // set by a target that did not execute the request
	Load           string // load that a target reports
	ColdRemaining  string // remaining cold start of the target, in milliseconds
	PartSignatures string // signatures in a merged response
	MissingShards  string // shards missing from a merged response
	Leaving        string // set by a target that is about to leave

	// ParseLoad returns the number of waiting requests in the value of a Load header,
	// and whether the value is valid.
	ParseLoad func(string) (waiting int, ok bool)
}

// Request is a request to one target.
type Request struct {
	Target         toucanreplica.ID
	Address        string
	Message        *Message
	MaxConnections int // of this host to the target; 0: no limit
	// FreshConnection requires a connection that is new or was used a short time ago,
	// because the request cannot be retried.
	FreshConnection bool
	// DialTimeout bounds the dialing of a new connection.
	DialTimeout time.Duration
	// MaxBodyBytes bounds the body of the response, to at most 8 MiB, which is the default.
	MaxBodyBytes int64
}

// Message is the part of a request that is the same for all targets it is sent to.
type Message struct {
	ID     string
	Method string
	Body   []byte

	head []byte // request line and headers, without those of requestHead
}

// NewMessage returns the message of a request. The URI is sent as the caller wrote it;
// header must not contain hop-by-hop headers.
func NewMessage(id, method, uri, host string, header http.Header, body []byte) *Message {
	var b bytes.Buffer
	b.WriteString(method)
	b.WriteByte(' ')
	b.WriteString(uri)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(host)
	b.WriteString("\r\n")
	// Writes to a bytes.Buffer do not fail.
	_ = header.Write(&b)
	if len(body) > 0 || method != http.MethodGet && method != http.MethodHead {
		writeField(&b, "Content-Length", strconv.Itoa(len(body)))
	}
	return &Message{ID: id, Method: method, Body: body, head: b.Bytes()}
}

func writeField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// Response is a complete response.
type Response struct {
	Status   int
	Header   http.Header
	Body     []byte
	Exchange Exchange

	memory *reservation
}

// Exchange says on which connection a response arrived, for logs.
type Exchange struct {
	Connection string // local address
	Number     int    // of the requests that the connection has carried, this one included
	Echoed     bool   // the response had the id of its request
	Signature  string // of the response, cut off at maxLoggedHeaderBytes
}

// Release returns the memory of the response to the transport's quota. The response
// must not be used afterwards. It is safe to call it again, and on nil.
func (r *Response) Release() {
	if r != nil && r.memory != nil {
		r.memory.release()
	}
}

// FailureKind says what is known of a request that got no response.
type FailureKind int

// The kinds of failures.
const (
	MaybeExecuted          FailureKind = iota // the target may have executed the request
	NotSent                                   // no byte was sent
	Unreachable                               // no connection could be established
	ConnectionLimitReached                    // Request.MaxConnections are in use
)

// Error is a failed exchange.
type Error struct {
	Kind  FailureKind
	Cause error
}

// Error returns the kind in words, and the cause.
func (e *Error) Error() string {
	words := [...]string{"the request may have run", "the request was not sent", "the target could not be reached", "no connection is free"}
	if e.Cause == nil {
		return words[e.Kind]
	}
	return words[e.Kind] + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Transport sends requests to targets over pooled connections. The exported fields are
// set before use.
type Transport struct {
	Headers Headers
	// Memory limits the bytes of all responses that are being read or were not released
	// yet; nil means no limit.
	Memory *toucanquota.Quota
	// Log gets a line for each response that is skipped; nil means none.
	Log *zap.Logger

	pools      pools
	spliceWait time.Duration // see splice
}

// Do sends a request and returns its complete response. timeLeft is sent in the Deadline
// header. When ctx ends first, the connection is closed, which tells the target to
// stop. Any error is an *Error.
func (t *Transport) Do(ctx context.Context, r *Request, timeLeft time.Duration) (*Response, error) {
	p := t.pools.get(r.Target, r.Address)
	c, kind, err := p.acquire(ctx, r)
	if err != nil {
		return nil, &Error{kind, err}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	memory := &reservation{quota: t.Memory}
	c.limit.memory = memory
	c.history.begin(r.Message)
	res, reuse, err := t.roundTrip(c, r, timeLeft)
	c.limit.memory = nil
	if err == nil {
		res.memory = memory
		res.Exchange = Exchange{
			Connection: c.LocalAddr().String(), Number: len(c.history.requests),
			Echoed: res.Header.Get(t.Headers.RequestID) != "", Signature: clip(res.Header.Get(t.Headers.Signature)),
		}
	}
	if !stop() || err != nil || !reuse {
		p.discard(c)
	} else {
		p.release(c)
	}
	if err != nil {
		memory.release()
		if c.unused && errors.Is(err, syscall.ECONNRESET) {
			p.reduceLimit()
		}
		if errors.Is(err, errTooLarge) || errors.Is(err, errNoMemory) {
			oversizedResponses.Inc()
		}
		return nil, &Error{MaybeExecuted, err}
	}
	return res, nil
}

// HasIdleConnection reports whether there is a usable idle connection to a target.
func (t *Transport) HasIdleConnection(id toucanreplica.ID, address string) bool {
	return t.pools.get(id, address).hasIdle()
}

// Retain closes the connections to targets for which wanted is false.
func (t *Transport) Retain(wanted func(toucanreplica.ID) bool) { t.pools.retain(wanted) }

// roundTrip writes a request, reads its response, and reports whether the connection
// can be reused.
func (t *Transport) roundTrip(c *conn, r *Request, timeLeft time.Duration) (*Response, bool, error) {
	head := t.requestHead(r, timeLeft)
	written := make(chan error, 1)
	c.written = written
	if len(r.Message.Body) < minConcurrentBody {
		if _, err := c.Write(append(head, r.Message.Body...)); err != nil {
			return nil, false, err
		}
		written <- nil
	} else {
		go func() {
			buffers := net.Buffers{head, r.Message.Body}
			_, err := buffers.WriteTo(c.Conn)
			written <- err
		}()
	}
	res, reuse, err := t.readResponse(c, r)
	select {
	case e := <-written:
		return res, reuse && e == nil, err
	default:
		// The response arrived before the body was written. Closing ends the write.
		c.Close()
		if e := <-written; e != nil && err == nil {
			earlyResponses.Inc()
		}
		return res, false, err
	}
}

// requestHead returns the request line and headers, with capacity for a short body.
func (t *Transport) requestHead(r *Request, timeLeft time.Duration) []byte {
	const extraHeaderBytes = 128 // for the headers below
	var b bytes.Buffer
	b.Grow(len(r.Message.head) + extraHeaderBytes + min(len(r.Message.Body), minConcurrentBody))
	b.Write(r.Message.head)
	writeField(&b, t.Headers.Deadline, strconv.FormatInt(max(1, timeLeft.Milliseconds()), 10))
	writeField(&b, t.Headers.ExpectedTarget, string(r.Target))
	b.WriteString("\r\n")
	return b.Bytes()
}

var (
	errNoFinalResponse = constError("only interim responses or responses to other requests arrived")
	errTooLarge        = constError("the response is larger than the limit")
	errNoMemory        = constError("the responses in memory have reached the limit")
	errUnattributed    = constError("the response may be one to another request")
	errMixedResponse   = constError("the response has a part of another one in it")
	errConnectionLimit = constError("the limit of connections to the target is reached")
)

// constError is an error with a fixed text.
type constError string

func (e constError) Error() string { return string(e) }

// readResponse returns the response to r and whether the connection can be reused.
// Responses to earlier requests are skipped. One that may be to an earlier request or to
// this one ends the exchange, because a second response to r could come next.
func (t *Transport) readResponse(c *conn, r *Request) (*Response, bool, error) {
	request := &http.Request{Method: r.Message.Method}
	maxBytes := int64(maxBodyBytes)
	if r.MaxBodyBytes > 0 {
		maxBytes = min(maxBytes, r.MaxBodyBytes)
	}
	skipped, interim := 0, 0
	for skipped < maxStrayResponses && interim < maxInterimResponses {
		res, last, err := t.readNext(c, request, maxBytes)
		if err != nil {
			return nil, false, err
		}
		if toucanstatus.Code(res.Status).IsInterim() {
			interim++
			continue
		}
		kind, echoed := t.Headers.kind(res), res.Header.Get(t.Headers.RequestID) != ""
		if reason := c.history.strayReason(t.Headers, r.Message.ID, res); reason != "" {
			t.logStray(c, r, res, reason)
			c.history.record(t.Headers, res)
			switch {
			case reason == unknownID:
				return nil, false, errUnattributed
			case reason == noID && !c.pool.hasID(kind):
				c.pool.suspectOmission()
				return nil, false, errUnattributed
			case last:
				return nil, false, errNoFinalResponse
			}
			skipped++
			continue
		}
		c.pool.recordEcho(kind, echoed, len(c.history.requests) == 1)
		c.setIdleTimeout(res.Header.Get("Keep-Alive"))
		c.history.record(t.Headers, res)
		return res, !last && echoed && !c.history.full() && c.r.Buffered() == 0, nil
	}
	return nil, false, errNoFinalResponse
}

// logStray counts and logs a response that is skipped.
func (t *Transport) logStray(c *conn, r *Request, res *Response, reason string) {
	metrics.GetOrCreateCounter(`toucan_send_stray_responses_total{reason="` + reason + `"}`).Inc()
	if t.Log == nil {
		return
	}
	t.Log.Info("response skipped",
		zap.String("request", r.Message.ID), zap.String("target", string(r.Target)), zap.String("reason", reason),
		zap.String("connection", c.LocalAddr().String()), zap.Int("exchange", len(c.history.requests)), zap.Int("status", res.Status),
		zap.String("id", clip(res.Header.Get(t.Headers.RequestID))), zap.String("signature", clip(res.Header.Get(t.Headers.Signature))))
}

// clip bounds what a log line quotes of a target's header.
func clip(text string) string { return text[:min(len(text), maxLoggedHeaderBytes)] }

// readNext returns the next response, and whether it is the last one of its
// connection.
func (t *Transport) readNext(c *conn, request *http.Request, maxBytes int64) (*Response, bool, error) {
	c.limit.startHead()
	res, err := http.ReadResponse(c.r, request)
	if err != nil {
		return nil, false, c.limit.cause(err)
	}
	defer res.Body.Close()
	if status := toucanstatus.Code(res.StatusCode); !status.IsInterim() {
		if err := status.CheckFinal(); err != nil {
			invalidStatuses.Inc()
			return nil, false, err
		}
	}
	c.limit.startBody(maxBytes)
	body, err := readBody(res, request, maxBytes)
	if err == nil && endsWithConnection(res, request) {
		err = c.endError()
	}
	rest := splice{names: t.Headers, body: body, framing: framingOf(res), closes: res.Close, carried: c.history.carried, wait: t.spliceWait}
	if err == nil && (toucanresponse.HoldsStatusLine(res) || rest.isSpliced(c)) {
		mixedResponses.Inc()
		err = errMixedResponse
	}
	return &Response{Status: res.StatusCode, Header: res.Header, Body: body}, res.Close, c.limit.cause(err)
}

func readBody(res *http.Response, request *http.Request, maxBytes int64) ([]byte, error) {
	n := res.ContentLength
	switch {
	case request.Method == http.MethodHead || n == 0:
		return nil, nil
	case n > maxBytes:
		return nil, errTooLarge
	case n < 0 || n > preallocatedBytes:
		// A length that the target only claims allocates no memory.
		b, err := io.ReadAll(io.LimitReader(res.Body, maxBytes+1))
		if int64(len(b)) > maxBytes {
			return nil, errTooLarge
		}
		return b, err
	}
	b := make([]byte, n)
	_, err := io.ReadFull(res.Body, b)
	return b, err
}
