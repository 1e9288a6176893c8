package toucantransport_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a non-idempotent request that counts as refused because the refusal that
// its connection owed to an earlier request, and a copy of it, arrive while it waits.
func TestCopyOfOverdueRefusalDoesNotRefuseNonIdempotentRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	var ran atomic.Int32
	withOwnID := func(text, id string) string {
		return strings.Replace(text, "Content-Length", "Toucan-Id: "+id+"\r\nContent-Length", 1)
	}
	failure := strings.Replace(strings.Replace(refusal, "503 Service Unavailable", "500 X", 1), "Not-Run: 1\r\n", "", 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for n := 1; ; n++ {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					id := q.Header.Get("Toucan-Id")
					text := ""
					switch id {
					case "1":
						text = withOwnID(failure, id)
					case "2": // the copy of the failure at once, its own refusal later
						if _, err := c.Write([]byte(withOwnID(failure, id))); err != nil {
							return
						}
						<-time.After(50 * time.Millisecond)
						text = withOwnID(refusal, id)
					case "3":
						if n == 3 { // the copy of the refusal comes first
							text = withOwnID(refusal, id)
						}
						ran.Add(1)
						text += signed(id, "s3", "ran")
					}
					if _, err := c.Write([]byte(text)); err != nil {
						return
					}
				}
			}()
		}
	}()
	transport := newSignedTransport()
	for _, id := range []string{"1", "2"} {
		res, err := transport.Do(t.Context(), requestTo(l.Addr().String(), id), time.Second)
		require.NoError(t, err)
		require.Equal(t, 500, res.Status)
	}
	q := requestTo(l.Addr().String(), "3")
	q.FreshConnection = true
	res, err := transport.Do(t.Context(), q, time.Second)
	if err == nil {
		require.Empty(t, res.Header.Get("Not-Run"), "request 3 counts as refused, but it ran %d times", ran.Load())
	}
}
