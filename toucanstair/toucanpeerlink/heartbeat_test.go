package toucanpeerlink_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanpeer"
	"toucanstair.example/toucanstair/toucanpeerlink"
)

// echo replies to a heartbeat with the gossip it received.
type echo struct{ toucanpeer.Membership }

func (echo) Beat(_ context.Context, r *toucanpb.BeatRequest) (*toucanpb.BeatReply, error) {
	return &toucanpb.BeatReply{Acknowledged: true, Sender: r.GetSender(), Gossip: r.GetGossip()}, nil
}

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

// BenchmarkHeartbeat reports the cost of gRPC for one heartbeat: the CPU time of both
// ends together, and the bytes on the TCP stream beyond the two messages.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 4 << 10, 16 << 10, 64 << 10} {
		b.Run(fmt.Sprint("bytes=", size), func(b *testing.B) {
			listener, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
			require.NoError(b, err)
			ctx, stop := context.WithCancel(context.Background())
			done := (&toucanpeer.Server{Runner: &runner{}, Membership: echo{}}).Run(ctx, listener)
			var in, out atomic.Int64
			client := &toucanpeerlink.Client{DialOptions: []grpc.DialOption{grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", a)
				return countingConn{conn, &in, &out}, err
			})}}
			conn, err := client.Conn(listener.Addr().String())
			require.NoError(b, err)
			peer := toucanpb.NewPeerClient(conn)
			r := &toucanpb.BeatRequest{
				Sender: &toucanpb.Member{Id: "host-0001/0123456789abc", Name: "host-0001", Zone: "z00", Address: "10.200.1.100:7000"},
				Gossip: &toucanpb.Gossip{Served: []*toucanpb.Served{{Shards: make([]byte, size)}}},
			}
			_, err = peer.Beat(b.Context(), r)
			require.NoError(b, err)
			in.Store(0)
			out.Store(0)
			var before, after syscall.Rusage
			require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &before))
			for b.Loop() {
				if _, err := peer.Beat(b.Context(), r); err != nil {
					b.Fatal(err)
				}
			}
			require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &after))
			cpuNanos := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
			b.ReportMetric(float64(cpuNanos)/float64(b.N)/1e3, "cpu-us/op")
			b.ReportMetric(float64(in.Load()+out.Load())/float64(b.N)-2*float64(size), "overhead-B/op")
			client.Close()
			stop()
			require.NoError(b, <-done)
		})
	}
}
