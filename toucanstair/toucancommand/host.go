package toucancommand

import (
	"context"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanstorage"
	"toucanstair.example/core/toucantimer"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucancanary"
	"toucanstair.example/toucanstair/toucancatalog"
	"toucanstair.example/toucanstair/toucanclaim"
	"toucanstair.example/toucanstair/toucanconfig"
	"toucanstair.example/toucanstair/toucandispatch"
	"toucanstair.example/toucanstair/toucandrain"
	"toucanstair.example/toucanstair/toucanexchange"
	"toucanstair.example/toucanstair/toucanhedge"
	"toucanstair.example/toucanstair/toucaninventory"
	"toucanstair.example/toucanstair/toucanmembership"
	"toucanstair.example/toucanstair/toucanpeer"
	"toucanstair.example/toucanstair/toucanpeerlink"
	"toucanstair.example/toucanstair/toucanquery"
	"toucanstair.example/toucanstair/toucanselector"
	"toucanstair.example/toucanstair/toucanslot"
)

// storeWatchersPerZone is how many hosts of a zone watch the store. If a single watcher
// failed, changes would be delayed; each further watcher costs the store one open watch
// call for each zone.
const storeWatchersPerZone = 2

// drainPollInterval is the interval at which a draining host checks for legs in flight.
const drainPollInterval = 20 * time.Millisecond

// host holds the components of a host other than its listeners and its servers for
// callers and operators, which process holds.
type host struct {
	zone              toucanzone.Name
	heartbeatInterval time.Duration
	log               *zap.Logger
	drainer           *toucandrain.Drainer
	store             *toucanstorage.Client
	syncer            *toucanconfig.Syncer
	membership        *toucanmembership.Manager
	inventory         *toucaninventory.Inventory
	canary            *toucancanary.Controller
	limiter           *toucanslot.Limiter
	dispatcher        *toucandispatch.Dispatcher
	claims            *toucanclaim.Registry
	peerClient        *toucanpeerlink.Client
	peerServer        *toucanpeer.Server
	announcer         *announcer
	coordinator       *toucanquery.Coordinator
	releasedView      uint64 // last view passed to releaseView, which only the limiter's goroutine calls
}

// newHost creates the components and connects them to each other; start runs them.
func newHost(s *Settings, drainer *toucandrain.Drainer, log *zap.Logger) *host {
	h := &host{zone: toucanzone.Name(s.Zone), heartbeatInterval: s.HeartbeatInterval, log: log, drainer: drainer}
	h.store = toucanstorage.NewWithSource(sourceAddress(s.SourceAddress), addressList(s.StoreAddress), log)
	h.peerClient = &toucanpeerlink.Client{SourceAddr: sourceAddress(s.SourceAddress), Log: log}
	h.syncer = &toucanconfig.Syncer{Store: h.store, IsWatcher: h.isWatcher, Pull: h.fetchFrom, Peers: h.configurationSources(s.SeedAddresses), Log: log}
	h.canary = &toucancanary.Controller{Catalog: h.syncer.Catalog, Store: h.store, IsLeader: h.isRolloutLeader, Log: log}
	h.announcer = newAnnouncer(h.dial)
	h.limiter = &toucanslot.Limiter{Configuration: h.syncer, Announce: h.announcer.announce, Log: log}
	self := &selfMembership{}
	h.inventory = toucaninventory.New(h.syncer, self)
	h.membership = toucanmembership.New(toucanmembership.Settings{
		Name: s.Name, Zone: h.zone, Address: s.AdvertisedAddress, Store: h.store, Dial: h.dial, SeedAddresses: h.seedAddresses(s.SeedAddresses),
		GossipHandlers:    []toucanmembership.GossipHandler{h.syncer, h.inventory, h.canary, h.limiter},
		HeartbeatInterval: s.HeartbeatInterval, MaxLegDuration: toucanexchange.MaxLegDuration, Log: log,
	})
	self.Manager = h.membership
	h.announcer.membership = h.membership
	h.canary.SourceID = toucanhost.ID(h.membership.Self().GetId())
	h.limiter.Membership = h.membership
	h.limiter.CurrentView = func() uint64 { return h.membership.View().Number() }
	h.limiter.OnViewReleased = h.releaseView
	h.claims = &toucanclaim.Registry{Store: h.store, WriteRate: float64(s.ClaimWriteRate), Log: log}
	h.dispatcher = &toucandispatch.Dispatcher{
		Zone: h.zone, Membership: h.membership, Configuration: h.syncer, PeerLink: h.peerClient, Limiter: h.limiter,
		Selector: newSelector(s), Budget: &toucanhedge.Budget{}, Exchange: &toucanexchange.Client{},
		Claims: h.claims, Canary: h.canary, Inventory: h.inventory, Baseline: !s.Hedge, Log: log,
	}
	h.peerServer = &toucanpeer.Server{Runner: countedRunner{h.dispatcher, drainer}, Membership: h.membership, Fetcher: h, Log: log}
	h.coordinator = &toucanquery.Coordinator{
		Zone: h.zone, Configuration: h.syncer, Inventory: h.inventory, Local: h.dispatcher, PeerLink: h.peerClient, Contacts: h.membership,
		Canary: h.canary, Claims: h.claims, Drainer: drainer, Log: log,
	}
	if s.Hedge {
		h.coordinator.Budget = &toucanhedge.Budget{}
	}
	return h
}

