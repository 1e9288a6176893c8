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

// The design size: 2,340 replicas in each of 38 zones are 13 services of 180
// shards with one replica for each shard and zone.
const (
	services   = 13
	shards     = 180
	otherZones = 37
	home       = "z00"
)

// fleet is one zone of full members and one host in each other zone, joined by
// an in-memory transport that encodes every message and counts its bytes.
type fleet struct {
	catalog   *toucancatalog.Catalog
	members   []*member
	dead      sync.Map // address to true
	parts     map[string]*atomic.Int64
	beats     atomic.Int64
	announced atomic.Int64
	reads     atomic.Int64
	writes    atomic.Int64
	stored    atomic.Int64 // bytes read from the store

	light bool // members without inventory, judge and slots
	at    map[string]*member

	mu      sync.Mutex
	store   map[string]*toucanpb.Entry
	rev     uint64
	changed chan struct{} // closed by the next write
}

type member struct {
	*toucanmembership.Manager
	keeper    *toucanconfig.Syncer
	inventory *toucaninventory.Inventory
	judge     *toucancanary.Controller
	table     *toucanslot.Limiter
	own       []*toucanpb.Replica // of its zone
	near      bool
	ends      []<-chan error
	calls     sync.WaitGroup
}

var parts = []string{"sender", "digest", "moves", "evidence", "served", "stamps", "openings", "contacts", "fetch"}

func (f *fleet) Catalog() *toucancatalog.Catalog { return f.catalog }

func catalogOf(zones int, move bool) *toucancatalog.Catalog {
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
	if move {
		r.Moves = []*toucanpb.Move{{
			Name: "move-1", Service: "service-00", From: "v1", To: "v2", Start: 0.02, Steps: []float64{0.1, 0.5},
			Deadline: 1 << 40, Bound: 0.05, Samples: 1 << 40,
		}}
	}
	return toucancatalog.New(r)
}

// start builds the fleet with all members in the views already, so that its
// size does not cost one view change for each member.
func start(ctx context.Context, t *testing.T, seed uint64, size int, move, light bool) *fleet {
	f := &fleet{
		light: light, parts: map[string]*atomic.Int64{},
		store: map[string]*toucanpb.Entry{}, at: map[string]*member{}, changed: make(chan struct{}),
	}
	f.catalog = toucancatalog.New(&toucanpb.Rules{})
	if !light {
		f.catalog = catalogOf(otherZones+1, move)
	}
	for _, p := range parts {
		f.parts[p] = &atomic.Int64{}
	}
	rnd := rand.New(rand.NewPCG(seed, 1))
	views := map[string]*toucanpb.ZoneView{}
	for i := range size + otherZones {
		zone, name := home, fmt.Sprintf("host-%04d", i)
		if i >= size {
			zone = fmt.Sprintf("z%02d", i-size+1)
		}
		f.add(name, zone, fmt.Sprintf("10.200.%d.%d:7000", i/250, i%250+1), rnd.Uint64()|1, i < size)
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
		f.rev++
		f.store["zone/"+zone+"/view"] = &toucanpb.Entry{Key: "zone/" + zone + "/view", Value: value, Revision: f.rev}
	}
	f.publish(ctx, t)
	for _, m := range f.members {
		m.ends = append(m.ends, m.Run(ctx), m.keeper.Run(ctx))
		if light {
			continue
		}
		m.ends = append(m.ends, m.drive(ctx))
		if m.near {
			m.ends = append(m.ends, m.judge.Run(ctx), m.table.Run(ctx))
		}
	}
	return f
}

