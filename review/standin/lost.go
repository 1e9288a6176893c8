package main

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// lost lets replicas of many shards fall silent, so that many requests over all shards end
// at their deadline, and counts those that end with a closed connection. Each zone has one
// strong host; the others are weak and hand their requests to it.
func lost(b *bed, trouble bool) bool {
	const (
		shards = 20
		// clientCount is 25, 22 and 19 in the three zones.
		clientCount = 66
		// interval is the time between two requests of a client: 90 requests a second in all,
		// as many over all shards as at plumas-buscador.
		interval  = 730 * time.Millisecond
		deadline  = 800 * time.Millisecond
		rounds    = 7
		muteFor   = 9 * time.Second
		calm      = 2 * time.Second
		muteShare = 0.6 // of the requests
		onShare   = 0.8 // of the replicas
		bound     = 3
	)
	b.share = func(h *host) float64 {
		if strings.HasSuffix(h.name, "-1") {
			return 0.8
		}
		return 0.192
	}
	var services []string
	var replicas []*replica
	var silent atomic.Bool
	for i := range shards {
		services = append(services, fmt.Sprintf("emparejador-%d", i))
		for j, z := range zones[:2] {
			r := &replica{id: fmt.Sprintf("i-%d-%d", i, j), service: services[i], zone: z.name, version: "v1", slots: 2, work: 7 * time.Millisecond}
			if rand.Float64() < onShare {
				r.mute = func(id string) bool {
					h := fnv.New32a()
					fmt.Fprint(h, r.id, id)
					return silent.Load() && float64(h.Sum32()%1000) < 1000*muteShare
				}
			}
			r.start(b, 0)
			replicas = append(replicas, r)
		}
	}
	b.store.write("op/config", config(1, []any{map[string]any{
		"name": "r-broad", "host": "plumas.example", "prefix": "/broad/", "kind": "safe", "timeout_ms": deadline.Milliseconds(), "target_latency_ms": 120,
		"priority": 1, "fanout_services": services, "max_attempts": 2, "top_results": 20, "minimum_coverage": 0.89, "home_regions": []string{},
	}}, services...))
	b.startHosts()
	time.Sleep(8 * time.Second)

	load := &clients{bed: b}
	var wg sync.WaitGroup
	var stopped atomic.Bool
	for i := range clientCount {
		h := b.hosts[i%len(b.hosts)]
		wg.Go(func() {
			next := time.Now().Add(time.Duration(rand.Float64() * float64(interval)))
			var c *keptConnection
			for !stopped.Load() {
				time.Sleep(time.Until(next))
				if next = next.Add(interval); time.Now().After(next) {
					next = time.Now() // the answer took longer
				}
				if c == nil {
					conn, err := net.DialTimeout("tcp", h.front, time.Second)
					if err != nil {
						continue
					}
					c = &keptConnection{Conn: conn, r: bufio.NewReader(conn)}
				}
				a := c.ask(h, "/broad/1", deadline)
				load.mu.Lock()
				load.all = append(load.all, a)
				load.mu.Unlock()
				if a.err != nil {
					c.Close()
					c = nil
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	for range rounds {
		if trouble {
			silent.Store(true)
			b.note("replicas silent")
		}
		time.Sleep(muteFor)
		silent.Store(false)
		b.note("replicas answer")
		time.Sleep(calm)
	}
	stopped.Store(true)
	wg.Wait()
	b.writeRecord(load, nil)

	reached := map[string]bool{}
	for _, r := range replicas {
		for _, a := range r.seen() {
			if a.ran && a.status == 200 {
				reached[a.id] = true
			}
		}
	}
	cut, statuses := map[string]int{}, map[int]int{}
	for _, a := range load.list() {
		statuses[a.status]++
		if (errors.Is(a.err, io.EOF) || errors.Is(a.err, io.ErrUnexpectedEOF)) && a.answered.Sub(a.sent) < deadline && reached[a.id] {
			cut[a.host]++
			b.noteAt(a.answered, "connection closed without an answer %s by %s after %d ms", a.id, a.host, a.answered.Sub(a.sent).Milliseconds())
		}
	}
	most := 0
	for _, n := range cut {
		most = max(most, n)
	}
	for _, h := range b.hosts {
		text, _ := os.ReadFile(b.folder + "/" + h.name + ".log")
		b.note("%s: %d panics in its log", h.name, strings.Count(string(text), "http: panic serving"))
	}
	b.say("answers by status (0: none): %v", statuses)
	b.say("requests that replicas answered, whose kept connection was closed without an answer before the client's deadline, by host: %v; more than %d break the rule", cut, bound)
	return most > bound
}

// keptConnection is a client's connection for many requests.
type keptConnection struct {
	net.Conn
	r *bufio.Reader
}

// ask sends one request and reads its answer, until the client's deadline.
func (c *keptConnection) ask(h *host, path string, deadline time.Duration) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), host: h.name, path: path, safe: true, sent: time.Now()}
	a.first = a.id
	defer func() { a.answered = time.Now() }()
	_ = c.SetDeadline(a.sent.Add(deadline))
	if _, a.err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: plumas.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %s\r\n\r\n", path, a.id, strconv.FormatInt(deadline.Milliseconds(), 10)); a.err != nil {
		return a
	}
	var res *http.Response
	if res, a.err = http.ReadResponse(c.r, nil); a.err != nil {
		return a
	}
	defer res.Body.Close()
	var body []byte
	if body, a.err = io.ReadAll(res.Body); a.err == nil {
		a.status, a.stamp, a.body = res.StatusCode, res.Header.Get("Part-Stamps"), string(body)
		if res.Close {
			a.err = errClosed
		}
	}
	return a
}

var errClosed = errors.New("the host closes the connection after its answer")
