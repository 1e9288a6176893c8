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

func (s *Server) routeAdmin(mux *http.ServeMux, separate bool) {
	mux.HandleFunc("GET /admin/counts", s.admin(func(context.Context, []byte) (any, error) { return s.Counts(), nil }))
	mux.HandleFunc("PUT /admin/hosts", s.admin(s.setHosts))
	mux.HandleFunc("GET /admin/fault", s.admin(func(context.Context, []byte) (any, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.fault, nil
	}))
	mux.HandleFunc("PUT /admin/fault", s.admin(func(ctx context.Context, body []byte) (any, error) {
		var f Fault
		if err := decode(body, &f); err != nil {
			return nil, err
		}
		if f.Down == "refuse" && !separate {
			return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID,
				"refusing connections ends this listener; use the admin address")
		}
		return f, s.setFault(ctx, f)
	}))
}

func (s *Server) admin(handle func(context.Context, []byte) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
		if err != nil {
			writeFault(w, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "request body").Because(err))
			return
		}
		reply, err := handle(r.Context(), body)
		if err != nil {
			writeFault(w, err)
			return
		}
		writeJSON(w, http.StatusOK, reply)
	}
}

// Counts returns the calls so far.
func (s *Server) Counts() Counts {
	_, revision := s.Store.List("")
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Revision = revision
	return c
}

// setFault puts fault switches into effect before it returns.
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
	up := s.data != nil
	s.mu.Unlock()
	if f.Down == "refuse" {
		s.close()
		return nil
	}
	if !up {
		return s.open(ctx)
	}
	return nil
}

func (s *Server) setHosts(_ context.Context, body []byte) (any, error) {
	var q struct {
		Hosts []*toucanpb.HostStatus `json:"hosts"`
		Lag   *toucanspec.Duration   `json:"lag"` // unchanged when absent
	}
	if err := decode(body, &q); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Lag != nil {
		s.lag = time.Duration(*q.Lag)
	}
	if q.Hosts != nil {
		s.hosts = append(s.hosts, listed{time.Now(), q.Hosts})
	}
	return struct{}{}, nil
}
