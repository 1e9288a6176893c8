package toucancommand

import (
	"context"
	"sync"
	"time"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanmembership"
)

const (
	announceQueue   = 1024
	announceWorkers = 4
	announceTimeout = time.Second
)

// announcer sends slot openings to their owners at once, beside the heartbeats.
// What does not fit the queue goes with the next heartbeat.
type announcer struct {
	dial  func(address string) (toucanpb.PeerClient, error)
	self  *toucanmembership.Manager
	queue chan announcement
}

type announcement struct {
	to       *toucanpb.Member
	openings []*toucanpb.Opening
}

func newAnnouncer(dial func(address string) (toucanpb.PeerClient, error)) *announcer {
	return &announcer{dial: dial, queue: make(chan announcement, announceQueue)}
}

// announce queues openings and does not block.
func (a *announcer) announce(to *toucanpb.Member, openings []*toucanpb.Opening) {
	select {
	case a.queue <- announcement{to, openings}:
	default:
	}
}

// run sends until ctx ends, and then reports on the channel.
func (a *announcer) run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	var workers sync.WaitGroup
	for range announceWorkers {
		workers.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case o := <-a.queue:
					a.send(ctx, o)
				}
			}
		})
	}
	go func() {
		workers.Wait()
		end <- nil
	}()
	return end
}

// send delivers openings as a heartbeat. A failure needs no action, because
// the receiver closes its slots when it does not hear the leader for a lease.
func (a *announcer) send(ctx context.Context, o announcement) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	c, err := a.dial(o.to.GetAddress())
	if err != nil {
		return
	}
	_, _ = c.Beat(ctx, &toucanpb.BeatRequest{
		Sender: a.self.Self(), View: a.self.View().Number(), Gossip: &toucanpb.Gossip{Openings: o.openings},
	})
}
