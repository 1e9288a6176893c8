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

// States of a call. Only the writer moves a call to written, and only from
// queued, so an abandoned call is never written.
const (
	callQueued int32 = iota
	callWritten
	callAbandoned
)

type call struct {
	state  atomic.Int32
	leg    *toucanpb.Leg
	result chan *toucanpb.LegResult // capacity 1
	failed chan error               // capacity 1
}

// peer is the stream to one host. Its manager goroutine opens the stream
// again with backoff; a reader and a writer run for each stream.
type peer struct {
	conn   *grpc.ClientConn
	log    *zap.Logger
	out    chan *call
	cancel chan uint64
	room   chan struct{}
	stop   context.CancelFunc
	ended  chan struct{}

	number  atomic.Uint64
	silence silence
	mu      sync.Mutex
	down    error // why the last attempt to connect failed; nil when none did
	calls   map[uint64]*call
}

func newPeer(conn *grpc.ClientConn, limit int, log *zap.Logger) *peer {
	if log == nil {
		log = zap.NewNop()
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &peer{
		conn: conn, log: log, stop: stop, ended: make(chan struct{}),
		out:    make(chan *call, limit),
		cancel: make(chan uint64, limit),
		room:   make(chan struct{}, limit),
		calls:  make(map[uint64]*call),
	}
	p.silence.start()
	go p.manage(ctx)
	go p.watch(ctx)
	return p
}

func (p *peer) close() {
	p.stop()
	p.conn.Close()
	<-p.ended
	<-p.silence.ended
}

func (p *peer) do(ctx context.Context, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
	select {
	case p.room <- struct{}{}:
	default:
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_OVERLOAD, "too many legs in flight to the peer")
	}
	defer func() { <-p.room }()
	leg.Number = p.number.Add(1)
	c := &call{leg: leg, result: make(chan *toucanpb.LegResult, 1), failed: make(chan error, 1)}
	p.mu.Lock()
	if p.down != nil {
		defer p.mu.Unlock()
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "peer not reached").Because(p.down)
	}
	if p.silence.now.Load() {
		defer p.mu.Unlock()
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "peer does not respond")
	}
	p.calls[leg.Number] = c
	p.mu.Unlock()
	defer p.forget(leg.Number)
	select {
	case p.out <- c:
	case <-ctx.Done():
		return nil, expired(ctx, toucanpb.Outcome_OUTCOME_NOTRUN)
	}
	select {
	case r := <-c.result:
		return r, nil
	case err := <-c.failed:
		return nil, err
	case <-ctx.Done():
	}
	if c.state.CompareAndSwap(callQueued, callAbandoned) {
		return nil, expired(ctx, toucanpb.Outcome_OUTCOME_NOTRUN)
	}
	select {
	case p.cancel <- leg.Number:
	default: // the peer's own deadline ends the leg
	}
	return nil, expired(ctx, toucanpb.Outcome_OUTCOME_UNKNOWN)
}

func expired(ctx context.Context, o toucanpb.Outcome) error {
	if ctx.Err() == context.Canceled {
		return &toucanfault.Error{Code: toucanpb.Code_CODE_CANCELLED, Outcome: o, Detail: "leg cancelled"}
	}
	return &toucanfault.Error{Code: toucanpb.Code_CODE_TIMEOUT, Outcome: o, Detail: "no result from the peer in time"}
}

func (p *peer) forget(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, number)
}

// manage keeps a stream open until ctx ends.
func (p *peer) manage(ctx context.Context) {
	defer close(p.ended)
	wait := backoffBase
	for ctx.Err() == nil {
		opened := time.Now()
		err := p.stream(ctx)
		broken.Inc()
		p.fail(err)
		if time.Since(opened) > backoffMost {
			wait = backoffBase
		}
		p.log.Debug("stream to peer ended", zap.String("address", p.conn.Target()), zap.Error(err))
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		wait = min(2*wait, backoffMost)
	}
}

func (p *peer) setDown(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = err
}

// fail ends every call of a broken stream and refuses new ones until the peer
// is connected again.
func (p *peer) fail(cause error) {
	p.mu.Lock()
	p.down = cause
	calls := p.calls
	p.calls = make(map[uint64]*call)
	p.mu.Unlock()
	end(calls, cause)
}

func end(calls map[uint64]*call, cause error) {
	for _, c := range calls {
		f := toucanfault.Unknown(toucanpb.Code_CODE_DOWN, "stream to the peer broken")
		if c.state.CompareAndSwap(callQueued, callAbandoned) {
			f = toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "peer not reached")
		}
		c.failed <- f.Because(cause)
	}
}

// stream opens one stream and runs it to its end; the error is never nil.
func (p *peer) stream(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	// Legs returns when the peer has answered the connection's handshake.
	s, err := toucanpb.NewPeerClient(p.conn).Legs(ctx)
	if err != nil {
		return err
	}
	p.silence.heard()
	p.setDown(nil)
	written := make(chan struct{})
	go func() {
		defer close(written)
		p.write(ctx, s)
	}()
	for {
		r, err := s.Recv()
		if err != nil {
			stop()
			<-written
			return err
		}
		p.silence.heard()
		p.mu.Lock()
		c := p.calls[r.GetNumber()]
		delete(p.calls, r.GetNumber())
		p.mu.Unlock()
		// A result without a call belongs to a leg that was given up.
		if c != nil {
			c.result <- r
		}
	}
}

// write is the only sender on a stream; gRPC batches its messages into frames.
func (p *peer) write(ctx context.Context, s grpc.BidiStreamingClient[toucanpb.LegRequest, toucanpb.LegResult]) {
	for {
		var m *toucanpb.LegRequest
		select {
		case <-ctx.Done():
			return
		case c := <-p.out:
			if ctx.Err() != nil {
				return // the call stays queued, and fail reports it as not run
			}
			if !c.state.CompareAndSwap(callQueued, callWritten) {
				continue
			}
			sentLegs.Inc()
			p.silence.ask()
			m = &toucanpb.LegRequest{Body: &toucanpb.LegRequest_Start{Start: c.leg}}
		case n := <-p.cancel:
			m = &toucanpb.LegRequest{Body: &toucanpb.LegRequest_Cancel{Cancel: n}}
		}
		// After an error the stream is broken and Recv reports why.
		if s.Send(m) != nil {
			return
		}
	}
}
