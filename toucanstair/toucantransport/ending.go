package toucantransport

import (
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// unknownStateWait bounds the wait for the end of a write on a connection of which the
// system tells no state.
const unknownStateWait = 100 * time.Millisecond

// brokenEnds counts responses whose connection broke where the end of the stream was read.
var brokenEnds = metrics.NewCounter("toucan_send_broken_ends_total")

// connState is the state of a TCP connection whose end of the stream was read.
type connState int

const (
	unknownState connState = iota
	peerClosed             // the peer has closed its side, and nothing has broken
	dead                   // the connection broke, before the peer closed its side or after it
)

// endError returns nil if the end of the stream that was read from a connection is the one
// that the peer sent, and otherwise what broke the connection.
//
// A socket reports what broke it only once. If a pending write gets that error, the read
// after it gets the end of the stream. A connection that broke after the peer had closed
// its side fails a write with EPIPE.
func (c *conn) endError() error {
	state := stateOf(c.Conn)
	if state == peerClosed {
		return nil
	}
	var wait <-chan time.Time // without end on a dead connection, whose writes end
	if state == unknownState {
		timer := time.NewTimer(unknownStateWait)
		defer timer.Stop()
		wait = timer.C
	}
	select {
	case err := <-c.written:
		c.written <- err
		if err == nil || errors.Is(err, syscall.EPIPE) {
			return nil
		}
		brokenEnds.Inc()
		return err
	case <-wait:
		return nil // the write is still pending, so that the connection is alive
	}
}

// endsWithConnection reports whether the end of the connection is the end of the response's
// body.
func endsWithConnection(res *http.Response, request *http.Request) bool {
	return framingOf(res) == byClose && request.Method != http.MethodHead
}
