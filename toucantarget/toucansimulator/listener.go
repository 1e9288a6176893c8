package toucansimulator

import (
	"net"
	"sync"
	"time"
)

// listener closes connections above the replica's limit. It spends the cost of
// a new connection inside Accept, so later connections wait for it too.
type listener struct {
	net.Listener
	target *Target
	once   sync.Once
	closed chan struct{}
}

// LimitListener returns l with the replica's connection limit and connect cost.
func (t *Target) LimitListener(l net.Listener) net.Listener {
	return &listener{Listener: l, target: t, closed: make(chan struct{})}
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		admitted, cost := l.target.admitConnection()
		if !admitted {
			c.Close()
			continue
		}
		if cost > 0 {
			timer := time.NewTimer(cost)
			select {
			case <-timer.C:
			case <-l.closed:
				timer.Stop()
			}
		}
		return &conn{Conn: c, target: l.target}, nil
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// conn updates the count of open connections when it is closed.
type conn struct {
	net.Conn
	target *Target
	once   sync.Once
}

func (c *conn) Close() error {
	c.once.Do(c.target.releaseConnection)
	return c.Conn.Close()
}

// admitConnection counts a new connection as accepted, or as rejected above the
// limit, and returns the time that opening it takes.
func (t *Target) admitConnection() (admitted bool, cost time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.spec.MaxConnections > 0 && t.openConnections >= t.spec.MaxConnections {
		t.record.RejectedConnections++
		return false, 0
	}
	t.openConnections++
	t.record.AcceptedConnections++
	t.record.OpenConnections = t.openConnections
	t.record.MaxOpenConnections = max(t.record.MaxOpenConnections, t.openConnections)
	if t.isCold(time.Now()) {
		t.record.MaxOpenConnectionsCold = max(t.record.MaxOpenConnectionsCold, t.openConnections)
	}
	return true, time.Duration(t.spec.ConnectCost)
}

func (t *Target) releaseConnection() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openConnections--
	t.record.OpenConnections = t.openConnections
}
