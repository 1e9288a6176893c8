package toucanrtt_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/toucanstair/toucanrtt"
)

// Guards against a round-trip time that is not measured, or that includes the
// connection setup for each request on a connection.
func TestFirstRequestIncludesConnectionSetup(t *testing.T) {
	var times [2]atomic.Int64
	var nth atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		times[nth.Add(1)-1].Store(int64(toucanrtt.FromContext(r.Context()).BeginRequest()))
	}))
	s.Config.ConnContext = toucanrtt.WithConn
	s.Start()
	defer s.Close()
	for range times {
		res, err := s.Client().Get(s.URL)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, res.Body)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
	}
	first, second := time.Duration(times[0].Load()), time.Duration(times[1].Load())
	require.Positive(t, second)
	require.Equal(t, 2*second, first)
}

// Guards against a nil dereference when the round-trip time is unknown.
func TestUnknownRTTIsZero(t *testing.T) {
	require.Zero(t, toucanrtt.FromContext(context.Background()).BeginRequest())
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	require.Zero(t, toucanrtt.FromContext(toucanrtt.WithConn(context.Background(), a)).BeginRequest())
}
