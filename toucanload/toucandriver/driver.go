// Package toucandriver sends queries in an open loop.
package toucandriver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"go.yaml.in/yaml/v3"

	"toucanstair.example/core/toucandeploy"
	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
)

const (
	// Above this many requests in progress an arrival is not sent but counted
	// as unsent, which keeps the tool within the machine's limits.
	inflightLimit = 20000
	// A host answers at the query's deadline; the rest is for the network.
	replyMargin = time.Second
)

// Scenario says what to send. Its keys in a YAML file are the field names in
// lower case.
type Scenario struct {
	Callers  []string // addresses of the hosts' listeners for callers
	Service  string
	Route    string
	Queries  []string
	Limit    uint32
	Rate     float64 // arrivals a second, over all hosts
	Duration time.Duration
	Warmup   time.Duration // at the start, sent but not reported
	Timeout  time.Duration // of each query
	Seed     uint64
	Keys     string // prefix of idempotency keys; empty sends none
}

// Result is the end of one query.
type Result struct {
	Arrival  time.Duration // intended arrival since the start
	Latency  time.Duration // from the intended arrival to the end
	Code     toucanpb.Code // CODE_UNSPECIFIED for an answer
	Outcome  toucanpb.Outcome
	Coverage *toucanpb.Coverage // nil without an answer
	Unsent   bool
}

// Driver sends one scenario. Create it with New.
type Driver struct {
	scenario Scenario
	client   *http.Client
}

// LoadScenario reads a scenario from a YAML file into s; fields that the file does not
// name stay.
func LoadScenario(name string, s *Scenario) error {
	b, err := os.ReadFile(name)
	if err != nil {
		return invalid("scenario " + name).Because(err)
	}
	if err := yaml.Unmarshal(b, s); err != nil {
		return invalid("scenario " + name).Because(err)
	}
	return nil
}

// New returns a driver of a scenario, or says what is missing in it.
func New(s Scenario) (*Driver, error) {
	switch {
	case len(s.Callers) == 0:
		return nil, invalid("no callers' address is given")
	case s.Service == "" || s.Route == "" || len(s.Queries) == 0:
		return nil, invalid("service, route and queries must be given")
	case s.Rate <= 0 || s.Duration <= 0 || s.Timeout <= 0:
		return nil, invalid("rate, duration and timeout must be above 0")
	}
	dialer := &net.Dialer{Timeout: time.Second}
	return &Driver{scenario: s, client: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}}, nil
}

// Run sends queries at random times of a Poisson process, whether or not
// earlier ones have ended, and gives each result to add, one at a time. It
// returns when all have ended. Arrival times, queries and hosts depend only on
// the seed.
func (d *Driver) Run(ctx context.Context, add func(Result)) {
	defer d.client.CloseIdleConnections()
	s := d.scenario
	draw := rand.New(rand.NewPCG(s.Seed, 0))
	results := make(chan Result, 1024)
	began := time.Now()
	running, number := 0, 0
	finish := func(r Result) {
		running--
		if r.Arrival >= s.Warmup {
			add(r)
		}
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for at := time.Duration(0); ctx.Err() == nil; number++ {
		at += time.Duration(draw.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= s.Warmup+s.Duration {
			break
		}
		q, address := d.query(draw, number)
		timer.Reset(time.Until(began.Add(at)))
		for waiting := true; waiting; {
			select {
			case r := <-results:
				finish(r)
			case <-ctx.Done():
				waiting = false
			case <-timer.C:
				waiting = false
			}
		}
		if running >= inflightLimit {
			if at >= s.Warmup {
				add(Result{Arrival: at, Unsent: true})
			}
			continue
		}
		running++
		go func() { results <- d.ask(ctx, began, at, address, q) }()
	}
	for running > 0 {
		finish(<-results)
	}
}

func (d *Driver) query(draw *rand.Rand, number int) (*toucanpb.Query, string) {
	s := &d.scenario
	q := &toucanpb.Query{
		Service: s.Service, Route: s.Route, Limit: max(s.Limit, 1), Timeout: s.Timeout.String(),
		Query: s.Queries[draw.IntN(len(s.Queries))],
	}
	if s.Keys != "" {
		q.Key = fmt.Sprintf("%s-%d-%d", s.Keys, s.Seed, number)
	}
	return q, s.Callers[draw.IntN(len(s.Callers))]
}

func (d *Driver) ask(ctx context.Context, began time.Time, at time.Duration, address string, q *toucanpb.Query) Result {
	ctx, cancel := context.WithTimeout(ctx, d.scenario.Timeout+replyMargin)
	defer cancel()
	a, err := toucandeploy.Search(ctx, d.client, address, q)
	r := Result{Arrival: at, Latency: time.Since(began) - at, Outcome: toucanpb.Outcome_OUTCOME_DONE}
	if err == nil {
		r.Coverage = a.GetCoverage()
		return r
	}
	f := toucanfault.As(err)
	r.Code, r.Outcome = f.Code, f.Outcome
	return r
}

func invalid(detail string) *toucanfault.Error {
	return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, detail)
}
