package toucanexchange

import (
	"net"
	"sync/atomic"
	"time"
)

// lingerTime bounds how long a broken exchange waits for the target to close
// its side, which shows that the target has stopped the request.
const lingerTime = 250 * time.Millisecond

const (
	phaseIdle int32 = iota
	phaseArmed
	phaseWriting
	phaseSealed
)

// conn records whether a byte of the current request may have left. HTTP/1.1
// carries one request at a time, so one phase for each connection suffices.
type conn struct {
	net.Conn
	phase   atomic.Int32
	closing atomic.Bool
	ended   chan struct{}
	may     func() bool // set while idle, read by the writer after arm
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, ended: make(chan struct{})} }

// arm prepares for the next request. The transport hands the request to its
// writer through a channel afterwards, so may is visible there.
func (c *conn) arm(may func() bool) {
	c.may = may
	c.phase.Store(phaseArmed)
}

// seal forbids the first write of the current request and reports whether it
// came in time, that is, whether no byte has left.
func (c *conn) seal() bool {
	return c.phase.CompareAndSwap(phaseArmed, phaseSealed) || c.phase.Load() == phaseSealed
}

func (c *conn) finish() { c.phase.CompareAndSwap(phaseWriting, phaseIdle) }

// Write checks the right to send before the first byte of a request.
func (c *conn) Write(p []byte) (int, error) {
	if c.phase.Load() == phaseArmed {
		if c.may != nil && !c.may() {
			c.phase.CompareAndSwap(phaseArmed, phaseSealed)
		}
		c.phase.CompareAndSwap(phaseArmed, phaseWriting)
	}
	if c.phase.Load() == phaseSealed {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Read returns nothing once the connection is being closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes at once when no request is running. Otherwise it closes the
// sending side, which tells the target to stop, and waits a bounded time for
// the target to close.
func (c *conn) Close() error {
	if !c.closing.CompareAndSwap(false, true) {
		return nil
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || c.phase.Load() != phaseWriting {
		defer close(c.ended)
		return c.Conn.Close()
	}
	err := half.CloseWrite()
	if e := c.SetReadDeadline(time.Now().Add(lingerTime)); e != nil && err == nil {
		err = e
	}
	go c.linger()
	return err
}

func (c *conn) linger() {
	defer close(c.ended)
	defer c.Conn.Close()
	var scrap [512]byte
	for {
		if _, err := c.Conn.Read(scrap[:]); err != nil {
			return
		}
	}
}
