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

// node holds the components of a host.
type node struct {
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
}

// newNode creates the components and connects them to each other; start runs them.
func newNode(s *Settings, drainer *toucandrain.Drainer, log *zap.Logger) *node {
	n := &node{zone: toucanzone.Name(s.Zone), heartbeatInterval: s.HeartbeatInterval, log: log, drainer: drainer}
	n.store = toucanstorage.NewWithSource(sourceAddress(s.SourceAddress), addressList(s.StoreAddress), log)
	n.peerClient = &toucanpeerlink.Client{SourceAddr: sourceAddress(s.SourceAddress), Log: log}
	n.syncer = &toucanconfig.Syncer{Store: n.store, IsWatcher: n.isWatcher, Pull: n.fetchFrom, Peers: n.configurationSources(s.SeedAddresses), Log: log}
	n.canary = &toucancanary.Controller{Catalog: n.syncer.Catalog, Store: n.store, IsLeader: n.isRolloutLeader, Log: log}
	n.announcer = newAnnouncer(n.dial)
	n.limiter = &toucanslot.Limiter{Configuration: n.syncer, Announce: n.announcer.announce, Log: log}
	self := &selfMembership{}
	n.inventory = toucaninventory.New(n.syncer, self)
	n.membership = toucanmembership.New(toucanmembership.Settings{
		Name: s.Name, Zone: n.zone, Address: s.AdvertisedAddress, Store: n.store, Dial: n.dial, SeedAddresses: n.seedAddresses(s.SeedAddresses),
		GossipHandlers:    []toucanmembership.GossipHandler{n.syncer, n.inventory, n.canary, n.limiter},
		HeartbeatInterval: s.HeartbeatInterval, MaxLegDuration: toucanexchange.MaxLegDuration, Log: log,
	})
	self.Manager = n.membership
	n.announcer.membership = n.membership
	n.canary.SourceID = toucanhost.ID(n.membership.Self().GetId())
	n.limiter.Membership = n.membership
	n.limiter.CurrentView = func() uint64 { return n.membership.View().Number() }
	n.limiter.OnViewReleased = n.membership.SetReleasedView
	n.claims = &toucanclaim.Registry{Store: n.store, WriteRate: float64(s.ClaimWriteRate), Log: log}
	n.dispatcher = &toucandispatch.Dispatcher{
		Zone: n.zone, Membership: n.membership, Configuration: n.syncer, PeerLink: n.peerClient, Limiter: n.limiter,
		Selector: newSelector(s), Budget: &toucanhedge.Budget{}, Exchange: &toucanexchange.Client{},
		Claims: n.claims, Canary: n.canary, Inventory: n.inventory, Baseline: !s.Hedge, Log: log,
	}
	n.peerServer = &toucanpeer.Server{Runner: countedRunner{n.dispatcher, drainer}, Membership: n.membership, Fetcher: n}
	n.coordinator = &toucanquery.Coordinator{
		Zone: n.zone, Configuration: n.syncer, Inventory: n.inventory, Local: n.dispatcher, PeerLink: n.peerClient, Contacts: n.membership,
		Canary: n.canary, Claims: n.claims, Drainer: drainer, Log: log,
	}
	if s.Hedge {
		n.coordinator.Budget = &toucanhedge.Budget{}
	}
	return n
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

// dial returns a client of the host at an address.
func (n *node) dial(address string) (toucanpb.PeerClient, error) {
	conn, err := n.peerClient.Conn(address)
	if err != nil {
		return nil, err
	}
	return toucanpb.NewPeerClient(conn), nil
}

// fetchFrom fetches configuration from another host.
func (n *node) fetchFrom(ctx context.Context, from *toucanpb.Member, r *toucanpb.FetchRequest) (*toucanpb.FetchReply, error) {
	client, err := n.dial(from.GetAddress())
	if err != nil {
		return nil, err
	}
	// The reply compresses well although half of a head consists of digests, because
	// files are text: 49 KB of one change become 11 KB.
	return client.Fetch(ctx, r, grpc.UseCompressor(gzip.Name))
}

// Fetch serves the configuration and the zone view to peers.
func (n *node) Fetch(ctx context.Context, r *toucanpb.FetchRequest) (*toucanpb.FetchReply, error) {
	reply, err := n.syncer.Fetch(ctx, r)
	if err != nil || !r.GetView() {
		return reply, err
	}
	reply.View = n.membership.View().Proto()
	return reply, nil
}

// seedAddresses returns a function that returns the seed addresses from the settings
// and those in the configuration.
func (n *node) seedAddresses(configured []string) func() []string {
	return func() []string {
		out := slices.Clone(configured)
		if c := n.syncer.Catalog(); c != nil {
			for _, z := range c.Zones() {
				out = append(out, z.GetSeeds()...)
			}
		}
		return out
	}
}

// configurationSources returns a function that returns the hosts from which a starting
// host fetches the configuration: the other members of the zone view and the seeds.
func (n *node) configurationSources(seeds []string) func() []*toucanpb.Member {
	return func() []*toucanpb.Member {
		self := n.membership.Self().GetId()
		out := slices.DeleteFunc(slices.Clone(n.membership.View().Members()), func(m *toucanpb.Member) bool { return m.GetId() == self })
		for _, a := range seeds {
			out = append(out, &toucanpb.Member{Address: a})
		}
		return out
	}
}

// isWatcher reports whether this host watches the store for its zone. A host that has
// not joined the zone view does not, but it still loads the configuration once.
func (n *node) isWatcher() bool {
	ranked := n.membership.View().Rank("watch", string(n.zone))
	ranked = ranked[:min(storeWatchersPerZone, len(ranked))]
	self := n.membership.Self().GetId()
	return slices.ContainsFunc(ranked, func(m *toucanpb.Member) bool { return m.GetId() == self })
}

// isRolloutLeader reports whether this host controls the rollouts. The leader is the
// highest-ranked host of the zone that comes first by name among those in service. Two
// leaders at a time do no harm, because the stage is changed by compare-and-swap.
func (n *node) isRolloutLeader() bool {
	c := n.syncer.Catalog()
	if c == nil || firstZoneInService(c) != n.zone {
		return false
	}
	ranked := n.membership.View().Rank("move", string(n.zone))
	return len(ranked) > 0 && ranked[0].GetId() == n.membership.Self().GetId()
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
func (n *node) start(ctx context.Context) []<-chan error {
	return []<-chan error{
		n.announcer.run(ctx),
		n.membership.Run(ctx),
		n.syncer.Run(ctx),
		n.canary.Run(ctx),
		n.limiter.Run(ctx),
		n.claims.Run(ctx),
		n.dispatcher.PollHealth(ctx),
	}
}

// notifyPeers announces in heartbeats that this host is leaving, and refuses new legs
// once the peers have learned of it. These legs go to other owners of the replica.
func (n *node) notifyPeers(ctx context.Context) error {
	n.membership.SetLeaving()
	if err := sleepContext(ctx, 2*n.heartbeatInterval); err != nil {
		return err
	}
	n.dispatcher.Stop()
	return nil
}

// leave waits until no leg is in flight and removes the host from the zone view. If this
// fails because the store is down, the other hosts remove it by vote, which interrupts
// no query.
func (n *node) leave(ctx context.Context) error {
	for n.limiter.InFlight() > 0 || n.peerServer.RunningLegs() > 0 {
		if err := sleepContext(ctx, drainPollInterval); err != nil {
			return err
		}
	}
	if err := n.membership.Leave(ctx); err != nil {
		n.log.Warn("cannot leave the zone view; the other hosts will remove this host", zap.Error(err))
	}
	return nil
}

// close closes the connections to peers and targets.
func (n *node) close() {
	n.peerClient.Close()
	n.dispatcher.Exchange.Close()
}

// sleepContext waits for d. It returns an error if ctx ends before.
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
