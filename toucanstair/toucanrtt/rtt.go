// Package toucanrtt measures the round-trip time of callers' connections.
package toucanrtt

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// RTT is the round-trip time of one caller's connection, measured when it was
// accepted. The zero value stands for an unknown time.
type RTT struct {
	nanos atomic.Int64 // round-trip time in nanoseconds; 0: unknown
	used  atomic.Bool  // a request has begun
}

type contextKey struct{}

// WithConn returns a context with the round-trip time of a connection. It is meant
// for http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	r := &RTT{}
	r.nanos.Store(int64(kernelRTT(c)))
	return context.WithValue(ctx, contextKey{}, r)
}

// FromContext returns the round-trip time in a context, or nil.
func FromContext(ctx context.Context) *RTT {
	r, _ := ctx.Value(contextKey{}).(*RTT)
	return r
}

// BeginRequest returns the network time of a request: one round trip, and a second
// one for the first request on a connection, since the caller's clock starts when
// it opens the connection. It returns 0 if the time is unknown.
func (r *RTT) BeginRequest() time.Duration {
	if r == nil {
		return 0
	}
	rtt := time.Duration(r.nanos.Load())
	if r.used.Swap(true) {
		return rtt
	}
	return 2 * rtt
}

// kernelRTT returns the kernel's estimate of a TCP connection's round-trip time,
// or 0 if there is none.
func kernelRTT(c net.Conn) time.Duration {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var rtt time.Duration
	err = raw.Control(func(fd uintptr) {
		if info, e := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); e == nil {
			rtt = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	if err != nil {
		return 0
	}
	return rtt
}
