package toucandispatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/toucanstair/toucancatalog"
	"toucanstair.example/toucanstair/toucanclaim"
	"toucanstair.example/toucanstair/toucandispatch"
	"toucanstair.example/toucanstair/toucanexchange"
	"toucanstair.example/toucanstair/toucanhedge"
	"toucanstair.example/toucanstair/toucanpeer"
	"toucanstair.example/toucanstair/toucanpeerlink"
	"toucanstair.example/toucanstair/toucanselector"
	"toucanstair.example/toucanstair/toucanslot"
)

// zone is a membership in which one member owns every slot.
type zone struct {
	self, owner *toucanpb.Member
	lease       atomic.Bool
	catalog     *toucancatalog.Catalog
	others      map[int]*toucanpb.Member // owners of slots other than owner
	newer       *toucancatalog.Catalog   // in effect once it is waited for; nil: none arrives
}

func (z *zone) Self() *toucanpb.Member          { return z.self }
func (z *zone) LeaseHeld() bool                 { return z.lease.Load() }
func (z *zone) Catalog() *toucancatalog.Catalog { return z.catalog }

func (z *zone) AwaitRevision(ctx context.Context, _ uint64) *toucancatalog.Catalog {
	if z.newer == nil {
		<-ctx.Done()
		return nil
	}
	z.catalog = z.newer
	return z.catalog
}

func (z *zone) Owner(_ toucanreplica.ID, slot int) (*toucanpb.Member, bool) {
	if m := z.others[slot]; m != nil {
		return m, true
	}
	return z.owner, true
}

func (z *zone) MayUse(toucanreplica.ID, int) bool { return z.owner == z.self }

func (z *zone) OwnedSince(toucanreplica.ID, int, uint64) bool { return z.owner == z.self }

// target counts the requests that it executed, unless respond handles them.
type target struct {
	executed    atomic.Int64
	connections atomic.Int64 // open ones
	accepted    atomic.Int64 // connections in all
	returnsID   bool         // responses have the id of their leg in Toucan-Leg
	respond     func(w http.ResponseWriter, r *http.Request) bool
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	var q toucanpb.TargetQuery
	_ = json.Unmarshal(raw, &q)
	if t.returnsID {
		w.Header().Set("Toucan-Leg", q.GetLeg())
	}
	if t.respond != nil && t.respond(w, r) {
		return
	}
	t.executed.Add(1)
	_ = json.NewEncoder(w).Encode(&toucanpb.TargetAnswer{Leg: q.GetLeg(), Shard: q.GetShard(), Index: q.GetIndex(), Items: []*toucanpb.Item{{Id: "a", Score: 1}}})
}

// fixture is a dispatcher with fake targets.
type fixture struct {
	*toucandispatch.Dispatcher
	zone    *zone
	targets []*target
}

// newFixture returns a dispatcher whose host owns every slot of n replicas for each
// shard.
func newFixture(t testing.TB, shards, n int, respond func(w http.ResponseWriter, r *http.Request) bool) *fixture {
	s := &toucanpb.Service{Name: "s", Shards: uint32(shards), Slots: 1, Connections: 25}
	f := &fixture{}
	for i := range shards * n {
		fakeTarget := &target{respond: respond}
		f.targets = append(f.targets, fakeTarget)
		server := httptest.NewUnstartedServer(fakeTarget)
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				fakeTarget.connections.Add(1)
				fakeTarget.accepted.Add(1)
			case http.StateClosed:
				fakeTarget.connections.Add(-1)
			}
		}
		server.Start()
		t.Cleanup(server.Close)
		s.Replicas = append(s.Replicas, &toucanpb.Replica{
			Id: fmt.Sprint("r", i), Shard: uint32(i / n), Zone: "z", Address: server.Listener.Addr().String(), Version: "v1",
		})
	}
	self := &toucanpb.Member{Id: "h0", Zone: "z"}
	f.zone = &zone{self: self, owner: self, catalog: toucancatalog.New(&toucanpb.Rules{Services: []*toucanpb.Service{s}})}
	f.zone.lease.Store(true)
	f.Dispatcher = newDispatcher(t, f.zone, nil)
	return f
}

