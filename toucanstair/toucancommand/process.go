package toucancommand

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucandrain"
	"toucanstair.example/toucanstair/toucanfrontend"
	"toucanstair.example/toucanstair/toucanops"
)

// process holds a host with its listeners and servers. Without a
// configuration and a lease the host is not ready and refuses queries.
type process struct {
	settings *Settings
	log      *zap.Logger
	tracer   trace.Tracer

	callerListener, peerListener, opsListener net.Listener

	drainer   *toucandrain.Drainer
	frontend  *toucanfrontend.Frontend
	opsServer *toucanops.Server
	host      *host
}

// addresses is the JSON line that --report prints.
type addresses struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Ops     string `json:"ops"`
}

// openProcess opens the listeners and creates the components. It serves nothing yet.
func openProcess(ctx context.Context, s *Settings, log *zap.Logger, tracers trace.TracerProvider) (*process, error) {
	zone := toucanzone.Name(s.Zone)
	p := &process{
		settings: s,
		log:      log,
		tracer:   tracers.Tracer("toucanstair"),
		drainer:  &toucandrain.Drainer{Linger: s.Linger, Grace: s.Grace, Log: log},
	}
	p.frontend = &toucanfrontend.Frontend{Zone: zone, Drainer: p.drainer, MaxInFlight: s.MaxInFlight, Log: log, Tracer: p.tracer}
	p.opsServer = &toucanops.Server{Zone: zone, Drainer: p.drainer, Pprof: s.Pprof, Log: log}
	p.drainer.CloseListener = p.frontend.Shutdown

	var config net.ListenConfig
	for _, l := range []struct {
		flag, address string
		to            *net.Listener
	}{{"callers", s.CallerAddress, &p.callerListener}, {"peers", s.PeerAddress, &p.peerListener}, {"ops", s.OpsAddress, &p.opsListener}} {
		listener, err := config.Listen(ctx, "tcp", l.address)
		if err != nil {
			p.close()
			return nil, eris.Wrapf(err, "--%s %s", l.flag, l.address)
		}
		*l.to = listener
	}
	if s.AdvertisedAddress == "" {
		s.AdvertisedAddress = p.peerListener.Addr().String()
	}
	p.buildHost()
	return p, nil
}

// buildHost creates the components of the host and connects them to the servers and the
// drainer.
func (p *process) buildHost() {
	p.host = newHost(p.settings, p.drainer, p.log)
	p.frontend.Coordinator, p.frontend.Configuration = p.host.coordinator, p.host.syncer
	p.opsServer.CatalogSource, p.opsServer.Membership = p.host.syncer, p.host.membership
	p.opsServer.ConfigurationAge = func() time.Duration { return p.host.syncer.Status().Age }
	p.opsServer.View = viewReporter{p.host.membership}
	p.opsServer.Configuration = configurationReporter{p.host.syncer}
	p.opsServer.Rollouts = rolloutReporter{p.host.canary}
	p.opsServer.Inventory = p.host.inventory
	p.drainer.NotifyPeers, p.drainer.Leave = p.host.notifyPeers, p.host.leave
}

// report prints the actual listening addresses as one JSON line.
func (p *process) report(out io.Writer) error {
	return eris.Wrap(json.NewEncoder(out).Encode(addresses{
		Name:    p.settings.Name,
		Zone:    p.settings.Zone,
		Callers: p.callerListener.Addr().String(),
		Peers:   p.peerListener.Addr().String(),
		Ops:     p.opsListener.Addr().String(),
	}), "printing the addresses")
}

// run serves until a signal arrives and the graceful shutdown has ended, or until a
// component fails. It returns the first error.
func (p *process) run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callersDone := p.frontend.Serve(ctx, p.callerListener)
	opsDone := p.opsServer.Serve(ctx, p.opsListener)
	peersDone := p.host.peerServer.Run(ctx, p.peerListener)
	componentsDone, failed := p.joinComponents(p.host.start(ctx))
	gauges := newGauges(p.host)
	defer gauges.close()
	p.log.Info("serving", zap.Stringer("callers", p.callerListener.Addr()), zap.Stringer("peers", p.peerListener.Addr()), zap.Stringer("ops", p.opsListener.Addr()))
	var err error
	select {
	case s := <-signals:
		p.log.Info("signal", zap.Stringer("signal", s))
		err = p.drain(ctx, signals)
	case err = <-callersDone:
		err = eris.Wrap(err, "callers' listener")
		callersDone = nil
	case err = <-opsDone:
		err = eris.Wrap(err, "operators' listener")
		opsDone = nil
	case err = <-peersDone:
		err = eris.Wrap(err, "peers' listener")
		peersDone = nil
	case err = <-failed:
	}
	cancel()
	for _, done := range []<-chan error{callersDone, opsDone, peersDone, componentsDone} {
		if done == nil {
			continue
		}
		if stopErr := <-done; stopErr != nil && err == nil {
			err = stopErr
		}
	}
	p.close()
	p.host.close()
	return err
}

// joinComponents returns a channel that receives nil when all components have ended, and
// one that receives the first error of a component.
func (p *process) joinComponents(components []<-chan error) (<-chan error, <-chan error) {
	all, failed := make(chan error, 1), make(chan error, 1)
	var group sync.WaitGroup
	for _, done := range components {
		group.Go(func() {
			if err := <-done; err != nil {
				select {
				case failed <- err:
				default:
				}
			}
		})
	}
	go func() {
		group.Wait()
		all <- nil
	}()
	return all, failed
}

// drain runs the graceful shutdown. A second signal interrupts it.
func (p *process) drain(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- p.drainer.Run(ctx) }()
	select {
	case err := <-done:
		return err
	case s := <-signals:
		p.log.Warn("second signal", zap.Stringer("signal", s))
		cancel()
		return <-done
	}
}

func (p *process) close() {
	for _, l := range []net.Listener{p.callerListener, p.peerListener, p.opsListener} {
		if l != nil {
			l.Close()
		}
	}
}
