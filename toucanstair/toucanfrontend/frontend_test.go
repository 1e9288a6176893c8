package toucanfrontend_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucancatalog"
	"toucanstair.example/toucanstair/toucandrain"
	"toucanstair.example/toucanstair/toucanfrontend"
)

const path = "/v1/search"

type fakeBackend struct {
	catalog *toucancatalog.Catalog
	search  func(ctx context.Context, q *toucanpb.Query) (*toucanpb.Answer, error)
	calls   atomic.Int64
}

func (f *fakeBackend) Catalog() *toucancatalog.Catalog { return f.catalog }

func (f *fakeBackend) Search(ctx context.Context, request string, q *toucanpb.Query) (*toucanpb.Answer, error) {
	f.calls.Add(1)
	if f.search != nil {
		return f.search(ctx, q)
	}
	return &toucanpb.Answer{Request: request, Coverage: &toucanpb.Coverage{Asked: 1}}, nil
}

func newFrontend() (*toucanfrontend.Frontend, *fakeBackend) {
	f := &fakeBackend{catalog: toucancatalog.New(&toucanpb.Rules{Zones: []*toucanpb.Zone{{Name: "sierra"}, {Name: "costa", Out: true}}})}
	return &toucanfrontend.Frontend{Zone: "sierra", Coordinator: f, Configuration: f, Drainer: &toucandrain.Drainer{}}, f
}

func serveRequest(h http.Handler, method, target, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
	return w
}

func requireRefusal(t *testing.T, w *httptest.ResponseRecorder, status int, code, outcome, detail string) {
	t.Helper()
	require.Equal(t, status, w.Code, w.Body.String())
	var r struct {
		Error struct{ Code, Outcome, Detail, Request string }
	}
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &r))
	require.Equal(t, code, r.Error.Code)
	require.Equal(t, outcome, r.Error.Outcome)
	require.Contains(t, r.Error.Detail, detail)
	require.Len(t, r.Error.Request, 32)
	require.Equal(t, r.Error.Request, w.Header().Get("X-Request-Id"))
}

// Guards against malformed input that runs as a query other than intended, or is
// refused without a clear reason.
func TestRefusesMalformedInput(t *testing.T) {
	front, f := newFrontend()
	for body, detail := range map[string]string{
		``:                         "not a JSON object",
		`null`:                     "not a JSON object",
		`[{}]`:                     "not a JSON object",
		`{"service":"a"`:           "ends inside",
		`{"service":"a",}`:         "not valid JSON at byte 16",
		`{"service":"a"} {}`:       "data after",
		`{"service":"a"}x`:         "data after",
		`{"servce":"a"}`:           `unknown field "servce"`,
		`{"limit":"10"}`:           `field "limit" is a whole number from 0 to 1000, got string`,
		`{"limit":-1}`:             `field "limit" is a whole number`,
		`{"limit":1.5}`:            `field "limit" is a whole number`,
		`{"limit":99999999999999}`: `field "limit" is a whole number`,
		`{"timeout":50}`:           `field "timeout" is a text, got number`,
		"{\"query\":\"\xff\"}":     "UTF-8",
	} {
		requireRefusal(t, serveRequest(front.Handler(), http.MethodPost, path, body), http.StatusBadRequest, "invalid", "notrun", detail)
	}
	h := front.Handler()
	requireRefusal(t, serveRequest(h, http.MethodPost, path, `{"query":"`+strings.Repeat("a", 64<<10)+`"}`), http.StatusRequestEntityTooLarge, "invalid", "notrun", "65536 bytes")
	requireRefusal(t, serveRequest(h, http.MethodGet, path, ""), http.StatusMethodNotAllowed, "invalid", "notrun", "POST")
	requireRefusal(t, serveRequest(h, http.MethodPost, "/v1/other", ""), http.StatusNotFound, "unknown", "notrun", "/v1/search")
	require.Zero(t, f.calls.Load())
}

