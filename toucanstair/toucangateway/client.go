// Package toucangateway is the gRPC client with which a host delegates the gathering of
// a fan-out to a host with more CPU. It also sends heartbeats to other hosts.
package toucangateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucansource"
	"toucanstair.example/toucanstair/toucantransport"
)

// acceptTimeout bounds the wait for a host to accept a request. The round-trip time is
// about a millisecond.
const acceptTimeout = 40 * time.Millisecond

// maxMessageBytes bounds a received message.
const maxMessageBytes = 8 << 20

// TraceparentKey is the gRPC metadata key that carries the sender's trace context.
const TraceparentKey = "traceparent"

// ErrNotAccepted means that the host does not gather the request and has sent nothing to
// targets. ErrNotConnected means the same, because there is no connection to the host.
var (
	ErrNotAccepted  error = gatewayError("the host did not accept the request")
	ErrNotConnected error = gatewayError("no connection to the host yet")
)

// gatewayError is the type of the errors above.
type gatewayError string

func (e gatewayError) Error() string { return string(e) }

// Client holds the connections to other hosts. The zero value is ready to use.
type Client struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn // by address
}

// Gather delegates a request to the host at an address and returns the response that
// that host gathers. ErrNotAccepted and ErrNotConnected mean that the host has sent
// nothing to targets; after any other error it may have.
func (c *Client) Gather(ctx context.Context, address string, r *toucanpb.GatherRequest) (*toucanpb.GatherReply, error) {
	conn, err := c.conn(address)
	if err != nil {
		return nil, errors.Join(ErrNotAccepted, err)
	}
	if conn.GetState() != connectivity.Ready {
		conn.Connect()
		return nil, ErrNotConnected
	}
	ctx, cancel := context.WithCancel(withTraceparent(ctx))
	defer cancel()
	acceptTimer := time.AfterFunc(acceptTimeout, cancel)
	stream, err := toucanpb.NewGatewayClient(conn).Gather(ctx)
	if err == nil {
		err = stream.Send(r)
	}
	if err != nil {
		return nil, errors.Join(ErrNotAccepted, err)
	}
	acceptance, err := stream.Recv()
	switch {
	case err != nil:
		return nil, errors.Join(ErrNotAccepted, err)
	case !acceptance.GetTaken(), !acceptTimer.Stop():
		return nil, ErrNotAccepted
	}
	// The host sends nothing to targets before this confirmation, even if it accepts the
	// request only after acceptTimeout.
	if err := stream.Send(&toucanpb.GatherRequest{Go: true}); err != nil {
		return nil, err
	}
	if err := stream.CloseSend(); err != nil {
		return nil, err
	}
	return stream.Recv()
}

// withTraceparent adds the span in ctx, if it is recorded, to the metadata of calls.
func withTraceparent(ctx context.Context) context.Context {
	if !trace.SpanFromContext(ctx).IsRecording() {
		return ctx
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return metadata.AppendToOutgoingContext(ctx, TraceparentKey, carrier[TraceparentKey])
}

// Retain closes the connections to hosts that are not among the peers.
func (c *Client) Retain(peers []toucansource.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		if !slices.ContainsFunc(peers, func(p toucansource.Peer) bool { return p.Address == address }) {
			conn.Close()
			delete(c.conns, address)
		}
	}
}

// conn returns the connection to an address, which it creates if there is none.
func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(toucantransport.Dial),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return nil, err
	}
	if c.conns == nil {
		c.conns = make(map[string]*grpc.ClientConn)
	}
	c.conns[address] = conn
	return conn, nil
}
