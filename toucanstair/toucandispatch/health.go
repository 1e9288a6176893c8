package toucandispatch

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanzone"
)

const (
	pollInterval       = time.Second
	maxConcurrentPolls = 16
	// pollSlotWait is how long a health request waits for a free slot of a cold replica.
	pollSlotWait = 100 * time.Millisecond
)

// PollHealth polls the health endpoints of replicas that sent no response in the
// last second. The leader of a replica, which is the owner of its slot 0, polls it. A
// host that had an open slot of a replica (one that cold start lets it use) and no
// longer hears from the leader polls it, too. PollHealth also closes connections to
// replicas of which this host owns no slot any more. It sends nil on the channel when
// ctx ends.
func (d *Dispatcher) PollHealth(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				end <- nil
				return
			case <-ticker.C:
				d.pollReplicas(ctx)
			}
		}
	}()
	return end
}

func (d *Dispatcher) pollReplicas(ctx context.Context) {
	catalog := d.Configuration.Catalog()
	if catalog == nil || !d.Membership.LeaseHeld() {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentPolls)
	for _, s := range catalog.Rules().GetServices() {
		for _, r := range s.GetReplicas() {
			id := toucanreplica.ID(r.GetId())
			if toucanzone.Name(r.GetZone()) != d.Zone {
				continue
			}
			if !d.isLeader(id) && !d.Limiter.IsLeaderless(id) || !d.isSilent(id) {
				continue
			}
			group.Go(func() error {
				d.pollReplica(ctx, id, r, s)
				return nil
			})
		}
	}
	_ = group.Wait() // the functions return nil
	d.CloseUnowned()
}

// CloseUnowned closes the idle connections to replicas of which this host owns no slot.
// Connections in use close when their request ends. Called before the slots of an older
// view count as released, it keeps the next owner's connection to a cold replica the
// only one.
func (d *Dispatcher) CloseUnowned() {
	catalog := d.Configuration.Catalog()
	if catalog == nil {
		return
	}
	owned := make(map[string]bool)
	for _, s := range catalog.Rules().GetServices() {
		for _, r := range s.GetReplicas() {
			if toucanzone.Name(r.GetZone()) == d.Zone && d.ownsSlot(toucanreplica.ID(r.GetId()), s) {
				owned[r.GetAddress()] = true
			}
		}
	}
	d.Exchange.Retain(func(address string) bool { return owned[address] })
}

// isSilent reports whether a replica sent no response within pollInterval.
func (d *Dispatcher) isSilent(id toucanreplica.ID) bool {
	at, ok := d.lastResponse.Load(id)
	return !ok || time.Since(at.(time.Time)) >= pollInterval
}

// pollReplica polls the health of one replica. In cold start the leader takes a slot for
// the request, so that it opens no connection beside that of a leg. A draining
// replica grants no slots, so it is polled without one.
func (d *Dispatcher) pollReplica(ctx context.Context, id toucanreplica.ID, r *toucanpb.Replica, s *toucanpb.Service) {
	ctx, cancel := context.WithTimeout(ctx, pollInterval)
	defer cancel()
	if d.isLeader(id) && d.Limiter.IsCold(id) && !d.Limiter.IsDraining(id) {
		slotCtx, cancelSlot := context.WithTimeout(ctx, pollSlotWait)
		defer cancelSlot()
		permit, err := d.Limiter.Acquire(slotCtx, id)
		if err != nil {
			return
		}
		defer permit.Cancel()
	}
	reply, err := d.Exchange.Health(ctx, r.GetAddress(), maxConnections(s))
	if err != nil {
		d.log().Debug("health not read", zap.String("replica", string(id)), zap.Error(err))
		return
	}
	d.recordHeaders(id, reply, d.Limiter.ObserveHealth)
}
