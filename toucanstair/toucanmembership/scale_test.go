package toucanmembership_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanhead"
	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucancanary"
	"toucanstair.example/toucanstair/toucancatalog"
	"toucanstair.example/toucanstair/toucanconfig"
	"toucanstair.example/toucanstair/toucaninventory"
	"toucanstair.example/toucanstair/toucanmembership"
	"toucanstair.example/toucanstair/toucanslot"
	"toucanstair.example/toucanstair/toucanview"
)

// The design size: 38 zones with 2,340 replicas each, from 13 services of 180 shards
// with one replica for each shard and zone.
const (
	services   = 13
	shards     = 180
	otherZones = 37
	homeZone   = "z00"
)

// fleet is one zone of full members and one host in each other zone, connected by an
// in-memory transport that encodes every message and counts its bytes.
type fleet struct {
	catalog   *toucancatalog.Catalog
	members   []*member
	dead      sync.Map                 // addresses of killed or partitioned hosts
	sentBytes map[string]*atomic.Int64 // by part of the traffic
	messages  atomic.Int64
	announced atomic.Int64 // messages of slot openings only
	reads     atomic.Int64
	writes    atomic.Int64
	readBytes atomic.Int64 // bytes read from the store

	membershipOnly bool // no inventory, canary controller or slot limiter
	byAddress      map[string]*member

	mu       sync.Mutex
	store    map[string]*toucanpb.Entry
	revision uint64
	changed  chan struct{} // closed by the next write
}

type member struct {
	*toucanmembership.Manager
	syncer      *toucanconfig.Syncer
	inventory   *toucaninventory.Inventory
	canary      *toucancanary.Controller
	limiter     *toucanslot.Limiter
	ownReplicas []*toucanpb.Replica // replicas of its zone
	isHome      bool
	done        []<-chan error
	calls       sync.WaitGroup
}

// trafficParts are the parts of the traffic whose bytes are counted separately.
var trafficParts = []string{"sender", "digest", "moves", "evidence", "served", "stamps", "openings", "contacts", "fetch"}

func (f *fleet) Catalog() *toucancatalog.Catalog { return f.catalog }

func catalogWith(zones int, rollout bool) *toucancatalog.Catalog {
	r := &toucanpb.Rules{Revision: 1}
	for z := range zones {
		r.Zones = append(r.Zones, &toucanpb.Zone{Name: fmt.Sprintf("z%02d", z)})
	}
	for s := range services {
		v := &toucanpb.Service{
			Name: fmt.Sprintf("service-%02d", s), Shards: shards, Slots: 3, Connections: 100,
			Routes: []*toucanpb.Route{{Name: "search", TimeoutUs: 55000}},
		}
		for z := range zones {
			for n := range uint32(shards) {
				v.Replicas = append(v.Replicas, &toucanpb.Replica{
					Id: fmt.Sprintf("s%02d-z%02d-%03d", s, z, n), Shard: n, Zone: fmt.Sprintf("z%02d", z),
					Address: fmt.Sprintf("10.%d.%d.%d:8080", s, z, n+1),
				})
			}
		}
		r.Services = append(r.Services, v)
	}
	if rollout {
		r.Moves = []*toucanpb.Move{{
			Name: "move-1", Service: "service-00", From: "v1", To: "v2", Start: 0.02, Steps: []float64{0.1, 0.5},
			Deadline: 1 << 40, Bound: 0.05, Samples: 1 << 40,
		}}
	}
	return toucancatalog.New(r)
}

