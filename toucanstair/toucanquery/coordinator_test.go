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

const pinned = 42

// world is a fake of everything around the coordinator. run answers legs of the
// own zone (address "") and of the hosts of other zones.
type world struct {
	catalog *toucancatalog.Catalog
	run     func(ctx context.Context, address string, leg *toucanpb.Leg) (*toucanpb.LegResult, error)
	void    bool
	label   string
	back    bool // the move of the service was taken back

	mu    sync.Mutex
	legs  []*toucanpb.Leg
	asked []string
}

func (w *world) Catalog() *toucancatalog.Catalog { return w.catalog }

func (w *world) Pin(toucanservice.Name, *toucancatalog.Catalog) (uint64, error) { return pinned, nil }

func (w *world) ShardsByZone(toucanservice.Name, *toucancatalog.Catalog, uint64) map[toucanzone.Name][]byte {
	return nil
}

func (w *world) Run(ctx context.Context, leg *toucanpb.Leg) *toucanpb.LegResult {
	r, _ := w.Do(ctx, "", leg)
	return r
}

func (w *world) Do(ctx context.Context, address string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
	w.mu.Lock()
	w.legs = append(w.legs, leg)
	w.asked = append(w.asked, address)
	w.mu.Unlock()
	if w.run == nil {
		return done(leg), nil
	}
	return w.run(ctx, address, leg)
}

func (w *world) Contacts(z toucanzone.Name) []*toucanpb.Member {
	return []*toucanpb.Member{{Address: string(z) + "-1"}, {Address: string(z) + "-2"}}
}

func (w *world) VersionFor(toucanservice.Name, string) string { return w.label }

func (w *world) NewVersionMayServe(toucanservice.Name) bool { return !w.back }

func (w *world) Void(context.Context, toucanservice.Name, string, string) (bool, error) {
	return w.void, nil
}

func done(leg *toucanpb.Leg) *toucanpb.LegResult {
	return &toucanpb.LegResult{
		Shard: leg.Shard, Index: leg.Index, Outcome: toucanpb.Outcome_OUTCOME_DONE,
		Items: []*toucanpb.Item{{Id: fmt.Sprint("item-", leg.Shard), Score: float64(leg.Shard)}},
	}
}

// start makes a coordinator in zone sierra for shards that live in the zones.
func start(w *world, shards uint32, zones ...string) *toucanquery.Coordinator {
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
	w.catalog = toucancatalog.New(r)
	return &toucanquery.Coordinator{Zone: "sierra", Configuration: w, Inventory: w, Local: w, PeerLink: w, Contacts: w, Canary: w, Claims: w}
}

// Guards against a shard that is missing while a zone is out, although a replica
// of the new version has it; and against requests of a version that was taken back.
func TestShardInZoneOutOfServiceFallsBackToNewVersion(t *testing.T) {
	for back, answered := range map[bool]uint32{false: 1, true: 0} {
		w := &world{label: "v1", back: back}
		c := start(w, 1, "sierra", "costa", "oriente")
		w.catalog = toucancatalog.New(&toucanpb.Rules{
			Revision: 9,
			Zones:    []*toucanpb.Zone{{Name: "sierra"}, {Name: "costa", Out: true}},
			Moves:    []*toucanpb.Move{{Name: "m", Service: "letters", From: "v1", To: "v2"}},
			Services: []*toucanpb.Service{{
				Name: "letters", Shards: 1, Routes: []*toucanpb.Route{{Name: "find", TimeoutUs: 2e6}},
				Replicas: []*toucanpb.Replica{{Id: "old", Zone: "costa", Version: "v1"}, {Id: "new", Zone: "sierra", Version: "v2"}},
			}},
		})
		a, err := c.Search(t.Context(), "r", find("1s"))
		require.NoError(t, err)
		require.Equal(t, answered, a.Coverage.Answered)
		for _, leg := range w.legs {
			require.Equal(t, "v2", leg.Version)
		}
	}
}

// endWorkers lets the idle workers of a coordinator end, which a bubble waits for.
func endWorkers() { <-time.After(2 * time.Second) }

func find(timeout string) *toucanpb.Query {
	return &toucanpb.Query{Service: "letters", Route: "find", Limit: 10, Timeout: timeout}
}