func (f *fleet) add(name, zone, address string, seed uint64, near bool) {
	m := &member{near: near}
	w := wire{f: f, from: address}
	id := &identity{m}
	m.inventory = toucaninventory.New(f, id)
	m.judge = &toucancanary.Controller{Catalog: f.Catalog}
	m.table = &toucanslot.Limiter{Configuration: f, Membership: id}
	m.keeper = &toucanconfig.Syncer{
		Store: w, IsWatcher: m.watches,
		Pull: func(ctx context.Context, from *toucanpb.Member, r *toucanpb.FetchRequest) (*toucanpb.FetchReply, error) {
			return wire{f, address, from.GetAddress()}.Fetch(ctx, r)
		},
	}
	list := []toucanmembership.GossipHandler{m.keeper}
	if !f.light {
		list = append(list, m.inventory)
	}
	if !f.light && near {
		list = append(list, m.judge, m.table)
	}
	m.Manager = toucanmembership.New(toucanmembership.Settings{
		Name: name, Zone: toucanzone.Name(zone), Address: address, RandomSeed: seed, Store: w, GossipHandlers: list,
		Dial: func(a string) (toucanpb.PeerClient, error) { return wire{f, address, a}, nil },
	})
	m.judge.SourceID = toucanhost.ID(m.Self().GetId())
	m.table.Announce = func(to *toucanpb.Member, openings []*toucanpb.Opening) {
		m.calls.Go(func() { m.announce(wire{f, address, to.GetAddress()}, openings) })
	}
	m.table.CurrentView = func() uint64 { return m.View().Number() }
	m.table.OnViewReleased = m.SetReleasedView
	for _, s := range f.catalog.Rules().GetServices() {
		for _, r := range s.GetReplicas() {
			if r.GetZone() == zone {
				m.own = append(m.own, r)
			}
		}
	}
	f.members = append(f.members, m)
	f.at[address] = m
}

// end waits for the members after their context has ended.
func (f *fleet) end(t *testing.T) {
	for _, m := range f.members {
		for _, e := range m.ends {
			require.NoError(t, <-e)
		}
	}
	for _, m := range f.members {
		m.calls.Wait()
	}
}

// identity is the manager of a member, which is built last.
type identity struct{ m *member }

func (i *identity) Self() *toucanpb.Member { return i.m.Self() }
func (i *identity) View() toucanview.View  { return i.m.View() }
func (i *identity) Owner(r toucanreplica.ID, slot int) (*toucanpb.Member, bool) {
	return i.m.Owner(r, slot)
}
func (i *identity) MayUse(r toucanreplica.ID, slot int) bool { return i.m.MayUse(r, slot) }
func (i *identity) OwnedSince(r toucanreplica.ID, slot int, since uint64) bool {
	return i.m.OwnedSince(r, slot, since)
}

// watches follows the rule of the daemon: the two first ranked members.
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

// publish puts the next revision of a small configuration into the store.
func (f *fleet) publish(ctx context.Context, t *testing.T) uint64 {
	h := &toucanhead.Head{Store: wire{f: f}}
	files := map[string][]byte{"00.yaml": fmt.Appendf(nil, "# %d\nzones: [{name: z00}]\nservices:\n  - {name: letters, shards: 1, slots: 3, connections: 100, connect: 1ms, routes: [{name: find, timeout: 1s}], replicas: [{id: l1, shard: 0, zone: z00, address: \"10.1.1.1:80\"}]}\n", rand.Uint64())}
	p, err := h.Plan(ctx, files, "bench")
	require.NoError(t, err)
	r := h.Apply(ctx, p)
	require.Equal(t, toucanhead.Done, r.Phase)
	return r.Revision
}

// announce sends openings as the daemon does.
func (m *member) announce(w wire, openings []*toucanpb.Opening) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	w.f.announced.Add(1)
	_, _ = w.Beat(ctx, &toucanpb.BeatRequest{
		Sender: m.Self(), View: m.View().Number(), Gossip: &toucanpb.Gossip{Openings: openings},
	})
}

