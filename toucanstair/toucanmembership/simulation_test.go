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

// world is a fake network, store and host list for managers in one process.
type world struct {
	mu       sync.Mutex
	rnd      *rand.Rand
	all      []*proc
	procs    map[string]*proc // by name, which is the address too
	cut      map[[2]string]bool
	paused   map[string]pause
	listed   map[string]time.Time // last alive
	pauseDue string               // name of the process that pauses next
	loss     float64
	lag      time.Duration // longest delay of a message
	down     bool          // the store
	noise    float64       // share of store replies that are lost after the effect
	store    map[string]*toucanpb.Entry
	rev      uint64
	bytes    int // of heartbeats and replies
	beats    int
}

type proc struct {
	*Manager
	cancel context.CancelFunc
	done   <-chan error
}

type slot struct {
	replica toucanreplica.ID
	number  int
}

const storeName = "store"

func newWorld(seed uint64) *world {
	return &world{
		rnd: rand.New(rand.NewPCG(seed, 7)), procs: map[string]*proc{}, cut: map[[2]string]bool{}, paused: map[string]pause{},
		listed: map[string]time.Time{}, store: map[string]*toucanpb.Entry{}, lag: 5 * time.Millisecond,
	}
}

func (w *world) start(name, zone string, seeds ...string) *proc {
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	s := Settings{
		Name: name, Zone: toucanzone.Name(zone), Address: name, RandomSeed: w.rnd.Uint64() | 1, Store: wire{w, name, ""},
		Dial: func(a string) (toucanpb.PeerClient, error) { return wire{w, name, a}, nil },
		// The heartbeat loop asks for seeds, so a pause stops it here.
		SeedAddresses: func() []string {
			w.pauseIfDue(name)
			wire{w, name, ""}.waitResumed(name)
			return seeds
		},
	}
	w.mu.Unlock()
	p := &proc{Manager: New(s), cancel: cancel}
	w.mu.Lock()
	w.procs[name] = p
	w.all = append(w.all, p)
	w.mu.Unlock()
	p.done = p.Run(ctx)
	return p
}

func (w *world) kill(name string) {
	w.mu.Lock()
	p := w.procs[name]
	delete(w.procs, name)
	w.resume(name)
	w.mu.Unlock()
	if p != nil {
		p.cancel()
	}
}

func (w *world) running(zone string) []*proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*proc
	for _, n := range slices.Sorted(maps.Keys(w.procs)) {
		if p := w.procs[n]; p.Self().GetZone() == zone {
			out = append(out, p)
		}
	}
	return out
}

// stop ends all processes; the calls of killed ones end once nothing is paused.
func (w *world) stop() {
	w.heal()
	for _, n := range slices.Collect(maps.Keys(w.procs)) {
		w.kill(n)
	}
	for _, p := range w.all {
		p.cancel()
		if err := <-p.done; err != nil {
			panic(err)
		}
	}
}

func (w *world) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.cut)
	for n := range w.paused {
		w.resume(n)
	}
	w.down, w.loss, w.noise = false, 0, 0
}

func (w *world) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// pause is the pause of a process.
type pause struct {
	start time.Time
	over  chan struct{}
}

// pauseIfDue pauses a process whose pause is due while the replies to its
// heartbeats are on their way.
func (w *world) pauseIfDue(name string) {
	w.mu.Lock()
	due := w.pauseDue == name
	w.mu.Unlock()
	if !due {
		return
	}
	<-time.After(time.Millisecond)
	w.set(func() { w.pauseDue, w.paused[name] = "", pause{time.Now(), make(chan struct{})} })
}

func (w *world) resume(name string) {
	if n, ok := w.paused[name]; ok {
		close(n.over)
		delete(w.paused, name)
	}
}

// wire is one host's connection to another host or to the store.
type wire struct {
	w        *world
	from, to string
}

func (c wire) waitResumed(name string) {
	c.w.mu.Lock()
	n, paused := c.w.paused[name]
	c.w.mu.Unlock()
	if paused {
		<-n.over
	}
}

// pass carries a message one way; a message to or from a paused process waits
// for it, whatever the deadline of the call.
func (c wire) pass(ctx context.Context, from, to string) error {
	c.waitResumed(from)
	c.w.mu.Lock()
	delay := time.Duration(c.w.rnd.Int64N(int64(c.w.lag)))
	lost := c.w.cut[[2]string{from, to}] || c.w.rnd.Float64() < c.w.loss
	c.w.mu.Unlock()
	if lost {
		<-ctx.Done()
		return toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "lost")
	}
	<-time.After(delay)
	c.waitResumed(to)
	return nil
}

