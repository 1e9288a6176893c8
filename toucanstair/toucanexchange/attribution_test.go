package toucanexchange_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanexchange"
)

// answer describes one response of an answering target.
type answer struct {
	status string // "200 OK" if empty
	noID   bool
}

const refused = "503 Service Unavailable"

// format returns the response to the request with the given id. Its Toucan-Boot is that
// id, so that a test sees whose header fields a caller gets.
func (a answer) format(id string) string {
	var b strings.Builder
	status, body := a.status, "no"
	if status == "" {
		status, body = "200 OK", respond(id, 3, 7)
	}
	fmt.Fprintf(&b, "HTTP/1.1 %s\r\nToucan-Boot: %s\r\nContent-Length: %d\r\n", status, id, len(body))
	if status == refused {
		b.WriteString("Toucan-Refused: 1\r\n")
	}
	if !a.noID {
		fmt.Fprintf(&b, "Toucan-Leg: %s\r\n", id)
	}
	return b.String() + "\r\n" + body
}

// answeringTarget is a target that counts its connections. It calls serve for each
// request, with the request's id and its number on its connection.
type answeringTarget struct {
	address  string
	accepted atomic.Int64
	refused  sync.Map // ids of legs whose first answer was a refusal

	mu       sync.Mutex
	open     map[net.Conn]time.Time // connections and when they were last active
	openPeak int
}

// A client waits at most closeTimeout for a target that is slow to see the end of a
// connection.
const closeTimeout = 250 * time.Millisecond

// setActive counts the connections of which the client may not yet have given up the end.
func (a *answeringTarget) setActive(c net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open[c] = time.Now()
	n := 0
	for _, active := range a.open {
		if time.Since(active) < closeTimeout {
			n++
		}
	}
	a.openPeak = max(a.openPeak, n)
}

// peak returns the greatest number of connections that were open at a time.
func (a *answeringTarget) peak() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.openPeak
}

func (a *answeringTarget) setClosed(c net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.open, c)
}

func newAnsweringTarget(t *testing.T, serve func(c net.Conn, id string, nth int)) *answeringTarget {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	target := &answeringTarget{address: l.Addr().String(), open: make(map[net.Conn]time.Time)}
	var conns sync.WaitGroup
	conns.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			target.accepted.Add(1)
			target.setActive(c)
			conns.Go(func() {
				defer c.Close()
				defer target.setClosed(c)
				in := bufio.NewReader(c)
				for n := 1; ; n++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					var q toucanpb.TargetQuery
					_ = json.NewDecoder(r.Body).Decode(&q)
					id := q.GetLeg()
					if r.Method == http.MethodGet {
						id = r.Header.Get("Toucan-Leg")
					}
					target.setActive(c)
					serve(c, id, n)
					target.setActive(c)
				}
			})
		}
	})
	t.Cleanup(func() { l.Close(); conns.Wait() })
	return target
}

// Guards against a second answer that is taken for the answer to a later leg or health
// request, whatever its status and delay, with and without its id and that of the later one.
func TestSecondAnswerAnswersNoLaterRequest(t *testing.T) {
	statuses := map[string]string{"success": "", "refusal": refused, "failure": "500 X", "conflict": "409 X"}
	ids := map[string][2]bool{"ids": {}, "second without id": {false, true}, "first without id": {true, false}, "no ids": {true, true}}
	for firstName, first := range statuses {
		for secondName, second := range statuses {
			for idName, noID := range ids {
				t.Run(firstName+", "+secondName+", "+idName, func(t *testing.T) {
					t.Parallel()
					testSecondAnswers(t, answer{first, noID[0]}, answer{second, noID[1]})
				})
			}
		}
	}
}