// Guards against queries that name nothing configured, or ask for more than the
// route allows, reaching any target.
func TestSearchRefusesInvalidQueries(t *testing.T) {
	w := &world{}
	c := start(w, 4, "sierra")
	for detail, q := range map[string]*toucanpb.Query{
		`service "absent" is not configured`:     {Service: "absent", Route: "find"},
		`has no route "absent"`:                  {Service: "letters", Route: "absent"},
		"limit 1001 is above 1000":               {Service: "letters", Route: "find", Limit: 1001},
		"above the route's longest deadline 2s":  find("2.1s"),
		"timeout -1s is not above zero":          find("-1s"),
		`timeout "soon" is not a duration`:       find("soon"),
		"key is only for a route that is not":    {Service: "letters", Route: "find", Key: "k"},
		"key contains control characters":        {Service: "letters", Route: "pair", Key: "a\x00"},
		"key has 300 bytes, more than 256":       {Service: "letters", Route: "pair", Key: string(make([]byte, 300))},
		`timeout "9999999999h" is not a durati`:  find("9999999999h"),
		`service "" is not configured`:           {},
		"timeout 100h0m0s is above the route's ": find("100h"),
	} {
		_, err := c.Search(t.Context(), "r", q)
		f := toucanfault.As(err)
		require.NotNil(t, f, detail)
		require.Contains(t, f.Detail, detail)
		require.Equal(t, toucanpb.Outcome_OUTCOME_NOTRUN, f.Outcome)
	}
	require.Empty(t, w.legs)
}

// Guards against legs whose spans are not part of the query's trace.
func TestLegsCarryTrace(t *testing.T) {
	w := &world{}
	at := trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, TraceFlags: trace.FlagsSampled})
	_, err := start(w, 1, "sierra").Search(trace.ContextWithSpanContext(t.Context(), at), "r", find(""))
	require.NoError(t, err)
	require.Equal(t, "00-01000000000000000000000000000000-0200000000000000-01", w.legs[0].Traceparent)
}

// Guards against crossed, wrong-version, failed or unorderable results counting
// as answers.
func TestSearchCountsOnlyValidResults(t *testing.T) {
	w := &world{}
	w.run = func(_ context.Context, _ string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
		r := done(leg)
		switch leg.Shard {
		case 0:
			r.Shard = 7
		case 1:
			r.Index = pinned - 1
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
	a, err := start(w, 8, "sierra").Search(t.Context(), "r", find(""))
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

// Guards against coverage that differs from what the cells did, under random
// failures, delays and lost hosts.
func TestCoverageMatchesLegResults(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	for round := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			t.Cleanup(endWorkers)
			var mu sync.Mutex
			rnd := rand.New(rand.NewPCG(seed, round))
			good := map[uint32]bool{}
			w := &world{}
			w.run = func(ctx context.Context, address string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
				mu.Lock()
				what, code := rnd.IntN(8), toucanpb.Code(3+rnd.IntN(7))
				// The fraction keeps sums of delays off the deadline.
				delay := time.Duration(rnd.IntN(300))*time.Millisecond + 333*time.Microsecond
				mu.Unlock()
				select {
				case <-time.After(delay):
				case <-ctx.Done():
					return &toucanpb.LegResult{Shard: leg.Shard, Outcome: toucanpb.Outcome_OUTCOME_UNKNOWN, Code: toucanpb.Code_CODE_TIMEOUT}, nil
				}
				if what == 0 && address != "" {
					return nil, toucanfault.Unknown(toucanpb.Code_CODE_DOWN, "lost")
				}
				if what < 3 {
					return &toucanpb.LegResult{Shard: leg.Shard, Outcome: toucanpb.Outcome_OUTCOME_NOTRUN, Code: code}, nil
				}
				r := done(leg)
				if what == 3 {
					r.Index--
				}
				mu.Lock()
				defer mu.Unlock()
				if what > 3 && ctx.Err() == nil {
					good[leg.Shard] = true
				}
				return r, nil
			}
			a, err := start(w, 40, "sierra", "costa").Search(t.Context(), "r", find("250ms"))
			require.NoError(t, err)
			mu.Lock()
			defer mu.Unlock()
			require.Equal(t, uint32(40), a.Coverage.Asked)
			require.Equal(t, len(good), int(a.Coverage.Answered))
			require.Len(t, a.Coverage.Missing, 40-len(good))
			for _, m := range a.Coverage.Missing {
				require.False(t, good[m.Shard], "shard %d", m.Shard)
				require.Contains(t, []string{"timeout", "refused", "down", "cut", "out", "version", "invalid", "overload"}, m.Reason)
			}
			require.Len(t, a.Items, min(10, len(good)))
			synctest.Wait()
		})
	}
}

