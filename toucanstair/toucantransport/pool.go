package toucantransport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"toucanstair.example/core/toucanreplica"
)

const (
	// idleUsual is how long a connection without a stated limit is kept, and
	// idleMost how long any is.
	idleUsual = 8 * time.Second
	idleMost  = 60 * time.Second
	// idleSpare is how much earlier than the target a connection is closed.
	idleSpare = 700 * time.Millisecond
	// freshFor is how long after its last use a connection may carry a request
	// that can't be repeated.
	freshFor = 2 * time.Second
	// readBuffer holds the headers of a usual response, in bytes.
	readBuffer = 2048
	// trustFor is how long after its last use a connection is taken to be open
	// without a look.
	trustFor = 100 * time.Millisecond
	// narrowTime is how long a target that reset a new connection gets no more
	// than it had then.
	narrowTime = 1500 * time.Millisecond
	// probeIdle, probeEvery and probeCount end a connection whose other side
	// is silent after about 3 s.
	probeIdle  = time.Second
	probeEvery = time.Second
	probeCount = 2
)

// Dialer connects with keep-alive probes that end a silent connection.
var Dialer = net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
	Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount,
}}

// Dial connects to an address over TCP with these probes.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return Dialer.DialContext(ctx, "tcp", address)
}

// conn is a connection to a target with what is known of it.
type conn struct {
	net.Conn
	r     *bufio.Reader
	fresh bool          // it has carried no response yet
	idle  time.Duration // how long the target keeps the connection idle
	used  time.Time
}

// keep reads the idle time of a Keep-Alive header.
func (c *conn) keep(header string) {
	c.idle = idleUsual
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			c.idle = min(idleMost, time.Duration(n)*time.Second)
		}
	}
}

// sound reports whether an idle connection is open and has nothing to read.
func (c *conn) sound() bool {
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

type key struct {
	id      toucanreplica.ID
	address string
}

type pools struct {
	mu  sync.Mutex
	all map[key]*pool
}

func (p *pools) of(id toucanreplica.ID, address string) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := key{id, address}
	if q, ok := p.all[k]; ok {
		return q
	}
	if p.all == nil {
		p.all = make(map[key]*pool)
	}
	q := &pool{}
	p.all[k] = q
	return q
}

func (p *pools) retain(wanted func(toucanreplica.ID) bool) {
	p.mu.Lock()
	var gone []*pool
	for k, q := range p.all {
		if !wanted(k.id) {
			gone = append(gone, q)
			delete(p.all, k)
		}
	}
	p.mu.Unlock()
	for _, q := range gone {
		q.close()
	}
}

// pool keeps the connections to one target.
type pool struct {
	mu     sync.Mutex
	idle   []*conn // most recently used last
	open   int     // idle and in use
	closed bool
	least  int       // connections that the target accepted when it last reset one
	until  time.Time // how long least is the limit
}

// limit returns how many connections may be open now; 0 means any number.
func (p *pool) limit(most int, now time.Time) int {
	if most > 0 && now.Before(p.until) {
		return min(most, p.least)
	}
	return most
}

// narrow notes that the target reset a new connection, as it does while it
// has more than it accepts.
func (p *pool) narrow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.least, p.until = max(1, p.open-1), time.Now().Add(narrowTime)
}

// take returns an idle connection or makes one.
func (p *pool) take(ctx context.Context, r *Request) (*conn, FailureKind, error) {
	now := time.Now()
	p.mu.Lock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		limit := c.idle - idleSpare
		if r.FreshConnection {
			limit = min(limit, freshFor)
		}
		if idle := now.Sub(c.used); idle < limit && (idle < trustFor && !r.FreshConnection || c.sound()) {
			p.mu.Unlock()
			return c, 0, nil
		}
		p.open--
		c.Close()
	}
	if most := p.limit(r.MaxConnections, now); most > 0 && p.open >= most {
		p.mu.Unlock()
		return nil, ConnectionLimitReached, errFull
	}
	p.open++
	p.mu.Unlock()
	dials.Inc()
	dial, cancel := context.WithTimeout(ctx, r.DialTimeout)
	defer cancel()
	c, err := Dial(dial, r.Address)
	if err != nil {
		if errors.Is(err, syscall.ECONNRESET) {
			p.narrow()
		}
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		if ctx.Err() != nil {
			return nil, NotSent, ctx.Err()
		}
		return nil, Unreachable, err
	}
	return &conn{Conn: c, r: bufio.NewReaderSize(c, readBuffer), fresh: true}, 0, nil
}

// ready reports whether there is an idle connection.
func (p *pool) ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	return n > 0 && time.Since(p.idle[n-1].used) < p.idle[n-1].idle-idleSpare
}

func (p *pool) give(c *conn) {
	c.used, c.fresh = time.Now(), false
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.open--
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *pool) discard(c *conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}
