package toucancommand

import (
	"context"
	"sync"
	"time"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanmembership"
)

// Limits of the announcements: their queue, the calls in parallel and the duration of a
// call.
const (
	maxQueuedAnnouncements = 1024
	announceWorkers        = 4
	announceTimeout        = time.Second
)

// announcer sends slot openings to the hosts that own the slots without waiting for the
// next heartbeat. Openings that do not fit into the queue are sent with that heartbeat.
type announcer struct {
	dial       func(address string) (toucanpb.PeerClient, error)
	membership *toucanmembership.Manager
	queue      chan announcement
}

// announcement holds the slot openings for one host.
type announcement struct {
	to       *toucanpb.Member
	openings []*toucanpb.Opening
}

func newAnnouncer(dial func(address string) (toucanpb.PeerClient, error)) *announcer {
	return &announcer{dial: dial, queue: make(chan announcement, maxQueuedAnnouncements)}
}

// announce queues openings for a host and does not block.
func (a *announcer) announce(to *toucanpb.Member, openings []*toucanpb.Opening) {
	select {
	case a.queue <- announcement{to, openings}:
	default:
	}
}

// run sends queued openings until ctx ends and its workers have stopped; the channel then
// receives nil.
func (a *announcer) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	var workers sync.WaitGroup
	for range announceWorkers {
		workers.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case queued := <-a.queue:
					a.send(ctx, queued)
				}
			}
		})
	}
	go func() {
		workers.Wait()
		done <- nil
	}()
	return done
}

// send sends openings in a heartbeat. Failures are ignored: the owner of a slot closes it
// if it hears nothing from the leader of the replica, the owner of slot 0, for the
// duration of a lease, unless it knows that the target is not cold.
func (a *announcer) send(ctx context.Context, queued announcement) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	client, err := a.dial(queued.to.GetAddress())
	if err != nil {
		return
	}
	_, _ = client.Beat(ctx, &toucanpb.BeatRequest{
		Sender: a.membership.Self(), View: a.membership.View().Number(), Gossip: &toucanpb.Gossip{Openings: queued.openings},
	})
}
