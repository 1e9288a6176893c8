// Package toucanbench measures variants of the hosts' flags under the same load.
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

// Metrics of the hosts that count legs: those needed to answer the queries, and
// those sent, including retries and hedged requests.
const (
	MetricLegsNeeded = "toucan_legs_needed_total"
	MetricLegsSent   = "toucan_legs_sent_total"
)

// Bench measures the variants in turn, for several rounds. Each variant has its
// own deployment, which runs until all rounds are done. All fields but Log must
// be set.
type Bench struct {
	Plan     toucandeploy.Plan // Dir is the parent directory of the variants' directories
	Scenario toucandriver.Scenario
	Variants []Variant
	Rounds   int
	Launcher *toucanlaunch.Launcher
	Progress io.Writer
	Log      *zap.Logger
}

// Variant is a named set of flags that are added to those of the plan's hosts.
type Variant struct {
	Name string
	Args []string
}

// variantRun holds the deployment of a variant and its results so far; needed and
// sent count legs.
type variantRun struct {
	variant      Variant
	deployment   *toucandeploy.Deployment
	report       *toucanreport.Report
	needed, sent float64
}

// Run starts the deployments, measures all rounds, stops the deployments and
// returns the report of each variant, in the order of Variants. After an error the
// deployments that were started run until Launcher is closed.
func (b *Bench) Run(ctx context.Context) ([]*toucanreport.Report, error) {
	var runs []*variantRun
	for _, v := range b.Variants {
		run, err := b.startVariant(ctx, v)
		if err != nil {
			return nil, err
		}
		runs = append(runs, run)
	}
	for round := range b.Rounds {
		for _, run := range runs {
			if err := b.runRound(ctx, run, round); err != nil {
				return nil, err
			}
		}
	}
	var reports []*toucanreport.Report
	for _, run := range runs {
		ledger, err := run.deployment.Ledger(ctx)
		if err != nil {
			return nil, err
		}
		run.report.SetTargets(ledger)
		run.report.SetExtraLegs(run.needed, run.sent)
		reports = append(reports, run.report)
		if err := run.deployment.Stop(ctx); err != nil {
			return nil, err
		}
	}
	return reports, nil
}

func (b *Bench) startVariant(ctx context.Context, v Variant) (*variantRun, error) {
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
	return &variantRun{variant: v, deployment: d, report: toucanreport.New()}, nil
}

// runRound measures one variant for one round. The seed depends only on the
// number of the round, so that all variants get the same arrivals.
func (b *Bench) runRound(ctx context.Context, run *variantRun, round int) error {
	scenario := b.Scenario
	scenario.Seed += uint64(round)
	for _, h := range run.deployment.Hosts {
		scenario.Callers = append(scenario.Callers, h.Callers)
	}
	driver, err := toucandriver.New(scenario)
	if err != nil {
		return err
	}
	fmt.Fprintf(b.Progress, "round %d of %d: %s for %s\n", round+1, b.Rounds, run.variant.Name, scenario.Warmup+scenario.Duration)
	before, err := run.deployment.Metrics(ctx)
	if err != nil {
		return err
	}
	offset := time.Duration(round) * scenario.Duration
	run.report.AddDuration(scenario.Duration)
	driver.Run(ctx, func(r toucandriver.Result) {
		r.Arrival -= scenario.Warmup
		run.report.Add(offset, r)
	})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	after, err := run.deployment.Metrics(ctx)
	if err != nil {
		return err
	}
	run.needed += after[MetricLegsNeeded] - before[MetricLegsNeeded]
	run.sent += after[MetricLegsSent] - before[MetricLegsSent]
	return nil
}
