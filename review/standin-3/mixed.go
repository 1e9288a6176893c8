package main

import (
	"bufio"
	"bytes"
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
	// A faulty server is faulty for faultTime, then sound for as long, by turns. Meanwhile it
	// breaks off one answer in brokenModulus.
	faultTime     = 5 * time.Second
	brokenModulus = 50

	pauseTime     = 150 * time.Millisecond  // of a server, as on the users' sheet
	pauseInterval = 3600 * time.Millisecond // between two pauses of one server, as there
	mixedWork     = 20 * time.Millisecond   // on each request
)

// pausingServer is a server that may be faulty: it breaks off answers within their body and
// goes on with a second answer to the request before. With cuts it does so to one answer
// in brokenModulus, and the second answer is broken off in its head, where the connection
// ends. Without, it pauses for pauseTime each pauseInterval, does so to one of the answers
// that it works on when a pause begins, and the pause falls into the second answer.
type pausingServer struct {
	id, service, zone string
	offset            time.Duration // of the pauses
	faulty            bool
	cuts              bool
	store             *store
	log               *record

	address string
	born    int64
	mu      sync.Mutex
	bodies  map[string]string // by signature: the whole body of each answer
	pause   time.Time         // begin of the last pause
	pauses  bool              // an answer may be broken off for that pause
	stamps  int
	broken  int
	started time.Time
}

func (s *pausingServer) start(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address, s.born, s.bodies = l.Addr().String(), time.Now().UnixMilli(), map[string]string{}
	s.started = time.Now()
	go func() {
		<-ctx.Done()
		_ = l.Close()
	}()
	if !s.cuts {
		go s.pauseFrom(ctx, s.offset)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	go func() {
		for n := 1; ctx.Err() == nil; n++ {
			s.store.Put("servers/"+s.id, map[string]any{
				"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 8, "state": "ready",
				"warmup_left_ms": 0, "sequence": n, "born": s.born,
			})
			sleep(ctx, beatInterval)
		}
	}()
	return nil
}

// response is an answer in bytes, with the head up to the id as its first part.
type response struct {
	first, rest string // of the head
	body        string
	stamp       string
}

func (s *pausingServer) newResponse(id string) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stamps++
	stamp := fmt.Sprintf("%s.%d.%s", s.id, s.stamps, id)
	var b strings.Builder
	for n := 0; b.Len() < 600; n++ {
		fmt.Fprintf(&b, "letter %02d of %s\n", n, stamp)
	}
	s.bodies[stamp] = b.String()
	return response{
		first: "HTTP/1.1 200 OK\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: " + strconv.Itoa(b.Len()) + "\r\nKeep-Alive: timeout=20\r\n",
		rest:  "Request-Id: " + id + "\r\nServer-Stamp: " + stamp + "\r\n\r\n",
		body:  b.String(), stamp: stamp,
	}
}

// pauseFrom begins the pauses of the server until ctx ends.
func (s *pausingServer) pauseFrom(ctx context.Context, offset time.Duration) {
	for sleep(ctx, offset); ctx.Err() == nil; sleep(ctx, pauseTime+pauseInterval) {
		s.mu.Lock()
		s.pause, s.pauses = time.Now(), true
		s.mu.Unlock()
		s.log.Add(s.id, "pauses for %v", pauseTime)
	}
}

// waitPause waits until the server's pause has ended, if it pauses.
func (s *pausingServer) waitPause() {
	s.mu.Lock()
	end := s.pause.Add(pauseTime)
	s.mu.Unlock()
	time.Sleep(time.Until(end))
}

// breaksOff reports whether the server breaks off an answer on which it works since a time.
func (s *pausingServer) breaksOff(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	breaks := s.cuts && s.stamps%brokenModulus == 0 || s.pauses && s.pause.After(since)
	breaks = breaks && s.faulty && int(time.Since(s.started)/faultTime)%2 == 1
	if breaks {
		s.pauses = false
		s.broken++
	}
	return breaks
}

