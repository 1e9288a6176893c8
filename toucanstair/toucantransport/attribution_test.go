package toucantransport_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/toucanstair/toucantransport"
)

// stutteringTarget sends each response a second time, lag exchanges later on the same
// connection and before the response that is due then.
type stutteringTarget struct {
	lag     int
	respond func(nth int, id string) string         // nth request of the target, from 1
	again   func(response, waitingID string) string // the second copy; nil: the same bytes
	pause   time.Duration                           // between a copy and the response that is due
	handled atomic.Int32                            // requests
}

// serveConns serves each connection to a loopback address, which it returns, until the
// end of the test.
func serveConns(t *testing.T, serve func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	t.Cleanup(func() {
		l.Close()
		<-ended
	})
	return l.Addr().String()
}

// start listens until the end of the test and returns the address.
func (s *stutteringTarget) start(t *testing.T) string { return serveConns(t, s.serve) }

func (s *stutteringTarget) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var sent []string
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id, text := q.Header.Get("Toucan-Id"), ""
		if n := len(sent) - s.lag; n >= 0 {
			if text = sent[n]; s.again != nil {
				text = s.again(text, id)
			}
		}
		own := s.respond(int(s.handled.Add(1)), id)
		sent = append(sent, own)
		if s.pause > 0 && text != "" {
			if _, err := c.Write([]byte(text)); err != nil {
				return
			}
			<-time.After(s.pause)
			text = ""
		}
		if _, err := c.Write([]byte(text + own)); err != nil {
			return
		}
	}
}

// withID returns a response with another request's id.
func withID(response, id string) string {
	before, after, ok := strings.Cut(response, "Toucan-Id: ")
	if !ok {
		return response
	}
	_, after, _ = strings.Cut(after, "\r\n")
	return before + "Toucan-Id: " + id + "\r\n" + after
}

// Guards against a copy of an earlier response that is taken for the response of the waiting request.
func TestCopyOfEarlierResponseNeverAnswersLaterRequest(t *testing.T) {
	echoing := func(_ int, id string) string { return signed(id, "s"+id, "own "+id) }
	silent := func(_ int, id string) string { return signed("", "s"+id, "own "+id) }
	for name, target := range map[string]*stutteringTarget{
		"with the id of the waiting request":                     {lag: 1, respond: echoing, again: withID},
		"with the id of the waiting request, two exchanges late": {lag: 2, respond: echoing, again: withID},
		"with the id of the waiting request, five late":          {lag: 5, respond: echoing, again: withID},
		"without an id, two exchanges late":                      {lag: 2, respond: silent},
		"without an id, five exchanges late":                     {lag: 5, respond: silent},
		"of a failure, without an id, two exchanges late": {lag: 2, respond: func(nth int, id string) string {
			if nth == 1 {
				return strings.Replace(signed("", "s"+id, ""), "200 OK", "500 X", 1)
			}
			return signed("", "s"+id, "own "+id)
		}},
		"of a failure without an id or signature": {lag: 1, respond: func(nth int, id string) string {
			if nth == 1 {
				return strings.Replace(strings.Replace(signed("", "", ""), "Stamp: \r\n", "", 1), "200 OK", "500 X", 1)
			}
			return signed("", "s"+id, "own "+id)
		}},
		// The copy of a refusal answers a later request, so that request's own response is stray
		// when it arrives. Its copy comes after that.
		"of a response that was skipped": {lag: 2, pause: 10 * time.Millisecond, again: withID, respond: func(nth int, id string) string {
			if nth == 1 {
				return strings.Replace(refusal, "Not-Run", "Toucan-Id: "+id+"\r\nNot-Run", 1)
			}
			return echoing(nth, id)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			address, transport := target.start(t), newSignedTransport()
			for n, id := range strings.Split("abcdefghijkl", "") {
				res, err := transport.Do(t.Context(), requestTo(address, id), time.Second)
				require.NoError(t, err)
				if n == 0 && res.Status >= 500 || res.Header.Get("Not-Run") != "" {
					continue
				}
				require.Equal(t, http.StatusOK, res.Status, "request %s", id)
				require.Equal(t, "own "+id, string(res.Body), "request %s", id)
			}
		})
	}
}

// Guards against a copy of a refusal that answers the next attempt of the same request.
func TestCopyOfRefusalDoesNotAnswerNextAttemptOfSameRequest(t *testing.T) {
	for name, limit := range map[string]int{"new connections": 0, "one connection": 1} {
		t.Run(name, func(t *testing.T) {
			target := &stutteringTarget{lag: 1, respond: func(nth int, id string) string {
				if nth == 1 {
					return strings.Replace(refusal, "Not-Run", "Toucan-Id: "+id+"\r\nNot-Run", 1)
				}
				return signed(id, "s", "ran")
			}}
			address, transport := target.start(t), newSignedTransport()
			for _, status := range []int{http.StatusServiceUnavailable, http.StatusOK} {
				q := requestTo(address, "1")
				q.MaxConnections = limit
				res, err := transport.Do(t.Context(), q, time.Second)
				require.NoError(t, err)
				require.Equal(t, status, res.Status)
			}
		})
	}
}

// requestTo returns an idempotent request to a target without a limit of connections.
func requestTo(address, id string) *toucantransport.Request {
	return request(&target{address: address}, id, 0)
}
