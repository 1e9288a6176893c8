package toucanmembership

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanzone"
)

// simulation provides a fake network, store and host list to managers that run in
// one process.
type simulation struct {
	mu            sync.Mutex
	rng           *rand.Rand
	started       []*process
	procs         map[string]*process  // by name, which is also the address
	partitioned   map[[2]string]bool   // by sender and receiver
	paused        map[string]pause     // by name
	lastAlive     map[string]time.Time // when a host was last alive, by name
	pauseNext     string               // name of the process to pause next
	lossRate      float64
	maxDelay      time.Duration // of a message, one way
	storeDown     bool          // store calls fail
	replyLossRate float64       // share of store calls that take effect but lose their reply
	store         map[string]*toucanpb.Entry
	revision      uint64
	bytes         int // of heartbeats and replies
	heartbeats    int
}

type process struct {
	*Manager
	cancel context.CancelFunc
	done   <-chan error
}

type slot struct {
	replica toucanreplica.ID
	number  int
}

const storeName = "store"

func newSimulation(seed uint64) *simulation {
	return &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), procs: map[string]*process{}, partitioned: map[[2]string]bool{}, paused: map[string]pause{},
		lastAlive: map[string]time.Time{}, store: map[string]*toucanpb.Entry{}, maxDelay: 5 * time.Millisecond,
	}
}

// start runs a manager for a host that knows the given seed addresses.
func (sim *simulation) start(name, zone string, seeds ...string) *process {
	ctx, cancel := context.WithCancel(context.Background())
	sim.mu.Lock()
	s := Settings{
		Name: name, Zone: toucanzone.Name(zone), Address: name, RandomSeed: sim.rng.Uint64() | 1, Store: conn{sim, name, ""},
		Dial: func(a string) (toucanpb.PeerClient, error) { return conn{sim, name, a}, nil },
		// The heartbeat loop calls this, so a paused process blocks here.
		SeedAddresses: func() []string {
			sim.pauseIfDue(name)
			conn{sim, name, ""}.waitResumed(name)
			return seeds
		},
	}
	sim.mu.Unlock()
	p := &process{Manager: New(s), cancel: cancel}
	sim.mu.Lock()
	sim.procs[name] = p
	sim.started = append(sim.started, p)
	sim.mu.Unlock()
	p.done = p.Run(ctx)
	return p
}

func (sim *simulation) kill(name string) {
	sim.mu.Lock()
	p := sim.procs[name]
	delete(sim.procs, name)
	sim.resume(name)
	sim.mu.Unlock()
	if p != nil {
		p.cancel()
	}
}

func (sim *simulation) running(zone string) []*process {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var out []*process
	for _, n := range slices.Sorted(maps.Keys(sim.procs)) {
		if p := sim.procs[n]; p.Self().GetZone() == zone {
			out = append(out, p)
		}
	}
	return out
}

// stop ends all faults, so that calls of killed processes return, then kills all
// processes and waits for them.
func (sim *simulation) stop() {
	sim.heal()
	for _, n := range slices.Collect(maps.Keys(sim.procs)) {
		sim.kill(n)
	}
	for _, p := range sim.started {
		p.cancel()
		if err := <-p.done; err != nil {
			panic(err)
		}
	}
}

// heal ends all faults and pauses.
func (sim *simulation) heal() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	clear(sim.partitioned)
	for n := range sim.paused {
		sim.resume(n)
	}
	sim.storeDown, sim.lossRate, sim.replyLossRate = false, 0, 0
}

func (sim *simulation) update(f func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	f()
}

// pause records when a process was paused; resumed is closed when it resumes.
type pause struct {
	start   time.Time
	resumed chan struct{}
}

// pauseIfDue pauses the process named in pauseNext 1 ms after its heartbeats were
// sent, while the replies are still in transit.
func (sim *simulation) pauseIfDue(name string) {
	sim.mu.Lock()
	due := sim.pauseNext == name
	sim.mu.Unlock()
	if !due {
		return
	}
	<-time.After(time.Millisecond)
	sim.update(func() { sim.pauseNext, sim.paused[name] = "", pause{time.Now(), make(chan struct{})} })
}

func (sim *simulation) resume(name string) {
	if p, ok := sim.paused[name]; ok {
		close(p.resumed)
		delete(sim.paused, name)
	}
}

// conn is one host's connection to another host or to the store.
type conn struct {
	sim      *simulation
	from, to string
}

func (c conn) waitResumed(name string) {
	c.sim.mu.Lock()
	p, paused := c.sim.paused[name]
	c.sim.mu.Unlock()
	if paused {
		<-p.resumed
	}
}

