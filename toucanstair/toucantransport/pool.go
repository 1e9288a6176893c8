package toucantransport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"toucanstair.example/core/toucanreplica"
)

const (
	// defaultIdleTimeout applies to a connection without a timeout in a Keep-Alive
	// header, and maxIdleTimeout bounds the timeout in the header.
	defaultIdleTimeout = 8 * time.Second
	maxIdleTimeout     = 60 * time.Second
	// idleMargin is how long before the target's idle timeout a connection is no longer
	// used.
	idleMargin = 700 * time.Millisecond
	// maxFreshIdle is how long after its last use a connection may carry a request that
	// cannot be retried.
	maxFreshIdle = 2 * time.Second
	// readBufferBytes is enough for the headers of a typical response.
	readBufferBytes = 2048
	// skipProbeWithin is how long after its last use a connection is assumed to be open
	// without a check of the socket.
	skipProbeWithin = 100 * time.Millisecond
	// reducedLimitTime is how long the reduced limit applies after a target reset a new
	// connection.
	reducedLimitTime = 1500 * time.Millisecond
	// TCP keep-alive with these values ends a connection to a silent peer after about
	// 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer dials with TCP keep-alive probes that end a connection to a silent peer.
var Dialer = net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
	Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
}}

// Dial connects to an address over TCP with Dialer.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return Dialer.DialContext(ctx, "tcp", address)
}

// conn is a connection to a target. It is used by one request at a time.
type conn struct {
	net.Conn
	r           *bufio.Reader
	limit       *limitedReader // below r
	pool        *pool          // to which it belongs
	unused      bool           // no response was read from it yet
	idleTimeout time.Duration  // after which the target closes an idle connection
	lastUsed    time.Time
	history     history
	// written gets the result of writing the current request once, and keeps it.
	written chan error
}

// setIdleTimeout sets the idle timeout from a Keep-Alive header.
func (c *conn) setIdleTimeout(header string) {
	c.idleTimeout = defaultIdleTimeout
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			c.idleTimeout = min(maxIdleTimeout, time.Duration(n)*time.Second)
		}
	}
}

// suits reports whether no late copy of an earlier response could be taken for the
// response to r. A copy for the same id would be, one for another method ends elsewhere,
// and a copy of a refusal must not refuse a request that cannot be retried.
func (c *conn) suits(r *Request) bool {
	if r.FreshConnection && c.history.mayRefuse || c.history.head != (r.Message.Method == http.MethodHead) {
		return false
	}
	return !c.history.carried(r.Message.ID)
}

// isFresh reports whether an idle connection is open, will not reach its idle timeout
// soon, and has no unread data.
func (c *conn) isFresh(r *Request, now time.Time) bool {
	maxIdle := c.idleTimeout - idleMargin
	if r.FreshConnection {
		maxIdle = min(maxIdle, maxFreshIdle)
	}
	idle := now.Sub(c.lastUsed)
	if idle >= maxIdle {
		return false
	}
	// Unread data is no response to r. Ids show that too, without a system call.
	probe := r.FreshConnection || idle >= skipProbeWithin
	return !probe || c.usable()
}

// usable reports whether an idle connection is open and has no unread data. It peeks at
// the socket without blocking.
func (c *conn) usable() bool {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	var one [1]byte
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN || e == syscall.EINTR
		return true
	})
	return err == nil && quiet
}

type poolKey struct {
	id      toucanreplica.ID
	address string
}

// pools holds the connection pools of all targets.
type pools struct {
	mu  sync.Mutex
	all map[poolKey]*pool
}

// get returns the pool of a target at an address, which it creates at first use.
func (p *pools) get(id toucanreplica.ID, address string) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := poolKey{id, address}
	if q, ok := p.all[k]; ok {
		return q
	}
	if p.all == nil {
		p.all = make(map[poolKey]*pool)
	}
	q := &pool{}
	p.all[k] = q
	return q
}

