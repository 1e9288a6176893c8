// Package toucanserver runs the server process of a host that forwards requests:
// its listeners, readiness and graceful shutdown.
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
	"toucanstair.example/toucanstair/toucanquota"
	"toucanstair.example/toucanstair/toucanregistration"
	"toucanstair.example/toucanstair/toucanretry"
	"toucanstair.example/toucanstair/toucanrollout"
	"toucanstair.example/toucanstair/toucanrtt"
	"toucanstair.example/toucanstair/toucanrules"
	"toucanstair.example/toucanstair/toucansource"
	"toucanstair.example/toucanstair/toucantransport"
)

const (
	// maxHeaderTimeout, maxIdleTimeout and maxHeaderBytes cap the limits that
	// operators configure.
	maxHeaderTimeout = 60 * time.Second
	maxIdleTimeout   = 10 * time.Minute
	maxHeaderBytes   = 256 << 10 // bytes
	// maxPeerRequestBytes and maxPeerHeaderBytes bound a request of another host, and
	// maxPeerStreams its concurrent ones.
	maxPeerRequestBytes = 1 << 20  // bytes
	maxPeerHeaderBytes  = 64 << 10 // bytes
	maxPeerStreams      = 2048
	// drainDelay is how long callers may still open connections after a shutdown
	// began: the load balancer probes each second and needs two failed probes.
	drainDelay = 2600 * time.Millisecond
	// gracePeriodMargin is the part of the grace period that is reserved for
	// ending the process.
	gracePeriodMargin = 400 * time.Millisecond
	// runtimeMemoryShare is the fraction of the memory limit that the Go runtime may
	// use.
	runtimeMemoryShare = 0.7
	// messageMemoryDivisor sets how many bytes of requests and responses are held: the
	// memory limit divided by it. Growing buffers and parsed headers take several times
	// the bytes of a message.
	messageMemoryDivisor = 12
	// slackShare and ratioShare are the fractions of the operators' retry budget
	// that are used. The rest is for hosts that do not yet know of a change of the
	// list of hosts, and for retries that arrive in a later window than they are sent.
	slackShare = 0.9
	ratioShare = 0.95
	// reloadInterval is how often the settings are read again, since they may
	// change without a signal.
	reloadInterval = 5 * time.Second
	// shareInterval is how often the host's shares are updated from the list of
	// hosts, and initialShareInterval how often during the first
	// initialSharePeriod, while that list is loaded.
	shareInterval        = time.Second
	initialShareInterval = 50 * time.Millisecond
	initialSharePeriod   = 3 * time.Second
)

// Settings holds the addresses, location and limits of a host.
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
	MinHosts         int // least number of hosts that run at the same time
	RetryBudget      RetryBudget
	MaxPropagation   time.Duration // limit for a change in the store to take effect
	PeerAddress      string        // "ip:port" for the other hosts; "": none
	CPUMillis        int           // CPU, in thousandths of a core
	ReadinessPath    string        // path of the readiness probe
	// Unusable says which settings could not be used, and what was used instead; nil: all
	// could.
	Unusable error
}

// RetryBudget is the operators' limit on retries and hedges.
type RetryBudget struct {
	Ratio  float64       // retries per request for a service
	Slack  float64       // further retries in one window, all hosts together
	Window time.Duration // in which retries are counted; changes only at a start
}

type store interface {
	toucanfollower.Store
	toucanregistration.Store
	toucanrollout.Store
}

// Server is the process of a host. Its exported fields are set before Run.
type Server struct {
	Settings Settings
	Headers  toucantransport.Headers
	Store    store
	Decode   func(toucanmirror.Item) (toucanfollower.Change, error)
	// Reload reads the settings again. If it is nil, they are never reloaded.
	Reload func() (Settings, error)
	Log    *zap.Logger

	draining      atomic.Bool
	retryLimit    atomic.Pointer[RetryBudget] // as last loaded
	settingsError string                      // what was wrong with the settings when they were last read; "": nothing
}

