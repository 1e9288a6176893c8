// Package toucanslot limits the concurrent legs of each replica to the slots that
// this host owns, and raises the load of cold targets gradually (slow start). A slot
// permits one request to a replica at a time; each slot is owned by one host of the
// replica's zone.
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
	lockStripes     = 64
	defaultMaxQueue = 16 // legs
	// defaultLeaseTerm is how long an owner relies on the number of open slots
	// without hearing from the leader; it equals the lease of a host.
	defaultLeaseTerm = 3 * time.Second
	sweepInterval    = 100 * time.Millisecond
	// announceInterval is how often openings are resent to an owner that gets no
	// heartbeats from this host; a third of the lease tolerates two lost messages.
	announceInterval = time.Second
	// gossipInterval is the least time between two heartbeats to one member that carry
	// openings. It is announceInterval less half of the default heartbeat interval of
	// 500 ms, so that every second heartbeat carries them.
	gossipInterval = 750 * time.Millisecond
)

var (
	refusedLegs    = metrics.NewCounter("toucan_slot_refusals_total")
	waitingLegs    atomic.Int64 // legs queued for a slot, of all limiters
	_              = metrics.NewGauge("toucan_slot_waiting", func() float64 { return float64(waitingLegs.Load()) })
	coldDetections = metrics.NewCounter("toucan_slot_cold_total")
)

// Membership is the part of the zone membership that Limiter uses.
type Membership interface {
	Self() *toucanpb.Member
	// Owner returns the owner of a slot under the current view.
	Owner(r toucanreplica.ID, slot int) (*toucanpb.Member, bool)
	// MayUse reports whether this host owns the slot and no earlier owner can
	// still send through it.
	MayUse(r toucanreplica.ID, slot int) bool
	// OwnedSince reports whether this host has owned the slot under every view after since.
	OwnedSince(r toucanreplica.ID, slot int, since uint64) bool
}

// Configuration returns the catalog in effect, or nil if there is none.
type Configuration interface {
	Catalog() *toucancatalog.Catalog
}

// Limiter is a concurrency limiter for replicas: it grants permits for free slots
// and queues legs that find none. Membership and Configuration are required; the
// other fields may be zero. Fields must not change after first use.
type Limiter struct {
	Membership    Membership
	Configuration Configuration
	// Announce sends openings to one member at once; it must not block.
	Announce func(to *toucanpb.Member, openings []*toucanpb.Opening)
	// CurrentView returns the number of the view in use. OnViewReleased is called
	// with each view up to which nothing is in flight on slots that this host lost.
	CurrentView    func() uint64
	OnViewReleased func(view uint64)
	MaxQueue       int           // legs queued for each replica, default 16
	LeaseTerm      time.Duration // how long an owner relies on the leader's last opening, default 3 s
	Log            *zap.Logger

	stripes       [lockStripes]stripe
	seed          maphash.Seed
	seedOnce      sync.Once
	sequence      atomic.Uint64
	lastHeartbeat sync.Map // member id to time.Time of the last heartbeat with openings for it
}

// stripe holds the states of some of the replicas under a lock of its own, to reduce
// contention.
type stripe struct {
	mu      sync.Mutex
	targets map[toucanreplica.ID]*targetState
}

// Permit is the right to send one request through one slot. It ends with Done or
// Cancel.
type Permit struct {
	limiter *Limiter
	replica toucanreplica.ID
	slot    int
	done    atomic.Bool
}

// waiter is a leg queued for a slot.
type waiter struct {
	ctx     context.Context
	granted chan *Permit // capacity 1; nil means refused
}

// targetState is the state of one replica, guarded by the lock of its stripe.
type targetState struct {
	latency             latencyEstimate
	boot                string            // boot id of the target's process
	openSlots           int               // if 1, only slot 0 is open
	inTimeResponses     int               // responses in time since a slot was last opened
	isLeader            bool              // this host owned slot 0 at the last refresh
	leaderLastHeard     time.Time         // last opening from the leader
	lastWarm            time.Time         // last response or health poll that showed no cold target
	source              string            // host that issued the last opening applied
	sequence            uint64            // sequence number of that opening at its source
	coldReport          *toucanpb.Opening // report that the leader has not confirmed
	draining            bool
	drainingConfirmed   bool     // by a response or by the leader, not only by health
	leaderKnowsDraining bool     // the leader has announced draining
	busySlots           uint64   // bitmap of slots with a request
	grantViews          []uint64 // by slot, the view read just before the last grant
	queue               []*waiter
}

