// Command toucanload sends open-loop load to hosts, reports latency and coverage,
// compares policies and fits benchmark results.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"toucanstair.example/core/toucandeploy"
	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanlaunch"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanspec"
	"toucanstair.example/toucanload/toucanbench"
	"toucanstair.example/toucanload/toucandriver"
	"toucanstair.example/toucanload/toucanfit"
	"toucanstair.example/toucanload/toucanreport"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "toucanload:", err)
		os.Exit(1)
	}
}

// output holds the flags for the format of results.
type output struct {
	format string
	plot   string
}

func (o *output) addFlags(f *pflag.FlagSet) {
	f.StringVarP(&o.format, "output", "o", "text", "format of the figures: text or json")
	f.StringVar(&o.plot, "plot", "", "SVG file for latency and coverage over time")
}

func (o *output) validate() error {
	if o.format != "text" && o.format != "json" {
		return invalid("output must be text or json, not " + o.format)
	}
	return nil
}

func addScenarioFlags(f *pflag.FlagSet, s *toucandriver.Scenario, warmup time.Duration) {
	f.StringVar(&s.Service, "service", s.Service, "service to query")
	f.StringVar(&s.Route, "route", s.Route, "route of the service")
	f.StringArrayVar(&s.Queries, "query", s.Queries, "query text; may be repeated, one is drawn for each request")
	f.Uint32Var(&s.Limit, "limit", 10, "items wanted")
	f.Float64Var(&s.Rate, "rate", 100, "requests a second over all hosts")
	f.DurationVar(&s.Duration, "duration", 10*time.Second, "duration of the measurement")
	f.DurationVar(&s.Warmup, "warmup", warmup, "duration before the measurement in which requests are sent but not reported")
	f.DurationVar(&s.Timeout, "timeout", time.Second, "deadline of each request")
	f.Uint64Var(&s.Seed, "seed", 1, "random seed of arrival times, queries and hosts")
	f.StringVar(&s.Keys, "keys", "", "prefix of idempotency keys; empty sends none")
}

func command() *cobra.Command {
	var s toucandriver.Scenario
	var o output
	var file string
	var opsAddresses, ledgerAddresses []string
	c := &cobra.Command{
		Use:   "toucanload",
		Short: "Send open-loop load to hosts and report latency, coverage and extra load",
		Long: "Send requests at the times of a Poisson process, whether or not earlier ones\n" +
			"have ended, and measure each from its intended arrival. Flags that are given\n" +
			"override the scenario file.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.validate(); err != nil {
				return err
			}
			if err := readScenario(c.Flags(), file, &s); err != nil {
				return err
			}
			return runLoad(c.Context(), c.OutOrStdout(), s, o, opsAddresses, ledgerAddresses)
		},
	}
	f := c.Flags()
	addScenarioFlags(f, &s, 0)
	o.addFlags(f)
	f.StringVar(&file, "scenario", "", "YAML file with callers, service, route, queries, limit, rate, duration, warmup, timeout, seed, keys")
	f.StringSliceVar(&s.Callers, "callers", nil, "addresses of the hosts' listeners for callers")
	f.StringSliceVar(&opsAddresses, "ops", nil, "addresses of the hosts' listeners for operators, whose metrics give the extra load")
	f.StringSliceVar(&ledgerAddresses, "ledgers", nil, "admin addresses of toucantarget processes, whose ledgers give the legs in flight at each target")
	c.AddCommand(benchCommand(), slopesCommand())
	return c
}

func slopesCommand() *cobra.Command {
	var at float64
	c := &cobra.Command{
		Use:           "slopes",
		Short:         "Fit lines and power laws to the output of go test -bench on standard input",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			series, err := toucanfit.Read(c.InOrStdin())
			if err != nil {
				return err
			}
			toucanfit.Write(c.OutOrStdout(), series, at)
			return nil
		},
	}
	// 103 is the number of hosts in a zone at the design size (docs/design.md).
	c.Flags().Float64Var(&at, "at", 103, "size to which the fits are extrapolated")
	return c
}

