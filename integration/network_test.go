package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// pipe is one fault-injecting proxy.
type pipe struct {
	t     *testing.T
	proxy *toxiproxy.Proxy
}

// network holds the proxies of a bed.
type network struct {
	t      *testing.T
	server *toxiproxy.ApiServer

	mu    sync.Mutex
	pipes []*pipe
}

func newNetwork(t *testing.T) *network {
	n := &network{t: t, server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())}
	t.Cleanup(func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, p := range n.pipes {
			p.proxy.Stop()
		}
	})
	return n
}

// pipe starts a proxy on a free port.
func (n *network) pipe(name, upstream string) *pipe {
	n.t.Helper()
	p := &pipe{n.t, toxiproxy.NewProxy(n.server, name, "127.0.0.1:0", upstream)}
	require.NoError(n.t, p.proxy.Start())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pipes = append(n.pipes, p)
	return p
}

func (p *pipe) address() string { return p.proxy.Listen }

// add puts a toxic of toxiproxy into effect; stream is upstream or downstream,
// where downstream is from the server to the client.
func (p *pipe) add(name, kind, stream string, toxicity float64, attributes map[string]any) {
	p.t.Helper()
	b, err := json.Marshal(map[string]any{
		"name": name, "type": kind, "stream": stream, "toxicity": toxicity, "attributes": attributes,
	})
	require.NoError(p.t, err)
	_, err = p.proxy.Toxics.AddToxicJson(bytes.NewReader(b))
	require.NoError(p.t, err)
}

// remove ends the effect of a toxic; it may be absent.
func (p *pipe) remove(name string) {
	if p.proxy.Toxics.GetToxic(name) != nil {
		require.NoError(p.t, p.proxy.Toxics.RemoveToxic(context.Background(), name))
	}
}

// cut drops all data in both directions and leaves connections open, as a
// partition does.
func (p *pipe) cut() {
	p.t.Helper()
	for _, stream := range []string{"upstream", "downstream"} {
		if p.proxy.Toxics.GetToxic("cut-"+stream) == nil {
			p.add("cut-"+stream, "timeout", stream, 1, map[string]any{"timeout": 0})
		}
	}
}

// heal ends a cut; connections that were open are closed.
func (p *pipe) heal() {
	for _, stream := range []string{"upstream", "downstream"} {
		p.remove("cut-" + stream)
	}
}

// reset closes all present connections.
func (p *pipe) reset() {
	p.t.Helper()
	p.proxy.Stop()
	require.NoError(p.t, p.proxy.Start())
}

// splitter listens on the peer address that a host advertises and hands each
// connection to the proxy of its source address, because a proxy can't tell
// sources apart.
type splitter struct {
	listener net.Listener
	ended    chan struct{}

	mu    sync.Mutex
	pipes map[string]*pipe // by source IP; a source without one is refused
	conns map[net.Conn]bool
}

func newSplitter(t *testing.T) *splitter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &splitter{listener: l, ended: make(chan struct{}), pipes: map[string]*pipe{}, conns: map[net.Conn]bool{}}
	go s.run()
	t.Cleanup(s.close)
	return s
}

func (s *splitter) run() {
	defer close(s.ended)
	var relays sync.WaitGroup
	defer relays.Wait()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		relays.Go(func() { s.relay(c) })
	}
}

func (s *splitter) relay(c net.Conn) {
	defer s.drop(c)
	source, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return
	}
	s.mu.Lock()
	p := s.pipes[source]
	s.mu.Unlock()
	if p == nil {
		return
	}
	up, err := net.Dial("tcp", p.address())
	if err != nil {
		return
	}
	defer s.drop(up)
	s.mu.Lock()
	s.conns[c], s.conns[up] = true, true
	s.mu.Unlock()
	// The first end of either direction closes both connections.
	ends := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{c, up}, {up, c}} {
		go func() {
			// A broken copy and the end of the stream both end the relay.
			_, _ = io.Copy(pair[0], pair[1])
			ends <- struct{}{}
		}()
	}
	<-ends
	c.Close()
	up.Close()
	<-ends
}

func (s *splitter) drop(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	c.Close()
}

func (s *splitter) set(source string, p *pipe) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pipes[source] = p
}

func (s *splitter) close() {
	s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	<-s.ended
}
