package toucansimulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protojson"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanspec"
	"toucanstair.example/core/toucantimer"
)

const (
	maxBodyBytes = 1 << 20
	// Bytes of each chunk of an endless response and the pause between chunks;
	// together they keep it to about 1 MB/s.
	endlessChunkSize = 4 << 10
	endlessInterval  = 4 * time.Millisecond
)

// lastResponse keeps the last response body of a connection, which a crossed
// response sends again.
type lastResponse struct {
	mu   sync.Mutex
	body []byte
}

type lastResponseKey struct{}

// Serve runs the replica's HTTP server on l until ctx is done. Legs in flight
// then have one second to finish. The channel receives one value when the
// server has stopped, nil after an orderly shutdown.
func (t *Target) Serve(ctx context.Context, l net.Listener) <-chan error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /search", func(w http.ResponseWriter, r *http.Request) { t.serveLeg(w, r, false) })
	mux.HandleFunc("POST /run", func(w http.ResponseWriter, r *http.Request) { t.serveLeg(w, r, true) })
	mux.HandleFunc("GET /health", t.serveHealth)
	mux.HandleFunc("GET /load", t.serveLoad)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, lastResponseKey{}, &lastResponse{})
		},
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(t.LimitListener(l)) }()
	done := make(chan error, 1)
	go func() {
		select {
		case err := <-served:
			done <- err
			return
		case <-ctx.Done():
		}
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		if err := server.Shutdown(shutdownCtx); err != nil {
			t.log.Debug("legs aborted at shutdown", zap.Error(err), zap.NamedError("close", server.Close()))
		}
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			done <- err
			return
		}
		done <- nil
	}()
	return done
}

// serveLeg serves a leg sent to /search or, if once is true, to /run.
func (t *Target) serveLeg(w http.ResponseWriter, r *http.Request, once bool) {
	q, err := t.readQuery(w, r)
	if err != nil {
		t.setHeaders(w)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l := t.admit(q, r.Header.Get("Toucan-Key"), once)
	switch l.status {
	case http.StatusOK:
		t.runLeg(w, r, l)
	case http.StatusServiceUnavailable:
		t.finishLeg(func(c *toucanspec.Record) { c.Refused++ })
		w.Header().Set("Toucan-Refused", "1")
		t.reject(w, l.status, "refused before running")
	case http.StatusConflict:
		t.finishLeg(func(c *toucanspec.Record) { c.IndexMisses++ })
		t.reject(w, l.status, fmt.Sprintf("index version %d is not served", q.GetIndex()))
	default:
		t.failAfterCrash(w, r)
	}
}

func (t *Target) readQuery(w http.ResponseWriter, r *http.Request) (*toucanpb.TargetQuery, error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "reading the request body").Because(err)
	}
	// protojson accepts 64-bit integers both as JSON numbers and as strings.
	q := &toucanpb.TargetQuery{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(b, q); err != nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "decoding the request body").Because(err)
	}
	w.Header().Set("Toucan-Leg", q.GetLeg())
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.GetService() != t.spec.Service || q.GetShard() != t.spec.Shard {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN,
			fmt.Sprintf("this is shard %d of %s", t.spec.Shard, t.spec.Service))
	}
	return q, nil
}

// runLeg waits for the work time of a leg and responds. The leg is finished
// before the response is written, because the caller may reuse the slot as soon
// as it has the response.
func (t *Target) runLeg(w http.ResponseWriter, r *http.Request, l leg) {
	left := timeLeft(r)
	if !toucantimer.Wait(r.Context(), min(l.work, left)) {
		t.finishLeg(func(c *toucanspec.Record) { c.Cancelled++ })
		return
	}
	if l.work > left {
		t.finishLeg(func(c *toucanspec.Record) { c.Failed++ })
		t.reject(w, http.StatusGatewayTimeout, "deadline passed")
		return
	}
	if _, up := t.crashState(); !up {
		t.failAfterCrash(w, r)
		return
	}
	if l.fail {
		t.finishLeg(func(c *toucanspec.Record) { c.Failed++ })
		t.reject(w, http.StatusInternalServerError, "failed")
		return
	}
	body, err := json.Marshal(t.result(l))
	if err != nil {
		t.finishLeg(func(c *toucanspec.Record) { c.Failed++ })
		t.reject(w, http.StatusInternalServerError, err.Error())
		return
	}
	t.finishLeg(func(c *toucanspec.Record) {
		c.Done++
		if l.response != responseOK {
			c.BadResponses++
		}
	})
	if l.response == responseLate {
		t.waitPastDeadline(r, left-l.work)
	}
	t.setHeaders(w)
	w.Header().Set("Content-Type", "application/json")
	t.writeResponse(w, r, l.response, body)
}

