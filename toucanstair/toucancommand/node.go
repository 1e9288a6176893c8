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

// storeWatchers is how many hosts of a zone watch the store. One would delay
// changes when it fails; each further one costs a waiting call for each zone.
const storeWatchers = 2

// drainPoll is the interval at which a leaving host looks for legs in flight.
const drainPoll = 20 * time.Millisecond

// node holds the connected parts of a host.
type node struct {
	zone        toucanzone.Name
	beat        time.Duration
	log         *zap.Logger
	drainer     *toucandrain.Drainer
	store       *toucanstorage.Client
	keeper      *toucanconfig.Syncer
	members     *toucanmembership.Manager
	inventory   *toucaninventory.Inventory
	judge       *toucancanary.Controller
	table       *toucanslot.Limiter
	cell        *toucandispatch.Dispatcher
	claims      *toucanclaim.Registry
	link        *toucanpeerlink.Client
	peers       *toucanpeer.Server
	announcer   *announcer
	coordinator *toucanquery.Coordinator
}

// newNode connects the parts; start makes them work.
func newNode(s *Settings, drainer *toucandrain.Drainer, log *zap.Logger) *node {
	n := &node{zone: toucanzone.Name(s.Zone), beat: s.HeartbeatInterval, log: log, drainer: drainer}
	n.store = toucanstorage.NewFrom(sourceAddress(s.SourceAddress), addressList(s.StoreAddress), log)
	n.link = &toucanpeerlink.Client{SourceAddr: sourceAddress(s.SourceAddress), Log: log}
	n.keeper = &toucanconfig.Syncer{Store: n.store, IsWatcher: n.isWatcher, Pull: n.pull, Peers: n.knownHosts(s.SeedAddresses), Log: log}
	n.judge = &toucancanary.Controller{Catalog: n.keeper.Catalog, Store: n.store, IsLeader: n.isMoveLeader, Log: log}
	n.announcer = newAnnouncer(n.dial)
	n.table = &toucanslot.Limiter{Configuration: n.keeper, Announce: n.announcer.announce, Log: log}
	identity := &identity{}
	n.inventory = toucaninventory.New(n.keeper, identity)
	n.members = toucanmembership.New(toucanmembership.Settings{
		Name: s.Name, Zone: n.zone, Address: s.AdvertisedAddress, Store: n.store, Dial: n.dial, SeedAddresses: n.seeds(s.SeedAddresses),
		GossipHandlers:    []toucanmembership.GossipHandler{n.keeper, n.inventory, n.judge, n.table},
		HeartbeatInterval: s.HeartbeatInterval, MaxLegDuration: toucanexchange.MaxLegDuration, Log: log,
	})
	identity.Manager = n.members
	n.announcer.self = n.members
	n.judge.SourceID = toucanhost.ID(n.members.Self().GetId())
	n.table.Membership = n.members
	n.table.CurrentView = func() uint64 { return n.members.View().Number() }
	n.table.OnViewReleased = n.members.SetReleasedView
	n.claims = &toucanclaim.Registry{Store: n.store, WriteRate: float64(s.ClaimWriteRate), Log: log}
	n.cell = &toucandispatch.Dispatcher{
		Zone: n.zone, Membership: n.members, Configuration: n.keeper, PeerLink: n.link, Limiter: n.table,
		Selector: newRouter(s), Budget: &toucanhedge.Budget{}, Exchange: &toucanexchange.Client{},
		Claims: n.claims, Canary: n.judge, Inventory: n.inventory, Baseline: !s.Hedge, Log: log,
	}
	n.peers = &toucanpeer.Server{Runner: counted{n.cell, drainer}, Membership: n.members, Fetcher: n}
	n.coordinator = &toucanquery.Coordinator{
		Zone: n.zone, Configuration: n.keeper, Inventory: n.inventory, Local: n.cell, PeerLink: n.link, Contacts: n.members,
		Canary: n.judge, Claims: n.claims, Drainer: drainer, Log: log,
	}
	if s.Hedge {
		n.coordinator.Budget = &toucanhedge.Budget{}
	}
	return n
}

// identity gives the inventory this host's member, which is built after it.
type identity struct{ *toucanmembership.Manager }

func newRouter(s *Settings) *toucanselector.Selector {
	r := &toucanselector.Selector{Seed: uint64(time.Now().UnixNano())}
	if s.SelectorPolicy == "random" {
		r.Policy = toucanselector.PolicyRandom
	}
	return r
}

func addressList(address string) []string {
	if address == "" {
		return nil
	}
	return []string{address}
}

// sourceAddress returns nil when the system chooses the source address.
func sourceAddress(source string) *net.TCPAddr {
	if source == "" {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(source)}
}

func (n *node) dial(address string) (toucanpb.PeerClient, error) {
	c, err := n.link.Conn(address)
	if err != nil {
		return nil, err
	}
	return toucanpb.NewPeerClient(c), nil
}

func (n *node) pull(ctx context.Context, from *toucanpb.Member, r *toucanpb.FetchRequest) (*toucanpb.FetchReply, error) {
	c, err := n.dial(from.GetAddress())
	if err != nil {
		return nil, err
	}
	// A head is half digests, and a file is text: 49 KB of one change become 11 KB.
	return c.Fetch(ctx, r, grpc.UseCompressor(gzip.Name))
}

