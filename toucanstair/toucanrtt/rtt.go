// Package toucanrtt knows how long the way to a caller and back takes.
package toucanrtt

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// RTT is the way to the caller of one connection. The zero value is that of
// an unknown caller.
type RTT struct {
	there atomic.Int64 // nanoseconds there and back
	used  atomic.Bool
}

type key struct{}

// WithConn returns a context with the way to the other side of a connection. It is
// meant for http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	w := &RTT{}
	w.there.Store(int64(measure(c)))
	return context.WithValue(ctx, key{}, w)
}

// FromContext returns the way in a context, or nil.
func FromContext(ctx context.Context) *RTT {
	w, _ := ctx.Value(key{}).(*RTT)
	return w
}

// BeginRequest returns the time that a request spends on the way: there and back,
// and once more for the first request, since the caller's time began when it
// opened the connection.
func (w *RTT) BeginRequest() time.Duration {
	if w == nil {
		return 0
	}
	there := time.Duration(w.there.Load())
	if w.used.Swap(true) {
		return there
	}
	return 2 * there
}

// measure returns the time to the other side of a TCP connection and back, as
// the system knows it; 0 means that it does not.
func measure(c net.Conn) time.Duration {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0
	}
	var d time.Duration
	err = raw.Control(func(fd uintptr) {
		if info, e := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); e == nil {
			d = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	if err != nil {
		return 0
	}
	return d
}
