package toucanquery_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucancatalog"
	"toucanstair.example/toucanstair/toucanquery"
)

const pinnedIndex = 42

// fakeCluster implements what the coordinator needs, without a budget and a drainer.
// run runs the legs of its own zone (address "") and of the hosts of other zones.
type fakeCluster struct {
	catalog    *toucancatalog.Catalog
	newer      *toucancatalog.Catalog // in effect once it is waited for; nil: none arrives
	run        func(ctx context.Context, address string, leg *toucanpb.Leg) (*toucanpb.LegResult, error)
	voids      bool   // result of Void
	version    string // result of VersionFor
	rolledBack bool   // the new version was rolled back

	mu    sync.Mutex
	legs  []*toucanpb.Leg
	asked []string // addresses of the legs, in the order of legs
}

func (f *fakeCluster) Catalog() *toucancatalog.Catalog { return f.catalog }

func (f *fakeCluster) AwaitRevision(ctx context.Context, _ uint64) *toucancatalog.Catalog {
	if f.newer == nil {
		<-ctx.Done()
		return nil
	}
	return f.newer
}

func (f *fakeCluster) Pin(toucanservice.Name, *toucancatalog.Catalog) (uint64, error) {
	return pinnedIndex, nil
}

func (f *fakeCluster) ShardsByZone(toucanservice.Name, *toucancatalog.Catalog, uint64) map[toucanzone.Name][]byte {
	return nil
}

func (f *fakeCluster) Run(ctx context.Context, leg *toucanpb.Leg) *toucanpb.LegResult {
	r, _ := f.Do(ctx, "", leg)
	return r
}

func (f *fakeCluster) Do(ctx context.Context, address string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
	f.mu.Lock()
	f.legs = append(f.legs, leg)
	f.asked = append(f.asked, address)
	f.mu.Unlock()
	if f.run == nil {
		return doneResult(leg), nil
	}
	return f.run(ctx, address, leg)
}

func (f *fakeCluster) Contacts(z toucanzone.Name) []*toucanpb.Member {
	return []*toucanpb.Member{{Address: string(z) + "-1"}, {Address: string(z) + "-2"}}
}

func (f *fakeCluster) VersionFor(toucanservice.Name, string) string { return f.version }

func (f *fakeCluster) NewVersionMayServe(toucanservice.Name) bool { return !f.rolledBack }

func (f *fakeCluster) Void(context.Context, toucanservice.Name, string, string) (bool, error) {
	return f.voids, nil
}

func doneResult(leg *toucanpb.Leg) *toucanpb.LegResult {
	return &toucanpb.LegResult{
		Shard: leg.Shard, Index: leg.Index, Outcome: toucanpb.Outcome_OUTCOME_DONE,
		Items: []*toucanpb.Item{{Id: fmt.Sprint("item-", leg.Shard), Score: float64(leg.Shard)}},
	}
}

// newCoordinator returns a coordinator in zone sierra. The zones sierra, costa and
// oriente have a replica of each shard, and those not listed in zones are out of service.
func newCoordinator(cluster *fakeCluster, shards uint32, zones ...string) *toucanquery.Coordinator {
	s := &toucanpb.Service{Name: "letters", Shards: shards, Routes: []*toucanpb.Route{
		{Name: "find", TimeoutUs: 2e6}, {Name: "pair", TimeoutUs: 2e6, Once: true},
	}}
	r := &toucanpb.Rules{Revision: 9, Services: []*toucanpb.Service{s}}
	for _, z := range []string{"sierra", "costa", "oriente"} {
		r.Zones = append(r.Zones, &toucanpb.Zone{Name: z, Out: !slices.Contains(zones, z)})
		for n := range shards {
			s.Replicas = append(s.Replicas, &toucanpb.Replica{Id: fmt.Sprint(z, n), Shard: n, Zone: z})
		}
	}
	cluster.catalog = toucancatalog.New(r)
	return &toucanquery.Coordinator{Zone: "sierra", Configuration: cluster, Inventory: cluster, Local: cluster, PeerLink: cluster, Contacts: cluster, Canary: cluster, Claims: cluster}
}

