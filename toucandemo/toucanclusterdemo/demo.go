// Package toucanclusterdemo demonstrates a deployment of hosts in front of
// simulated targets.
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
	// A configuration change is in effect on all hosts within 16 s.
	configTimeout    = 20 * time.Second
	retryInterval    = 200 * time.Millisecond
	zoneOutOfService = toucanzone.Name("sierra")
	pairKey          = "demo-pair-1"
)

var (
	matchQuery = &toucanpb.Query{Service: "pairing", Route: "match", Query: "football letters animals", Limit: 3, Timeout: "1s"}
	findQuery  = &toucanpb.Query{Service: "coordinator", Route: "find", Query: "music pen pal", Limit: 3, Timeout: "1s"}
	pairQuery  = &toucanpb.Query{Service: "pairing", Route: "pair", Query: "Lucia with Mateo", Limit: 1, Timeout: "2s", Key: pairKey}
)

// Demo runs the demonstration on a deployment that has not been started.
type Demo struct {
	Deployment *toucandeploy.Deployment
	Out        io.Writer
}

// Run runs all steps, the last of which stops the deployment. It returns an
// error with CODE_FAILED if a step has an unexpected result, or the error of the
// call that failed.
func (d *Demo) Run(ctx context.Context) error {
	for _, step := range []struct {
		title string
		run   func(context.Context) error
	}{
		{"Start the store, targets and hosts, and apply the configuration", d.start},
		{"Query with all targets running", d.queryAll},
		{"Make a pairing, which must run only once", d.runPairOnce},
		{"Kill one target process and query again", d.killTargets},
		{"Take zone " + string(zoneOutOfService) + " out of service and query again", d.takeZoneOut},
		{"Stop all processes with SIGTERM", d.Deployment.Stop},
	} {
		began := time.Now()
		d.printf("\n== %s", step.title)
		if err := step.run(ctx); err != nil {
			return err
		}
		d.printf("   (%s)", time.Since(began).Round(time.Millisecond))
	}
	d.printf("\nAll processes exited with code 0.")
	return nil
}

func (d *Demo) start(ctx context.Context) error {
	if err := d.Deployment.Start(ctx); err != nil {
		return err
	}
	for _, h := range d.Deployment.Hosts {
		d.printf("   host %-10s zone %-8s callers %s", h.Name, h.Zone, h.Callers)
	}
	return nil
}

func (d *Demo) queryAll(ctx context.Context) error {
	return d.waitForFullCoverage(ctx, d.Deployment.Hosts)
}

// waitForFullCoverage queries every host until its answer covers all shards.
func (d *Demo) waitForFullCoverage(ctx context.Context, hosts []*toucandeploy.Host) error {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	for i, h := range hosts {
		q := matchQuery
		if i%2 == 1 {
			q = findQuery
		}
		for {
			a, err := d.query(ctx, h, q)
			if err == nil && a.GetCoverage().GetAnswered() == a.GetCoverage().GetAsked() {
				d.printAnswer(h, q, a)
				break
			}
			if err == nil {
				err = failedf("%s answers with %d of %d shards, missing: %v", h.Name,
					a.GetCoverage().GetAnswered(), a.GetCoverage().GetAsked(), a.GetCoverage().GetMissing())
			}
			if !toucantimer.Wait(ctx, retryInterval) {
				return err
			}
		}
	}
	return nil
}

func (d *Demo) runPairOnce(ctx context.Context) error {
	h := d.Deployment.Hosts[0]
	a, err := d.query(ctx, h, pairQuery)
	if err != nil {
		return err
	}
	d.printAnswer(h, pairQuery, a)
	_, err = d.Deployment.Search(ctx, d.Deployment.Hosts[1].Callers, pairQuery)
	f := toucanfault.As(err)
	if f == nil || f.Code != toucanpb.Code_CODE_DUPLICATE {
		return failedf("a second request with the key was not refused as a duplicate: %v", err)
	}
	d.printf("   the same key again: %v", f)
	ledger, err := d.Deployment.Ledger(ctx)
	if err != nil {
		return err
	}
	var runs uint64
	for _, r := range ledger {
		runs += r.Runs[pairKey]
	}
	if runs != 1 {
		return failedf("the targets ran the pairing %d times", runs)
	}
	d.printf("   the targets ran it once")
	return nil
}

