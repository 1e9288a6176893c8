package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	beatInterval = 1200 * time.Millisecond
	replicaQueue = 12
	idleTimeout  = 10 * time.Second
	coldFactor   = 1.6 // a cold replica takes so many times longer
)

// arrival is one request that reached a replica.
type arrival struct {
	replica *replica
	id      string
	host    string // the entry host's address without port
	path    string
	at      time.Time
	ran     bool // it began to work on it
	status  int  // of its answer; 0: none
}

// replica is one replica of a service, with an HTTP server of its own.
type replica struct {
	id, service, zone, version string
	slots                      int
	work                       time.Duration
	// fails, if set, reports whether the n-th request that runs on a path, counted from 1,
	// is answered with failStatus after its work.
	fails      func(path string, n int) bool
	failStatus int
	// mute, if set, reports whether the replica doesn't answer a request.
	mute func(id string) bool

	bed      *bed
	address  string
	server   *http.Server
	listener net.Listener
	slot     chan struct{}

	mu        sync.Mutex
	arrivals  []*arrival
	runs      map[string]int // by path
	waiting   int
	running   int
	sequence  int64
	born      time.Time
	coldUntil time.Time
	draining  bool
	left      bool // its entry is removed
	stop      context.CancelFunc
	written   struct {
		state    string
		coldLeft int64 // milliseconds
	}
}

// start opens the replica's address and registers it, cold for warmup if that is not 0.
func (r *replica) start(b *bed, warmup time.Duration) {
	r.bed, r.runs, r.born = b, map[string]int{}, time.Now()
	r.slot = make(chan struct{}, r.slots)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	r.listener, r.address = l, l.Addr().String()
	r.server = &http.Server{Handler: r, IdleTimeout: idleTimeout}
	go func() { _ = r.server.Serve(l) }()
	if warmup > 0 {
		r.coldUntil = time.Now().Add(warmup)
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.beat()
	go func() {
		ticker := time.NewTicker(beatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.beat()
			case <-ctx.Done():
				return
			}
		}
	}()
}

func (r *replica) key() string { return "servers/" + r.id }

// beat writes the replica's entry, if more than the sequence has changed, and returns when
// the store accepted it.
func (r *replica) beat() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, left := "ready", r.coldLeft().Milliseconds()
	if r.draining {
		state = "draining"
	}
	r.sequence++
	if r.left || r.sequence > 1 && state == r.written.state && left == r.written.coldLeft {
		return time.Now()
	}
	r.written.state, r.written.coldLeft = state, left
	return r.bed.store.write(r.key(), map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots,
		"state": state, "warmup_left_ms": left, "sequence": r.sequence, "born": r.born.UnixMilli(),
	})
}

// coldLeft returns the rest of the cold start; the caller holds mu.
func (r *replica) coldLeft() time.Duration {
	return max(0, time.Until(r.coldUntil)).Round(time.Millisecond)
}

// turnCold makes the replica cold again, writes that to the store at once and returns
// when the store accepted it.
func (r *replica) turnCold(d time.Duration) time.Time {
	r.mu.Lock()
	r.coldUntil = time.Now().Add(d)
	r.mu.Unlock()
	return r.beat()
}

// drain reports the replica as draining.
func (r *replica) drain() time.Time {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	return r.beat()
}

// leave removes the replica's entry, without a report that it drains, and returns when the
// store accepted that. The replica goes on serving.
func (r *replica) leave() time.Time {
	r.mu.Lock()
	r.left = true
	r.mu.Unlock()
	return r.bed.store.erase(r.key())
}

// end ends the replica at once.
func (r *replica) end() {
	r.leave()
	r.stop()
	_ = r.server.Close()
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	id := q.Header.Get("Request-Id")
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(idleTimeout.Seconds())))
	if id != "" {
		h.Set("Request-Id", id)
	}
	if q.URL.Path == "/health" {
		r.health(w)
		return
	}
	if want := q.Header.Get("Expect-Instance"); want != "" && want != r.id {
		h.Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	host, _, _ := net.SplitHostPort(q.RemoteAddr)
	a := &arrival{replica: r, id: id, host: host, path: q.URL.Path, at: time.Now()}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	full := r.waiting >= replicaQueue
	if !full {
		r.waiting++
	}
	r.mu.Unlock()
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	refuse := func(status int) {
		a.status = status
		h.Set("Not-Executed", "1")
		w.WriteHeader(status)
	}
	if id == "" || full {
		refuse(map[bool]int{true: 503, false: 400}[full])
		return
	}
	ctx := q.Context()
	if ms, err := strconv.Atoi(q.Header.Get("Deadline-Milliseconds")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if r.mute != nil && r.mute(id) {
		r.count(-1, 0)
		<-q.Context().Done() // until the host closes the connection
		return
	}
	select {
	case r.slot <- struct{}{}:
	case <-ctx.Done():
		r.count(-1, 0)
		refuse(503)
		return
	}
	defer func() { <-r.slot }()
	a.ran = true
	r.mu.Lock()
	r.waiting--
	r.running++
	r.runs[q.URL.Path]++
	n, work := r.runs[q.URL.Path], r.work
	if r.coldLeft() > 0 {
		work = time.Duration(coldFactor * float64(work))
	}
	r.mu.Unlock()
	defer r.count(0, -1)
	select {
	case <-time.After(work):
	case <-ctx.Done():
		a.status = 504
		h.Set("Server-Stamp", r.stamp(id))
		w.WriteHeader(a.status)
		return
	}
	r.mu.Lock()
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.slots))
	r.mu.Unlock()
	h.Set("Server-Stamp", r.stamp(id))
	if a.status = 200; r.fails != nil && r.fails(q.URL.Path, n) {
		a.status = r.failStatus
	}
	w.WriteHeader(a.status)
	_, _ = io.WriteString(w, r.body(id, len(body)))
}

func (r *replica) health(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := w.Header()
	h.Set("Instance-Id", r.id)
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.slots))
	h.Set("Warmup-Milliseconds", strconv.FormatInt(r.coldLeft().Milliseconds(), 10))
	if r.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (r *replica) count(waiting, running int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting += waiting
	r.running += running
}

// stamp signs an answer to a request.
func (r *replica) stamp(id string) string { return r.id + "." + id }

// body is the whole body of an answer.
func (r *replica) body(id string, length int) string {
	return r.service + " " + id + " " + strconv.Itoa(length) + strings.Repeat(" .", 100)
}

// seen returns the requests that have reached the replica.
func (r *replica) seen() []*arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*arrival(nil), r.arrivals...)
}
