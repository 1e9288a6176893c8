package toucantransport_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/toucanstair/toucantransport"
)

// target responds to the nth request on its connections with the text that script
// returns; an empty text closes the connection.
type target struct {
	address  string
	conns    atomic.Int32
	requests chan string
}

func listen(t *testing.T, script func(nth int, id string) string) *target {
	return listenWith(t, func(net.Conn) {}, script)
}

// listenWith is listen with a function that is called for each new connection.
func listenWith(t *testing.T, accept func(net.Conn), script func(nth int, id string) string) *target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	tg := &target{address: l.Addr().String(), requests: make(chan string, 100)}
	var nth atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			tg.conns.Add(1)
			accept(c)
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					tg.requests <- q.RequestURI + " " + q.Header.Get("Deadline") + " " + q.Header.Get("Expect-Target")
					text := script(int(nth.Add(1)), q.Header.Get("Toucan-Id"))
					if text == "" {
						return
					}
					if _, err := c.Write([]byte(text)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return tg
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nToucan-Id: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newTransport() *toucantransport.Transport {
	return &toucantransport.Transport{Headers: toucantransport.Headers{RequestID: "Toucan-Id", Deadline: "Deadline", ExpectedTarget: "Expect-Target"}}
}

func do(t *testing.T, transport *toucantransport.Transport, tg *target, id string) (*toucantransport.Response, error) {
	t.Helper()
	return transport.Do(t.Context(), request(tg, id, 0), time.Second)
}

func request(tg *target, id string, limit int) *toucantransport.Request {
	h := http.Header{"Toucan-Id": {id}}
	return &toucantransport.Request{
		Target: "t1", Address: tg.address, MaxConnections: limit, DialTimeout: time.Second,
		Message: toucantransport.NewMessage(id, http.MethodGet, "/p/x%2Fy?q=1", "a.example", h, nil),
	}
}

func failureKind(t *testing.T, err error) toucantransport.FailureKind {
	t.Helper()
	var e *toucantransport.Error
	require.ErrorAs(t, err, &e)
	return e.Kind
}

// Guards against a modified path, a missing deadline or target header, and a new
// connection for each request.
func TestRequestsReuseConnectionUnmodified(t *testing.T) {
	tg := listen(t, func(_ int, id string) string { return response(id, "body") })
	transport := newTransport()
	for _, id := range []string{"1", "2", "3"} {
		res, err := do(t, transport, tg, id)
		require.NoError(t, err)
		require.Equal(t, "body", string(res.Body))
		require.Equal(t, "/p/x%2Fy?q=1 1000 t1", <-tg.requests)
	}
	require.Equal(t, int32(1), tg.conns.Load())
}

// Guards against a late response to an earlier request that is taken for the response
// to this one.
func TestLateExtraResponseIsSkipped(t *testing.T) {
	tg := listen(t, func(nth int, id string) string {
		if nth == 2 {
			return response("1", "wrong") + response(id, "right")
		}
		return response(id, "right")
	})
	transport := newTransport()
	for _, id := range []string{"1", "2", "3"} {
		res, err := do(t, transport, tg, id)
		require.NoError(t, err)
		require.Equal(t, "right", string(res.Body))
	}
}

// Guards against a truncated or malformed response that is returned as complete.
func TestTruncatedAndMalformedResponsesFail(t *testing.T) {
	for name, text := range map[string]string{
		"short body":  "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc",
		"short chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\nabc",
		"no response": "",
		"other bytes": "\x00\x01\x02 not HTTP at all\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			tg := listen(t, func(nth int, _ string) string {
				if nth > 1 {
					return ""
				}
				return text
			})
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := newTransport().Do(ctx, request(tg, "1", 0), time.Second)
			require.Equal(t, toucantransport.MaybeExecuted, failureKind(t, err))
		})
	}
}