// Guards against a response without its zero fields, which a caller could not tell
// from fields that do not exist.
func TestResponseStatesZeroFields(t *testing.T) {
	front, _ := newFrontend()
	w := serveRequest(front.Handler(), http.MethodPost, path, `{"service":"a"}`)
	require.Equal(t, http.StatusOK, w.Code)
	require.JSONEq(t, `{"request":"`+w.Header().Get("X-Request-Id")+`","snapshot":{"index":0,"map":0},
		"coverage":{"asked":1,"answered":0,"missing":[]},"items":[]}`, w.Body.String())
}

// Guards against queries that run although the host must refuse them, and against a
// wrong status, code or outcome of a failure.
func TestRefusalStatusAndOutcome(t *testing.T) {
	front, f := newFrontend()
	refused := func(status int, code, outcome, detail string) {
		t.Helper()
		requireRefusal(t, serveRequest(front.Handler(), http.MethodPost, path, "{}"), status, code, outcome, detail)
	}
	fail := func(err error) {
		f.search = func(context.Context, *toucanpb.Query) (*toucanpb.Answer, error) { return nil, err }
	}
	fail(toucanfault.Unknown(toucanpb.Code_CODE_TIMEOUT, "late"))
	refused(http.StatusGatewayTimeout, "timeout", "unknown", "late")
	fail(toucanfault.NotRun(toucanpb.Code_CODE_STORE, "down"))
	refused(http.StatusServiceUnavailable, "store", "notrun", "down")
	fail(&toucanfault.Error{Code: toucanpb.Code_CODE_FAILED})
	refused(http.StatusBadGateway, "failed", "unknown", "")
	fail(io.EOF)
	refused(http.StatusInternalServerError, "internal", "unknown", "EOF")

	core, logs := observer.New(zap.ErrorLevel)
	front.Log = zap.New(core)
	f.search = func(context.Context, *toucanpb.Query) (*toucanpb.Answer, error) { panic("a defect") }
	refused(http.StatusInternalServerError, "internal", "unknown", "defect")
	require.Equal(t, 1, logs.FilterMessage("panic").Len())
	require.Zero(t, front.InFlight())

	calls := f.calls.Load()
	front.Zone = "costa"
	refused(http.StatusServiceUnavailable, "out", "notrun", "costa")
	f.catalog = nil
	refused(http.StatusServiceUnavailable, "config", "notrun", "no configuration")
	front, f = newFrontend()
	d := &toucandrain.Drainer{}
	require.NoError(t, d.Run(t.Context()))
	front.Drainer = d
	refused(http.StatusServiceUnavailable, "stopping", "notrun", "stopping")
	require.Equal(t, int64(5), calls)
	require.Zero(t, f.calls.Load())
	requireRefusal(t, serveRequest((&toucanfrontend.Frontend{}).Handler(), http.MethodPost, path, "{}"), http.StatusServiceUnavailable, "config", "notrun", "")
}

// Guards against a query without a span in the caller's trace, and against a request
// id that the caller chooses.
func TestQueryHasSpanAndOwnRequestID(t *testing.T) {
	front, _ := newFrontend()
	spans := tracetest.NewSpanRecorder()
	front.Tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)).Tracer("test")
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("{}"))
	r.Header.Set("X-Request-Id", "mine")
	r.Header.Set("Traceparent", "00-01000000000000000000000000000000-0200000000000000-01")
	front.Handler().ServeHTTP(w, r)
	require.Len(t, w.Header().Get("X-Request-Id"), 32)
	require.Len(t, spans.Ended(), 1)
	require.Equal(t, "01000000000000000000000000000000", spans.Ended()[0].SpanContext().TraceID().String())
}

