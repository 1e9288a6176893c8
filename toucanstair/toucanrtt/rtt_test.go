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

// Guards against a way that is not measured, or that counts the opening of a
// connection for each request on it.
func TestFirstRequestIncludesConnectionSetup(t *testing.T) {
	var ways [2]atomic.Int64
	var nth atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		ways[nth.Add(1)-1].Store(int64(toucanrtt.FromContext(r.Context()).BeginRequest()))
	}))
	s.Config.ConnContext = toucanrtt.WithConn
	s.Start()
	defer s.Close()
	for range ways {
		res, err := s.Client().Get(s.URL)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, res.Body)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
	}
	first, second := time.Duration(ways[0].Load()), time.Duration(ways[1].Load())
	require.Positive(t, second)
	require.Equal(t, 2*second, first)
}

// Guards against a crash where the way is unknown.
func TestUnknownRTTIsZero(t *testing.T) {
	require.Zero(t, toucanrtt.FromContext(context.Background()).BeginRequest())
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	require.Zero(t, toucanrtt.FromContext(toucanrtt.WithConn(context.Background(), a)).BeginRequest())
}
