package toucanexchange

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// closeTimeout bounds the wait for the target to close its side of a failed request's
// connection, which shows that it stopped working on the request.
const closeTimeout = 250 * time.Millisecond

// Phases of the current request of a connection.
const (
	phaseIdle    int32 = iota // no request
	phaseReady                // a request may be written, no byte has left
	phaseWriting              // a byte may have left
	phaseBlocked              // writes fail, no byte has left
)

// conn tracks whether a byte of the current request may have left this host.
// HTTP/1.1 carries one request at a time, so a connection needs a single phase.
type conn struct {
	net.Conn
	client  *http.ClientConn // sends requests on this connection
	used    bool             // a request was begun; only the holder of the slot reads and sets it
	phase   atomic.Int32
	closing atomic.Bool
	// closed is closed after Close when the target has closed its side, which shows that it
	// stopped working on the request and no longer counts the connection, or after
	// closeTimeout.
	closed  chan struct{}
	maySend func() bool // set by beginRequest, read by Write
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, closed: make(chan struct{})} }

// beginRequest prepares the connection for the next request. client passes the request
// to its writer goroutine through a channel afterwards, which makes maySend visible to
// Write.
func (c *conn) beginRequest(maySend func() bool) {
	c.maySend = maySend
	c.used = true
	c.phase.Store(phaseReady)
}

// blockWrites makes writes of the current request fail, unless one has started, and
// reports whether no byte has left.
func (c *conn) blockWrites() bool {
	return c.phase.CompareAndSwap(phaseReady, phaseBlocked) || c.phase.Load() == phaseBlocked
}

// endRequest marks the connection as idle after a complete response.
func (c *conn) endRequest() { c.phase.CompareAndSwap(phaseWriting, phaseIdle) }

// Write calls maySend before the first byte of a request and fails with net.ErrClosed
// if sending is not allowed.
func (c *conn) Write(p []byte) (int, error) {
	if c.phase.Load() == phaseReady {
		if c.maySend != nil && !c.maySend() {
			c.phase.CompareAndSwap(phaseReady, phaseBlocked)
		}
		c.phase.CompareAndSwap(phaseReady, phaseWriting)
	}
	if c.phase.Load() == phaseBlocked {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Read returns net.ErrClosed once Close was called, so that a late response is discarded.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes the sending side, which tells the target to stop, and leaves the rest to a
// goroutine that waits at most closeTimeout for the target to close its side.
func (c *conn) Close() error {
	if !c.closing.CompareAndSwap(false, true) {
		return nil
	}
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		defer close(c.closed)
		return c.Conn.Close()
	}
	err := halfCloser.CloseWrite()
	if deadlineErr := c.SetReadDeadline(time.Now().Add(closeTimeout)); deadlineErr != nil && err == nil {
		err = deadlineErr
	}
	go c.waitForClose()
	return err
}

// waitForClose discards what the target sends until it closes its side or the read
// deadline passes.
func (c *conn) waitForClose() {
	defer close(c.closed)
	defer c.Conn.Close()
	var buffer [512]byte
	for {
		if _, err := c.Conn.Read(buffer[:]); err != nil {
			return
		}
	}
}
