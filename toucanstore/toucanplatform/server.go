// Package toucanplatform serves the platform's interfaces over HTTP: the
// key-value store, the host list, and the administration of faults.
package toucanplatform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanspec"
	"toucanstair.example/core/toucantimer"
	"toucanstair.example/toucanstore/toucankv"
)

const (
	// A value of 1 MB is 1.4 MB in base64.
	bodyLimit = 2 << 20
	// After an outage the port can be held for a moment by an outgoing
	// connection of another process.
	listenTries = 50
	listenPause = 100 * time.Millisecond
)

// Server serves a store. Its data listener carries all paths; its admin
// listener carries only /admin and stays reachable while the data listener
// refuses connections.
type Server struct {
	Store *toucankv.Store
	Log   *zap.Logger // nil logs nothing

	mu      sync.Mutex
	fault   Fault
	resumed chan struct{} // closed when a hanging outage ends; nil otherwise
	counts  Counts
	hosts   []listed
	lag     time.Duration

	address string
	data    *http.Server // nil while connections are refused
	served  chan error   // end of data
	ended   chan error
}

// Fault is the set of fault switches; PUT /admin/fault replaces it whole.
type Fault struct {
	Down         string              `json:"down,omitempty"`  // "refuse" closes the listener, "hang" holds requests
	Delay        toucanspec.Duration `json:"delay,omitempty"` // before each call
	DropReplies  int                 `json:"lose,omitempty"`  // writes that take effect without a reply
	DropRequests int                 `json:"drop,omitempty"`  // writes that end without effect and reply
	ReadLag      toucanspec.Duration `json:"stale,omitempty"` // age of the state that reads and watches see
	ExpireLease  string              `json:"lapse,omitempty"` // lease to end now, or "*"; not kept
}

// Counts counts calls since the start; a long poll is one watch.
type Counts struct {
	Reads    uint64 `json:"reads"`
	Writes   uint64 `json:"writes"`
	Watches  uint64 `json:"watches"`
	Revision uint64 `json:"revision"` // of the store, one for each change that took effect
	Hung     int    `json:"hung"`     // calls that a hanging outage holds at present
}

type listed struct {
	at    time.Time
	hosts []*toucanpb.HostStatus
}

type kind int

const (
	kindRead kind = iota
	kindWrite
	kindWatch
)

// Start listens on address for data and on a port of the kernel's choice for
// administration. It returns both addresses and a channel that reports the end
// after ctx is done.
func (s *Server) Start(ctx context.Context, address string) (data, admin string, ended <-chan error, err error) {
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	s.ended = make(chan error, 1)
	s.address = address
	if err := s.open(ctx); err != nil {
		return "", "", nil, err
	}
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		s.close()
		return "", "", nil, listenFault("127.0.0.1:0", err)
	}
	mux := http.NewServeMux()
	s.routeAdmin(mux, true)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	go func() {
		<-ctx.Done()
		s.close()
		s.Log.Debug("admin listener closed", zap.NamedError("result", server.Close()))
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			s.ended <- err
			return
		}
		s.ended <- nil
	}()
	return s.address, l.Addr().String(), s.ended, nil
}

// open starts the data listener on s.address, which then names its port.
func (s *Server) open(ctx context.Context) error {
	var config net.ListenConfig
	var l net.Listener
	var err error
	for range listenTries {
		l, err = config.Listen(ctx, "tcp", s.address)
		if err == nil {
			break
		}
		if !toucantimer.Wait(ctx, listenPause) {
			break
		}
	}
	if err != nil {
		return listenFault(s.address, err)
	}
	mux := http.NewServeMux()
	s.routeData(mux)
	s.routeAdmin(mux, false)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	served := make(chan error, 1)
	s.mu.Lock()
	s.address, s.data, s.served = l.Addr().String(), server, served
	s.mu.Unlock()
	go func() { served <- server.Serve(l) }()
	return nil
}

// close ends the data listener and its connections.
func (s *Server) close() {
	s.mu.Lock()
	server, served := s.data, s.served
	s.data = nil
	s.mu.Unlock()
	if server == nil {
		return
	}
	err := server.Close()
	s.Log.Debug("data listener closed", zap.NamedError("close", err), zap.NamedError("serve", <-served))
}

func (s *Server) routeData(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/kv/{key...}", s.call(kindRead, s.get))
	mux.HandleFunc("PUT /v1/kv/{key...}", s.call(kindWrite, s.put))
	mux.HandleFunc("DELETE /v1/kv/{key...}", s.call(kindWrite, s.remove))
	mux.HandleFunc("GET /v1/list", s.call(kindRead, s.list))
	mux.HandleFunc("POST /v1/lease", s.call(kindWrite, s.grant))
	mux.HandleFunc("POST /v1/lease/{id}/renew", s.call(kindWrite, s.renew))
	mux.HandleFunc("GET /v1/watch", s.call(kindWatch, s.watch))
	mux.HandleFunc("GET /v1/hosts", s.call(kindRead, s.listHosts))
}

