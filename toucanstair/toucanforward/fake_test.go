package toucanforward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucantimer"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucanretry"
	"toucanstair.example/toucanstair/toucanrollout"
	"toucanstair.example/toucanstair/toucanrules"
	"toucanstair.example/toucanstair/toucantransport"
)

// behavior is how a fake target handles one request.
type behavior struct {
	delay     time.Duration
	status    int                          // 0: 200
	refuse    bool                         // reports that it did not run the request
	errorKind *toucantransport.FailureKind // an error instead of a response
	header    map[string]string            // in addition to the signature
	unsigned  bool                         // without a signature
	panics    bool                         // a defect of the host
}

// fakeTargets simulates targets without a network and records what reached them.
type fakeTargets struct {
	behavior func(id toucanreplica.ID, nth int) behavior

	mu        sync.Mutex
	received  map[toucanreplica.ID]int
	executed  map[toucanreplica.ID]int
	timeouts  []time.Duration
	cancelled int // attempts that the host cancelled
}

func (f *fakeTargets) Do(ctx context.Context, r *toucantransport.Request, left time.Duration) (*toucantransport.Response, error) {
	f.mu.Lock()
	if f.received == nil {
		f.received, f.executed = map[toucanreplica.ID]int{}, map[toucanreplica.ID]int{}
	}
	b := f.behavior(r.Target, f.received[r.Target])
	if b.errorKind == nil || *b.errorKind == toucantransport.MaybeExecuted {
		f.received[r.Target]++
		f.timeouts = append(f.timeouts, left)
		if !b.refuse {
			f.executed[r.Target]++
		}
	}
	f.mu.Unlock()
	if b.panics {
		panic("a defect")
	}
	if !toucantimer.Wait(ctx, b.delay) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cancelled++
		return nil, &toucantransport.Error{Kind: toucantransport.MaybeExecuted, Cause: ctx.Err()}
	}
	if b.errorKind != nil {
		return nil, &toucantransport.Error{Kind: *b.errorKind}
	}
	res := &toucantransport.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(strings.Repeat("x", 16))}
	if !b.unsigned {
		res.Header.Set(testHeaders.Signature, "stamp-"+string(r.Target))
	}
	if b.status != 0 {
		res.Status = b.status
	}
	if b.refuse {
		res.Status = http.StatusServiceUnavailable
		res.Header.Set(testHeaders.NotExecuted, "1")
	}
	for name, value := range b.header {
		res.Header.Set(name, value)
	}
	return res, nil
}

func (f *fakeTargets) total(counts map[toucanreplica.ID]int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, count := range counts {
		n += count
	}
	return n
}

// fakeConfig holds the rules, zones out of service and versions that a test sets.
type fakeConfig struct {
	mu       sync.Mutex
	rules    *toucanrules.Rules
	zonesOut map[toucanzone.Name]bool

	firstChoice, retryChoice toucanrollout.VersionChoice // for a request's first attempt and for later ones
	observed                 []string                    // version and code of each observed result
}

func (c *fakeConfig) Rules() *toucanrules.Rules { return c.rules }
func (c *fakeConfig) InProgress(toucanservice.Name) bool {
	return c.firstChoice != toucanrollout.VersionChoice{}
}

func (c *fakeConfig) ChooseVersion(_ toucanservice.Name, _ string, retry bool) toucanrollout.VersionChoice {
	if retry {
		return c.retryChoice
	}
	return c.firstChoice
}

func (c *fakeConfig) BeginRequest(toucanservice.Name, string, string)     {}
func (c *fakeConfig) EndRequest(toucanservice.Name, string, string, bool) {}

func (c *fakeConfig) RecordResponse(_ toucanservice.Name, version, _ string, code toucanpb.Code, _ time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observed = append(c.observed, version+" "+code.String())
}

func (c *fakeConfig) OutOfServiceZones() map[toucanzone.Name]bool { return c.zonesOut }

// testHost is a host with one route and targets in zones a and b.
type testHost struct {
	*Forwarder
	targets *fakeTargets
	config  *fakeConfig
	route   *toucanrules.Route
}

func neverResponds() behavior { return behavior{delay: time.Hour} }

// newTestHost returns a host whose route fans out to the given number of shards,
// or goes to a single service for 0. Each service has a target in zone a and one
// in zone b. The retry budget has all its tokens, as if earned by earlier requests.
func newTestHost(shards int, behave func(id toucanreplica.ID, nth int) behavior) *testHost {
	route := &toucanrules.Route{
		Name: "r", Host: "a.example", Prefix: "/p/", Idempotent: true, MaxAttempts: 2,
		Timeout: 800 * time.Millisecond, LatencyObjective: 120 * time.Millisecond, MaxRecords: 5, MinCoverage: 0.75,
	}
	rules := &toucanrules.Rules{Version: 1, Routes: []*toucanrules.Route{route}, Services: map[toucanservice.Name]toucanrules.Service{}}
	rules.Limits.MaxBodyBytes = 100
	targetSet := &toucanbalancer.TargetSet{}
	const burst = 100
	retryBudget := &toucanretry.Budget{Ratio: burst, Burst: burst}
	for i := range max(1, shards) {
		s := toucanservice.Name(fmt.Sprint("s", i))
		retryBudget.Deposit(s)
		if shards > 0 {
			route.Shards = append(route.Shards, s)
		} else {
			route.Split = []toucanrules.WeightedService{{Service: s, Weight: 1}}
		}
		for _, z := range []toucanzone.Name{"a", "b"} {
			targetSet.Upsert(toucanbalancer.TargetInfo{ID: toucanreplica.ID(string(s) + string(z)), Service: s, Address: "10.0.0.1:1", Zone: z, Slots: 2}, time.Now())
		}
	}
	rules.BuildIndex()
	retryBudget.Set(0.2, burst)
	targets, config := &fakeTargets{behavior: behave}, &fakeConfig{rules: rules}
	fullShare := func() float64 { return 1 }
	return &testHost{&Forwarder{
		Headers: testHeaders, Config: config, Targets: targetSet, Transport: targets, Log: zap.NewNop(),
		Picker:      &toucanbalancer.Picker{Zone: "a", Region: "x", ZoneRegions: toucanrules.ZoneRegions{"a": "x", "b": "y"}},
		Rollouts:    config,
		RetryBudget: retryBudget, ShardedShare: fullShare, UnshardedShare: fullShare,
	}, targets, config, route}
}

// get sends one request and returns the response and its duration.
func (h *testHost) get(ctx context.Context, header ...string) (*httptest.ResponseRecorder, time.Duration) {
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "http://a.example/p/x", nil)
	r.RequestURI = "/p/x?q=1"
	r.Header.Set(testHeaders.RequestID, "id-1")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	start := time.Now()
	h.serve(w, r)
	return w, time.Since(start)
}

// serve calls the handler as net/http does, which closes the connection after
// http.ErrAbortHandler.
func (h *testHost) serve(w http.ResponseWriter, r *http.Request) {
	defer func() {
		p := recover()
		if err, ok := p.(error); p == nil || ok && errors.Is(err, http.ErrAbortHandler) {
			return
		}
		panic(p)
	}()
	h.ServeHTTP(w, r)
}
