// Package toucanclusterdemo runs the demonstration.
package toucanclusterdemo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"toucanstair.example/core/toucandeploy"
	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucantimer"
	"toucanstair.example/core/toucanzone"
)

const (
	// A change of the configuration is in effect everywhere in 16 s.
	effectLimit = 20 * time.Second
	retryPause  = 200 * time.Millisecond
	zoneOut     = toucanzone.Name("sierra")
	pairKey     = "demo-pair-1"
)

var (
	match = &toucanpb.Query{Service: "pairing", Route: "match", Query: "football letters animals", Limit: 3, Timeout: "1s"}
	find  = &toucanpb.Query{Service: "coordinator", Route: "find", Query: "music pen pal", Limit: 3, Timeout: "1s"}
	pair  = &toucanpb.Query{Service: "pairing", Route: "pair", Query: "Lucia with Mateo", Limit: 1, Timeout: "2s", Key: pairKey}
)

// Demo runs the demonstration on a deployment that is not started.
type Demo struct {
	Deployment *toucandeploy.Deployment
	Out        io.Writer
}

// Run runs all steps and stops the deployment; it fails when a step did not
// go as described.
func (s *Demo) Run(ctx context.Context) error {
	for _, step := range []struct {
		title string
		run   func(context.Context) error
	}{
		{"Start the store, targets and hosts, and apply the configuration", s.start},
		{"Ask with all targets present", s.askAll},
		{"Make a pairing, which runs once", s.pair},
		{"Kill one process of targets and ask again", s.lose},
		{"Take zone " + string(zoneOut) + " out of service and ask again", s.out},
		{"Stop all with SIGTERM", s.Deployment.Stop},
	} {
		began := time.Now()
		s.say("\n== %s", step.title)
		if err := step.run(ctx); err != nil {
			return err
		}
		s.say("   (%s)", time.Since(began).Round(time.Millisecond))
	}
	s.say("\nAll processes exited with code 0.")
	return nil
}

func (s *Demo) start(ctx context.Context) error {
	if err := s.Deployment.Start(ctx); err != nil {
		return err
	}
	for _, h := range s.Deployment.Hosts {
		s.say("   host %-10s zone %-8s callers %s", h.Name, h.Zone, h.Callers)
	}
	return nil
}

func (s *Demo) askAll(ctx context.Context) error {
	return s.full(ctx, s.Deployment.Hosts)
}

// full asks every host until its answers cover all shards.
func (s *Demo) full(ctx context.Context, hosts []*toucandeploy.Host) error {
	ctx, cancel := context.WithTimeout(ctx, effectLimit)
	defer cancel()
	for i, h := range hosts {
		q := match
		if i%2 == 1 {
			q = find
		}
		for {
			a, err := s.ask(ctx, h, q)
			if err == nil && a.GetCoverage().GetAnswered() == a.GetCoverage().GetAsked() {
				s.print(h, q, a)
				break
			}
			if err == nil {
				err = wrong("%s answers %d of %d shards: %v", h.Name,
					a.GetCoverage().GetAnswered(), a.GetCoverage().GetAsked(), a.GetCoverage().GetMissing())
			}
			if !toucantimer.Wait(ctx, retryPause) {
				return err
			}
		}
	}
	return nil
}

func (s *Demo) pair(ctx context.Context) error {
	h := s.Deployment.Hosts[0]
	a, err := s.ask(ctx, h, pair)
	if err != nil {
		return err
	}
	s.print(h, pair, a)
	_, err = s.Deployment.Search(ctx, s.Deployment.Hosts[1].Callers, pair)
	f := toucanfault.As(err)
	if f == nil || f.Code != toucanpb.Code_CODE_DUPLICATE {
		return wrong("a second request with the key was not refused as a duplicate: %v", err)
	}
	s.say("   the same key again: %v", f)
	ledger, err := s.Deployment.Ledger(ctx)
	if err != nil {
		return err
	}
	var runs uint64
	for _, r := range ledger {
		runs += r.Runs[pairKey]
	}
	if runs != 1 {
		return wrong("the targets ran the pairing %d times", runs)
	}
	s.say("   the targets ran it once")
	return nil
}

