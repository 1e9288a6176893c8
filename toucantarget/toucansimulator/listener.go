package toucansimulator

import (
	"net"
	"sync"
	"time"
)

// listener applies the replica's connection limit and the cost of a new
// connection, which delays the connections that come after it.
type listener struct {
	net.Listener
	target *Target
	once   sync.Once
	closed chan struct{}
}

// LimitListener wraps l for the server of the replica.
func (t *Target) LimitListener(l net.Listener) net.Listener {
	return &listener{Listener: l, target: t, closed: make(chan struct{})}
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		admitted, cost := l.target.opened()
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

// conn counts its end.
type conn struct {
	net.Conn
	target *Target
	once   sync.Once
}

func (c *conn) Close() error {
	c.once.Do(c.target.shut)
	return c.Conn.Close()
}

// opened admits a connection or counts its refusal.
func (t *Target) opened() (admitted bool, cost time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.spec.MaxConnections > 0 && t.open >= t.spec.MaxConnections {
		t.record.RejectedConnections++
		return false, 0
	}
	t.open++
	t.record.AcceptedConnections++
	t.record.OpenConnections = t.open
	t.record.MaxOpenConnections = max(t.record.MaxOpenConnections, t.open)
	if t.cold(time.Now()) {
		t.record.MaxOpenConnectionsCold = max(t.record.MaxOpenConnectionsCold, t.open)
	}
	return true, time.Duration(t.spec.ConnectCost)
}

func (t *Target) shut() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open--
	t.record.OpenConnections = t.open
}
