// Package toucanops is the operators' HTTP listener.
package toucanops

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucancatalog"
)

const (
	headerTimeout = 2 * time.Second
	readTimeout   = 5 * time.Second
	// writeTimeout leaves time for a CPU profile of 30 s.
	writeTimeout = 90 * time.Second
	maxHeader    = 16 << 10 // bytes
)

type keeper interface {
	Catalog() *toucancatalog.Catalog
}

type member interface {
	Self() *toucanpb.Member
	LeaseHeld() bool
}

type drainer interface {
	Stopping() bool
	Phase() string
	Queries() int64
	Legs() int64
}

// part gives one field of the state page; the result is encoded as JSON.
type part interface {
	State() any
}

// Server serves operators. Its fields are set before use and not changed; the
// host is not ready without a Keeper and a Member.
type Server struct {
	Zone             toucanzone.Name
	CatalogSource    keeper
	Membership       member
	Drainer          drainer              // may be nil
	ConfigurationAge func() time.Duration // since the configuration was last confirmed as newest; may be nil
	Pprof            bool                 // serve /debug/pprof
	Log              *zap.Logger

	// Parts of the state page; each may be nil.
	View, Configuration, Rollouts, Inventory part
}

// Serve accepts operators on l until ctx ends, and then reports on the channel
// why it ended; nil at the end of ctx.
func (s *Server) Serve(ctx context.Context, l net.Listener) <-chan error {
	h := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          zap.NewStdLog(s.log()),
	}
	end := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { _ = h.Close() })
	go func() {
		defer stop()
		err := h.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		end <- err
	}()
	return end
}

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		s.write(w, http.StatusOK, liveness{true})
	})
	m.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		why := s.why()
		status := http.StatusOK
		if len(why) > 0 {
			status = http.StatusServiceUnavailable
		}
		s.write(w, status, readiness{len(why) == 0, why})
	})
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
	})
	m.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		s.write(w, http.StatusOK, s.state())
	})
	if s.Pprof {
		m.HandleFunc("/debug/pprof/", pprof.Index)
		m.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
		m.HandleFunc("/debug/pprof/profile", pprof.Profile)
		m.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
		m.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return m
}

// why returns the reasons for which the host is not ready; none when it is.
func (s *Server) why() []string {
	out := []string{}
	c := s.catalog()
	if c == nil {
		out = append(out, "no configuration is in effect")
	} else if c.ZoneOutOfService(s.Zone) {
		out = append(out, "zone "+string(s.Zone)+" is out of service")
	}
	if s.Membership == nil || !s.Membership.LeaseHeld() {
		out = append(out, "the host holds no lease")
	}
	if s.Drainer != nil && s.Drainer.Stopping() {
		out = append(out, "the host is stopping")
	}
	return out
}

type liveness struct {
	Live bool `json:"live"`
}

type readiness struct {
	Ready bool     `json:"ready"`
	Why   []string `json:"why"` // reasons for which the host is not ready
}

type page struct {
	Host          string          `json:"host"`
	Zone          toucanzone.Name `json:"zone"`
	Revision      uint64          `json:"revision"` // 0: no configuration
	Age           *float64        `json:"age"`      // seconds
	Lease         bool            `json:"lease"`
	Phase         string          `json:"phase"`
	Queries       int64           `json:"queries"`
	Legs          int64           `json:"legs"`
	Why           []string        `json:"why"`
	View          any             `json:"view"`
	Configuration any             `json:"configuration"`
	Moves         any             `json:"moves"`
	Inventory     any             `json:"inventory"`
}

func (s *Server) state() page {
	p := page{
		Zone: s.Zone, Why: s.why(),
		View: stateOf(s.View), Configuration: stateOf(s.Configuration), Moves: stateOf(s.Rollouts), Inventory: stateOf(s.Inventory),
	}
	if c := s.catalog(); c != nil {
		p.Revision = c.Revision()
		if s.ConfigurationAge != nil {
			age := s.ConfigurationAge().Seconds()
			p.Age = &age
		}
	}
	if s.Membership != nil {
		p.Host, p.Lease = s.Membership.Self().GetId(), s.Membership.LeaseHeld()
	}
	if s.Drainer != nil {
		p.Phase, p.Queries, p.Legs = s.Drainer.Phase(), s.Drainer.Queries(), s.Drainer.Legs()
	}
	return p
}

func stateOf(p part) any {
	if p == nil {
		return nil
	}
	return p.State()
}

func (s *Server) catalog() *toucancatalog.Catalog {
	if s.CatalogSource == nil {
		return nil
	}
	return s.CatalogSource.Catalog()
}

func (s *Server) write(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		s.log().Error("encoding a page", zap.Error(err))
		http.Error(w, "the page cannot be encoded: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n')) // an operator that is gone has no other channel
}

func (s *Server) log() *zap.Logger {
	if s.Log == nil {
		return zap.NewNop()
	}
	return s.Log
}
