// Package toucanslot admits legs to the slots of replicas that this host owns
// and brings cold targets up slowly.
package toucanslot

import (
	"context"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/toucanstair/toucancatalog"
)

const (
	shards       = 64
	defaultQueue = 16
	// defaultLease is how long an owner trusts the open count without hearing
	// from the leader; it equals the lease of a host.
	defaultLease = 3 * time.Second
	tick         = 100 * time.Millisecond
	// retell is how often the leader repeats the open count to an owner that it
	// sends no heartbeats to; a third of the lease tolerates two lost messages.
	retell = time.Second
	// offerEvery is retell for heartbeats, less half of the time between two.
	offerEvery = 750 * time.Millisecond
)

var (
	refusals = metrics.NewCounter("toucan_slot_refusals_total")
	queued   atomic.Int64 // legs that wait for a slot
	_        = metrics.NewGauge("toucan_slot_waiting", func() float64 { return float64(queued.Load()) })
	coldSeen = metrics.NewCounter("toucan_slot_cold_total")
)

// Membership is what the table needs of the zone's membership.
type Membership interface {
	Self() *toucanpb.Member
	Owner(r toucanreplica.ID, slot int) (*toucanpb.Member, bool)
	MayUse(r toucanreplica.ID, slot int) bool
	// OwnedSince reports whether this host has owned the slot under every view after since.
	OwnedSince(r toucanreplica.ID, slot int, since uint64) bool
}

// Configuration gives the catalog in effect, or nil.
type Configuration interface {
	Catalog() *toucancatalog.Catalog
}

// Limiter holds the admission state of replicas. Owners and Configuration are
// required; the other fields may be left at zero. Fields must not change
// after first use.
type Limiter struct {
	Membership    Membership
	Configuration Configuration
	// Announce sends openings to one member at once; it must not block.
	Announce func(to *toucanpb.Member, openings []*toucanpb.Opening)
	// CurrentView returns the number of the view in use; Released is told each view
	// up to which nothing is in flight on slots that this host lost.
	CurrentView    func() uint64
	OnViewReleased func(view uint64)
	MaxQueue       int           // longest queue for each replica, default 16
	LeaseTerm      time.Duration // default 3 s
	Log            *zap.Logger

	parts    [shards]part
	seed     maphash.Seed
	seeded   sync.Once
	sequence atomic.Uint64
	offered  sync.Map // member id to time.Time of the last heartbeat to it
}

type part struct {
	mu      sync.Mutex
	targets map[toucanreplica.ID]*target
}

// Permit is the right to send one request through one slot.
type Permit struct {
	table   *Limiter
	replica toucanreplica.ID
	slot    int
	done    atomic.Bool
}

type waiter struct {
	ctx     context.Context
	granted chan *Permit // capacity 1; nil means refused
}

// target is the state of one replica, guarded by the lock of its part.
type target struct {
	speed    speed
	boot     string
	open     int       // slots open; only slot 0 when 1
	good     int       // responses in time since the last opening
	leads    bool      // this host owned slot 0 when last looked at
	heard    time.Time // last opening by the leader
	noted    time.Time // last response without a cold sign
	source   string    // host that open was heard from
	sequence uint64
	cold     *toucanpb.Opening // sign of a cold target that the leader has not confirmed
	draining bool
	vouched  bool     // a response said draining, or the leader did
	agreed   bool     // the leader knows that the target is draining
	busy     uint64   // bit i: slot i has a request
	views    []uint64 // by slot, the view right before its last permit was given
	waiting  []*waiter
}

func (t *Limiter) part(r toucanreplica.ID) *part {
	t.seeded.Do(func() { t.seed = maphash.MakeSeed() })
	return &t.parts[maphash.String(t.seed, string(r))%shards]
}

func (p *part) target(r toucanreplica.ID) *target {
	g := p.targets[r]
	if g == nil {
		g = &target{open: 1}
		if p.targets == nil {
			p.targets = make(map[toucanreplica.ID]*target)
		}
		p.targets[r] = g
	}
	return g
}

