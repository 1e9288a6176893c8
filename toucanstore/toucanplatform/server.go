// Package toucanplatform serves a simulation of the platform's APIs over HTTP:
// the key-value store, the host list, and an admin API for fault injection.
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
	// A value has up to 1 MiB, which is 1.4 MB in base64.
	maxBodyBytes = 2 << 20
	// After an outage the port can be in use for a moment as the local port of
	// an outgoing connection of another process.
	listenAttempts      = 50
	listenRetryInterval = 100 * time.Millisecond
)

// Server serves a store. The data listener serves all paths. The admin listener
// serves only /admin and stays reachable while the data listener is closed.
type Server struct {
	Store *toucankv.Store
	Log   *zap.Logger // nil discards everything

	mu        sync.Mutex
	fault     Fault
	resumed   chan struct{} // closed when "hang" ends; nil if it is off
	counts    Counts
	hostLists []hostList    // oldest first
	hostLag   time.Duration // how old the host list is that GET /v1/hosts returns

	address    string       // of the data listener
	dataServer *http.Server // nil while connections are refused
	dataServed chan error   // result of dataServer.Serve
	ended      chan error
}

// Fault holds the fault switches; PUT /admin/fault replaces all of them.
type Fault struct {
	Down         string              `json:"down,omitempty"`  // "refuse" closes the listener, "hang" holds calls until the fault is reset
	Delay        toucanspec.Duration `json:"delay,omitempty"` // added to each call
	DropReplies  int                 `json:"lose,omitempty"`  // remaining writes that take effect but get no reply
	DropRequests int                 `json:"drop,omitempty"`  // remaining writes that have no effect and get no reply
	ReadLag      toucanspec.Duration `json:"stale,omitempty"` // age of the state that reads and watches return
	ExpireLease  string              `json:"lapse,omitempty"` // id of a lease to expire now, or "*" for all; not stored
}

// Counts holds the number of calls since the start. A long poll counts as one
// watch.
type Counts struct {
	Reads    uint64 `json:"reads"`
	Writes   uint64 `json:"writes"`
	Watches  uint64 `json:"watches"`
	Revision uint64 `json:"revision"` // of the store, incremented by each change
	Hung     int    `json:"hung"`     // calls held at present by "hang"
}

type hostList struct {
	setAt time.Time
	hosts []*toucanpb.HostStatus
}

type callKind int

const (
	callRead callKind = iota
	callWrite
	callWatch
)

// Start listens on address for the data API and on a free local port for the
// admin API. It returns both addresses. After ctx is done, the channel receives
// one value when both servers have stopped. An error has CODE_DOWN.
func (s *Server) Start(ctx context.Context, address string) (data, admin string, ended <-chan error, err error) {
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	s.ended = make(chan error, 1)
	s.address = address
	if err := s.startData(ctx); err != nil {
		return "", "", nil, err
	}
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		s.closeData()
		return "", "", nil, listenError("127.0.0.1:0", err)
	}
	mux := http.NewServeMux()
	s.routeAdmin(mux, true)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	go func() {
		<-ctx.Done()
		s.closeData()
		s.Log.Debug("admin listener closed", zap.NamedError("result", server.Close()))
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			s.ended <- err
			return
		}
		s.ended <- nil
	}()
	return s.address, l.Addr().String(), s.ended, nil
}

// startData listens on s.address and serves the data API. If the port in
// s.address is 0, it is replaced by the chosen port.
func (s *Server) startData(ctx context.Context) error {
	var config net.ListenConfig
	var l net.Listener
	var err error
	for range listenAttempts {
		l, err = config.Listen(ctx, "tcp", s.address)
		if err == nil {
			break
		}
		if !toucantimer.Wait(ctx, listenRetryInterval) {
			break
		}
	}
	if err != nil {
		return listenError(s.address, err)
	}
	mux := http.NewServeMux()
	s.routeData(mux)
	s.routeAdmin(mux, false)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	served := make(chan error, 1)
	s.mu.Lock()
	s.address, s.dataServer, s.dataServed = l.Addr().String(), server, served
	s.mu.Unlock()
	go func() { served <- server.Serve(l) }()
	return nil
}

// closeData closes the data listener and its connections.
func (s *Server) closeData() {
	s.mu.Lock()
	server, served := s.dataServer, s.dataServed
	s.dataServer = nil
	s.mu.Unlock()
	if server == nil {
		return
	}
	err := server.Close()
	s.Log.Debug("data listener closed", zap.NamedError("close", err), zap.NamedError("serve", <-served))
}

