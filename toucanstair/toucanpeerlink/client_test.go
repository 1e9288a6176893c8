package toucanpeerlink_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanpeer"
	"toucanstair.example/toucanstair/toucanpeerlink"
)

// runner returns a result after the duration in the query; legs with another query
// hang until they are cancelled.
type runner struct {
	started, cancelled atomic.Int64
	trace              atomic.Value
}

func (r *runner) Run(ctx context.Context, leg *toucanpb.Leg) *toucanpb.LegResult {
	r.started.Add(1)
	r.trace.Store(trace.SpanContextFromContext(ctx).TraceID().String())
	res := &toucanpb.LegResult{Shard: leg.GetShard(), Detail: leg.GetQueryId()}
	wait := make(<-chan time.Time)
	if d, err := time.ParseDuration(string(leg.GetQuery())); err == nil {
		wait = time.After(d)
	}
	select {
	case <-ctx.Done():
		r.cancelled.Add(1)
		res.Code = toucanpb.Code_CODE_CANCELLED
	case <-wait:
	}
	return res
}

func (r *runner) Serve(_ context.Context, leg *toucanpb.Leg) *toucanpb.LegResult {
	return &toucanpb.LegResult{Detail: "served", Shard: leg.GetShard()}
}

type fetcher struct{}

func (fetcher) Fetch(context.Context, *toucanpb.FetchRequest) (*toucanpb.FetchReply, error) {
	return &toucanpb.FetchReply{}, nil
}

// serve starts a server and returns its address and a function that stops it.
func serve(t testing.TB, r toucanpeer.Runner, address string, limit int) (string, func()) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	done := (&toucanpeer.Server{Runner: r, Fetcher: fetcher{}, MaxInFlight: limit}).Run(ctx, listener)
	return listener.Addr().String(), func() {
		stop()
		require.NoError(t, <-done)
	}
}

func codeAndOutcome(err error) (toucanpb.Code, toucanpb.Outcome) {
	f := toucanfault.As(err)
	return f.Code, f.Outcome
}

// Guards against results that are delivered to another leg, against a trace that does
// not continue at the peer, and against a leg whose named replica is ignored.
func TestDoMatchesResultsToLegs(t *testing.T) {
	r := &runner{}
	address, stop := serve(t, r, "127.0.0.1:0", 0)
	defer stop()
	var client toucanpeerlink.Client
	defer client.Close()
	id, err := trace.TraceIDFromHex("0123456789abcdef0123456789abcdef")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	ctx = trace.ContextWithSpanContext(ctx, trace.NewSpanContext(trace.SpanContextConfig{TraceID: id, SpanID: trace.SpanID{1}}))
	var all sync.WaitGroup
	for i := range 500 {
		all.Go(func() {
			q := fmt.Sprint("q", i)
			res, err := client.Do(ctx, address, &toucanpb.Leg{QueryId: q, Shard: uint32(i), Query: fmt.Append(nil, 500-i, "us")})
			if err != nil || res.GetDetail() != q || res.GetShard() != uint32(i) {
				t.Errorf("leg %s got %v, %v", q, res, err)
			}
		})
	}
	all.Wait()
	require.Equal(t, id.String(), r.trace.Load())
	res, err := client.Do(ctx, address, &toucanpb.Leg{Replica: "r"})
	require.NoError(t, err)
	require.Equal(t, "served", res.GetDetail())
}

// Guards against legs that keep running at the peer after they were cancelled.
func TestDoCancels(t *testing.T) {
	r := &runner{}
	address, stop := serve(t, r, "127.0.0.1:0", 0)
	defer stop()
	var client toucanpeerlink.Client
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	go func() {
		_, err := client.Do(ctx, address, &toucanpb.Leg{Query: []byte("hang")})
		end <- err
	}()
	require.Eventually(t, func() bool { return r.started.Load() == 1 }, 5*time.Second, time.Millisecond)
	cancel()
	c, o := codeAndOutcome(<-end)
	require.Equal(t, toucanpb.Code_CODE_CANCELLED, c)
	require.Equal(t, toucanpb.Outcome_OUTCOME_UNKNOWN, o)
	require.Eventually(t, func() bool { return r.cancelled.Load() == 1 }, time.Second, time.Millisecond)
}

