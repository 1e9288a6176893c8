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
	// exchangeTime is the time between two rounds while a move is on order. In each
	// round the number of hosts that know a state more than doubles, so that it is
	// with all hosts of a few zones well within the operators' 5 s.
	exchangeTime  = 500 * time.Millisecond
	exchangePeers = 2
	// exchangeLimit bounds one exchange.
	exchangeLimit = time.Second
)

// Run judges the moves and exchanges evidence with other hosts until ctx ends,
// and reports on the channel.
func (r *Manager) Run(ctx context.Context) <-chan error {
	r.init()
	end := make(chan error, 1)
	judged := r.judge.Run(ctx)
	go func() {
		for toucantimer.Wait(ctx, exchangeTime) {
			if ms := r.moves.Load(); ms != nil && len(*ms) > 0 {
				r.round(ctx)
			}
		}
		end <- <-judged
	}()
	return end
}

// round exchanges evidence with some random hosts.
func (r *Manager) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exchangeLimit)
	defer cancel()
	peers := r.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	ends := make(chan error, exchangePeers)
	asked := 0
	for _, p := range peers {
		if p.ID == r.Self.ID || p.Address == "" || asked == exchangePeers {
			continue
		}
		asked++
		go func() { ends <- r.exchange(ctx, p) }()
	}
	for range asked {
		if err := <-ends; err != nil {
			r.Log.Info("evidence not exchanged", zap.Error(err))
		}
	}
}

func (r *Manager) exchange(ctx context.Context, p toucansource.Peer) error {
	to := &toucanpb.Member{Id: string(p.ID), Zone: string(p.Zone)}
	g := &toucanpb.Gossip{}
	r.judge.Offer(to, g)
	reply, err := r.Gossip.Beat(ctx, p.Address, &toucanpb.BeatRequest{Sender: r.member(), Gossip: g})
	if err != nil {
		return err
	}
	r.judge.Accept(reply.GetSender(), reply.GetGossip())
	return nil
}

// Beat answers another host's round.
func (r *Manager) Beat(_ context.Context, q *toucanpb.BeatRequest) (*toucanpb.BeatReply, error) {
	r.init()
	r.judge.Accept(q.GetSender(), q.GetGossip())
	g := &toucanpb.Gossip{}
	r.judge.Offer(q.GetSender(), g)
	return &toucanpb.BeatReply{Sender: r.member(), Gossip: g}, nil
}

func (r *Manager) member() *toucanpb.Member {
	return &toucanpb.Member{Id: string(r.Self.ID), Zone: string(r.Self.Zone)}
}