// startFleet starts a fleet whose views in the store list all members already, which
// saves one view change for each member.
func startFleet(ctx context.Context, t *testing.T, seed uint64, size int, rollout, membershipOnly bool) *fleet {
	f := &fleet{
		membershipOnly: membershipOnly, sentBytes: map[string]*atomic.Int64{},
		store: map[string]*toucanpb.Entry{}, byAddress: map[string]*member{}, changed: make(chan struct{}),
	}
	f.catalog = toucancatalog.New(&toucanpb.Rules{})
	if !membershipOnly {
		f.catalog = catalogWith(otherZones+1, rollout)
	}
	for _, p := range trafficParts {
		f.sentBytes[p] = &atomic.Int64{}
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	views := map[string]*toucanpb.ZoneView{}
	for i := range size + otherZones {
		zone, name := homeZone, fmt.Sprintf("host-%04d", i)
		if i >= size {
			zone = fmt.Sprintf("z%02d", i-size+1)
		}
		f.add(name, zone, fmt.Sprintf("10.200.%d.%d:7000", i/250, i%250+1), rng.Uint64()|1, i < size)
		m := f.members[i]
		v := views[zone]
		if v == nil {
			v = &toucanpb.ZoneView{Zone: zone, Number: 1}
			views[zone] = v
		}
		v.Members = append(v.Members, m.Self())
	}
	for zone, v := range views {
		value, _ := proto.Marshal(v)
		f.revision++
		f.store["zone/"+zone+"/view"] = &toucanpb.Entry{Key: "zone/" + zone + "/view", Value: value, Revision: f.revision}
	}
	f.publish(ctx, t)
	for _, m := range f.members {
		m.done = append(m.done, m.Run(ctx), m.syncer.Run(ctx))
		if membershipOnly {
			continue
		}
		m.done = append(m.done, m.simulateTraffic(ctx))
		if m.isHome {
			m.done = append(m.done, m.canary.Run(ctx), m.limiter.Run(ctx))
		}
	}
	return f
}

func (f *fleet) add(name, zone, address string, seed uint64, isHome bool) {
	m := &member{isHome: isHome}
	c := conn{f: f, from: address}
	proxy := &managerProxy{m}
	m.inventory = toucaninventory.New(f, proxy)
	m.canary = &toucancanary.Controller{Catalog: f.Catalog}
	m.limiter = &toucanslot.Limiter{Configuration: f, Membership: proxy}
	m.syncer = &toucanconfig.Syncer{
		Store: c, IsWatcher: m.watches,
		Pull: func(ctx context.Context, from *toucanpb.Member, r *toucanpb.FetchRequest) (*toucanpb.FetchReply, error) {
			return conn{f, address, from.GetAddress()}.Fetch(ctx, r)
		},
	}
	list := []toucanmembership.GossipHandler{m.syncer}
	if !f.membershipOnly {
		list = append(list, m.inventory)
	}
	if !f.membershipOnly && isHome {
		list = append(list, m.canary, m.limiter)
	}
	m.Manager = toucanmembership.New(toucanmembership.Settings{
		Name: name, Zone: toucanzone.Name(zone), Address: address, RandomSeed: seed, Store: c, GossipHandlers: list,
		Dial: func(a string) (toucanpb.PeerClient, error) { return conn{f, address, a}, nil },
	})
	m.canary.SourceID = toucanhost.ID(m.Self().GetId())
	m.limiter.Announce = func(to *toucanpb.Member, openings []*toucanpb.Opening) {
		m.calls.Go(func() { m.announce(conn{f, address, to.GetAddress()}, openings) })
	}
	m.limiter.CurrentView = func() uint64 { return m.View().Number() }
	m.limiter.OnViewReleased = m.SetReleasedView
	for _, s := range f.catalog.Rules().GetServices() {
		for _, r := range s.GetReplicas() {
			if r.GetZone() == zone {
				m.ownReplicas = append(m.ownReplicas, r)
			}
		}
	}
	f.members = append(f.members, m)
	f.byAddress[address] = m
}

// waitDone waits for the members after their context has ended.
func (f *fleet) waitDone(t *testing.T) {
	for _, m := range f.members {
		for _, e := range m.done {
			require.NoError(t, <-e)
		}
	}
	for _, m := range f.members {
		m.calls.Wait()
	}
}

// managerProxy forwards to the manager of a member. The other components need it
// before the manager exists.
type managerProxy struct{ m *member }

func (i *managerProxy) Self() *toucanpb.Member { return i.m.Self() }
func (i *managerProxy) View() toucanview.View  { return i.m.View() }
func (i *managerProxy) Owner(r toucanreplica.ID, slot int) (*toucanpb.Member, bool) {
	return i.m.Owner(r, slot)
}
func (i *managerProxy) MayUse(r toucanreplica.ID, slot int) bool { return i.m.MayUse(r, slot) }
func (i *managerProxy) OwnedSince(r toucanreplica.ID, slot int, since uint64) bool {
	return i.m.OwnedSince(r, slot, since)
}

// watches reports whether the member watches the store for its zone: as in the host
// process, the first two ranked members do.
func (m *member) watches() bool {
	v := m.View()
	ranked := v.Rank("watch", string(v.Zone()))
	for _, o := range ranked[:min(2, len(ranked))] {
		if o.GetId() == m.Self().GetId() {
			return true
		}
	}
	return false
}

// publish writes the next revision of a small configuration to the store and returns
// its number.
func (f *fleet) publish(ctx context.Context, t *testing.T) uint64 {
	h := &toucanhead.Publisher{Store: conn{f: f}}
	files := map[string][]byte{"00.yaml": fmt.Appendf(nil, "# %d\nzones: [{name: z00}]\nservices:\n  - {name: letters, shards: 1, slots: 3, connections: 100, connect: 1ms, routes: [{name: find, timeout: 1s}], replicas: [{id: l1, shard: 0, zone: z00, address: \"10.1.1.1:80\"}]}\n", rand.Uint64())}
	p, err := h.Plan(ctx, files, "bench")
	require.NoError(t, err)
	r := h.Apply(ctx, p)
	require.Equal(t, toucanhead.Done, r.Phase)
	return r.Revision
}

// announce sends slot openings as the host process does.
func (m *member) announce(c conn, openings []*toucanpb.Opening) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c.f.announced.Add(1)
	_, _ = c.Beat(ctx, &toucanpb.BeatRequest{
		Sender: m.Self(), View: m.View().Number(), Gossip: &toucanpb.Gossip{Openings: openings},
	})
}

