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

// echo answers a heartbeat with gossip of the same size.
type echo struct{ toucanpeer.Membership }

func (echo) Beat(_ context.Context, r *toucanpb.BeatRequest) (*toucanpb.BeatReply, error) {
	return &toucanpb.BeatReply{Acknowledged: true, Sender: r.GetSender(), Gossip: r.GetGossip()}, nil
}

type countedConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

// BenchmarkHeartbeat reports what gRPC costs both ends of one heartbeat: the
// processor time, and the bytes on the TCP stream beyond the two messages.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 4 << 10, 16 << 10, 64 << 10} {
		b.Run(fmt.Sprint("bytes=", size), func(b *testing.B) {
			l, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
			require.NoError(b, err)
			ctx, stop := context.WithCancel(context.Background())
			end := (&toucanpeer.Server{Runner: &runner{}, Membership: echo{}}).Run(ctx, l)
			var in, out atomic.Int64
			link := &toucanpeerlink.Client{DialOptions: []grpc.DialOption{grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", a)
				return countedConn{c, &in, &out}, err
			})}}
			c, err := link.Conn(l.Addr().String())
			require.NoError(b, err)
			peer := toucanpb.NewPeerClient(c)
			r := &toucanpb.BeatRequest{
				Sender: &toucanpb.Member{Id: "host-0001/0123456789abc", Name: "host-0001", Zone: "z00", Address: "10.200.1.100:7000"},
				Gossip: &toucanpb.Gossip{Served: []*toucanpb.Served{{Shards: make([]byte, size)}}},
			}
			_, err = peer.Beat(b.Context(), r)
			require.NoError(b, err)
			in.Store(0)
			out.Store(0)
			var u, v syscall.Rusage
			require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
			for b.Loop() {
				if _, err := peer.Beat(b.Context(), r); err != nil {
					b.Fatal(err)
				}
			}
			require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &v))
			used := v.Utime.Nano() + v.Stime.Nano() - u.Utime.Nano() - u.Stime.Nano()
			b.ReportMetric(float64(used)/float64(b.N)/1e3, "cpu-us/op")
			b.ReportMetric(float64(in.Load()+out.Load())/float64(b.N)-2*float64(size), "overhead-B/op")
			link.Close()
			stop()
			require.NoError(b, <-end)
		})
	}
}
