package main

import (
	"context"
	"fmt"
	"time"
)

// failback turns the replicas of a service cold, twice, and counts what each gets in one
// second while it is cold.
func failback(b *bed, trouble bool) bool {
	const (
		service          = "socios"
		warmup           = 3 * time.Second
		perSecond        = 5.0
		overshoot, slack = 1.5, 5.0
		// notice is the time that hosts have to learn of it, beyond what the rule gives.
		notice = time.Second
	)
	b.store.write("op/config", configWithWarmup(1, []any{route("r-members", "/members/", "safe", service)}, perSecond, service))
	var replicas []*replica
	for i := range 2 {
		r := &replica{id: fmt.Sprintf("i-%d", i), service: service, zone: "quito-a", version: "v1", slots: 3, work: 20 * time.Millisecond}
		r.start(b, 0)
		replicas = append(replicas, r)
	}
	b.startHosts()
	time.Sleep(8 * time.Second)
	load := &clients{bed: b}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	load.start(ctx, request{method: "GET", host: "plumas.example", path: "/members/1", deadline: 2 * time.Second, safe: true, perSecond: 60})
	time.Sleep(3 * time.Second)

	type span struct {
		replica *replica
		from    time.Time
	}
	var spans []span
	for range 2 {
		if trouble {
			for _, r := range replicas {
				at := r.turnCold(warmup)
				spans = append(spans, span{r, at})
				b.say("%.1f s: replica %s cold for %v, its entry accepted", at.Sub(b.start).Seconds(), r.id, warmup)
			}
		}
		time.Sleep(12 * time.Second)
	}
	stop()
	load.wg.Wait()
	b.writeRecord(load, replicas)

	broken := false
	for _, s := range spans {
		most, literal := 0, 0
		seen := s.replica.seen()
		for i, a := range seen {
			if a.at.Before(s.from) || a.at.After(s.from.Add(warmup-time.Second)) {
				continue
			}
			n := 0
			for _, other := range seen[i:] {
				if other.at.Sub(a.at) < time.Second {
					n++
				}
			}
			literal = max(literal, n)
			if a.at.After(s.from.Add(notice)) {
				most = max(most, n)
			}
		}
		allowed := perSecond*overshoot + slack
		b.say("%s cold from %.1f s: at most %d requests in one second, %d beginning %v after its entry was accepted; allowed %.1f", s.replica.id, s.from.Sub(b.start).Seconds(), literal, most, notice, allowed)
		broken = broken || float64(most) > allowed
	}
	return broken
}
