// Package toucantransport sends requests to targets over HTTP/1.1 connections that
// it keeps, and says whether each may have run.
package toucantransport

import (
	"bufio"
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

	"toucanstair.example/core/toucanreplica"
)

const (
	// maxBody bounds a response that is kept in memory, in bytes.
	maxBody = 8 << 20
	// maxStray bounds the responses of earlier requests that are skipped.
	maxStray = 4
	// maxInterim bounds the 1xx responses before the final one.
	maxInterim = 8
	// apart is the request body size, in bytes, from which the response is read
	// while the body is still being sent.
	apart = 8 << 10
)

var (
	dials = metrics.NewCounter("toucan_send_dials_total")
	// unsent counts responses that came before the request body was sent.
	unsent = metrics.NewCounter("toucan_send_early_responses_total")
	stray  = metrics.NewCounter("toucan_send_stray_responses_total")
)

// Headers names the headers that the system sets and reads at targets.
type Headers struct {
	RequestID      string // id of the request, echoed by the target
	Deadline       string // time left, in milliseconds
	ExpectedTarget string // id of the target that is meant
	Signature      string // signature of a response
	NotExecuted    string // set by a target that did not run the request
	Load           string // load that a target reports
	ColdRemaining  string // how much longer a target is cold, in milliseconds
	PartSignatures string // signatures in a merged response
	MissingShards  string // shards that are missing from a merged response

	// ParseLoad returns the number of waiting requests in a Load header.
	ParseLoad func(string) (waiting int, ok bool)
}

// Request is one request for one target.
type Request struct {
	Target         toucanreplica.ID
	Address        string
	Message        *Message
	MaxConnections int // most connections to the target; 0: no limit
	// FreshConnection asks for a connection that was used only a short time ago or is
	// new, because the request can't be repeated.
	FreshConnection bool
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
}

// Message is what all targets of one request get alike.
type Message struct {
	ID     string
	Method string
	Body   []byte

	head []byte
}

// NewMessage returns the message of a request with its URI as the caller wrote
// it; header has no headers of one connection.
func NewMessage(id, method, uri, host string, header http.Header, body []byte) *Message {
	var b bytes.Buffer
	b.WriteString(method)
	b.WriteByte(' ')
	b.WriteString(uri)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(host)
	b.WriteString("\r\n")
	// A buffer takes every write.
	_ = header.Write(&b)
	if len(body) > 0 || method != http.MethodGet && method != http.MethodHead {
		field(&b, "Content-Length", strconv.Itoa(len(body)))
	}
	return &Message{ID: id, Method: method, Body: body, head: b.Bytes()}
}

func field(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// FailureKind says what became of a request without a response.
type FailureKind int

// The fates of a request that has no response.
const (
	MaybeExecuted          FailureKind = iota // it may have run
	NotSent                                   // no byte of it left
	Unreachable                               // no connection could be made
	ConnectionLimitReached                    // all connections that this host may have are in use
)

// Error is a failed exchange.
type Error struct {
	Kind  FailureKind
	Cause error
}

// Error returns the cause with what is known of the request.
func (e *Error) Error() string {
	words := [...]string{"the request may have run", "the request was not sent", "the target could not be reached", "no connection is free"}
	if e.Cause == nil {
		return words[e.Kind]
	}
	return words[e.Kind] + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Transport sends requests. Dialect is set before use.
type Transport struct {
	Headers Headers

	pools pools
}

// Do sends a request and returns its complete response. When ctx ends first,
// the connection is closed, which tells the target to stop. A failure is an
// *Error.
func (s *Transport) Do(ctx context.Context, r *Request, left time.Duration) (*Response, error) {
	p := s.pools.of(r.Target, r.Address)
	c, fate, err := p.take(ctx, r)
	if err != nil {
		return nil, &Error{fate, err}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	res, reuse, err := s.exchange(c, r, left)
	if !stop() || err != nil || !reuse {
		p.discard(c)
	} else {
		p.give(c)
	}
	if err != nil {
		if c.fresh && errors.Is(err, syscall.ECONNRESET) {
			p.narrow()
		}
		return nil, &Error{MaybeExecuted, err}
	}
	return res, nil
}

// HasIdleConnection reports whether an idle connection to a target may be used.
func (s *Transport) HasIdleConnection(id toucanreplica.ID, address string) bool {
	return s.pools.of(id, address).ready()
}

// Retain closes the connections to targets that are not wanted any more.
func (s *Transport) Retain(wanted func(toucanreplica.ID) bool) { s.pools.retain(wanted) }

func (s *Transport) exchange(c *conn, r *Request, left time.Duration) (*Response, bool, error) {
	head := s.head(r, left)
	wrote := make(chan error, 1)
	if len(r.Message.Body) < apart {
		if _, err := c.Write(append(head, r.Message.Body...)); err != nil {
			return nil, false, err
		}
		wrote <- nil
	} else {
		go func() {
			buffers := net.Buffers{head, r.Message.Body}
			_, err := buffers.WriteTo(c.Conn)
			wrote <- err
		}()
	}
	res, reuse, err := s.read(c, r)
	select {
	case e := <-wrote:
		return res, reuse && e == nil, err
	default:
		// The target answered before the body was sent. Closing ends the write.
		c.Close()
		if e := <-wrote; e != nil && err == nil {
			unsent.Inc()
		}
		return res, false, err
	}
}

// head returns the request line and headers, with room for a short body.
func (s *Transport) head(r *Request, left time.Duration) []byte {
	const own = 128 // bytes for the headers below
	var b bytes.Buffer
	b.Grow(len(r.Message.head) + own + min(len(r.Message.Body), apart))
	b.Write(r.Message.head)
	field(&b, s.Headers.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	field(&b, s.Headers.ExpectedTarget, string(r.Target))
	b.WriteString("\r\n")
	return b.Bytes()
}

var (
	errStray    = fault("only responses to other requests arrived")
	errTooLarge = fault("the response is larger than the limit")
	errFull     = fault("the limit of connections to the target is reached")
)

// fault is a constant failure of an exchange.
type fault string

func (f fault) Error() string { return string(f) }

// read returns the response to r. Responses that carry another id belong to
// earlier requests and are skipped.
func (s *Transport) read(c *conn, r *Request) (*Response, bool, error) {
	like := &http.Request{Method: r.Message.Method}
	skipped, interim := 0, 0
	for skipped < maxStray && interim < maxInterim {
		res, last, err := readOne(c.r, like)
		if err != nil {
			return nil, false, err
		}
		if res.Status < 200 {
			interim++
			continue
		}
		if id := res.Header.Get(s.Headers.RequestID); id != "" && id != r.Message.ID {
			stray.Inc()
			if last {
				return nil, false, errStray
			}
			skipped++
			continue
		}
		c.keep(res.Header.Get("Keep-Alive"))
		return res, !last && c.r.Buffered() == 0, nil
	}
	return nil, false, errStray
}

// readOne returns the next response and whether it is the last one of its
// connection.
func readOne(r *bufio.Reader, like *http.Request) (*Response, bool, error) {
	res, err := http.ReadResponse(r, like)
	if err != nil {
		return nil, false, err
	}
	defer res.Body.Close()
	body, err := readBody(res)
	return &Response{res.StatusCode, res.Header, body}, res.Close, err
}

func readBody(res *http.Response) ([]byte, error) {
	if res.ContentLength > maxBody {
		return nil, errTooLarge
	}
	if n := res.ContentLength; n >= 0 {
		b := make([]byte, n)
		_, err := io.ReadFull(res.Body, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxBody+1))
	if len(b) > maxBody {
		return nil, errTooLarge
	}
	return b, err
}
