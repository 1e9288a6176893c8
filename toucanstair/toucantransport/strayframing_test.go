package toucantransport_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a failure that is lost in the body of a late second answer, so that its own second answer takes its place.
func TestResponseIsNoPartOfTheBodyOfALateOne(t *testing.T) {
	own := withStatus(signed("2", "s2", ""), "500 X")
	late := signed("1", "x1", strings.Repeat("a", len(own)))
	late = strings.TrimRight(late, "a")
	tg := listen(t, func(nth int, id string) string {
		if nth == 1 {
			return signed(id, "s1", "own 1")
		}
		return late + own + signed(id, "x2", "second 2")
	})
	transport := newSignedTransport()
	_, err := do(t, transport, tg, "1")
	require.NoError(t, err)
	res, err := do(t, transport, tg, "2")
	if err == nil {
		require.NotEqual(t, http.StatusOK, res.Status)
	}
}
