package toucanforward

import (
	"context"
	"errors"
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

// heldStream holds up what the host sends until after its peer's patience.
type heldStream struct{ grpc.ServerStream }

func (heldStream) SendMsg(any) error { return nil }

// serveGateway serves a host's gateway on a loopback address; while held is
// set, none of its messages arrives. The function that it returns waits for all
// requests.
func serveGateway(t *testing.T, s *setting, held *atomic.Bool) (string, func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer(grpc.StreamInterceptor(func(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, h grpc.StreamHandler) error {
		if held.Load() {
			stream = heldStream{stream}
		}
		return h(srv, stream)
	}))
	toucanpb.RegisterGatewayServer(server, &Gateway{Forwarder: s.Forwarder, RulesAt: func(v uint64) *toucanrules.Rules {
		if v != s.orders.rules.Version {
			return nil
		}
		return s.orders.rules
	}})
	end := make(chan error, 1)
	go func() { end <- server.Serve(l) }()
	t.Cleanup(func() {
		server.Stop()
		require.NoError(t, <-end)
	})
	return l.Addr().String(), server.GracefulStop
}

// handTo makes s hand its requests to the host at an address, once connected.
func handTo(t *testing.T, s *setting, address string) {
	placer := &toucanplacement.Placer{Self: toucansource.Peer{ID: "weak", Zone: "a", CPUMillis: 100}}
	placer.Update([]toucansource.Peer{{ID: "strong", Zone: "a", CPUMillis: 800, Address: address}})
	client := &toucangateway.Client{}
	t.Cleanup(func() { client.Retain(nil) })
	s.Delegation = &Delegation{Placer: placer, Client: client}
	require.Eventually(t, func() bool {
		_, err := client.Gather(context.Background(), address, &toucanpb.GatherRequest{Rules: 99})
		return errors.Is(err, toucangateway.ErrNotTaken)
	}, 5*time.Second, 10*time.Millisecond)
}

func quick(toucanreplica.ID, int) conduct { return conduct{takes: time.Millisecond} }

// Guards against a weak host that sends to all shards itself.
func TestWeakHostDelegatesToStrongHost(t *testing.T) {
	strong, weak := newSetting(8, quick), newSetting(8, quick)
	address, _ := serveGateway(t, strong, &atomic.Bool{})
	handTo(t, weak, address)
	w, _ := weak.ask(t.Context())
	require.Equal(t, http.StatusOK, w.Code)
	require.Equal(t, "0", w.Header().Get(dialect.MissingShards))
	require.Zero(t, weak.world.sum(weak.world.arrived))
	require.Equal(t, 8, strong.world.sum(strong.world.arrived))
}

// Guards against a request that two hosts gather: when word that one takes it
// comes late, the other has gathered it by then. Requests ran on three
// targets of a shard where two were allowed.
func TestUnconfirmedGatherSendsNothing(t *testing.T) {
	strong, weak := newSetting(8, quick), newSetting(8, quick)
	var held atomic.Bool
	address, finish := serveGateway(t, strong, &held)
	handTo(t, weak, address)
	held.Store(true)
	w, _ := weak.ask(t.Context())
	require.Equal(t, http.StatusOK, w.Code)
	require.Equal(t, 8, weak.world.sum(weak.world.arrived))
	finish()
	require.Zero(t, strong.world.sum(strong.world.arrived))
}

// Guards against a request that is handled by other rules than the host has
// that the caller asked.
func TestHostWithOtherRulesDoesNotGather(t *testing.T) {
	strong, weak := newSetting(8, quick), newSetting(8, quick)
	weak.orders.rules.Version = 2
	address, _ := serveGateway(t, strong, &atomic.Bool{})
	handTo(t, weak, address)
	w, _ := weak.ask(t.Context())
	require.Equal(t, http.StatusOK, w.Code)
	require.Zero(t, strong.world.sum(strong.world.arrived))
	require.Equal(t, 8, weak.world.sum(weak.world.arrived))
}

// Guards against connections that grow in number with each host that is
// replaced.
func TestConnectionsToRemovedHostsAreClosed(t *testing.T) {
	strong, weak := newSetting(1, quick), newSetting(1, quick)
	address, _ := serveGateway(t, strong, &atomic.Bool{})
	handTo(t, weak, address)
	client := weak.Delegation.Client.(*toucangateway.Client)
	unknown := &toucanpb.GatherRequest{Rules: 99}
	client.Retain([]toucansource.Peer{{Address: address}})
	_, err := client.Gather(t.Context(), address, unknown)
	require.ErrorIs(t, err, toucangateway.ErrNotTaken)
	client.Retain(nil)
	_, err = client.Gather(t.Context(), address, unknown)
	require.ErrorIs(t, err, toucangateway.ErrConnecting)
}

// Guards against a hop that does not show in a trace.
func TestEachHopIsTraced(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	before := otel.GetTracerProvider()
	otel.SetTracerProvider(sdk.NewTracerProvider(sdk.WithSpanProcessor(recorder)))
	t.Cleanup(func() { otel.SetTracerProvider(before) })
	weak, strong := newSetting(3, quick), newSetting(3, quick)
	var held atomic.Bool
	address, wait := serveGateway(t, strong, &held)
	handTo(t, weak, address)
	w, _ := weak.ask(t.Context())
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
