package toucanforward

import (
	"context"
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

// conduct is how a target treats one request.
type conduct struct {
	takes  time.Duration
	status int                          // 0: 200
	refuse bool                         // it does not run the request and says so
	fate   *toucantransport.FailureKind // no response
	header map[string]string            // besides the usual ones
	bare   bool                         // without a signature
}

// world plays targets without a network and notes what reached them.
type world struct {
	conduct func(id toucanreplica.ID, nth int) conduct

	mu      sync.Mutex
	arrived map[toucanreplica.ID]int
	ran     map[toucanreplica.ID]int
	left    []time.Duration
	ended   int // exchanges that this host gave up
}

func (w *world) Do(ctx context.Context, r *toucantransport.Request, left time.Duration) (*toucantransport.Response, error) {
	w.mu.Lock()
	if w.arrived == nil {
		w.arrived, w.ran = map[toucanreplica.ID]int{}, map[toucanreplica.ID]int{}
	}
	c := w.conduct(r.Target, w.arrived[r.Target])
	if c.fate == nil || *c.fate == toucantransport.MaybeExecuted {
		w.arrived[r.Target]++
		w.left = append(w.left, left)
		if !c.refuse {
			w.ran[r.Target]++
		}
	}
	w.mu.Unlock()
	if !toucantimer.Wait(ctx, c.takes) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ended++
		return nil, &toucantransport.Error{Kind: toucantransport.MaybeExecuted, Cause: ctx.Err()}
	}
	if c.fate != nil {
		return nil, &toucantransport.Error{Kind: *c.fate}
	}
	res := &toucantransport.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(strings.Repeat("x", 16))}
	if !c.bare {
		res.Header.Set(dialect.Signature, "stamp-"+string(r.Target))
	}
	if c.status != 0 {
		res.Status = c.status
	}
	if c.refuse {
		res.Status = http.StatusServiceUnavailable
		res.Header.Set(dialect.NotExecuted, "1")
	}
	for name, value := range c.header {
		res.Header.Set(name, value)
	}
	return res, nil
}

func (w *world) sum(of map[toucanreplica.ID]int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, k := range of {
		n += k
	}
	return n
}

// orders are the rules and zones out of service that a test sets.
type orders struct {
	mu    sync.Mutex
	rules *toucanrules.Rules
	out   map[toucanzone.Name]bool

	first, again toucanrollout.VersionChoice // of a request's first send and of its repeats
	compared     []string                    // version and code of each response that counted
}

func (o *orders) Rules() *toucanrules.Rules          { return o.rules }
func (o *orders) InProgress(toucanservice.Name) bool { return o.first != toucanrollout.VersionChoice{} }

func (o *orders) ChooseVersion(_ toucanservice.Name, _, _ string, again bool) toucanrollout.VersionChoice {
	if again {
		return o.again
	}
	return o.first
}

func (o *orders) BeginRequest(toucanservice.Name, string, string)     {}
func (o *orders) EndRequest(toucanservice.Name, string, string, bool) {}

func (o *orders) RecordResponse(_ toucanservice.Name, version, _ string, code toucanpb.Code, _ time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.compared = append(o.compared, version+" "+code.String())
}

func (o *orders) OutOfServiceZones() map[toucanzone.Name]bool { return o.out }

// setting is a host with one route and targets in zones a and b.
type setting struct {
	*Forwarder
	world  *world
	orders *orders
	route  *toucanrules.Route
}

func never() conduct { return conduct{takes: time.Hour} }

// newSetting returns a host whose route fans out to a number of shards, or
// goes to one service for 0; each has a target in zone a and one in zone b.
func newSetting(shards int, conduct func(id toucanreplica.ID, nth int) conduct) *setting {
	route := &toucanrules.Route{
		Name: "r", Host: "a.example", Prefix: "/p/", Idempotent: true, MaxAttempts: 2,
		Timeout: 800 * time.Millisecond, LatencyObjective: 120 * time.Millisecond, MaxRecords: 5, MinCoverage: 0.75,
	}
	rules := &toucanrules.Rules{Version: 1, Routes: []*toucanrules.Route{route}, Services: map[toucanservice.Name]toucanrules.Service{}}
	rules.Limits.MaxBodyBytes = 100
	roster := &toucanbalancer.TargetSet{}
	for i := range max(1, shards) {
		s := toucanservice.Name(fmt.Sprint("s", i))
		if shards > 0 {
			route.Shards = append(route.Shards, s)
		} else {
			route.Split = []toucanrules.WeightedService{{Service: s, Weight: 1}}
		}
		for _, z := range []toucanzone.Name{"a", "b"} {
			roster.Upsert(toucanbalancer.TargetInfo{ID: toucanreplica.ID(string(s) + string(z)), Service: s, Address: "10.0.0.1:1", Zone: z, Slots: 2}, time.Now())
		}
	}
	rules.BuildIndex()
	w, o := &world{conduct: conduct}, &orders{rules: rules}
	one := func() float64 { return 1 }
	return &setting{&Forwarder{
		Headers: dialect, Config: o, Targets: roster, Transport: w, Log: zap.NewNop(),
		Picker:      &toucanbalancer.Picker{Zone: "a", Region: "x", ZoneRegions: toucanrules.ZoneRegions{"a": "x", "b": "y"}},
		Rollouts:    o,
		RetryBudget: &toucanretry.Budget{Ratio: 0.2, Burst: 100}, ShardedShare: one, UnshardedShare: one,
	}, w, o, route}
}

// ask sends one request and returns the response and the time that it took.
func (s *setting) ask(ctx context.Context, header ...string) (*httptest.ResponseRecorder, time.Duration) {
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "http://a.example/p/x", nil)
	r.RequestURI = "/p/x?q=1"
	r.Header.Set(dialect.RequestID, "id-1")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	began := time.Now()
	s.ServeHTTP(w, r)
	return w, time.Since(began)
}