// Guards against a shard that is missing while a zone is out of service, although a
// replica of the new version has it, and against requests to a version that was
// rolled back.
func TestShardInZoneOutOfServiceFallsBackToNewVersion(t *testing.T) {
	for rolledBack, answered := range map[bool]uint32{false: 1, true: 0} {
		cluster := &fakeCluster{version: "v1", rolledBack: rolledBack}
		c := newCoordinator(cluster, 1, "sierra", "costa", "oriente")
		cluster.catalog = toucancatalog.New(&toucanpb.Rules{
			Revision: 9,
			Zones:    []*toucanpb.Zone{{Name: "sierra"}, {Name: "costa", Out: true}},
			Moves:    []*toucanpb.Move{{Name: "m", Service: "letters", From: "v1", To: "v2"}},
			Services: []*toucanpb.Service{{
				Name: "letters", Shards: 1, Routes: []*toucanpb.Route{{Name: "find", TimeoutUs: 2e6}},
				Replicas: []*toucanpb.Replica{{Id: "old", Zone: "costa", Version: "v1"}, {Id: "new", Zone: "sierra", Version: "v2"}},
			}},
		})
		a, err := c.Search(t.Context(), "r", findQuery("1s"))
		require.NoError(t, err)
		require.Equal(t, answered, a.Coverage.Answered)
		for _, leg := range cluster.legs {
			require.Equal(t, "v2", leg.Version)
		}
	}
}

// waitForIdleWorkers waits until the idle workers of a coordinator have ended, without
// which a synctest bubble cannot end.
func waitForIdleWorkers() { <-time.After(2 * time.Second) }

func findQuery(timeout string) *toucanpb.Query {
	return &toucanpb.Query{Service: "letters", Route: "find", Limit: 10, Timeout: timeout}
}

// Guards against legs of queries that name an unknown service or route, or exceed the
// limits of the route.
func TestSearchRefusesInvalidQueries(t *testing.T) {
	cluster := &fakeCluster{}
	c := newCoordinator(cluster, 4, "sierra")
	for detail, q := range map[string]*toucanpb.Query{
		`service "absent" is not configured`:     {Service: "absent", Route: "find"},
		`has no route "absent"`:                  {Service: "letters", Route: "absent"},
		"limit 1001 is above 1000":               {Service: "letters", Route: "find", Limit: 1001},
		"above the route's longest deadline 2s":  findQuery("2.1s"),
		"timeout -1s is not above zero":          findQuery("-1s"),
		`timeout "soon" is not a duration`:       findQuery("soon"),
		"key is only for a route that is not":    {Service: "letters", Route: "find", Key: "k"},
		"key contains control characters":        {Service: "letters", Route: "pair", Key: "a\x00"},
		"key has 300 bytes, more than 256":       {Service: "letters", Route: "pair", Key: string(make([]byte, 300))},
		`timeout "9999999999h" is not a durati`:  findQuery("9999999999h"),
		`service "" is not configured`:           {},
		"timeout 100h0m0s is above the route's ": findQuery("100h"),
	} {
		_, err := c.Search(t.Context(), "r", q)
		f := toucanfault.As(err)
		require.NotNil(t, f, detail)
		require.Contains(t, f.Detail, detail)
		require.Equal(t, toucanpb.Outcome_OUTCOME_NOTRUN, f.Outcome)
	}
	require.Empty(t, cluster.legs)
}

// Guards against legs whose spans are not part of the trace of the query.
func TestLegsCarryTrace(t *testing.T) {
	cluster := &fakeCluster{}
	parent := trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, TraceFlags: trace.FlagsSampled})
	_, err := newCoordinator(cluster, 1, "sierra").Search(trace.ContextWithSpanContext(t.Context(), parent), "r", findQuery(""))
	require.NoError(t, err)
	require.Equal(t, "00-01000000000000000000000000000000-0200000000000000-01", cluster.legs[0].Traceparent)
}

