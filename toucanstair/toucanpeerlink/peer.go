package toucanpeerlink

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
)

// States of a call. Only sendLegs sets callWritten, and only from callQueued, so an
// abandoned call is never written to the stream.
const (
	callQueued int32 = iota
	callWritten
	callAbandoned
)

// call is a leg that waits for its result.
type call struct {
	state   atomic.Int32
	leg     *toucanpb.Leg
	result  chan *toucanpb.LegResult // capacity 1
	failure chan error               // capacity 1
}

// peer holds the connection and the stream of legs to one host. maintainStream reopens
// the stream with backoff. Each stream has one goroutine that receives and one that
// sends.
type peer struct {
	conn          *grpc.ClientConn
	log           *zap.Logger
	outgoing      chan *call
	cancellations chan uint64   // numbers of legs to cancel at the peer
	inFlight      chan struct{} // semaphore
	stop          context.CancelFunc
	done          chan struct{} // closed when maintainStream has ended

	lastLegNumber atomic.Uint64
	liveness      liveness
	mu            sync.Mutex
	connectErr    error            // why there is no stream; nil while there is one and during the first attempt
	calls         map[uint64]*call // by leg number
}

func newPeer(conn *grpc.ClientConn, maxInFlight int, log *zap.Logger) *peer {
	if log == nil {
		log = zap.NewNop()
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &peer{
		conn: conn, log: log, stop: stop, done: make(chan struct{}),
		outgoing:      make(chan *call, maxInFlight),
		cancellations: make(chan uint64, maxInFlight),
		inFlight:      make(chan struct{}, maxInFlight),
		calls:         make(map[uint64]*call),
	}
	p.liveness.initialize()
	go p.maintainStream(ctx)
	go p.monitorLiveness(ctx)
	return p
}

// close closes the connection and waits for the goroutines of the peer.
func (p *peer) close() {
	p.stop()
	p.conn.Close()
	<-p.done
	<-p.liveness.done
}

// do sends a leg and waits for its result, a failure or the end of ctx.
func (p *peer) do(ctx context.Context, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
	select {
	case p.inFlight <- struct{}{}:
	default:
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_OVERLOAD, "too many legs in flight to the peer")
	}
	defer func() { <-p.inFlight }()
	leg.Number = p.lastLegNumber.Add(1)
	c := &call{leg: leg, result: make(chan *toucanpb.LegResult, 1), failure: make(chan error, 1)}
	p.mu.Lock()
	if p.connectErr != nil {
		defer p.mu.Unlock()
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "peer not reached").Because(p.connectErr)
	}
	if p.liveness.unresponsive.Load() {
		defer p.mu.Unlock()
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "peer does not respond")
	}
	p.calls[leg.Number] = c
	p.mu.Unlock()
	defer p.removeCall(leg.Number)
	select {
	case p.outgoing <- c:
	case <-ctx.Done():
		return nil, contextError(ctx, toucanpb.Outcome_OUTCOME_NOTRUN)
	}
	select {
	case result := <-c.result:
		return result, nil
	case err := <-c.failure:
		return nil, err
	case <-ctx.Done():
	}
	if c.state.CompareAndSwap(callQueued, callAbandoned) {
		return nil, contextError(ctx, toucanpb.Outcome_OUTCOME_NOTRUN)
	}
	select {
	case p.cancellations <- leg.Number:
	default: // the leg's timeout ends it at the peer
	}
	return nil, contextError(ctx, toucanpb.Outcome_OUTCOME_UNKNOWN)
}

// contextError returns a timeout or cancellation error for a context that has ended.
func contextError(ctx context.Context, outcome toucanpb.Outcome) error {
	if ctx.Err() == context.Canceled {
		return &toucanfault.Error{Code: toucanpb.Code_CODE_CANCELLED, Outcome: outcome, Detail: "leg cancelled"}
	}
	return &toucanfault.Error{Code: toucanpb.Code_CODE_TIMEOUT, Outcome: outcome, Detail: "no result from the peer in time"}
}

func (p *peer) removeCall(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, number)
}

// maintainStream opens the stream, again after each failure, until ctx ends.
func (p *peer) maintainStream(ctx context.Context) {
	defer close(p.done)
	backoff := minBackoff
	for ctx.Err() == nil {
		openedAt := time.Now()
		err := p.runStream(ctx)
		streamsBroken.Inc()
		p.failStream(err)
		if time.Since(openedAt) > maxBackoff {
			backoff = minBackoff
		}
		p.log.Debug("stream to peer ended", zap.String("address", p.conn.Target()), zap.Error(err))
		timer := time.NewTimer(backoff)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (p *peer) setConnectError(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectErr = err
}

// failStream fails every call of a broken stream. New calls fail until a stream is open
// again.
func (p *peer) failStream(cause error) {
	p.mu.Lock()
	p.connectErr = cause
	calls := p.calls
	p.calls = make(map[uint64]*call)
	p.mu.Unlock()
	failCalls(calls, cause)
}

// failCalls fails calls, with outcome notrun if they were not written to the stream.
func failCalls(calls map[uint64]*call, cause error) {
	for _, c := range calls {
		fault := toucanfault.Unknown(toucanpb.Code_CODE_DOWN, "stream to the peer broken")
		if c.state.CompareAndSwap(callQueued, callAbandoned) {
			fault = toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "peer not reached")
		}
		c.failure <- fault.Because(cause)
	}
}

// runStream opens a stream and receives results until it breaks. The error is never nil.
func (p *peer) runStream(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	// Legs returns once the connection is established.
	stream, err := toucanpb.NewPeerClient(p.conn).Legs(ctx)
	if err != nil {
		return err
	}
	p.liveness.peerResponded()
	p.setConnectError(nil)
	sendDone := make(chan struct{})
	go func() {
		defer close(sendDone)
		p.sendLegs(ctx, stream)
	}()
	for {
		result, err := stream.Recv()
		if err != nil {
			stop()
			<-sendDone
			return err
		}
		p.liveness.peerResponded()
		p.mu.Lock()
		c := p.calls[result.GetNumber()]
		delete(p.calls, result.GetNumber())
		p.mu.Unlock()
		// A result without a call belongs to a leg that was cancelled or has failed.
		if c != nil {
			c.result <- result
		}
	}
}

// sendLegs writes legs and cancellations to the stream. It is the only sender; gRPC
// combines its messages into frames.
func (p *peer) sendLegs(ctx context.Context, stream grpc.BidiStreamingClient[toucanpb.LegRequest, toucanpb.LegResult]) {
	for {
		var request *toucanpb.LegRequest
		select {
		case <-ctx.Done():
			return
		case c := <-p.outgoing:
			if ctx.Err() != nil {
				return // the call stays queued, and failStream reports it as not run
			}
			if !c.state.CompareAndSwap(callQueued, callWritten) {
				continue
			}
			legsSent.Inc()
			p.liveness.legSent()
			request = &toucanpb.LegRequest{Body: &toucanpb.LegRequest_Start{Start: c.leg}}
		case number := <-p.cancellations:
			request = &toucanpb.LegRequest{Body: &toucanpb.LegRequest_Cancel{Cancel: number}}
		}
		// After an error the stream is broken and Recv reports why.
		if stream.Send(request) != nil {
			return
		}
	}
}
