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
	// silentAfter is how long legs may wait without any result before the peer
	// is probed; a leg to a slow target alone is not a sign of a lost peer.
	silentAfter = 200 * time.Millisecond
	// probeTimeout is about 25 round trips between regions of 12 ms.
	probeTimeout = 300 * time.Millisecond
	probePause   = 100 * time.Millisecond
)

// silence tells a peer that is cut off or frozen from one whose targets are
// slow. gRPC's keepalive takes at least 12 s for this.
type silence struct {
	began time.Time
	asked atomic.Int64 // since began; 0 when no leg waits since the last sign of life
	now   atomic.Bool
	ended chan struct{}
}

func (s *silence) start() { s.began, s.ended = time.Now(), make(chan struct{}) }

func (s *silence) ask() { s.asked.CompareAndSwap(0, max(1, int64(time.Since(s.began)))) }

func (s *silence) heard() {
	s.asked.Store(0)
	s.now.Store(false)
}

// due reports whether a probe is needed.
func (s *silence) due() bool {
	asked := time.Duration(s.asked.Load())
	return s.now.Load() || asked > 0 && time.Since(s.began)-asked >= silentAfter
}

// watch probes a peer from which nothing comes while legs wait. A silent one
// gets no new legs, and its idempotent legs fail, so that they can be retried
// elsewhere; a non-idempotent leg waits, because its result may still come.
func (p *peer) watch(ctx context.Context) {
	defer close(p.silence.ended)
	ticker := time.NewTicker(probePause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !p.silence.due() {
			continue
		}
		err := p.probe(ctx)
		if err == nil {
			p.silence.heard()
			if p.waiting() {
				p.silence.ask()
			}
			continue
		}
		p.silence.now.Store(true)
		end(p.abandon(), err)
	}
}

// probe makes a call that costs the peer nothing; any reply is a sign of life.
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

func (p *peer) waiting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls) > 0
}

// abandon takes the idempotent calls out.
func (p *peer) abandon() map[uint64]*call {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[uint64]*call)
	for n, c := range p.calls {
		if !c.leg.GetOnce() {
			out[n] = c
			delete(p.calls, n)
		}
	}
	return out
}
