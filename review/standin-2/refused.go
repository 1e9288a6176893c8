package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// greyShare is the share of its requests that the failing replica fails; it is one of
	// greyOf replicas.
	greyShare = 0.4
	greyOf    = 8
	greyTime  = 6500 * time.Millisecond
)

// runRefused plays replicas one of which fails part of its requests, while its health check
// is good: it runs them and then answers 503 without Not-Executed. Clients send requests that
// may run once at most, and send a request again, with a new id, after a promise that it has
// not run.
func runRefused(rec *record, trouble bool) (bool, error) {
	b, err := newBed(rec, map[string]string{"opuwo": "kunene", "uis": "erongo", "windhoek": "khomas"})
	if err != nil {
		return false, err
	}
	defer b.stop()
	replicas, err := b.addReplicas("repairs", greyOf/2, 90*time.Millisecond, "opuwo", "uis")
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	runs := map[string]string{} // request to replica
	for _, p := range replicas {
		p.onRun = func(p *replica, id string) {
			mu.Lock()
			defer mu.Unlock()
			runs[id] = p.id
		}
	}
	b.store.put("op/config", config(1, route{name: "book", prefix: "/book/", kind: "unsafe", timeout: 2500 * time.Millisecond, service: "repairs"}))
	for _, zone := range []string{"opuwo", "opuwo", "uis", "uis", "windhoek", "windhoek"} {
		if _, err := b.addHost(zone); err != nil {
			return false, err
		}
	}
	if err := b.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		replicas[0].failing = greyShare
		rec.add("a replica fails part of its requests", map[string]any{"replica": replicas[0].id, "share": greyShare})
	}
	sent, broken, again := 0, 0, 0
	var clients sync.WaitGroup
	end := time.Now().Add(greyTime)
	for n := range 72 {
		clients.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
				for try := range 2 { // one retry
					a := b.once(b.hosts[(n+try)%len(b.hosts)], http.MethodPost, "/book/x", "the roof is mended", 2500*time.Millisecond)
					mu.Lock()
					ranAt := runs[a.id]
					sent++
					promised := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
					if promised && ranAt != "" {
						broken++
						if try == 0 {
							again++
						}
					}
					mu.Unlock()
					rec.add("client", map[string]any{"request": a.id, "try": try, "status": a.status, "stamp": a.header.Get("Server-Stamp"), "ran_at": ranAt})
					if !promised {
						break
					}
				}
			}
		})
	}
	clients.Wait()
	if sent == 0 {
		return false, errCantRun
	}
	text := fmt.Sprintf("%d requests sent, %d answered 503 or 429 although they had run, %d of these sent once more by their client", sent, broken, again)
	fmt.Println(text)
	rec.add("result", map[string]any{"sent": sent, "refused_and_run": broken, "sent_again": again})
	return broken == 0, nil
}