// Guards against results that count although they are for another leg or index
// version, failed, or have a score that is not a number.
func TestSearchCountsOnlyValidResults(t *testing.T) {
	cluster := &fakeCluster{}
	cluster.run = func(_ context.Context, _ string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
		r := doneResult(leg)
		switch leg.Shard {
		case 0:
			r.Shard = 7
		case 1:
			r.Index = pinnedIndex - 1
		case 2:
			r.Outcome = toucanpb.Outcome_OUTCOME_UNKNOWN
		case 3:
			r.Items[0].Score = math.NaN()
		case 4:
			return nil, nil
		case 5:
			panic("a defect")
		case 6:
			r.Code = toucanpb.Code_CODE_FAILED
		}
		return r, nil
	}
	a, err := newCoordinator(cluster, 8, "sierra").Search(t.Context(), "r", findQuery(""))
	require.NoError(t, err)
	require.Equal(t, uint32(8), a.Coverage.Asked)
	require.Equal(t, uint32(1), a.Coverage.Answered)
	require.Len(t, a.Coverage.Missing, 7)
	for _, m := range a.Coverage.Missing {
		require.Equal(t, "invalid", m.Reason)
	}
	require.Equal(t, "item-7", a.Items[0].Id)
	require.Len(t, a.Items, 1)
}

// Guards against coverage that differs from the results of the legs, under random
// failures, delays and lost hosts.
func TestCoverageMatchesLegResults(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	for round := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			t.Cleanup(waitForIdleWorkers)
			var mu sync.Mutex
			rnd := rand.New(rand.NewPCG(seed, round))
			answered := map[uint32]bool{}
			cluster := &fakeCluster{}
			cluster.run = func(ctx context.Context, address string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
				mu.Lock()
				// Kind 0 is a lost host in another zone; 0 in this zone, 1 and 2 did not run; 3
				// is a result of another index version; 4 to 7 are valid results. The codes
				// are CODE_TIMEOUT to CODE_OVERLOAD.
				kind, code := rnd.IntN(8), toucanpb.Code(3+rnd.IntN(7))
				// The odd 333 us keep sums of delays from equalling the deadline.
				delay := time.Duration(rnd.IntN(300))*time.Millisecond + 333*time.Microsecond
				mu.Unlock()
				select {
				case <-time.After(delay):
				case <-ctx.Done():
					return &toucanpb.LegResult{Shard: leg.Shard, Outcome: toucanpb.Outcome_OUTCOME_UNKNOWN, Code: toucanpb.Code_CODE_TIMEOUT}, nil
				}
				if kind == 0 && address != "" {
					return nil, toucanfault.Unknown(toucanpb.Code_CODE_DOWN, "lost")
				}
				if kind < 3 {
					return &toucanpb.LegResult{Shard: leg.Shard, Outcome: toucanpb.Outcome_OUTCOME_NOTRUN, Code: code}, nil
				}
				r := doneResult(leg)
				if kind == 3 {
					r.Index--
				}
				mu.Lock()
				defer mu.Unlock()
				if kind > 3 && ctx.Err() == nil {
					answered[leg.Shard] = true
				}
				return r, nil
			}
			a, err := newCoordinator(cluster, 40, "sierra", "costa").Search(t.Context(), "r", findQuery("250ms"))
			require.NoError(t, err)
			mu.Lock()
			defer mu.Unlock()
			require.Equal(t, uint32(40), a.Coverage.Asked)
			require.Equal(t, len(answered), int(a.Coverage.Answered))
			require.Len(t, a.Coverage.Missing, 40-len(answered))
			for _, m := range a.Coverage.Missing {
				require.False(t, answered[m.Shard], "shard %d", m.Shard)
				require.Contains(t, []string{"timeout", "refused", "down", "cut", "out", "version", "invalid", "overload"}, m.Reason)
			}
			require.Len(t, a.Items, min(10, len(answered)))
			synctest.Wait()
		})
	}
}