// retain closes and removes the pools of targets that are not wanted.
func (p *pools) retain(wanted func(toucanreplica.ID) bool) {
	p.mu.Lock()
	var unwanted []*pool
	for k, q := range p.all {
		if !wanted(k.id) {
			unwanted = append(unwanted, q)
			delete(p.all, k)
		}
	}
	p.mu.Unlock()
	for _, q := range unwanted {
		q.close()
	}
}

// pool keeps the connections to one target.
type pool struct {
	mu           sync.Mutex
	idle         []*conn // most recently used last
	open         int     // number of idle connections and those in use
	closed       bool
	echoes       echoes
	reducedLimit int       // limit after the target reset a new connection, at least 1
	reducedUntil time.Time // end of the reduced limit
}

// limit returns how many connections may be open now; 0 means no limit.
func (p *pool) limit(maxOpen int, now time.Time) int {
	if maxOpen > 0 && now.Before(p.reducedUntil) {
		return min(maxOpen, p.reducedLimit)
	}
	return maxOpen
}

// reduceLimit lowers the limit to the number of other open connections for
// reducedLimitTime, after the target reset a new one because it has as many as it
// accepts. At least one connection remains allowed.
func (p *pool) reduceLimit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reducedLimit, p.reducedUntil = max(1, p.open-1), time.Now().Add(reducedLimitTime)
}

// acquire returns an idle connection, or dials a new one within the limit. The kind is
// valid only with an error.
func (p *pool) acquire(ctx context.Context, r *Request) (*conn, FailureKind, error) {
	now := time.Now()
	p.mu.Lock()
	var skipped []*conn
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if !c.suits(r) {
			skipped = append(skipped, c)
			continue
		}
		if c.isFresh(r, now) {
			slices.Reverse(skipped)
			p.idle = append(p.idle, skipped...)
			p.mu.Unlock()
			return c, 0, nil
		}
		p.open--
		c.Close()
	}
	maxOpen := p.limit(r.MaxConnections, now)
	if surplus := p.open - maxOpen + 1; maxOpen > 0 && surplus > 0 && surplus <= len(skipped) {
		// The connections that were idle for longest make room for one that suits.
		kept := len(skipped) - surplus
		for _, c := range skipped[kept:] {
			c.Close()
		}
		p.open -= surplus
		skipped = skipped[:kept]
	}
	slices.Reverse(skipped)
	p.idle = append(p.idle, skipped...)
	if maxOpen > 0 && p.open >= maxOpen {
		p.mu.Unlock()
		return nil, ConnectionLimitReached, errConnectionLimit
	}
	p.open++
	p.mu.Unlock()
	dialCount.Inc()
	dialCtx, cancel := context.WithTimeout(ctx, r.DialTimeout)
	defer cancel()
	c, err := Dial(dialCtx, r.Address)
	if err != nil {
		if errors.Is(err, syscall.ECONNRESET) {
			p.reduceLimit()
		}
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		if ctx.Err() != nil {
			return nil, NotSent, ctx.Err()
		}
		return nil, Unreachable, err
	}
	limit := &limitedReader{r: c}
	return &conn{Conn: c, r: bufio.NewReaderSize(limit, readBufferBytes), limit: limit, pool: p, unused: true}, 0, nil
}

// hasIdle reports whether there is an idle connection that has not timed out.
func (p *pool) hasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	return n > 0 && time.Since(p.idle[n-1].lastUsed) < p.idle[n-1].idleTimeout-idleMargin
}

// release puts a connection back after a complete response.
func (p *pool) release(c *conn) {
	c.lastUsed, c.unused = time.Now(), false
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.echoes.omitted() {
		p.open--
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// discard closes a connection that cannot be used again.
func (p *pool) discard(c *conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// close closes the idle connections, and makes release close those in use.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle()
}

// closeIdle closes the idle connections; the caller holds mu.
func (p *pool) closeIdle() {
	for _, c := range p.idle {
		c.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}