func (l *Limiter) stripe(r toucanreplica.ID) *stripe {
	l.seedOnce.Do(func() { l.seed = maphash.MakeSeed() })
	return &l.stripes[maphash.String(l.seed, string(r))%lockStripes]
}

func (p *stripe) target(r toucanreplica.ID) *targetState {
	target := p.targets[r]
	if target == nil {
		target = &targetState{openSlots: 1}
		if p.targets == nil {
			p.targets = make(map[toucanreplica.ID]*targetState)
		}
		p.targets[r] = target
	}
	return target
}

// Acquire waits for a free slot of a replica. It fails with CODE_LEASE if this
// host has no usable slot, CODE_OVERLOAD if the queue is full or too long for the
// deadline, CODE_REFUSED if the replica is draining, CODE_CONFIG or CODE_UNKNOWN
// if it is not configured, and CODE_TIMEOUT or CODE_CANCELLED if ctx ends. A leg that
// is already queued when the replica starts to drain fails with CODE_LEASE. Every
// failure has the outcome notrun.
func (l *Limiter) Acquire(ctx context.Context, r toucanreplica.ID) (*Permit, error) {
	slots, fault := l.slotCount(r)
	if fault != nil {
		return nil, fault
	}
	p := l.stripe(r)
	p.mu.Lock()
	target := p.target(r)
	permit, usable := l.grant(r, target, slots)
	// A leg does not overtake those in the queue.
	if permit != nil && len(target.queue) == 0 {
		p.mu.Unlock()
		return permit, nil
	}
	if permit != nil {
		target.busySlots &^= 1 << permit.slot
	}
	if err := l.checkQueue(ctx, target, usable); err != nil {
		p.mu.Unlock()
		refusedLegs.Inc()
		return nil, err
	}
	w := &waiter{ctx: ctx, granted: make(chan *Permit, 1)}
	target.queue = append(target.queue, w)
	waitingLegs.Add(1)
	l.grantWaiting(r, target, slots)
	p.mu.Unlock()
	select {
	case permit = <-w.granted:
	case <-ctx.Done():
		l.removeWaiter(p, target, w)
		return nil, contextFault(ctx)
	}
	if permit == nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_LEASE, "no slot of the replica is usable any more")
	}
	return permit, nil
}

func contextFault(ctx context.Context) error {
	if ctx.Err() == context.Canceled {
		return toucanfault.NotRun(toucanpb.Code_CODE_CANCELLED, "cancelled in the queue")
	}
	return toucanfault.NotRun(toucanpb.Code_CODE_TIMEOUT, "deadline passed in the queue")
}

// checkQueue returns the reason why a leg cannot be queued, or nil.
func (l *Limiter) checkQueue(ctx context.Context, target *targetState, usable int) error {
	switch {
	case ctx.Err() != nil:
		return contextFault(ctx)
	case target.draining:
		return toucanfault.NotRun(toucanpb.Code_CODE_REFUSED, "target is draining")
	case usable == 0:
		return toucanfault.NotRun(toucanpb.Code_CODE_LEASE, "no open slot of the replica at this host")
	case len(target.queue) >= l.maxQueue():
		return toucanfault.NotRun(toucanpb.Code_CODE_OVERLOAD, "queue of the replica is full")
	}
	if d, ok := ctx.Deadline(); ok {
		if wait := target.latency.median * time.Duration(len(target.queue)) / time.Duration(usable); wait > time.Until(d) {
			return toucanfault.NotRun(toucanpb.Code_CODE_OVERLOAD, "queue of the replica is too long for the deadline")
		}
	}
	return nil
}

func (l *Limiter) maxQueue() int {
	if l.MaxQueue > 0 {
		return l.MaxQueue
	}
	return defaultMaxQueue
}

