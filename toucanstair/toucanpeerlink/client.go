// Package toucanpeerlink sends legs to the other hosts over one long-lived
// gRPC stream for each.
package toucanpeerlink

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/propagation"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
)

const (
	defaultInFlight = 4096
	// KeepaliveTime is the shortest interval that grpc-go allows a client.
	KeepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	backoffBase      = 50 * time.Millisecond
	backoffMost      = time.Second
	connectTimeout   = time.Second
	resultLimit      = 8 << 20 // bytes of one message
)

var (
	sentLegs = metrics.NewCounter("toucan_link_legs_total")
	broken   = metrics.NewCounter("toucan_link_streams_broken_total")
)

// Client holds the connections to other hosts. The zero value works. Fields
// must not change after first use.
type Client struct {
	MaxInFlight int          // most legs in flight to one peer, default 4096
	SourceAddr  *net.TCPAddr // source address of connections; nil leaves it to the system
	Log         *zap.Logger
	DialOptions []grpc.DialOption // added to the defaults

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

// Conn returns the connection to a peer, which Link owns.
func (l *Client) Conn(address string) (*grpc.ClientConn, error) {
	p, err := l.peer(address)
	if err != nil {
		return nil, err
	}
	return p.conn, nil
}

// Do runs a leg at a peer and takes over leg, whose number, timeout and trace
// parent it sets. A failure of the link is a *toucanfault.Error: with outcome
// notrun if the leg was never written to the stream, else unknown. What the
// peer says, including refusals, is in the result.
func (l *Client) Do(ctx context.Context, address string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
	p, err := l.peer(address)
	if err != nil {
		return nil, err
	}
	if d, ok := ctx.Deadline(); ok {
		left := time.Until(d)
		if left <= 0 {
			return nil, toucanfault.NotRun(toucanpb.Code_CODE_TIMEOUT, "deadline passed before the leg was sent")
		}
		leg.TimeoutUs = uint64(max(1, left.Microseconds()))
	}
	var carrier traceparent
	propagation.TraceContext{}.Inject(ctx, &carrier)
	if carrier != "" {
		leg.Traceparent = string(carrier)
	}
	return p.do(ctx, leg)
}

// traceparent is a carrier of the one header that a leg has room for.
type traceparent string

// Get returns the trace parent.
func (t *traceparent) Get(string) string { return string(*t) }

// Set keeps the trace parent and ignores other keys.
func (t *traceparent) Set(key, v string) {
	if key == "traceparent" {
		*t = traceparent(v)
	}
}

// Keys returns the one key.
func (t *traceparent) Keys() []string { return []string{"traceparent"} }

func (l *Client) peer(address string) (*peer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_STOPPING, "link is closed")
	}
	if p := l.peers[address]; p != nil {
		return p, nil
	}
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: KeepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: backoffBase, Multiplier: 1.6, Jitter: 0.2, MaxDelay: backoffMost},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(resultLimit)),
	}, l.DialOptions...)
	if l.SourceAddr != nil {
		dialer := &net.Dialer{LocalAddr: l.SourceAddr}
		options = append(options, grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}))
	}
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "peer "+address).Because(err)
	}
	limit := l.MaxInFlight
	if limit <= 0 {
		limit = defaultInFlight
	}
	p := newPeer(conn, limit, l.Log)
	if l.peers == nil {
		l.peers = make(map[string]*peer)
	}
	l.peers[address] = p
	return p, nil
}

// Retain closes the links to addresses for which keep returns false.
func (l *Client) Retain(keep func(address string) bool) {
	l.mu.Lock()
	var gone []*peer
	for a, p := range l.peers {
		if !keep(a) {
			gone = append(gone, p)
			delete(l.peers, a)
		}
	}
	l.mu.Unlock()
	for _, p := range gone {
		p.close()
	}
}

// Close ends all streams and connections. Legs in flight fail.
func (l *Client) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Retain(func(string) bool { return false })
}
