package toucanmembership

import (
	"context"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanlease"
)

// Store is what the manager needs of the platform's store.
type Store interface {
	Get(ctx context.Context, key string) (*toucanpb.Entry, error)
	List(ctx context.Context, prefix string) ([]*toucanpb.Entry, error)
	Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (uint64, error)
	Hosts(ctx context.Context) ([]*toucanpb.HostStatus, error)
}

// GossipHandler adds its part to each heartbeat and reply, and takes in the
// part that other hosts sent. The manager calls it from many goroutines.
type GossipHandler interface {
	Offer(to *toucanpb.Member, g *toucanpb.Gossip)
	Accept(from *toucanpb.Member, g *toucanpb.Gossip)
}

// Settings are what a Manager is built from. Name, Zone, Address, Store and
// Dial are required; the other fields have defaults.
type Settings struct {
	Name    string
	Zone    toucanzone.Name
	Address string // of the peer listener, ip:port

	Store          Store
	Dial           func(address string) (toucanpb.PeerClient, error)
	SeedAddresses  func() []string // peer addresses of hosts of other zones
	GossipHandlers []GossipHandler
	Log            *zap.Logger

	HeartbeatInterval time.Duration // between heartbeats to the voters; 500 ms
	LeaseTerm         time.Duration // of the lease, the same on all hosts; 3 s
	MaxLegDuration    time.Duration // longest leg; 2 s
	SuspicionTimeout  time.Duration // before a member is suspected; 2 s
	AbsenceTimeout    time.Duration // absence from the host list that counts as a promise; 30 s
	StoreReadInterval time.Duration // mean interval of store reads by the watching members; 4 s
	LeaveTimeout      time.Duration // limit of Leave; 3 s
	RandomSeed        uint64        // of random choices; random when zero
}

const (
	defaultBeat     = 500 * time.Millisecond
	defaultLeg      = 2 * time.Second
	defaultSilence  = 2 * time.Second
	defaultGone     = 30 * time.Second
	defaultReread   = 4 * time.Second
	defaultFarewell = 3 * time.Second

	callLimit  = time.Second     // of one call to a peer
	storeLimit = 2 * time.Second // of one call to the store

	// A tick that is later than this means that the process was paused, and
	// that the silence of others may be its own.
	stall = time.Second

	// Members that do not watch the store read it this seldom: 3,900 hosts make
	// 65 reads a second.
	idleReread = time.Minute

	contactEvery = time.Second      // one other zone each time
	witnessLimit = 10 * time.Second // silence after which a witness is replaced
	maxContacts  = 8                // kept for each other zone
	manyZones    = 8                // above which contacts travel on 1 of contactShare heartbeats
	contactShare = 8                // a contact for each of 37 zones arrives every 15 s at 20 heartbeats a second
	awaitedLimit = 16               // members asked for their release in one round
	retryFirst   = time.Second      // between attempts to remove a member
	ballotRounds = 4                // in which suspects of suspects' voters are polled
	writeTries   = 4                // of one removal against other view changes
	maxSuspects  = 64               // named in one reply to a vote
	retryLast    = 4 * time.Second
	peerMemory   = 10 * time.Minute // for which hosts outside of the view are remembered
	watchers     = 2
	// slowZone is the number of members from which on they beat at half the
	// rate: gRPC alone costs 2 KB/s at the full one.
	slowZone = 32
)

func (s Settings) withDefaults() Settings {
	fill := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	fill(&s.HeartbeatInterval, defaultBeat)
	fill(&s.LeaseTerm, toucanlease.DefaultTerm)
	fill(&s.MaxLegDuration, defaultLeg)
	fill(&s.SuspicionTimeout, defaultSilence)
	fill(&s.AbsenceTimeout, defaultGone)
	fill(&s.StoreReadInterval, defaultReread)
	fill(&s.LeaveTimeout, defaultFarewell)
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	if s.SeedAddresses == nil {
		s.SeedAddresses = func() []string { return nil }
	}
	return s
}
