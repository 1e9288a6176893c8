package toucantransport_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/toucanstair/toucantransport"
)

const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"

// signed returns a response with a signature and, if id is not empty, an id.
func signed(id, signature, body string) string {
	text := strings.Replace(response(id, body), "Keep-Alive", "Stamp: "+signature+"\r\nKeep-Alive", 1)
	if id == "" {
		text = strings.Replace(text, "Toucan-Id: \r\n", "", 1)
	}
	return text
}

func newSignedTransport() *toucantransport.Transport {
	transport := newTransport()
	transport.Headers.Signature, transport.Headers.NotExecuted = "Stamp", "Not-Run"
	return transport
}

// Guards against a late copy of an earlier response that answers the next request of the
// connection, however little the copy tells of its request.
func TestLateCopyOfResponseIsSkipped(t *testing.T) {
	for name, script := range map[string]func(id string) (own, copied string){
		"with its id":            func(id string) (string, string) { r := signed(id, "s"+id, "own "+id); return r, r },
		"that has lost its id":   func(id string) (string, string) { return signed(id, "s"+id, "own "+id), signed("", "", "own "+id) },
		"with another signature": func(id string) (string, string) { return signed(id, "s"+id, "own "+id), signed("", "x", "own "+id) },
		"of a failure with its id": func(id string) (string, string) {
			return signed(id, "s"+id, "own "+id), strings.Replace(signed(id, "", ""), "200 OK", "500 X", 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			// The copy arrives after the next request, so that no check of the idle connection
			// can see it.
			late := ""
			tg := listen(t, func(_ int, id string) string {
				own, copied := script(id)
				text := late + own
				late = copied
				return text
			})
			transport := newSignedTransport()
			for _, id := range []string{"1", "2", "3", "4"} {
				res, err := do(t, transport, tg, id)
				require.NoError(t, err)
				require.Equal(t, "own "+id, string(res.Body))
			}
			require.Equal(t, int32(1), tg.conns.Load())
		})
	}
}

// Guards against a non-idempotent request that counts as refused because of a late copy
// of a refusal, although the target runs it: it would then run twice.
func TestLateCopyOfRefusalDoesNotRefuseNonIdempotentRequest(t *testing.T) {
	for name, first := range map[string]bool{"of an idempotent request": false, "of the same request": true} {
		t.Run(name, func(t *testing.T) {
			tg := listen(t, func(nth int, id string) string {
				if nth == 1 {
					return refusal
				}
				return signed(id, "s", "ran")
			})
			transport := newSignedTransport()
			q := request(tg, "1", 0)
			q.FreshConnection = first
			res, err := transport.Do(t.Context(), q, time.Second)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, res.Status)
			again := request(tg, "1", 0)
			again.FreshConnection = true
			res, err = transport.Do(t.Context(), again, time.Second)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, res.Status)
			require.Equal(t, int32(2), tg.conns.Load(), "the connection of the refusal is not used")
		})
	}
}

// Guards against an unframed response that is complete although its connection was
// reset.
func TestResetUnframedResponseFails(t *testing.T) {
	address := resetAfter(t, "HTTP/1.1 200 OK\r\nToucan-Id: 1\r\nConnection: close\r\n\r\nhalf of the bo")
	_, err := newTransport().Do(t.Context(), request(&target{address: address}, "1", 0), time.Second)
	require.Equal(t, toucantransport.MaybeExecuted, failureKind(t, err))
}