// Run serves until a stop signal arrives or ctx ends, then shuts down. It returns
// nil if no request was interrupted, otherwise the errors of the listener, of the
// shutdown and of the background tasks.
func (s *Server) Run(ctx context.Context, signals <-chan os.Signal) error {
	settings := &s.Settings
	s.reportSettings("settings that cannot be used were replaced", settings.Unusable, false)
	s.retryLimit.Store(&settings.RetryBudget)
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(settings.MemoryLimit)))
	}
	workCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	targets := &toucanbalancer.TargetSet{ServingTime: settings.MaxPropagation}
	memory := &toucanquota.Quota{Limit: settings.MemoryLimit / messageMemoryDivisor}
	metrics.GetOrCreateGauge("toucan_message_memory_bytes", func() float64 { return float64(memory.Used()) })
	transport := &toucantransport.Transport{Headers: s.Headers, Memory: memory, Log: s.Log}
	self := toucansource.Peer{ID: settings.Name, Zone: settings.Zone, Address: settings.PeerAddress, CPUMillis: settings.CPUMillis}
	mirror := &toucanmirror.Mirror{}
	gatewayClient := &toucangateway.Client{}
	rollouts := &toucanrollout.Manager{
		Self: self, ProcessID: settings.Name + toucanhost.ID("/"+strconv.FormatUint(rand.Uint64(), 36)),
		Store: s.Store, Gossip: gatewayClient, MinHosts: settings.MinHosts, Log: s.Log,
	}
	follower := &toucanfollower.Follower{
		Store: s.Store, Decode: s.Decode, Self: self, ZoneRegions: settings.ZoneRegions, MaxPropagation: settings.MaxPropagation, Mirror: mirror, Targets: targets, Rollouts: rollouts, Log: s.Log,
		OnTargetsRemoved: func() { transport.Retain(targets.Contains) },
	}
	rollouts.Peers = follower.Peers
	placer := &toucanplacement.Placer{Self: self, MinHosts: max(1, settings.MinHosts)}
	placer.Update(nil)
	retryBudget := &toucanretry.Budget{Window: settings.RetryBudget.Window}
	s.setRetryBudget(retryBudget, placer)
	forwarder := &toucanforward.Forwarder{
		Headers: s.Headers, Config: follower, Targets: targets, Transport: transport, Rollouts: rollouts, Log: s.Log,
		Picker: &toucanbalancer.Picker{Zone: settings.Zone, Region: settings.Region, ZoneRegions: settings.ZoneRegions, HasConnection: func(t *toucanbalancer.Target) bool {
			return transport.HasIdleConnection(t.ID, t.Address)
		}},
		RetryBudget:    retryBudget,
		Memory:         memory,
		ShardedShare:   placer.ShardedShare,
		UnshardedShare: placer.EvenShare,
		Delegation:     &toucanforward.Delegation{Placer: placer, Client: gatewayClient},
		Draining:       s.draining.Load,
	}
	workersDone := []<-chan error{follower.Run(workCtx), rollouts.Run(workCtx)}
	if settings.PeerAddress != "" {
		done, err := s.servePeers(workCtx, &toucanfeed.Server{Mirror: mirror, Departures: targets}, &toucanforward.Gateway{Forwarder: forwarder, RulesAt: follower.RulesAt}, rollouts)
		if err != nil {
			return err
		}
		workersDone = append(workersDone, done)
	}
	registerCtx, deregister := context.WithCancel(workCtx)
	defer deregister()
	workersDone = append(workersDone,
		(&toucanregistration.Registrar{Store: s.Store, Self: self, Log: s.Log}).Run(registerCtx),
		s.updateShares(workCtx, retryBudget, placer, func() {
			peers := follower.Peers()
			placer.Update(peers)
			gatewayClient.Retain(peers)
		}))
	guard := &toucanguard.Guard{Limits: follower.Limits, Log: s.Log}
	callerServer := s.newHTTPServer(guard.Handler(forwarder))
	callerServer.ConnState = guard.ConnState
	callerServer.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		ctx, rawConn := guard.ConnContext(ctx, c)
		return toucanrtt.WithConn(ctx, rawConn)
	}
	readinessServer := s.newHTTPServer(s.readinessHandler(follower))
	serveErrors := make(chan error, 3)
	for _, l := range []struct {
		address string
		server  *http.Server
		guard   *toucanguard.Guard
	}{{settings.CallerAddress, callerServer, guard}, {settings.ReadinessAddress, readinessServer, nil}, {settings.MetricsAddress, s.newHTTPServer(http.HandlerFunc(writeMetrics)), nil}} {
		if l.address == "" {
			continue
		}
		if err := listen(ctx, l.address, l.server, l.guard, serveErrors); err != nil {
			return err
		}
	}
	s.Log.Info("started", zap.String("front", settings.CallerAddress), zap.Int("pid", os.Getpid()))
	if err := s.wait(ctx, signals, serveErrors); err != nil {
		return err
	}
	deregister()
	err := s.shutdown(ctx, callerServer)
	cancel()
	for _, done := range workersDone {
		err = errors.Join(err, <-done)
	}
	return err
}

// updateShares keeps the retry budget in line with this host's share as hosts
// come and go, until ctx ends. Before each change it calls update to refresh the list
// of hosts. The channel receives nil at the end.
func (s *Server) updateShares(ctx context.Context, budget *toucanretry.Budget, placer *toucanplacement.Placer, update func()) <-chan error {
	done := make(chan error, 1)
	start := time.Now()
	go func() {
		for interval := initialShareInterval; toucantimer.Wait(ctx, interval); {
			if time.Since(start) > initialSharePeriod {
				interval = shareInterval
			}
			update()
			s.setRetryBudget(budget, placer)
		}
		done <- nil
	}()
	return done
}

