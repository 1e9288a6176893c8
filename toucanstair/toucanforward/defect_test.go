package toucanforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanservice"
	"toucanstair.example/toucanstair/toucanrollout"
)

// faultyRollouts panics while faulty is set, like any defect on a request's way.
type faultyRollouts struct {
	*fakeConfig
	faulty atomic.Bool
}

func (c *faultyRollouts) ChooseVersion(s toucanservice.Name, route string, retry bool) toucanrollout.VersionChoice {
	if c.faulty.Load() {
		panic("a defect")
	}
	return c.fakeConfig.ChooseVersion(s, route, retry)
}

// Guards against a kept connection that is closed without a response because the host has
// a defect: with and without a body, the caller gets 500 and the next request is served.
func TestDefectEndsRequestAndNotConnection(t *testing.T) {
	for name, body := range map[string]string{"GET": "", "POST": "body"} {
		t.Run(name, func(t *testing.T) {
			host := newTestHost(0, fastTarget)
			rollouts := &faultyRollouts{fakeConfig: host.config}
			host.Rollouts = rollouts
			server := httptest.NewServer(host.Forwarder)
			defer server.Close()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
			r := bufio.NewReader(c)
			for i, want := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusOK} {
				rollouts.faulty.Store(want != http.StatusOK)
				_, err = fmt.Fprintf(c, "%s /p/x HTTP/1.1\r\nHost: a.example\r\n%s: id-%d\r\nContent-Length: %d\r\n\r\n%s", name, testHeaders.RequestID, i, len(body), body)
				require.NoError(t, err)
				res, err := http.ReadResponse(r, nil)
				require.NoError(t, err, "the connection was closed without a response")
				_, err = io.Copy(io.Discard, res.Body)
				require.NoError(t, err)
				require.Equal(t, want, res.StatusCode)
			}
		})
	}
}

// failingWriter panics in the middle of the response.
type failingWriter struct{ *httptest.ResponseRecorder }

func (failingWriter) Write([]byte) (int, error) { panic("a defect") }

// Guards against a response that is completed by the one to a defect.
func TestDefectWithinResponseAbortsIt(t *testing.T) {
	host := newTestHost(0, fastTarget)
	r := httptest.NewRequest(http.MethodGet, "http://a.example/p/x", nil)
	r.Header.Set(testHeaders.RequestID, "id-1")
	w := failingWriter{httptest.NewRecorder()}
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { host.ServeHTTP(w, r) })
	require.NotContains(t, strings.ToLower(w.Body.String()), "defect")
}
