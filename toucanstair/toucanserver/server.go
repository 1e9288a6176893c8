// Package toucanserver runs an entry host that forwards requests: its
// listeners, its readiness and its graceful shutdown.
package toucanserver

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucantimer"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucanfeed"
	"toucanstair.example/toucanstair/toucanfollower"
	"toucanstair.example/toucanstair/toucanforward"
	"toucanstair.example/toucanstair/toucangateway"
	"toucanstair.example/toucanstair/toucanguard"
	"toucanstair.example/toucanstair/toucanmirror"
	"toucanstair.example/toucanstair/toucanplacement"
	"toucanstair.example/toucanstair/toucanregistration"
	"toucanstair.example/toucanstair/toucanretry"
	"toucanstair.example/toucanstair/toucanrollout"
	"toucanstair.example/toucanstair/toucanrtt"
	"toucanstair.example/toucanstair/toucanrules"
	"toucanstair.example/toucanstair/toucansource"
	"toucanstair.example/toucanstair/toucantransport"
)

const (
	// headerTime, idleTime and maxHeader bound what no limit of the operators
	// may exceed.
	headerTime = 60 * time.Second
	idleTime   = 10 * time.Minute
	maxHeader  = 256 << 10 // bytes
	// lingerTime is how long callers may open connections after a stop began:
	// the load balancer asks each second and needs two misses.
	lingerTime = 2600 * time.Millisecond
	// graceSpare is left of the grace time for the end of the process.
	graceSpare = 400 * time.Millisecond
	// memoryShare is the part of the memory limit that the heap may take.
	memoryShare = 0.7
	// slackShare and ratioShare are the parts of the operators' bound on repeats
	// that are used; the rest is for hosts that start again with full buckets.
	slackShare = 0.9
	ratioShare = 0.95
	// reloadTime is how often the settings are read again, since they may change
	// without a signal.
	reloadTime = 5 * time.Second
	// shareTime is how often the number of hosts is looked at, and shareFirst how
	// often in the first settleTime, in which the list of hosts comes.
	shareTime  = time.Second
	shareFirst = 50 * time.Millisecond
	settleTime = 3 * time.Second
)

// Settings says where a host runs and what bounds it.
type Settings struct {
	Name             toucanhost.ID
	Zone             toucanzone.Name
	Region           toucanrules.Region
	ZoneRegions      toucanrules.ZoneRegions
	CallerAddress    string // "ip:port" for callers
	ReadinessAddress string // "ip:port" for the load balancer
	MetricsAddress   string // "ip:port" for metrics; "": none
	MemoryLimit      int64  // bytes
	GracePeriod      time.Duration
	MinHosts         int // hosts that run at the same time, at least
	RetryBudget      RetryBudget
	MaxPropagation   time.Duration // in which a change of the store must be in effect
	PeerAddress      string        // "ip:port" for the other hosts; "": none
	CPUMillis        int           // processor, in thousandths of a core
	ReadinessPath    string        // path of the readiness question
}

// RetryBudget is the operators' bound on requests that are sent again.
type RetryBudget struct {
	Ratio float64 // of the requests for a service
	Slack float64 // requests beyond that in one window, all hosts together
}

type store interface {
	toucanfollower.Store
	toucanregistration.Store
	toucanrollout.Store
}

// Server is an entry host. Its fields are set before Run.
type Server struct {
	Settings Settings
	Headers  toucantransport.Headers
	Store    store
	Decode   func(toucanmirror.Item) (toucanfollower.Change, error)
	// Reload reads the settings again; nil means that they can't change.
	Reload func() (Settings, error)
	Log    *zap.Logger

	stopping atomic.Bool
	repeats  atomic.Pointer[RetryBudget] // as last read
	unread   string                      // why the settings could not be read last time; "": they were
}

