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

// process holds the parts of a running host. Without a configuration and a
// lease the host is not ready and refuses queries.
type process struct {
	settings *Settings
	log      *zap.Logger
	tracer   trace.Tracer

	callers, peers, ops net.Listener

	drainer  *toucandrain.Drainer
	frontend *toucanfrontend.Frontend
	server   *toucanops.Server
	node     *node
}

// addresses is the line that --report prints.
type addresses struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Ops     string `json:"ops"`
}

// open makes the parts and opens the listeners; nothing is served yet.
func open(ctx context.Context, s *Settings, log *zap.Logger, tracers trace.TracerProvider) (*process, error) {
	zone := toucanzone.Name(s.Zone)
	p := &process{
		settings: s,
		log:      log,
		tracer:   tracers.Tracer("toucanstair"),
		drainer:  &toucandrain.Drainer{Linger: s.Linger, Grace: s.Grace, Log: log},
	}
	p.frontend = &toucanfrontend.Frontend{Zone: zone, Drainer: p.drainer, MaxInFlight: s.MaxInFlight, Log: log, Tracer: p.tracer}
	p.server = &toucanops.Server{Zone: zone, Drainer: p.drainer, Pprof: s.Pprof, Log: log}
	p.drainer.CloseListener = p.frontend.Shutdown

	var config net.ListenConfig
	for _, l := range []struct {
		flag, address string
		to            *net.Listener
	}{{"callers", s.CallerAddress, &p.callers}, {"peers", s.PeerAddress, &p.peers}, {"ops", s.OpsAddress, &p.ops}} {
		opened, err := config.Listen(ctx, "tcp", l.address)
		if err != nil {
			p.close()
			return nil, eris.Wrapf(err, "--%s %s", l.flag, l.address)
		}
		*l.to = opened
	}
	if s.AdvertisedAddress == "" {
		s.AdvertisedAddress = p.peers.Addr().String()
	}
	p.connect()
	return p, nil
}

// connect builds the node and gives it to the listeners.
func (p *process) connect() {
	p.node = newNode(p.settings, p.drainer, p.log)
	p.frontend.Coordinator, p.frontend.Configuration = p.node.coordinator, p.node.keeper
	p.server.CatalogSource, p.server.Membership = p.node.keeper, p.node.members
	p.server.ConfigurationAge = func() time.Duration { return p.node.keeper.Status().Age }
	p.server.View = membership{p.node.members}
	p.server.Configuration = configuration{p.node.keeper}
	p.server.Rollouts = moves{p.node.judge}
	p.server.Inventory = p.node.inventory
	p.drainer.NotifyPeers, p.drainer.Leave = p.node.tell, p.node.leave
}

// report prints the actual listening addresses as one JSON line.
func (p *process) report(out io.Writer) error {
	return eris.Wrap(json.NewEncoder(out).Encode(addresses{
		Name:    p.settings.Name,
		Zone:    p.settings.Zone,
		Callers: p.callers.Addr().String(),
		Peers:   p.peers.Addr().String(),
		Ops:     p.ops.Addr().String(),
	}), "printing the addresses")
}

// run serves until a signal comes and the shutdown has ended, or a part fails.
func (p *process) run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callers := p.frontend.Serve(ctx, p.callers)
	ops := p.server.Serve(ctx, p.ops)
	peers := p.node.peers.Run(ctx, p.peers)
	parts, failed := p.watch(p.node.start(ctx))
	gauges := newGauges(p.node)
	defer gauges.close()
	p.log.Info("serving", zap.Stringer("callers", p.callers.Addr()), zap.Stringer("peers", p.peers.Addr()), zap.Stringer("ops", p.ops.Addr()))
	var err error
	select {
	case s := <-signals:
		p.log.Info("signal", zap.Stringer("signal", s))
		err = p.drain(ctx, signals)
	case err = <-callers:
		err = eris.Wrap(err, "callers' listener")
		callers = nil
	case err = <-ops:
		err = eris.Wrap(err, "operators' listener")
		ops = nil
	case err = <-peers:
		err = eris.Wrap(err, "peers' listener")
		peers = nil
	case err = <-failed:
	}
	cancel()
	for _, end := range []<-chan error{callers, ops, peers, parts} {
		if end == nil {
			continue
		}
		if late := <-end; late != nil && err == nil {
			err = late
		}
	}
	p.close()
	p.node.close()
	return err
}

// watch joins the ends of the parts: the first channel reports when all have
// ended, the second the first failure.
func (p *process) watch(ends []<-chan error) (<-chan error, <-chan error) {
	all, failed := make(chan error, 1), make(chan error, 1)
	var group sync.WaitGroup
	for _, end := range ends {
		group.Go(func() {
			if err := <-end; err != nil {
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

// drain runs the graceful shutdown; a second signal ends it.
func (p *process) drain(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	end := make(chan error, 1)
	go func() { end <- p.drainer.Run(ctx) }()
	select {
	case err := <-end:
		return err
	case s := <-signals:
		p.log.Warn("second signal", zap.Stringer("signal", s))
		cancel()
		return <-end
	}
}

func (p *process) close() {
	for _, l := range []net.Listener{p.callers, p.peers, p.ops} {
		if l != nil {
			l.Close()
		}
	}
}
