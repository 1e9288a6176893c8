package toucanexchange_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	sdk "go.opentelemetry.io/otel/sdk/trace"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanexchange"
)

const (
	notRun  = toucanpb.Outcome_OUTCOME_NOTRUN
	unknown = toucanpb.Outcome_OUTCOME_UNKNOWN
)

func leg(query string) *toucanpb.Leg {
	return &toucanpb.Leg{QueryId: query, Service: "letters", Shard: 3, Route: "find", Limit: 2, Index: 7, Replica: "r"}
}

func request(address string, l *toucanpb.Leg) toucanexchange.Request {
	return toucanexchange.Request{Address: address, MaxConnections: 2, Leg: l}
}

func respond(leg string, shard, index int) string {
	return fmt.Sprintf(`{"leg":%q,"shard":%d,"index":"%d","items":[{"id":"a","score":1.5}]}`, leg, shard, index)
}

func requireFault(t *testing.T, err error, c toucanpb.Code, o toucanpb.Outcome) {
	t.Helper()
	f := toucanfault.As(err)
	require.NotNil(t, f)
	require.Equal(t, c.String()+o.String(), f.Code.String()+f.Outcome.String(), "%v", err)
}

// Guards against accepting a response that is wrong in a single respect.
func TestDoRejectsWrongResponses(t *testing.T) {
	invalid, version := toucanpb.Code_CODE_INVALID, toucanpb.Code_CODE_VERSION
	for name, c := range map[string]struct {
		code    toucanpb.Code
		outcome toucanpb.Outcome
		serve   func(w http.ResponseWriter, id string)
	}{
		"valid":     {0, 0, func(w http.ResponseWriter, id string) { fmt.Fprint(w, respond(id, 3, 7)) }},
		"garbage":   {invalid, unknown, func(w http.ResponseWriter, _ string) { fmt.Fprint(w, "\x00{]") }},
		"trailing":  {invalid, unknown, func(w http.ResponseWriter, id string) { fmt.Fprint(w, respond(id, 3, 7)+"{}") }},
		"leg":       {invalid, unknown, func(w http.ResponseWriter, _ string) { fmt.Fprint(w, respond("other", 3, 7)) }},
		"shard":     {invalid, unknown, func(w http.ResponseWriter, id string) { fmt.Fprint(w, respond(id, 4, 7)) }},
		"index":     {version, unknown, func(w http.ResponseWriter, id string) { fmt.Fprint(w, respond(id, 3, 8)) }},
		"conflict":  {version, unknown, func(w http.ResponseWriter, _ string) { w.WriteHeader(http.StatusConflict) }},
		"failed":    {toucanpb.Code_CODE_FAILED, unknown, func(w http.ResponseWriter, _ string) { w.WriteHeader(http.StatusInternalServerError) }},
		"busy":      {toucanpb.Code_CODE_FAILED, unknown, func(w http.ResponseWriter, _ string) { w.WriteHeader(http.StatusServiceUnavailable) }},
		"oversized": {invalid, unknown, func(w http.ResponseWriter, id string) { fmt.Fprint(w, strings.Repeat(" ", 5<<20)+respond(id, 3, 7)) }},
		"truncated": {invalid, unknown, func(w http.ResponseWriter, id string) {
			w.Header().Set("Content-Length", "9999")
			fmt.Fprint(w, respond(id, 3, 7))
		}},
		"refused": {toucanpb.Code_CODE_REFUSED, notRun, func(w http.ResponseWriter, _ string) {
			w.Header().Set("Toucan-Refused", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var q toucanpb.TargetQuery
				_ = json.NewDecoder(r.Body).Decode(&q)
				w.Header().Set("Toucan-Boot", "b1")
				w.Header().Set("Toucan-Versions", "6, 7")
				c.serve(w, q.GetLeg())
			}))
			defer s.Close()
			var client toucanexchange.Client
			defer client.Close()
			response, err := client.Do(t.Context(), request(s.Listener.Addr().String(), leg("q")))
			require.Equal(t, "b1", response.BootID)
			require.Equal(t, []uint64{6, 7}, response.IndexVersions)
			if c.code == 0 {
				require.NoError(t, err)
				require.Len(t, response.Items, 1)
				return
			}
			requireFault(t, err, c.code, c.outcome)
		})
	}
}

