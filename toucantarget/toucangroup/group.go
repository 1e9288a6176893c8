// Package toucangroup serves many simulated replicas in one process, with an
// admin API that changes them and reads the ledger.
package toucangroup

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanspec"
	"toucanstair.example/toucantarget/toucancorpus"
	"toucanstair.example/toucantarget/toucansimulator"
)

const maxBodyBytes = 1 << 20

// Group is a set of simulated replicas. Create it with New.
type Group struct {
	targets map[string]*toucansimulator.Target
	ids     []string // of the replicas, in the order of their specs
	started time.Time
	log     *zap.Logger
}

// Addresses holds host:port addresses; the process prints it as one line of
// JSON when it has started.
type Addresses struct {
	Admin    string            `json:"admin"`
	Replicas map[string]string `json:"replicas"` // by replica id
}

// New returns a group of the given replicas; a nil log discards everything. A
// replica without id or service, or with the id of another one, is an error
// with CODE_INVALID.
func New(specs []toucanspec.Replica, corpus *toucancorpus.Corpus, seed uint64, log *zap.Logger) (*Group, error) {
	if log == nil {
		log = zap.NewNop()
	}
	g := &Group{targets: map[string]*toucansimulator.Target{}, started: time.Now(), log: log}
	for _, s := range specs {
		if s.ID == "" || s.Service == "" || g.targets[s.ID] != nil {
			return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID,
				"replica "+s.ID+" has no id or service, or its id is used twice")
		}
		g.targets[s.ID] = toucansimulator.New(s, corpus, seed, g.started, log)
		g.ids = append(g.ids, s.ID)
	}
	return g, nil
}

// Start listens on a free local port for each replica and for the admin API. An
// error has CODE_DOWN. After ctx is done, the channel receives one value when
// all servers have stopped.
func (g *Group) Start(ctx context.Context) (Addresses, <-chan error, error) {
	a := Addresses{Replicas: map[string]string{}}
	ctx, cancel := context.WithCancel(ctx)
	var targetsDone []<-chan error
	var config net.ListenConfig
	for _, id := range g.ids {
		l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			cancel()
			return a, nil, toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "listening for replica "+id).Because(err)
		}
		a.Replicas[id] = l.Addr().String()
		targetsDone = append(targetsDone, g.targets[id].Serve(ctx, l))
	}
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return a, nil, toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "listening for the admin API").Because(err)
	}
	a.Admin = l.Addr().String()
	server := &http.Server{Handler: g.adminHandler(), ReadHeaderTimeout: 10 * time.Second}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		var errs []error
		for _, targetDone := range targetsDone {
			errs = append(errs, <-targetDone)
		}
		errs = append(errs, server.Close())
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			errs = append(errs, err)
		}
		cancel()
		done <- errors.Join(errs...)
	}()
	return a, done, nil
}

func (g *Group) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/ledger", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(g.Ledger()); err != nil {
			g.log.Warn("ledger not sent to the admin caller", zap.Error(err))
		}
	})
	mux.HandleFunc("PUT /admin/replica/{id...}", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err == nil {
			err = g.Update(r.PathValue("id"), body)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	return mux
}

// Ledger returns a copy of the records of all replicas.
func (g *Group) Ledger() toucanspec.Ledger {
	l := toucanspec.Ledger{Replicas: map[string]toucanspec.Record{}}
	for id, t := range g.targets {
		l.Replicas[id] = t.Record()
	}
	l.Now = toucanspec.Duration(time.Since(g.started))
	return l
}

// Update applies Target.Update to one replica, or to all if id is "*", where it
// stops at the first error. An unknown id is an error with CODE_UNKNOWN.
func (g *Group) Update(id string, body []byte) error {
	if id == "*" {
		for _, replicaID := range g.ids {
			if err := g.targets[replicaID].Update(body); err != nil {
				return err
			}
		}
		return nil
	}
	t := g.targets[id]
	if t == nil {
		return toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, "no replica "+id)
	}
	return t.Update(body)
}
