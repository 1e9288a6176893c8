package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// request is one kind of request that clients send.
type request struct {
	method, host, path string
	deadline           time.Duration
	safe               bool
	body               string
	perSecond          float64
}

// attempt is one client attempt with its answer.
type attempt struct {
	id, host, path string
	first          string // id of the client's first attempt
	safe           bool
	sent, answered time.Time
	status         int // 0: none
	stamp          string
	body           string
	err            error
}

// clients sends open-loop load to all hosts and records each attempt.
type clients struct {
	bed  *bed
	mu   sync.Mutex
	all  []*attempt
	next int
	wg   sync.WaitGroup
}

var keptConnections = &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, IdleConnTimeout: 8 * time.Second}

// run sends requests of one kind until ctx ends, evenly spaced, to the hosts in turn.
func (c *clients) run(ctx context.Context, q request) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / q.perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.wg.Go(func() { c.send(q) })
		}
	}
}

func (c *clients) start(ctx context.Context, q request) { c.wg.Go(func() { c.run(ctx, q) }) }

// send sends a request and repeats it once, as the pages say clients do: a safe one after
// any failure, another one only after an answer that promises that it has not run.
func (c *clients) send(q request) {
	c.mu.Lock()
	c.next++
	n := c.next
	c.mu.Unlock()
	end := time.Now().Add(q.deadline)
	first := ""
	for try := range 2 {
		a := c.attempt(q, c.bed.hosts[(n+try)%len(c.bed.hosts)], first, time.Until(end), try > 0)
		if first == "" {
			first = a.id
		}
		promise := a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421
		if a.status/100 == 2 || !promise && !q.safe || a.status == 400 || a.status == 401 || a.status == 404 {
			return
		}
		left := time.Until(end)
		time.Sleep(min(left/3, 20*time.Millisecond))
		if time.Until(end) < 10*time.Millisecond {
			return
		}
	}
}

func (c *clients) attempt(q request, h *host, first string, left time.Duration, fresh bool) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), host: h.name, path: q.path, safe: q.safe, first: first, sent: time.Now()}
	if a.first == "" {
		a.first = a.id
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+h.front+q.path, strings.NewReader(q.body))
	check(err)
	r.Host = q.host
	r.Close = fresh
	r.Header.Set("Request-Id", a.id)
	r.Header.Set("Deadline-Milliseconds", strconv.FormatInt(left.Milliseconds(), 10))
	res, err := keptConnections.RoundTrip(r)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(res.Body)
		res.Body.Close()
		if err == nil {
			a.status, a.stamp, a.body = res.StatusCode, res.Header.Get("Server-Stamp"), string(body)
		}
	}
	a.err, a.answered = err, time.Now()
	c.mu.Lock()
	c.all = append(c.all, a)
	c.mu.Unlock()
	return a
}

// list returns all attempts.
func (c *clients) list() []*attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*attempt(nil), c.all...)
}

// writeRecord writes all attempts and arrivals in order to the record.
func (b *bed) writeRecord(c *clients, replicas []*replica) {
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	for _, a := range c.list() {
		again := ""
		if a.first != a.id {
			again = " again for " + a.first
		}
		lines = append(lines, line{a.sent, fmt.Sprintf("sent      %s %s to %s%s", a.id, a.path, a.host, again)})
		text := fmt.Sprintf("answered  %s %d stamp %q", a.id, a.status, a.stamp)
		if a.err != nil {
			text = fmt.Sprintf("no answer %s %v", a.id, a.err)
		}
		lines = append(lines, line{a.answered, text})
	}
	for _, r := range replicas {
		for _, a := range r.seen() {
			verb := "refused by"
			if a.ran {
				verb = "run by"
			}
			lines = append(lines, line{a.at, fmt.Sprintf("arrived   %s %s %s %s %s from %s, status %d", a.id, a.path, verb, r.id, r.version, a.host, a.status)})
		}
	}
	sortBy(lines, func(x, y line) bool { return x.at.Before(y.at) })
	for _, l := range lines {
		b.noteAt(l.at, "%s", l.text)
	}
}