// selfMembership gives the inventory access to the membership, which is created after
// the inventory.
type selfMembership struct{ *toucanmembership.Manager }

func newSelector(s *Settings) *toucanselector.Selector {
	selector := &toucanselector.Selector{Seed: uint64(time.Now().UnixNano())}
	if s.SelectorPolicy == "random" {
		selector.Policy = toucanselector.PolicyRandom
	}
	return selector
}

func addressList(address string) []string {
	if address == "" {
		return nil
	}
	return []string{address}
}

// sourceAddress returns the local address of outgoing connections, or nil if the system
// chooses it.
func sourceAddress(source string) *net.TCPAddr {
	if source == "" {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(source)}
}

// releaseView reports to the other hosts that nothing is in flight on slots that this
// host lost up to a view. Its connections to their replicas are closed before.
func (h *host) releaseView(view uint64) {
	if view > h.releasedView {
		h.dispatcher.CloseUnowned()
		h.releasedView = view
	}
	h.membership.SetReleasedView(view)
}

// dial returns a client of the host at an address.
func (h *host) dial(address string) (toucanpb.PeerClient, error) {
	conn, err := h.peerClient.Conn(address)
	if err != nil {
		return nil, err
	}
	return toucanpb.NewPeerClient(conn), nil
}

// fetchFrom fetches configuration from another host.
func (h *host) fetchFrom(ctx context.Context, from *toucanpb.Member, r *toucanpb.FetchRequest) (*toucanpb.FetchReply, error) {
	client, err := h.dial(from.GetAddress())
	if err != nil {
		return nil, err
	}
	// Compression shrinks the reply for one change from 49 KB to 11 KB, because files are
	// text, although half of a toucanpb.Head consists of digests.
	return client.Fetch(ctx, r, grpc.UseCompressor(gzip.Name))
}

// Fetch serves the configuration and the zone view to peers.
func (h *host) Fetch(ctx context.Context, r *toucanpb.FetchRequest) (*toucanpb.FetchReply, error) {
	reply, err := h.syncer.Fetch(ctx, r)
	if err != nil || !r.GetView() {
		return reply, err
	}
	reply.View = h.membership.View().Proto()
	return reply, nil
}

// seedAddresses returns a function that returns the seed addresses from the settings
// and those in the configuration.
func (h *host) seedAddresses(fromSettings []string) func() []string {
	return func() []string {
		out := slices.Clone(fromSettings)
		if c := h.syncer.Catalog(); c != nil {
			for _, z := range c.Zones() {
				out = append(out, z.GetSeeds()...)
			}
		}
		return out
	}
}

// configurationSources returns a function that returns the hosts from which a starting
// host fetches the configuration: the other members of the zone view and the seeds.
func (h *host) configurationSources(seeds []string) func() []*toucanpb.Member {
	return func() []*toucanpb.Member {
		self := h.membership.Self().GetId()
		out := slices.DeleteFunc(slices.Clone(h.membership.View().Members()), func(m *toucanpb.Member) bool { return m.GetId() == self })
		for _, a := range seeds {
			out = append(out, &toucanpb.Member{Address: a})
		}
		return out
	}
}

