// Package toucanpeerlink is the gRPC client for other hosts. It sends legs over one
// long-lived stream to each host.
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
	defaultMaxInFlight = 4096
	// KeepaliveTime is the interval between gRPC pings, the shortest that grpc-go
	// allows a client.
	KeepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = time.Second
	connectTimeout   = time.Second
	maxMessageBytes  = 8 << 20
)

var (
	legsSent = metrics.NewCounter("toucan_link_legs_total")
	// streamsBroken also counts failed attempts to open a stream.
	streamsBroken = metrics.NewCounter("toucan_link_streams_broken_total")
)

// Client holds one connection and one stream of legs to each peer. The zero value is
// ready to use. Exported fields must not change after the first use.
type Client struct {
	MaxInFlight int               // limit for the legs in flight to one peer, default 4096
	SourceAddr  *net.TCPAddr      // source address of connections; nil lets the system choose
	Log         *zap.Logger       // may be nil
	DialOptions []grpc.DialOption // added to the defaults

	mu     sync.Mutex
	peers  map[string]*peer // by address
	closed bool
}

// Conn returns the connection to a peer, for calls other than legs. The Client owns it.
func (c *Client) Conn(address string) (*grpc.ClientConn, error) {
	p, err := c.peer(address)
	if err != nil {
		return nil, err
	}
	return p.conn, nil
}

// Do sends a leg to a peer and returns its result, including refusals. It sets the
// number, timeout and traceparent of leg, which the caller must not use afterwards.
// Errors are of type *toucanfault.Error and mean that there is no result from the peer:
// their outcome is notrun if the leg was never written to the stream, else unknown.
func (c *Client) Do(ctx context.Context, address string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
	p, err := c.peer(address)
	if err != nil {
		return nil, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return nil, toucanfault.NotRun(toucanpb.Code_CODE_TIMEOUT, "deadline passed before the leg was sent")
		}
		leg.TimeoutUs = uint64(max(1, remaining.Microseconds()))
	}
	var carrier traceparentCarrier
	propagation.TraceContext{}.Inject(ctx, &carrier)
	if carrier != "" {
		leg.Traceparent = string(carrier)
	}
	return p.do(ctx, leg)
}

// traceparentCarrier is a propagation.TextMapCarrier for the traceparent header, the
// only one that a leg carries.
type traceparentCarrier string

// Get returns the traceparent for any key.
func (t *traceparentCarrier) Get(string) string { return string(*t) }

// Set stores the traceparent and ignores other keys.
func (t *traceparentCarrier) Set(key, v string) {
	if key == "traceparent" {
		*t = traceparentCarrier(v)
	}
}

// Keys returns the key "traceparent".
func (t *traceparentCarrier) Keys() []string { return []string{"traceparent"} }

// peer returns the peer at an address and connects to a new one.
func (c *Client) peer(address string) (*peer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_STOPPING, "peer client is closed")
	}
	if p := c.peers[address]; p != nil {
		return p, nil
	}
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: KeepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minBackoff, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	}, c.DialOptions...)
	if c.SourceAddr != nil {
		dialer := &net.Dialer{LocalAddr: c.SourceAddr}
		options = append(options, grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}))
	}
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "invalid peer address "+address).Because(err)
	}
	maxInFlight := c.MaxInFlight
	if maxInFlight <= 0 {
		maxInFlight = defaultMaxInFlight
	}
	p := newPeer(conn, maxInFlight, c.Log)
	if c.peers == nil {
		c.peers = make(map[string]*peer)
	}
	c.peers[address] = p
	return p, nil
}

// Retain closes the connections to addresses for which keep returns false.
func (c *Client) Retain(keep func(address string) bool) {
	c.mu.Lock()
	var removed []*peer
	for address, p := range c.peers {
		if !keep(address) {
			removed = append(removed, p)
			delete(c.peers, address)
		}
	}
	c.mu.Unlock()
	for _, p := range removed {
		p.close()
	}
}

// Close closes all streams and connections. Legs in flight fail, and so do later calls.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.Retain(func(string) bool { return false })
}
