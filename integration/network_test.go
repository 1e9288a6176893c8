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

// faultProxy is a TCP proxy that injects network faults.
type faultProxy struct {
	t     *testing.T
	proxy *toxiproxy.Proxy
}

// network holds the proxies of a testbed.
type network struct {
	t      *testing.T
	server *toxiproxy.ApiServer

	mu      sync.Mutex
	proxies []*faultProxy
}

func newNetwork(t *testing.T) *network {
	n := &network{t: t, server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())}
	t.Cleanup(func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, p := range n.proxies {
			p.proxy.Stop()
		}
	})
	return n
}

// startProxy starts a proxy on a free port.
func (n *network) startProxy(name, upstream string) *faultProxy {
	n.t.Helper()
	p := &faultProxy{n.t, toxiproxy.NewProxy(n.server, name, "127.0.0.1:0", upstream)}
	require.NoError(n.t, p.proxy.Start())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.proxies = append(n.proxies, p)
	return p
}

func (p *faultProxy) address() string { return p.proxy.Listen }

// addToxic adds a fault ("toxic" in toxiproxy). stream is upstream or downstream,
// where downstream is from the server to the client; toxicity is the share of
// connections that have the fault.
func (p *faultProxy) addToxic(name, kind, stream string, toxicity float64, attributes map[string]any) {
	p.t.Helper()
	b, err := json.Marshal(map[string]any{
		"name": name, "type": kind, "stream": stream, "toxicity": toxicity, "attributes": attributes,
	})
	require.NoError(p.t, err)
	_, err = p.proxy.Toxics.AddToxicJson(bytes.NewReader(b))
	require.NoError(p.t, err)
}

// removeToxic removes a toxic if it is present.
func (p *faultProxy) removeToxic(name string) {
	if p.proxy.Toxics.GetToxic(name) != nil {
		require.NoError(p.t, p.proxy.Toxics.RemoveToxic(context.Background(), name))
	}
}

// partition drops all data in both directions and leaves connections open.
func (p *faultProxy) partition() {
	p.t.Helper()
	for _, stream := range []string{"upstream", "downstream"} {
		if p.proxy.Toxics.GetToxic("cut-"+stream) == nil {
			p.addToxic("cut-"+stream, "timeout", stream, 1, map[string]any{"timeout": 0})
		}
	}
}

// heal undoes partition; toxiproxy closes the connections that were open.
func (p *faultProxy) heal() {
	for _, stream := range []string{"upstream", "downstream"} {
		p.removeToxic("cut-" + stream)
	}
}

// resetConnections closes all open connections and accepts new ones.
func (p *faultProxy) resetConnections() {
	p.t.Helper()
	p.proxy.Stop()
	require.NoError(p.t, p.proxy.Start())
}

// sourceRouter listens on the peer address that a host advertises and forwards
// each connection to the proxy for its source IP, because a proxy has the same
// faults for all sources.
type sourceRouter struct {
	listener net.Listener
	stopped  chan struct{}

	mu      sync.Mutex
	proxies map[string]*faultProxy // by source IP; connections from other sources are closed
	conns   map[net.Conn]bool
}

func newSourceRouter(t *testing.T) *sourceRouter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &sourceRouter{listener: l, stopped: make(chan struct{}), proxies: map[string]*faultProxy{}, conns: map[net.Conn]bool{}}
	go s.run()
	t.Cleanup(s.close)
	return s
}

func (s *sourceRouter) run() {
	defer close(s.stopped)
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

func (s *sourceRouter) relay(c net.Conn) {
	defer s.closeConn(c)
	source, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return
	}
	s.mu.Lock()
	p := s.proxies[source]
	s.mu.Unlock()
	if p == nil {
		return
	}
	upstream, err := net.Dial("tcp", p.address())
	if err != nil {
		return
	}
	defer s.closeConn(upstream)
	s.mu.Lock()
	s.conns[c], s.conns[upstream] = true, true
	s.mu.Unlock()
	// When either direction ends, both connections are closed.
	copied := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{c, upstream}, {upstream, c}} {
		go func() {
			// An error ends the relay as the end of the stream does.
			_, _ = io.Copy(pair[0], pair[1])
			copied <- struct{}{}
		}()
	}
	<-copied
	c.Close()
	upstream.Close()
	<-copied
}

func (s *sourceRouter) closeConn(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	c.Close()
}

func (s *sourceRouter) setProxy(source string, p *faultProxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proxies[source] = p
}

func (s *sourceRouter) close() {
	s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	<-s.stopped
}
