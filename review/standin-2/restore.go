package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// copyAge is how old the copy is from which the store comes back, and awayTime how long
	// it is away.
	copyAge  = 5 * time.Second
	awayTime = 600 * time.Millisecond
	// changeAfter is the time from the store's return to the change of the configuration.
	changeAfter = 1500 * time.Millisecond
	// judgedFor is how long requests are judged.
	judgedFor = 12 * time.Second
)

// runRestore plays a drill of the store: it is away for a moment and comes back from a copy
// that is some seconds old. Then the configuration moves the route to another service.
func runRestore(rec *record, trouble bool) (bool, error) {
	b, err := newBed(rec, map[string]string{"opuwo": "kunene", "uis": "erongo", "windhoek": "khomas"})
	if err != nil {
		return false, err
	}
	defer b.stop()
	zones := []string{"opuwo", "uis", "windhoek"}
	for _, service := range []string{"logbook", "logbook-new", "stock"} {
		if _, err := b.addReplicas(service, 2, 4*time.Millisecond, zones...); err != nil {
			return false, err
		}
	}
	b.store.put("op/config", config(1, entriesRoute("logbook")))
	for _, zone := range []string{"opuwo", "opuwo", "uis", "uis", "windhoek", "windhoek"} {
		if _, err := b.addHost(zone); err != nil {
			return false, err
		}
	}
	if err := b.waitReady(); err != nil {
		return false, err
	}
	// The hosts' entries are older than the copy.
	time.Sleep(12 * time.Second)
	if trouble {
		rec.add("the store is away", map[string]any{"revision": b.store.revisionNow()})
		b.store.setAway()
		time.Sleep(awayTime)
		age, before, after := b.store.restore(copyAge)
		rec.add("the store is back from a copy", map[string]any{"copy_age_ms": age.Milliseconds(), "revision_before": before, "revision_after": after})
	}
	time.Sleep(changeAfter)
	if !b.store.put("op/config", config(2, entriesRoute("logbook-new"))) {
		return false, errCantRun
	}
	acknowledged := time.Now()
	rec.add("version 2 is acknowledged", map[string]any{"revision": b.store.revisionNow(), "moves": "logbook to logbook-new"})
	// An unstable core stretches the bound by maxStretch at most.
	judgedFrom := acknowledged.Add(applyTime + maxStretch)
	stale, judged := map[string]int{}, map[string]int{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	for _, h := range b.hosts {
		clients.Go(func() {
			for time.Now().Before(judgedFrom.Add(judgedFor)) {
				time.Sleep(250 * time.Millisecond)
				c, err := dialHost(h)
				if err != nil {
					continue
				}
				sent := time.Now()
				a := c.do(http.MethodGet, "/entries/x", "", 2500*time.Millisecond)
				c.Close()
				service := b.serviceOf(replicaOf(a.header.Get("Server-Stamp")))
				rec.add("client", map[string]any{"request": a.id, "host": h.name, "sent_after_ack_ms": sent.Sub(acknowledged).Milliseconds(), "status": a.status, "service": service})
				if sent.Before(judgedFrom) || service == "" {
					continue
				}
				mu.Lock()
				judged[h.name]++
				if service == "logbook" {
					stale[h.name]++
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	rec.add("calls to the store", map[string]any{"counts": b.store.callCounts()})
	total := 0
	for _, h := range b.hosts {
		text := fmt.Sprintf("%s: %d of %d requests, sent later than %v after the acknowledgement, ran at the old service", h.name, stale[h.name], judged[h.name], applyTime+maxStretch)
		fmt.Println(text)
		rec.add("result", map[string]any{"host": h.name, "judged": judged[h.name], "old_service": stale[h.name]})
		if judged[h.name] == 0 {
			return false, fmt.Errorf("%w: no request was answered by %s", errCantRun, h.name)
		}
		total += stale[h.name]
	}
	return total == 0, nil
}

// serviceOf returns the service of the replica with an id, "" if there is none.
func (b *bed) serviceOf(id string) string {
	for _, p := range b.replicas {
		if p.id == id {
			return p.service
		}
	}
	return ""
}

func entriesRoute(service string) route {
	return route{name: "entries", prefix: "/entries/", kind: "safe", timeout: 2500 * time.Millisecond, service: service}
}