// Guards against a response that never ends and keeps its slot occupied.
func TestDoTimesOutOnEndlessResponse(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			fmt.Fprint(w, " ")
			_ = http.NewResponseController(w).Flush()
		}
	}))
	defer s.Close()
	var client toucanexchange.Client
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Do(ctx, request(s.Listener.Addr().String(), leg("q")))
	requireFault(t, err, toucanpb.Code_CODE_TIMEOUT, unknown)
}

// rawTarget starts a TCP server that calls serve for each HTTP request, with the
// request's number over all connections and its leg id. The returned function closes
// the server and waits until every connection opened before was read to its end.
func rawTarget(t *testing.T, serve func(c net.Conn, n int64, id string)) (string, func()) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	var requests atomic.Int64
	var open sync.WaitGroup
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			open.Go(func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					var q toucanpb.TargetQuery
					_ = json.NewDecoder(r.Body).Decode(&q)
					serve(c, requests.Add(1), q.GetLeg())
				}
			})
		}
	}()
	return l.Addr().String(), func() {
		// Connections are accepted in order, so a response on the last one shows that all
		// others were accepted.
		last := toucanexchange.Client{}
		_, err := last.Do(t.Context(), request(l.Addr().String(), leg("last")))
		require.NoError(t, err)
		last.Close()
		l.Close()
		<-accepted
		open.Wait()
	}
}

// receivedQueries records the ids of the queries whose legs a target has read. The zero
// value is ready to use.
type receivedQueries struct {
	mu  sync.Mutex
	ids []string
}

func (r *receivedQueries) add(legID string) {
	query, _, _ := strings.Cut(legID, "/")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids = append(r.ids, query)
}

// requireNone fails if the target has read a leg of one of the queries.
func (r *receivedQueries) requireNone(t *testing.T, queries []string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, query := range queries {
		require.NotContains(t, r.ids, query)
	}
}

func write(w io.Writer, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Guards against a response that is delivered to another request, because it came
// late or as a second response on the same connection, and against a request that is
// reported as not run although the target read it. A second response that arrives
// between the choice of the connection and the first byte of the next request ends that
// request before it is sent, so it is correctly reported as not run.
func TestDoRejectsResponsesToOtherRequests(t *testing.T) {
	var received receivedQueries
	lateIDs := make(chan string, 100)
	address, waitClosed := rawTarget(t, func(c net.Conn, n int64, id string) {
		received.add(id)
		if strings.HasPrefix(id, "last/") { // from waitClosed
			write(c, respond(id, 3, 7))
			return
		}
		switch n % 3 {
		case 0: // late: the response is sent with a later request
			lateIDs <- id
		case 1: // duplicate: two responses to one request
			write(c, respond(id, 3, 7))
			write(c, respond("crossed", 3, 7))
		default:
			select {
			case lateID := <-lateIDs:
				write(c, respond(lateID, 3, 7))
			default:
			}
			write(c, respond(id, 3, 7))
		}
	})
	var client toucanexchange.Client
	defer client.Close()
	valid := 0
	var notRunQueries []string
	for i := range 60 {
		query := fmt.Sprint("q", i)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		response, err := client.Do(ctx, request(address, leg(query)))
		cancel()
		if err != nil {
			f := toucanfault.As(err)
			if f.Outcome == notRun {
				require.False(t, response.MaybeSent)
				notRunQueries = append(notRunQueries, query)
				continue
			}
			require.Equal(t, unknown, f.Outcome)
			continue
		}
		valid++
		require.Len(t, response.Items, 1)
	}
	require.Greater(t, valid, 15)
	client.Close()
	waitClosed()
	received.requireNone(t, notRunQueries)
}

// Guards against a leg that is reported as not run because of a late copy of a refusal.
func TestLateCopyOfRefusalDoesNotRefuseLaterLeg(t *testing.T) {
	refuse := func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nToucan-Refused: 1\r\nToucan-Leg: %s\r\nContent-Length: 0\r\n\r\n", id)
	}
	for name, query := range map[string]string{"of another query": "q2", "of the same query": "q1"} {
		t.Run(name, func(t *testing.T) {
			var refused atomic.Pointer[string]
			address, _ := rawTarget(t, func(c net.Conn, _ int64, id string) {
				if earlier := refused.Swap(&id); earlier != nil {
					refuse(c, *earlier) // the copy
					write(c, respond(id, 3, 7))
					return
				}
				refuse(c, id)
			})
			var client toucanexchange.Client
			defer client.Close()
			_, err := client.Do(t.Context(), request(address, leg("q1")))
			requireFault(t, err, toucanpb.Code_CODE_REFUSED, notRun)
			l := leg(query)
			l.Once, l.Key = true, "k"
			_, err = client.Do(t.Context(), request(address, l))
			requireFault(t, err, toucanpb.Code_CODE_INVALID, unknown)
		})
	}
}