// simulateTraffic records, each second, what responses and health polls would for the
// replicas whose first slot the member owns.
func (m *member) simulateTraffic(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	go func() {
		t := time.NewTicker(time.Second)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				end <- nil
				return
			case <-t.C:
			}
			self := m.Self().GetId()
			for _, r := range m.ownReplicas {
				id := toucanreplica.ID(r.GetId())
				if o, ok := m.Owner(id, 0); !ok || o.GetId() != self {
					continue
				}
				m.inventory.Record(id, []uint64{1000})
				if m.isHome {
					m.limiter.ObserveResponse(id, "boot-0001", "ready")
				}
			}
			for _, v := range []string{"v1", "v2"} {
				m.canary.RecordResponse(toucanservice.Name("service-00"), v, "search", 0, 5*time.Millisecond)
			}
		}
	}()
	return end
}

// conn is one host's connection to a host or the store.
type conn struct {
	f        *fleet
	from, to string
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return toucanfault.Unknown(toucanpb.Code_CODE_TIMEOUT, "no reply")
	}
}

func (c conn) call(ctx context.Context) (*member, error) {
	if err := sleep(ctx, time.Millisecond); err != nil {
		return nil, err
	}
	_, a := c.f.dead.Load(c.from)
	if _, b := c.f.dead.Load(c.to); a || b {
		<-ctx.Done()
		return nil, toucanfault.Unknown(toucanpb.Code_CODE_TIMEOUT, "no reply")
	}
	return c.f.byAddress[c.to], nil
}

func (c conn) count(sender *member, m proto.Message, g *toucanpb.Gossip) {
	if !sender.isHome {
		return
	}
	size := func(g *toucanpb.Gossip) int64 { return int64(proto.Size(g)) }
	f := c.f
	f.sentBytes["digest"].Add(size(&toucanpb.Gossip{Digest: g.GetDigest()}))
	f.sentBytes["moves"].Add(size(&toucanpb.Gossip{Moves: g.GetMoves()}))
	f.sentBytes["evidence"].Add(size(&toucanpb.Gossip{Evidence: g.GetEvidence()}))
	for _, s := range g.GetServed() {
		part := "served"
		if s.GetService() == "" {
			part = "stamps"
		}
		f.sentBytes[part].Add(size(&toucanpb.Gossip{Served: []*toucanpb.Served{s}}))
	}
	f.sentBytes["openings"].Add(size(&toucanpb.Gossip{Openings: g.GetOpenings()}))
	f.sentBytes["contacts"].Add(size(&toucanpb.Gossip{Contacts: g.GetContacts()}))
	f.sentBytes["sender"].Add(int64(proto.Size(m)) - size(g))
	f.messages.Add(1)
}

