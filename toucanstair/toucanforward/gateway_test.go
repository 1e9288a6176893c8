package toucanforward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/toucanstair/toucangateway"
	"toucanstair.example/toucanstair/toucanplacement"
	"toucanstair.example/toucanstair/toucanrules"
	"toucanstair.example/toucanstair/toucansource"
)

// mutedStream drops what the host sends, like messages that arrive only after
// the peer's timeout.
type mutedStream struct{ grpc.ServerStream }

func (mutedStream) SendMsg(any) error { return nil }

// serveGateway serves a host's gateway on a loopback address and returns the
// address and a function that waits for all requests to end. While muted is set,
// the messages that the gateway sends are dropped.
func serveGateway(t *testing.T, host *testHost, muted *atomic.Bool) (string, func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer(grpc.StreamInterceptor(func(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, h grpc.StreamHandler) error {
		if muted.Load() {
			stream = mutedStream{stream}
		}
		return h(srv, stream)
	}))
	toucanpb.RegisterGatewayServer(server, &Gateway{Forwarder: host.Forwarder, RulesAt: func(v uint64) *toucanrules.Rules {
		if v != host.config.rules.Version {
			return nil
		}
		return host.config.rules
	}})
	end := make(chan error, 1)
	go func() { end <- server.Serve(l) }()
	t.Cleanup(func() {
		server.Stop()
		require.NoError(t, <-end)
	})
	return l.Addr().String(), server.GracefulStop
}

// delegateTo makes host delegate its requests to the host at an address and waits
// for the connection. It asks for version 99 of the rules, which no host has, so that
// nothing is gathered.
func delegateTo(t *testing.T, host *testHost, address string) {
	placer := &toucanplacement.Placer{Self: toucansource.Peer{ID: "weak", Zone: "a", CPUMillis: 100}}
	placer.Update([]toucansource.Peer{{ID: "strong", Zone: "a", CPUMillis: 800, Address: address}})
	client := &toucangateway.Client{}
	t.Cleanup(func() { client.Retain(nil) })
	host.Delegation = &Delegation{Placer: placer, Client: client}
	require.Eventually(t, func() bool {
		_, err := client.Gather(context.Background(), address, &toucanpb.GatherRequest{Rules: 99})
		return errors.Is(err, toucangateway.ErrNotAccepted)
	}, 5*time.Second, 10*time.Millisecond)
}

func fastTarget(toucanreplica.ID, int) behavior { return behavior{delay: time.Millisecond} }

// Guards against a weak host that sends to all shards itself instead of
// delegating the request.
func TestWeakHostDelegatesToStrongHost(t *testing.T) {
	strong, weak := newTestHost(8, fastTarget), newTestHost(8, fastTarget)
	address, _ := serveGateway(t, strong, &atomic.Bool{})
	delegateTo(t, weak, address)
	w, _ := weak.get(t.Context())
	require.Equal(t, http.StatusOK, w.Code)
	require.Equal(t, "0", w.Header().Get(testHeaders.MissingShards))
	require.Zero(t, weak.targets.total(weak.targets.received))
	require.Equal(t, 8, strong.targets.total(strong.targets.received))
}

// Guards against a request that two hosts gather: when the strong host's
// acceptance arrives too late, the weak host gathers the request itself. Requests
// then ran on three targets of a shard, where two are allowed.
func TestUnconfirmedGatherSendsNothing(t *testing.T) {
	strong, weak := newTestHost(8, fastTarget), newTestHost(8, fastTarget)
	var muted atomic.Bool
	address, finish := serveGateway(t, strong, &muted)
	delegateTo(t, weak, address)
	muted.Store(true)
	w, _ := weak.get(t.Context())
	require.Equal(t, http.StatusOK, w.Code)
	require.Equal(t, 8, weak.targets.total(weak.targets.received))
	finish()
	require.Zero(t, strong.targets.total(strong.targets.received))
}