// testSecondAnswers sends legs and health requests to a target that answers in turn with
// first and with a success, each with a second answer some time later.
func testSecondAnswers(t *testing.T, first, second answer) {
	var requests, secondAnswers atomic.Int64
	var target *answeringTarget
	target = newAnsweringTarget(t, func(c net.Conn, id string, _ int) {
		n := requests.Add(1)
		a := first
		if n%2 == 0 {
			a.status = ""
		}
		if a.status == refused {
			target.refused.Store(id, true)
		}
		<-time.After(time.Duration(n%3) * time.Millisecond)
		fmt.Fprint(c, a.format(id))
		time.AfterFunc(time.Duration(n%5)*500*time.Microsecond, func() {
			if _, err := fmt.Fprint(c, second.format(id)); err == nil {
				secondAnswers.Add(1)
			}
		})
	})
	var client toucanexchange.Client
	defer client.Close()
	var callers sync.WaitGroup
	var done atomic.Int64
	for caller := range 3 {
		callers.Go(func() {
			for i := range 12 {
				if caller == 0 && i%3 == 0 {
					if response, err := client.Health(t.Context(), target.address, 2); err == nil {
						requireHealthID(t, response.BootID)
					}
					continue
				}
				query := fmt.Sprint("q", caller, "-", i)
				response, err := client.Do(t.Context(), request(target.address, leg(query)))
				if response.BootID != "" && !strings.HasPrefix(response.BootID, query+"/") {
					t.Errorf("leg of %s has the header fields of %s", query, response.BootID)
				}
				if err == nil {
					done.Add(1)
					continue
				}
				if toucanfault.As(err).Outcome == notRun && response.MaybeSent && !target.hasRefused(query) {
					t.Errorf("leg of %s was not refused: %v", query, err)
				}
			}
		})
	}
	callers.Wait()
	require.Positive(t, done.Load())
	require.Positive(t, secondAnswers.Load())
	require.LessOrEqual(t, target.peak(), 2)
}

func requireHealthID(t *testing.T, id string) {
	if !strings.HasPrefix(id, "health/") {
		t.Errorf("health request has the header fields of %s", id)
	}
}

func (a *answeringTarget) hasRefused(query string) bool {
	found := false
	a.refused.Range(func(id, _ any) bool {
		found = strings.HasPrefix(id.(string), query+"/")
		return !found
	})
	return found
}

// Guards against true refusals that are lost, and legs that fail, because their target
// leaves out the id, and against more connections than allowed to such a target.
func TestTargetWithoutIDsGetsOneRequestForEachConnection(t *testing.T) {
	for name, a := range map[string]answer{"success": {noID: true}, "refusal": {status: refused, noID: true}} {
		t.Run(name, func(t *testing.T) {
			target := newAnsweringTarget(t, func(c net.Conn, id string, nth int) {
				if nth > 1 {
					t.Errorf("connection has carried a request before %s", id)
				}
				fmt.Fprint(c, a.format(id))
			})
			var client toucanexchange.Client
			defer client.Close()
			var callers sync.WaitGroup
			for caller := range 6 {
				callers.Go(func() {
					for i := range 10 {
						if i == 5 {
							if _, err := client.Health(t.Context(), target.address, 2); err != nil {
								t.Errorf("health: %v", err)
							}
						}
						_, err := client.Do(t.Context(), request(target.address, leg(fmt.Sprint("q", caller, "-", i))))
						if f := toucanfault.As(err); a.status == "" && f != nil || a.status != "" && (f == nil || f.Outcome != notRun) {
							t.Errorf("leg: %v", err)
						}
					}
				})
			}
			callers.Wait()
			require.EqualValues(t, 66, target.accepted.Load())
			require.LessOrEqual(t, target.peak(), 2)
		})
	}
}

// Guards against refusals that all end as unknown at a target that leaves the id out of
// refusals only.
func TestRefusalsWithoutIDAreKnownAfterTheFirst(t *testing.T) {
	var requests atomic.Int64
	target := newAnsweringTarget(t, func(c net.Conn, id string, _ int) {
		if requests.Add(1) == 1 {
			fmt.Fprint(c, answer{}.format(id))
			return
		}
		fmt.Fprint(c, answer{status: refused, noID: true}.format(id))
	})
	var client toucanexchange.Client
	defer client.Close()
	_, err := client.Do(t.Context(), request(target.address, leg("q1")))
	require.NoError(t, err)
	response, err := client.Do(t.Context(), request(target.address, leg("q2")))
	requireFault(t, err, toucanpb.Code_CODE_INVALID, unknown)
	require.Empty(t, response.BootID)
	for _, query := range []string{"q3", "q4", "q5"} {
		_, err := client.Do(t.Context(), request(target.address, leg(query)))
		requireFault(t, err, toucanpb.Code_CODE_REFUSED, notRun)
	}
}

