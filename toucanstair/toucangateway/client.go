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

// maxMessageBytes and maxHeaderBytes bound a received message and its header.
const (
	maxMessageBytes = 8 << 20
	maxHeaderBytes  = 64 << 10
)

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
	conns map[string]*peerConn // by address
}

// peerConn is a connection to a host and the number of calls on it, guarded by
// Client.mu.
type peerConn struct {
	*grpc.ClientConn
	calls   int
	removed bool // not in Client.conns any more; closed when the last call ends
}

// Gather delegates a request to the host at an address and returns the response that
// that host gathers. ErrNotAccepted and ErrNotConnected mean that the host has sent
// nothing to targets; after any other error it may have.
func (c *Client) Gather(ctx context.Context, address string, r *toucanpb.GatherRequest) (*toucanpb.GatherReply, error) {
	conn, end, err := c.beginCall(address)
	if err != nil {
		return nil, errors.Join(ErrNotAccepted, err)
	}
	defer end()
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

// Retain closes the connections to hosts that are not among the peers. A connection with
// calls is closed when they have ended: a host that is no longer listed may only have
// been slow to renew its entry, and still gathers its requests.
func (c *Client) Retain(peers []toucansource.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		if slices.ContainsFunc(peers, func(p toucansource.Peer) bool { return p.Address == address }) {
			continue
		}
		delete(c.conns, address)
		conn.removed = true
		conn.closeIfUnused()
	}
}

// closeIfUnused closes a removed connection that has no calls.
func (c *peerConn) closeIfUnused() {
	if c.removed && c.calls == 0 {
		_ = c.Close() // it fails only if the connection is closed already
	}
}

// beginCall returns the connection to an address, which it creates if there is none, and
// a function that ends the call.
func (c *Client) beginCall(address string) (*grpc.ClientConn, func(), error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[address]
	if conn == nil {
		created, err := grpc.NewClient("passthrough:///"+address,
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(toucantransport.Dial), grpc.WithMaxHeaderListSize(maxHeaderBytes),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
		if err != nil {
			return nil, nil, err
		}
		if c.conns == nil {
			c.conns = make(map[string]*peerConn)
		}
		conn = &peerConn{ClientConn: created}
		c.conns[address] = conn
	}
	conn.calls++
	return conn.ClientConn, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		conn.calls--
		conn.closeIfUnused()
	}, nil
}