// drive records each second what responses and health polls of the replicas
// that the member leads would.
func (m *member) drive(ctx context.Context) <-chan error {
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
			for _, r := range m.own {
				id := toucanreplica.ID(r.GetId())
				if o, ok := m.Owner(id, 0); !ok || o.GetId() != self {
					continue
				}
				m.inventory.Record(id, []uint64{1000})
				if m.near {
					m.table.ObserveResponse(id, "boot-0001", "ready")
				}
			}
			for _, v := range []string{"v1", "v2"} {
				m.judge.RecordResponse(toucanservice.Name("service-00"), v, "search", 0, 5*time.Millisecond)
			}
		}
	}()
	return end
}

// wire is one host's connection to a host or the store.
type wire struct {
	f        *fleet
	from, to string
}

func pass(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return toucanfault.Unknown(toucanpb.Code_CODE_TIMEOUT, "no reply")
	}
}

func (w wire) call(ctx context.Context) (*member, error) {
	if err := pass(ctx, time.Millisecond); err != nil {
		return nil, err
	}
	_, a := w.f.dead.Load(w.from)
	if _, b := w.f.dead.Load(w.to); a || b {
		<-ctx.Done()
		return nil, toucanfault.Unknown(toucanpb.Code_CODE_TIMEOUT, "no reply")
	}
	return w.f.at[w.to], nil
}

func (w wire) count(sender *member, m proto.Message, g *toucanpb.Gossip) {
	if !sender.near {
		return
	}
	size := func(g *toucanpb.Gossip) int64 { return int64(proto.Size(g)) }
	f := w.f
	f.parts["digest"].Add(size(&toucanpb.Gossip{Digest: g.GetDigest()}))
	f.parts["moves"].Add(size(&toucanpb.Gossip{Moves: g.GetMoves()}))
	f.parts["evidence"].Add(size(&toucanpb.Gossip{Evidence: g.GetEvidence()}))
	for _, s := range g.GetServed() {
		part := "served"
		if s.GetService() == "" {
			part = "stamps"
		}
		f.parts[part].Add(size(&toucanpb.Gossip{Served: []*toucanpb.Served{s}}))
	}
	f.parts["openings"].Add(size(&toucanpb.Gossip{Openings: g.GetOpenings()}))
	f.parts["contacts"].Add(size(&toucanpb.Gossip{Contacts: g.GetContacts()}))
	f.parts["sender"].Add(int64(proto.Size(m)) - size(g))
	f.beats.Add(1)
}

func (w wire) Beat(ctx context.Context, r *toucanpb.BeatRequest, _ ...grpc.CallOption) (*toucanpb.BeatReply, error) {
	raw, _ := proto.Marshal(r)
	w.count(w.f.at[w.from], r, r.GetGossip())
	m, err := w.call(ctx)
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
	w.count(m, reply, reply.GetGossip())
	if _, err := w.call(ctx); err != nil {
		return nil, err
	}
	out := &toucanpb.BeatReply{}
	return out, proto.Unmarshal(raw, out)
}

func (w wire) Vote(ctx context.Context, r *toucanpb.VoteRequest, _ ...grpc.CallOption) (*toucanpb.VoteReply, error) {
	m, err := w.call(ctx)
	if err != nil {
		return nil, err
	}
	return m.Vote(ctx, r)
}

func (w wire) Fetch(ctx context.Context, r *toucanpb.FetchRequest, _ ...grpc.CallOption) (*toucanpb.FetchReply, error) {
	m, err := w.call(ctx)
	if err != nil {
		return nil, err
	}
	reply, err := m.keeper.Fetch(ctx, r)
	if err != nil {
		return nil, err
	}
	if r.GetView() {
		reply.View = m.View().Proto()
	}
	raw, _ := proto.Marshal(reply)
	w.f.parts["fetch"].Add(int64(len(raw)))
	out := &toucanpb.FetchReply{}
	return out, proto.Unmarshal(raw, out)
}

func (w wire) Legs(context.Context, ...grpc.CallOption) (grpc.BidiStreamingClient[toucanpb.LegRequest, toucanpb.LegResult], error) {
	return nil, toucanfault.NotRun(toucanpb.Code_CODE_INTERNAL, "not used")
}