// Guards against a waiting leg that is lost with the connection of a response without a
// body that may belong to another leg.
func TestWaitingLegDoesNotGetConnectionOfUnprovenResponse(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nToucan-Refused: 1\r\nContent-Length: 0\r\n"
	for name, header := range map[string]string{"other id": "Toucan-Leg: other\r\n", "no id": ""} {
		t.Run(name, func(t *testing.T) {
			secondArrived, thirdWaits := make(chan struct{}), make(chan struct{})
			target := newAnsweringTarget(t, func(c net.Conn, id string, _ int) {
				if !strings.HasPrefix(id, "q2/") {
					fmt.Fprint(c, answer{}.format(id))
					return
				}
				close(secondArrived)
				<-thirdWaits
				fmt.Fprint(c, refusal+header+"\r\n")
			})
			var client toucanexchange.Client
			defer client.Close()
			do := func(query string) error {
				r := request(target.address, leg(query))
				r.MaxConnections = 1
				_, err := client.Do(t.Context(), r)
				return err
			}
			require.NoError(t, do("q1"))
			second, third := make(chan error, 1), make(chan error, 1)
			go func() { second <- do("q2") }()
			<-secondArrived
			go func() { third <- do("q3") }()
			// The third leg waits for the only connection; nothing shows when it has begun to.
			time.AfterFunc(20*time.Millisecond, func() { close(thirdWaits) })
			requireFault(t, <-second, toucanpb.Code_CODE_INVALID, unknown)
			require.NoError(t, <-third)
			require.Equal(t, 1, target.peak())
		})
	}
}

// Guards against a connection for each health request to a target that returns their ids,
// and against such a connection that a leg shares if it does not.
func TestHealthSharesConnectionOnlyWithID(t *testing.T) {
	for name, c := range map[string]struct {
		noID     bool
		accepted int64
	}{"with id": {false, 2}, "without id": {true, 8}} {
		t.Run(name, func(t *testing.T) {
			target := newAnsweringTarget(t, func(conn net.Conn, id string, nth int) {
				health := strings.HasPrefix(id, "health/")
				if c.noID && health && nth > 1 {
					t.Errorf("connection has carried a request before %s", id)
				}
				fmt.Fprint(conn, answer{noID: health && c.noID}.format(id))
			})
			var client toucanexchange.Client
			defer client.Close()
			for i := range 4 {
				_, err := client.Do(t.Context(), request(target.address, leg(fmt.Sprint("q", i))))
				require.NoError(t, err)
				response, err := client.Health(t.Context(), target.address, 2)
				require.NoError(t, err)
				requireHealthID(t, response.BootID)
			}
			require.Equal(t, c.accepted, target.accepted.Load())
		})
	}
}

// Guards against more connections than allowed when callers go away while theirs is dialed.
func TestCancelledLegsKeepLimitOfConnections(t *testing.T) {
	target := newAnsweringTarget(t, func(c net.Conn, id string, _ int) {
		<-time.After(200 * time.Microsecond)
		fmt.Fprint(c, answer{noID: strings.Contains(id, "/extra")}.format(id))
	})
	var client toucanexchange.Client
	defer client.Close()
	var callers sync.WaitGroup
	for caller := range 8 {
		callers.Go(func() {
			for i := range 60 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i*10)*time.Microsecond)
				l := leg(fmt.Sprint("q", caller, "-", i))
				l.Extra = i > 30
				_, _ = client.Do(ctx, request(target.address, l))
				cancel()
			}
		})
	}
	callers.Wait()
	require.LessOrEqual(t, target.peak(), 2)
	_, err := client.Do(t.Context(), request(target.address, leg("last")))
	require.NoError(t, err, "no slot is lost")
}

// Guards against a body that is taken as whole although another response is a part of it.
func TestSecondAnswerIsNoPartOfABody(t *testing.T) {
	whole := answer{}.format("q/3/r/1")
	head, body, _ := strings.Cut(whole, "\r\n\r\n")
	noLength := strings.Replace(head, fmt.Sprintf("Content-Length: %d\r\n", len(body)), "", 1)
	for i := range len(body) + 1 {
		responses := map[string]string{"no length": noLength + "\r\n\r\n" + body[:i] + whole}
		if i < len(body) {
			responses["cut short"] = head + "\r\n\r\n" + body[:i] + whole
		}
		for name, response := range responses {
			target := newAnsweringTarget(t, func(c net.Conn, _ string, _ int) {
				fmt.Fprint(c, response)
				c.Close()
			})
			var client toucanexchange.Client
			_, err := client.Do(t.Context(), request(target.address, leg("q")))
			require.Error(t, err, "%s after %d bytes", name, i)
			require.Equal(t, unknown, toucanfault.As(err).Outcome)
			client.Close()
		}
	}
}