// Guards against gathering a request with a different version of the rules than that
// of the host that received it.
func TestHostWithOtherRulesDoesNotGather(t *testing.T) {
	strong, weak := newTestHost(8, fastTarget), newTestHost(8, fastTarget)
	weak.config.rules.Version = 2
	address, _ := serveGateway(t, strong, &atomic.Bool{})
	delegateTo(t, weak, address)
	w, _ := weak.get(t.Context())
	require.Equal(t, http.StatusOK, w.Code)
	require.Zero(t, strong.targets.total(strong.targets.received))
	require.Equal(t, 8, weak.targets.total(weak.targets.received))
}

// Guards against a connection leak: one more connection for each replaced host.
func TestConnectionsToRemovedHostsAreClosed(t *testing.T) {
	strong, weak := newTestHost(1, fastTarget), newTestHost(1, fastTarget)
	address, _ := serveGateway(t, strong, &atomic.Bool{})
	delegateTo(t, weak, address)
	client := weak.Delegation.Client.(*toucangateway.Client)
	unknown := &toucanpb.GatherRequest{Rules: 99}
	client.Retain([]toucansource.Peer{{Address: address}})
	_, err := client.Gather(t.Context(), address, unknown)
	require.ErrorIs(t, err, toucangateway.ErrNotAccepted)
	client.Retain(nil)
	_, err = client.Gather(t.Context(), address, unknown)
	require.ErrorIs(t, err, toucangateway.ErrNotConnected)
}

// Guards against a request that fails because the host that gathers it is no longer
// listed: its entry may have lapsed while it was only slow to renew it.
func TestGatheringGoesOnWhenTheHostIsUnlisted(t *testing.T) {
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	strong := newTestHost(1, func(toucanreplica.ID, int) behavior {
		arrived <- struct{}{}
		<-release
		return behavior{}
	})
	strong.route.MaxAttempts, strong.route.LatencyObjective, strong.route.Timeout = 1, 20*time.Second, 20*time.Second
	weak := newTestHost(1, fastTarget)
	weak.route.Timeout = 20 * time.Second
	address, _ := serveGateway(t, strong, &atomic.Bool{})
	delegateTo(t, weak, address)
	status := make(chan int, 1)
	go func() {
		w, _ := weak.get(context.Background())
		status <- w.Code
	}()
	<-arrived
	weak.Delegation.Client.(*toucangateway.Client).Retain(nil)
	close(release)
	require.Equal(t, http.StatusOK, <-status)
	require.Zero(t, weak.targets.total(weak.targets.received))
}

// gatherStream is the server's side of a call that delegates one request.
type gatherStream struct {
	grpc.ServerStream
	ctx      context.Context
	requests []*toucanpb.GatherRequest
	replies  []*toucanpb.GatherReply
}

func (s *gatherStream) Context() context.Context { return s.ctx }

func (s *gatherStream) Recv() (*toucanpb.GatherRequest, error) {
	r := s.requests[0]
	s.requests = s.requests[1:]
	return r, nil
}

func (s *gatherStream) Send(r *toucanpb.GatherReply) error {
	s.replies = append(s.replies, r)
	return nil
}

// Guards against a reply without a status when the deadline of the call has passed.
func TestGatherRepliesWithStatusAtDeadlineOfCall(t *testing.T) {
	for name, c := range map[string]struct {
		responding, status int
	}{"no shard": {0, http.StatusGatewayTimeout}, "enough shards": {3, http.StatusOK}} {
		t.Run(name, func(t *testing.T) {
			withFakeClock(t, func(t *testing.T) {
				host := newTestHost(4, func(id toucanreplica.ID, _ int) behavior {
					if id < toucanreplica.ID(fmt.Sprint("s", c.responding)) {
						return behavior{}
					}
					return neverResponds()
				})
				ctx, cancel := context.WithTimeout(t.Context(), 790*time.Millisecond)
				defer cancel()
				const limit = 800 * time.Millisecond
				stream := &gatherStream{ctx: ctx, requests: []*toucanpb.GatherRequest{
					{Id: "id-1", Method: http.MethodGet, Uri: "/p/x", Rules: 1, Route: "r", Due: int64(limit), Limit: int64(limit)}, {Go: true},
				}}
				gateway := Gateway{Forwarder: host.Forwarder, RulesAt: func(uint64) *toucanrules.Rules { return host.config.rules }}
				require.NoError(t, gateway.Gather(stream))
				require.Equal(t, int32(c.status), stream.replies[len(stream.replies)-1].GetStatus())
			})
		})
	}
}