func (d *Demo) killTargets(ctx context.Context) error {
	t := d.Deployment.Targets[len(d.Deployment.Targets)-1]
	t.Process.Kill()
	d.printf("   killed %s with %d replicas", t.Process.Name(), len(t.Replicas))
	a, err := d.query(ctx, d.Deployment.Hosts[0], matchQuery)
	if err != nil {
		return err
	}
	d.printAnswer(d.Deployment.Hosts[0], matchQuery, a)
	return d.waitForFullCoverage(ctx, d.Deployment.Hosts)
}

func (d *Demo) takeZoneOut(ctx context.Context) error {
	if err := d.Deployment.ZoneOut(ctx, zoneOutOfService); err != nil {
		return err
	}
	waitCtx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	for _, h := range d.Deployment.Hosts {
		if h.Zone != zoneOutOfService {
			continue
		}
		for {
			_, err := d.Deployment.Search(waitCtx, h.Callers, matchQuery)
			f := toucanfault.As(err)
			if f != nil && f.Code == toucanpb.Code_CODE_OUT && f.Outcome == toucanpb.Outcome_OUTCOME_NOTRUN {
				d.printf("   %s refuses: %v (%s)", h.Name, f, toucanfault.OutcomeName(f.Outcome))
				break
			}
			if !toucantimer.Wait(waitCtx, retryInterval) {
				return failedf("%s does not refuse: %v", h.Name, err)
			}
		}
	}
	for _, h := range d.Deployment.Hosts {
		if h.Zone == zoneOutOfService {
			continue
		}
		a, err := d.query(ctx, h, matchQuery)
		if err != nil {
			return err
		}
		d.printAnswer(h, matchQuery, a)
	}
	return nil
}

// query sends q to a host and checks that the coverage adds up and that all items
// have the snapshot's index version.
func (d *Demo) query(ctx context.Context, h *toucandeploy.Host, q *toucanpb.Query) (*toucanpb.Answer, error) {
	a, err := d.Deployment.Search(ctx, h.Callers, q)
	if err != nil {
		return nil, err
	}
	c := a.GetCoverage()
	if c.GetAnswered() == 0 || int(c.GetAnswered())+len(c.GetMissing()) != int(c.GetAsked()) {
		return nil, failedf("coverage of %s does not add up: %v", h.Name, c)
	}
	for _, i := range a.GetItems() {
		suffix := fmt.Sprintf(" index=%d]", a.GetSnapshot().GetIndex())
		if q.GetKey() == "" && !strings.HasSuffix(i.GetText(), suffix) {
			return nil, failedf("item %q does not have index version %d", i.GetText(), a.GetSnapshot().GetIndex())
		}
	}
	return a, nil
}

func (d *Demo) printAnswer(h *toucandeploy.Host, q *toucanpb.Query, a *toucanpb.Answer) {
	c := a.GetCoverage()
	d.printf("   %s, %s/%s %q: index %d, map %d, coverage %d of %d", h.Name, q.GetService(), q.GetRoute(), q.GetQuery(),
		a.GetSnapshot().GetIndex(), a.GetSnapshot().GetMap(), c.GetAnswered(), c.GetAsked())
	for _, m := range c.GetMissing() {
		d.printf("     missing shard %d: %s", m.GetShard(), m.GetReason())
	}
	for _, i := range a.GetItems() {
		d.printf("     %.0f  %-18s %s", i.GetScore(), i.GetId(), i.GetText())
	}
}

func (d *Demo) printf(format string, args ...any) { fmt.Fprintf(d.Out, format+"\n", args...) }

func failedf(format string, args ...any) error {
	return &toucanfault.Error{Code: toucanpb.Code_CODE_FAILED, Detail: fmt.Sprintf(format, args...)}
}