// readScenario reads the scenario file into s; flags that were given override it.
func readScenario(f *pflag.FlagSet, file string, s *toucandriver.Scenario) error {
	if file == "" {
		return nil
	}
	flagValues := *s
	if err := toucandriver.LoadScenario(file, s); err != nil {
		return err
	}
	for name, restore := range map[string]func(){
		"callers":  func() { s.Callers = flagValues.Callers },
		"service":  func() { s.Service = flagValues.Service },
		"route":    func() { s.Route = flagValues.Route },
		"query":    func() { s.Queries = flagValues.Queries },
		"limit":    func() { s.Limit = flagValues.Limit },
		"rate":     func() { s.Rate = flagValues.Rate },
		"duration": func() { s.Duration = flagValues.Duration },
		"warmup":   func() { s.Warmup = flagValues.Warmup },
		"timeout":  func() { s.Timeout = flagValues.Timeout },
		"seed":     func() { s.Seed = flagValues.Seed },
		"keys":     func() { s.Keys = flagValues.Keys },
	} {
		if f.Changed(name) {
			restore()
		}
	}
	return nil
}

func runLoad(ctx context.Context, w io.Writer, s toucandriver.Scenario, o output, opsAddresses, ledgerAddresses []string) error {
	driver, err := toucandriver.New(s)
	if err != nil {
		return err
	}
	before, err := sumMetrics(ctx, opsAddresses)
	if err != nil {
		return err
	}
	report := toucanreport.New()
	report.AddDuration(s.Duration)
	driver.Run(ctx, func(r toucandriver.Result) {
		r.Arrival -= s.Warmup
		report.Add(0, r)
	})
	if len(opsAddresses) > 0 {
		after, err := sumMetrics(ctx, opsAddresses)
		if err != nil {
			return err
		}
		report.SetExtraLegs(after[toucanbench.MetricLegsNeeded]-before[toucanbench.MetricLegsNeeded],
			after[toucanbench.MetricLegsSent]-before[toucanbench.MetricLegsSent])
	}
	records, err := readLedgers(ctx, ledgerAddresses)
	if err != nil {
		return err
	}
	report.SetTargets(records)
	if o.plot != "" {
		if err := toucanreport.Plot(o.plot, []string{s.Service}, []*toucanreport.Report{report}); err != nil {
			return err
		}
	}
	if o.format == "json" {
		return writeJSON(w, report.Summary())
	}
	report.Summary().Print(w)
	return nil
}

// sumMetrics fetches the metrics of all hosts and adds them up by name.
func sumMetrics(ctx context.Context, addresses []string) (map[string]float64, error) {
	sums := map[string]float64{}
	for _, address := range addresses {
		b, err := get(ctx, address, "/metrics")
		if err != nil {
			return nil, err
		}
		toucandeploy.AddMetrics(sums, b)
	}
	return sums, nil
}

// readLedgers fetches the ledgers of toucantarget processes, keyed by replica.
func readLedgers(ctx context.Context, addresses []string) (map[string]toucanspec.Record, error) {
	all := map[string]toucanspec.Record{}
	for _, address := range addresses {
		b, err := get(ctx, address, "/admin/ledger")
		if err != nil {
			return nil, err
		}
		var l toucanspec.Ledger
		if err := json.Unmarshal(b, &l); err != nil {
			return nil, invalid("decoding the ledger of " + address).Because(err)
		}
		for id, r := range l.Replicas {
			all[id] = r
		}
	}
	return all, nil
}

func get(ctx context.Context, address, path string) ([]byte, error) {
	return toucandeploy.Get(ctx, http.DefaultClient, address, path)
}