func newDispatcher(t testing.TB, z *zone, link toucandispatch.PeerLink) *toucandispatch.Dispatcher {
	d := &toucandispatch.Dispatcher{
		Zone: "z", Membership: z, Configuration: z, PeerLink: link,
		Limiter:  &toucanslot.Limiter{Membership: z, Configuration: z},
		Selector: &toucanselector.Selector{Seed: 1}, Budget: &toucanhedge.Budget{}, Exchange: &toucanexchange.Client{},
	}
	t.Cleanup(d.Exchange.Close)
	return d
}

func newLeg(shard int) *toucanpb.Leg {
	return &toucanpb.Leg{QueryId: "q", Service: "s", Shard: uint32(shard), Route: "find", Limit: 10, Index: 7, TimeoutUs: 1e6}
}

// warmUp sends legs to every replica until its cold start ends.
func (f *fixture) warmUp(t testing.TB) {
	for i, r := range f.zone.catalog.Rules().GetServices()[0].GetReplicas() {
		// Responses that are slow because the machine is busy do not count, hence
		// the generous limit.
		for n := 0; f.Limiter.IsCold(toucanreplica.ID(r.GetId())); n++ {
			require.Less(t, n, 100)
			l := newLeg(int(r.GetShard()))
			l.Replica = r.GetId()
			res := f.Serve(context.Background(), l)
			require.Equal(t, toucanpb.Code_CODE_UNSPECIFIED, res.GetCode(), res.GetDetail())
		}
		f.targets[i].executed.Store(0)
	}
}

// Guards against legs for the old version that reach the new one by a retry or a
// hedge, or because their sender does not have the rollout's configuration yet.
func TestOldVersionLegsAvoidNewVersion(t *testing.T) {
	f := newFixture(t, 1, 2, nil)
	rules := f.zone.catalog.Rules()
	rules.Revision = 5
	rules.Moves = []*toucanpb.Move{{Name: "m", Service: "s", From: "v1", To: "v2"}}
	rules.Services[0].Replicas[1].Version = "v2"
	f.zone.catalog = toucancatalog.New(rules)
	f.warmUp(t)
	f.targets[0].respond = func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	for _, c := range []struct {
		version  string
		revision uint64
	}{{"v1", 5}, {"", 4}} {
		for range 20 {
			l := newLeg(0)
			l.Version, l.Map = c.version, c.revision
			require.NotEqual(t, toucanpb.Outcome_OUTCOME_DONE, f.Run(t.Context(), l).GetOutcome())
		}
	}
	require.Zero(t, f.targets[1].executed.Load())
	l := newLeg(0)
	l.Version, l.Map = "v2", 5
	require.Equal(t, toucanpb.Outcome_OUTCOME_DONE, f.Run(t.Context(), l).GetOutcome())
	require.Equal(t, int64(1), f.targets[1].executed.Load())
}

// newerPeerLink is a link to an owner with configuration revision 6, which has only
// the replica r9.
type newerPeerLink struct{ refusals atomic.Int64 }

func (l *newerPeerLink) Do(_ context.Context, _ string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
	if leg.GetReplica() == "r9" {
		return &toucanpb.LegResult{Shard: leg.GetShard(), Index: leg.GetIndex(), Outcome: toucanpb.Outcome_OUTCOME_DONE}, nil
	}
	l.refusals.Add(1)
	return &toucanpb.LegResult{Shard: leg.GetShard(), Outcome: toucanpb.Outcome_OUTCOME_NOTRUN, Code: toucanpb.Code_CODE_UNKNOWN, Map: 6}, nil
}

// Guards against a leg that fails because the owner has a newer configuration, without
// the replica, than the host that selected it.
func TestLegRefusedByNewerConfigurationIsPlannedAgain(t *testing.T) {
	catalog := func(revision uint64, replica string) *toucancatalog.Catalog {
		return toucancatalog.New(&toucanpb.Rules{Revision: revision, Services: []*toucanpb.Service{{
			Name: "s", Shards: 1, Slots: 1, Replicas: []*toucanpb.Replica{{Id: replica, Zone: "z", Address: "127.0.0.1:1"}},
		}}})
	}
	z := &zone{self: &toucanpb.Member{Id: "h0", Zone: "z"}, owner: &toucanpb.Member{Id: "h1"}, catalog: catalog(5, "r0")}
	link := &newerPeerLink{}
	d := newDispatcher(t, z, link)
	l := newLeg(0)
	l.TimeoutUs = 100_000
	res := d.Run(t.Context(), l)
	require.Equal(t, toucanpb.Outcome_OUTCOME_NOTRUN, res.GetOutcome(), "the newer configuration does not arrive")
	require.EqualValues(t, 6, res.GetMap())
	z.newer = catalog(6, "r9")
	res = d.Run(t.Context(), l)
	require.Equal(t, toucanpb.Outcome_OUTCOME_DONE, res.GetOutcome(), res.GetDetail())
	require.EqualValues(t, 2, link.refusals.Load())
}

