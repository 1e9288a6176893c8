// Package toucanguard holds callers to the operators' limits on the size and
// the time of a request's head and on idle connections.
package toucanguard

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"toucanstair.example/toucanstair/toucanrules"
)

// Defaults while no limits are known, as on a host that has just started.
const (
	defaultHead = 10 * time.Second
	defaultIdle = 120 * time.Second
)

// idleSpare is how much longer than the limit a connection may be idle, so that
// none is closed while a request of a caller within the limit is on its way.
const idleSpare = 2 * time.Second

// writeTime bounds the writing of the response to a caller that is too slow.
const writeTime = 100 * time.Millisecond

const tooSlow = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

var (
	large = metrics.NewCounter(`toucan_guard_refused_total{reason="head too large"}`)
	slow  = metrics.NewCounter(`toucan_guard_refused_total{reason="head too slow"}`)
	idle  = metrics.NewCounter("toucan_guard_idle_closed_total")
)

// Guard watches the connections of one server. Its fields are set before use.
type Guard struct {
	Limits func() toucanrules.Limits // in effect; zero values are unknown
	Log    *zap.Logger
}

// conn is a connection with the time limit of what it is at.
type conn struct {
	net.Conn
	guard *Guard

	mu    sync.Mutex
	timer *time.Timer
	phase phase
	since time.Time // start of the phase
}

type phase int

const (
	resting phase = iota // between requests
	reading              // the head of a request is on its way
	serving              // a handler runs, or the connection has ended
)

type listener struct {
	net.Listener
	guard *Guard
}

// WrapListener returns a listener whose connections are watched. The server on it
// needs State and Handler.
func (g *Guard) WrapListener(l net.Listener) net.Listener { return listener{l, g} }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w := &conn{Conn: c, guard: l.guard, since: time.Now()}
	w.timer = time.AfterFunc(l.guard.idle(), w.expire)
	return w, nil
}

type key struct{}

// ConnContext returns a context with a connection of Listener, and the connection
// itself. It is meant for http.Server.ConnContext.
func (g *Guard) ConnContext(ctx context.Context, c net.Conn) (context.Context, net.Conn) {
	w, ok := c.(*conn)
	if !ok {
		return ctx, c
	}
	return context.WithValue(ctx, key{}, w), w.Conn
}

// ConnState follows the state of a connection. It is meant for
// http.Server.ConnState.
func (g *Guard) ConnState(c net.Conn, s http.ConnState) {
	w, ok := c.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		w.set(resting, g.idle())
	case http.StateClosed, http.StateHijacked:
		w.set(serving, 0)
	}
}

// Read notes the first byte of a request.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		if c.phase == resting {
			c.phase = reading
			c.timer.Reset(c.guard.head())
		}
		c.mu.Unlock()
	}
	return n, err
}

// Handler serves requests whose heads keep the limits and refuses others with
// status 431; those have not run.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(key{}).(*conn); ok {
			c.set(serving, 0)
		}
		if size, most := headSize(r), g.Limits().MaxHeaderBytes; most > 0 && size > most {
			large.Inc()
			g.Log.Info("head of a request too large", zap.String("caller", r.RemoteAddr), zap.Int("bytes", size), zap.Int("limit", most))
			w.Header().Set("Connection", "close")
			http.Error(w, "the head of the request is too large", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// headSize returns the bytes of a request's head as they were sent, but for
// white space that may be left out.
func headSize(r *http.Request) int {
	const line = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + line + len("Host") + len(r.Host) + line
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + line
		}
	}
	return n
}

func (g *Guard) head() time.Duration {
	if d := g.Limits().HeaderTimeout; d > 0 {
		return d
	}
	return defaultHead
}

func (g *Guard) idle() time.Duration {
	if d := g.Limits().IdleTimeout; d > 0 {
		return d + idleSpare
	}
	return defaultIdle
}

// set begins a phase that lasts at most d; 0 means without a limit.
func (c *conn) set(p phase, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = p, time.Now()
	if d == 0 {
		c.timer.Stop()
		return
	}
	c.timer.Reset(d)
}

// expire closes a connection whose limit has passed, unless the caller has gone
// on in the same moment.
func (c *conn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case resting:
		// The operators may have raised the limit meanwhile.
		if left := c.guard.idle() - time.Since(c.since); left > 0 {
			c.timer.Reset(left)
			return
		}
		idle.Inc()
	case reading:
		slow.Inc()
		c.guard.Log.Info("head of a request too slow", zap.String("caller", c.RemoteAddr().String()))
		_ = c.SetWriteDeadline(time.Now().Add(writeTime)) // the connection is closed either way
		_, _ = c.Write([]byte(tooSlow))
	case serving:
		return
	}
	_ = c.Close() // the server notes the end
}