// setRetryBudget gives the budget this host's share of the operators' limit.
func (s *Server) setRetryBudget(budget *toucanretry.Budget, placer *toucanplacement.Placer) {
	limit := s.retryLimit.Load()
	budget.Set(ratioShare*limit.Ratio, max(1, slackShare*limit.Slack*placer.ShardedShare()))
}

// reload applies the retry budget of the settings. All other settings stay as
// they were at the start. Invalid settings are logged and change nothing; a single
// setting that cannot be used is logged, and the others apply. Without a signal, only
// changes and new errors are logged.
func (s *Server) reload(signalled bool) {
	if s.Reload == nil {
		return
	}
	settings, err := s.Reload()
	if err != nil {
		s.reportSettings("settings not reloaded, the former ones stay", err, signalled)
		return
	}
	s.reportSettings("settings that cannot be used were replaced", settings.Unusable, signalled)
	if old := s.retryLimit.Swap(&settings.RetryBudget); signalled || *old != settings.RetryBudget {
		s.Log.Info("settings reloaded", zap.Bool("signal", signalled),
			zap.Float64("ratio", settings.RetryBudget.Ratio), zap.Float64("slack", settings.RetryBudget.Slack))
	}
}

// reportSettings logs what is wrong with the settings, if it is new or after a signal.
func (s *Server) reportSettings(message string, err error, signalled bool) {
	if err == nil {
		s.settingsError = ""
		return
	}
	if signalled || s.settingsError != err.Error() {
		s.Log.Warn(message, zap.Bool("signal", signalled), zap.Error(err))
	}
	s.settingsError = err.Error()
}

// servePeers serves gRPC calls of the other hosts until ctx ends. The channel
// receives the result of the server.
func (s *Server) servePeers(ctx context.Context, feed *toucanfeed.Server, gateway *toucanforward.Gateway, rollouts *toucanrollout.Manager) (<-chan error, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Settings.PeerAddress)
	if err != nil {
		return nil, err
	}
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxPeerRequestBytes), grpc.MaxHeaderListSize(maxPeerHeaderBytes), grpc.MaxConcurrentStreams(maxPeerStreams),
		grpc.UnaryInterceptor(recoverUnary(s.Log)), grpc.StreamInterceptor(recoverStream(s.Log)),
	)
	toucanpb.RegisterFeedServer(server, feed)
	toucanpb.RegisterGatewayServer(server, gateway)
	toucanpb.RegisterPeerServer(server, peerServer{rollouts: rollouts})
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, server.Stop)
	go func() {
		defer stop()
		done <- server.Serve(l)
	}()
	return done, nil
}

// peerServer answers the heartbeats of other hosts.
type peerServer struct {
	toucanpb.UnimplementedPeerServer
	rollouts *toucanrollout.Manager
}

func (h peerServer) Beat(ctx context.Context, r *toucanpb.BeatRequest) (*toucanpb.BeatReply, error) {
	return h.rollouts.Beat(ctx, r)
}

// wait returns nil when a stop signal arrives or ctx ends, or the error of a
// listener. It reloads the settings on SIGHUP and every reloadInterval.
func (s *Server) wait(ctx context.Context, signals <-chan os.Signal, serveErrors <-chan error) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.reload(false)
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				s.reload(true)
				continue
			}
			s.Log.Info("stop asked for", zap.String("signal", sig.String()))
			return nil
		case err := <-serveErrors:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}

// shutdown fails the readiness probe, waits for the load balancer to notice, and
// then lets the requests in flight finish within the grace period.
func (s *Server) shutdown(ctx context.Context, callerServer *http.Server) error {
	s.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(drainDelay, s.Settings.GracePeriod-gracePeriodMargin))
	defer cancel()
	delay := time.NewTimer(drainDelay)
	defer delay.Stop()
	<-delay.C
	err := callerServer.Shutdown(ctx)
	if err != nil {
		s.Log.Warn("stopped with requests in flight", zap.Error(err))
		return err
	}
	s.Log.Info("stopped")
	return nil
}

func (s *Server) newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: maxHeaderTimeout, IdleTimeout: maxIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(s.Log),
	}
}

// readinessHandler answers the readiness probe of the load balancer: 200 while
// the host can serve, otherwise 503.
func (s *Server) readinessHandler(follower *toucanfollower.Follower) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != s.Settings.ReadinessPath:
			http.NotFound(w, r)
		case s.draining.Load():
			http.Error(w, "the host is stopping", http.StatusServiceUnavailable)
		case !follower.Ready():
			http.Error(w, "there is no configuration or no list of targets yet", http.StatusServiceUnavailable)
		}
	})
}

func writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	metrics.WritePrometheus(w, true)
}

// listen starts to serve at an address. Errors while serving are sent to
// serveErrors. guard may be nil.
func listen(ctx context.Context, address string, server *http.Server, guard *toucanguard.Guard, serveErrors chan<- error) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	if guard != nil {
		l = guard.WrapListener(l)
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			serveErrors <- err
		}
	}()
	return nil
}
