package toucantransport_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/toucanstair/toucantransport"
)

// Guards against a late copy whose end is misjudged, because only one of the two methods is HEAD.
func TestLateCopyIsSkippedAfterChangeOfMethod(t *testing.T) {
	for name, methods := range map[string][2]string{
		"GET after HEAD": {http.MethodHead, http.MethodGet},
		"HEAD after GET": {http.MethodGet, http.MethodHead},
	} {
		t.Run(name, func(t *testing.T) {
			target := &stutteringTarget{lag: 1, respond: func(nth int, id string) string {
				own := signed(id, "s"+id, strings.Repeat("x", 1000))
				if methods[nth-1] == http.MethodHead {
					own, _, _ = strings.Cut(own, "\r\n\r\n")
					own += "\r\n\r\n"
				}
				return own
			}}
			address := target.start(t)
			transport := newSignedTransport()
			for n, id := range []string{"1", "2"} {
				q := requestTo(address, id)
				q.Message = toucantransport.NewMessage(id, methods[n], "/p", "a.example", http.Header{"Toucan-Id": {id}}, nil)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				res, err := transport.Do(ctx, q, time.Second)
				cancel()
				require.NoError(t, err, "request %s %s", methods[n], id)
				if methods[n] == http.MethodGet {
					require.Equal(t, strings.Repeat("x", 1000), string(res.Body))
				}
			}
		})
	}
}
