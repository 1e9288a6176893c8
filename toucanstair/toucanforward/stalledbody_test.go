package toucanforward

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanreplica"
)

// oneConnListener is a listener with one in-process connection.
type oneConnListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l oneConnListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l oneConnListener) Close() error   { close(l.done); return nil }
func (l oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// serveOneConn serves one in-process connection, and returns it and a function that stops
// the server.
func serveOneConn(t *testing.T) (net.Conn, func()) {
	host := newTestHost(0, func(toucanreplica.ID, int) behavior { return neverResponds() })
	s := &http.Server{Handler: host, ReadHeaderTimeout: time.Minute}
	l := oneConnListener{make(chan net.Conn, 1), make(chan struct{})}
	end := make(chan error, 1)
	go func() { end <- s.Serve(l) }()
	client, server := net.Pipe()
	l.conns <- server
	return client, func() { require.ErrorIs(t, errors.Join(s.Close(), <-end), http.ErrServerClosed) }
}

// Guards against a caller that stops within its body and waits for ever, because the rest of the body is read before the response is sent.
func TestStalledBodyIsAnswered(t *testing.T) {
	for name, start := range map[string]string{
		"too slow":    "POST /p/x HTTP/1.1\r\nHost: a.example\r\n",
		"without use": "POST /none/x HTTP/1.1\r\nHost: z.example\r\n", // no route
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, stop := serveOneConn(t)
				_, err := io.WriteString(client, start+testHeaders.RequestID+": id-1\r\nContent-Length: 100\r\n\r\nabc")
				require.NoError(t, err)
				require.NoError(t, client.SetReadDeadline(time.Now().Add(2*bodyReadTimeout)))
				res, err := http.ReadResponse(bufio.NewReader(client), nil)
				_ = client.Close() // ends the server's read
				stop()
				synctest.Wait()
				require.NoError(t, err)
				require.Equal(t, 4, res.StatusCode/100)
			})
		})
	}
}

// requestWithoutRoute returns the header of a request that is refused before its body is read.
func requestWithoutRoute(id, proto, fields string) string {
	return "POST /none/x " + proto + "\r\nHost: z.example\r\n" + testHeaders.RequestID + ": " + id + "\r\n" + fields + "\r\n"
}

// Guards against connections without any limit, whose caller has its response and never sends the rest of its body.
func TestStalledBodyEndsConnection(t *testing.T) {
	for name, request := range map[string]string{
		"with length":     requestWithoutRoute("id-1", "HTTP/1.1", "Content-Length: 100\r\n") + "abc",
		"chunked":         requestWithoutRoute("id-1", "HTTP/1.1", "Transfer-Encoding: chunked\r\n") + "3\r\nabc\r\n",
		"malformed chunk": requestWithoutRoute("id-1", "HTTP/1.1", "Transfer-Encoding: chunked\r\n") + "zz\r\n",
		"expects 100":     requestWithoutRoute("id-1", "HTTP/1.1", "Content-Length: 100\r\nExpect: 100-continue\r\n"),
		"HTTP/1.0":        requestWithoutRoute("id-1", "HTTP/1.0", "Content-Length: 100\r\n") + "abc",
		"kept HTTP/1.0":   requestWithoutRoute("id-1", "HTTP/1.0", "Content-Length: 100\r\nConnection: keep-alive\r\n") + "abc",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, stop := serveOneConn(t)
				start := time.Now()
				_, err := io.WriteString(client, request)
				require.NoError(t, err)
				in := bufio.NewReader(client)
				res, err := http.ReadResponse(in, nil)
				require.NoError(t, err)
				body, err := io.ReadAll(io.LimitReader(res.Body, res.ContentLength))
				require.NoError(t, err)
				require.Equal(t, http.StatusNotFound, res.StatusCode)
				require.Len(t, body, int(res.ContentLength))
				require.Zero(t, time.Since(start), "the response waits for the body")
				rest, err := io.ReadAll(in)
				require.NoError(t, err)
				require.Empty(t, rest, "a second response")
				require.LessOrEqual(t, time.Since(start), lingerTimeout)
				stop()
				synctest.Wait()
			})
		})
	}
}

// Guards against early responses that cost the caller its connection, or that are taken for those of the next request.
func TestEarlyResponseKeepsConnection(t *testing.T) {
	const size = 4 << 20
	text := strings.Repeat("GET /p/x HTTP/1.1\r\nHost: a.example\r\n\r\n", size/32)[:size]
	for name, request := range map[string]string{
		"with length":   requestWithoutRoute("id-1", "HTTP/1.1", "Content-Length: "+strconv.Itoa(size)+"\r\n") + text,
		"chunked":       requestWithoutRoute("id-1", "HTTP/1.1", "Transfer-Encoding: chunked\r\n") + strconv.FormatInt(size, 16) + "\r\n" + text + "\r\n0\r\n\r\n",
		"kept HTTP/1.0": requestWithoutRoute("id-1", "HTTP/1.0", "Content-Length: "+strconv.Itoa(size)+"\r\nConnection: keep-alive\r\n") + text,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, stop := serveOneConn(t)
				in := bufio.NewReader(client)
				sent := make(chan error, 1)
				go func() {
					half := len(request) / 2
					_, err := io.WriteString(client, request[:half])
					<-time.After(lingerTimeout / 2)
					_, err2 := io.WriteString(client, request[half:]+requestWithoutRoute("id-2", "HTTP/1.1", ""))
					sent <- errors.Join(err, err2)
				}()
				for _, id := range []string{"id-1", "id-2"} {
					res, err := http.ReadResponse(in, nil)
					require.NoError(t, err)
					_, err = io.Copy(io.Discard, res.Body)
					require.NoError(t, err)
					require.Equal(t, id, res.Header.Get(testHeaders.RequestID))
				}
				require.NoError(t, <-sent)
				require.NoError(t, client.Close())
				stop()
				synctest.Wait()
			})
		})
	}
}

// Guards against a reset that destroys the response to a caller that is still sending.
func TestEarlyResponseReachesSendingCaller(t *testing.T) {
	for name, request := range map[string]string{
		"refused":         requestWithoutRoute("id-1", "HTTP/1.1", "Content-Length: 1000000000\r\n"),
		"malformed chunk": requestWithoutRoute("id-1", "HTTP/1.1", "Transfer-Encoding: chunked\r\n") + "zz\r\n",
		"too large":       "POST /p/x HTTP/1.1\r\nHost: a.example\r\n" + testHeaders.RequestID + ": id-1\r\nContent-Length: 1000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(newTestHost(0, func(toucanreplica.ID, int) behavior { return neverResponds() }))
			defer server.Close()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, request)
			require.NoError(t, err)
			chunk := make([]byte, 64<<10)
			for range 200 { // more than a body may have
				_, err = c.Write(chunk)
				require.NoError(t, err)
			}
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, res.Body)
			require.NoError(t, err)
			require.Equal(t, 4, res.StatusCode/100)
		})
	}
}