func (c conn) Beat(ctx context.Context, r *toucanpb.BeatRequest, _ ...grpc.CallOption) (*toucanpb.BeatReply, error) {
	raw, _ := proto.Marshal(r)
	c.count(c.f.byAddress[c.from], r, r.GetGossip())
	m, err := c.call(ctx)
	if err != nil {
		return nil, err
	}
	in := &toucanpb.BeatRequest{}
	if err := proto.Unmarshal(raw, in); err != nil {
		return nil, err
	}
	reply, err := m.Beat(ctx, in)
	if err != nil {
		return nil, err
	}
	raw, _ = proto.Marshal(reply)
	c.count(m, reply, reply.GetGossip())
	if _, err := c.call(ctx); err != nil {
		return nil, err
	}
	out := &toucanpb.BeatReply{}
	return out, proto.Unmarshal(raw, out)
}

func (c conn) Vote(ctx context.Context, r *toucanpb.VoteRequest, _ ...grpc.CallOption) (*toucanpb.VoteReply, error) {
	m, err := c.call(ctx)
	if err != nil {
		return nil, err
	}
	return m.Vote(ctx, r)
}

func (c conn) Fetch(ctx context.Context, r *toucanpb.FetchRequest, _ ...grpc.CallOption) (*toucanpb.FetchReply, error) {
	m, err := c.call(ctx)
	if err != nil {
		return nil, err
	}
	reply, err := m.syncer.Fetch(ctx, r)
	if err != nil {
		return nil, err
	}
	if r.GetView() {
		reply.View = m.View().Proto()
	}
	raw, _ := proto.Marshal(reply)
	c.f.sentBytes["fetch"].Add(int64(len(raw)))
	out := &toucanpb.FetchReply{}
	return out, proto.Unmarshal(raw, out)
}

func (c conn) Legs(context.Context, ...grpc.CallOption) (grpc.BidiStreamingClient[toucanpb.LegRequest, toucanpb.LegResult], error) {
	return nil, toucanfault.NotRun(toucanpb.Code_CODE_INTERNAL, "not used")
}

// storeCall waits for the duration of a store call, 4 ms, and adds the call to n if
// the caller is in the home zone. The store never fails here; a dead host gets no
// reply.
func (c conn) storeCall(ctx context.Context, n *atomic.Int64) error {
	if m := c.f.byAddress[c.from]; m != nil && m.isHome {
		n.Add(1)
	}
	if _, dead := c.f.dead.Load(c.from); dead {
		<-ctx.Done()
	}
	return sleep(ctx, 4*time.Millisecond)
}

func (c conn) Get(ctx context.Context, key string) (*toucanpb.Entry, error) {
	if err := c.storeCall(ctx, &c.f.reads); err != nil {
		return nil, err
	}
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	e := c.f.store[key]
	c.f.readBytes.Add(int64(len(e.GetValue())))
	return e, nil
}

func (c conn) List(ctx context.Context, prefix string) ([]*toucanpb.Entry, error) {
	if err := c.storeCall(ctx, &c.f.reads); err != nil {
		return nil, err
	}
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	var out []*toucanpb.Entry
	for k, e := range c.f.store {
		if strings.HasPrefix(k, prefix) {
			out = append(out, e)
			c.f.readBytes.Add(int64(len(e.GetValue())))
		}
	}
	return out, nil
}

func (c conn) Delete(context.Context, string, uint64) error { return nil }

func (c conn) Put(ctx context.Context, key string, value []byte, prev uint64, _ string) (uint64, error) {
	if err := c.storeCall(ctx, &c.f.writes); err != nil {
		return 0, err
	}
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if c.f.store[key].GetRevision() != prev {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT, "changed")
	}
	c.f.revision++
	c.f.store[key] = &toucanpb.Entry{Key: key, Value: value, Revision: c.f.revision}
	close(c.f.changed)
	c.f.changed = make(chan struct{})
	return c.f.revision, nil
}

