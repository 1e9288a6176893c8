// Package toucangroup serves many stand-in replicas in one process, with their
// administration.
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

const bodyLimit = 1 << 20

// Group is a set of replicas. Create it with New.
type Group struct {
	targets map[string]*toucansimulator.Target
	order   []string
	began   time.Time
	log     *zap.Logger
}

// Addresses is the line that the process prints on start.
type Addresses struct {
	Admin    string            `json:"admin"`
	Replicas map[string]string `json:"replicas"` // by id
}

// New returns a rack of the given replicas; log may be nil.
func New(specs []toucanspec.Replica, library *toucancorpus.Corpus, seed uint64, log *zap.Logger) (*Group, error) {
	if log == nil {
		log = zap.NewNop()
	}
	r := &Group{targets: map[string]*toucansimulator.Target{}, began: time.Now(), log: log}
	for _, s := range specs {
		if s.ID == "" || s.Service == "" || r.targets[s.ID] != nil {
			return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID,
				"replica "+s.ID+" has no id or service, or is named twice")
		}
		r.targets[s.ID] = toucansimulator.New(s, library, seed, r.began, log)
		r.order = append(r.order, s.ID)
	}
	return r, nil
}

// Start listens for all replicas and the administration on ports of the
// kernel's choice. The channel reports the end after ctx is done.
func (r *Group) Start(ctx context.Context) (Addresses, <-chan error, error) {
	a := Addresses{Replicas: map[string]string{}}
	ctx, cancel := context.WithCancel(ctx)
	var ends []<-chan error
	var config net.ListenConfig
	for _, id := range r.order {
		l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			cancel()
			return a, nil, toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "listening for "+id).Because(err)
		}
		a.Replicas[id] = l.Addr().String()
		ends = append(ends, r.targets[id].Serve(ctx, l))
	}
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return a, nil, toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "listening for administration").Because(err)
	}
	a.Admin = l.Addr().String()
	server := &http.Server{Handler: r.admin(), ReadHeaderTimeout: 10 * time.Second}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		var all []error
		for _, end := range ends {
			all = append(all, <-end)
		}
		all = append(all, server.Close())
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			all = append(all, err)
		}
		cancel()
		done <- errors.Join(all...)
	}()
	return a, done, nil
}

func (r *Group) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/ledger", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(r.Ledger()); err != nil {
			r.log.Warn("ledger not sent", zap.Error(err))
		}
	})
	mux.HandleFunc("PUT /admin/replica/{id...}", func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, bodyLimit))
		if err == nil {
			err = r.Update(q.PathValue("id"), body)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	return mux
}

// Ledger returns what all replicas received.
func (r *Group) Ledger() toucanspec.Ledger {
	l := toucanspec.Ledger{Replicas: map[string]toucanspec.Record{}}
	for id, t := range r.targets {
		l.Replicas[id] = t.Record()
	}
	l.Now = toucanspec.Duration(time.Since(r.began))
	return l
}

// Update changes the behaviour of one replica, or of all when id is "*".
func (r *Group) Update(id string, body []byte) error {
	if id == "*" {
		for _, i := range r.order {
			if err := r.targets[i].Update(body); err != nil {
				return err
			}
		}
		return nil
	}
	t := r.targets[id]
	if t == nil {
		return toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, "no replica "+id)
	}
	return t.Update(body)
}
