package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	rolloutTime    = 20 * time.Second // duration_s of the order
	badPortion     = 0.04             // of the new version's responses are failures
	exposureShare  = 0.1
	exposureSlack  = 50
	rollbackTime   = 5 * time.Second // rollback_ms
	rolloutPerSec  = 120
	rolloutService = "repairs"
)

// runRollout plays the rollout of a bad version: a portion of its responses are failures, at
// once and on its only route. The old version has none.
func runRollout(rec *record, trouble bool) (bool, error) {
	b, err := newBed(rec, map[string]string{"opuwo": "kunene", "uis": "erongo", "windhoek": "khomas"})
	if err != nil {
		return false, err
	}
	defer b.stop()
	zones := []string{"opuwo", "uis", "windhoek"}
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var ordered, deadline, lastNew, fiftieth time.Time
	total, toNew, bad := 0, 0, 0
	watch := func(p *replica) {
		p.onRun = func(p *replica, _ string) {
			mu.Lock()
			defer mu.Unlock()
			if now := time.Now(); !ordered.IsZero() && now.Before(deadline) {
				total++
				if p.version == "v2" {
					toNew++
				}
			}
		}
		p.onAnswer = func(p *replica, id string, status int) {
			mu.Lock()
			defer mu.Unlock()
			if p.version != "v2" {
				return
			}
			if sent := sentAt[id]; sent.After(lastNew) {
				lastNew = sent
			}
			if status != http.StatusOK {
				if bad++; bad == 50 {
					fiftieth = time.Now()
				}
			}
		}
	}
	old, err := b.addReplicas(rolloutService, 2, 15*time.Millisecond, zones...)
	if err != nil {
		return false, err
	}
	for _, p := range old {
		watch(p)
	}
	b.store.put("op/config", config(1, route{name: "book", prefix: "/book/", kind: "unsafe", timeout: 2500 * time.Millisecond, service: rolloutService}))
	for _, zone := range []string{"opuwo", "opuwo", "uis", "uis", "windhoek", "windhoek"} {
		if _, err := b.addHost(zone); err != nil {
			return false, err
		}
	}
	if err := b.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	end := time.Now().Add(3*time.Second + rolloutTime + 10*time.Second)
	statuses := map[int]int{}
	var clients sync.WaitGroup
	const perHost = 8 // connections
	for _, h := range b.hosts {
		for range perHost {
			clients.Go(func() {
				interval := time.Second * time.Duration(perHost*len(b.hosts)) / rolloutPerSec
				time.Sleep(rand.N(interval))
				var c *callerConn
				for next := time.Now(); next.Before(end); next = next.Add(interval) {
					time.Sleep(time.Until(next))
					if c == nil {
						if c, err = dialHost(h); err != nil {
							c = nil
							continue
						}
					}
					id := newID()
					mu.Lock()
					sentAt[id] = time.Now()
					mu.Unlock()
					a := c.doAs(id, http.MethodPost, "/book/x", "the roof is mended", 2500*time.Millisecond)
					mu.Lock()
					statuses[a.status]++
					mu.Unlock()
					rec.add("client", map[string]any{"request": id, "host": h.name, "status": a.status, "stamp": a.header.Get("Server-Stamp")})
					if a.status == 0 {
						c.Close()
						c = nil
					}
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	ordered, deadline = time.Now(), time.Now().Add(rolloutTime)
	mu.Unlock()
	b.store.put("op/rollout/"+rolloutService, map[string]any{"service": rolloutService, "target_version": "v2", "duration_s": rolloutTime.Seconds()})
	rec.add("rollout ordered", map[string]any{"target_version": "v2"})
	var fresh []*replica
	for _, zone := range zones {
		for range 2 {
			p := b.newReplica(rolloutService, zone, 15*time.Millisecond)
			p.version = "v2"
			if trouble {
				p.bad = badPortion
			}
			watch(p)
			if err := p.start(); err != nil {
				return false, err
			}
			fresh = append(fresh, p)
		}
	}
	state := b.followRollout(rec, old, fresh, end)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	allowed := exposureShare*float64(total) + exposureSlack
	late := !fiftieth.IsZero() && lastNew.After(fiftieth.Add(rollbackTime))
	fmt.Printf("last state %q; until the deadline %d of %d requests at v2, %.0f allowed; %d bad answers of v2; requests later than rollback_ms after the 50th: %v; answers by status: %v\n",
		state, toNew, total, allowed, bad, late, statuses)
	rec.add("result", map[string]any{"state": state, "v2": toNew, "all": total, "allowed": allowed, "bad": bad, "late_after_50th": late})
	if toNew == 0 {
		return false, fmt.Errorf("%w: the new version got no request", errCantRun)
	}
	// The rule is one on bad versions.
	return !trouble || float64(toNew) <= allowed && !late, nil
}

// followRollout does what the platform does on the state of a rollout, until end: on completed
// the old replicas stop, and on rolled_back the new ones drain some seconds later. It returns
// the last state.
func (b *bed) followRollout(rec *record, old, fresh []*replica, end time.Time) string {
	last := ""
	for ; time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		var status struct {
			State string `json:"state"`
		}
		if json.Unmarshal(b.store.value("status/rollout/"+rolloutService), &status) != nil || status.State == last {
			continue
		}
		last = status.State
		rec.add("rollout status", map[string]any{"state": last})
		switch last {
		case "completed":
			for _, p := range old {
				p.leave()
			}
		case "rolled_back":
			go func() {
				time.Sleep(3 * time.Second)
				for _, p := range fresh {
					p.draining.Store(true)
					p.writeEntry()
				}
				time.Sleep(drainTime + time.Second)
				for _, p := range fresh {
					p.leave()
				}
			}()
		}
	}
	return last
}