// Run serves until a signal asks it to stop, and returns nil when no request
// was interrupted.
func (e *Server) Run(ctx context.Context, signals <-chan os.Signal) error {
	s := &e.Settings
	e.repeats.Store(&s.RetryBudget)
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryLimit)))
	}
	work, cancel := context.WithCancel(ctx)
	defer cancel()
	roster := &toucanbalancer.TargetSet{}
	sender := &toucantransport.Transport{Headers: e.Headers}
	self := toucansource.Peer{ID: s.Name, Zone: s.Zone, Address: s.PeerAddress, CPUMillis: s.CPUMillis}
	mirror := &toucanmirror.Mirror{}
	gateways := &toucangateway.Client{}
	rollouts := &toucanrollout.Manager{
		Self: self, ProcessID: s.Name + toucanhost.ID("/"+strconv.FormatUint(rand.Uint64(), 36)),
		Store: e.Store, Gossip: gateways, MinHosts: s.MinHosts, Log: e.Log,
	}
	follower := &toucanfollower.Follower{
		Store: e.Store, Decode: e.Decode, Self: self, MaxPropagation: s.MaxPropagation, Mirror: mirror, Targets: roster, Rollouts: rollouts, Log: e.Log,
		OnTargetsRemoved: func() { sender.Retain(roster.Contains) },
	}
	rollouts.Peers = follower.Peers
	placer := &toucanplacement.Placer{Self: self, MinHosts: max(1, s.MinHosts)}
	placer.Update(nil)
	quota := &toucanretry.Budget{}
	e.divide(quota, placer)
	forwarder := &toucanforward.Forwarder{
		Headers: e.Headers, Config: follower, Targets: roster, Transport: sender, Rollouts: rollouts, Log: e.Log,
		Picker: &toucanbalancer.Picker{Zone: s.Zone, Region: s.Region, ZoneRegions: s.ZoneRegions, HasConnection: func(t *toucanbalancer.Target) bool {
			return sender.HasIdleConnection(t.ID, t.Address)
		}},
		RetryBudget:    quota,
		ShardedShare:   placer.ShardedShare,
		UnshardedShare: placer.EvenShare,
		Delegation:     &toucanforward.Delegation{Placer: placer, Client: gateways},
		Draining:       e.stopping.Load,
	}
	ended := []<-chan error{follower.Run(work), rollouts.Run(work)}
	if s.PeerAddress != "" {
		end, err := e.servePeers(work, mirror, &toucanforward.Gateway{Forwarder: forwarder, RulesAt: follower.RulesAt}, rollouts)
		if err != nil {
			return err
		}
		ended = append(ended, end)
	}
	registered, leave := context.WithCancel(work)
	defer leave()
	ended = append(ended,
		(&toucanregistration.Registrar{Store: e.Store, Self: self, Log: e.Log}).Run(registered),
		e.share(work, quota, placer, func() {
			peers := follower.Peers()
			placer.Update(peers)
			gateways.Retain(peers)
		}))
	guard := &toucanguard.Guard{Limits: follower.Limits, Log: e.Log}
	front := e.server(guard.Handler(forwarder))
	front.ConnState = guard.ConnState
	front.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		ctx, plain := guard.ConnContext(ctx, c)
		return toucanrtt.WithConn(ctx, plain)
	}
	ready := e.server(e.readiness(follower))
	ends := make(chan error, 3)
	for _, l := range []struct {
		address string
		server  *http.Server
		guard   *toucanguard.Guard
	}{{s.CallerAddress, front, guard}, {s.ReadinessAddress, ready, nil}, {s.MetricsAddress, e.server(http.HandlerFunc(writeMetrics)), nil}} {
		if l.address == "" {
			continue
		}
		if err := listen(ctx, l.address, l.server, l.guard, ends); err != nil {
			return err
		}
	}
	e.Log.Info("started", zap.String("front", s.CallerAddress), zap.Int("pid", os.Getpid()))
	if err := e.wait(ctx, signals, ends); err != nil {
		return err
	}
	leave()
	err := e.stop(ctx, front)
	cancel()
	for _, end := range ended {
		err = errors.Join(err, <-end)
	}
	return err
}

// share divides the operators' bound on repeats among the hosts as they come
// and go; update takes in which ones are there.
func (e *Server) share(ctx context.Context, q *toucanretry.Budget, p *toucanplacement.Placer, update func()) <-chan error {
	end := make(chan error, 1)
	began := time.Now()
	go func() {
		for every := shareFirst; toucantimer.Wait(ctx, every); {
			if time.Since(began) > settleTime {
				every = shareTime
			}
			update()
			e.divide(q, p)
		}
		end <- nil
	}()
	return end
}