// Acquire waits for a free slot of a replica. It fails with CODE_LEASE when
// this host has no usable slot, CODE_OVERLOAD when the queue is full or too
// long for the deadline, CODE_REFUSED when the replica is draining, and
// CODE_TIMEOUT or CODE_CANCELLED; every failure has the outcome notrun.
func (t *Limiter) Acquire(ctx context.Context, r toucanreplica.ID) (*Permit, error) {
	slots, fault := t.slots(r)
	if fault != nil {
		return nil, fault
	}
	p := t.part(r)
	p.mu.Lock()
	g := p.target(r)
	permit, usable := t.grant(r, g, slots)
	if permit != nil && len(g.waiting) == 0 {
		p.mu.Unlock()
		return permit, nil
	}
	if permit != nil {
		g.busy &^= 1 << permit.slot
	}
	if err := t.refuse(ctx, g, usable); err != nil {
		p.mu.Unlock()
		refusals.Inc()
		return nil, err
	}
	w := &waiter{ctx: ctx, granted: make(chan *Permit, 1)}
	g.waiting = append(g.waiting, w)
	queued.Add(1)
	t.pump(r, g, slots)
	p.mu.Unlock()
	select {
	case permit = <-w.granted:
	case <-ctx.Done():
		t.withdraw(p, g, w)
		return nil, ended(ctx)
	}
	if permit == nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_LEASE, "slot closed while waiting")
	}
	return permit, nil
}

func ended(ctx context.Context) error {
	if ctx.Err() == context.Canceled {
		return toucanfault.NotRun(toucanpb.Code_CODE_CANCELLED, "cancelled in the queue")
	}
	return toucanfault.NotRun(toucanpb.Code_CODE_TIMEOUT, "deadline passed in the queue")
}

// refuse returns why a leg cannot wait, or nil.
func (t *Limiter) refuse(ctx context.Context, g *target, usable int) error {
	switch {
	case ctx.Err() != nil:
		return ended(ctx)
	case g.draining:
		return toucanfault.NotRun(toucanpb.Code_CODE_REFUSED, "target is draining")
	case usable == 0:
		return toucanfault.NotRun(toucanpb.Code_CODE_LEASE, "no open slot of the replica at this host")
	case len(g.waiting) >= t.waitLimit():
		return toucanfault.NotRun(toucanpb.Code_CODE_OVERLOAD, "queue of the replica is full")
	}
	if d, ok := ctx.Deadline(); ok {
		if wait := g.speed.median * time.Duration(len(g.waiting)) / time.Duration(usable); wait > time.Until(d) {
			return toucanfault.NotRun(toucanpb.Code_CODE_OVERLOAD, "queue of the replica is too long for the deadline")
		}
	}
	return nil
}

func (t *Limiter) waitLimit() int {
	if t.MaxQueue > 0 {
		return t.MaxQueue
	}
	return defaultQueue
}

func (t *Limiter) withdraw(p *part, g *target, w *waiter) {
	p.mu.Lock()
	for i, o := range g.waiting {
		if o == w {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			queued.Add(-1)
			break
		}
	}
	p.mu.Unlock()
	select {
	case permit := <-w.granted:
		if permit != nil {
			permit.Cancel()
		}
	default:
	}
}

// slots returns the number of slots of a replica in the configuration.
func (t *Limiter) slots(r toucanreplica.ID) (int, error) {
	c := t.Configuration.Catalog()
	if c == nil {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "no configuration in effect")
	}
	replica, service := c.Replica(r)
	if replica == nil {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, "replica "+string(r)+" is not configured")
	}
	const most = 64 // bits of target.busy
	return int(min(max(1, service.GetSlots()), most)), nil
}