// Fetch serves the configuration and the zone view to peers.
func (n *node) Fetch(ctx context.Context, r *toucanpb.FetchRequest) (*toucanpb.FetchReply, error) {
	reply, err := n.keeper.Fetch(ctx, r)
	if err != nil || !r.GetView() {
		return reply, err
	}
	reply.View = n.members.View().Proto()
	return reply, nil
}

// seeds returns the hosts given in the settings and those in the configuration.
func (n *node) seeds(given []string) func() []string {
	return func() []string {
		out := slices.Clone(given)
		if c := n.keeper.Catalog(); c != nil {
			for _, z := range c.Zones() {
				out = append(out, z.GetSeeds()...)
			}
		}
		return out
	}
}

// knownHosts returns the hosts that a fresh host asks for the configuration.
func (n *node) knownHosts(given []string) func() []*toucanpb.Member {
	return func() []*toucanpb.Member {
		self := n.members.Self().GetId()
		out := slices.DeleteFunc(slices.Clone(n.members.View().Members()), func(m *toucanpb.Member) bool { return m.GetId() == self })
		for _, a := range given {
			out = append(out, &toucanpb.Member{Address: a})
		}
		return out
	}
}

// isWatcher reports whether this host watches the store for its zone. A host
// that is not a member yet does not; its first read does not depend on this.
func (n *node) isWatcher() bool {
	ranked := n.members.View().Rank("watch", string(n.zone))
	ranked = ranked[:min(storeWatchers, len(ranked))]
	self := n.members.Self().GetId()
	return slices.ContainsFunc(ranked, func(m *toucanpb.Member) bool { return m.GetId() == self })
}

// isMoveLeader reports whether this host is the first ranked one of the first
// zone in name order that is in service. The compare-and-swap of the stage
// makes a second leader harmless.
func (n *node) isMoveLeader() bool {
	c := n.keeper.Catalog()
	if c == nil || firstInService(c) != n.zone {
		return false
	}
	ranked := n.members.View().Rank("move", string(n.zone))
	return len(ranked) > 0 && ranked[0].GetId() == n.members.Self().GetId()
}

func firstInService(c *toucancatalog.Catalog) toucanzone.Name {
	var first toucanzone.Name
	for _, z := range c.Zones() {
		if name := toucanzone.Name(z.GetName()); !z.GetOut() && (first == "" || name < first) {
			first = name
		}
	}
	return first
}

// start starts all parts and returns the channels on which they report their end.
func (n *node) start(ctx context.Context) []<-chan error {
	return []<-chan error{
		n.announcer.run(ctx),
		n.members.Run(ctx),
		n.keeper.Run(ctx),
		n.judge.Run(ctx),
		n.table.Run(ctx),
		n.claims.Run(ctx),
		n.cell.PollHealth(ctx),
	}
}

// tell lets the peers learn that this host leaves, and then refuses their new
// legs; those go to the other owners of the replica.
func (n *node) tell(ctx context.Context) error {
	n.members.SetLeaving()
	if err := wait(ctx, 2*n.beat); err != nil {
		return err
	}
	n.cell.Stop()
	return nil
}

// leave removes the host from the zone view when nothing is in flight. The
// store may be down; then the others remove the host by vote, which interrupts
// nothing.
func (n *node) leave(ctx context.Context) error {
	for n.table.InFlight() > 0 || n.peers.RunningLegs() > 0 {
		if err := wait(ctx, drainPoll); err != nil {
			return err
		}
	}
	if err := n.members.Leave(ctx); err != nil {
		n.log.Warn("the zone view still names this host", zap.Error(err))
	}
	return nil
}

func (n *node) close() {
	n.link.Close()
	n.cell.Exchange.Close()
}

func wait(ctx context.Context, d time.Duration) error {
	if toucantimer.Wait(ctx, d) {
		return nil
	}
	return toucanfault.Unknown(toucanpb.Code_CODE_STOPPING, "interrupted while handing slots over").Because(ctx.Err())
}

// counted counts the legs that run for peers, so that a shutdown waits for them.
type counted struct {
	cell    *toucandispatch.Dispatcher
	drainer *toucandrain.Drainer
}

func (c counted) Run(ctx context.Context, leg *toucanpb.Leg) *toucanpb.LegResult {
	return c.count(ctx, leg, c.cell.Run)
}

func (c counted) Serve(ctx context.Context, leg *toucanpb.Leg) *toucanpb.LegResult {
	return c.count(ctx, leg, c.cell.Serve)
}

func (c counted) count(ctx context.Context, leg *toucanpb.Leg, run func(context.Context, *toucanpb.Leg) *toucanpb.LegResult) *toucanpb.LegResult {
	if !c.drainer.BeginLeg() {
		return &toucanpb.LegResult{
			Number: leg.GetNumber(), Shard: leg.GetShard(), Index: leg.GetIndex(), Replica: leg.GetReplica(),
			Outcome: toucanpb.Outcome_OUTCOME_NOTRUN, Code: toucanpb.Code_CODE_STOPPING, Detail: "host has left",
		}
	}
	defer c.drainer.EndLeg()
	return run(ctx, leg)
}