// storeCall takes 4 ms; the store never fails here.
func (w wire) storeCall(ctx context.Context, n *atomic.Int64) error {
	if m := w.f.at[w.from]; m != nil && m.near {
		n.Add(1)
	}
	if _, dead := w.f.dead.Load(w.from); dead {
		<-ctx.Done()
	}
	return pass(ctx, 4*time.Millisecond)
}

func (w wire) Get(ctx context.Context, key string) (*toucanpb.Entry, error) {
	if err := w.storeCall(ctx, &w.f.reads); err != nil {
		return nil, err
	}
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	e := w.f.store[key]
	w.f.stored.Add(int64(len(e.GetValue())))
	return e, nil
}

func (w wire) List(ctx context.Context, prefix string) ([]*toucanpb.Entry, error) {
	if err := w.storeCall(ctx, &w.f.reads); err != nil {
		return nil, err
	}
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	var out []*toucanpb.Entry
	for k, e := range w.f.store {
		if strings.HasPrefix(k, prefix) {
			out = append(out, e)
			w.f.stored.Add(int64(len(e.GetValue())))
		}
	}
	return out, nil
}

func (w wire) Delete(context.Context, string, uint64) error { return nil }

func (w wire) Put(ctx context.Context, key string, value []byte, prev uint64, _ string) (uint64, error) {
	if err := w.storeCall(ctx, &w.f.writes); err != nil {
		return 0, err
	}
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if w.f.store[key].GetRevision() != prev {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT, "changed")
	}
	w.f.rev++
	w.f.store[key] = &toucanpb.Entry{Key: key, Value: value, Revision: w.f.rev}
	close(w.f.changed)
	w.f.changed = make(chan struct{})
	return w.f.rev, nil
}

