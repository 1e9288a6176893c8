package toucantransport_test

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/toucanstair/toucanquota"
	"toucanstair.example/toucanstair/toucantransport"
)

const (
	// maxAllocated is what an exchange with a target that sends without end may allocate:
	// 135 of them at once, one for each shard, fit in the memory of the smallest host,
	// 184 MB.
	maxAllocated = 184 << 20 / 135
	okHead       = "HTTP/1.1 200 OK\r\nToucan-Id: 1\r\n"
)

// endless are targets that send bytes until the host closes the connection: what they
// send once, and what they repeat.
var endless = map[string]struct{ first, repeated string }{
	"status line":       {"HTTP/1.1 200 ", "x"},
	"no response":       {"", "\x00\x01\x02\x03"},
	"header line":       {okHead + "Long: ", "x"},
	"header name":       {okHead, "x"},
	"header lines":      {okHead, "A: b\r\n"},
	"continued header":  {okHead + "Long: x", "\r\n x"},
	"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"other responses":   {"", "HTTP/1.1 200 OK\r\nToucan-Id: 9\r\nContent-Length: 0\r\n\r\n"},
	"chunk extension":   {okHead + "Transfer-Encoding: chunked\r\n\r\n5;", "x"},
	"chunk length":      {okHead + "Transfer-Encoding: chunked\r\n\r\n", "0"},
	"short chunks":      {okHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"trailer line":      {okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "x"},
	"trailer lines":     {okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	"unframed body":     {okHead + "Connection: close\r\n\r\n", "x"},
	"long body":         {okHead + "Content-Length: 999999999999\r\n\r\n", "x"},
}

// sendEndlessly starts a target that answers each request on a connection with an
// endless response. The channel reports each connection that the host closed.
func sendEndlessly(t *testing.T, first, repeated string) (string, <-chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	closed := make(chan struct{}, 100)
	block := bytes.Repeat([]byte(repeated), 64<<10/len(repeated))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := c.Write([]byte(first))
				for err == nil {
					_, err = c.Write(block)
				}
				closed <- struct{}{}
			}()
		}
	}()
	return l.Addr().String(), closed
}

// Guards against a target that fills the memory of the host with bytes that are no
// response, in any part of it, until the host closes the connection.
func TestEndlessResponseIsCutOff(t *testing.T) {
	for name, e := range endless {
		t.Run(name, func(t *testing.T) {
			address, closed := sendEndlessly(t, e.first, e.repeated)
			q := request(&target{address: address}, "1", 0)
			q.MaxBodyBytes = 256 << 10
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := newTransport().Do(t.Context(), q, time.Minute)
			runtime.ReadMemStats(&after)
			require.Equal(t, toucantransport.MaybeExecuted, failureKind(t, err))
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated), "%v", err)
			<-closed
		})
	}
}

// Guards against many targets that send long bodies at once: together they stay within
// the quota, whose bytes are free again afterwards.
func TestConcurrentBodiesStayWithinTheQuota(t *testing.T) {
	address, _ := sendEndlessly(t, okHead+"Connection: close\r\n\r\n", "x")
	transport := newTransport()
	transport.Memory = &toucanquota.Quota{Limit: 2 << 20}
	const exchanges = 24
	ends := make(chan error, exchanges)
	for range exchanges {
		go func() {
			_, err := transport.Do(context.Background(), request(&target{address: address}, "1", 0), time.Minute)
			ends <- err
		}()
	}
	for range exchanges {
		require.ErrorContains(t, <-ends, "the responses in memory have reached the limit")
	}
	require.Zero(t, transport.Memory.Used())
}

// Guards against memory of a response that stays reserved after its use, and against a
// response that is released while it is in use.
func TestResponseHoldsItsMemoryUntilReleased(t *testing.T) {
	tg := listen(t, func(_ int, id string) string { return response(id, string(bytes.Repeat([]byte("x"), 100<<10))) })
	transport := newTransport()
	transport.Memory = &toucanquota.Quota{Limit: 150 << 10}
	first, err := do(t, transport, tg, "1")
	require.NoError(t, err)
	require.Positive(t, transport.Memory.Used())
	_, err = do(t, transport, tg, "2")
	require.Error(t, err, "both exceed the quota")
	first.Release()
	first.Release()
	require.Zero(t, transport.Memory.Used())
	res, err := do(t, transport, tg, "3")
	require.NoError(t, err)
	require.Len(t, res.Body, 100<<10)
}

// Guards against a body that arrives more slowly than the deadline allows.
func TestSlowBodyEndsWithTheDeadline(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, err = c.Write([]byte(okHead + "Content-Length: 100000\r\n\r\n"))
		for err == nil {
			_, err = c.Write([]byte("x"))
			timer := time.NewTimer(time.Millisecond)
			<-timer.C
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = newTransport().Do(ctx, request(&target{address: l.Addr().String()}, "1", 0), time.Second)
	require.Equal(t, toucantransport.MaybeExecuted, failureKind(t, err))
	<-closed
}

// Guards against a HEAD request whose response fails because its Content-Length names a
// body that it does not have.
func TestResponseToHeadHasNoBody(t *testing.T) {
	tg := listen(t, func(_ int, id string) string {
		return "HTTP/1.1 200 OK\r\nToucan-Id: " + id + "\r\nContent-Length: 1000\r\n\r\n"
	})
	transport := newTransport()
	for _, id := range []string{"1", "2"} {
		q := request(tg, id, 0)
		q.Message = toucantransport.NewMessage(id, http.MethodHead, "/p", "a.example", http.Header{"Toucan-Id": {id}}, nil)
		res, err := transport.Do(t.Context(), q, time.Second)
		require.NoError(t, err)
		require.Equal(t, "1000", res.Header.Get("Content-Length"))
	}
	require.Equal(t, int32(1), tg.conns.Load())
}
