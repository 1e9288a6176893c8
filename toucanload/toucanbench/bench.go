// Package toucanbench compares two variants of the hosts' policy under the
// same load.
package toucanbench

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucandeploy"
	"toucanstair.example/core/toucanlaunch"
	"toucanstair.example/toucanload/toucandriver"
	"toucanstair.example/toucanload/toucanreport"
)

// The hosts' counters of legs.
const (
	MetricLegsNeeded = "toucan_legs_needed_total"
	MetricLegsSent   = "toucan_legs_sent_total"
)

// Bench runs the variants in turn, for several rounds, each on a deployment of
// its own that stays up during the whole run.
type Bench struct {
	Plan     toucandeploy.Plan // Dir is the parent of the variants' folders
	Scenario toucandriver.Scenario
	Variants []Variant
	Rounds   int
	Launcher *toucanlaunch.Launcher
	Progress io.Writer
	Log      *zap.Logger
}

// Variant is a name and the hosts' flags that differ.
type Variant struct {
	Name string
	Args []string
}

type side struct {
	variant      Variant
	deployment   *toucandeploy.Deployment
	report       *toucanreport.Report
	needed, sent float64
}

// Run returns the report of each variant, in their order.
func (b *Bench) Run(ctx context.Context) ([]*toucanreport.Report, error) {
	var sides []*side
	for _, v := range b.Variants {
		s, err := b.start(ctx, v)
		if err != nil {
			return nil, err
		}
		sides = append(sides, s)
	}
	for round := range b.Rounds {
		for _, s := range sides {
			if err := b.round(ctx, s, round); err != nil {
				return nil, err
			}
		}
	}
	var reports []*toucanreport.Report
	for _, s := range sides {
		ledger, err := s.deployment.Ledger(ctx)
		if err != nil {
			return nil, err
		}
		s.report.SetTargets(ledger)
		s.report.SetExtraLegs(s.needed, s.sent)
		reports = append(reports, s.report)
		if err := s.deployment.Stop(ctx); err != nil {
			return nil, err
		}
	}
	return reports, nil
}

func (b *Bench) start(ctx context.Context, v Variant) (*side, error) {
	plan := b.Plan
	plan.Dir = filepath.Join(b.Plan.Dir, v.Name)
	if err := os.MkdirAll(plan.Dir, 0o700); err != nil {
		return nil, err
	}
	plan.Args = append(append([]string(nil), b.Plan.Args...), v.Args...)
	fmt.Fprintf(b.Progress, "starting %s\n", v.Name)
	d := toucandeploy.New(plan, b.Launcher, b.Log)
	if err := d.Start(ctx); err != nil {
		return nil, err
	}
	return &side{variant: v, deployment: d, report: toucanreport.New()}, nil
}

// round sends the same arrivals to each variant: the seed depends only on the
// number of the round.
func (b *Bench) round(ctx context.Context, s *side, number int) error {
	scenario := b.Scenario
	scenario.Seed += uint64(number)
	for _, h := range s.deployment.Hosts {
		scenario.Callers = append(scenario.Callers, h.Callers)
	}
	driver, err := toucandriver.New(scenario)
	if err != nil {
		return err
	}
	fmt.Fprintf(b.Progress, "round %d of %d: %s for %s\n", number+1, b.Rounds, s.variant.Name, scenario.Warmup+scenario.Duration)
	before, err := s.deployment.Metrics(ctx)
	if err != nil {
		return err
	}
	offset := time.Duration(number) * scenario.Duration
	s.report.AddDuration(scenario.Duration)
	driver.Run(ctx, func(r toucandriver.Result) {
		r.Arrival -= scenario.Warmup
		s.report.Add(offset, r)
	})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	after, err := s.deployment.Metrics(ctx)
	if err != nil {
		return err
	}
	s.needed += after[MetricLegsNeeded] - before[MetricLegsNeeded]
	s.sent += after[MetricLegsSent] - before[MetricLegsSent]
	return nil
}