// fixedReply is a gateway client that returns the same reply to each request.
type fixedReply struct{ reply *toucanpb.GatherReply }

func (c fixedReply) Gather(context.Context, string, *toucanpb.GatherRequest) (*toucanpb.GatherReply, error) {
	return c.reply, nil
}

// Guards against a panic on a reply without a status, which closed the caller's connection.
func TestReplyWithoutStatusEndsRequestWithTimeout(t *testing.T) {
	weak := newTestHost(8, fastTarget)
	placer := &toucanplacement.Placer{Self: toucansource.Peer{ID: "weak", Zone: "a", CPUMillis: 100}}
	placer.Update([]toucansource.Peer{{ID: "strong", Zone: "a", CPUMillis: 800, Address: "10.0.0.1:1"}})
	weak.Delegation = &Delegation{Placer: placer, Client: fixedReply{&toucanpb.GatherReply{}}}
	w, _ := weak.get(t.Context())
	require.Equal(t, http.StatusGatewayTimeout, w.Code)
}

// Guards against a hop that is missing in a trace or has the wrong parent.
func TestEachHopIsTraced(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	previous := otel.GetTracerProvider()
	otel.SetTracerProvider(sdk.NewTracerProvider(sdk.WithSpanProcessor(recorder)))
	t.Cleanup(func() { otel.SetTracerProvider(previous) })
	weak, strong := newTestHost(3, fastTarget), newTestHost(3, fastTarget)
	var muted atomic.Bool
	address, wait := serveGateway(t, strong, &muted)
	delegateTo(t, weak, address)
	w, _ := weak.get(t.Context())
	require.Equal(t, http.StatusOK, w.Code)
	wait()
	parents := map[string]trace.SpanID{}
	ids := map[string]trace.SpanID{}
	count := map[string]int{}
	for _, s := range recorder.Ended() {
		count[s.Name()]++
		ids[s.Name()], parents[s.Name()] = s.SpanContext().SpanID(), s.Parent().SpanID()
		require.Equal(t, recorder.Ended()[0].SpanContext().TraceID(), s.SpanContext().TraceID())
	}
	require.Equal(t, map[string]int{"request": 1, "gather": 1, "request of another host": 1, "target": 3}, count)
	require.Equal(t, ids["request"], parents["gather"])
	require.Equal(t, ids["gather"], parents["request of another host"])
	require.Equal(t, ids["request of another host"], parents["target"])
}

// Guards against a reply whose status HTTP does not have: net/http panics on some of them
// and sends others as interim responses.
func TestReplyWithInvalidStatusEndsRequestWithBadGateway(t *testing.T) {
	for _, status := range []int32{-1, 1, 99, 101, 199, 600, 999, 1000} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			weak := newTestHost(8, fastTarget)
			placer := &toucanplacement.Placer{Self: toucansource.Peer{ID: "weak", Zone: "a", CPUMillis: 100}}
			placer.Update([]toucansource.Peer{{ID: "strong", Zone: "a", CPUMillis: 800, Address: "10.0.0.1:1"}})
			weak.Delegation = &Delegation{Placer: placer, Client: fixedReply{&toucanpb.GatherReply{Status: status}}}
			w, _ := weak.get(t.Context())
			require.Equal(t, http.StatusBadGateway, w.Code)
		})
	}
}