// Guards against more connections than MaxConnections.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	hold := make(chan struct{})
	tg := listen(t, func(_ int, id string) string { <-hold; return response(id, "") })
	transport := newTransport()
	ends := make(chan error, 2)
	for range 2 {
		go func() {
			_, err := transport.Do(context.Background(), request(tg, "1", 2), time.Second)
			ends <- err
		}()
	}
	<-tg.requests
	<-tg.requests
	_, err := transport.Do(t.Context(), request(tg, "1", 2), time.Second)
	require.Equal(t, toucantransport.ConnectionLimitReached, failureKind(t, err))
	close(hold)
	require.NoError(t, <-ends)
	require.NoError(t, <-ends)
	require.Equal(t, int32(2), tg.conns.Load())
}

// Guards against a request that is sent on a connection which the target has closed:
// it would fail as possibly executed.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	tg := listen(t, func(_ int, id string) string {
		return strings.Replace(response(id, "x"), "Keep-Alive", "Connection: close\r\nKeep-Alive", 1)
	})
	transport := newTransport()
	for _, id := range []string{"1", "2"} {
		_, err := do(t, transport, tg, id)
		require.NoError(t, err)
	}
	require.Equal(t, int32(2), tg.conns.Load())
}

// Guards against a request that hangs when the target responds before it has read a
// long body, and against reuse of the connection, on which the rest of the body is
// still due.
func TestEarlyResponseEndsTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	after, returned := make(chan error, 1), make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			after <- err
			return
		}
		_, _ = c.Write([]byte(response("1", "early")))
		// The rest of the body is larger than the socket buffers, so it is still due.
		<-returned
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		for err == nil {
			_, err = r.Discard(4096)
		}
		after <- err
	}()
	body := make([]byte, 64<<20)
	q := &toucantransport.Request{
		Target: "t1", Address: l.Addr().String(), DialTimeout: time.Second,
		Message: toucantransport.NewMessage("1", http.MethodPost, "/", "a.example", http.Header{"Toucan-Id": {"1"}}, body),
	}
	res, err := newTransport().Do(t.Context(), q, time.Second)
	close(returned)
	require.NoError(t, err)
	require.Equal(t, "early", string(res.Body))
	var timeout net.Error
	require.False(t, errors.As(<-after, &timeout) && timeout.Timeout(), "the connection stayed open")
}

// Guards against a failed dial that is reported as a possibly executed request.
func TestFailedDialIsUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	_, err = newTransport().Do(t.Context(), request(&target{address: l.Addr().String()}, "1", 0), time.Second)
	require.Equal(t, toucantransport.Unreachable, failureKind(t, err))
}

// Guards against further connections to a target that resets new ones because it has
// as many as it accepts.
func TestConnectionResetLowersLimit(t *testing.T) {
	var resets atomic.Bool
	hold := make(chan struct{})
	tg := listenWith(t, func(c net.Conn) {
		if resets.Load() {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}, func(_ int, id string) string { <-hold; return response(id, "") })
	transport := newTransport()
	first := make(chan error, 1)
	go func() {
		_, err := transport.Do(context.Background(), request(tg, "1", 4), time.Second)
		first <- err
	}()
	<-tg.requests
	resets.Store(true)
	_, err := transport.Do(t.Context(), request(tg, "2", 4), time.Second)
	// The reset is seen while dialing, or after the request was sent.
	require.Contains(t, []toucantransport.FailureKind{toucantransport.Unreachable, toucantransport.MaybeExecuted}, failureKind(t, err))
	_, err = transport.Do(t.Context(), request(tg, "3", 4), time.Second)
	require.Equal(t, toucantransport.ConnectionLimitReached, failureKind(t, err))
	close(hold)
	require.NoError(t, <-first)
}

// resetAfter starts a target that answers the first request with a text and, once the
// host has read it, resets the connection.
func resetAfter(t *testing.T, text string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = c.Write([]byte(text))
		timer := time.NewTimer(50 * time.Millisecond) // a reset discards what was not read yet
		<-timer.C
		_ = c.(*net.TCPConn).SetLinger(0)
	}()
	return l.Addr().String()
}
