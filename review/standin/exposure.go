package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// exposure moves a service to a version that fails one in five requests of one of its two
// routes, and counts the requests that this version gets until the deadline of the order.
func exposure(b *bed, trouble bool) bool {
	const (
		service      = "cartero"
		duration     = 20 * time.Second
		share, slack = 0.1, 50.0
		rollbackTime = 5 * time.Second
		warmup       = 3 * time.Second
		rareRoute    = "/pairing/"
	)
	b.store.write("op/config", config(1, []any{
		route("r-letters", "/letters/", "safe", service), route("r-pairing", rareRoute, "unsafe", service),
	}, service))
	var old, fresh []*replica
	for i, zone := range []string{"quito-a", "guayaquil-a", "tena-a"} {
		r := &replica{id: fmt.Sprintf("i-old-%d", i), service: service, zone: zone, version: "v1", slots: 3, work: 20 * time.Millisecond}
		r.start(b, 0)
		old = append(old, r)
	}
	b.startHosts()
	time.Sleep(8 * time.Second)

	load := &clients{bed: b}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	load.start(ctx, request{method: "GET", host: "plumas.example", path: "/letters/1", deadline: 2 * time.Second, safe: true, perSecond: 40})
	load.start(ctx, request{method: "POST", host: "plumas.example", path: rareRoute + "1", deadline: 2 * time.Second, body: "pupil", perSecond: 6})
	time.Sleep(3 * time.Second)

	for i, zone := range []string{"quito-a", "guayaquil-a", "tena-a"} {
		r := &replica{id: fmt.Sprintf("i-new-%d", i), service: service, zone: zone, version: "v2", slots: 3, work: 20 * time.Millisecond, failStatus: 500}
		if trouble {
			r.fails = func(path string, n int) bool { return path == rareRoute+"1" && n%5 == 0 }
		}
		r.start(b, warmup)
		fresh = append(fresh, r)
	}
	ordered := b.store.write("op/rollout/"+service, map[string]any{"service": service, "target_version": "v2", "duration_s": duration.Seconds()})
	b.say("%s: order of v2 acknowledged, %v", service, duration)
	deadline, state := ordered.Add(duration), ""
	for time.Now().Before(deadline.Add(time.Second)) {
		time.Sleep(20 * time.Millisecond)
		var status struct {
			State   string `json:"state"`
			Version string `json:"target_version"`
		}
		if json.Unmarshal(b.store.read("status/rollout/"+service), &status) != nil || status.State == state {
			continue
		}
		state = status.State
		b.say("%.1f s after the order: status %s of %s", time.Since(ordered).Seconds(), state, status.Version)
		switch state {
		case "completed":
			for _, r := range old {
				r.end()
			}
		case "rolled_back":
			for _, r := range fresh {
				time.AfterFunc(3*time.Second, func() { r.drain() })
			}
		}
	}
	stop()
	load.wg.Wait()

	var total, exposed, late int
	var bad []time.Time
	for _, r := range append(append([]*replica(nil), old...), fresh...) {
		for _, a := range r.seen() {
			if a.at.Before(ordered) || a.at.After(deadline) {
				continue
			}
			total++
			if r.version == "v2" {
				exposed++
				if a.status == 500 {
					bad = append(bad, a.at)
				}
			}
		}
	}
	sortBy(bad, func(x, y time.Time) bool { return x.Before(y) })
	if len(bad) >= 50 {
		for _, r := range fresh {
			for _, a := range r.seen() {
				if a.at.After(bad[49].Add(rollbackTime)) {
					late++
				}
			}
		}
	}
	failed := 0
	for _, a := range load.list() {
		if a.status == 500 && !a.safe {
			failed++
		}
	}
	b.writeRecord(load, append(old, fresh...))
	allowed := share*float64(total) + slack
	b.say("%d requests reached the service until the deadline, %d of them v2 (allowed for a bad version %.0f); %d bad answers of v2; %d requests that can't be repeated answered 500; last state %q",
		total, exposed, allowed, len(bad), failed, state)
	return trouble && (float64(exposed) > allowed || late > 0)
}
