package main

import (
	"context"
	"net/http"
	"syscall"
	"time"
)

const (
	restartDelay = 500 * time.Millisecond // of the platform, after a process has ended
	maxStarts    = 8
	gracePeriod  = 6 * time.Second
	// An end within ownEndSlack of the disruption of its host doesn't count as its own. The
	// rule is broken if processes of minHosts hosts end by themselves ownEnds times each.
	ownEndSlack = time.Second
	ownEnds     = 3
	minHosts    = 2
)

// lookup is the route of the settings case.
var lookup = route{Name: "lookup", Host: "pen.example", Prefix: "/lookup/", Method: http.MethodPost, Deadline: 800 * time.Millisecond, PerSecond: 60}

func init() { cases["settings"] = settingsChange }

// settingsChange: the platform changes one bound in all settings files, to a fraction if
// trouble is made, and then restarts the hosts in turn.
func settingsChange(ctx context.Context, b *bed) (verdict, error) {
	config := configuration(7, []map[string]any{{
		"name": lookup.Name, "host": lookup.Host, "prefix": lookup.Prefix, "kind": "safe", "timeout_ms": 800, "target_latency_ms": 200,
		"priority": 1, "service": "members", "max_attempts": 2, "home_regions": []string{},
	}}, []map[string]any{{
		"name": "members", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0,
	}})
	servers := []*server{{ID: "i-members-a", Service: "members", Zone: zones[0], Version: "v1"}, {ID: "i-members-b", Service: "members", Zone: zones[1], Version: "v1"}}
	if err := b.start(ctx, config, servers); err != nil {
		return verdict{}, err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() { b.clients.Run(traffic, lookup); close(done) }()
	sleep(ctx, 5*time.Second)
	value := "2750"
	if b.trouble {
		value = "2750.5"
	}
	for _, h := range b.hosts {
		if err := h.SetBound("configuration_apply_ms", value); err != nil {
			return verdict{}, err
		}
	}
	sleep(ctx, 6*time.Second)
	failing, ends := 0, 0
	for _, h := range b.hosts {
		if err := h.command.Process.Signal(syscall.SIGTERM); err != nil {
			return verdict{}, err
		}
		b.log.Add(h.name, "SIGTERM")
		select {
		case <-h.exited:
		case <-time.After(gracePeriod):
			h.Kill()
		}
		stopped, own := time.Now(), 0
		for range maxStarts {
			sleep(ctx, restartDelay)
			if err := h.Start(); err != nil {
				return verdict{}, err
			}
			ended, err := h.readyOrEnded(ctx)
			if err != nil {
				return verdict{}, err
			}
			if !ended {
				break
			}
			if time.Since(stopped) > ownEndSlack {
				own++
			}
		}
		b.log.Say("%s ended by itself %d times, later than %v after its stop", h.name, own, ownEndSlack)
		ends += own
		if own >= ownEnds {
			failing++
		}
	}
	after := time.Now()
	sleep(ctx, 5*time.Second)
	stop()
	<-done
	served, all := 0, 0
	for _, c := range b.clients.Calls() {
		if c.Sent.After(after) {
			all++
			if c.Status == http.StatusOK {
				served++
			}
		}
	}
	b.log.Say("processes ended by themselves %d times; after the restarts %d of %d requests were served", ends, served, all)
	if failing >= minHosts {
		return verdict{true, "Fault: the program does not start"}, nil
	}
	return verdict{false, "all hosts started with the changed settings"}, nil
}

// readyOrEnded waits until the process is ready or has ended, and reports whether it has
// ended. It fails if neither happens.
func (h *host) readyOrEnded(ctx context.Context) (ended bool, err error) {
	waiting, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	go func() {
		select {
		case <-h.exited:
			cancel()
		case <-waiting.Done():
		}
	}()
	err = h.WaitReady(waiting)
	select {
	case <-h.exited:
		return true, nil
	default:
		return false, err
	}
}
