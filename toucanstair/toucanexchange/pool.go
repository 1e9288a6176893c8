package toucanexchange

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const dialTimeout = time.Second

// targetPool holds the connections to one target. A connection is used again only if all
// of its responses had the id of their request, because a late response without an id can
// be told from that to the current request only if there was no earlier one.
//
// A request holds a slot from the wait for its connection until the connection is idle or
// the target has closed its side. A request dials only if no connection is idle, or in
// place of an idle one, so the slots also bound the connections.
type targetPool struct {
	address       string
	slots         chan struct{}
	dialSemaphore chan struct{} // capacity 1: accepting a connection costs a target up to 6 ms

	mu              sync.Mutex
	idle            []*conn // most recently used last
	closed          bool
	omitsLegID      map[int]bool // by status, the first response of a connection to a leg had no id
	suspected       bool         // a later one had none, and no first one has had its id since
	returnsHealthID bool         // the last response to a health request had its id
}

func newTargetPool(address string, maxConnections int) *targetPool {
	return &targetPool{address: address, slots: make(chan struct{}, maxConnections), dialSemaphore: make(chan struct{}, 1)}
}

// acquire waits for a slot and returns an idle connection, or a new one if none is idle.
// If connections are not used again, or alone is set, the connection has carried no
// request: a new one replaces an idle one.
func (p *targetPool) acquire(ctx context.Context, alone bool) (*conn, error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if ctx.Err() != nil {
		<-p.slots
		return nil, ctx.Err()
	}
	for c := p.takeIdle(); c != nil; c = p.takeIdle() {
		live := c.client.Available() > 0
		if live && (!c.used || !alone && !p.reuseStopped()) {
			return c, nil
		}
		closeAndWait(c)
		if live {
			break // the new connection takes its place
		}
	}
	result := make(chan dialResult)
	go p.dial(ctx, result)
	select {
	case r := <-result:
		if r.err != nil {
			<-p.slots
		}
		return r.conn, r.err
	case <-ctx.Done():
		return nil, ctx.Err() // dial frees the slot
	}
}

// dialResult is a new connection or the reason why there is none.
type dialResult struct {
	conn *conn
	err  error
}

// dial sends a new connection on result. If ctx ends first, the connection becomes idle,
// because a target may still count one that is given up, and dial frees the slot.
func (p *targetPool) dial(ctx context.Context, result chan<- dialResult) {
	select {
	case p.dialSemaphore <- struct{}{}:
	case <-ctx.Done():
		<-p.slots
		return
	}
	c, err := p.connect(context.WithoutCancel(ctx))
	<-p.dialSemaphore
	select {
	case result <- dialResult{c, err}:
	case <-ctx.Done():
		if err != nil {
			<-p.slots
			return
		}
		p.release(c, true)
	}
}

func (p *targetPool) connect(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	netConn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	c := newConn(netConn)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		DialContext:            func(context.Context, string, string) (net.Conn, error) { return c, nil },
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              protocols,
	}
	if c.client, err = transport.NewClientConn(ctx, "http", p.address); err != nil {
		_ = c.Close() // the error of NewClientConn is returned
		return nil, err
	}
	return c, nil
}

// release makes a connection idle if it may be used again. Otherwise it closes the
// connection and waits for the target to close its side. Both free the slot.
func (p *targetPool) release(c *conn, reusable bool) {
	if !reusable || !p.putIdle(c) {
		closeAndWait(c)
	}
	<-p.slots
}

func (p *targetPool) putIdle(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Available is 0 if the target ends the connection with the response.
	if p.closed || p.stopped() && c.used || c.client.Available() == 0 {
		return false
	}
	c.endRequest()
	p.idle = append(p.idle, c)
	return true
}

// takeIdle returns a connection that is or was idle, or nil.
func (p *targetPool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

// recordID records whether a response to a leg had its id. While the target leaves ids
// out, each connection carries one request. Idle ones are closed when new ones replace them.
func (p *targetPool) recordID(status int, identified, newConnection bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case identified:
		delete(p.omitsLegID, status)
		p.suspected = p.suspected && !newConnection
	case newConnection:
		if p.omitsLegID == nil {
			p.omitsLegID = make(map[int]bool)
		}
		p.omitsLegID[status] = true
	default:
		p.suspected = true
	}
}

func (p *targetPool) reuseStopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped()
}

// stopped reports whether each connection carries one request; the caller holds mu.
func (p *targetPool) stopped() bool { return p.suspected || len(p.omitsLegID) > 0 }

func (p *targetPool) setReturnsHealthID(returns bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.returnsHealthID = returns
}

// isHealthIdentified reports whether the response to a health request is expected to have
// its id, so that the request may share a connection.
func (p *targetPool) isHealthIdentified() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.returnsHealthID
}

// close closes idle connections, and the others when their request ends.
func (p *targetPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close() // the connection is not used again, even if this fails
	}
	p.idle = nil
}