// Guards against a response after its deadline, and against legs that run on after
// the caller cancelled the query.
func TestSearchRespondsByDeadlineAndCancelsLegs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(waitForIdleWorkers)
		cluster := &fakeCluster{}
		ended := make(chan uint32, 100)
		cluster.run = func(ctx context.Context, _ string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			if leg.Shard == 0 {
				return doneResult(leg), nil
			}
			<-ctx.Done()
			<-time.After(time.Second) // late
			ended <- leg.Shard
			return doneResult(leg), nil
		}
		c := newCoordinator(cluster, 5, "costa")
		start := time.Now()
		a, err := c.Search(t.Context(), "r", findQuery("50ms"))
		require.NoError(t, err)
		require.Equal(t, 48*time.Millisecond, time.Since(start))
		require.Equal(t, uint32(1), a.Coverage.Answered)
		require.Equal(t, "timeout", a.Coverage.Missing[0].Reason)
		<-time.After(2 * time.Second)
		require.Len(t, ended, 4)

		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, cancel)
		_, err = c.Search(ctx, "r", findQuery("50ms"))
		require.Equal(t, toucanpb.Code_CODE_CANCELLED, toucanfault.As(err).Code)
		<-time.After(2 * time.Second)
		require.Len(t, ended, 8)
	})
}

// Guards against a bad version that gets all requests for a shard because the first
// zone has no replica of another version, and against requests for the new version
// that do not reach it in another zone.
func TestZoneOrderFollowsVersion(t *testing.T) {
	for version, asked := range map[string]string{"v1": "costa-1", "v2": ""} {
		cluster := &fakeCluster{version: version}
		c := newCoordinator(cluster, 1, "sierra", "costa")
		rules := cluster.catalog.Rules()
		rules.Moves = []*toucanpb.Move{{Name: "m", Service: "letters", From: "v1", To: "v2"}}
		for _, r := range rules.Services[0].Replicas {
			r.Version = "v1"
			if r.Zone == "sierra" {
				r.Version = "v2"
			}
		}
		cluster.catalog = toucancatalog.New(rules)
		a, err := c.Search(t.Context(), "r", findQuery(""))
		require.NoError(t, err)
		require.Equal(t, uint32(1), a.Coverage.Answered)
		require.Equal(t, []string{asked}, cluster.asked, version)
	}
}

// Guards against legs in a zone out of service, a shard that is missing because one
// host or zone was lost, and failover that moves overload to another zone.
func TestPlanSkipsZonesOutOfServiceAndFailsOver(t *testing.T) {
	down := toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "refused")
	for _, k := range []struct {
		name   string
		zones  []string
		run    func(address string, leg *toucanpb.Leg) (*toucanpb.LegResult, error)
		asked  []string
		reason string
	}{
		{"own zone first", []string{"sierra", "costa"}, nil, []string{""}, ""},
		{"own zone out", []string{"costa", "oriente"}, nil, []string{"costa-1"}, ""},
		{"all out", nil, nil, nil, "out"},
		{"next contact", []string{"costa"}, func(a string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			if a == "costa-1" {
				return nil, down
			}
			return doneResult(leg), nil
		}, []string{"costa-1", "costa-2"}, ""},
		{"zone cut off", []string{"costa", "oriente"}, func(a string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			if a == "oriente-1" {
				return doneResult(leg), nil
			}
			return nil, down
		}, []string{"costa-1", "costa-2", "oriente-1"}, ""},
		{"both cut off", []string{"costa", "oriente"}, func(string, *toucanpb.Leg) (*toucanpb.LegResult, error) {
			return nil, down
		}, []string{"costa-1", "costa-2", "oriente-1", "oriente-2"}, "cut"},
		{"overload stays", []string{"sierra", "costa"}, func(_ string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			return &toucanpb.LegResult{Shard: leg.Shard, Outcome: toucanpb.Outcome_OUTCOME_NOTRUN, Code: toucanpb.Code_CODE_OVERLOAD}, nil
		}, []string{""}, "overload"},
	} {
		cluster := &fakeCluster{}
		if k.run != nil {
			cluster.run = func(_ context.Context, a string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
				return k.run(a, leg)
			}
		}
		a, err := newCoordinator(cluster, 1, k.zones...).Search(t.Context(), "r", findQuery(""))
		require.NoError(t, err, k.name)
		require.Equal(t, k.asked, cluster.asked, k.name)
		if k.reason == "" {
			require.Equal(t, uint32(1), a.Coverage.Answered, k.name)
		} else {
			require.Equal(t, k.reason, a.Coverage.Missing[0].Reason, k.name)
		}
	}
}

