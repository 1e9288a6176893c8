package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	coldTime      = 3 * time.Second
	coldRate      = 5.0 // warmup_per_s
	coldOvershoot = 1.5 // warmup_overshoot
	coldSlack     = 5.0 // warmup_slack

	// crashTime is for how long a replica is down.
	crashTime      = 700 * time.Millisecond
	crashEach      = 12 * time.Second
	crashes        = 4
	requestsPerSec = 90
)

// arrival is a request that reached a replica.
type arrival struct{ sent, at time.Time }

// runFailback plays crashes of both replicas of a service. They start again under the ids and
// at the addresses that they had, before their entries expire, and are cold then.
func runFailback(rec *record, trouble bool) (bool, error) {
	b, err := newBed(rec, map[string]string{"opuwo": "kunene", "uis": "erongo", "windhoek": "khomas"})
	if err != nil {
		return false, err
	}
	defer b.stop()
	replicas, err := b.addReplicas("logbook", 1, 10*time.Millisecond, "opuwo", "uis")
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	arrivals := map[string][]arrival{} // at cold replicas, by start
	for _, p := range replicas {
		p.onArrival = func(p *replica, id string) {
			now := time.Now()
			if coldUntil := p.coldUntil(); now.Before(coldUntil) {
				mu.Lock()
				defer mu.Unlock()
				key := fmt.Sprintf("%s started at %d ms", p.id, p.started().Sub(rec.start).Milliseconds())
				arrivals[key] = append(arrivals[key], arrival{sentAt[id], now})
			}
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
	end := time.Now().Add(12*time.Second + crashes*crashEach)
	var clients sync.WaitGroup
	statuses := map[int]int{}
	const perHost = 8 // connections
	for _, h := range b.hosts {
		for range perHost {
			clients.Go(func() {
				var c *callerConn
				interval := time.Second * time.Duration(perHost*len(b.hosts)) / requestsPerSec
				time.Sleep(rand.N(interval))
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
					a := c.doAs(id, http.MethodGet, "/entries/x", "", 2500*time.Millisecond)
					mu.Lock()
					statuses[a.status]++
					mu.Unlock()
					rec.add("client", map[string]any{"request": id, "host": h.name, "status": a.status})
					if a.status == 0 {
						c.Close()
						c = nil
					}
				}
			})
		}
	}
	time.Sleep(12 * time.Second)
	for range crashes {
		if trouble {
			for _, p := range replicas {
				p.crash()
			}
			rec.add("the replicas of logbook crash", nil)
			time.Sleep(crashTime)
			for _, p := range replicas {
				if err := p.restart(coldTime); err != nil {
					return false, err
				}
			}
			rec.add("they have started again, cold", nil)
			time.Sleep(crashEach - crashTime)
		} else {
			time.Sleep(crashEach)
		}
	}
	clients.Wait()
	fmt.Println("answers by status:", statuses)
	bound := coldRate*coldOvershoot + coldSlack
	held := true
	for key, all := range arrivals {
		most := mostInOneSecond(all)
		rec.add("result", map[string]any{"replica": key, "most_in_one_second": most, "bound": bound, "arrivals_while_cold": len(all)})
		fmt.Printf("%s: at most %d requests in one second while cold, %.1f allowed\n", key, most, bound)
		held = held && float64(most) <= bound
	}
	if trouble && len(arrivals) == 0 {
		return false, errCantRun
	}
	return held, nil
}

// mostInOneSecond returns the largest number of requests that were sent and arrived inside one
// second.
func mostInOneSecond(all []arrival) int {
	most := 0
	for _, first := range all {
		from := first.sent
		n := 0
		for _, a := range all {
			if !a.sent.Before(from) && a.at.Before(from.Add(time.Second)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
