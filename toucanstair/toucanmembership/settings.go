package toucanmembership

import (
	"context"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanlease"
)

// Store is the part of the platform's key-value store that the manager uses. Get
// returns nil for an absent key. Put writes a key whose revision is prev, or 0 when
// the key is absent, and returns the new revision. It fails with CODE_CONFLICT when
// the key has another revision. The manager sets no store lease on its keys. Hosts
// returns the platform's host list. Errors are toucanfault.Errors.
type Store interface {
	Get(ctx context.Context, key string) (*toucanpb.Entry, error)
	List(ctx context.Context, prefix string) ([]*toucanpb.Entry, error)
	Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (uint64, error)
	Hosts(ctx context.Context) ([]*toucanpb.HostStatus, error)
}

// GossipHandler adds data to the gossip of each heartbeat and reply with Offer, and
// processes the gossip of other hosts with Accept. The manager calls both from many
// goroutines.
type GossipHandler interface {
	Offer(to *toucanpb.Member, g *toucanpb.Gossip)
	Accept(from *toucanpb.Member, g *toucanpb.Gossip)
}

// Settings configures a Manager. Name, Zone, Address, Store and Dial are required;
// the other fields have defaults, for durations the value after the semicolon.
type Settings struct {
	Name    string
	Zone    toucanzone.Name
	Address string // of the listener for peers, ip:port

	Store          Store
	Dial           func(address string) (toucanpb.PeerClient, error)
	SeedAddresses  func() []string // peer addresses of hosts of other zones
	GossipHandlers []GossipHandler
	Log            *zap.Logger

	HeartbeatInterval time.Duration // between heartbeats to the voters; 500 ms
	LeaseTerm         time.Duration // duration of the lease, the same on all hosts; 3 s
	MaxLegDuration    time.Duration // longest time that a leg runs; 2 s
	SuspicionTimeout  time.Duration // silence before a member is suspected; 2 s
	AbsenceTimeout    time.Duration // absence from the host list after which a host counts as ended; 30 s
	StoreReadInterval time.Duration // mean interval of store reads by the watching members; 4 s
	LeaveTimeout      time.Duration // longest time that Leave takes; 3 s
	RandomSeed        uint64        // of the random choices; a random one when zero
}

const (
	defaultHeartbeatInterval = 500 * time.Millisecond
	defaultMaxLegDuration    = 2 * time.Second
	defaultSuspicionTimeout  = 2 * time.Second
	defaultAbsenceTimeout    = 30 * time.Second
	defaultStoreReadInterval = 4 * time.Second
	defaultLeaveTimeout      = 3 * time.Second

	callTimeout  = time.Second     // of one call to a peer
	storeTimeout = 2 * time.Second // of one call to the store

	// maxTickDelay is how late a tick may be. A later one means that the process
	// was paused, so that other hosts may have seemed silent only because of that.
	maxTickDelay = time.Second

	// idleReadInterval is the mean interval of store reads by members that do not
	// watch the store; 3,900 hosts make 65 reads a second.
	idleReadInterval = time.Minute

	contactInterval         = time.Second      // between heartbeats to other zones, to one zone each time
	witnessTimeout          = 10 * time.Second // silence after which a witness is replaced
	maxContacts             = 8                // for each other zone
	contactSamplingMinZones = 8                // with more zones, only 1 of contactSamplingRate heartbeats carries a contact
	contactSamplingRate     = 8                // at 20 heartbeats a second and 37 zones, a contact of each zone arrives every 15 s
	maxAwaitedPerRound      = 16               // members asked for their released view in one round of heartbeats
	minRemovalBackoff       = time.Second      // first backoff between attempts to remove a member; it doubles after each
	maxPollRounds           = 4                // rounds of polling that follow the suspects named by voters
	maxWriteAttempts        = 4                // of one removal, when other view changes conflict with it
	maxSuspects             = 64               // named in one reply to a vote
	maxRemovalBackoff       = 4 * time.Second  // largest backoff between attempts to remove a member
	peerRetention           = 10 * time.Minute // of the records of hosts outside of the view
	storeWatcherCount       = 2                // members of a zone that watch the store
	// halfRateZoneSize is the number of members from which on they send heartbeats
	// at half the rate: gRPC alone costs 2 KB/s at the full rate.
	halfRateZoneSize = 32
)

func (s Settings) withDefaults() Settings {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setDefault(&s.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&s.LeaseTerm, toucanlease.DefaultTerm)
	setDefault(&s.MaxLegDuration, defaultMaxLegDuration)
	setDefault(&s.SuspicionTimeout, defaultSuspicionTimeout)
	setDefault(&s.AbsenceTimeout, defaultAbsenceTimeout)
	setDefault(&s.StoreReadInterval, defaultStoreReadInterval)
	setDefault(&s.LeaveTimeout, defaultLeaveTimeout)
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	if s.SeedAddresses == nil {
		s.SeedAddresses = func() []string { return nil }
	}
	return s
}