// Guards against a non-idempotent request that is sent twice, or reported as "not
// run" although it may have run.
func TestNonIdempotentRequestIsSentOnceAndOutcomeIsAccurate(t *testing.T) {
	result := func(o toucanpb.Outcome, code toucanpb.Code) func(string, *toucanpb.Leg) (*toucanpb.LegResult, error) {
		return func(_ string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			return &toucanpb.LegResult{Shard: leg.Shard, Outcome: o, Code: code}, nil
		}
	}
	const notrun, unknown, isDone = toucanpb.Outcome_OUTCOME_NOTRUN, toucanpb.Outcome_OUTCOME_UNKNOWN, toucanpb.Outcome_OUTCOME_DONE
	for _, k := range []struct {
		name string
		key  string
		void bool
		run  func(string, *toucanpb.Leg) (*toucanpb.LegResult, error)
		want toucanpb.Outcome
	}{
		{"done", "k", false, func(_ string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) { return doneResult(leg), nil }, isDone},
		{"done for another shard", "k", false, func(_ string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			r := doneResult(leg)
			r.Shard++
			return r, nil
		}, unknown},
		{"no lease", "k", false, result(notrun, toucanpb.Code_CODE_LEASE), notrun},
		{"no outcome", "k", false, result(0, 0), unknown},
		{"failed", "k", false, result(unknown, toucanpb.Code_CODE_FAILED), unknown},
		{"host not reached", "k", false, func(string, *toucanpb.Leg) (*toucanpb.LegResult, error) {
			return nil, toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "refused")
		}, notrun},
		{"host not reached, the next does it", "k", false, func(a string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			if a == "costa-1" {
				return nil, toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "refused")
			}
			return doneResult(leg), nil
		}, isDone},
		{"link lost, claimed", "k", false, func(string, *toucanpb.Leg) (*toucanpb.LegResult, error) {
			return nil, toucanfault.Unknown(toucanpb.Code_CODE_DOWN, "stream broken")
		}, unknown},
		{"host lost, claimed", "k", false, result(unknown, toucanpb.Code_CODE_DOWN), unknown},
		{"host lost, not claimed", "k", true, result(unknown, toucanpb.Code_CODE_DOWN), notrun},
		{"host lost, no key", "", true, result(unknown, toucanpb.Code_CODE_DOWN), unknown},
		{"failed, not claimed", "k", true, result(unknown, toucanpb.Code_CODE_FAILED), unknown},
	} {
		cluster := &fakeCluster{voids: k.void}
		cluster.run = func(_ context.Context, a string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			return k.run(a, leg)
		}
		legs := 1
		switch k.name {
		case "no lease", "host not reached", "host not reached, the next does it":
			legs = 2 // nothing reached a target, so the zone's other host is tried
		}
		a, err := newCoordinator(cluster, 16, "costa").Search(t.Context(), "r1", &toucanpb.Query{Service: "letters", Route: "pair", Key: k.key})
		if k.want == isDone {
			require.NoError(t, err, k.name)
			require.Equal(t, uint32(1), a.Coverage.Asked)
			require.Equal(t, uint32(1), a.Coverage.Answered)
		} else {
			require.Equal(t, k.want, toucanfault.As(err).Outcome, k.name)
		}
		require.Len(t, cluster.legs, legs, k.name)
		for _, leg := range cluster.legs {
			require.True(t, leg.Once)
			require.False(t, leg.Extra)
		}
	}
}