// Guards against queueing of queries above the limit, which lowers goodput: of three
// times the limit, exactly the limit runs and the others are refused at once.
func TestBurstAboveLimitIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 100
		front, f := newFrontend()
		front.MaxInFlight = limit
		f.search = func(context.Context, *toucanpb.Query) (*toucanpb.Answer, error) {
			<-time.After(50 * time.Millisecond)
			return &toucanpb.Answer{}, nil
		}
		began := time.Now()
		var wg sync.WaitGroup
		var ran, refused, late atomic.Int64
		for range 3 * limit {
			wg.Go(func() {
				w := serveRequest(front.Handler(), http.MethodPost, path, "{}")
				switch {
				case w.Code == http.StatusOK:
					ran.Add(1)
				case w.Code == http.StatusServiceUnavailable && strings.Contains(w.Body.String(), `"outcome":"notrun"`):
					refused.Add(1)
					if time.Since(began) > 0 {
						late.Add(1)
					}
				}
			})
		}
		wg.Wait()
		require.Equal(t, int64(limit), ran.Load())
		require.Equal(t, int64(2*limit), refused.Load())
		require.Zero(t, late.Load())
		require.Equal(t, int64(limit), f.calls.Load())
		require.Zero(t, front.InFlight())
	})
}

// pipeListener is a listener of in-memory connections, which work in a synctest bubble.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-p; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (p pipeListener) Close() error   { close(p); return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipeListener) dial() net.Conn {
	a, b := net.Pipe()
	p <- b
	return a
}

// Guards against slow callers that hold connections or count as in flight, and against
// a read deadline that ends a long query.
func TestSlowCallersTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front, f := newFrontend()
		l := make(pipeListener)
		ctx, cancel := context.WithCancel(t.Context())
		end := front.Serve(ctx, l)
		send := func(text string) (string, time.Duration) {
			began := time.Now()
			c := l.dial()
			defer c.Close()
			go func() { _, _ = io.WriteString(c, text) }()
			out, _ := io.ReadAll(c)
			return string(out), time.Since(began)
		}
		_, took := send("POST /v1/search HTTP/1.1\r\nHost: a\r\nX-Slow: ")
		require.Equal(t, 2*time.Second, took)
		out, took := send("POST /v1/search HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{")
		require.Contains(t, out, "408")
		require.Contains(t, out, `"outcome":"notrun"`)
		require.Equal(t, 5*time.Second, took.Truncate(time.Second))
		out, _ = send("POST /v1/search HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("a", 32<<10) + "\r\n\r\n")
		require.Contains(t, out, "431")
		require.Zero(t, f.calls.Load())

		f.search = func(ctx context.Context, _ *toucanpb.Query) (*toucanpb.Answer, error) {
			select {
			case <-time.After(20 * time.Second):
			case <-ctx.Done():
				return nil, toucanfault.Unknown(toucanpb.Code_CODE_CANCELLED, "cancelled")
			}
			return &toucanpb.Answer{}, nil
		}
		out, _ = send("POST /v1/search HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}")
		require.Contains(t, out, "200 OK")
		cancel()
		require.NoError(t, <-end)
	})
}

// Guards against a query that runs on after its caller disconnected, and against a
// shutdown that interrupts the response of a running query.
func TestCallerDisconnectCancelsQueryAndShutdownCompletesResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front, f := newFrontend()
		d := &toucandrain.Drainer{Linger: 2 * time.Second, Grace: 30 * time.Second, CloseListener: front.Shutdown}
		front.Drainer = d
		cancelled := make(chan struct{})
		f.search = func(ctx context.Context, q *toucanpb.Query) (*toucanpb.Answer, error) {
			if q.GetService() == "cancel" {
				<-ctx.Done()
				close(cancelled)
				return nil, toucanfault.Unknown(toucanpb.Code_CODE_CANCELLED, "cancelled")
			}
			<-time.After(10 * time.Second)
			return &toucanpb.Answer{Request: "complete"}, nil
		}
		l := make(pipeListener)
		end := front.Serve(t.Context(), l)
		const head = "POST /v1/search HTTP/1.1\r\nHost: a\r\nContent-Length: "
		c := l.dial()
		_, err := io.WriteString(c, head+"20\r\n\r\n"+`{"service":"cancel"}`)
		require.NoError(t, err)
		synctest.Wait()
		c.Close()
		<-cancelled

		c = l.dial()
		_, err = io.WriteString(c, head+"2\r\n\r\n{}")
		require.NoError(t, err)
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- d.Run(t.Context()) }()
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		body, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		require.Contains(t, string(body), `"request":"complete"`)
		require.NoError(t, <-drained)
		require.NoError(t, <-end)
	})
}