// Watch is a long poll of 30 s.
func (c conn) Watch(ctx context.Context, prefix string, after uint64) ([]*toucanpb.Entry, uint64, error) {
	if err := c.storeCall(ctx, &c.f.reads); err != nil {
		return nil, 0, err
	}
	limit := time.NewTimer(30 * time.Second)
	defer limit.Stop()
	for {
		c.f.mu.Lock()
		var out []*toucanpb.Entry
		for k, e := range c.f.store {
			if strings.HasPrefix(k, prefix) && e.GetRevision() > after {
				out = append(out, e)
			}
		}
		rev, changed := c.f.revision, c.f.changed
		c.f.mu.Unlock()
		if len(out) > 0 {
			return out, rev, nil
		}
		select {
		case <-changed:
		case <-limit.C:
			return nil, rev, nil
		case <-ctx.Done():
			return nil, 0, toucanfault.Unknown(toucanpb.Code_CODE_TIMEOUT, "no reply")
		}
	}
}

func (c conn) Hosts(ctx context.Context) ([]*toucanpb.HostStatus, error) {
	if err := c.storeCall(ctx, &c.f.reads); err != nil {
		return nil, err
	}
	var out []*toucanpb.HostStatus
	for a, m := range c.f.byAddress {
		if _, dead := c.f.dead.Load(a); !dead {
			out = append(out, &toucanpb.HostStatus{Name: m.Self().GetName(), State: "live"})
		}
	}
	return out, nil
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// withVirtualClock runs f with a virtual clock, so that neither the load of the
// machine nor the processor time of a large zone delays heartbeats.
func withVirtualClock(b *testing.B, f func(t *testing.T)) {
	all := func(string, string) (bool, error) { return true, nil }
	ok := testing.RunTests(all, []testing.InternalTest{{Name: b.Name(), F: func(t *testing.T) { synctest.Test(t, f) }}})
	require.True(b, ok)
}

// sizes returns the zone sizes in TOUCAN_SIZES, or the standard ones.
func sizes(standard ...int) []int {
	var out []int
	for s := range strings.SplitSeq(os.Getenv("TOUCAN_SIZES"), ",") {
		if n, err := strconv.Atoi(s); err == nil {
			out = append(out, n)
		}
	}
	if out == nil {
		return standard
	}
	return out
}

// BenchmarkZone reports the cost per second of one member of a zone at rest. The
// clock is virtual; processor time comes from getrusage, bytes from encoded messages.
func BenchmarkZone(b *testing.B) {
	for _, rollout := range []bool{false, true} {
		for _, n := range sizes(6, 24, 96) {
			b.Run(fmt.Sprintf("move=%t/members=%d", rollout, n), func(b *testing.B) {
				for range b.N {
					withVirtualClock(b, func(t *testing.T) { measureIdleZone(t, b, n, rollout) })
				}
			})
		}
	}
}

func measureIdleZone(t *testing.T, b *testing.B, n int, rollout bool) {
	const warmUp, measured = 45 * time.Second, 20 * time.Second
	ctx, stop := context.WithCancel(t.Context())
	before := heapBytes()
	shared := catalogWith(otherZones+1, rollout)
	catalog := heapBytes() - before
	runtime.KeepAlive(shared)
	f := startFleet(ctx, t, 1, n, rollout, false)
	require.NoError(t, sleep(ctx, warmUp))
	if rollout {
		for _, m := range f.members {
			m.canary.Accept(m.Self(), &toucanpb.Gossip{Moves: []*toucanpb.MoveState{{Name: "move-1", Phase: toucanpb.MoveState_PHASE_RUNNING}}})
		}
	}
	for _, p := range f.sentBytes {
		p.Store(0)
	}
	f.messages.Store(0)
	f.announced.Store(0)
	f.reads.Store(0)
	f.writes.Store(0)
	f.readBytes.Store(0)
	used := cpuTime()
	require.NoError(t, sleep(ctx, measured))
	used = cpuTime() - used
	each := float64(n) * measured.Seconds()
	var bytes int64
	for name, p := range f.sentBytes {
		v := p.Load()
		bytes += v
		b.ReportMetric(float64(v)/each, name+"-B/s")
	}
	b.ReportMetric(float64(bytes)/each, "out-B/s")
	b.ReportMetric(float64(f.messages.Load())/each, "messages/s")
	b.ReportMetric(float64(f.announced.Load())/each, "announced/s")
	// The hosts of the other zones take part of the processor time.
	b.ReportMetric(used.Seconds()*1000/(float64(n)*measured.Seconds()), "cpu-ms/s")
	b.ReportMetric(float64(f.reads.Load())/each, "reads/s")
	b.ReportMetric(float64(f.readBytes.Load())/each, "read-B/s")
	b.ReportMetric(catalog/1e6, "catalog-MB")
	b.ReportMetric((heapBytes()-before-2*catalog)/float64(n)/1e6, "heap-MB")
	stop()
	f.waitDone(t)
}

// metricReporter receives the metrics of a run: a *testing.B, or discardMetrics in a
// test.
type metricReporter interface {
	ReportMetric(value float64, unit string)
}

type discardMetrics struct{}

func (discardMetrics) ReportMetric(float64, string) {}

// Guards against members that failed together and are never removed. One view change
// for each would exceed the number of earlier views that a view lists.
func TestSimultaneousFailuresAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const members, lost = 60, 20
		require.Zero(t, measureMemberLoss(t, discardMetrics{}, members, lost))
	})
}

