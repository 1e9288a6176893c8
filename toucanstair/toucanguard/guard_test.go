package toucanguard_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"toucanstair.example/toucanstair/toucanguard"
	"toucanstair.example/toucanstair/toucanrules"
)

var limits = toucanrules.Limits{MaxHeaderBytes: 1000, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// pipeListener is a listener for in-process connections.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p pipeListener) Close() error   { close(p.done); return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// serve returns a function that opens a connection to a guarded server. Its
// handler takes 20 s for the path /slow.
func serve(t *testing.T) func() net.Conn {
	return serveWith(t, func() toucanrules.Limits { return limits })
}

func serveWith(t *testing.T, limits func() toucanrules.Limits) func() net.Conn {
	g := &toucanguard.Guard{Limits: limits, Log: zap.NewNop()}
	s := &http.Server{
		ConnState: g.ConnState, ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			ctx, _ = g.ConnContext(ctx, c)
			return ctx
		},
		Handler: g.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				<-time.After(20 * time.Second)
			}
		})),
	}
	l := pipeListener{make(chan net.Conn), make(chan struct{})}
	end := make(chan error, 1)
	go func() { end <- s.Serve(g.WrapListener(l)) }()
	t.Cleanup(func() {
		if err := errors.Join(s.Close(), <-end); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return func() net.Conn {
		client, server := net.Pipe()
		l.conns <- server
		return client
	}
}

const request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// roundTrip sends a request and returns the status of the response.
func roundTrip(t *testing.T, c net.Conn, in *bufio.Reader, text string) int {
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
	res, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, res.Body)
	require.NoError(t, err)
	return res.StatusCode
}

// Guards against callers that hold an idle connection forever, and against closing
// a connection whose caller is within the limits.
func TestIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		open := serve(t)
		c := open()
		in := bufio.NewReader(c)
		for range 3 {
			require.Equal(t, http.StatusOK, roundTrip(t, c, in, request))
			<-time.After(limits.IdleTimeout * 4 / 5)
		}
		slow := strings.Replace(request, "/ ", "/slow ", 1)
		require.Equal(t, http.StatusOK, roundTrip(t, c, in, slow), "a long request is no idle connection")
		start := time.Now()
		_, err := in.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, limits.IdleTimeout+2*time.Second, time.Since(start))
	})
}

// Guards against closing an idle connection by the former timeout after the
// operators have raised it.
func TestRaisedIdleTimeoutAppliesToOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var raised atomic.Bool
		c := serveWith(t, func() toucanrules.Limits {
			l := limits
			if raised.Load() {
				l.IdleTimeout *= 2
			}
			return l
		})()
		in := bufio.NewReader(c)
		require.Equal(t, http.StatusOK, roundTrip(t, c, in, request))
		<-time.After(time.Second)
		raised.Store(true)
		<-time.After(limits.IdleTimeout * 8 / 5)
		require.Equal(t, http.StatusOK, roundTrip(t, c, in, request))
	})
}

// Guards against a caller that sends the header of a request too slowly.
func TestSlowHeaderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := serve(t)()
		in := bufio.NewReader(c)
		<-time.After(10 * time.Second)
		start := time.Now()
		require.Equal(t, http.StatusRequestTimeout, roundTrip(t, c, in, "GET / HTT"))
		require.Equal(t, limits.HeaderTimeout, time.Since(start))
		_, err := in.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	})
}

// Guards against accepting headers larger than the operators allow, and against
// refusing headers within the limit.
func TestLargeHeaderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		open := serve(t)
		for filler, want := range map[int]int{900: http.StatusOK, 1000: http.StatusRequestHeaderFieldsTooLarge} {
			c := open()
			text := strings.Replace(request, "\r\n\r\n", "\r\nFiller: "+strings.Repeat("x", filler)+"\r\n\r\n", 1)
			require.Equal(t, want, roundTrip(t, c, bufio.NewReader(c), text))
			require.NoError(t, c.Close())
		}
	})
}

// Guards against connections without any limit, whose caller got 431 and never sends the rest of its body.
func TestLargeHeaderWithStalledBodyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := serve(t)()
		in := bufio.NewReader(c)
		start := time.Now()
		text := "POST / HTTP/1.1\r\nHost: a.example\r\nFiller: " + strings.Repeat("x", limits.MaxHeaderBytes) + "\r\nContent-Length: 100\r\n\r\nabc"
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, roundTrip(t, c, in, text))
		require.Zero(t, time.Since(start))
		require.NoError(t, c.SetReadDeadline(time.Now().Add(limits.IdleTimeout)))
		_, err := in.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		require.NoError(t, c.Close())
	})
}