// Guards against the same for a target that does not return the id of the leg.
func TestLateCopyOfRefusalWithoutLegDoesNotRefuseLaterLeg(t *testing.T) {
	skipKnownFailure(t)
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nToucan-Refused: 1\r\nContent-Length: 0\r\n\r\n"
	var refusedOn net.Conn
	address, _ := rawTarget(t, func(c net.Conn, n int64, id string) {
		if n == 1 {
			refusedOn = c
		}
		if c == refusedOn {
			fmt.Fprint(c, refusal) // from the second request on the copy
		}
		if n > 1 {
			write(c, respond(id, 3, 7))
		}
	})
	var client toucanexchange.Client
	defer client.Close()
	_, err := client.Do(t.Context(), request(address, leg("q1")))
	requireFault(t, err, toucanpb.Code_CODE_REFUSED, notRun)
	l := leg("q2")
	l.Once, l.Key = true, "k"
	_, err = client.Do(t.Context(), request(address, l))
	if err != nil {
		require.NotEqual(t, notRun, toucanfault.As(err).Outcome, "%v", err)
	}
}

// Guards against a leg that is lost with the connection of a response to another leg.
func TestLegDoesNotShareConnectionOfMisattributedResponse(t *testing.T) {
	refuse := func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nToucan-Refused: 1\r\nToucan-Leg: %s\r\nContent-Length: 8\r\n\r\nrefused\n", id)
	}
	var refused atomic.Pointer[string]
	secondArrived, thirdWaits := make(chan struct{}), make(chan struct{})
	address, _ := rawTarget(t, func(c net.Conn, n int64, id string) {
		switch n {
		case 1:
			refused.Store(&id)
			refuse(c, id)
		case 2:
			close(secondArrived)
			<-thirdWaits
			refuse(c, *refused.Load()) // the copy
		default:
			write(c, respond(id, 3, 7))
		}
	})
	var client toucanexchange.Client
	defer client.Close()
	do := func(query string) error {
		r := request(address, leg(query))
		r.MaxConnections = 1
		_, err := client.Do(t.Context(), r)
		return err
	}
	requireFault(t, do("q1"), toucanpb.Code_CODE_REFUSED, notRun)
	second, third := make(chan error, 1), make(chan error, 1)
	go func() { second <- do("q2") }()
	<-secondArrived
	go func() { third <- do("q3") }()
	// The third leg waits for the only connection; nothing shows when it has begun to.
	time.AfterFunc(20*time.Millisecond, func() { close(thirdWaits) })
	requireFault(t, <-second, toucanpb.Code_CODE_INVALID, unknown)
	require.NoError(t, <-third)
}