// BenchmarkLoss reports the duration and the cost of the removal of dead hosts.
func BenchmarkLoss(b *testing.B) {
	for _, n := range sizes(6, 24, 96) {
		for _, lost := range []int{1, n / 6, n / 5, n / 3} {
			b.Run(fmt.Sprintf("members=%d/lost=%d", n, lost), func(b *testing.B) {
				for range b.N {
					withVirtualClock(b, func(t *testing.T) { measureMemberLoss(t, b, n, lost) })
				}
			})
		}
	}
}

// measureMemberLoss kills members of the home zone and returns how many of them are
// still in a view after at most 3 minutes.
func measureMemberLoss(t *testing.T, b metricReporter, n, lost int) int {
	ctx, stop := context.WithCancel(t.Context())
	f := startFleet(ctx, t, 2, n, false, true)
	require.NoError(t, sleep(ctx, 5*time.Second))
	f.writes.Store(0)
	for _, m := range f.members[:lost] {
		f.dead.Store(m.Self().GetAddress(), true)
	}
	began, used := time.Now(), cpuTime()
	var halfRemoved time.Duration
	remaining := 0
	for time.Since(began) < 3*time.Minute {
		require.NoError(t, sleep(ctx, 100*time.Millisecond))
		remaining = 0
		for _, m := range f.members[lost:n] {
			remaining = max(remaining, len(m.View().Members())-(n-lost))
		}
		if remaining <= lost/2 && halfRemoved == 0 {
			halfRemoved = time.Since(began)
		}
		if remaining == 0 {
			break
		}
	}
	f.mu.Lock()
	z := f.store["zone/"+homeZone+"/view"]
	f.mu.Unlock()
	b.ReportMetric(time.Since(began).Seconds(), "s-all-removed")
	b.ReportMetric(float64(remaining), "left")
	b.ReportMetric(halfRemoved.Seconds(), "s-half-removed")
	b.ReportMetric(float64(f.writes.Load()), "writes")
	b.ReportMetric(float64(len(z.GetValue())), "view-B")
	b.ReportMetric((cpuTime()-used).Seconds()*1000/float64(n-lost), "cpu-ms")
	stop()
	f.waitDone(t)
	return remaining
}

// BenchmarkCut partitions zones and reports the time until no member sees them as
// serving, and, after the partition has ended, until all members do again.
func BenchmarkCut(b *testing.B) {
	for _, zones := range []int{1, 34} {
		for _, n := range sizes(24, 48) {
			b.Run(fmt.Sprintf("zones=%d/members=%d", zones, n), func(b *testing.B) {
				for range b.N {
					withVirtualClock(b, func(t *testing.T) { measureZoneCut(t, b, n, zones) })
				}
			})
		}
	}
}

