package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// call is a request of a client and what came of it.
type call struct {
	ID     string
	Host   string
	Route  string
	Sent   time.Time
	Took   time.Duration
	Status int // 0: no answer
	Stamp  string
	Err    error
}

// clients send requests to the hosts at a steady rate over kept connections.
type clients struct {
	hosts []*host
	log   *record
	http  *http.Client
	// onAnswer is called with each complete answer; it may be nil.
	onAnswer func(id, stamp string, status int, body []byte)

	mu    sync.Mutex
	calls []*call
	n     int
}

func newClients(hosts []*host, log *record) *clients {
	return &clients{hosts: hosts, log: log, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second, DisableCompression: true,
	}}}
}

// route is what clients need to know of a route.
type route struct {
	Name, Host, Prefix, Method string
	Deadline                   time.Duration
	PerSecond                  float64
	Body                       int // least length of the requests' bodies
}

// Run sends requests on a route, spread evenly over the hosts, until ctx ends.
func (c *clients) Run(ctx context.Context, r route) {
	var group sync.WaitGroup
	defer group.Wait()
	tick := time.NewTicker(time.Duration(float64(time.Second) / r.PerSecond))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			h := c.hosts[n%len(c.hosts)]
			group.Go(func() { c.Send(r, h) })
		}
	}
}

// Send sends one request and records what came of it.
func (c *clients) Send(r route, h *host) *call {
	c.mu.Lock()
	c.n++
	one := &call{ID: fmt.Sprintf("%06x%08x", c.n, rand.Uint32()), Host: h.name, Route: r.Name, Sent: time.Now()}
	c.calls = append(c.calls, one)
	c.mu.Unlock()
	var body io.Reader
	if r.Method == http.MethodPost {
		body = strings.NewReader("pair " + one.ID + strings.Repeat(".", r.Body))
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+h.front+r.Prefix+"x", body)
	if err != nil {
		panic(err)
	}
	request.GetBody = nil // no repeat by the library
	request.Host = r.Host
	request.Header.Set("Request-Id", one.ID)
	request.Header.Set("Deadline-Milliseconds", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	response, err := c.http.Do(request)
	status, stamp := 0, ""
	if err == nil {
		status, stamp = response.StatusCode, response.Header.Get("Server-Stamp")
		var got []byte
		got, err = io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil && c.onAnswer != nil {
			c.onAnswer(one.ID, stamp, status, got)
		}
	}
	c.mu.Lock()
	one.Took, one.Status, one.Stamp, one.Err = time.Since(one.Sent), status, stamp, err
	c.mu.Unlock()
	c.log.Add("client", "%s to %s on %s, sent %.3f: status %d, stamp %s, error %v", one.ID, h.name, r.Name, c.log.at(one.Sent), status, stamp, err)
	return one
}

// Calls returns all requests.
func (c *clients) Calls() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]call, len(c.calls))
	for i, one := range c.calls {
		out[i] = *one
	}
	return out
}