// Guards against refusals that do not tell the revision that they follow from, and
// against other failures that do.
func TestRefusalsTellTheirRevision(t *testing.T) {
	f := newFixture(t, 1, 1, nil)
	rules := f.zone.catalog.Rules()
	rules.Revision = 5
	rules.Zones = []*toucanpb.Zone{{Name: "z"}}
	f.zone.catalog = toucancatalog.New(rules)
	l := newLeg(0)
	l.Replica = "removed"
	require.EqualValues(t, 5, f.Serve(t.Context(), l).GetMap())
	require.EqualValues(t, 5, f.Run(t.Context(), newLeg(9)).GetMap())
	f.zone.lease.Store(false)
	l.Replica = "r0"
	require.Zero(t, f.Serve(t.Context(), l).GetMap())
	rules.Zones[0].Out = true
	require.EqualValues(t, 5, f.Run(t.Context(), newLeg(0)).GetMap())
}

// Guards against connections that outlive the ownership of a replica's slots: with the
// next owner's connection there are two to a replica in cold start.
func TestConnectionsAreClosedWithTheLastSlot(t *testing.T) {
	f := newFixture(t, 1, 1, nil)
	f.targets[0].returnsID = true
	require.Equal(t, toucanpb.Outcome_OUTCOME_DONE, f.Run(t.Context(), newLeg(0)).GetOutcome())
	open := func() int { return int(f.targets[0].connections.Load()) }
	require.Equal(t, 1, open())
	f.CloseUnowned()
	require.Equal(t, 1, open(), "the slot is still owned")
	f.zone.owner = &toucanpb.Member{Id: "h1"}
	f.CloseUnowned()
	require.Eventually(t, func() bool { return open() == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against a second connection to a replica in cold start because the number of
// slots that this host owns has changed.
func TestConnectionOutlivesChangeOfSlots(t *testing.T) {
	f := newFixture(t, 1, 1, nil)
	f.targets[0].returnsID = true
	rules := f.zone.catalog.Rules()
	rules.Services[0].Slots = 2
	f.zone.catalog = toucancatalog.New(rules)
	for i := range 4 {
		f.zone.others = map[int]*toucanpb.Member{}
		if i%2 == 1 {
			f.zone.others[1] = &toucanpb.Member{Id: "h1"}
		}
		require.Equal(t, toucanpb.Outcome_OUTCOME_DONE, f.Run(t.Context(), newLeg(0)).GetOutcome())
	}
	require.EqualValues(t, 1, f.targets[0].accepted.Load())
}

// Guards against hedges and retries above 5% of the legs plus 20 when everything is
// slow or fails, and against results that count too few requests.
func TestExtraLoadIsBounded(t *testing.T) {
	var requests, slow, sent atomic.Int64
	var failing atomic.Bool
	f := newFixture(t, 4, 3, func(w http.ResponseWriter, _ *http.Request) bool {
		requests.Add(1)
		<-time.After(time.Duration(slow.Load()))
		if failing.Load() {
			w.WriteHeader(http.StatusInternalServerError)
		}
		return failing.Load()
	})
	f.warmUp(t)
	for range 50 {
		f.Budget.RecordLatency("s", time.Millisecond) // the hedge delay of normal times
	}
	requests.Store(0)
	const n = 400
	run := func(code toucanpb.Code) {
		var legs sync.WaitGroup
		for c := range 4 {
			legs.Go(func() {
				for range n / 4 {
					res := f.Run(t.Context(), newLeg(c))
					if res.GetCode() != code {
						t.Errorf("leg ended with %v", res)
					}
					sent.Add(int64(res.GetSent()))
				}
			})
		}
		legs.Wait()
	}
	slow.Store(int64(15 * time.Millisecond))
	run(toucanpb.Code_CODE_UNSPECIFIED)
	require.Greater(t, requests.Load(), int64(n), "no hedge at all")
	require.LessOrEqual(t, requests.Load(), int64(n+n/20+20))
	slow.Store(0)
	failing.Store(true)
	run(toucanpb.Code_CODE_FAILED)
	require.LessOrEqual(t, requests.Load(), int64(2*n+2*n/20+20))
	require.LessOrEqual(t, requests.Load(), sent.Load())
}

// Guards against a straggler that determines the latency of the leg.
func TestHedgeBoundsStragglerLatency(t *testing.T) {
	f := newFixture(t, 1, 2, nil)
	f.warmUp(t)
	f.targets[0].respond = func(_ http.ResponseWriter, r *http.Request) bool {
		<-r.Context().Done()
		return true
	}
	for range 10 {
		begin := time.Now()
		res := f.Run(t.Context(), newLeg(0))
		require.Equal(t, toucanpb.Code_CODE_UNSPECIFIED, res.GetCode(), res.GetDetail())
		require.Less(t, time.Since(begin), 500*time.Millisecond)
	}
}

// Guards against hedges and retries to a replica in cold start.
func TestColdReplicaGetsNoHedgeOrRetry(t *testing.T) {
	f := newFixture(t, 1, 2, func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusInternalServerError)
		return true
	})
	res := f.Run(t.Context(), newLeg(0))
	require.Equal(t, toucanpb.Code_CODE_FAILED, res.GetCode())
	require.EqualValues(t, 1, res.GetSent())
}

// Guards against a non-idempotent leg that is retried although it may have run, and
// one that is not retried although it certainly did not run.
func TestNonIdempotentLegIsSentOnce(t *testing.T) {
	var seen atomic.Int64
	mode := "fail"
	f := newFixture(t, 1, 2, func(w http.ResponseWriter, _ *http.Request) bool {
		n := seen.Add(1)
		switch {
		case mode == "fail":
			w.WriteHeader(http.StatusInternalServerError)
		case mode == "refuse" && n == 1:
			w.Header().Set("Toucan-Refused", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case mode == "slow":
			<-time.After(100 * time.Millisecond)
			return false
		default:
			return false
		}
		return true
	})
	mode = ""
	f.warmUp(t)
	once := newLeg(0)
	once.Once, once.Index = true, 0
	for _, c := range []struct {
		mode string
		seen int64
		code toucanpb.Code
	}{{"fail", 1, toucanpb.Code_CODE_FAILED}, {"refuse", 2, 0}, {"slow", 1, 0}} {
		mode = c.mode
		seen.Store(0)
		res := f.Run(t.Context(), once)
		require.Equal(t, c.code, res.GetCode(), c.mode)
		require.Equal(t, c.seen, seen.Load(), c.mode)
	}

	// The claim of a refused request is released, and the request goes to no other owner.
	released := new(atomic.Int64)
	f.Claims = fakeClaims{released: released}
	mode, once.Key = "refuse", "k"
	seen.Store(0)
	res := f.Run(t.Context(), once)
	require.Equal(t, toucanpb.Code_CODE_REFUSED, res.GetCode())
	require.Equal(t, toucanpb.Outcome_OUTCOME_NOTRUN, res.GetOutcome())
	require.EqualValues(t, 1, seen.Load())
	require.EqualValues(t, 1, released.Load())
}

// Guards against a leg that is reported as not run but reached a target.
func TestNotRunLegsDoNotReachTarget(t *testing.T) {
	f := newFixture(t, 1, 1, func(_ http.ResponseWriter, r *http.Request) bool {
		select {
		case <-r.Context().Done():
		case <-time.After(100 * time.Millisecond):
		}
		return false
	})
	f.zone.lease.Store(false)
	res := f.Run(t.Context(), newLeg(0))
	require.Equal(t, toucanpb.Code_CODE_LEASE, res.GetCode())
	require.Equal(t, toucanpb.Outcome_OUTCOME_NOTRUN, res.GetOutcome())
	f.zone.lease.Store(true)
	require.Zero(t, f.targets[0].executed.Load())

	// Two legs in turn wait for the only slot until their deadline passes.
	first := make(chan *toucanpb.LegResult, 1)
	go func() { first <- f.Run(t.Context(), newLeg(0)) }()
	require.Eventually(t, func() bool { return f.Limiter.Outstanding("r0") == 1 }, time.Second, time.Millisecond)
	for range 2 {
		l := newLeg(0)
		l.Once, l.TimeoutUs = true, 20_000
		res = f.Run(t.Context(), l)
		require.Equal(t, toucanpb.Code_CODE_TIMEOUT, res.GetCode(), res.GetDetail())
		require.Equal(t, toucanpb.Outcome_OUTCOME_NOTRUN, res.GetOutcome())
	}
	require.Equal(t, toucanpb.Code_CODE_UNSPECIFIED, (<-first).GetCode())
	require.EqualValues(t, 1, f.targets[0].executed.Load())
	f.Stop()
	require.Equal(t, toucanpb.Code_CODE_STOPPING, f.Run(t.Context(), newLeg(0)).GetCode())
}

// lostPeerLink is a link whose peer is lost after the leg was written.
type lostPeerLink struct{ calls atomic.Int64 }

func (l *lostPeerLink) Do(context.Context, string, *toucanpb.Leg) (*toucanpb.LegResult, error) {
	l.calls.Add(1)
	return nil, toucanfault.Unknown(toucanpb.Code_CODE_DOWN, "lost")
}

// fakeClaims grants every claim, and voids either every claim or none.
type fakeClaims struct {
	voids    bool
	released *atomic.Int64
}

func (v fakeClaims) Acquire(context.Context, toucanservice.Name, string, string) (*toucanclaim.Claim, error) {
	return &toucanclaim.Claim{}, nil
}

func (v fakeClaims) Void(context.Context, toucanservice.Name, string, string) (bool, error) {
	return v.voids, nil
}

func (v fakeClaims) Release(*toucanclaim.Claim) { v.released.Add(1) }

// Guards against a request of a lost owner that is reported as not run although its
// claim was not voided, or that is sent to another owner.
func TestLostPeerOutcomeFollowsClaim(t *testing.T) {
	f := newFixture(t, 1, 2, nil)
	z := &zone{self: f.zone.self, owner: &toucanpb.Member{Id: "h1"}, catalog: f.zone.catalog}
	for _, c := range []struct {
		key   string
		voids bool
		want  toucanpb.Outcome
	}{{"k", true, toucanpb.Outcome_OUTCOME_NOTRUN}, {"k", false, toucanpb.Outcome_OUTCOME_UNKNOWN}, {"", true, toucanpb.Outcome_OUTCOME_UNKNOWN}} {
		link := &lostPeerLink{}
		dispatcher := newDispatcher(t, z, link)
		dispatcher.Claims = fakeClaims{voids: c.voids}
		l := newLeg(0)
		l.Once, l.Key = true, c.key
		res := dispatcher.Run(t.Context(), l)
		require.Equal(t, c.want, res.GetOutcome())
		require.Equal(t, toucanpb.Code_CODE_DOWN, res.GetCode())
		require.EqualValues(t, 1, link.calls.Load())
	}
}

// benchmarkShards are the numbers of legs of a query; the slope over them is the
// cost of one leg.
var benchmarkShards = []int{20, 60, 180}

// processTime returns the CPU time of this process in nanoseconds. Other load on the
// machine affects it less than the elapsed time.
func processTime(b *testing.B) int64 {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return u.Utime.Nano() + u.Stime.Nano()
}

func benchmarkLegs(b *testing.B, d *toucandispatch.Dispatcher, shards int) {
	l := make([]*toucanpb.Leg, shards)
	for i := range l {
		l[i] = newLeg(i)
	}
	b.ReportAllocs()
	used := processTime(b)
	b.ResetTimer()
	var failed atomic.Int64
	var next atomic.Int64
	var all sync.WaitGroup
	for w := range shards {
		all.Go(func() {
			for next.Add(1) <= int64(b.N) {
				if d.Run(context.Background(), l[w]).GetCode() != 0 {
					failed.Add(1)
				}
			}
		})
	}
	all.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds()/float64(runtime.GOMAXPROCS(0)), "legs/s/core")
	b.ReportMetric(float64(processTime(b)-used)/float64(b.N)/1e3, "cpu-us/leg")
	b.ReportMetric(float64(failed.Load()), "failed")
}

// useRawTargets replaces the targets by ones without net/http, so that its
// allocations do not count.
func useRawTargets(b *testing.B, f *fixture) {
	for _, r := range f.zone.catalog.Rules().GetServices()[0].GetReplicas() {
		l, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
		require.NoError(b, err)
		b.Cleanup(func() { l.Close() })
		r.Address = l.Addr().String()
		body := fmt.Sprintf(`{"leg":"q/%d/%s","shard":%d,"index":7,"items":[{"id":"a","score":1}]}`, r.GetShard(), r.GetId(), r.GetShard())
		response := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nToucan-Boot: b\r\nToucan-State: ready\r\nToucan-Versions: 7\r\n\r\n%s", len(body), body)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					in := make([]byte, 4096) // a request of the benchmark arrives in one piece
					for {
						if _, err := c.Read(in); err != nil {
							return
						}
						if _, err := c.Write(response); err != nil {
							return
						}
					}
				}()
			}
		}()
	}
}