func (s *Demo) lose(ctx context.Context) error {
	t := s.Deployment.Targets[len(s.Deployment.Targets)-1]
	t.Process.Kill()
	s.say("   killed %s with %d replicas", t.Process.Name(), len(t.Replicas))
	a, err := s.ask(ctx, s.Deployment.Hosts[0], match)
	if err != nil {
		return err
	}
	s.print(s.Deployment.Hosts[0], match, a)
	return s.full(ctx, s.Deployment.Hosts)
}

func (s *Demo) out(ctx context.Context) error {
	if err := s.Deployment.ZoneOut(ctx, zoneOut); err != nil {
		return err
	}
	limit, cancel := context.WithTimeout(ctx, effectLimit)
	defer cancel()
	for _, h := range s.Deployment.Hosts {
		if h.Zone != zoneOut {
			continue
		}
		for {
			_, err := s.Deployment.Search(limit, h.Callers, match)
			f := toucanfault.As(err)
			if f != nil && f.Code == toucanpb.Code_CODE_OUT && f.Outcome == toucanpb.Outcome_OUTCOME_NOTRUN {
				s.say("   %s refuses: %v (%s)", h.Name, f, toucanfault.OutcomeName(f.Outcome))
				break
			}
			if !toucantimer.Wait(limit, retryPause) {
				return wrong("%s does not refuse: %v", h.Name, err)
			}
		}
	}
	for _, h := range s.Deployment.Hosts {
		if h.Zone == zoneOut {
			continue
		}
		a, err := s.ask(ctx, h, match)
		if err != nil {
			return err
		}
		s.print(h, match, a)
	}
	return nil
}

// ask checks that the coverage adds up and that all items are of the snapshot.
func (s *Demo) ask(ctx context.Context, h *toucandeploy.Host, q *toucanpb.Query) (*toucanpb.Answer, error) {
	a, err := s.Deployment.Search(ctx, h.Callers, q)
	if err != nil {
		return nil, err
	}
	c := a.GetCoverage()
	if c.GetAnswered() == 0 || int(c.GetAnswered())+len(c.GetMissing()) != int(c.GetAsked()) {
		return nil, wrong("coverage of %s does not add up: %v", h.Name, c)
	}
	for _, i := range a.GetItems() {
		mark := fmt.Sprintf(" index=%d]", a.GetSnapshot().GetIndex())
		if q.GetKey() == "" && !strings.HasSuffix(i.GetText(), mark) {
			return nil, wrong("item %q is not of snapshot %d", i.GetText(), a.GetSnapshot().GetIndex())
		}
	}
	return a, nil
}

func (s *Demo) print(h *toucandeploy.Host, q *toucanpb.Query, a *toucanpb.Answer) {
	c := a.GetCoverage()
	s.say("   %s, %s/%s %q: index %d, map %d, coverage %d of %d", h.Name, q.GetService(), q.GetRoute(), q.GetQuery(),
		a.GetSnapshot().GetIndex(), a.GetSnapshot().GetMap(), c.GetAnswered(), c.GetAsked())
	for _, m := range c.GetMissing() {
		s.say("     missing shard %d: %s", m.GetShard(), m.GetReason())
	}
	for _, i := range a.GetItems() {
		s.say("     %.0f  %-18s %s", i.GetScore(), i.GetId(), i.GetText())
	}
}

func (s *Demo) say(format string, args ...any) { fmt.Fprintf(s.Out, format+"\n", args...) }

func wrong(format string, args ...any) error {
	return &toucanfault.Error{Code: toucanpb.Code_CODE_FAILED, Detail: fmt.Sprintf(format, args...)}
}