func (s *pausingServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var before *response
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Request-Id")
		if expected := request.Header.Get("Expect-Instance"); expected != s.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		s.waitPause()
		since := time.Now()
		time.Sleep(mixedWork)
		answer := s.newResponse(id)
		whole := answer.first + answer.rest + answer.body
		switch {
		case before == nil || !s.breaksOff(since):
			s.waitPause()
			s.log.Add(s.id, "%s answered, stamp %s", id, answer.stamp)
			if _, err := io.WriteString(c, whole); err != nil {
				return
			}
		case s.cuts:
			// The body lacks half of what the second answer brings.
			kept := len(answer.body) - len(before.first)/2
			s.log.Add(s.id, "%s broken off after %d of %d bytes of the body, then a second answer to the request before, broken off in its head, stamp %s", id, kept, len(answer.body), answer.stamp)
			_, _ = io.WriteString(c, answer.first+answer.rest+answer.body[:kept]+before.first)
			return
		default:
			// The body lacks as many bytes as the second answer brings before the pause.
			kept := len(answer.body) - len(before.first)
			s.log.Add(s.id, "%s broken off after %d of %d bytes of the body, then the first part of a second answer to the request before, stamp %s", id, kept, len(answer.body), answer.stamp)
			if _, err := io.WriteString(c, answer.first+answer.rest+answer.body[:kept]+before.first); err != nil {
				return
			}
			s.waitPause()
			s.log.Add(s.id, "the rest of the second answer follows")
			if _, err := io.WriteString(c, before.rest+before.body); err != nil {
				return
			}
		}
		before = &answer
	}
}

// matching is the route of the case, whose requests may run once at most.
var matching = route{Name: "match", Host: "pen.example", Prefix: "/match/", Method: http.MethodPost, Deadline: 2 * time.Second, PerSecond: 100}

func init() {
	cases["secondpause"] = func(ctx context.Context, b *bed) (verdict, error) { return mixed(ctx, b, false) }
	cases["secondcut"] = func(ctx context.Context, b *bed) (verdict, error) { return mixed(ctx, b, true) }
}

// mixed: one of two servers is faulty.
func mixed(ctx context.Context, b *bed, cuts bool) (verdict, error) {
	config := configuration(7, []map[string]any{{
		"name": matching.Name, "host": matching.Host, "prefix": matching.Prefix, "kind": "unsafe", "timeout_ms": 2000, "target_latency_ms": 300,
		"priority": 1, "service": "archive", "max_attempts": 2, "home_regions": []string{},
	}}, []map[string]any{{
		"name": "archive", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0,
	}})
	if err := b.start(ctx, config, nil); err != nil {
		return verdict{}, err
	}
	life, end := context.WithCancel(ctx)
	defer end()
	var servers []*pausingServer
	for i, zone := range zones {
		s := &pausingServer{id: fmt.Sprintf("i-archive-%d", i), service: "archive", zone: zone, faulty: b.trouble && i == 0, cuts: cuts, offset: time.Duration(1+i) * (pauseTime + pauseInterval) / 2, store: b.store, log: b.log}
		if err := s.start(life); err != nil {
			return verdict{}, err
		}
		servers = append(servers, s)
	}
	sleep(ctx, 6*time.Second)
	var mu sync.Mutex
	wrong, right, other := 0, 0, 0
	check := func(id, stamp string, status int, body []byte) {
		mu.Lock()
		defer mu.Unlock()
		if status != http.StatusOK {
			other++
			return
		}
		for _, s := range servers {
			s.mu.Lock()
			want, known := s.bodies[stamp]
			s.mu.Unlock()
			if known {
				if !bytes.Equal(body, []byte(want)) {
					wrong++
					b.log.Add("check", "%s: the success with stamp %s has another body than the server's: %q, want %q", id, stamp, body, want)
					return
				}
				right++
				return
			}
		}
		wrong++
		b.log.Add("check", "%s: a success with the unknown stamp %q", id, stamp)
	}
	b.clients.onAnswer = check
	traffic, stop := context.WithTimeout(ctx, 60*time.Second)
	defer stop()
	b.clients.Run(traffic, matching)
	broken := 0
	for _, s := range servers {
		broken += s.broken
	}
	b.log.Say("%d answers were broken off; clients got %d successes with the whole body, %d with a wrong one, %d answers without success", broken, right, wrong, other)
	if wrong > 0 {
		return verdict{true, "MIXED: a success whose body isn't the server's whole body"}, nil
	}
	return verdict{false, "each success had the server's whole body"}, nil
}
