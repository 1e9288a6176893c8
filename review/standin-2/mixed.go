package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Of spoilingOf replicas, spoilingCount break off spoiledShare of their answers for
	// spoilingTime.
	spoilingOf, spoilingCount = 6, 2
	spoiledShare              = 0.02
	spoilingTime              = 5500 * time.Millisecond
	// An answer that is broken off lacks leastCut to mostCut bytes of its body.
	leastCut, mostCut = 10, 60
	bodyBytes         = 600
	workTime          = 30 * time.Millisecond // of a request
	// calmTime is how long requests are sent before and after.
	calmTime = 3 * time.Second

	// errorPage is what the replica's server sends when the program behind it fails.
	errorPage = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 22\r\nConnection: close\r\n\r\nInternal Server Error\n"
)

// spoilingReplica answers requests on its connections by hand. It breaks off a share of its
// answers: its program fails within the body, and its server sends the error page of such a
// failure and closes the connection.
type spoilingReplica struct {
	id     string
	spoils *atomic.Bool
	rec    *record
	mu     *sync.Mutex
	bodies map[string]string // body of each answer, by its signature
}

func (s *spoilingReplica) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *spoilingReplica) serveConn(c net.Conn) {
	defer c.Close()
	send := func(text string) {
		_, _ = io.WriteString(c, text) // the host may have closed the connection
	}
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		id := q.Header.Get("Request-Id")
		if q.Header.Get("Expect-Instance") != s.id {
			send("HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		s.rec.add("replica runs", map[string]any{"request": id, "replica": s.id})
		time.Sleep(workTime)
		body := randomBody()
		s.mu.Lock()
		signature := fmt.Sprintf("s.%s.%s.%d", s.id, id, len(s.bodies))
		s.bodies[signature] = body
		s.mu.Unlock()
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n", id, signature, bodyBytes)
		if !s.spoils.Load() || rand.Float64() >= spoiledShare {
			send(head + body)
			continue
		}
		cut := leastCut + rand.IntN(mostCut-leastCut+1)
		s.rec.add("replica breaks off its answer", map[string]any{"request": id, "replica": s.id, "bytes_missing": cut})
		send(head + body[:bodyBytes-cut])
		time.Sleep(3 * time.Millisecond)
		send(errorPage)
		return
	}
}

func randomBody() string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for range bodyBytes {
		b.WriteByte(letters[rand.IntN(len(letters))])
	}
	return b.String()
}

// runMixed plays replicas that break off some of their answers.
func runMixed(rec *record, trouble bool) (bool, error) {
	b, err := newBed(rec, map[string]string{"opuwo": "kunene"})
	if err != nil {
		return false, err
	}
	defer b.stop()
	var mu sync.Mutex
	bodies := map[string]string{}
	var spoiling, never atomic.Bool
	for n := range spoilingOf {
		spoils := &never
		if n < spoilingCount {
			spoils = &spoiling
		}
		s := &spoilingReplica{id: fmt.Sprintf("i-77%02x", n+16), spoils: spoils, rec: rec, mu: &mu, bodies: bodies}
		l, err := net.Listen("tcp", b.base+"3:0")
		if err != nil {
			return false, err
		}
		defer l.Close()
		go s.serve(l)
		p := b.newReplica("logbook", "opuwo", 0)
		p.id, p.address, p.slots = s.id, l.Addr().String(), 3
		p.keepRegistered()
	}
	b.store.put("op/config", config(1, entriesRoute("logbook")))
	for range 2 {
		if _, err := b.addHost("opuwo"); err != nil {
			return false, err
		}
	}
	if err := b.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(2*calmTime + spoilingTime)
	wrong, whole := 0, 0
	var clients sync.WaitGroup
	for n := range 64 {
		clients.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(60+rand.IntN(60)) * time.Millisecond)
				a := b.once(b.hosts[n%len(b.hosts)], http.MethodGet, "/entries/x", "", 2500*time.Millisecond)
				if a.status != http.StatusOK {
					rec.add("client", map[string]any{"request": a.id, "status": a.status})
					continue
				}
				mu.Lock()
				want := bodies[a.header.Get("Server-Stamp")]
				right := a.body == want
				if right {
					whole++
				} else {
					wrong++
				}
				mu.Unlock()
				fields := map[string]any{"request": a.id, "status": a.status, "stamp": a.header.Get("Server-Stamp"), "whole": right}
				if !right {
					fields["end"], fields["end_at_replica"] = a.body[max(0, len(a.body)-12):], want[max(0, len(want)-12):]
				}
				rec.add("client", fields)
			}
		})
	}
	time.Sleep(calmTime)
	spoiling.Store(trouble)
	rec.add("replicas spoil answers", map[string]any{"replicas": spoilingCount, "of": spoilingOf, "share": spoiledShare, "spoiling": trouble})
	time.Sleep(spoilingTime)
	spoiling.Store(false)
	rec.add("replicas are sound again", nil)
	clients.Wait()
	fmt.Printf("%d successes with the replica's whole body, %d with another\n", whole, wrong)
	rec.add("result", map[string]any{"whole": whole, "wrong": wrong})
	if whole == 0 {
		return false, errCantRun
	}
	return wrong == 0, nil
}