// Watch is a long poll of 30 s.
func (w wire) Watch(ctx context.Context, prefix string, after uint64) ([]*toucanpb.Entry, uint64, error) {
	if err := w.storeCall(ctx, &w.f.reads); err != nil {
		return nil, 0, err
	}
	limit := time.NewTimer(30 * time.Second)
	defer limit.Stop()
	for {
		w.f.mu.Lock()
		var out []*toucanpb.Entry
		for k, e := range w.f.store {
			if strings.HasPrefix(k, prefix) && e.GetRevision() > after {
				out = append(out, e)
			}
		}
		rev, changed := w.f.rev, w.f.changed
		w.f.mu.Unlock()
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

func (w wire) Hosts(ctx context.Context) ([]*toucanpb.HostStatus, error) {
	if err := w.storeCall(ctx, &w.f.reads); err != nil {
		return nil, err
	}
	var out []*toucanpb.HostStatus
	for a, m := range w.f.at {
		if _, dead := w.f.dead.Load(a); !dead {
			out = append(out, &toucanpb.HostStatus{Name: m.Self().GetName(), State: "live"})
		}
	}
	return out, nil
}

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// inBubble runs f with a virtual clock, so that neither the load of the machine
// nor the processor time of a large zone delays heartbeats.
func inBubble(b *testing.B, f func(t *testing.T)) {
	all := func(string, string) (bool, error) { return true, nil }
	ok := testing.RunTests(all, []testing.InternalTest{{Name: b.Name(), F: func(t *testing.T) { synctest.Test(t, f) }}})
	require.True(b, ok)
}

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

// BenchmarkZone reports what one member of a zone costs a second at rest. The
// clock is virtual: CPU comes from getrusage, bytes from encoded messages.
func BenchmarkZone(b *testing.B) {
	for _, move := range []bool{false, true} {
		for _, n := range sizes(6, 24, 96) {
			b.Run(fmt.Sprintf("move=%t/members=%d", move, n), func(b *testing.B) {
				for range b.N {
					inBubble(b, func(t *testing.T) { rest(t, b, n, move) })
				}
			})
		}
	}
}

func rest(t *testing.T, b *testing.B, n int, move bool) {
	const warm, span = 45 * time.Second, 20 * time.Second
	ctx, stop := context.WithCancel(t.Context())
	before := heap()
	shared := catalogOf(otherZones+1, move)
	catalog := heap() - before
	runtime.KeepAlive(shared)
	f := start(ctx, t, 1, n, move, false)
	require.NoError(t, pass(ctx, warm))
	if move {
		for _, m := range f.members {
			m.judge.Accept(m.Self(), &toucanpb.Gossip{Moves: []*toucanpb.MoveState{{Name: "move-1", Phase: toucanpb.MoveState_PHASE_RUNNING}}})
		}
	}
	for _, p := range f.parts {
		p.Store(0)
	}
	f.beats.Store(0)
	f.announced.Store(0)
	f.reads.Store(0)
	f.writes.Store(0)
	f.stored.Store(0)
	used := cpu()
	require.NoError(t, pass(ctx, span))
	used = cpu() - used
	each := float64(n) * span.Seconds()
	var bytes int64
	for name, p := range f.parts {
		v := p.Load()
		bytes += v
		b.ReportMetric(float64(v)/each, name+"-B/s")
	}
	// The hosts of the other zones take part of the processor time.
	b.ReportMetric(float64(bytes)/each, "out-B/s")
	b.ReportMetric(float64(f.beats.Load())/each, "messages/s")
	b.ReportMetric(float64(f.announced.Load())/each, "announced/s")
	b.ReportMetric(used.Seconds()*1000/(float64(n)*span.Seconds()), "cpu-ms/s")
	b.ReportMetric(float64(f.reads.Load())/each, "reads/s")
	b.ReportMetric(float64(f.stored.Load())/each, "read-B/s")
	b.ReportMetric(catalog/1e6, "catalog-MB")
	b.ReportMetric((heap()-before-2*catalog)/float64(n)/1e6, "heap-MB")
	stop()
	f.end(t)
}

// reporter takes the figures of a run; a test drops them.
type reporter interface {
	ReportMetric(value float64, unit string)
}

type silent struct{}

func (silent) ReportMetric(float64, string) {}

// Guards against members lost together that stay in the view for ever, because
// one view change for each passed the number of earlier views that are listed.
func TestSimultaneousFailuresAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const members, lost = 60, 20
		require.Zero(t, lose(t, silent{}, members, lost))
	})
}

// BenchmarkLoss reports how long the removal of dead hosts takes, and its cost.
func BenchmarkLoss(b *testing.B) {
	for _, n := range sizes(6, 24, 96) {
		for _, lost := range []int{1, n / 6, n / 5, n / 3} {
			b.Run(fmt.Sprintf("members=%d/lost=%d", n, lost), func(b *testing.B) {
				for range b.N {
					inBubble(b, func(t *testing.T) { lose(t, b, n, lost) })
				}
			})
		}
	}
}

func lose(t *testing.T, b reporter, n, lost int) int {
	ctx, stop := context.WithCancel(t.Context())
	f := start(ctx, t, 2, n, false, true)
	require.NoError(t, pass(ctx, 5*time.Second))
	f.writes.Store(0)
	for _, m := range f.members[:lost] {
		f.dead.Store(m.Self().GetAddress(), true)
	}
	began, used := time.Now(), cpu()
	var voted time.Duration
	left := 0
	for time.Since(began) < 3*time.Minute {
		require.NoError(t, pass(ctx, 100*time.Millisecond))
		left = 0
		for _, m := range f.members[lost:n] {
			left = max(left, len(m.View().Members())-(n-lost))
		}
		if left <= lost/2 && voted == 0 {
			voted = time.Since(began)
		}
		if left == 0 {
			break
		}
	}
	f.mu.Lock()
	z := f.store["zone/"+home+"/view"]
	f.mu.Unlock()
	b.ReportMetric(time.Since(began).Seconds(), "s-all-removed")
	b.ReportMetric(float64(left), "left")
	b.ReportMetric(voted.Seconds(), "s-half-removed")
	b.ReportMetric(float64(f.writes.Load()), "writes")
	b.ReportMetric(float64(len(z.GetValue())), "view-B")
	b.ReportMetric((cpu()-used).Seconds()*1000/float64(n-lost), "cpu-ms")
	stop()
	f.end(t)
	return left
}

