package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"
)

// drain cuts the host that reads the store for its zone off from the store. Right after
// that the replicas of a service leave without a report that they drain. The case looks for
// requests that reach them after the bound through the other hosts, which have no fault.
func drain(b *bed, trouble bool) bool {
	const (
		service   = "socios"
		zone      = "quito-a"
		bound     = 3 * time.Second         // drain_ms
		servesFor = 3500 * time.Millisecond // after its entry is removed: drain_ms and a little longer
		cutFor    = 5500 * time.Millisecond
	)
	b.store.write("op/config", config(1, []any{route("r-members", "/members/", "unsafe", service)}, service))
	var replicas []*replica
	for i, z := range zones {
		r := &replica{id: fmt.Sprintf("i-%d", i), service: service, zone: z.name, version: "v1", slots: 3, work: 20 * time.Millisecond}
		r.start(b, 0)
		replicas = append(replicas, r)
	}
	b.startHosts()
	time.Sleep(8 * time.Second)
	load := &clients{bed: b}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	load.start(ctx, request{method: "POST", host: "plumas.example", path: "/members/1", deadline: 2 * time.Second, body: "vote", perSecond: 45})
	time.Sleep(4 * time.Second)

	// The reader is the host of the zone that sends watches.
	var reader *host
	for _, h := range b.hosts {
		if at, n := h.link.watched(); h.zone == zone && n > 0 && time.Since(at) < 3*time.Second {
			reader = h
		}
	}
	if reader == nil {
		panic(cantRun{fmt.Errorf("no host of %s reads the store", zone)})
	}
	// It is cut off a moment after it has sent a watch, for which PHASE may name another
	// number of milliseconds.
	phase := 20 * time.Millisecond
	if ms, err := strconv.Atoi(os.Getenv("PHASE")); err == nil {
		phase = time.Duration(ms) * time.Millisecond
	}
	_, before := reader.link.watched()
	for n := before; n == before; _, n = reader.link.watched() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(phase)
	if trouble {
		reader.link.cut(true)
		b.say("%s, which reads the store for %s, is cut off from the store for %v", reader.name, zone, cutFor)
		time.AfterFunc(cutFor, func() { reader.link.cut(false) })
	}
	time.Sleep(100 * time.Millisecond)
	var gone time.Time
	for _, r := range replicas {
		gone = r.leave()
		b.say("entry of replica %s removed, it serves for another %v", r.id, servesFor)
		time.AfterFunc(servesFor, r.end)
	}
	time.Sleep(cutFor + 2*time.Second)
	stop()
	load.wg.Wait()
	b.writeRecord(load, replicas)

	through := map[string]string{} // host of each request
	lost := 0
	for _, a := range load.list() {
		through[a.id] = a.host
		if a.status == 502 && a.sent.After(gone) {
			lost++
		}
	}
	late, last := map[string]int{}, time.Duration(0)
	for _, r := range replicas {
		for _, a := range r.seen() {
			if after := a.at.Sub(gone); after > bound && through[a.id] != reader.name {
				late[through[a.id]]++
				last = max(last, after)
			}
		}
	}
	b.say("requests that reached a replica later than %v after its entry was removed, through hosts without a fault: %v, the last one %.0f ms after; %d requests that can't be repeated were answered 502",
		bound, late, float64(last.Milliseconds()), lost)
	return len(late) > 0
}
