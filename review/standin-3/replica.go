package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that a server got.
type arrival struct {
	ID      string
	Version string
	At      time.Time
	Ran     bool // the server began to work on it
	Status  int  // of its answer; 0: none
}

// answer is how a server answers a request.
type answer struct {
	Status int
	Work   time.Duration
}

// server is a stand-in for a replica. Its exported fields are set before Start.
type server struct {
	ID, Service, Zone, Version string
	Slots                      int
	// Answer decides how a request is answered; nil: 200 after 5 ms.
	Answer func(r *http.Request) answer

	store   *store
	log     *record
	address string

	mu       sync.Mutex
	up       bool
	born     int64
	draining bool
	http     *http.Server
	arrivals []*arrival
	running  int
	sequence int
	stamps   int
	stopBeat chan struct{}
}

const beatInterval = time.Second

// Start starts the server, on a free port.
func (s *server) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.address, s.up, s.born, s.draining, s.sequence = l.Addr().String(), true, time.Now().UnixMilli(), false, 0
	s.stopBeat = make(chan struct{})
	if s.Slots == 0 {
		s.Slots = 4
	}
	h := &http.Server{Handler: s, IdleTimeout: 20 * time.Second}
	s.http = h
	stop := s.stopBeat
	s.mu.Unlock()
	go func() { _ = h.Serve(l) }()
	s.beat()
	go func() {
		tick := time.NewTicker(beatInterval)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				s.beat()
			}
		}
	}()
	s.log.Add(s.ID, "started at %s, version %s", s.address, s.Version)
	return nil
}

func (s *server) beat() {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": s.Service, "address": s.address, "zone": s.Zone, "version": s.Version, "slots": s.Slots, "state": state,
		"warmup_left_ms": 0, "sequence": s.sequence, "born": s.born,
	}
	s.mu.Unlock()
	s.store.Put("servers/"+s.ID, entry)
}

// Stop ends the process after its requests and removes its entry.
func (s *server) Stop() {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	close(s.stopBeat)
	h := s.http
	s.mu.Unlock()
	s.store.Remove("servers/" + s.ID)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_ = h.Shutdown(ctx)
	s.log.Add(s.ID, "stopped")
}

// Drain reports that the server leaves.
func (s *server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.beat()
	s.log.Add(s.ID, "draining")
}

func (s *server) isUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up
}

// Arrivals returns the requests that the server got.
func (s *server) Arrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]arrival, len(s.arrivals))
	for i, a := range s.arrivals {
		out[i] = *a
	}
	return out
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now, id := time.Now(), r.Header.Get("Request-Id")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.ID {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.ID)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	a := &arrival{ID: id, Version: s.Version, At: now}
	s.arrivals = append(s.arrivals, a)
	full := s.running >= 4*s.Slots
	if !full {
		s.running++
		a.Ran = true
	}
	load := fmt.Sprintf("%d,%d,%d", min(s.running, s.Slots), max(0, s.running-s.Slots), s.Slots)
	s.stamps++
	stamp := fmt.Sprintf("%s.%d.%s", s.ID, s.stamps, id)
	s.mu.Unlock()
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Load", load)
	w.Header().Set("Keep-Alive", "timeout=20")
	if full {
		s.log.Add(s.ID, "%s rejected, full", id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	how := answer{http.StatusOK, 5 * time.Millisecond}
	if s.Answer != nil {
		how = s.Answer(r)
	}
	s.log.Add(s.ID, "%s runs (%s %s, %d bytes), answer %d", id, r.Method, r.URL.Path, len(body), how.Status)
	time.Sleep(how.Work)
	s.mu.Lock()
	s.running--
	up := s.up
	if up {
		a.Status = how.Status
	}
	s.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Stamp", stamp)
	text := "answer " + stamp
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(how.Status)
	_, _ = io.WriteString(w, text)
}