// call counts a request and applies the fault switches around its handler.
// The request's body is read first, so that the end of the connection cancels
// the request's context while it waits.
func (s *Server) call(k kind, handle func(*http.Request, []byte) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
		if err != nil {
			writeFault(w, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "request body").Because(err))
			return
		}
		lose, drop, ok := s.admit(r.Context(), k)
		if !ok || drop {
			hangUp(w)
			return
		}
		reply, err := handle(r, body)
		if lose {
			hangUp(w)
			return
		}
		if err != nil {
			writeFault(w, err)
			return
		}
		writeJSON(w, http.StatusOK, reply)
	}
}

// admit counts a call and waits as the faults say; ok is false when the caller
// has gone, and then the call must have no effect.
func (s *Server) admit(ctx context.Context, k kind) (lose, drop, ok bool) {
	s.mu.Lock()
	switch k {
	case kindRead:
		s.counts.Reads++
	case kindWrite:
		s.counts.Writes++
	case kindWatch:
		s.counts.Watches++
	}
	delay, resumed := time.Duration(s.fault.Delay), s.resumed
	s.mu.Unlock()
	if resumed != nil && !s.hang(ctx, resumed) || !toucantimer.Wait(ctx, delay) {
		return false, false, false
	}
	if k != kindWrite {
		return false, false, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.fault.DropRequests > 0:
		s.fault.DropRequests--
		return false, true, true
	case s.fault.DropReplies > 0:
		s.fault.DropReplies--
		return true, false, true
	}
	return false, false, true
}

// hang reports whether the outage ended before the caller went away.
func (s *Server) hang(ctx context.Context, resumed <-chan struct{}) bool {
	s.hung(1)
	defer s.hung(-1)
	select {
	case <-ctx.Done():
		return false
	case <-resumed:
		return true
	}
}

func (s *Server) hung(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Hung += n
}

func (s *Server) get(r *http.Request, _ []byte) (any, error) {
	key := r.PathValue("key")
	if e := s.Store.Get(key); e != nil {
		return e, nil
	}
	return nil, toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, "key "+key+" is absent")
}

func (s *Server) put(r *http.Request, body []byte) (any, error) {
	var q struct {
		Value []byte `json:"value"`
		Prev  uint64 `json:"prev"`
		Lease string `json:"lease"`
	}
	if err := decode(body, &q); err != nil {
		return nil, err
	}
	revision, err := s.Store.Put(r.PathValue("key"), q.Value, q.Prev, q.Lease)
	return map[string]uint64{"revision": revision}, err
}

func (s *Server) remove(r *http.Request, _ []byte) (any, error) {
	prev, err := number(r, "prev")
	if err != nil {
		return nil, err
	}
	revision, err := s.Store.Delete(r.PathValue("key"), prev)
	return map[string]uint64{"revision": revision}, err
}

type entries struct {
	Entries  []*toucanpb.Entry `json:"entries"`
	Revision uint64            `json:"revision"`
}

func (s *Server) list(r *http.Request, _ []byte) (any, error) {
	found, revision := s.Store.List(r.URL.Query().Get("prefix"))
	return entries{found, revision}, nil
}

func (s *Server) watch(r *http.Request, _ []byte) (any, error) {
	after, err := number(r, "after")
	if err != nil {
		return nil, err
	}
	found, revision := s.Store.Watch(r.Context(), r.URL.Query().Get("prefix"), after)
	return entries{found, revision}, nil
}

func (s *Server) grant(_ *http.Request, body []byte) (any, error) {
	var q struct {
		TTL toucanspec.Duration `json:"ttl"`
	}
	if err := decode(body, &q); err != nil {
		return nil, err
	}
	id, err := s.Store.Grant(time.Duration(q.TTL))
	return map[string]string{"lease": id}, err
}

func (s *Server) renew(r *http.Request, _ []byte) (any, error) {
	return struct{}{}, s.Store.Renew(r.PathValue("id"))
}

func (s *Server) listHosts(*http.Request, []byte) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shown := []*toucanpb.HostStatus{}
	until := time.Now().Add(-s.lag)
	for _, l := range s.hosts {
		if !l.at.After(until) {
			shown = l.hosts
		}
	}
	return map[string]any{"hosts": shown}, nil
}

func number(r *http.Request, name string) (uint64, error) {
	v := r.URL.Query().Get(name)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "parameter "+name).Because(err)
	}
	return n, nil
}

func decode(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "request body").Because(err)
	}
	return nil
}

// hangUp closes the connection without a reply.
func hangUp(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func writeJSON(w http.ResponseWriter, status int, reply any) {
	b, err := json.Marshal(reply)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte(`{"code":"internal"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(b); err != nil {
		hangUp(w)
	}
}

func writeFault(w http.ResponseWriter, err error) {
	f := toucanfault.As(err)
	if f == nil {
		f = &toucanfault.Error{Code: toucanpb.Code_CODE_INTERNAL, Cause: err}
	}
	status := http.StatusInternalServerError
	switch f.Code {
	case toucanpb.Code_CODE_CONFLICT:
		status = http.StatusConflict
	case toucanpb.Code_CODE_UNKNOWN:
		status = http.StatusNotFound
	case toucanpb.Code_CODE_INVALID:
		status = http.StatusBadRequest
	}
	writeJSON(w, status, map[string]string{"code": toucanfault.CodeName(f.Code), "detail": f.Detail})
}

func listenFault(address string, err error) error {
	return toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "listening on "+address).Because(err)
}
