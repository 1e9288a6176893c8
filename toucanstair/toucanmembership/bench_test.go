package toucanmembership

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

var sizes = []int{6, 24, 96, 384}

// frameOverhead is the estimated number of bytes on the wire that a unary gRPC
// request or reply adds to its message: HTTP/2 frames, indexed headers, and the
// TCP/IP headers of its packets.
const frameOverhead = 160

// startZone returns a simulation with a zone of n managers that have all joined.
func startZone(b *testing.B, n int) (*simulation, []*process) {
	sim := newSimulation(1)
	sim.maxDelay = time.Millisecond
	for i := range 3 {
		sim.start(fmt.Sprint("y", i), "y", "z0")
	}
	var ps []*process
	for i := range n {
		ps = append(ps, sim.start(fmt.Sprint("z", i), "z", "y0"))
		for !ps[i].Joined() {
			<-time.After(time.Millisecond)
		}
	}
	for _, p := range ps {
		for p.View().Number() < uint64(n) || !p.LeaseHeld() {
			<-time.After(time.Millisecond)
		}
		p.SetReleasedView(p.View().Number())
	}
	b.Cleanup(sim.stop)
	return sim, ps
}

// BenchmarkExchange measures one heartbeat and its reply without a network.
func BenchmarkExchange(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint("members", n), func(b *testing.B) {
			_, ps := startZone(b, n)
			for _, p := range ps {
				p.cancel()
			}
			to, bytes := ps[1].Self(), 0
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				q := ps[0].heartbeatRequest(to)
				r, _ := ps[1].Beat(b.Context(), q)
				ps[0].recordHeartbeat(r.GetSender(), r.GetView(), r.GetReleased())
				ps[0].handleGossip(r.GetSender(), r.GetGossip())
				bytes += proto.Size(q) + proto.Size(r)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/exchange")
		})
	}
}

// BenchmarkMember measures a zone at rest in real time: CPU, heap, and bytes
// sent and received by a member. The figures include the fake network.
func BenchmarkMember(b *testing.B) {
	const span = 4 * time.Second
	for _, n := range sizes {
		b.Run(fmt.Sprint("members", n), func(b *testing.B) {
			empty := heap()
			sim, ps := startZone(b, n)
			full := heap()
			sim.update(func() { sim.bytes, sim.heartbeats = 0, 0 })
			cpu := cpuTime()
			<-time.After(span)
			cpu = cpuTime() - cpu
			for b.Loop() { //nolint:revive // the figures cover a fixed span of time
			}
			members := float64(len(ps))
			per := members * span.Seconds()
			sim.update(func() {
				b.ReportMetric(float64(sim.heartbeats)/per, "beats/member/s")
				b.ReportMetric(float64(sim.bytes+sim.heartbeats*2*frameOverhead)/per, "B/member/s")
				b.ReportMetric(float64(sim.bytes)/float64(sim.heartbeats), "B/exchange")
			})
			b.ReportMetric(float64(cpu.Microseconds())/per, "cpu-us/member/s")
			b.ReportMetric(float64(full-empty)/members/1024, "KiB/member")
			view, _ := proto.Marshal(ps[0].View().Proto())
			b.ReportMetric(float64(len(view)), "B/view")
		})
	}
}

// BenchmarkMayUse measures the check before each send.
func BenchmarkMayUse(b *testing.B) {
	_, ps := startZone(b, 96)
	s := slots()[0]
	var owner *process
	for _, p := range ps {
		if o, _ := p.Owner(s.replica, s.number); o.GetId() == string(p.id()) {
			owner = p
		}
	}
	for !owner.MayUse(s.replica, s.number) {
		for _, p := range ps {
			p.SetReleasedView(p.View().Number())
		}
		<-time.After(10 * time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		if !owner.MayUse(s.replica, s.number) || !owner.LeaseHeld() {
			b.Fatal("lost the slot")
		}
	}
}

func heap() uint64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
