package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// attempt is one client attempt and its result.
type attempt struct {
	id      string
	sent    time.Time // when the last byte was sent
	status  int       // 0: no complete answer
	header  http.Header
	body    string
	err     error
	elapsed time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// callerConn is a connection of a client to a host.
type callerConn struct {
	net.Conn
	r *bufio.Reader
}

func dialHost(h *host) (*callerConn, error) {
	c, err := net.DialTimeout("tcp", h.front(), time.Second)
	if err != nil {
		return nil, err
	}
	return &callerConn{c, bufio.NewReader(c)}, nil
}

// do sends one request and reads its answer, for at most the deadline.
func (c *callerConn) do(method, path, body string, deadline time.Duration) attempt {
	return c.doAs(newID(), method, path, body, deadline)
}

// doAs is do with a given id.
func (c *callerConn) doAs(id, method, path, body string, deadline time.Duration) attempt {
	a := attempt{id: id}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\n", method, path, hostName, a.id, deadline.Milliseconds())
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	began := time.Now()
	_ = c.SetDeadline(began.Add(deadline))
	_, a.err = io.WriteString(c, text+"\r\n"+body)
	a.sent = time.Now()
	if a.err == nil {
		var res *http.Response
		if res, a.err = http.ReadResponse(c.r, &http.Request{Method: method}); a.err == nil {
			var b []byte
			b, a.err = io.ReadAll(res.Body)
			res.Body.Close()
			if a.err == nil {
				a.status, a.header, a.body = res.StatusCode, res.Header, string(b)
			}
		}
	}
	a.elapsed = time.Since(began)
	return a
}

// replicaOf returns the id of the replica in a signature.
func replicaOf(signature string) string {
	parts := strings.Split(signature, ".")
	if len(parts) < 2 {
		return ""
	}
	return parts[1]
}

// once sends one request to a host on a new connection.
func (b *bed) once(h *host, method, path, body string, deadline time.Duration) attempt {
	c, err := dialHost(h)
	if err != nil {
		return attempt{id: newID(), err: err, header: http.Header{}}
	}
	defer c.Close()
	a := c.do(method, path, body, deadline)
	if a.header == nil {
		a.header = http.Header{}
	}
	return a
}