// BenchmarkDirect reports the cost of a leg at a host that owns the slot.
func BenchmarkDirect(b *testing.B) {
	for _, n := range benchmarkShards {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFixture(b, n, 1, nil)
			useRawTargets(b, f)
			f.warmUp(b)
			benchmarkLegs(b, f.Dispatcher, n)
		})
	}
}

// BenchmarkTargets reports the cost of the fake targets and a client without HTTP;
// half of it is the share of the targets in the other benchmarks.
func BenchmarkTargets(b *testing.B) {
	f := newFixture(b, 180, 1, nil)
	useRawTargets(b, f)
	var conns []net.Conn
	for _, r := range f.zone.catalog.Rules().GetServices()[0].GetReplicas() {
		c, err := (&net.Dialer{}).DialContext(b.Context(), "tcp", r.GetAddress())
		require.NoError(b, err)
		b.Cleanup(func() { c.Close() })
		conns = append(conns, c)
	}
	request := make([]byte, 320)
	used := processTime(b)
	var next atomic.Int64
	var all sync.WaitGroup
	for _, c := range conns {
		all.Go(func() {
			in := make([]byte, 4096)
			for next.Add(1) <= int64(b.N) {
				if _, err := c.Write(request); err != nil {
					return
				}
				if _, err := c.Read(in); err != nil {
					return
				}
			}
		})
	}
	all.Wait()
	b.ReportMetric(float64(processTime(b)-used)/float64(b.N)/1e3, "cpu-us/leg")
}

