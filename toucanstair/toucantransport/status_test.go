package toucantransport_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/toucanstair/toucantransport"
)

// invalidStatuses are status lines of no HTTP response that net/http reads as one.
var invalidStatuses = []string{"000", "001", "007", "099", "+20", "-00", "101", "600", "666", "999"}

// Guards against a response with a status that HTTP does not have: it was returned, or the
// request waited for another response until its deadline and took what came next with its id.
func TestInvalidStatusEndsTheExchangeAtOnce(t *testing.T) {
	const deadline = time.Minute
	for _, status := range invalidStatuses {
		for name, kept := range map[string]bool{"new connection": false, "kept connection": true} {
			t.Run(status+" on a "+name, func(t *testing.T) {
				var broken atomic.Bool
				tg := listen(t, func(_ int, id string) string {
					if broken.Swap(false) {
						return fmt.Sprintf("HTTP/1.1 %s X\r\nToucan-Id: %s\r\nContent-Length: 0\r\n\r\n", status, id) + response(id, "late")
					}
					return response(id, "good")
				})
				transport := newTransport()
				if kept {
					_, err := do(t, transport, tg, "1")
					require.NoError(t, err)
				}
				broken.Store(true)
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				_, err := transport.Do(ctx, request(tg, "2", 0), deadline)
				require.NoError(t, ctx.Err(), "the request waited until its deadline")
				require.Equal(t, toucantransport.MaybeExecuted, failureKind(t, err))
				res, err := do(t, transport, tg, "3")
				require.NoError(t, err)
				require.Equal(t, "good", string(res.Body))
			})
		}
	}
}

// Guards against interim responses that end a request.
func TestInterimResponsesPrecedeTheFinalOne(t *testing.T) {
	for _, status := range []string{"100", "102", "103", "199"} {
		tg := listen(t, func(_ int, id string) string {
			return fmt.Sprintf("HTTP/1.1 %s X\r\n\r\n", status) + response(id, "good")
		})
		res, err := do(t, newTransport(), tg, "1")
		require.NoError(t, err, status)
		require.Equal(t, "good", string(res.Body))
	}
}
