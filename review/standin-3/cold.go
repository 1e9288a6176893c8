package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	letterService   = "letters"
	warmup          = 3 * time.Second
	warmupPerSecond = 5.0 // requests that a cold server tolerates
	warmupOvershoot = 1.5
	warmupSlack     = 5
	// crashPerSecond is the rate well above that at which a cold server crashes.
	crashPerSecond = 20
	// coldDown is how long the servers are down by the disruption, and overloadDown how long
	// one is down that crashed by its load.
	coldDown     = 800 * time.Millisecond
	overloadDown = 4500 * time.Millisecond
	coldRounds   = 4
)

// letters is the route of the case, whose requests may run once at most.
var letters = route{Name: "letters", Host: "pen.example", Prefix: "/letters/", Method: http.MethodPost, Deadline: 2 * time.Second, PerSecond: 120}

func lettersConfig() map[string]any {
	return configuration(7, []map[string]any{{
		"name": letters.Name, "host": letters.Host, "prefix": letters.Prefix, "kind": "unsafe", "timeout_ms": 2000, "target_latency_ms": 300,
		"priority": 1, "service": letterService, "max_attempts": 2, "home_regions": []string{},
	}}, []map[string]any{{
		"name": letterService, "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false,
		"warmup_s": warmup.Seconds(), "warmup_per_s": warmupPerSecond,
	}})
}

func init() { cases["cold"] = coldRestart }

// coldRestart: both servers of a service crash, and start again soon under their ids, cold.
// Their entries say so from their start.
func coldRestart(ctx context.Context, b *bed) (verdict, error) {
	servers := []*server{
		{ID: "i-letters-a", Service: letterService, Zone: zones[0], Version: "v1"},
		{ID: "i-letters-b", Service: letterService, Zone: zones[1], Version: "v1"},
	}
	var crashed sync.WaitGroup
	for _, s := range servers {
		s.Answer = func(*http.Request) answer { return answer{http.StatusOK, 20 * time.Millisecond} }
		s.OnArrival = func(s *server, cold bool) {
			if cold && s.coldInLastSecond() >= crashPerSecond && s.isUp() {
				crashed.Go(func() {
					s.Crash("too many requests while it was cold")
					sleep(ctx, overloadDown)
					_ = s.Start(warmup) // fails only if the disruption has started it
				})
			}
		}
	}
	if err := b.start(ctx, lettersConfig(), servers); err != nil {
		return verdict{}, err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() { b.clients.Run(traffic, letters); close(done) }()
	sleep(ctx, 8*time.Second)
	for range coldRounds {
		if b.trouble {
			for _, s := range servers {
				s.Crash("the disruption")
			}
			sleep(ctx, coldDown)
			for _, s := range servers {
				if err := s.Start(warmup); err != nil {
					return verdict{}, err
				}
			}
		}
		sleep(ctx, 12*time.Second)
	}
	stop()
	<-done
	crashed.Wait()
	return judgeCold(b), nil
}

// coldInLastSecond returns how many requests the server got while it was cold in the last second.
func (s *server) coldInLastSecond() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for i := len(s.arrivals) - 1; i >= 0 && s.arrivals[i].Cold && time.Since(s.arrivals[i].At) < time.Second; i-- {
		n++
	}
	return n
}

// judgeCold judges the arrivals at cold servers by the most in any second, of requests that
// were sent and arrived inside it.
func judgeCold(b *bed) verdict {
	const limit = warmupPerSecond*warmupOvershoot + warmupSlack
	sent := map[string]time.Time{}
	for _, c := range b.clients.Calls() {
		sent[c.ID] = c.Sent
	}
	most, worst, lost := 0, "", 0
	var when time.Time
	for _, s := range b.servers {
		var cold []arrival
		for _, a := range s.Arrivals() {
			if a.Cold {
				cold = append(cold, a)
				if a.Ran && a.Status == 0 {
					lost++
				}
			}
		}
		for _, first := range cold {
			start, n := sent[first.ID], 0
			for _, a := range cold {
				if !sent[a.ID].Before(start) && a.At.Before(start.Add(time.Second)) {
					n++
				}
			}
			if n > most {
				most, worst, when = n, s.ID, start
			}
		}
	}
	if most > 0 {
		b.log.Say("a cold server got up to %d requests in one second (%s, from %.3f); the limit is %.1f", most, worst, b.log.at(when), limit)
	}
	b.log.Say("%d requests that ran at a cold server got no answer from it", lost)
	if float64(most) > limit {
		return verdict{true, "FAILBACK: a cold server got more requests in one second than it bears"}
	}
	return verdict{false, "no cold server got more than it bears"}
}
