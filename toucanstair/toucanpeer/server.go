// Package toucanpeer serves legs, heartbeats, votes and configuration to the
// other hosts over gRPC.
package toucanpeer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanworker"
)

const (
	defaultInFlight = 4096
	// pingTime is below the clients' keepalive interval of 10 s, so that their
	// pings are allowed.
	pingTime     = 5 * time.Second
	pingTimeout  = 2 * time.Second
	messageLimit = 8 << 20 // bytes
	// longest bounds a leg that names no timeout.
	longest = 30 * time.Second
)

var (
	served  = metrics.NewCounter("toucan_peer_legs_total")
	refused = metrics.NewCounter("toucan_peer_refused_total")
)

// Runner runs legs; Cell is one.
type Runner interface {
	Run(ctx context.Context, leg *toucanpb.Leg) *toucanpb.LegResult
	Serve(ctx context.Context, leg *toucanpb.Leg) *toucanpb.LegResult
}

// Membership answers heartbeats and votes.
type Membership interface {
	Beat(ctx context.Context, r *toucanpb.BeatRequest) (*toucanpb.BeatReply, error)
	Vote(ctx context.Context, r *toucanpb.VoteRequest) (*toucanpb.VoteReply, error)
}

// Fetcher returns configuration and views.
type Fetcher interface {
	Fetch(ctx context.Context, r *toucanpb.FetchRequest) (*toucanpb.FetchReply, error)
}

// Server implements the Peer service. Runner, Membership and Fetcher are
// required. Fields must not change after first use.
type Server struct {
	toucanpb.UnimplementedPeerServer

	Runner      Runner
	Membership  Membership
	Fetcher     Fetcher
	MaxInFlight int // most legs in flight on one stream, default 4096

	running atomic.Int64
	workers toucanworker.Pool
}

// Beat passes a heartbeat on.
func (s *Server) Beat(ctx context.Context, r *toucanpb.BeatRequest) (*toucanpb.BeatReply, error) {
	return s.Membership.Beat(ctx, r)
}

// Vote passes a vote on.
func (s *Server) Vote(ctx context.Context, r *toucanpb.VoteRequest) (*toucanpb.VoteReply, error) {
	return s.Membership.Vote(ctx, r)
}

// Fetch passes a request for configuration on.
func (s *Server) Fetch(ctx context.Context, r *toucanpb.FetchRequest) (*toucanpb.FetchReply, error) {
	return s.Fetcher.Fetch(ctx, r)
}

// RunningLegs returns the number of legs that run for peers.
func (s *Server) RunningLegs() int { return int(s.running.Load()) }

// Run serves on a listener until ctx ends, then closes all streams and
// reports on the channel. Callers wait for Running to be 0 first.
func (s *Server) Run(ctx context.Context, l net.Listener, options ...grpc.ServerOption) <-chan error {
	g := grpc.NewServer(append([]grpc.ServerOption{
		grpc.MaxRecvMsgSize(messageLimit),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingTime, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingTime, Timeout: pingTimeout}),
	}, options...)...)
	toucanpb.RegisterPeerServer(g, s)
	served, end := make(chan error, 1), make(chan error, 1)
	go func() { served <- g.Serve(l) }()
	go func() {
		select {
		case err := <-served:
			end <- err
		case <-ctx.Done():
			g.Stop()
			end <- <-served
		}
	}()
	return end
}

// session is one stream of legs.
type session struct {
	server *Server
	out    chan *toucanpb.LegResult
	mu     sync.Mutex
	cancel map[uint64]context.CancelFunc
}

// Legs runs legs until the sender closes the stream and all results are sent.
func (s *Server) Legs(stream grpc.BidiStreamingServer[toucanpb.LegRequest, toucanpb.LegResult]) error {
	limit := s.MaxInFlight
	if limit <= 0 {
		limit = defaultInFlight
	}
	// The buffer holds one result for each leg in flight, so legs never wait
	// for a slow stream with their slot held.
	n := &session{server: s, out: make(chan *toucanpb.LegResult, limit), cancel: make(map[uint64]context.CancelFunc)}
	ctx, stop := context.WithCancel(stream.Context())
	defer stop()
	written := make(chan error, 1)
	go func() {
		err := n.write(stream)
		if err != nil {
			stop()
		}
		written <- err
	}()
	var legs sync.WaitGroup
	err := n.read(ctx, stream, limit, &legs)
	if err != nil {
		stop()
	}
	legs.Wait()
	close(n.out)
	if e := <-written; err == nil {
		err = e
	}
	return err
}

// write sends results until the channel is closed; after an error it only
// empties the channel.
func (n *session) write(stream grpc.BidiStreamingServer[toucanpb.LegRequest, toucanpb.LegResult]) error {
	var failed error
	for r := range n.out {
		if failed == nil {
			failed = stream.Send(r)
		}
	}
	return failed
}

// read starts and cancels legs. It returns nil when the sender closed the
// stream.
func (n *session) read(ctx context.Context, stream grpc.BidiStreamingServer[toucanpb.LegRequest, toucanpb.LegResult], limit int, legs *sync.WaitGroup) error {
	room := make(chan struct{}, limit)
	for {
		m, err := stream.Recv()
		if err != nil {
			return atEnd(err)
		}
		leg := m.GetStart()
		if leg == nil {
			n.stop(m.GetCancel())
			continue
		}
		select {
		case room <- struct{}{}:
		default:
			refused.Inc()
			n.refuse(ctx, leg)
			continue
		}
		timeout := longest
		if us := leg.GetTimeoutUs(); us > 0 && us < uint64(longest.Microseconds()) {
			timeout = time.Duration(us) * time.Microsecond
		}
		run, cancel := context.WithTimeout(ctx, timeout)
		n.mu.Lock()
		n.cancel[leg.GetNumber()] = cancel
		n.mu.Unlock()
		n.server.running.Add(1)
		legs.Add(1)
		n.server.workers.Go(func() {
			defer legs.Done()
			r := n.server.run(run, leg)
			n.stop(leg.GetNumber())
			cancel()
			n.out <- r
			n.server.running.Add(-1)
			<-room
		})
	}
}

func (n *session) refuse(ctx context.Context, leg *toucanpb.Leg) {
	r := &toucanpb.LegResult{
		Number: leg.GetNumber(), Shard: leg.GetShard(), Index: leg.GetIndex(), Replica: leg.GetReplica(),
		Outcome: toucanpb.Outcome_OUTCOME_NOTRUN, Code: toucanpb.Code_CODE_OVERLOAD, Detail: "too many legs in flight on the stream",
	}
	select {
	case n.out <- r:
	case <-ctx.Done():
	}
}

func (n *session) stop(number uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cancel := n.cancel[number]; cancel != nil {
		cancel()
		delete(n.cancel, number)
	}
}

// run runs one leg as a child of the sender's span.
func (s *Server) run(ctx context.Context, leg *toucanpb.Leg) *toucanpb.LegResult {
	served.Inc()
	if parent := leg.GetTraceparent(); parent != "" {
		ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{"traceparent": parent})
	}
	ctx, span := otel.Tracer("toucanpeer").Start(ctx, "leg", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	var r *toucanpb.LegResult
	if leg.GetReplica() == "" {
		r = s.Runner.Run(ctx, leg)
	} else {
		r = s.Runner.Serve(ctx, leg)
	}
	if r == nil {
		f := toucanfault.Unknown(toucanpb.Code_CODE_INTERNAL, "leg without a result")
		r = &toucanpb.LegResult{Outcome: f.Outcome, Code: f.Code, Detail: f.Detail}
	}
	r.Number = leg.GetNumber()
	return r
}