// removeWaiter removes a waiter whose context has ended, and cancels the permit if
// one was granted in the meantime.
func (l *Limiter) removeWaiter(p *stripe, target *targetState, w *waiter) {
	p.mu.Lock()
	for i, o := range target.queue {
		if o == w {
			target.queue = append(target.queue[:i], target.queue[i+1:]...)
			waitingLegs.Add(-1)
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

// slotCount returns the configured number of slots of a replica, at most 64.
func (l *Limiter) slotCount(r toucanreplica.ID) (int, error) {
	c := l.Configuration.Catalog()
	if c == nil {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "no configuration in effect")
	}
	replica, service := c.Replica(r)
	if replica == nil {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, "replica "+string(r)+" is not configured")
	}
	const maxSlots = 64 // bits of targetState.busySlots
	return int(min(max(1, service.GetSlots()), maxSlots)), nil
}

// grant returns a permit for a free usable slot, or nil, and the number of usable
// slots, which are the open ones that Membership.MayUse permits. It reads the
// membership under the lock of the stripe, so that LostPermits counts every permit
// that was granted before a view change.
func (l *Limiter) grant(r toucanreplica.ID, target *targetState, slots int) (*Permit, int) {
	if target.draining {
		return nil, 0
	}
	view := l.currentView()
	usable, free := 0, -1
	for i := range min(slots, l.refreshOpenSlots(r, target)) {
		if !l.Membership.MayUse(r, i) {
			continue
		}
		usable++
		if free < 0 && target.busySlots&(1<<i) == 0 {
			free = i
		}
	}
	if free < 0 {
		return nil, usable
	}
	target.busySlots |= 1 << free
	for len(target.grantViews) <= free {
		target.grantViews = append(target.grantViews, 0)
	}
	target.grantViews[free] = view
	return &Permit{limiter: l, replica: r, slot: free}, usable
}

// grantWaiting grants free slots to queued legs in order, and refuses all of them
// if no slot is usable any more.
func (l *Limiter) grantWaiting(r toucanreplica.ID, target *targetState, slots int) {
	for len(target.queue) > 0 {
		w := target.queue[0]
		if w.ctx.Err() == nil {
			permit, usable := l.grant(r, target, slots)
			if permit == nil && usable > 0 {
				return
			}
			w.granted <- permit
		}
		waitingLegs.Add(-1)
		target.queue[0] = nil
		target.queue = target.queue[1:]
	}
}

// Done releases the slot and records the result of the request: whether the
// response was valid and its service time.
func (p *Permit) Done(ok bool, took time.Duration) {
	p.release(func(l *Limiter, target *targetState, slots int) { l.recordResult(p.replica, target, slots, ok, took) })
}

// Cancel releases the slot without recording a result. It has no effect after Done.
func (p *Permit) Cancel() { p.release(func(*Limiter, *targetState, int) {}) }

func (p *Permit) release(record func(l *Limiter, target *targetState, slots int)) {
	if p.done.Swap(true) {
		return
	}
	l := p.limiter
	slots, _ := l.slotCount(p.replica) // 0 when no longer configured
	stripe := l.stripe(p.replica)
	stripe.mu.Lock()
	defer stripe.mu.Unlock()
	target := stripe.target(p.replica)
	target.busySlots &^= 1 << p.slot
	record(l, target, slots)
	l.grantWaiting(p.replica, target, slots)
}

// Slot returns the index of the slot.
func (p *Permit) Slot() int { return p.slot }

// Outstanding returns the number of legs that wait for or hold a slot of a replica.
func (l *Limiter) Outstanding(r toucanreplica.ID) int {
	p := l.stripe(r)
	p.mu.Lock()
	defer p.mu.Unlock()
	target := p.targets[r]
	if target == nil {
		return 0
	}
	return len(target.queue) + target.busyCount()
}

func (s *targetState) busyCount() int {
	n := 0
	for b := s.busySlots; b != 0; b &= b - 1 {
		n++
	}
	return n
}

// LostPermits returns the number of held permits for slots that this host no longer
// owns, or that another host has owned since the permit was granted.
func (l *Limiter) LostPermits() int {
	lost := 0
	for i := range l.stripes {
		p := &l.stripes[i]
		p.mu.Lock()
		for r, target := range p.targets {
			for s := 0; target.busySlots>>s != 0; s++ {
				if target.busySlots&(1<<s) != 0 && !l.Membership.OwnedSince(r, s, target.grantViews[s]) {
					lost++
				}
			}
		}
		p.mu.Unlock()
	}
	return lost
}

// InFlight returns the number of permits held.
func (l *Limiter) InFlight() int {
	n := 0
	for i := range l.stripes {
		p := &l.stripes[i]
		p.mu.Lock()
		for _, target := range p.targets {
			n += target.busyCount()
		}
		p.mu.Unlock()
	}
	return n
}

func (l *Limiter) currentView() uint64 {
	if l.CurrentView == nil {
		return 0
	}
	return l.CurrentView()
}

func (l *Limiter) owns(r toucanreplica.ID, slot int) bool {
	m, ok := l.Membership.Owner(r, slot)
	return ok && m.GetId() == l.Membership.Self().GetId()
}

func (l *Limiter) log() *zap.Logger {
	if l.Log == nil {
		return zap.NewNop()
	}
	return l.Log
}
