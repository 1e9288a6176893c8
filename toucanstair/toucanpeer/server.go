// Package toucanpeer is the gRPC server for other hosts. It serves legs, heartbeats,
// votes and configuration.
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
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanpanic"
	"toucanstair.example/toucanstair/toucanworker"
)

const (
	defaultMaxInFlight = 4096
	// keepaliveInterval is also the shortest interval at which clients may ping. It is
	// below their interval of 10 s (toucanpeerlink.KeepaliveTime).
	keepaliveInterval = 5 * time.Second
	keepaliveTimeout  = 2 * time.Second
	maxMessageBytes   = 8 << 20
	// maxLegTimeout is the upper bound of a leg's timeout, and the default.
	maxLegTimeout = 30 * time.Second
)

var (
	legsServed  = metrics.NewCounter("toucan_peer_legs_total")
	legsRefused = metrics.NewCounter("toucan_peer_refused_total")
)

// Runner runs legs; toucandispatch.Dispatcher is one.
type Runner interface {
	// Run runs a leg on a replica that the runner selects.
	Run(ctx context.Context, leg *toucanpb.Leg) *toucanpb.LegResult
	// Serve runs a leg on the replica that the leg names.
	Serve(ctx context.Context, leg *toucanpb.Leg) *toucanpb.LegResult
}

// Membership handles heartbeats and votes; toucanmembership.Manager is one.
type Membership interface {
	Beat(ctx context.Context, r *toucanpb.BeatRequest) (*toucanpb.BeatReply, error)
	Vote(ctx context.Context, r *toucanpb.VoteRequest) (*toucanpb.VoteReply, error)
}

// Fetcher returns the configuration and the zone view.
type Fetcher interface {
	Fetch(ctx context.Context, r *toucanpb.FetchRequest) (*toucanpb.FetchReply, error)
}

// Server implements the gRPC service Peer. Runner, Membership and Fetcher are required.
// Exported fields must not change after the first use.
type Server struct {
	toucanpb.UnimplementedPeerServer

	Runner      Runner
	Membership  Membership
	Fetcher     Fetcher
	MaxInFlight int // limit for the legs in flight on one stream, default 4096
	Log         *zap.Logger

	runningLegs atomic.Int64
	workers     toucanworker.Pool
}

// Beat passes a heartbeat to Membership.
func (s *Server) Beat(ctx context.Context, r *toucanpb.BeatRequest) (*toucanpb.BeatReply, error) {
	return s.Membership.Beat(ctx, r)
}

// Vote passes a vote to Membership.
func (s *Server) Vote(ctx context.Context, r *toucanpb.VoteRequest) (*toucanpb.VoteReply, error) {
	return s.Membership.Vote(ctx, r)
}

// Fetch passes a request for configuration to Fetcher.
func (s *Server) Fetch(ctx context.Context, r *toucanpb.FetchRequest) (*toucanpb.FetchReply, error) {
	return s.Fetcher.Fetch(ctx, r)
}

func (s *Server) log() *zap.Logger {
	if s.Log == nil {
		return zap.NewNop()
	}
	return s.Log
}

// RunningLegs returns the number of legs in flight for other hosts.
func (s *Server) RunningLegs() int { return int(s.runningLegs.Load()) }

// Run serves on a listener until ctx ends, and then closes all streams. The channel
// receives the error of the listener, or nil. To drain, wait until RunningLegs is 0
// before ending ctx.
func (s *Server) Run(ctx context.Context, listener net.Listener, options ...grpc.ServerOption) <-chan error {
	grpcServer := grpc.NewServer(append([]grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	}, options...)...)
	toucanpb.RegisterPeerServer(grpcServer, s)
	serveErr, done := make(chan error, 1), make(chan error, 1)
	go func() { serveErr <- grpcServer.Serve(listener) }()
	go func() {
		select {
		case err := <-serveErr:
			done <- err
		case <-ctx.Done():
			grpcServer.Stop()
			done <- <-serveErr
		}
	}()
	return done
}

// session is one stream of legs from another host.
type session struct {
	server  *Server
	results chan *toucanpb.LegResult
	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc // of legs in flight, by leg number
}

