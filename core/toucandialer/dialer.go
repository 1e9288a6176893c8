// Package toucandialer dials connections on which the server must not send first.
package toucandialer

import (
	"context"
	"net"
	"sync/atomic"
)

// Dialer dials like its net.Dialer. Its connections fail with ErrUnsolicited if the
// server sends before anything was written to it.
type Dialer struct{ net.Dialer }

// ErrUnsolicited means that bytes came from a server that nothing was written to.
var ErrUnsolicited error = unsolicited{}

type unsolicited struct{}

func (unsolicited) Error() string { return "the server sent bytes before the request" }

// DialContext connects to an address.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

type conn struct {
	net.Conn

	written atomic.Bool // something may have been written
}

func (c *conn) Write(b []byte) (int, error) {
	c.written.Store(true)
	return c.Conn.Write(b)
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.written.Load() {
		return 0, ErrUnsolicited
	}
	return n, err
}