func (c wire) call(ctx context.Context, f func(*proc)) error {
	if err := c.pass(ctx, c.from, c.to); err != nil {
		return err
	}
	c.w.mu.Lock()
	p := c.w.procs[c.to]
	c.w.mu.Unlock()
	if p == nil {
		return toucanfault.NotRun(toucanpb.Code_CODE_DOWN, "refused")
	}
	f(p)
	return c.pass(ctx, c.to, c.from)
}

func (c wire) Legs(context.Context, ...grpc.CallOption) (grpc.BidiStreamingClient[toucanpb.LegRequest, toucanpb.LegResult], error) {
	return nil, toucanfault.NotRun(toucanpb.Code_CODE_INTERNAL, "not used")
}

func (c wire) Beat(ctx context.Context, r *toucanpb.BeatRequest, _ ...grpc.CallOption) (reply *toucanpb.BeatReply, err error) {
	sent := proto.CloneOf(r)
	failed := c.call(ctx, func(p *proc) { reply, err = p.Beat(ctx, sent) })
	c.w.set(func() {
		c.w.beats++
		c.w.bytes += proto.Size(sent) + proto.Size(reply)
	})
	if failed != nil {
		return nil, failed
	}
	return reply, err
}

func (c wire) Vote(ctx context.Context, r *toucanpb.VoteRequest, _ ...grpc.CallOption) (reply *toucanpb.VoteReply, err error) {
	if failed := c.call(ctx, func(p *proc) { reply, err = p.Vote(ctx, r) }); failed != nil {
		return nil, failed
	}
	return reply, err
}

func (c wire) Fetch(ctx context.Context, _ *toucanpb.FetchRequest, _ ...grpc.CallOption) (*toucanpb.FetchReply, error) {
	var reply *toucanpb.FetchReply
	err := c.call(ctx, func(p *proc) { reply = &toucanpb.FetchReply{View: p.View().Proto()} })
	return reply, err
}

// reach passes a call to the store; it may take effect and its reply get lost.
func (c wire) reach(ctx context.Context, f func() error) error {
	if err := c.pass(ctx, c.from, storeName); err != nil {
		return err
	}
	c.w.mu.Lock()
	if c.w.down {
		c.w.mu.Unlock()
		return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "down")
	}
	err := f()
	lost := c.w.rnd.Float64() < c.w.noise
	c.w.mu.Unlock()
	if back := c.pass(ctx, storeName, c.from); back != nil || lost {
		return toucanfault.Unknown(toucanpb.Code_CODE_STORE, "reply lost")
	}
	return err
}

func (c wire) Get(ctx context.Context, key string) (e *toucanpb.Entry, err error) {
	err = c.reach(ctx, func() error { e = c.w.store[key]; return nil })
	return e, err
}

func (c wire) List(ctx context.Context, prefix string) (es []*toucanpb.Entry, err error) {
	err = c.reach(ctx, func() error {
		for _, k := range slices.Sorted(maps.Keys(c.w.store)) {
			if strings.HasPrefix(k, prefix) {
				es = append(es, c.w.store[k])
			}
		}
		return nil
	})
	return es, err
}

func (c wire) Put(ctx context.Context, key string, value []byte, prev uint64, _ string) (rev uint64, err error) {
	err = c.reach(ctx, func() error {
		if c.w.store[key].GetRevision() != prev {
			return toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT, "changed")
		}
		c.w.rev++
		c.w.store[key] = &toucanpb.Entry{Key: key, Value: value, Revision: c.w.rev}
		rev = c.w.rev
		return nil
	})
	return rev, err
}

// Hosts lists a process for 5 s after it ended, and paused or cut ones too.
func (c wire) Hosts(ctx context.Context) (hs []*toucanpb.HostStatus, err error) {
	err = c.reach(ctx, func() error {
		for n := range c.w.procs {
			c.w.listed[n] = time.Now()
		}
		for n, seen := range c.w.listed {
			if time.Since(seen) < 5*time.Second {
				hs = append(hs, &toucanpb.HostStatus{Name: n, State: "live"})
			}
		}
		return nil
	})
	return hs, err
}

// slots are the slots that the tests watch.
func slots() []slot {
	var out []slot
	for r := range 4 {
		for n := range 2 {
			out = append(out, slot{toucanreplica.ID(fmt.Sprint("r", r)), n})
		}
	}
	return out
}
