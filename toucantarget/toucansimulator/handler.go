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
	bodyLimit = 1 << 20
	// The parts of an endless answer and the pause between them keep it to
	// about 1 MB/s.
	endlessPart  = 4 << 10
	endlessPause = 4 * time.Millisecond
)

// memory is the last answer sent on a connection, for crossed answers.
type memory struct {
	mu   sync.Mutex
	last []byte
}

type memoryKey struct{}

// Serve runs the replica's HTTP server on l until ctx is done and reports the
// end. Legs in progress get one second to end.
func (t *Target) Serve(ctx context.Context, l net.Listener) <-chan error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /search", func(w http.ResponseWriter, r *http.Request) { t.handle(w, r, false) })
	mux.HandleFunc("POST /run", func(w http.ResponseWriter, r *http.Request) { t.handle(w, r, true) })
	mux.HandleFunc("GET /health", t.health)
	mux.HandleFunc("GET /load", t.load)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, memoryKey{}, &memory{})
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
		limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		if err := server.Shutdown(limit); err != nil {
			t.log.Debug("legs interrupted", zap.Error(err), zap.NamedError("close", server.Close()))
		}
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			done <- err
			return
		}
		done <- nil
	}()
	return done
}

func (t *Target) handle(w http.ResponseWriter, r *http.Request, once bool) {
	q, err := t.read(w, r)
	if err != nil {
		t.headers(w)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l := t.arrive(q, r.Header.Get("Toucan-Key"), once)
	switch l.status {
	case http.StatusOK:
		t.work(w, r, l)
	case http.StatusServiceUnavailable:
		t.leave(func(c *toucanspec.Record) { c.Refused++ })
		w.Header().Set("Toucan-Refused", "1")
		t.reject(w, l.status, "refused before running")
	case http.StatusConflict:
		t.leave(func(c *toucanspec.Record) { c.IndexMisses++ })
		t.reject(w, l.status, fmt.Sprintf("index version %d is not served", q.GetIndex()))
	default:
		t.down(w, r)
	}
}

func (t *Target) read(w http.ResponseWriter, r *http.Request) (*toucanpb.TargetQuery, error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "body").Because(err)
	}
	// protojson takes 64-bit numbers both as numbers and as text.
	q := &toucanpb.TargetQuery{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(b, q); err != nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "body").Because(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.GetService() != t.spec.Service || q.GetShard() != t.spec.Shard {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN,
			fmt.Sprintf("this is shard %d of %s", t.spec.Shard, t.spec.Service))
	}
	return q, nil
}

// work runs a leg and answers it. The leg leaves before the answer is
// written, because the caller may use the slot again as soon as it has it.
func (t *Target) work(w http.ResponseWriter, r *http.Request, l leg) {
	rest := deadline(r)
	if !toucantimer.Wait(r.Context(), min(l.work, rest)) {
		t.leave(func(c *toucanspec.Record) { c.Cancelled++ })
		return
	}
	if l.work > rest {
		t.leave(func(c *toucanspec.Record) { c.Failed++ })
		t.reject(w, http.StatusGatewayTimeout, "deadline passed")
		return
	}
	if _, up := t.standing(); !up {
		t.down(w, r)
		return
	}
	if l.fail {
		t.leave(func(c *toucanspec.Record) { c.Failed++ })
		t.reject(w, http.StatusInternalServerError, "failed")
		return
	}
	body, err := json.Marshal(t.result(l))
	if err != nil {
		t.leave(func(c *toucanspec.Record) { c.Failed++ })
		t.reject(w, http.StatusInternalServerError, err.Error())
		return
	}
	t.leave(func(c *toucanspec.Record) {
		c.Done++
		if l.answer != answerGood {
			c.BadResponses++
		}
	})
	if l.answer == answerLate {
		t.late(r, rest-l.work)
	}
	t.headers(w)
	w.Header().Set("Content-Type", "application/json")
	t.answer(w, r, l.answer, body)
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
	a.Items = t.library.Search(q.GetService(), q.GetShard(), q.GetIndex(), q.GetQuery(), q.GetLimit())
	return a
}

// answer writes a body, or what the replica sends instead.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, kind answer, body []byte) {
	m, _ := r.Context().Value(memoryKey{}).(*memory)
	m.mu.Lock()
	last := m.last
	m.last = body
	m.mu.Unlock()
	switch kind {
	case answerCrossed:
		if last != nil {
			body = last
		}
	case answerGarbage:
		body = []byte("%%% not JSON")
	case answerTruncated:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		body = body[:len(body)/2]
	case answerEndless:
		body = body[:len(body)-1]
	}
	if _, err := w.Write(body); err != nil {
		return
	}
	if kind != answerEndless {
		return
	}
	part := []byte(strings.Repeat(" ", endlessPart))
	for toucantimer.Wait(r.Context(), endlessPause) {
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}

// late waits until after the deadline, even when the caller has gone.
func (t *Target) late(r *http.Request, rest time.Duration) {
	t.mu.Lock()
	delay := time.Duration(t.spec.BadResponses.Delay)
	t.mu.Unlock()
	if delay == 0 {
		delay = lateTime
	}
	toucantimer.Wait(context.WithoutCancel(r.Context()), rest+delay)
}

// down holds a leg until the end of the fall and fails it.
func (t *Target) down(w http.ResponseWriter, r *http.Request) {
	end, _ := t.standing()
	if !toucantimer.Wait(r.Context(), time.Until(end)) {
		t.leave(func(c *toucanspec.Record) { c.Cancelled++ })
		return
	}
	t.leave(func(c *toucanspec.Record) { c.Failed++ })
	t.reject(w, http.StatusInternalServerError, "overloaded in cold start")
}

func (t *Target) reject(w http.ResponseWriter, status int, detail string) {
	t.headers(w)
	http.Error(w, detail, status)
}

func (t *Target) headers(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	h := w.Header()
	h.Set("Toucan-Boot", t.boot())
	state := t.state(now)
	t.sign(now, state)
	h.Set("Toucan-State", state)
	h.Set("Toucan-Versions", list(t.indexes(now)))
	h.Set("Toucan-Load", strconv.Itoa(t.record.InFlight))
}

func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	s := t.reported()
	t.mu.Lock()
	boot := t.boot()
	t.sign(time.Now(), s.state)
	t.mu.Unlock()
	h := w.Header()
	h.Set("Toucan-Boot", boot)
	h.Set("Toucan-State", s.state)
	h.Set("Toucan-Versions", list(s.indexes))
	h.Set("Toucan-Load", strconv.Itoa(s.load))
	reply(w, map[string]any{"boot": boot, "state": s.state, "versions": s.indexes, "load": s.load})
}

func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	reply(w, map[string]int{"load": t.reported().load})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func list(indexes []uint64) string {
	parts := make([]string, len(indexes))
	for i, v := range indexes {
		parts[i] = strconv.FormatUint(v, 10)
	}
	return strings.Join(parts, ",")
}

// deadline is the time left by the request's header; without one it is an hour.
func deadline(r *http.Request) time.Duration {
	left, err := strconv.ParseFloat(r.Header.Get("Toucan-Deadline"), 64)
	if err != nil {
		return time.Hour
	}
	return time.Duration(left * float64(time.Millisecond))
}
