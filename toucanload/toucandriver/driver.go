// Package toucandriver sends queries in an open loop: arrival times do not depend
// on responses.
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
	// maxInFlight limits concurrent requests, to stay within the limits of the
	// machine. Further arrivals are not sent but counted as unsent.
	maxInFlight = 20000
	// responseMargin is the time to wait beyond the query's timeout. A host
	// responds by the deadline; the margin is for the network.
	responseMargin = time.Second
)

// Scenario describes the load to send. The keys in a YAML file are the field
// names in lower case.
type Scenario struct {
	Callers  []string // addresses of the hosts' listeners for callers
	Service  string
	Route    string
	Queries  []string
	Limit    uint32
	Rate     float64 // arrivals per second, over all hosts
	Duration time.Duration
	Warmup   time.Duration // before Duration; queries are sent but not reported
	Timeout  time.Duration // of each query
	Seed     uint64
	Keys     string // prefix of idempotency keys; empty sends none
}

// Result is the result of one query.
type Result struct {
	Arrival  time.Duration // intended arrival time since the start of the warm-up
	Latency  time.Duration // from the intended arrival to the response or error
	Code     toucanpb.Code // CODE_UNSPECIFIED if the host answered
	Outcome  toucanpb.Outcome
	Coverage *toucanpb.Coverage // nil if there was no answer
	Unsent   bool               // too many requests were in flight
}

// Driver sends the load of one scenario. Create it with New.
type Driver struct {
	scenario Scenario
	client   *http.Client
}

// LoadScenario reads a YAML file into s. Fields that the file does not contain
// keep their values. Errors have code CODE_INVALID.
func LoadScenario(name string, s *Scenario) error {
	b, err := os.ReadFile(name)
	if err != nil {
		return invalid("reading the scenario " + name).Because(err)
	}
	if err := yaml.Unmarshal(b, s); err != nil {
		return invalid("decoding the scenario " + name).Because(err)
	}
	return nil
}

// New returns a driver for s, or an error with code CODE_INVALID if a required
// value is missing or not positive.
func New(s Scenario) (*Driver, error) {
	switch {
	case len(s.Callers) == 0:
		return nil, invalid("no address of a host's listener for callers is given")
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

// Run sends queries at the times of a Poisson process, whether or not earlier
// ones have ended, and calls add with each result after the warm-up, never
// concurrently. It returns when all queries have ended; when ctx ends, it sends no
// more. Arrival times, queries and hosts depend only on the seed.
func (d *Driver) Run(ctx context.Context, add func(Result)) {
	defer d.client.CloseIdleConnections()
	s := d.scenario
	random := rand.New(rand.NewPCG(s.Seed, 0))
	results := make(chan Result, 1024)
	start := time.Now()
	inFlight, sequence := 0, 0
	finish := func(r Result) {
		inFlight--
		if r.Arrival >= s.Warmup {
			add(r)
		}
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for arrival := time.Duration(0); ctx.Err() == nil; sequence++ {
		arrival += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		if arrival >= s.Warmup+s.Duration {
			break
		}
		q, address := d.nextQuery(random, sequence)
		timer.Reset(time.Until(start.Add(arrival)))
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
		if inFlight >= maxInFlight {
			if arrival >= s.Warmup {
				add(Result{Arrival: arrival, Unsent: true})
			}
			continue
		}
		inFlight++
		go func() { results <- d.send(ctx, start, arrival, address, q) }()
	}
	for inFlight > 0 {
		finish(<-results)
	}
}

// nextQuery draws a query and the address of the host to send it to.
func (d *Driver) nextQuery(random *rand.Rand, sequence int) (*toucanpb.Query, string) {
	s := &d.scenario
	q := &toucanpb.Query{
		Service: s.Service, Route: s.Route, Limit: max(s.Limit, 1), Timeout: s.Timeout.String(),
		Query: s.Queries[random.IntN(len(s.Queries))],
	}
	if s.Keys != "" {
		q.Key = fmt.Sprintf("%s-%d-%d", s.Keys, s.Seed, sequence)
	}
	return q, s.Callers[random.IntN(len(s.Callers))]
}

// send sends a query and waits for the response. arrival is relative to start.
func (d *Driver) send(ctx context.Context, start time.Time, arrival time.Duration, address string, q *toucanpb.Query) Result {
	ctx, cancel := context.WithTimeout(ctx, d.scenario.Timeout+responseMargin)
	defer cancel()
	answer, err := toucandeploy.Search(ctx, d.client, address, q)
	r := Result{Arrival: arrival, Latency: time.Since(start) - arrival, Outcome: toucanpb.Outcome_OUTCOME_DONE}
	if err == nil {
		r.Coverage = answer.GetCoverage()
		return r
	}
	fault := toucanfault.As(err)
	r.Code, r.Outcome = fault.Code, fault.Outcome
	return r
}

func invalid(detail string) *toucanfault.Error {
	return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, detail)
}