// deliver carries a message one way. A message to or from a paused process waits
// until the process resumes, even past the deadline of the call.
func (c conn) deliver(ctx context.Context, from, to string) error {
	c.waitResumed(from)
	c.sim.mu.Lock()
	delay := time.Duration(c.sim.rng.Int64N(int64(c.sim.maxDelay)))
	lost := c.sim.partitioned[[2]string{from, to}] || c.sim.rng.Float64() < c.sim.lossRate
	c.sim.mu.Unlock()
	if lost {
		<-ctx.Done()
		return toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "lost")
	}
	<-time.After(delay)
	c.waitResumed(to)
	return nil
}

func (c conn) call(ctx context.Context, f func(*process)) error {
	if err := c.deliver(ctx, c.from, c.to); err != nil {
		return err
	}
	c.sim.mu.Lock()
	p := c.sim.procs[c.to]
	c.sim.mu.Unlock()
	if p == nil {
		return toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "refused")
	}
	f(p)
	return c.deliver(ctx, c.to, c.from)
}

func (c conn) Legs(context.Context, ...grpc.CallOption) (grpc.BidiStreamingClient[toucanpb.LegRequest, toucanpb.LegResult], error) {
	return nil, toucanfault.NotRun(toucanpb.Code_CODE_INTERNAL, "not used")
}

func (c conn) Beat(ctx context.Context, r *toucanpb.BeatRequest, _ ...grpc.CallOption) (reply *toucanpb.BeatReply, err error) {
	sent := proto.CloneOf(r)
	failed := c.call(ctx, func(p *process) { reply, err = p.Beat(ctx, sent) })
	c.sim.update(func() {
		c.sim.heartbeats++
		c.sim.bytes += proto.Size(sent) + proto.Size(reply)
	})
	if failed != nil {
		return nil, failed
	}
	return reply, err
}

func (c conn) Vote(ctx context.Context, r *toucanpb.VoteRequest, _ ...grpc.CallOption) (reply *toucanpb.VoteReply, err error) {
	if failed := c.call(ctx, func(p *process) { reply, err = p.Vote(ctx, r) }); failed != nil {
		return nil, failed
	}
	return reply, err
}

func (c conn) Fetch(ctx context.Context, _ *toucanpb.FetchRequest, _ ...grpc.CallOption) (*toucanpb.FetchReply, error) {
	var reply *toucanpb.FetchReply
	err := c.call(ctx, func(p *process) { reply = &toucanpb.FetchReply{View: p.View().Proto()} })
	return reply, err
}

// callStore runs f as a store call. The call may take effect although its reply is
// lost.
func (c conn) callStore(ctx context.Context, f func() error) error {
	if err := c.deliver(ctx, c.from, storeName); err != nil {
		return err
	}
	c.sim.mu.Lock()
	if c.sim.storeDown {
		c.sim.mu.Unlock()
		return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "down")
	}
	err := f()
	lost := c.sim.rng.Float64() < c.sim.replyLossRate
	c.sim.mu.Unlock()
	if back := c.deliver(ctx, storeName, c.from); back != nil || lost {
		return toucanfault.Unknown(toucanpb.Code_CODE_STORE, "reply lost")
	}
	return err
}

func (c conn) Get(ctx context.Context, key string) (e *toucanpb.Entry, err error) {
	err = c.callStore(ctx, func() error { e = c.sim.store[key]; return nil })
	return e, err
}

func (c conn) List(ctx context.Context, prefix string) (es []*toucanpb.Entry, err error) {
	err = c.callStore(ctx, func() error {
		for _, k := range slices.Sorted(maps.Keys(c.sim.store)) {
			if strings.HasPrefix(k, prefix) {
				es = append(es, c.sim.store[k])
			}
		}
		return nil
	})
	return es, err
}

func (c conn) Put(ctx context.Context, key string, value []byte, prev uint64, _ string) (rev uint64, err error) {
	err = c.callStore(ctx, func() error {
		if c.sim.store[key].GetRevision() != prev {
			return toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT, "changed")
		}
		c.sim.revision++
		c.sim.store[key] = &toucanpb.Entry{Key: key, Value: value, Revision: c.sim.revision}
		rev = c.sim.revision
		return nil
	})
	return rev, err
}

// Hosts also lists processes that are paused or partitioned, and those that ended
// less than 5 s ago.
func (c conn) Hosts(ctx context.Context) (hs []*toucanpb.HostStatus, err error) {
	err = c.callStore(ctx, func() error {
		for n := range c.sim.procs {
			c.sim.lastAlive[n] = time.Now()
		}
		for n, seen := range c.sim.lastAlive {
			if time.Since(seen) < 5*time.Second {
				hs = append(hs, &toucanpb.HostStatus{Name: n, State: "live"})
			}
		}
		return nil
	})
	return hs, err
}

// slots returns the slots that the tests check.
func slots() []slot {
	var out []slot
	for r := range 4 {
		for n := range 2 {
			out = append(out, slot{toucanreplica.ID(fmt.Sprint("r", r)), n})
		}
	}
	return out
}