// grant takes a free usable slot, and counts the usable ones. The membership
// is asked under the lock, so that Lost counts every permit that was given
// before the view changed.
func (t *Limiter) grant(r toucanreplica.ID, g *target, slots int) (*Permit, int) {
	if g.draining {
		return nil, 0
	}
	view := t.view()
	usable, free := 0, -1
	for i := range min(slots, t.open(r, g)) {
		if !t.Membership.MayUse(r, i) {
			continue
		}
		usable++
		if free < 0 && g.busy&(1<<i) == 0 {
			free = i
		}
	}
	if free < 0 {
		return nil, usable
	}
	g.busy |= 1 << free
	for len(g.views) <= free {
		g.views = append(g.views, 0)
	}
	g.views[free] = view
	return &Permit{table: t, replica: r, slot: free}, usable
}

// pump gives free slots to waiting legs in order and refuses all when no slot
// is usable any more.
func (t *Limiter) pump(r toucanreplica.ID, g *target, slots int) {
	for len(g.waiting) > 0 {
		w := g.waiting[0]
		if w.ctx.Err() == nil {
			permit, usable := t.grant(r, g, slots)
			if permit == nil && usable > 0 {
				return
			}
			w.granted <- permit
		}
		queued.Add(-1)
		g.waiting[0] = nil
		g.waiting = g.waiting[1:]
	}
}

// Done ends the request: ok tells a valid response, took its service time.
func (p *Permit) Done(ok bool, took time.Duration) {
	p.end(func(t *Limiter, g *target, slots int) { t.judge(p.replica, g, slots, ok, took) })
}

// Cancel returns a permit without an observation. It has no effect after Done.
func (p *Permit) Cancel() { p.end(func(*Limiter, *target, int) {}) }

func (p *Permit) end(observe func(t *Limiter, g *target, slots int)) {
	if p.done.Swap(true) {
		return
	}
	t := p.table
	slots, _ := t.slots(p.replica) // 0 when no longer configured
	part := t.part(p.replica)
	part.mu.Lock()
	defer part.mu.Unlock()
	g := part.target(p.replica)
	g.busy &^= 1 << p.slot
	observe(t, g, slots)
	t.pump(p.replica, g, slots)
}

// Slot returns the index of the slot.
func (p *Permit) Slot() int { return p.slot }

// Outstanding returns the number of legs that wait for or hold slots of a replica.
func (t *Limiter) Outstanding(r toucanreplica.ID) int {
	p := t.part(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.targets[r]
	if g == nil {
		return 0
	}
	return len(g.waiting) + g.held()
}

func (g *target) held() int {
	n := 0
	for b := g.busy; b != 0; b &= b - 1 {
		n++
	}
	return n
}

// LostPermits returns the number of permits for slots that another host has owned since,
// or that this host no longer owns.
func (t *Limiter) LostPermits() int {
	lost := 0
	for i := range t.parts {
		p := &t.parts[i]
		p.mu.Lock()
		for r, g := range p.targets {
			for s := 0; g.busy>>s != 0; s++ {
				if g.busy&(1<<s) != 0 && !t.Membership.OwnedSince(r, s, g.views[s]) {
					lost++
				}
			}
		}
		p.mu.Unlock()
	}
	return lost
}

// InFlight returns the number of permits held.
func (t *Limiter) InFlight() int {
	n := 0
	for i := range t.parts {
		p := &t.parts[i]
		p.mu.Lock()
		for _, g := range p.targets {
			n += g.held()
		}
		p.mu.Unlock()
	}
	return n
}

func (t *Limiter) view() uint64 {
	if t.CurrentView == nil {
		return 0
	}
	return t.CurrentView()
}

func (t *Limiter) owns(r toucanreplica.ID, slot int) bool {
	m, ok := t.Membership.Owner(r, slot)
	return ok && m.GetId() == t.Membership.Self().GetId()
}

func (t *Limiter) log() *zap.Logger {
	if t.Log == nil {
		return zap.NewNop()
	}
	return t.Log
}