func benchCommand() *cobra.Command {
	var o output
	var b toucanbench.Bench
	var size, bin string
	var straggle toucanspec.Straggle
	var policyArgs, baselineArgs []string
	c := &cobra.Command{
		Use:   "bench",
		Short: "Start two deployments on this machine and compare two variants of the hosts' flags",
		Long: "Start a deployment of a named size for each of two variants of the hosts' flags,\n" +
			"and send both the same load in turn, for several rounds. By default, baseline\n" +
			"selects replicas at random and sends no hedged requests. Delays between zones and\n" +
			"regions are not emulated in this version.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.validate(); err != nil {
				return err
			}
			plan, err := toucandeploy.NamedPlan(size)
			if err != nil {
				return err
			}
			plan.Bin, plan.Seed = bin, b.Scenario.Seed
			for i := range plan.Services {
				plan.Services[i].Behavior.Straggle = straggle
			}
			b.Plan = plan
			b.Variants = []toucanbench.Variant{{Name: "policy", Args: policyArgs}, {Name: "baseline", Args: baselineArgs}}
			b.Progress = c.ErrOrStderr()
			return runBench(c.Context(), c.OutOrStdout(), b, o)
		},
	}
	f := c.Flags()
	// Warm up before measuring: targets start cold and hosts open slots one by one.
	addScenarioFlags(f, &b.Scenario, 5*time.Second)
	o.addFlags(f)
	f.StringVar(&size, "size", "plumas", "size of the deployment: demo, plumas or kunene")
	f.StringVar(&bin, "bin", "bin", "directory of the toucanstair programs")
	f.IntVar(&b.Rounds, "rounds", 3, "number of rounds; in each, every variant is measured for --duration, after --warmup")
	f.Float64Var(&straggle.Share, "straggle-share", 0.01, "share of legs that are slow")
	f.Float64Var(&straggle.Factor, "straggle-factor", 10, "factor by which their service time is longer")
	f.StringArrayVar(&policyArgs, "policy-arg", nil, "flag of the hosts in the variant policy")
	f.StringArrayVar(&baselineArgs, "baseline-arg", []string{"--route", "random", "--hedge=false"}, "flag of the hosts in the variant baseline")
	return c
}

func runBench(ctx context.Context, w io.Writer, b toucanbench.Bench, o output) (err error) {
	setScenarioDefaults(&b)
	dir, err := os.MkdirTemp("", "toucanload")
	if err != nil {
		return err
	}
	defer func() {
		if e := os.RemoveAll(dir); err == nil {
			err = e
		}
	}()
	b.Plan.Dir = dir
	b.Launcher = &toucanlaunch.Launcher{}
	defer b.Launcher.Close()
	reports, err := b.Run(ctx)
	if err != nil {
		return err
	}
	names := make([]string, len(reports))
	summaries := map[string]toucanreport.Summary{}
	for i, v := range b.Variants {
		names[i] = v.Name
		summaries[v.Name] = reports[i].Summary()
	}
	if o.plot != "" {
		if err := toucanreport.Plot(o.plot, names, reports); err != nil {
			return err
		}
	}
	policy, baseline := summaries[names[0]], summaries[names[1]]
	ratio := float64(policy.Latency.P99) / float64(max(baseline.Latency.P99, 1))
	if o.format == "json" {
		return writeJSON(w, map[string]any{"variants": summaries, "p99ratio": ratio})
	}
	for _, name := range names {
		fmt.Fprintf(w, "\n%s (%s)\n", name, strings.Join(variantArgs(b.Variants, name), " "))
		summaries[name].Print(w)
	}
	fmt.Fprintf(w, "\np99 of %s to %s: %.3f\n", names[0], names[1], ratio)
	return nil
}

func variantArgs(variants []toucanbench.Variant, name string) []string {
	for _, v := range variants {
		if v.Name == name {
			return v.Args
		}
	}
	return nil
}

// setScenarioDefaults fills in the plan's first service, the first route of the
// service (a read route) and some queries, where the scenario leaves them empty.
func setScenarioDefaults(b *toucanbench.Bench) {
	s := &b.Scenario
	if s.Service == "" {
		s.Service = string(b.Plan.Services[0].Name)
	}
	for _, service := range b.Plan.Services {
		if s.Route == "" && string(service.Name) == s.Service {
			s.Route = service.Routes[0].Name
		}
	}
	if len(s.Queries) == 0 {
		s.Queries = []string{"letters about animals and football", "music pen pal", "radio working shelter", "path open bill"}
	}
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func invalid(detail string) *toucanfault.Error {
	return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, detail)
}
