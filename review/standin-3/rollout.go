package main

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"net/http"
	"time"
)

const (
	rolloutService = "pairing"
	rolloutLimit   = 12 * time.Second
	badShare       = 0.4 // of the answers of a bad version
	exposureShare  = 0.1
	exposureSlack  = 50
	rollbackTime   = 5 * time.Second
	rollbackBad    = 50
)

// pairing is the route of the rollout cases, whose requests may run once at most.
var pairing = route{Name: "pair", Host: "pen.example", Prefix: "/pair/", Method: http.MethodPost, Deadline: 800 * time.Millisecond, PerSecond: 120}

func pairingConfig() map[string]any {
	return configuration(7, []map[string]any{{
		"name": "pair", "host": pairing.Host, "prefix": pairing.Prefix, "kind": "unsafe", "timeout_ms": 800, "target_latency_ms": 200,
		"priority": 1, "service": rolloutService, "max_attempts": 2, "home_regions": []string{},
	}}, []map[string]any{{
		"name": rolloutService, "health_path": "/health", "max_connections": 60, "protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0,
	}})
}

// pairingServers returns three servers of a version.
func pairingServers(version string, answers func(*http.Request) answer) []*server {
	var out []*server
	for i, zone := range []string{zones[0], zones[1], zones[0]} {
		out = append(out, &server{ID: "i-" + version + "-" + string(rune('a'+i)), Service: rolloutService, Zone: zone, Version: version, Answer: answers})
	}
	return out
}

// fails answers badShare of the requests, chosen by their ids, with a status.
func fails(status int) func(*http.Request) answer {
	return func(r *http.Request) answer {
		h := fnv.New32a()
		_, _ = h.Write([]byte(r.Header.Get("Request-Id")))
		good := answer{http.StatusOK, 5 * time.Millisecond}
		if float64(h.Sum32()%1000) >= 1000*badShare {
			return good
		}
		return answer{status, good.Work}
	}
}

func init() {
	cases["status"] = func(ctx context.Context, b *bed) (verdict, error) {
		return badVersion(ctx, b, fails(http.StatusNotFound))
	}
}

// order writes the operator's order for a version and returns when it was accepted.
func (b *bed) order(version string) time.Time {
	at := b.store.Put("op/rollout/"+rolloutService, map[string]any{
		"service": rolloutService, "target_version": version, "duration_s": rolloutLimit.Seconds(),
	})
	b.log.Say("%.3f order to move %s to %s within %v", b.log.at(at), rolloutService, version, rolloutLimit)
	return at
}

// state returns the state that the system has published of the rollout to a version.
func (b *bed) state(version string) string {
	var s struct {
		State   string `json:"state"`
		Version string `json:"target_version"`
	}
	if json.Unmarshal(b.store.Value("status/rollout/"+rolloutService), &s) != nil || s.Version != version {
		return ""
	}
	return s.State
}

// awaitState waits until the published state of a version is no longer running.
func (b *bed) awaitState(ctx context.Context, version string, until time.Time) string {
	for ctx.Err() == nil && time.Now().Before(until) {
		if s := b.state(version); s != "" && s != "running" {
			b.log.Say("%.3f the system says that %s is %s", time.Since(b.log.start).Seconds(), version, s)
			return s
		}
		time.Sleep(20 * time.Millisecond)
	}
	return b.state(version)
}

// badVersion: the operator orders a move to a version, which is bad if trouble is made.
// The platform does what it does at the end of a move: at "completed" the old servers stop
// at once, at "rolled_back" the new ones drain some seconds later.
func badVersion(ctx context.Context, b *bed, bad func(*http.Request) answer) (verdict, error) {
	old := pairingServers("v1", nil)
	if err := b.start(ctx, pairingConfig(), old); err != nil {
		return verdict{}, err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() { b.clients.Run(traffic, pairing); close(done) }()
	sleep(ctx, 6*time.Second)
	var answers func(*http.Request) answer
	if b.trouble {
		answers = bad
	}
	ordered := b.order("v2")
	second := pairingServers("v2", answers)
	for _, s := range second {
		if err := b.add(s); err != nil {
			return verdict{}, err
		}
	}
	state := b.awaitState(ctx, "v2", ordered.Add(rolloutLimit+2*time.Second))
	leaving := old
	if state == "rolled_back" {
		leaving = second
		sleep(ctx, 3*time.Second)
		for _, s := range leaving {
			s.Drain()
		}
		sleep(ctx, 4*time.Second)
	}
	if state == "completed" || state == "rolled_back" {
		for _, s := range leaving {
			s.Stop()
		}
	}
	sleep(ctx, time.Until(ordered.Add(rolloutLimit+8*time.Second)))
	stop()
	<-done
	return b.judgeExposure("v2", ordered), nil
}

// judgeExposure judges what a version got of the requests to its service. The rule is
// about bad versions: one without a bad answer has no limit.
func (b *bed) judgeExposure(version string, ordered time.Time) verdict {
	sent := map[string]time.Time{}
	failed := 0
	for _, c := range b.clients.Calls() {
		sent[c.ID] = c.Sent
		if c.Sent.After(ordered) && c.Status != http.StatusOK {
			failed++
		}
	}
	total, got, bad, late := 0, 0, 0, 0
	var fiftieth time.Time
	for _, a := range b.arrivals() {
		inTime := a.At.After(ordered) && a.At.Before(ordered.Add(rolloutLimit))
		if inTime {
			total++
		}
		if a.Version != version {
			continue
		}
		if inTime {
			got++
		}
		if !fiftieth.IsZero() && sent[a.ID].After(fiftieth.Add(rollbackTime)) {
			late++
		}
		if a.Ran && a.Status >= http.StatusMultipleChoices {
			if bad++; bad == rollbackBad {
				fiftieth = a.At
			}
		}
	}
	limit := exposureShare*float64(total) + exposureSlack
	b.log.Say("%s got %d of %d requests to its service between the order and its deadline (limit of a bad version %.0f), and gave %d bad answers in all", version, got, total, limit, bad)
	if !fiftieth.IsZero() {
		b.log.Say("its 50th bad answer was at %.3f; it got %d requests that were sent more than 5 s later", b.log.at(fiftieth), late)
	}
	b.log.Say("%d requests that clients sent after the order had no success", failed)
	switch {
	case bad == 0:
		return verdict{false, "the version was good, state " + b.state(version)}
	case float64(got) > limit:
		return verdict{true, "EXPOSURE: the bad version got more than its share"}
	case late > 0:
		return verdict{true, "EXPOSURE: the bad version got requests later than rollback_ms after its 50th bad answer"}
	}
	return verdict{false, "the bad version got no more than it may"}
}
