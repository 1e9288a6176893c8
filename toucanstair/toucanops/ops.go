// Package toucanops is the HTTP server for operators: health, readiness, metrics, state
// and profiles.
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
	// writeTimeout has to exceed the duration of a CPU profile, 30 s by default.
	writeTimeout   = 90 * time.Second
	maxHeaderBytes = 16 << 10
)

// catalogSource returns the configuration in effect, or nil if there is none;
// toucanconfig.Syncer is one.
type catalogSource interface {
	Catalog() *toucancatalog.Catalog
}

// membership returns the state of this host in its zone; toucanmembership.Manager is one.
type membership interface {
	Self() *toucanpb.Member
	LeaseHeld() bool
}

// drainer returns the state of a graceful shutdown; toucandrain.Drainer is one.
type drainer interface {
	Stopping() bool
	Phase() string
	Queries() int64
	Legs() int64
}

// stateProvider returns the value of one field of the state page, which is encoded as
// JSON.
type stateProvider interface {
	State() any
}

// Server is the HTTP server for operators. Exported fields must not change after the
// first use. Without CatalogSource or Membership the host is not ready.
type Server struct {
	Zone             toucanzone.Name
	CatalogSource    catalogSource        // may be nil
	Membership       membership           // may be nil
	Drainer          drainer              // may be nil
	ConfigurationAge func() time.Duration // time since the configuration was last confirmed to be the newest; may be nil
	Pprof            bool                 // serve /debug/pprof
	Log              *zap.Logger          // may be nil

	// Providers of fields of the state page; each may be nil.
	View, Configuration, Rollouts, Inventory stateProvider
}

// Serve serves on listener until ctx ends. The channel receives the error that ended it,
// or nil after the end of ctx.
func (s *Server) Serve(ctx context.Context, listener net.Listener) <-chan error {
	httpServer := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(s.logger()),
	}
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { _ = httpServer.Close() })
	go func() {
		defer stop()
		err := httpServer.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- err
	}()
	return done
}

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		s.writeJSON(w, http.StatusOK, liveness{true})
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		reasons := s.notReadyReasons()
		status := http.StatusOK
		if len(reasons) > 0 {
			status = http.StatusServiceUnavailable
		}
		s.writeJSON(w, status, readiness{len(reasons) == 0, reasons})
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		s.writeJSON(w, http.StatusOK, s.statePage())
	})
	if s.Pprof {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return mux
}

// notReadyReasons returns why the host is not ready. It is empty if the host is ready.
func (s *Server) notReadyReasons() []string {
	reasons := []string{}
	catalog := s.catalog()
	if catalog == nil {
		reasons = append(reasons, "no configuration is in effect")
	} else if catalog.ZoneOutOfService(s.Zone) {
		reasons = append(reasons, "zone "+string(s.Zone)+" is out of service")
	}
	if s.Membership == nil || !s.Membership.LeaseHeld() {
		reasons = append(reasons, "the host holds no lease")
	}
	if s.Drainer != nil && s.Drainer.Stopping() {
		reasons = append(reasons, "the host is stopping")
	}
	return reasons
}

// liveness is the response of GET /health.
type liveness struct {
	Live bool `json:"live"`
}

// readiness is the response of GET /ready.
type readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"why"` // why the host is not ready
}

// statePage is the response of GET /state.
type statePage struct {
	Host             string          `json:"host"`
	Zone             toucanzone.Name `json:"zone"`
	Revision         uint64          `json:"revision"` // 0 without a configuration
	ConfigurationAge *float64        `json:"age"`      // seconds
	LeaseHeld        bool            `json:"lease"`
	Phase            string          `json:"phase"`
	Queries          int64           `json:"queries"`
	Legs             int64           `json:"legs"`
	Reasons          []string        `json:"why"`
	View             any             `json:"view"`
	Configuration    any             `json:"configuration"`
	Rollouts         any             `json:"moves"`
	Inventory        any             `json:"inventory"`
}

func (s *Server) statePage() statePage {
	page := statePage{
		Zone: s.Zone, Reasons: s.notReadyReasons(),
		View: stateOf(s.View), Configuration: stateOf(s.Configuration), Rollouts: stateOf(s.Rollouts), Inventory: stateOf(s.Inventory),
	}
	if catalog := s.catalog(); catalog != nil {
		page.Revision = catalog.Revision()
		if s.ConfigurationAge != nil {
			age := s.ConfigurationAge().Seconds()
			page.ConfigurationAge = &age
		}
	}
	if s.Membership != nil {
		page.Host, page.LeaseHeld = s.Membership.Self().GetId(), s.Membership.LeaseHeld()
	}
	if s.Drainer != nil {
		page.Phase, page.Queries, page.Legs = s.Drainer.Phase(), s.Drainer.Queries(), s.Drainer.Legs()
	}
	return page
}

func stateOf(provider stateProvider) any {
	if provider == nil {
		return nil
	}
	return provider.State()
}

func (s *Server) catalog() *toucancatalog.Catalog {
	if s.CatalogSource == nil {
		return nil
	}
	return s.CatalogSource.Catalog()
}

func (s *Server) writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		s.logger().Error("cannot encode a response to an operator", zap.Error(err))
		http.Error(w, "cannot encode the response: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n')) // after an error the client is gone
}

func (s *Server) logger() *zap.Logger {
	if s.Log == nil {
		return zap.NewNop()
	}
	return s.Log
}