// Legs runs legs until the sender closes the stream and all results are sent.
func (s *Server) Legs(stream grpc.BidiStreamingServer[toucanpb.LegRequest, toucanpb.LegResult]) error {
	limit := s.MaxInFlight
	if limit <= 0 {
		limit = defaultMaxInFlight
	}
	// The buffer lets legs end while the stream is slow. Once it is full, a leg waits for
	// room, but only after Runner has returned, so it occupies no slot of a target then.
	sess := &session{server: s, results: make(chan *toucanpb.LegResult, limit), cancels: make(map[uint64]context.CancelFunc)}
	ctx, stop := context.WithCancel(stream.Context())
	defer stop()
	sendDone := make(chan error, 1)
	go func() {
		err := sess.sendResults(stream)
		if err != nil {
			stop()
		}
		sendDone <- err
	}()
	var legs sync.WaitGroup
	err := sess.receiveLegs(ctx, stream, limit, &legs)
	if err != nil {
		stop()
	}
	legs.Wait()
	close(sess.results)
	if sendErr := <-sendDone; err == nil {
		err = sendErr
	}
	return err
}

// sendResults sends results until the channel is closed. After an error it discards
// the remaining results and returns the error.
func (sess *session) sendResults(stream grpc.BidiStreamingServer[toucanpb.LegRequest, toucanpb.LegResult]) error {
	var sendErr error
	for result := range sess.results {
		if sendErr == nil {
			sendErr = stream.Send(result)
		}
	}
	return sendErr
}

// receiveLegs starts and cancels legs as requested. It returns nil when the other host
// has closed the stream.
func (sess *session) receiveLegs(ctx context.Context, stream grpc.BidiStreamingServer[toucanpb.LegRequest, toucanpb.LegResult], limit int, legs *sync.WaitGroup) error {
	inFlight := make(chan struct{}, limit)
	for {
		request, err := stream.Recv()
		if err != nil {
			return ignoreEOF(err)
		}
		leg := request.GetStart()
		if leg == nil {
			sess.cancelLeg(request.GetCancel())
			continue
		}
		select {
		case inFlight <- struct{}{}:
		default:
			legsRefused.Inc()
			sess.refuseLeg(ctx, leg)
			continue
		}
		timeout := maxLegTimeout
		if us := leg.GetTimeoutUs(); us > 0 && us < uint64(maxLegTimeout.Microseconds()) {
			timeout = time.Duration(us) * time.Microsecond
		}
		legCtx, cancel := context.WithTimeout(ctx, timeout)
		sess.mu.Lock()
		sess.cancels[leg.GetNumber()] = cancel
		sess.mu.Unlock()
		sess.server.runningLegs.Add(1)
		legs.Add(1)
		sess.server.workers.Go(func() {
			defer legs.Done()
			result := sess.server.runLeg(legCtx, leg)
			sess.cancelLeg(leg.GetNumber())
			cancel()
			sess.results <- result
			sess.server.runningLegs.Add(-1)
			<-inFlight
		})
	}
}

// refuseLeg queues the result for a leg beyond the limit. It waits for room in the
// queue until ctx ends.
func (sess *session) refuseLeg(ctx context.Context, leg *toucanpb.Leg) {
	result := &toucanpb.LegResult{
		Number: leg.GetNumber(), Shard: leg.GetShard(), Index: leg.GetIndex(), Replica: leg.GetReplica(),
		Outcome: toucanpb.Outcome_OUTCOME_NOTRUN, Code: toucanpb.Code_CODE_OVERLOAD, Detail: "too many legs in flight on the stream",
	}
	select {
	case sess.results <- result:
	case <-ctx.Done():
	}
}

// cancelLeg cancels the context of a leg; unknown numbers are ignored.
func (sess *session) cancelLeg(number uint64) {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	if cancel := sess.cancels[number]; cancel != nil {
		cancel()
		delete(sess.cancels, number)
	}
}

// runLeg runs one leg in a span that is a child of the sender's span.
func (s *Server) runLeg(ctx context.Context, leg *toucanpb.Leg) *toucanpb.LegResult {
	legsServed.Inc()
	if parent := leg.GetTraceparent(); parent != "" {
		ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{"traceparent": parent})
	}
	ctx, span := otel.Tracer("toucanpeer").Start(ctx, "leg", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	run := s.Runner.Serve
	if leg.GetReplica() == "" {
		run = s.Runner.Run
	}
	var result *toucanpb.LegResult
	if panicked := toucanpanic.Call(func() { result = run(ctx, leg) }); panicked != nil {
		fault := toucanfault.Unknown(toucanpb.Code_CODE_INTERNAL, panicked.Error())
		result = &toucanpb.LegResult{Outcome: fault.Outcome, Code: fault.Code, Detail: fault.Detail}
		s.log().Error("leg panicked", zap.String("request", leg.GetQueryId()), zap.Error(panicked), zap.ByteString("stack", panicked.Stack))
	}
	if result == nil {
		fault := toucanfault.Unknown(toucanpb.Code_CODE_INTERNAL, "no result for the leg")
		result = &toucanpb.LegResult{Outcome: fault.Outcome, Code: fault.Code, Detail: fault.Detail}
	}
	result.Number = leg.GetNumber()
	return result
}
