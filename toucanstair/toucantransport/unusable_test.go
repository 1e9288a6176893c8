package toucantransport_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/toucanstair/toucantransport"
)

// serveGated serves connections. Each one waits with its first response until n connections have a request. respond
// gets the number of the request on its connection, from 0.
func serveGated(t *testing.T, n int, respond func(nth int, id string) string) string {
	var waiting sync.WaitGroup
	waiting.Add(n)
	return serveConns(t, func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for nth := 0; ; nth++ {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if nth == 0 && q.Header.Get("Gated") != "" {
				waiting.Done()
				waiting.Wait()
			}
			if _, err := c.Write([]byte(respond(nth, q.Header.Get("Toucan-Id")))); err != nil {
				return
			}
		}
	})
}

// openConnections opens n connections at once, with requests of a method.
func openConnections(t *testing.T, transport *toucantransport.Transport, address, method string, n int) {
	errs := make([]error, n)
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			q := requestTo(address, "first"+strconv.Itoa(i))
			q.Message = toucantransport.NewMessage(q.Message.ID, method, "/", "a.example", http.Header{"Toucan-Id": {q.Message.ID}, "Gated": {"1"}}, nil)
			_, errs[i] = transport.Do(t.Context(), q, time.Second)
		})
	}
	all.Wait()
	for _, err := range errs {
		require.NoError(t, err)
	}
}

// Guards against idle connections that do not suit a request and keep it from a target above a lowered limit.
func TestUnsuitableConnectionsMakeRoomBelowALowerLimit(t *testing.T) {
	address := serveGated(t, 3, func(_ int, id string) string { return signed(id, "s"+id, "") })
	transport := newSignedTransport()
	openConnections(t, transport, address, http.MethodHead, 3)
	q := requestTo(address, "2")
	q.MaxConnections = 2
	_, err := transport.Do(t.Context(), q, time.Second)
	require.NoError(t, err)
}

// Guards against refusals without an id that each wait for the deadline on all kept connections at once.
func TestRefusalsWithoutIDDoNotWaitForTheDeadline(t *testing.T) {
	const conns = 8
	address := serveGated(t, conns, func(nth int, id string) string {
		if nth == 0 {
			return signed(id, "s"+id, "")
		}
		return refusal
	})
	transport := newSignedTransport()
	openConnections(t, transport, address, http.MethodGet, conns)
	const deadline = 500 * time.Millisecond
	took := make([]time.Duration, conns)
	var all sync.WaitGroup
	for i := range conns {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			start := time.Now()
			_, _ = transport.Do(ctx, requestTo(address, "second"+strconv.Itoa(i)), deadline) // it may fail, but not late
			took[i] = time.Since(start)
		})
	}
	all.Wait()
	for _, d := range took {
		require.Less(t, d, deadline/2)
	}
}

// Guards against one late answer without an id that ends the reuse of connections for good, because a caller left then.
func TestCancelledRequestIsNoProofOfOmittedIDs(t *testing.T) {
	tg := listen(t, func(nth int, id string) string {
		if nth == 2 {
			return signed("", "x1", "second 1") // the caller leaves before its own answer
		}
		return signed(id, "s"+id, "own "+id)
	})
	transport := newSignedTransport()
	_, err := do(t, transport, tg, "1")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err = transport.Do(ctx, request(tg, "2", 0), time.Second)
	require.Error(t, err)
	before := tg.conns.Load()
	const requests = 20
	for n := range requests {
		_, err := do(t, transport, tg, "later"+strconv.Itoa(n))
		require.NoError(t, err)
	}
	require.Less(t, tg.conns.Load()-before, int32(requests/2))
}