// Guards against a response later than its deadline, and against a caller's
// cancel that leaves legs running.
func TestSearchRespondsByDeadlineAndCancelsLegs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(endWorkers)
		w := &world{}
		ended := make(chan uint32, 100)
		w.run = func(ctx context.Context, _ string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			if leg.Shard == 0 {
				return done(leg), nil
			}
			<-ctx.Done()
			<-time.After(time.Second) // late
			ended <- leg.Shard
			return done(leg), nil
		}
		c := start(w, 5, "costa")
		start := time.Now()
		a, err := c.Search(t.Context(), "r", find("50ms"))
		require.NoError(t, err)
		require.Equal(t, 48*time.Millisecond, time.Since(start))
		require.Equal(t, uint32(1), a.Coverage.Answered)
		require.Equal(t, "timeout", a.Coverage.Missing[0].Reason)
		<-time.After(2 * time.Second)
		require.Len(t, ended, 4)

		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, cancel)
		_, err = c.Search(ctx, "r", find("50ms"))
		require.Equal(t, toucanpb.Code_CODE_CANCELLED, toucanfault.As(err).Code)
		<-time.After(2 * time.Second)
		require.Len(t, ended, 8)
	})
}

// Guards against a bad version that gets all requests for a shard because the
// zone that is asked first has no other replica, and against requests of the
// new version that never find it in another zone.
func TestZoneOrderFollowsVersion(t *testing.T) {
	for label, asked := range map[string]string{"v1": "costa-1", "v2": ""} {
		w := &world{label: label}
		c := start(w, 1, "sierra", "costa")
		rules := w.catalog.Rules()
		rules.Moves = []*toucanpb.Move{{Name: "m", Service: "letters", From: "v1", To: "v2"}}
		for _, r := range rules.Services[0].Replicas {
			r.Version = "v1"
			if r.Zone == "sierra" {
				r.Version = "v2"
			}
		}
		w.catalog = toucancatalog.New(rules)
		a, err := c.Search(t.Context(), "r", find(""))
		require.NoError(t, err)
		require.Equal(t, uint32(1), a.Coverage.Answered)
		require.Equal(t, []string{asked}, w.asked, label)
	}
}

// Guards against work sent to a zone out of service, a lost host or zone that
// costs the shard, and against a second try that moves overload to another zone.
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
			return done(leg), nil
		}, []string{"costa-1", "costa-2"}, ""},
		{"zone cut off", []string{"costa", "oriente"}, func(a string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			if a == "oriente-1" {
				return done(leg), nil
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
		w := &world{}
		if k.run != nil {
			w.run = func(_ context.Context, a string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
				return k.run(a, leg)
			}
		}
		a, err := start(w, 1, k.zones...).Search(t.Context(), "r", find(""))
		require.NoError(t, err, k.name)
		require.Equal(t, k.asked, w.asked, k.name)
		if k.reason == "" {
			require.Equal(t, uint32(1), a.Coverage.Answered, k.name)
		} else {
			require.Equal(t, k.reason, a.Coverage.Missing[0].Reason, k.name)
		}
	}
}

// Guards against a non-idempotent request sent twice, or refused as "not run"
// when it may have run.
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
		{"done", "k", false, func(_ string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) { return done(leg), nil }, isDone},
		{"done for another shard", "k", false, func(_ string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			r := done(leg)
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
			return done(leg), nil
		}, isDone},
		{"link lost, claimed", "k", false, func(string, *toucanpb.Leg) (*toucanpb.LegResult, error) {
			return nil, toucanfault.Unknown(toucanpb.Code_CODE_DOWN, "stream broken")
		}, unknown},
		{"host lost, claimed", "k", false, result(unknown, toucanpb.Code_CODE_DOWN), unknown},
		{"host lost, not claimed", "k", true, result(unknown, toucanpb.Code_CODE_DOWN), notrun},
		{"host lost, no key", "", true, result(unknown, toucanpb.Code_CODE_DOWN), unknown},
		{"failed, not claimed", "k", true, result(unknown, toucanpb.Code_CODE_FAILED), unknown},
	} {
		w := &world{void: k.void}
		w.run = func(_ context.Context, a string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			return k.run(a, leg)
		}
		legs := 1
		switch k.name {
		case "no lease", "host not reached", "host not reached, the next does it":
			legs = 2 // nothing reached a target, so the zone's other host is asked
		}
		a, err := start(w, 16, "costa").Search(t.Context(), "r1", &toucanpb.Query{Service: "letters", Route: "pair", Key: k.key})
		if k.want == isDone {
			require.NoError(t, err, k.name)
			require.Equal(t, uint32(1), a.Coverage.Asked)
			require.Equal(t, uint32(1), a.Coverage.Answered)
		} else {
			require.Equal(t, k.want, toucanfault.As(err).Outcome, k.name)
		}
		require.Len(t, w.legs, legs, k.name)
		for _, leg := range w.legs {
			require.True(t, leg.Once)
			require.False(t, leg.Extra)
		}
	}
}