// divide gives the quota this host's part of the operators' bound.
func (e *Server) divide(q *toucanretry.Budget, p *toucanplacement.Placer) {
	r := e.repeats.Load()
	q.Set(ratioShare*r.Ratio, max(1, slackShare*r.Slack*p.ShardedShare()))
}

// reload takes in the bounds on repeats; addresses, bounds on time and memory
// are those of the start. Settings that can't be used change nothing. Without a
// signal, only news are logged.
func (e *Server) reload(signalled bool) {
	if e.Reload == nil {
		return
	}
	s, err := e.Reload()
	if err != nil {
		if signalled || e.unread != err.Error() {
			e.Log.Warn("settings not reloaded, the former ones stay", zap.Bool("signal", signalled), zap.Error(err))
		}
		e.unread = err.Error()
		return
	}
	e.unread = ""
	if old := e.repeats.Swap(&s.RetryBudget); signalled || *old != s.RetryBudget {
		e.Log.Info("settings reloaded", zap.Bool("signal", signalled),
			zap.Float64("ratio", s.RetryBudget.Ratio), zap.Float64("slack", s.RetryBudget.Slack))
	}
}

// servePeers serves the other hosts until ctx ends.
func (e *Server) servePeers(ctx context.Context, m *toucanmirror.Mirror, g *toucanforward.Gateway, r *toucanrollout.Manager) (<-chan error, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", e.Settings.PeerAddress)
	if err != nil {
		return nil, err
	}
	server := grpc.NewServer()
	toucanpb.RegisterFeedServer(server, &toucanfeed.Server{Mirror: m})
	toucanpb.RegisterGatewayServer(server, g)
	toucanpb.RegisterPeerServer(server, heartbeats{rollouts: r})
	end := make(chan error, 1)
	stop := context.AfterFunc(ctx, server.Stop)
	go func() {
		defer stop()
		end <- server.Serve(l)
	}()
	return end, nil
}

// heartbeats answers the heartbeats of other hosts.
type heartbeats struct {
	toucanpb.UnimplementedPeerServer
	rollouts *toucanrollout.Manager
}

func (h heartbeats) Beat(ctx context.Context, r *toucanpb.BeatRequest) (*toucanpb.BeatReply, error) {
	return h.rollouts.Beat(ctx, r)
}

// wait returns nil when a signal asks for a stop, or the failure of a listener.
func (e *Server) wait(ctx context.Context, signals <-chan os.Signal, ends <-chan error) error {
	again := time.NewTicker(reloadTime)
	defer again.Stop()
	for {
		select {
		case <-again.C:
			e.reload(false)
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				e.reload(true)
				continue
			}
			e.Log.Info("stop asked for", zap.String("signal", sig.String()))
			return nil
		case err := <-ends:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}

// stop ends readiness, waits for the load balancer, and lets requests end.
func (e *Server) stop(ctx context.Context, front *http.Server) error {
	e.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(lingerTime, e.Settings.GracePeriod-graceSpare))
	defer cancel()
	linger := time.NewTimer(lingerTime)
	defer linger.Stop()
	<-linger.C
	err := front.Shutdown(ctx)
	if err != nil {
		e.Log.Warn("stopped with requests in flight", zap.Error(err))
		return err
	}
	e.Log.Info("stopped")
	return nil
}

func (e *Server) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeader,
		ErrorLog: zap.NewStdLog(e.Log),
	}
}

// readiness answers the load balancer: 200 while the host can serve.
func (e *Server) readiness(f *toucanfollower.Follower) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != e.Settings.ReadinessPath:
			http.NotFound(w, r)
		case e.stopping.Load():
			http.Error(w, "the host is stopping", http.StatusServiceUnavailable)
		case !f.Ready():
			http.Error(w, "there is no configuration or no list of targets yet", http.StatusServiceUnavailable)
		}
	})
}

func writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	metrics.WritePrometheus(w, true)
}

// listen serves at an address; guard may be nil.
func listen(ctx context.Context, address string, s *http.Server, guard *toucanguard.Guard, ends chan<- error) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	if guard != nil {
		l = guard.WrapListener(l)
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			ends <- err
		}
	}()
	return nil
}
