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
	pollTime = time.Second
	pollers  = 16
	// A health request to a cold replica waits this long for its one slot.
	pollWait = 100 * time.Millisecond
)

// PollHealth reads the health of the replicas that this host is the first owner of
// and that sent no response in the last second, and closes connections to
// replicas of which it owns no slot any more. It ends with ctx and then
// reports on the channel.
func (c *Dispatcher) PollHealth(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(pollTime)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				end <- nil
				return
			case <-ticker.C:
				c.pollAll(ctx)
			}
		}
	}()
	return end
}

func (c *Dispatcher) pollAll(ctx context.Context) {
	catalog := c.Configuration.Catalog()
	if catalog == nil || !c.Membership.LeaseHeld() {
		return
	}
	var group errgroup.Group
	group.SetLimit(pollers)
	owned := make(map[string]bool)
	for _, s := range catalog.Rules().GetServices() {
		for _, r := range s.GetReplicas() {
			id := toucanreplica.ID(r.GetId())
			if toucanzone.Name(r.GetZone()) != c.Zone {
				continue
			}
			if c.connections(id, s) > 0 {
				owned[r.GetAddress()] = true
			}
			if !c.leads(id) && !c.Limiter.IsLeaderless(id) || !c.silent(id) {
				continue
			}
			group.Go(func() error {
				c.poll(ctx, id, r, s)
				return nil
			})
		}
	}
	_ = group.Wait() // the functions return nil
	c.Exchange.Retain(func(address string) bool { return owned[address] })
}

func (c *Dispatcher) silent(id toucanreplica.ID) bool {
	at, ok := c.answered.Load(id)
	return !ok || time.Since(at.(time.Time)) >= pollTime
}

// poll reads the health of one replica. A cold replica has one connection, so
// the request takes its slot; a draining one has no slots left to take.
func (c *Dispatcher) poll(ctx context.Context, id toucanreplica.ID, r *toucanpb.Replica, s *toucanpb.Service) {
	ctx, cancel := context.WithTimeout(ctx, pollTime)
	defer cancel()
	if c.leads(id) && c.Limiter.IsCold(id) && !c.Limiter.IsDraining(id) {
		wait, done := context.WithTimeout(ctx, pollWait)
		defer done()
		permit, err := c.Limiter.Acquire(wait, id)
		if err != nil {
			return
		}
		defer permit.Cancel()
	}
	reply, err := c.Exchange.Health(ctx, r.GetAddress(), c.connections(id, s))
	if err != nil {
		c.log().Debug("health not read", zap.String("replica", string(id)), zap.Error(err))
		return
	}
	c.learn(id, reply, c.Limiter.ObserveHealth)
}
