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

// serveOne serves one in-process connection with a guard, and returns it and a function
// that stops the server. onState is called before the guard learns of a state.
func serveOne(t *testing.T, onState func(http.ConnState), handler http.HandlerFunc) (net.Conn, func()) {
	g := &toucanguard.Guard{Limits: func() toucanrules.Limits { return limits }, Log: zap.NewNop()}
	s := &http.Server{
		ReadHeaderTimeout: time.Minute,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ConnState: func(c net.Conn, state http.ConnState) {
			onState(state)
			g.ConnState(c, state)
		},
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			ctx, _ = g.ConnContext(ctx, c)
			return ctx
		},
		Handler: g.Handler(handler),
	}
	l := pipeListener{make(chan net.Conn), make(chan struct{})}
	end := make(chan error, 1)
	go func() { end <- s.Serve(g.WrapListener(l)) }()
	client, server := net.Pipe()
	l.conns <- server
	return client, func() { require.ErrorIs(t, errors.Join(s.Close(), <-end), http.ErrServerClosed) }
}

// Guards against a request that runs although its caller got 408, because its header arrived as its time ran out.
func TestRefusedRequestDoesNotRun(t *testing.T) {
	for _, number := range []int32{1, 2} { // the second on a kept connection
		synctest.Test(t, func(t *testing.T) {
			var active, ran atomic.Int32
			client, stop := serveOne(t, func(state http.ConnState) {
				// StateActive comes after the header was read, before the handler.
				if state == http.StateActive && active.Add(1) == number {
					<-time.After(limits.HeaderTimeout)
				}
			}, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
			in := bufio.NewReader(client)
			for range number - 1 {
				require.Equal(t, http.StatusOK, roundTrip(t, client, in, request))
			}
			go func() { _, _ = io.WriteString(client, request) }() // a failure shows in the answer
			answer, _ := io.ReadAll(in)                            // until the connection is closed
			synctest.Wait()
			stop()
			require.False(t, strings.HasPrefix(string(answer), "HTTP/1.1 408") && ran.Load() >= number, "the request ran and was refused")
		})
	}
}

// Guards against a 408 for a pipelined request that was read before the answer to the one before it.
func TestPipelinedRequestRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int32
		client, stop := serveOne(t, func(http.ConnState) {}, func(http.ResponseWriter, *http.Request) {
			ran.Add(1)
			<-time.After(2 * limits.HeaderTimeout)
		})
		in := bufio.NewReader(client)
		require.Equal(t, http.StatusOK, roundTrip(t, client, in, request+request))
		res, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		require.Equal(t, http.StatusOK, res.StatusCode)
		require.EqualValues(t, 2, ran.Load())
		require.NoError(t, client.Close())
		synctest.Wait()
		stop()
	})
}

// Guards against a 408 behind the 431 of net/http, which waits before it closes the connection.
func TestRejectedHeaderGetsOneAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, stop := serveOne(t, func(http.ConnState) {}, func(http.ResponseWriter, *http.Request) {
			t.Error("the request ran")
		})
		_, err := io.WriteString(client, request[:10])
		require.NoError(t, err)
		<-time.After(limits.HeaderTimeout - 100*time.Millisecond)
		go func() { // ends with the connection
			_, _ = io.WriteString(client, strings.Replace(request[10:], "\r\n\r\n", "\r\nFiller: "+strings.Repeat("x", 10000)+"\r\n\r\n", 1))
		}()
		answer, err := io.ReadAll(client)
		require.NoError(t, err)
		<-time.After(time.Second) // net/http waits before it ends the connection
		stop()
		require.True(t, strings.HasPrefix(string(answer), "HTTP/1.1 431"), string(answer))
		require.Equal(t, 1, strings.Count(string(answer), "HTTP/1.1"), string(answer))
	})
}
