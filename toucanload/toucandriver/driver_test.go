package toucandriver_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanspec"
	"toucanstair.example/toucanload/toucandriver"
	"toucanstair.example/toucanload/toucanreport"
)

func scenario(address string) toucandriver.Scenario {
	return toucandriver.Scenario{
		Callers: []string{address}, Service: "rescue", Route: "find", Queries: []string{"radio"},
		Rate: 200, Duration: time.Second, Timeout: 2 * time.Second, Seed: 3,
	}
}

func run(t *testing.T, s toucandriver.Scenario) (*toucanreport.Report, []time.Duration) {
	d, err := toucandriver.New(s)
	require.NoError(t, err)
	r := toucanreport.New()
	r.AddDuration(s.Duration)
	var arrivals []time.Duration
	d.Run(t.Context(), func(x toucandriver.Result) {
		arrivals = append(arrivals, x.Arrival)
		r.Add(0, x)
	})
	return r, arrivals
}

// Guards against coordinated omission: the stall of a host must raise the latency
// of all requests that were due to be sent during the stall.
func TestStallShowsInLatency(t *testing.T) {
	start := time.Now()
	const stall = 500 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-time.After(time.Until(start.Add(stall)))
		fmt.Fprint(w, `{"coverage":{"asked":4,"answered":3,"missing":[{"shard":1,"reason":"timeout"}]},"snapshot":{"index":"7"}}`)
	}))
	defer server.Close()
	r, arrivals := run(t, scenario(server.Listener.Addr().String()))
	s := r.Summary()
	require.Equal(t, uint64(len(arrivals)), s.Outcomes["done"])
	require.InDelta(t, 200, len(arrivals), 60)
	require.Greater(t, s.Latency.P90, toucanspec.Duration(300*time.Millisecond))
	require.InDelta(t, 0.75, s.Coverage.Mean, 1e-9)
	require.Zero(t, s.Coverage.Full)
	require.Equal(t, s.Sent, s.Missing["timeout"])
	file := filepath.Join(t.TempDir(), "plot.svg")
	require.NoError(t, toucanreport.Plot(file, []string{"a"}, []*toucanreport.Report{r}))
	require.FileExists(t, file)
}

// Guards against counting refused requests as lost ones (unknown outcome) or the
// reverse, and against arrivals that differ between runs with the same seed.
func TestRefusedAndLostRequestsAreCountedApart(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1)%2 == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":{"code":"overload","outcome":"notrun","detail":"full"}}`)
	}))
	defer server.Close()
	s := scenario(server.Listener.Addr().String())
	s.Duration, s.Warmup = 200*time.Millisecond, 100*time.Millisecond
	r, first := run(t, s)
	_, second := run(t, s)
	require.ElementsMatch(t, first, second)
	sum := r.Summary()
	require.Equal(t, sum.Sent, sum.Unanswered["overload"]+sum.Unanswered["down"])
	require.Equal(t, sum.Unanswered["overload"], sum.Outcomes["notrun"])
	require.Equal(t, sum.Unanswered["down"], sum.Outcomes["unknown"])
	require.NotZero(t, sum.Outcomes["unknown"])
}
