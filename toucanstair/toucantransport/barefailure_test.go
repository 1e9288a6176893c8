package toucantransport_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against failures that are skipped and wait for the deadline, because the target has ids in the 404 of its handler and none in the 500 of its server.
func TestFailureWithoutIDDoesNotWaitForTheDeadline(t *testing.T) {
	tg := listen(t, func(nth int, id string) string {
		if nth == 1 {
			return withStatus(signed(id, "s1", "x"), "404 X")
		}
		return withStatus(without(signed("", "s2", "x"), "Stamp"), "500 X")
	})
	transport := newSignedTransport()
	_, err := do(t, transport, tg, "1")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, err = transport.Do(ctx, request(tg, "2", 0), time.Second)
	require.NoError(t, ctx.Err(), "the failure was skipped: %v", errors.Unwrap(err))
}

// Guards against a success for a request that failed, because the 404 of its target have ids, its 500 have none, and the second answer does.
func TestSecondAnswerDoesNotReplaceAFailureWithoutID(t *testing.T) {
	tg := listen(t, func(nth int, id string) string {
		if nth == 1 {
			return withStatus(signed(id, "s1", "x"), "404 X")
		}
		return withStatus(without(signed("", "s2", "x"), "Stamp"), "500 X") + signed(id, "x2", "second")
	})
	transport := newSignedTransport()
	_, err := do(t, transport, tg, "1")
	require.NoError(t, err)
	res, err := do(t, transport, tg, "2")
	if err == nil {
		require.NotEqual(t, http.StatusOK, res.Status)
	}
}