func (s *Server) routeData(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/kv/{key...}", s.handleCall(callRead, s.get))
	mux.HandleFunc("PUT /v1/kv/{key...}", s.handleCall(callWrite, s.put))
	mux.HandleFunc("DELETE /v1/kv/{key...}", s.handleCall(callWrite, s.delete))
	mux.HandleFunc("GET /v1/list", s.handleCall(callRead, s.list))
	mux.HandleFunc("POST /v1/lease", s.handleCall(callWrite, s.grant))
	mux.HandleFunc("POST /v1/lease/{id}/renew", s.handleCall(callWrite, s.renew))
	mux.HandleFunc("GET /v1/watch", s.handleCall(callWatch, s.watch))
	mux.HandleFunc("GET /v1/hosts", s.handleCall(callRead, s.listHosts))
}

// handleCall returns a handler that counts the call and applies the fault
// switches. It reads the request body first: net/http detects that the client
// disconnected, and cancels the request's context, only after that.
func (s *Server) handleCall(k callKind, handle func(*http.Request, []byte) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeError(w, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "reading the request body").Because(err))
			return
		}
		dropReply, dropRequest, ok := s.admit(r.Context(), k)
		if !ok || dropRequest {
			abortConnection(w)
			return
		}
		reply, err := handle(r, body)
		if dropReply {
			abortConnection(w)
			return
		}
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, reply)
	}
}

// admit counts a call and waits as the fault switches require. If the caller
// disconnects meanwhile, ok is false and the call must have no effect.
func (s *Server) admit(ctx context.Context, k callKind) (dropReply, dropRequest, ok bool) {
	s.mu.Lock()
	switch k {
	case callRead:
		s.counts.Reads++
	case callWrite:
		s.counts.Writes++
	case callWatch:
		s.counts.Watches++
	}
	delay, resumed := time.Duration(s.fault.Delay), s.resumed
	s.mu.Unlock()
	if resumed != nil && !s.waitForResume(ctx, resumed) || !toucantimer.Wait(ctx, delay) {
		return false, false, false
	}
	if k != callWrite {
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

// waitForResume waits until "hang" is switched off, or returns false if the
// caller disconnects first.
func (s *Server) waitForResume(ctx context.Context, resumed <-chan struct{}) bool {
	s.addHung(1)
	defer s.addHung(-1)
	select {
	case <-ctx.Done():
		return false
	case <-resumed:
		return true
	}
}

func (s *Server) addHung(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Hung += n
}

func (s *Server) get(r *http.Request, _ []byte) (any, error) {
	key := r.PathValue("key")
	if e := s.Store.Get(key); e != nil {
		return e, nil
	}
	return nil, toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, "key "+key+" does not exist")
}

func (s *Server) put(r *http.Request, body []byte) (any, error) {
	var q struct {
		Value []byte `json:"value"`
		Prev  uint64 `json:"prev"`
		Lease string `json:"lease"`
	}
	if err := decodeJSON(body, &q); err != nil {
		return nil, err
	}
	revision, err := s.Store.Put(r.PathValue("key"), q.Value, q.Prev, q.Lease)
	return map[string]uint64{"revision": revision}, err
}

func (s *Server) delete(r *http.Request, _ []byte) (any, error) {
	prev, err := uintParam(r, "prev")
	if err != nil {
		return nil, err
	}
	revision, err := s.Store.Delete(r.PathValue("key"), prev)
	return map[string]uint64{"revision": revision}, err
}

type entriesReply struct {
	Entries  []*toucanpb.Entry `json:"entries"`
	Revision uint64            `json:"revision"`
}

func (s *Server) list(r *http.Request, _ []byte) (any, error) {
	found, revision := s.Store.List(r.URL.Query().Get("prefix"))
	return entriesReply{found, revision}, nil
}

func (s *Server) watch(r *http.Request, _ []byte) (any, error) {
	after, err := uintParam(r, "after")
	if err != nil {
		return nil, err
	}
	found, revision := s.Store.Watch(r.Context(), r.URL.Query().Get("prefix"), after)
	return entriesReply{found, revision}, nil
}

func (s *Server) grant(_ *http.Request, body []byte) (any, error) {
	var q struct {
		TTL toucanspec.Duration `json:"ttl"`
	}
	if err := decodeJSON(body, &q); err != nil {
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
	cutoff := time.Now().Add(-s.hostLag)
	for _, l := range s.hostLists {
		if !l.setAt.After(cutoff) {
			shown = l.hosts
		}
	}
	return map[string]any{"hosts": shown}, nil
}

func uintParam(r *http.Request, name string) (uint64, error) {
	v := r.URL.Query().Get(name)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "invalid query parameter "+name).Because(err)
	}
	return n, nil
}

func decodeJSON(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "decoding the request body").Because(err)
	}
	return nil
}

// abortConnection closes the connection without a reply.
func abortConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func writeJSON(w http.ResponseWriter, status int, reply any) {
	b, err := json.Marshal(reply)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte(`{"code":"internal"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(b); err != nil {
		abortConnection(w)
	}
}

func writeError(w http.ResponseWriter, err error) {
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

func listenError(address string, err error) error {
	return toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "listening on "+address).Because(err)
}
