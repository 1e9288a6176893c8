package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// halfClose sends requests, of which a share of the clients gives up before the answer:
// they close their sending side and read until the host closes the connection.
func halfClose(b *bed, trouble bool) bool {
	const (
		service   = "cartero"
		requests  = 200
		interval  = 50 * time.Millisecond
		leaveTime = 150 * time.Millisecond // half the objective
		leaving   = 5                      // one in so many clients leaves
	)
	b.store.write("op/config", config(1, []any{route("r-letters", "/letters/", "safe", service)}, service))
	var replicas []*replica
	for i := range 5 {
		r := &replica{id: fmt.Sprintf("i-%d", i), service: service, zone: zones[i%3].name, version: "v1", slots: 3, work: 250 * time.Millisecond}
		r.start(b, 0)
		replicas = append(replicas, r)
	}
	b.startHosts()
	time.Sleep(4 * time.Second)
	load := &clients{bed: b}
	var wg sync.WaitGroup
	var mu sync.Mutex
	left, wrong := 0, 0
	for n := range requests {
		time.Sleep(interval)
		wg.Go(func() {
			h := b.hosts[n%len(b.hosts)]
			a := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), host: h.name, path: "/letters/1", safe: true, sent: time.Now()}
			a.first = a.id
			leaves := trouble && n%leaving == 0
			a.err = a.sendAndLeave(h, leaves, leaveTime)
			a.answered = time.Now()
			mu.Lock()
			defer mu.Unlock()
			load.all = append(load.all, a)
			if leaves {
				left++
			}
			if a.status/100 == 2 && a.stamp == "" {
				wrong++
			}
		})
	}
	wg.Wait()
	b.writeRecord(load, replicas)
	b.say("%d of %d clients left; %d clients got a success without the replica's stamp", left, requests, wrong)
	return wrong > 0
}

// sendAndLeave sends a request on a connection of its own and reads the answer. If the
// client leaves, it closes its sending side after a time and still reads.
func (a *attempt) sendAndLeave(h *host, leaves bool, after time.Duration) error {
	conn, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: plumas.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: 2000\r\n\r\n", a.path, a.id); err != nil {
		return err
	}
	if leaves {
		time.AfterFunc(after, func() { _ = conn.(*net.TCPConn).CloseWrite() })
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err == nil {
		a.status, a.stamp, a.body = res.StatusCode, res.Header.Get("Server-Stamp"), string(body)
	}
	return err
}