// BenchmarkCut reports how long it takes until no member counts on the cut-off
// zones any more, and until all count on them again after the cut has healed.
func BenchmarkCut(b *testing.B) {
	for _, zones := range []int{1, 34} {
		for _, n := range sizes(24, 48) {
			b.Run(fmt.Sprintf("zones=%d/members=%d", zones, n), func(b *testing.B) {
				for range b.N {
					inBubble(b, func(t *testing.T) { cut(t, b, n, zones) })
				}
			})
		}
	}
}

func cut(t *testing.T, b *testing.B, n, zones int) {
	ctx, stop := context.WithCancel(t.Context())
	f := start(ctx, t, 4, n, false, false)
	known := func(want int) time.Duration { // of the cut-off zones
		began := time.Now()
		for right := 0; right < n; {
			require.NoError(t, pass(ctx, 200*time.Millisecond))
			require.Less(t, time.Since(began), time.Minute)
			right = 0
			for _, m := range f.members[:n] {
				serving := 0
				for zone, bitmap := range m.inventory.ShardsByZone("service-00", f.catalog, 1000) {
					if zone != home && string(zone) <= fmt.Sprintf("z%02d", zones) && slices.Max(bitmap) > 0 {
						serving++
					}
				}
				if serving == want {
					right++
				}
			}
		}
		return time.Since(began)
	}
	b.ReportMetric(known(zones).Seconds(), "s-start")
	before := f.writes.Load()
	for _, m := range f.members[n : n+zones] {
		f.dead.Store(m.Self().GetAddress(), true)
	}
	b.ReportMetric(known(0).Seconds(), "s-noticed")
	f.dead.Clear()
	b.ReportMetric(known(zones).Seconds(), "s-back")
	b.ReportMetric(float64(f.writes.Load()-before), "writes")
	stop()
	f.end(t)
}

// BenchmarkRelay reports the time from the write of a change to the store until
// it is in effect on the watchers and on all members of a zone.
func BenchmarkRelay(b *testing.B) {
	for _, n := range sizes(6, 24, 96, 384) {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				inBubble(b, func(t *testing.T) { relay(t, b, n) })
			}
		})
	}
}

func relay(t *testing.T, b *testing.B, n int) {
	const rounds = 8
	ctx, stop := context.WithCancel(t.Context())
	f := start(ctx, t, 3, n, false, true)
	require.NoError(t, pass(ctx, 15*time.Second))
	require.EqualValues(t, 1, f.members[0].keeper.Status().Revision)
	var sum, worst, half time.Duration
	f.reads.Store(0)
	f.parts["fetch"].Store(0)
	for range rounds {
		revision, began := f.publish(ctx, t), time.Now()
		for done, seen := 0, false; done < n; {
			require.NoError(t, pass(ctx, 10*time.Millisecond))
			done = 0
			for _, m := range f.members[:n] {
				if m.keeper.Status().Revision >= revision {
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
		require.NoError(t, pass(ctx, 2*time.Second))
	}
	b.ReportMetric(sum.Seconds()/rounds, "s-all")
	b.ReportMetric(half.Seconds()/rounds, "s-half")
	b.ReportMetric(worst.Seconds(), "s-worst")
	b.ReportMetric(float64(f.parts["fetch"].Load())/rounds/float64(n), "fetch-B/change")
	stop()
	f.end(t)
}

// BenchmarkView reports the size of a zone view after the usual churn, and the
// time to compute all slot owners of a zone under a new one.
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
			used := cpu()
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
			b.ReportMetric((cpu()-used).Seconds()*1000/float64(b.N), "cpu-ms/op")
		})
	}
}