// Guards against a non-idempotent request that is refused though another zone
// could run it, and against one that goes to a second zone after it may have
// run or claimed its key in the first.
func TestNonIdempotentRequestFailsOverOnlyIfNotRun(t *testing.T) {
	const notrun, unknown = toucanpb.Outcome_OUTCOME_NOTRUN, toucanpb.Outcome_OUTCOME_UNKNOWN
	for _, k := range []struct {
		name    string
		key     string
		outcome toucanpb.Outcome
		code    toucanpb.Code
		moves   bool
	}{
		{"zone out", "k", notrun, toucanpb.Code_CODE_OUT, true},
		{"no owner reached", "", notrun, toucanpb.Code_CODE_DOWN, true},
		{"no owner reached, may be claimed", "k", notrun, toucanpb.Code_CODE_DOWN, false},
		{"owner lost", "", unknown, toucanpb.Code_CODE_DOWN, false},
		{"overload", "", notrun, toucanpb.Code_CODE_OVERLOAD, false},
		{"failed", "", unknown, toucanpb.Code_CODE_FAILED, false},
	} {
		w := &world{run: func(_ context.Context, a string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			if a == "costa-1" {
				return &toucanpb.LegResult{Shard: leg.Shard, Outcome: k.outcome, Code: k.code}, nil
			}
			return done(leg), nil
		}}
		_, err := start(w, 16, "costa", "oriente").Search(t.Context(), "r1", &toucanpb.Query{Service: "letters", Route: "pair", Key: k.key})
		if k.moves {
			require.NoError(t, err, k.name)
			require.Equal(t, []string{"costa-1", "oriente-1"}, w.asked, k.name)
		} else {
			require.Equal(t, k.outcome, toucanfault.As(err).Outcome, k.name)
			require.Equal(t, []string{"costa-1"}, w.asked, k.name)
		}
	}
}

// Guards against a request without an outcome at its deadline being reported as
// "not run", and against a key that reaches another shard on its repeat.
func TestNonIdempotentRequestIsUnknownAtDeadlineAndKeepsItsShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(endWorkers)
		w := &world{run: func(ctx context.Context, _ string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			<-ctx.Done()
			<-time.After(time.Second)
			return done(leg), nil
		}}
		c := start(w, 64, "sierra")
		for range 2 {
			start := time.Now()
			_, err := c.Search(t.Context(), "r", &toucanpb.Query{Service: "letters", Route: "pair", Key: "k", Timeout: "50ms"})
			require.Equal(t, toucanpb.Outcome_OUTCOME_UNKNOWN, toucanfault.As(err).Outcome)
			require.Equal(t, 50*time.Millisecond, time.Since(start))
		}
		<-time.After(2 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		require.Equal(t, w.legs[0].Shard, w.legs[1].Shard)
	})
}

func BenchmarkSearch180Legs(b *testing.B) {
	w := &world{}
	c := start(w, 180, "sierra", "costa")
	c.Canary = nil
	results := make([]*toucanpb.LegResult, 180)
	for n := range results {
		results[n] = done(&toucanpb.Leg{Shard: uint32(n), Index: pinned})
		for j := range 9 {
			results[n].Items = append(results[n].Items, &toucanpb.Item{Id: fmt.Sprint(n, "-", j), Score: float64((n*37 + j*101) % 1000)})
		}
	}
	c.Local = static(results)
	q := find("")
	b.ReportAllocs()
	for b.Loop() {
		if a, err := c.Search(b.Context(), "r", q); err != nil || a.Coverage.Answered != 180 {
			b.Fatal(a, err)
		}
	}
}

type static []*toucanpb.LegResult

func (s static) Run(_ context.Context, leg *toucanpb.Leg) *toucanpb.LegResult { return s[leg.Shard] }
