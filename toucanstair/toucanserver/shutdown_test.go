package toucanserver

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"toucanstair.example/toucanstair/toucanguard"
	"toucanstair.example/toucanstair/toucanrules"
)

// loadBalancerDelay is how long callers open new connections to a host that stops: the
// load balancer probes each second and takes it out after two failures.
const loadBalancerDelay = 2 * time.Second

// Guards against requests that are cut off without an answer during a planned stop under
// load, on new connections and on kept ones.
func TestPlannedStopAnswersAllRequests(t *testing.T) {
	s := &Server{Log: zap.NewNop(), Settings: Settings{GracePeriod: 6 * time.Second}}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		timer := time.NewTimer(5 * time.Millisecond)
		<-timer.C
		fmt.Fprint(w, "answer")
	})
	guard := &toucanguard.Guard{Log: zap.NewNop(), Limits: func() toucanrules.Limits { return toucanrules.Limits{} }}
	server := s.newHTTPServer(guard.Handler(handler))
	server.ConnState = guard.ConnState
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	served := make(chan error, 1)
	go func() { served <- server.Serve(guard.WrapListener(l)) }()

	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	const clientCount = 24
	failures := make(chan string, clientCount)
	answered := make([]int, clientCount)
	for i := range clientCount {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0}}
			for ctx.Err() == nil {
				res, err := client.Post("http://"+address, "text/plain", nil)
				if err != nil {
					failures <- err.Error()
					return
				}
				body, err := io.ReadAll(res.Body)
				res.Body.Close()
				if err != nil || string(body) != "answer" {
					failures <- fmt.Sprintf("answer %q, %v", body, err)
					return
				}
				answered[i]++
			}
		})
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.shutdown(context.Background(), server) }()
	<-time.After(loadBalancerDelay)
	cancel()
	clients.Wait()
	require.NoError(t, <-stopped)
	require.ErrorIs(t, <-served, http.ErrServerClosed)
	select {
	case failure := <-failures:
		require.Fail(t, failure)
	default:
	}
	for _, n := range answered {
		require.Positive(t, n)
	}
}
