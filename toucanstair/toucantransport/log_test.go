package toucantransport_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against a skipped response that leaves no trace of its connection, id and signature.
func TestSkippedResponseIsLogged(t *testing.T) {
	tg := listen(t, func(nth int, id string) string {
		if nth == 2 {
			return signed("1", "s1", "own 1") + signed(id, "s"+id, "own "+id)
		}
		return signed(id, "s"+id, "own "+id)
	})
	core, logs := observer.New(zap.InfoLevel)
	transport := newSignedTransport()
	transport.Log = zap.New(core)
	for n, id := range []string{"1", "2"} {
		res, err := do(t, transport, tg, id)
		require.NoError(t, err)
		require.Equal(t, n+1, res.Exchange.Number)
		require.Equal(t, "s"+id, res.Exchange.Signature)
	}
	require.Equal(t, 1, logs.Len())
	line := logs.All()[0]
	require.Equal(t, "response skipped", line.Message)
	fields := line.ContextMap()
	require.NotEmpty(t, fields["connection"])
	delete(fields, "connection")
	require.Equal(t, map[string]any{
		"request": "2", "target": "t1", "reason": "other id", "exchange": int64(2), "status": int64(200), "id": "1", "signature": "s1",
	}, fields)
}

// Guards against log lines that do not tell a response with the id of its request from one without.
func TestExchangeTellsResponsesWithoutAnID(t *testing.T) {
	for _, echoes := range []bool{true, false} {
		tg := listen(t, func(_ int, id string) string {
			if !echoes {
				return signed("", "s"+id, "own "+id)
			}
			return signed(id, "s"+id, "own "+id)
		})
		res, err := do(t, newSignedTransport(), tg, "1")
		require.NoError(t, err)
		require.Equal(t, echoes, res.Exchange.Echoed)
	}
}
