package toucanrollout

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucantimer"
	"toucanstair.example/toucanstair/toucansource"
)

const (
	// gossipInterval is the time between two rounds during a rollout. In each round
	// the number of hosts that know a state more than doubles, so that it reaches all
	// hosts of a few zones well within the 5 s that the operators require.
	gossipInterval = 500 * time.Millisecond
	// gossipPeers is the number of hosts that a host contacts in a round.
	gossipPeers = 2
	// gossipTimeout bounds one round.
	gossipTimeout = time.Second
)

// Run evaluates the rollouts and exchanges evidence with other hosts until ctx ends.
// The channel then delivers nil.
func (mgr *Manager) Run(ctx context.Context) <-chan error {
	mgr.init()
	done := make(chan error, 1)
	canaryDone := mgr.canary.Run(ctx)
	go func() {
		for toucantimer.Wait(ctx, gossipInterval) {
			if rollouts := mgr.rollouts.Load(); rollouts != nil && len(*rollouts) > 0 {
				mgr.gossipRound(ctx)
			}
		}
		done <- <-canaryDone
	}()
	return done
}

// gossipRound exchanges evidence with gossipPeers random hosts. Failures are logged.
func (mgr *Manager) gossipRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	peers := mgr.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	results := make(chan error, gossipPeers)
	contacted := 0
	for _, p := range peers {
		if p.ID == mgr.Self.ID || p.Address == "" || contacted == gossipPeers {
			continue
		}
		contacted++
		go func() { results <- mgr.gossipWith(ctx, p) }()
	}
	for range contacted {
		if err := <-results; err != nil {
			mgr.Log.Info("evidence not exchanged", zap.Error(err))
		}
	}
}

// gossipWith exchanges states and evidence with a peer.
func (mgr *Manager) gossipWith(ctx context.Context, p toucansource.Peer) error {
	to := &toucanpb.Member{Id: string(p.ID), Zone: string(p.Zone)}
	g := &toucanpb.Gossip{}
	mgr.canary.Offer(to, g)
	reply, err := mgr.Gossip.Beat(ctx, p.Address, &toucanpb.BeatRequest{Sender: mgr.member(), Gossip: g})
	if err != nil {
		return err
	}
	mgr.canary.Accept(reply.GetSender(), reply.GetGossip())
	return nil
}

// Beat handles the heartbeat of another host. Its error is always nil.
func (mgr *Manager) Beat(_ context.Context, q *toucanpb.BeatRequest) (*toucanpb.BeatReply, error) {
	mgr.init()
	mgr.canary.Accept(q.GetSender(), q.GetGossip())
	g := &toucanpb.Gossip{}
	mgr.canary.Offer(q.GetSender(), g)
	return &toucanpb.BeatReply{Sender: mgr.member(), Gossip: g}, nil
}

func (mgr *Manager) member() *toucanpb.Member {
	return &toucanpb.Member{Id: string(mgr.Self.ID), Zone: string(mgr.Self.Zone)}
}
