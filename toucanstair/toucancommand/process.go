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

// process holds the listeners, servers and components of a host. Without a
// configuration and a lease the host is not ready and refuses queries.
type process struct {
	settings *Settings
	log      *zap.Logger
	tracer   trace.Tracer

	callerListener, peerListener, opsListener net.Listener

	drainer   *toucandrain.Drainer
	frontend  *toucanfrontend.Frontend
	opsServer *toucanops.Server
	node      *node
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
	p.buildNode()
	return p, nil
}

// buildNode creates the node and connects it to the servers and the drainer.
func (p *process) buildNode() {
	p.node = newNode(p.settings, p.drainer, p.log)
	p.frontend.Coordinator, p.frontend.Configuration = p.node.coordinator, p.node.syncer
	p.opsServer.CatalogSource, p.opsServer.Membership = p.node.syncer, p.node.membership
	p.opsServer.ConfigurationAge = func() time.Duration { return p.node.syncer.Status().Age }
	p.opsServer.View = viewReporter{p.node.membership}
	p.opsServer.Configuration = configurationReporter{p.node.syncer}
	p.opsServer.Rollouts = rolloutReporter{p.node.canary}
	p.opsServer.Inventory = p.node.inventory
	p.drainer.NotifyPeers, p.drainer.Leave = p.node.notifyPeers, p.node.leave
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
	peersDone := p.node.peerServer.Run(ctx, p.peerListener)
	partsDone, failed := p.joinParts(p.node.start(ctx))
	gauges := newGauges(p.node)
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
	for _, done := range []<-chan error{callersDone, opsDone, peersDone, partsDone} {
		if done == nil {
			continue
		}
		if stopErr := <-done; stopErr != nil && err == nil {
			err = stopErr
		}
	}
	p.close()
	p.node.close()
	return err
}

// joinParts returns a channel that receives nil when all parts have ended, and one that
// receives the first error of a part.
func (p *process) joinParts(parts []<-chan error) (<-chan error, <-chan error) {
	all, failed := make(chan error, 1), make(chan error, 1)
	var group sync.WaitGroup
	for _, done := range parts {
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
