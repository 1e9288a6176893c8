package toucantransport_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a failure that is skipped for its id, so that the second answer to the same request takes its place.
func TestSecondAnswerDoesNotReplaceASkippedFailure(t *testing.T) {
	for name, c := range map[string]struct {
		id      string // in the failure
		earlier int    // requests that the connection has carried
	}{
		"without an id, kept connection":                {"", 1},
		"id of no request, kept connection":             {"z", 1},
		"id of no request, first one of its connection": {"z", 0},
	} {
		t.Run(name, func(t *testing.T) {
			tg := listen(t, func(nth int, id string) string {
				if nth <= c.earlier {
					return signed(id, "s"+id, "own "+id)
				}
				return withStatus(signed(c.id, "s"+id, ""), "500 X") + signed(id, "x"+id, "second "+id)
			})
			transport := newSignedTransport()
			for _, id := range []string{"1", "2"}[:c.earlier] {
				_, err := do(t, transport, tg, id)
				require.NoError(t, err)
			}
			res, err := do(t, transport, tg, "3")
			if err == nil {
				require.NotEqual(t, http.StatusOK, res.Status)
			}
		})
	}
}