func measureZoneCut(t *testing.T, b *testing.B, n, zones int) {
	ctx, stop := context.WithCancel(t.Context())
	f := startFleet(ctx, t, 4, n, false, false)
	waitServing := func(want int) time.Duration { // waits until all members see that many partitioned zones serving
		began := time.Now()
		for agreeing := 0; agreeing < n; {
			require.NoError(t, sleep(ctx, 200*time.Millisecond))
			require.Less(t, time.Since(began), time.Minute)
			agreeing = 0
			for _, m := range f.members[:n] {
				serving := 0
				for zone, bitmap := range m.inventory.ShardsByZone("service-00", f.catalog, 1000) {
					if zone != homeZone && string(zone) <= fmt.Sprintf("z%02d", zones) && slices.Max(bitmap) > 0 {
						serving++
					}
				}
				if serving == want {
					agreeing++
				}
			}
		}
		return time.Since(began)
	}
	b.ReportMetric(waitServing(zones).Seconds(), "s-start")
	before := f.writes.Load()
	for _, m := range f.members[n : n+zones] {
		f.dead.Store(m.Self().GetAddress(), true)
	}
	b.ReportMetric(waitServing(0).Seconds(), "s-noticed")
	f.dead.Clear()
	b.ReportMetric(waitServing(zones).Seconds(), "s-back")
	b.ReportMetric(float64(f.writes.Load()-before), "writes")
	stop()
	f.waitDone(t)
}

// BenchmarkRelay reports the time from the write of a configuration to the store until
// it is in effect on half and on all of the members of a zone.
func BenchmarkRelay(b *testing.B) {
	for _, n := range sizes(6, 24, 96, 384) {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				withVirtualClock(b, func(t *testing.T) { measurePropagation(t, b, n) })
			}
		})
	}
}

func measurePropagation(t *testing.T, b *testing.B, n int) {
	const rounds = 8
	ctx, stop := context.WithCancel(t.Context())
	f := startFleet(ctx, t, 3, n, false, true)
	require.NoError(t, sleep(ctx, 15*time.Second))
	require.EqualValues(t, 1, f.members[0].syncer.Status().Revision)
	var sum, worst, half time.Duration
	f.reads.Store(0)
	f.sentBytes["fetch"].Store(0)
	for range rounds {
		revision, began := f.publish(ctx, t), time.Now()
		for done, seen := 0, false; done < n; {
			require.NoError(t, sleep(ctx, 10*time.Millisecond))
			done = 0
			for _, m := range f.members[:n] {
				if m.syncer.Status().Revision >= revision {
					done++
				}
			}
			if !seen && done >= n/2 {
				half += time.Since(began)
				seen = true
			}
		}
		took := time.Since(began)
		sum, worst = sum+took, max(worst, took)
		require.NoError(t, sleep(ctx, 2*time.Second))
	}
	b.ReportMetric(sum.Seconds()/rounds, "s-all")
	b.ReportMetric(half.Seconds()/rounds, "s-half")
	b.ReportMetric(worst.Seconds(), "s-worst")
	b.ReportMetric(float64(f.sentBytes["fetch"].Load())/rounds/float64(n), "fetch-B/change")
	stop()
	f.waitDone(t)
}

// BenchmarkView reports the size of a zone view in which each host has joined twice,
// and the time to compute the owners of all slots in a zone.
func BenchmarkView(b *testing.B) {
	for _, n := range sizes(6, 24, 96, 384) {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var v toucanview.View
			for i := range 2 * n {
				name := fmt.Sprintf("host-%04d", i%n)
				v = v.Join("z00", &toucanpb.Member{
					Id: name + "/" + strconv.FormatUint(rand.Uint64(), 36), Name: name, Zone: "z00",
					Address: fmt.Sprintf("10.200.%d.%d:7000", i%n/250, i%n%250+1),
				}, nil)
			}
			raw, err := proto.Marshal(v.Proto())
			require.NoError(b, err)
			used := cpuTime()
			for range b.N {
				for r := range 2340 {
					v.Owners(toucanreplica.ID(fmt.Sprint("replica-", r)))
				}
			}
			var packed bytes.Buffer
			w := gzip.NewWriter(&packed)
			_, err = w.Write(raw)
			require.NoError(b, err)
			require.NoError(b, w.Close())
			b.ReportMetric(float64(len(raw)), "view-B")
			b.ReportMetric(float64(packed.Len()), "packed-B")
			b.ReportMetric((cpuTime()-used).Seconds()*1000/float64(b.N), "cpu-ms/op")
		})
	}
}