// isWatcher reports whether this host watches the store for its zone. A host that has
// not joined the zone view does not, but it still loads the configuration once.
func (h *host) isWatcher() bool {
	ranked := h.membership.View().Rank("watch", string(h.zone))
	ranked = ranked[:min(storeWatchersPerZone, len(ranked))]
	self := h.membership.Self().GetId()
	return slices.ContainsFunc(ranked, func(m *toucanpb.Member) bool { return m.GetId() == self })
}

// isRolloutLeader reports whether this host controls the rollouts. The leader is the
// highest-ranked host of the zone that comes first by name among those in service. Two
// leaders at a time do no harm, because the stage is changed by compare-and-swap.
func (h *host) isRolloutLeader() bool {
	c := h.syncer.Catalog()
	if c == nil || firstZoneInService(c) != h.zone {
		return false
	}
	ranked := h.membership.View().Rank("move", string(h.zone))
	return len(ranked) > 0 && ranked[0].GetId() == h.membership.Self().GetId()
}

func firstZoneInService(c *toucancatalog.Catalog) toucanzone.Name {
	var first toucanzone.Name
	for _, z := range c.Zones() {
		if name := toucanzone.Name(z.GetName()); !z.GetOut() && (first == "" || name < first) {
			first = name
		}
	}
	return first
}

// start runs all components and returns the channels on which they report their end.
func (h *host) start(ctx context.Context) []<-chan error {
	return []<-chan error{
		h.announcer.run(ctx),
		h.membership.Run(ctx),
		h.syncer.Run(ctx),
		h.canary.Run(ctx),
		h.limiter.Run(ctx),
		h.claims.Run(ctx),
		h.dispatcher.PollHealth(ctx),
	}
}

// notifyPeers announces in heartbeats that this host is leaving, and refuses new legs
// once the peers have learned of it. These legs go to other owners of the replica.
func (h *host) notifyPeers(ctx context.Context) error {
	h.membership.SetLeaving()
	if err := sleepContext(ctx, 2*h.heartbeatInterval); err != nil {
		return err
	}
	h.dispatcher.Stop()
	return nil
}

// leave waits until no leg is in flight and removes the host from the zone view. If this
// fails because the store is down, the other hosts remove it by vote, which interrupts
// no query.
func (h *host) leave(ctx context.Context) error {
	for h.limiter.InFlight() > 0 || h.peerServer.RunningLegs() > 0 {
		if err := sleepContext(ctx, drainPollInterval); err != nil {
			return err
		}
	}
	if err := h.membership.Leave(ctx); err != nil {
		h.log.Warn("cannot leave the zone view; the other hosts will remove this host", zap.Error(err))
	}
	return nil
}

// close closes the connections to peers and targets.
func (h *host) close() {
	h.peerClient.Close()
	h.dispatcher.Exchange.Close()
}

// sleepContext waits for d while the host hands over its slots. It returns an error if
// ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) error {
	if toucantimer.Wait(ctx, d) {
		return nil
	}
	return toucanfault.Unknown(toucanpb.Code_CODE_STOPPING, "interrupted while handing over slots").Because(ctx.Err())
}

// countedRunner counts the legs in flight for peers, so that a graceful shutdown waits
// for them.
type countedRunner struct {
	dispatcher *toucandispatch.Dispatcher
	drainer    *toucandrain.Drainer
}

func (c countedRunner) Run(ctx context.Context, leg *toucanpb.Leg) *toucanpb.LegResult {
	return c.countLeg(ctx, leg, c.dispatcher.Run)
}

func (c countedRunner) Serve(ctx context.Context, leg *toucanpb.Leg) *toucanpb.LegResult {
	return c.countLeg(ctx, leg, c.dispatcher.Serve)
}

// countLeg runs a leg, or refuses it if the shutdown has ended.
func (c countedRunner) countLeg(ctx context.Context, leg *toucanpb.Leg, run func(context.Context, *toucanpb.Leg) *toucanpb.LegResult) *toucanpb.LegResult {
	if !c.drainer.BeginLeg() {
		return &toucanpb.LegResult{
			Number: leg.GetNumber(), Shard: leg.GetShard(), Index: leg.GetIndex(), Replica: leg.GetReplica(),
			Outcome: toucanpb.Outcome_OUTCOME_NOTRUN, Code: toucanpb.Code_CODE_STOPPING, Detail: "host has left",
		}
	}
	defer c.drainer.EndLeg()
	return run(ctx, leg)
}
