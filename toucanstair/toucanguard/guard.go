// Package toucanguard enforces the operators' limits on the size and the reading
// time of request headers and on idle connections.
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
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 120 * time.Second
)

// idleMargin is added to the idle timeout, so that no connection is closed while a
// request that the caller sent within the limit is in transit.
const idleMargin = 2 * time.Second

// refusalWriteTimeout limits writing the 408 response to a caller that is too slow.
const refusalWriteTimeout = 100 * time.Millisecond

// refusalReadTimeout limits reading the body of a request that is refused with status 431.
const refusalReadTimeout = 2 * time.Second

const timeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

var (
	largeHeadersRefused = metrics.NewCounter(`toucan_guard_refused_total{reason="head too large"}`)
	slowHeadersRefused  = metrics.NewCounter(`toucan_guard_refused_total{reason="head too slow"}`)
	idleConnsClosed     = metrics.NewCounter("toucan_guard_idle_closed_total")
)

// Guard enforces the limits on the connections of one server. Its fields are set
// before use.
type Guard struct {
	Limits func() toucanrules.Limits // returns the limits in effect; zero values are unknown
	Log    *zap.Logger
}

// guardedConn is a connection with a timer for its current phase.
type guardedConn struct {
	net.Conn
	guard *Guard

	mu         sync.Mutex
	timer      *time.Timer
	phase      connPhase
	phaseStart time.Time
}

type connPhase int

const (
	phaseIdle          connPhase = iota // between requests
	phaseReadingHeader                  // the header of a request has started to arrive
	phaseServing                        // a handler runs, or the connection has ended
	phaseRejecting                      // the server itself answers a malformed header
	phaseTimedOut                       // closed by the guard; no request on it runs any more
)

type guardedListener struct {
	net.Listener
	guard *Guard
}

// WrapListener returns a listener whose connections are guarded. The server on it
// needs ConnContext, ConnState and Handler.
func (g *Guard) WrapListener(l net.Listener) net.Listener { return guardedListener{l, g} }

func (l guardedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	guarded := &guardedConn{Conn: c, guard: l.guard, phaseStart: time.Now()}
	guarded.timer = time.AfterFunc(l.guard.idleTimeout(), guarded.handleTimeout)
	return guarded, nil
}

type connKey struct{}

// ConnContext returns a context with a guarded connection, and the underlying
// connection. It is meant for http.Server.ConnContext.
func (g *Guard) ConnContext(ctx context.Context, c net.Conn) (context.Context, net.Conn) {
	guarded, ok := c.(*guardedConn)
	if !ok {
		return ctx, c
	}
	return context.WithValue(ctx, connKey{}, guarded), guarded.Conn
}

// ConnState updates the phase of a guarded connection. It is meant for
// http.Server.ConnState.
func (g *Guard) ConnState(c net.Conn, s http.ConnState) {
	guarded, ok := c.(*guardedConn)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		guarded.setPhase(phaseIdle, g.idleTimeout())
	case http.StateClosed, http.StateHijacked:
		guarded.setPhase(phaseServing, 0)
	}
}

// Read reads from the connection. The first byte of a request starts the header
// timeout.
func (c *guardedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		if c.phase == phaseIdle {
			c.phase, c.phaseStart = phaseReadingHeader, time.Now()
			c.timer.Reset(c.guard.headerTimeout())
		}
		c.mu.Unlock()
	}
	return n, err
}

// Write writes to the connection. A write before the handler runs is the server's own
// answer to a header that it can't parse, after which no 408 may follow.
func (c *guardedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.phase == phaseReadingHeader {
		c.phase = phaseRejecting
	}
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Handler passes on requests whose header is within the size limit and refuses
// the others with status 431 before they run.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*guardedConn); ok && !c.setPhase(phaseServing, 0) {
			panic(http.ErrAbortHandler) // the caller may have got 408
		}
		if size, limit := headerSize(r), g.Limits().MaxHeaderBytes; limit > 0 && size > limit {
			largeHeadersRefused.Inc()
			g.Log.Info("head of a request too large", zap.String("caller", r.RemoteAddr), zap.Int("bytes", size), zap.Int("limit", limit))
			w.Header().Set("Connection", "close")
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusalReadTimeout)) // only writers in tests don't support it
			http.Error(w, "the head of the request is too large", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// headerSize returns the size of a request's header in bytes, as it was sent
// without optional white space.
func headerSize(r *http.Request) int {
	// The request line has as many bytes between and after its words as a header
	// line: two spaces and the line end.
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	return size
}

func (g *Guard) headerTimeout() time.Duration {
	if d := g.Limits().HeaderTimeout; d > 0 {
		return d
	}
	return defaultHeaderTimeout
}

func (g *Guard) idleTimeout() time.Duration {
	if d := g.Limits().IdleTimeout; d > 0 {
		return d + idleMargin
	}
	return defaultIdleTimeout
}

// setPhase starts a phase that lasts at most d; 0 means no limit. It returns false if
// the connection has timed out.
func (c *guardedConn) setPhase(p connPhase, d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseTimedOut {
		return false
	}
	c.phase, c.phaseStart = p, time.Now()
	if d == 0 {
		c.timer.Stop()
	} else {
		c.timer.Reset(d)
	}
	return true
}

// extend restarts the timer if the phase has not lasted for limit: it began as the
// timer fired, or the operators have raised the limit.
func (c *guardedConn) extend(limit time.Duration) bool {
	remaining := limit - time.Since(c.phaseStart)
	if remaining <= 0 {
		return false
	}
	c.timer.Reset(remaining)
	return true
}

// handleTimeout closes a connection whose phase has lasted too long, unless the
// phase has changed at the same moment.
func (c *guardedConn) handleTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case phaseIdle:
		if c.extend(c.guard.idleTimeout()) {
			return
		}
		idleConnsClosed.Inc()
	case phaseReadingHeader:
		if c.extend(c.guard.headerTimeout()) {
			return
		}
		slowHeadersRefused.Inc()
		c.guard.Log.Info("head of a request too slow", zap.String("caller", c.RemoteAddr().String()))
		_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) // the connection is closed either way
		_, _ = c.Conn.Write([]byte(timeoutResponse))
	case phaseRejecting:
	case phaseServing, phaseTimedOut:
		return
	}
	c.phase = phaseTimedOut
	_ = c.Close() // the server sees the closed connection
}
