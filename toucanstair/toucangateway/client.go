// Package toucangateway hands requests over many shards to a stronger host.
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

// takeTime is how long a host may take to say that it gathers a request; the
// way there and back takes about a millisecond.
const takeTime = 40 * time.Millisecond

// maxMessage bounds a message, in bytes.
const maxMessage = 8 << 20

// TraceparentKey is the key of a call's metadata that carries the sender's span.
const TraceparentKey = "traceparent"

// ErrNotTaken means that the host does not gather the request, and sent
// nothing for it. ErrConnecting means the same, for want of a connection.
var (
	ErrNotAccepted  error = fault("the host did not take the request")
	ErrNotConnected error = fault("there is no connection to the host yet")
)

type fault string

func (f fault) Error() string { return string(f) }

// Client hands requests to hosts. The zero value works.
type Client struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// Gather returns the response that the host at an address gathers.
// ErrNotTaken and ErrConnecting mean that it sent nothing; with any other
// failure it may have.
func (c *Client) Gather(ctx context.Context, address string, r *toucanpb.GatherRequest) (*toucanpb.GatherReply, error) {
	conn, err := c.conn(address)
	if err != nil {
		return nil, errors.Join(ErrNotAccepted, err)
	}
	if conn.GetState() != connectivity.Ready {
		conn.Connect()
		return nil, ErrNotConnected
	}
	ctx, cancel := context.WithCancel(traced(ctx))
	defer cancel()
	late := time.AfterFunc(takeTime, cancel)
	stream, err := toucanpb.NewGatewayClient(conn).Gather(ctx)
	if err == nil {
		err = stream.Send(r)
	}
	if err != nil {
		return nil, errors.Join(ErrNotAccepted, err)
	}
	first, err := stream.Recv()
	switch {
	case err != nil:
		return nil, errors.Join(ErrNotAccepted, err)
	case !first.GetTaken(), !late.Stop():
		return nil, ErrNotAccepted
	}
	// Without this message the host sends nothing, however late it reads the
	// first one.
	if err := stream.Send(&toucanpb.GatherRequest{Go: true}); err != nil {
		return nil, err
	}
	if err := stream.CloseSend(); err != nil {
		return nil, err
	}
	return stream.Recv()
}

// traced returns a context whose calls carry the span in ctx, if it is recorded.
func traced(ctx context.Context) context.Context {
	if !trace.SpanFromContext(ctx).IsRecording() {
		return ctx
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return metadata.AppendToOutgoingContext(ctx, TraceparentKey, carrier[TraceparentKey])
}

// Retain closes the connections to hosts that are not listed any more.
func (c *Client) Retain(listed []toucansource.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		if !slices.ContainsFunc(listed, func(p toucansource.Peer) bool { return p.Address == address }) {
			conn.Close()
			delete(c.conns, address)
		}
	}
}

func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(toucantransport.Dial),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)))
	if err != nil {
		return nil, err
	}
	if c.conns == nil {
		c.conns = make(map[string]*grpc.ClientConn)
	}
	c.conns[address] = conn
	return conn, nil
}
