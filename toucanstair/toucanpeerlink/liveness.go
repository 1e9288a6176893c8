package toucanpeerlink

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
)

const (
	// probeAfter is how long after sending a leg the peer is probed if no result of any
	// leg has arrived. The peer may be responsive, and only the targets slow.
	probeAfter = 200 * time.Millisecond
	// probeTimeout is 25 round-trip times between regions, which are about 12 ms.
	probeTimeout  = 300 * time.Millisecond
	probeInterval = 100 * time.Millisecond
)

// liveness detects a peer that is partitioned or hangs, as opposed to one whose targets
// are slow. gRPC's keepalive needs at least 12 s for this.
type liveness struct {
	start        time.Time
	waitingSince atomic.Int64 // nanoseconds after start; 0 if no leg was sent since the peer last responded
	unresponsive atomic.Bool
	done         chan struct{} // closed when monitorLiveness has ended
}

func (l *liveness) initialize() { l.start, l.done = time.Now(), make(chan struct{}) }

// legSent records that a leg waits for the peer, unless one already does.
func (l *liveness) legSent() { l.waitingSince.CompareAndSwap(0, max(1, int64(time.Since(l.start)))) }

// peerResponded records that the peer has responded.
func (l *liveness) peerResponded() {
	l.waitingSince.Store(0)
	l.unresponsive.Store(false)
}

// needsProbe reports whether the peer is unresponsive or has not responded for
// probeAfter since a leg was sent.
func (l *liveness) needsProbe() bool {
	since := time.Duration(l.waitingSince.Load())
	return l.unresponsive.Load() || since > 0 && time.Since(l.start)-since >= probeAfter
}

// monitorLiveness probes the peer when no result arrives after a leg was sent. While the
// peer is unresponsive, it gets no new legs, and its idempotent legs fail, so that they
// can be retried elsewhere. A non-idempotent leg keeps waiting, because its result may
// still arrive.
func (p *peer) monitorLiveness(ctx context.Context) {
	defer close(p.liveness.done)
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !p.liveness.needsProbe() {
			continue
		}
		err := p.probe(ctx)
		if err == nil {
			p.liveness.peerResponded()
			if p.hasCalls() {
				p.liveness.legSent()
			}
			continue
		}
		p.liveness.unresponsive.Store(true)
		failCalls(p.removeIdempotentCalls(), err)
	}
}

// probe makes a cheap call. Any reply, also an error of the peer, shows that the peer is
// responsive.
func (p *peer) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := toucanpb.NewPeerClient(p.conn).Fetch(ctx, &toucanpb.FetchRequest{})
	switch status.Code(err) {
	case codes.DeadlineExceeded, codes.Unavailable, codes.Canceled:
		return toucanfault.Unknown(toucanpb.Code_CODE_DOWN, "peer does not respond").Because(err)
	}
	return nil
}

func (p *peer) hasCalls() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls) > 0
}

// removeIdempotentCalls removes the idempotent calls from p.calls and returns them.
func (p *peer) removeIdempotentCalls() map[uint64]*call {
	p.mu.Lock()
	defer p.mu.Unlock()
	removed := make(map[uint64]*call)
	for number, c := range p.calls {
		if !c.leg.GetOnce() {
			removed[number] = c
			delete(p.calls, number)
		}
	}
	return removed
}