// BenchmarkFan reports the time until all legs of one query have ended while the
// host runs nothing else; size 1 gives the time of a single leg.
func BenchmarkFan(b *testing.B) {
	for _, n := range []int{1, 20, 60, 180} {
		b.Run(fmt.Sprint("direct/", n), func(b *testing.B) {
			f := newFixture(b, n, 1, nil)
			useRawTargets(b, f)
			f.warmUp(b)
			benchmarkFanOut(b, f.Dispatcher, n)
		})
		b.Run(fmt.Sprint("peer/", n), func(b *testing.B) { benchmarkThroughPeer(b, n, benchmarkFanOut) })
	}
}

func benchmarkFanOut(b *testing.B, d *toucandispatch.Dispatcher, n int) {
	var took []time.Duration
	used := processTime(b)
	for range b.N {
		began := time.Now()
		var all sync.WaitGroup
		for i := range n {
			all.Go(func() {
				if r := d.Run(context.Background(), newLeg(i)); r.GetCode() != 0 {
					b.Error(r)
				}
			})
		}
		all.Wait()
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(processTime(b)-used)/float64(b.N)/1e3, "cpu-us/query")
}

// BenchmarkThroughPeer reports the cost of a leg whose slot a peer owns. Both hosts
// run in this process, so the cost covers both.
func BenchmarkThroughPeer(b *testing.B) {
	for _, n := range benchmarkShards {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkThroughPeer(b, n, benchmarkLegs) })
	}
}

func benchmarkThroughPeer(b *testing.B, n int, run func(*testing.B, *toucandispatch.Dispatcher, int)) {
	f := newFixture(b, n, 1, nil)
	useRawTargets(b, f)
	f.warmUp(b)
	l, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	require.NoError(b, err)
	ctx, stop := context.WithCancel(context.Background())
	end := (&toucanpeer.Server{Runner: f.Dispatcher}).Run(ctx, l)
	link := &toucanpeerlink.Client{}
	z := &zone{self: &toucanpb.Member{Id: "h1"}, owner: &toucanpb.Member{Id: "h0", Address: l.Addr().String()}, catalog: f.zone.catalog}
	run(b, newDispatcher(b, z, link), n)
	b.StopTimer()
	link.Close()
	stop()
	require.NoError(b, <-end)
}