// Guards against a non-idempotent request that fails although another zone could run
// it, and against one that goes to a second zone although it may have run or claimed
// its key in the first.
func TestNonIdempotentRequestFailsOverOnlyIfNotRun(t *testing.T) {
	const notrun, unknown = toucanpb.Outcome_OUTCOME_NOTRUN, toucanpb.Outcome_OUTCOME_UNKNOWN
	for _, k := range []struct {
		name      string
		key       string
		outcome   toucanpb.Outcome
		code      toucanpb.Code
		failsOver bool
	}{
		{"zone out", "k", notrun, toucanpb.Code_CODE_OUT, true},
		{"no owner reached", "", notrun, toucanpb.Code_CODE_DOWN, true},
		{"no owner reached, may be claimed", "k", notrun, toucanpb.Code_CODE_DOWN, false},
		{"owner lost", "", unknown, toucanpb.Code_CODE_DOWN, false},
		{"overload", "", notrun, toucanpb.Code_CODE_OVERLOAD, false},
		{"failed", "", unknown, toucanpb.Code_CODE_FAILED, false},
	} {
		cluster := &fakeCluster{run: func(_ context.Context, a string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			if a == "costa-1" {
				return &toucanpb.LegResult{Shard: leg.Shard, Outcome: k.outcome, Code: k.code}, nil
			}
			return doneResult(leg), nil
		}}
		_, err := newCoordinator(cluster, 16, "costa", "oriente").Search(t.Context(), "r1", &toucanpb.Query{Service: "letters", Route: "pair", Key: k.key})
		if k.failsOver {
			require.NoError(t, err, k.name)
			require.Equal(t, []string{"costa-1", "oriente-1"}, cluster.asked, k.name)
		} else {
			require.Equal(t, k.outcome, toucanfault.As(err).Outcome, k.name)
			require.Equal(t, []string{"costa-1"}, cluster.asked, k.name)
		}
	}
}

// Guards against a request without an outcome at its deadline that is reported as
// "not run", and against a retry of a key on another shard.
func TestNonIdempotentRequestIsUnknownAtDeadlineAndKeepsItsShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(waitForIdleWorkers)
		cluster := &fakeCluster{run: func(ctx context.Context, _ string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			<-ctx.Done()
			<-time.After(time.Second)
			return doneResult(leg), nil
		}}
		c := newCoordinator(cluster, 64, "sierra")
		for range 2 {
			start := time.Now()
			_, err := c.Search(t.Context(), "r", &toucanpb.Query{Service: "letters", Route: "pair", Key: "k", Timeout: "50ms"})
			require.Equal(t, toucanpb.Outcome_OUTCOME_UNKNOWN, toucanfault.As(err).Outcome)
			require.Equal(t, 50*time.Millisecond, time.Since(start))
		}
		<-time.After(2 * time.Second)
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		require.Equal(t, cluster.legs[0].Shard, cluster.legs[1].Shard)
	})
}

func BenchmarkSearch180Legs(b *testing.B) {
	cluster := &fakeCluster{}
	c := newCoordinator(cluster, 180, "sierra", "costa")
	c.Canary = nil
	results := make([]*toucanpb.LegResult, 180)
	for n := range results {
		results[n] = doneResult(&toucanpb.Leg{Shard: uint32(n), Index: pinnedIndex})
		for j := range 9 {
			results[n].Items = append(results[n].Items, &toucanpb.Item{Id: fmt.Sprint(n, "-", j), Score: float64((n*37 + j*101) % 1000)})
		}
	}
	c.Local = staticResults(results)
	q := findQuery("")
	b.ReportAllocs()
	for b.Loop() {
		if a, err := c.Search(b.Context(), "r", q); err != nil || a.Coverage.Answered != 180 {
			b.Fatal(a, err)
		}
	}
}

type staticResults []*toucanpb.LegResult

func (s staticResults) Run(_ context.Context, leg *toucanpb.Leg) *toucanpb.LegResult {
	return s[leg.Shard]
}
