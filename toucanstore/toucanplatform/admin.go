package toucanplatform

import (
	"context"
	"io"
	"net/http"
	"time"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanspec"
)

func (s *Server) routeAdmin(mux *http.ServeMux, onAdminListener bool) {
	mux.HandleFunc("GET /admin/counts", s.handleAdmin(func(context.Context, []byte) (any, error) { return s.Counts(), nil }))
	mux.HandleFunc("PUT /admin/hosts", s.handleAdmin(s.setHosts))
	mux.HandleFunc("GET /admin/fault", s.handleAdmin(func(context.Context, []byte) (any, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.fault, nil
	}))
	mux.HandleFunc("PUT /admin/fault", s.handleAdmin(func(ctx context.Context, body []byte) (any, error) {
		var f Fault
		if err := decodeJSON(body, &f); err != nil {
			return nil, err
		}
		if f.Down == "refuse" && !onAdminListener {
			return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID,
				`down "refuse" closes this listener; use the admin address`)
		}
		return f, s.setFault(ctx, f)
	}))
}

func (s *Server) handleAdmin(handle func(context.Context, []byte) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeError(w, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "reading the request body").Because(err))
			return
		}
		reply, err := handle(r.Context(), body)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, reply)
	}
}

// Counts returns the number of calls so far and the store's revision.
func (s *Server) Counts() Counts {
	_, revision := s.Store.List("")
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Revision = revision
	return c
}

// setFault replaces the fault switches. They are in effect when it returns. An
// unknown Down is an error with CODE_INVALID; CODE_DOWN means that the data
// listener did not reopen.
func (s *Server) setFault(ctx context.Context, f Fault) error {
	if f.Down != "" && f.Down != "refuse" && f.Down != "hang" {
		return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, `down must be "refuse", "hang" or empty`)
	}
	if f.ExpireLease != "" {
		s.Store.ExpireLease(f.ExpireLease)
		f.ExpireLease = ""
	}
	s.Store.SetReadLag(time.Duration(f.ReadLag))
	s.mu.Lock()
	s.fault = f
	if f.Down != "hang" && s.resumed != nil {
		close(s.resumed)
		s.resumed = nil
	}
	if f.Down == "hang" && s.resumed == nil {
		s.resumed = make(chan struct{})
	}
	up := s.dataServer != nil
	s.mu.Unlock()
	if f.Down == "refuse" {
		s.closeData()
		return nil
	}
	if !up {
		return s.startData(ctx)
	}
	return nil
}

func (s *Server) setHosts(_ context.Context, body []byte) (any, error) {
	var q struct {
		Hosts []*toucanpb.HostStatus `json:"hosts"`
		Lag   *toucanspec.Duration   `json:"lag"` // unchanged if absent
	}
	if err := decodeJSON(body, &q); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Lag != nil {
		s.hostLag = time.Duration(*q.Lag)
	}
	if q.Hosts != nil {
		s.hostLists = append(s.hostLists, hostList{time.Now(), q.Hosts})
	}
	return struct{}{}, nil
}
