package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// longBody is the length of the requests' bodies, within max_body_bytes.
	longBody = 250_000
	// receiveBuffer is the servers' buffer for bytes that they have not read, and segmentBytes
	// the longest segment that they take, as on an Ethernet.
	receiveBuffer = 8 << 10
	segmentBytes  = 1460
	// earlyWork is how long an early answer is under way.
	earlyWork = 60 * time.Millisecond
	// resetModulus is one in how many answers of a faulty server is reset.
	resetModulus = 20
)

// earlyServer answers requests before it has read their bodies, and reads on later. Its
// answers have no length and end with their connections. A faulty one resets one answer in
// resetModulus on the way, for faultTime and then not for as long, by turns.
type earlyServer struct {
	id, service, zone string
	faulty            bool
	log               *record

	mu     sync.Mutex
	bodies map[string]string // by signature: the whole body of each answer
	stamps int
	resets int
	start  time.Time
}

func (s *earlyServer) listen(ctx context.Context) (string, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes))
		}); e != nil {
			return e
		}
		return err
	}}
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.bodies, s.start = map[string]string{}, time.Now()
	go func() {
		<-ctx.Done()
		_ = l.Close()
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return l.Addr().String(), nil
}

func (s *earlyServer) serve(c net.Conn) {
	defer c.Close()
	request, err := http.ReadRequest(bufio.NewReaderSize(c, 4<<10))
	if err != nil {
		return
	}
	id := request.Header.Get("Request-Id")
	if expected := request.Header.Get("Expect-Instance"); expected != s.id {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return
	}
	s.mu.Lock()
	s.stamps++
	stamp := fmt.Sprintf("%s.%d.%s", s.id, s.stamps, id)
	var b strings.Builder
	for n := 0; b.Len() < 600; n++ {
		fmt.Fprintf(&b, "letter %02d of %s\n", n, stamp)
	}
	body := b.String()
	s.bodies[stamp] = body
	reset := s.faulty && s.stamps%resetModulus == 0 && int(time.Since(s.start)/faultTime)%2 == 1
	if reset {
		s.resets++
	}
	s.mu.Unlock()
	s.log.Add(s.id, "%s answered before its body is read, stamp %s, reset on the way %v", id, stamp, reset)
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nServer-Stamp: "+stamp+"\r\nConnection: close\r\n\r\n"+body[:len(body)/2])
	time.Sleep(earlyWork)
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	_, _ = io.WriteString(c, body[len(body)/2:])
	_, _ = io.Copy(io.Discard, request.Body)
}

func init() { cases["earlyreset"] = earlyReset }

// earlyReset: one of two servers resets connections within answers that have no length.
func earlyReset(ctx context.Context, b *bed) (verdict, error) {
	r := route{Name: "upload", Host: "pen.example", Prefix: "/upload/", Method: http.MethodPost, Deadline: 2 * time.Second, PerSecond: 30, Body: longBody}
	if err := b.start(ctx, configuration(7, []map[string]any{{
		"name": r.Name, "host": r.Host, "prefix": r.Prefix, "kind": "unsafe", "timeout_ms": 2000, "target_latency_ms": 300,
		"priority": 1, "service": "archive", "max_attempts": 2, "home_regions": []string{},
	}}, []map[string]any{{
		"name": "archive", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0,
	}}), nil); err != nil {
		return verdict{}, err
	}
	life, end := context.WithCancel(ctx)
	defer end()
	var servers []*earlyServer
	for i, zone := range zones {
		s := &earlyServer{id: "i-archive-" + strconv.Itoa(i), service: "archive", zone: zone, faulty: b.trouble && i == 0, log: b.log}
		address, err := s.listen(life)
		if err != nil {
			return verdict{}, err
		}
		servers = append(servers, s)
		born := time.Now().UnixMilli()
		go func() {
			for n := 1; life.Err() == nil; n++ {
				b.store.Put("servers/"+s.id, map[string]any{
					"service": s.service, "address": address, "zone": s.zone, "version": "v1", "slots": 8, "state": "ready",
					"warmup_left_ms": 0, "sequence": n, "born": born,
				})
				sleep(life, beatInterval)
			}
		}()
	}
	sleep(ctx, 6*time.Second)
	var mu sync.Mutex
	wrong, right, other := 0, 0, 0
	b.clients.onAnswer = func(id, stamp string, status int, body []byte) {
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
			if known && bytes.Equal(body, []byte(want)) {
				right++
				return
			}
		}
		wrong++
		b.log.Add("check", "%s: the success with stamp %s has another body than the server's, %d bytes: %q", id, stamp, len(body), body)
	}
	traffic, stop := context.WithTimeout(ctx, 60*time.Second)
	defer stop()
	b.clients.Run(traffic, r)
	resets := 0
	for _, s := range servers {
		resets += s.resets
	}
	b.log.Say("%d answers were reset on the way; clients got %d successes with the whole body, %d with a wrong one, %d answers without success", resets, right, wrong, other)
	if wrong > 0 {
		return verdict{true, "MIXED: a success whose body isn't the server's whole body"}, nil
	}
	return verdict{false, "each success had the server's whole body"}, nil
}
