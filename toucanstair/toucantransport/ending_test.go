package toucantransport_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/toucanstair/toucantransport"
)

// longBody is longer than the buffers of a connection, so that its write is still pending
// when the response ends.
const longBody = 4 << 20

// lasting is a response body without a length.
var lasting = strings.Repeat("sixteen-byte rec", 600)

// An end is a way in which a target ends its connection within or behind a response.
type end func(c *net.TCPConn, rest io.Reader)

func reset(c *net.TCPConn, _ io.Reader) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func closeUnread(c *net.TCPConn, _ io.Reader) { _ = c.Close() }

func halfClose(c *net.TCPConn, rest io.Reader) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, rest)
	_ = c.Close()
}

func halfCloseAndReset(pause time.Duration) end {
	return func(c *net.TCPConn, _ io.Reader) {
		_ = c.CloseWrite()
		<-time.After(pause)
		reset(c, nil)
	}
}

// sendToEnding sends requests to a target that reads the head of a request, sends text and
// ends the connection. It returns the bodies of the responses, and the number of failures.
func sendToEnding(t *testing.T, text string, requestBody int, pause time.Duration, ends end) (bodies []string, failures int) {
	const requests = 40
	address := serveConns(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		r, err := http.ReadRequest(in)
		if err != nil {
			c.Close()
			return
		}
		if requestBody <= 8<<10 {
			_, _ = io.Copy(io.Discard, r.Body) // else the close would be a reset
		}
		_, _ = c.Write([]byte(text))
		<-time.After(pause)
		ends(c.(*net.TCPConn), in)
	})
	transport := newSignedTransport()
	var mu sync.Mutex
	var senders sync.WaitGroup
	for sender := range 4 {
		senders.Go(func() {
			for n := range requests / 4 {
				id := strconv.Itoa(sender*requests + n + 1)
				q := requestTo(address, id)
				q.Message = toucantransport.NewMessage(id, http.MethodPost, "/", "a.example", http.Header{"Toucan-Id": {id}}, make([]byte, requestBody))
				res, err := transport.Do(t.Context(), q, 10*time.Second)
				mu.Lock()
				if err != nil {
					failures++
				} else {
					bodies = append(bodies, string(res.Body))
				}
				mu.Unlock()
			}
		})
	}
	senders.Wait()
	return bodies, failures
}

const unframedHead = "HTTP/1.1 200 OK\r\nStamp: s\r\n\r\n"

// Guards against a part of a response that is passed on as whole because the connection was
// reset while the request was being written, which took the error of the reset.
func TestResetResponseIsNotWhole(t *testing.T) {
	length := "Content-Length: " + strconv.Itoa(len(lasting))
	for name, text := range map[string]string{
		"no length": unframedHead + lasting[:len(lasting)/2],
		"length":    strings.Replace(unframedHead, "\r\n\r\n", "\r\n"+length+"\r\n\r\n", 1) + lasting[:len(lasting)/2],
		"chunks":    strings.Replace(unframedHead, "\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n", 1) + "1000\r\n" + lasting[:0x1000] + "\r\n1000\r\n",
		"no body":   unframedHead,
	} {
		for endName, ends := range map[string]end{"reset": reset, "closed with unread bytes": closeUnread} {
			for bodyName, size := range map[string]int{"long request": longBody, "short request": 100} {
				if size < longBody && endName != "reset" {
					continue // nothing is unread
				}
				t.Run(name+", "+endName+", "+bodyName, func(t *testing.T) {
					t.Parallel()
					for _, pause := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond} {
						bodies, _ := sendToEnding(t, text, size, pause, ends)
						require.Empty(t, bodies, "pause %v: %d responses taken as whole", pause, len(bodies))
					}
				})
			}
		}
	}
}

// Guards against a whole response without a length that is given up although its connection
// ended in an orderly way, also if the target resets what is left of the connection then.
func TestOrderlyEndedResponseIsWhole(t *testing.T) {
	for name, ends := range map[string]end{
		"half-closed":                   halfClose,
		"half-closed, reset at once":    halfCloseAndReset(0),
		"half-closed, reset after 1 ms": halfCloseAndReset(time.Millisecond),
		"half-closed, reset later":      halfCloseAndReset(20 * time.Millisecond),
	} {
		for bodyName, size := range map[string]int{"long request": longBody, "request of 8 KiB": 8 << 10, "short request": 100} {
			t.Run(name+", "+bodyName, func(t *testing.T) {
				t.Parallel()
				for _, pause := range []time.Duration{0, time.Millisecond} {
					bodies, failures := sendToEnding(t, unframedHead+lasting, size, pause, ends)
					require.Zero(t, failures, "pause %v", pause)
					for _, body := range bodies {
						require.Equal(t, lasting, body)
					}
				}
			})
		}
	}
}

// Guards against a part of a response that is passed on as whole because its request was
// cancelled, or because the target fell silent.
func TestCancelledResponseIsNotWhole(t *testing.T) {
	for name, size := range map[string]int{"long request": longBody, "short request": 100} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			address := serveConns(t, func(c net.Conn) {
				defer c.Close()
				_, _ = c.Read(make([]byte, 1024))
				_, _ = c.Write([]byte(unframedHead + lasting))
				<-time.After(10 * time.Millisecond)
				cancel()
				<-time.After(100 * time.Millisecond)
			})
			q := requestTo(address, "1")
			q.Message = toucantransport.NewMessage("1", http.MethodPost, "/", "a.example", http.Header{"Toucan-Id": {"1"}}, make([]byte, size))
			_, err := newSignedTransport().Do(ctx, q, time.Second)
			require.Equal(t, toucantransport.MaybeExecuted, failureKind(t, err))
		})
	}
}