func (t *Target) result(l leg) *toucanpb.TargetAnswer {
	q := l.query
	a := &toucanpb.TargetAnswer{Leg: q.GetLeg(), Shard: q.GetShard(), Index: q.GetIndex()}
	if l.once {
		a.Items = []*toucanpb.Item{{
			Id: "run-" + l.key, Score: 1,
			Text: l.query.GetQuery() + " " + toucanspec.ItemSuffix(q.GetService(), q.GetShard(), q.GetIndex()),
		}}
		return a
	}
	a.Items = t.corpus.Search(q.GetService(), q.GetShard(), q.GetIndex(), q.GetQuery(), q.GetLimit())
	return a
}

// writeResponse writes body, or the bad response of the given kind instead.
func (t *Target) writeResponse(w http.ResponseWriter, r *http.Request, kind responseKind, body []byte) {
	previous, _ := r.Context().Value(lastResponseKey{}).(*lastResponse)
	previous.mu.Lock()
	last := previous.body
	previous.body = body
	previous.mu.Unlock()
	switch kind {
	case responseCrossed:
		if last != nil {
			body = last
		}
	case responseGarbage:
		body = []byte("%%% not JSON")
	case responseTruncated:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		body = body[:len(body)/2]
	case responseEndless:
		body = body[:len(body)-1]
	}
	if _, err := w.Write(body); err != nil {
		return
	}
	if kind != responseEndless {
		return
	}
	chunk := []byte(strings.Repeat(" ", endlessChunkSize))
	for toucantimer.Wait(r.Context(), endlessInterval) {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

// waitPastDeadline waits until the delay of late responses after the deadline,
// even if the caller has disconnected. The time left until the deadline is left.
func (t *Target) waitPastDeadline(r *http.Request, left time.Duration) {
	t.mu.Lock()
	delay := time.Duration(t.spec.BadResponses.Delay)
	t.mu.Unlock()
	if delay == 0 {
		delay = defaultLateDelay
	}
	toucantimer.Wait(context.WithoutCancel(r.Context()), left+delay)
}

// failAfterCrash holds a leg until the end of the crash and then fails it.
func (t *Target) failAfterCrash(w http.ResponseWriter, r *http.Request) {
	end, _ := t.crashState()
	if !toucantimer.Wait(r.Context(), time.Until(end)) {
		t.finishLeg(func(c *toucanspec.Record) { c.Cancelled++ })
		return
	}
	t.finishLeg(func(c *toucanspec.Record) { c.Failed++ })
	t.reject(w, http.StatusInternalServerError, "overloaded in cold start")
}

func (t *Target) reject(w http.ResponseWriter, status int, detail string) {
	t.setHeaders(w)
	http.Error(w, detail, status)
}

func (t *Target) setHeaders(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	h := w.Header()
	h.Set("Toucan-Boot", t.bootID())
	state := t.state(now)
	t.recordColdReport(now, state)
	h.Set("Toucan-State", state)
	h.Set("Toucan-Versions", formatVersions(t.indexes(now)))
	h.Set("Toucan-Load", strconv.Itoa(t.record.InFlight))
}

func (t *Target) serveHealth(w http.ResponseWriter, r *http.Request) {
	s := t.laggedHealth()
	t.mu.Lock()
	boot := t.bootID()
	t.recordColdReport(time.Now(), s.state)
	t.mu.Unlock()
	h := w.Header()
	if id := r.Header.Get("Toucan-Leg"); id != "" {
		h.Set("Toucan-Leg", id)
	}
	h.Set("Toucan-Boot", boot)
	h.Set("Toucan-State", s.state)
	h.Set("Toucan-Versions", formatVersions(s.indexes))
	h.Set("Toucan-Load", strconv.Itoa(s.load))
	writeJSON(w, map[string]any{"boot": boot, "state": s.state, "versions": s.indexes, "load": s.load})
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, map[string]int{"load": t.laggedHealth().load})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func formatVersions(indexes []uint64) string {
	parts := make([]string, len(indexes))
	for i, v := range indexes {
		parts[i] = strconv.FormatUint(v, 10)
	}
	return strings.Join(parts, ",")
}

// timeLeft returns the time until the deadline in the request's
// Toucan-Deadline header (milliseconds), or an hour without a valid header.
func timeLeft(r *http.Request) time.Duration {
	left, err := strconv.ParseFloat(r.Header.Get("Toucan-Deadline"), 64)
	if err != nil {
		return time.Hour
	}
	return time.Duration(left * float64(time.Millisecond))
}