// Guards against a leg that is reported as not run although the peer received it, a
// leg that hangs on a broken stream, a client that exceeds MaxInFlight, and a client that
// does not reconnect.
func TestBrokenStreamFailsLegsAndReconnects(t *testing.T) {
	r := &runner{}
	address, stop := serve(t, r, "127.0.0.1:0", 0)
	client := toucanpeerlink.Client{MaxInFlight: 32}
	defer client.Close()
	errs := make(chan error, 32)
	for range 32 {
		go func() {
			_, err := client.Do(t.Context(), address, &toucanpb.Leg{Query: []byte("hang")})
			errs <- err
		}()
	}
	require.Eventually(t, func() bool { return r.started.Load() == 32 }, time.Second, time.Millisecond)
	_, err := client.Do(t.Context(), address, &toucanpb.Leg{})
	c, o := codeAndOutcome(err)
	require.Equal(t, toucanpb.Code_CODE_OVERLOAD, c)
	require.Equal(t, toucanpb.Outcome_OUTCOME_NOTRUN, o)
	stop()
	for range 32 {
		c, o := codeAndOutcome(<-errs)
		require.Equal(t, toucanpb.Code_CODE_DOWN, c)
		require.Equal(t, toucanpb.Outcome_OUTCOME_UNKNOWN, o)
	}
	_, err = client.Do(t.Context(), address, &toucanpb.Leg{Query: []byte("0s")})
	c, o = codeAndOutcome(err)
	require.Equal(t, toucanpb.Code_CODE_DOWN, c)
	require.Equal(t, toucanpb.Outcome_OUTCOME_NOTRUN, o)
	require.EqualValues(t, 32, r.started.Load())
	_, stop = serve(t, r, address, 0)
	defer stop()
	require.Eventually(t, func() bool {
		_, err := client.Do(t.Context(), address, &toucanpb.Leg{Query: []byte("0s")})
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
}

// Guards against a server that accepts an unlimited number of legs.
func TestServerLimitsLegsInFlight(t *testing.T) {
	r := &runner{}
	address, stop := serve(t, r, "127.0.0.1:0", 2)
	defer stop()
	var client toucanpeerlink.Client
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	var refused atomic.Int64
	var all sync.WaitGroup
	for range 5 {
		all.Go(func() {
			if res, err := client.Do(ctx, address, &toucanpb.Leg{Query: []byte("hang")}); err == nil && res.GetCode() == toucanpb.Code_CODE_OVERLOAD {
				refused.Add(1)
			}
		})
	}
	all.Wait()
	require.EqualValues(t, 3, refused.Load())
}

// Guards against connections to peers that do not use the configured source address,
// on hosts with several addresses.
func TestSourceAddress(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client := toucanpeerlink.Client{SourceAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 9, 4)}}
	defer client.Close()
	_, err = client.Conn(listener.Addr().String())
	require.NoError(t, err)
	c, err := listener.Accept()
	require.NoError(t, err)
	defer c.Close()
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	require.NoError(t, err)
	require.Equal(t, "127.0.9.4", host)
}

// stallingConn is a connection whose reads can be stalled, as in a partition.
type stallingConn struct {
	net.Conn
	stall *sync.RWMutex // held for writing while reads stall
}

func (c stallingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.stall.RLock()
	defer c.stall.RUnlock()
	return n, err
}

// Guards against legs that wait until their deadline for a partitioned or hanging peer
// instead of being retried elsewhere, against a leg that fails because its target is
// slow, and against a peer that gets no legs after it has recovered.
func TestUnresponsivePeerIsAvoided(t *testing.T) {
	r := &runner{}
	address, stop := serve(t, r, "127.0.0.1:0", 0)
	defer stop()
	stall := &sync.RWMutex{}
	client := toucanpeerlink.Client{DialOptions: []grpc.DialOption{grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", a)
		return stallingConn{c, stall}, err
	})}}
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err := client.Do(ctx, address, &toucanpb.Leg{Query: []byte("1s")})
	require.NoError(t, err, "a slow leg of a responsive peer")

	stall.Lock()
	onceDone := make(chan error, 1)
	go func() {
		_, err := client.Do(ctx, address, &toucanpb.Leg{Query: []byte("10ms"), Once: true})
		onceDone <- err
	}()
	_, err = client.Do(ctx, address, &toucanpb.Leg{Query: []byte("10ms")})
	c, o := codeAndOutcome(err)
	require.Equal(t, toucanpb.Code_CODE_DOWN, c)
	require.Equal(t, toucanpb.Outcome_OUTCOME_UNKNOWN, o, "the peer may have received it")
	_, err = client.Do(ctx, address, &toucanpb.Leg{Query: []byte("10ms")})
	c, o = codeAndOutcome(err)
	require.Equal(t, toucanpb.Code_CODE_DOWN, c)
	require.Equal(t, toucanpb.Outcome_OUTCOME_NOTRUN, o, "an unresponsive peer gets no new legs")

	stall.Unlock()
	require.NoError(t, <-onceDone, "a non-idempotent leg keeps waiting for its result")
	require.Eventually(t, func() bool {
		_, err := client.Do(ctx, address, &toucanpb.Leg{Query: []byte("0s")})
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
}
