package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const heartbeatInterval = 1200 * time.Millisecond

// replica is a server of a service. It listens at an address of its own.
type replica struct {
	id, service, zone, address string
	work                       time.Duration
	born                       atomic.Int64 // Unix milliseconds
	rec                        *record
	store                      *store
	version                    string
	slots                      int
	draining                   atomic.Bool
	bad                        float64 // share of its answers that are 500
	failing                    float64 // share of the requests that it runs and then answers with 503
	down                       atomic.Bool
	stopped                    atomic.Bool
	answers                    atomic.Int64
	running                    atomic.Int64
	server                     *http.Server
	// onRun is called when the replica begins to work on a request; it may be nil.
	onRun func(rep *replica, id string)
	// onAnswer is called with the status of each answer before it is sent; it may be nil.
	onAnswer func(rep *replica, id string, status int)
	// onArrival is called when a request for this replica arrives; it may be nil.
	onArrival func(rep *replica, id string)
	cold      atomic.Int64 // end of the cold time, Unix nanoseconds
	entries   sync.Mutex   // held while an entry is written
	sequence  int
}

// start listens and writes the entry at each heartbeat.
func (p *replica) start() error {
	if err := p.listen(); err != nil {
		return err
	}
	p.keepRegistered()
	return nil
}

// keepRegistered writes the entry at each heartbeat.
func (p *replica) keepRegistered() {
	go func() {
		for !p.stopped.Load() {
			if !p.down.Load() {
				p.writeEntry()
			}
			time.Sleep(heartbeatInterval)
		}
	}()
}

func (p *replica) listen() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.address, p.server = l.Addr().String(), &http.Server{Handler: p}
	p.born.Store(time.Now().UnixMilli())
	go func(s *http.Server) { _ = s.Serve(l) }(p.server)
	return nil
}

// crash ends the process of the replica: its connections are closed, and it writes no entry.
func (p *replica) crash() {
	p.down.Store(true)
	p.server.Close()
}

// leave ends the process of the replica for good and removes its entry.
func (p *replica) leave() {
	p.entries.Lock()
	p.stopped.Store(true)
	p.entries.Unlock()
	p.server.Close()
	p.store.remove("servers/" + p.id)
}

// restart starts the replica again under its id and at its address, cold. It writes its entry
// at once.
func (p *replica) restart(cold time.Duration) error {
	p.cold.Store(time.Now().Add(cold).UnixNano())
	p.entries.Lock()
	p.sequence = 0
	p.entries.Unlock()
	if err := p.listen(); err != nil {
		return err
	}
	p.down.Store(false)
	p.writeEntry()
	return nil
}

func (p *replica) started() time.Time   { return time.UnixMilli(p.born.Load()) }
func (p *replica) coldUntil() time.Time { return time.Unix(0, p.cold.Load()) }

// writeEntry writes the next heartbeat.
func (p *replica) writeEntry() {
	p.entries.Lock()
	defer p.entries.Unlock()
	p.sequence++
	if p.stopped.Load() {
		return
	}
	state := "ready"
	if p.draining.Load() {
		state = "draining"
	}
	p.store.put("servers/"+p.id, map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": p.version, "slots": p.slots, "state": state,
		"warmup_left_ms": max(0, time.Until(p.coldUntil()).Milliseconds()), "sequence": p.sequence, "born": p.born.Load(),
	})
}

// ServeHTTP answers one request or health check.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", p.id)
		w.Header().Set("Warmup-Milliseconds", strconv.FormatInt(max(0, time.Until(p.coldUntil()).Milliseconds()), 10))
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if p.onArrival != nil {
		p.onArrival(p, id)
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// A server knows of a closed connection only once it has read the whole body.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	p.rec.add("replica runs", map[string]any{"request": id, "replica": p.id, "service": p.service, "deadline": r.Header.Get("Deadline-Milliseconds")})
	if p.onRun != nil {
		p.onRun(p, id)
	}
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,8", p.running.Add(1)))
	defer p.running.Add(-1)
	timer := time.NewTimer(p.work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		p.rec.add("replica loses its caller", map[string]any{"request": id, "replica": p.id})
		return
	}
	w.Header().Set("Server-Stamp", "s."+p.id+"."+id+"."+strconv.FormatInt(p.answers.Add(1), 10))
	status := http.StatusOK
	switch {
	case rand.Float64() < p.failing:
		status = http.StatusServiceUnavailable
	case rand.Float64() < p.bad:
		status = http.StatusInternalServerError
	}
	if p.onAnswer != nil {
		p.onAnswer(p, id, status)
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, "answer of "+p.id+" to "+id+"\n")
	p.rec.add("replica answers", map[string]any{"request": id, "replica": p.id, "status": status})
}