// Guards against net/http retrying a request when a kept-alive connection breaks
// after the request was written.
func TestBrokenConnectionDoesNotRetry(t *testing.T) {
	var requests atomic.Int64
	address, _ := rawTarget(t, func(c net.Conn, n int64, id string) {
		requests.Add(1)
		if n%2 == 0 {
			c.Close()
			return
		}
		write(c, respond(id, 3, 7))
	})
	var client toucanexchange.Client
	defer client.Close()
	l := leg("q")
	l.Once, l.Key = true, "k"
	for i := range 20 {
		_, err := client.Do(t.Context(), request(address, l))
		if i%2 == 0 {
			require.NoError(t, err)
			continue
		}
		requireFault(t, err, toucanpb.Code_CODE_DOWN, unknown)
	}
	require.EqualValues(t, 20, requests.Load())
}

// Guards against a request that is reported as not run although it reached the target.
func TestNotRunRequestsNeverReachTarget(t *testing.T) {
	var received receivedQueries
	address, waitClosed := rawTarget(t, func(c net.Conn, _ int64, id string) {
		received.add(id)
		write(c, respond(id, 3, 7))
	})
	var client toucanexchange.Client
	defer client.Close()
	noLease := request(address, leg("lost"))
	noLease.MaySend = func() bool { return false }
	_, err := client.Do(t.Context(), noLease)
	requireFault(t, err, toucanpb.Code_CODE_LEASE, notRun)
	notRunQueries := []string{noLease.Leg.GetQueryId()}

	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l.Close()
	_, err = client.Do(t.Context(), request(l.Addr().String(), leg("closed")))
	requireFault(t, err, toucanpb.Code_CODE_DOWN, notRun)

	// A request cancelled at any moment must not be reported as not run if the target
	// reads it, then or later.
	for i := range 300 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*time.Microsecond)
		q := fmt.Sprint("q", i)
		_, err := client.Do(ctx, request(address, leg(q)))
		cancel()
		if f := toucanfault.As(err); f != nil && f.Outcome == notRun {
			notRunQueries = append(notRunQueries, q)
		}
	}
	require.Greater(t, len(notRunQueries), 1)
	client.Close()
	waitClosed()
	received.requireNone(t, notRunQueries)
}

// Guards against a slot that is released while the target still works on a cancelled
// request.
func TestDoReturnsAfterTargetStopped(t *testing.T) {
	var active atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		active.Add(1)
		defer active.Add(-1)
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		<-time.After(30 * time.Millisecond)
	}))
	defer s.Close()
	var client toucanexchange.Client
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Do(ctx, request(s.Listener.Addr().String(), leg("q")))
	requireFault(t, err, toucanpb.Code_CODE_TIMEOUT, unknown)
	require.Zero(t, active.Load())
}

// Guards against requests to targets that are missing from their trace, and against an
// idempotency key that is sent in the header Idempotency-Key, by which net/http treats a
// POST as safe to retry.
func TestDoSendsTraceparent(t *testing.T) {
	previous := otel.GetTracerProvider()
	defer otel.SetTracerProvider(previous)
	otel.SetTracerProvider(sdk.NewTracerProvider())
	var header atomic.Value
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { header.Store(r.Header.Clone()) }))
	defer s.Close()
	var client toucanexchange.Client
	defer client.Close()
	ctx, span := otel.Tracer("test").Start(t.Context(), "parent")
	defer span.End()
	l := leg("q")
	l.Key = "k"
	_, _ = client.Do(ctx, request(s.Listener.Addr().String(), l))
	h := header.Load().(http.Header)
	require.Contains(t, h.Get("traceparent"), span.SpanContext().TraceID().String())
	require.NotContains(t, h.Get("traceparent"), span.SpanContext().SpanID().String())
	require.Equal(t, "k", h.Get("Toucan-Key"))
	require.Empty(t, h.Get("Idempotency-Key"))
}
