// Package toucandrain runs the graceful shutdown of a process that answers
// queries. The shutdown of a host that forwards requests is in toucanserver.
package toucandrain

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
)

// Phases of a shutdown, in order.
const (
	serving   int32 = iota
	lingering       // readiness fails, queries are still accepted
	refusing        // new queries are refused, the running ones finish
	leaving         // peers are notified, their legs finish
	stopped         // legs are refused
)

var phaseNames = [...]string{"serving", "lingering", "refusing", "leaving", "stopped"}

// Drainer counts the queries and legs in flight and runs the graceful shutdown.
// The exported fields are set before use. The zero value accepts queries and legs.
type Drainer struct {
	Linger time.Duration // time for the load balancer to notice that readiness fails
	Grace  time.Duration // limit for the whole shutdown; 0 means none
	Log    *zap.Logger   // may be nil

	// CloseListener closes the callers' listener once no query runs. May be nil.
	CloseListener func(context.Context) error
	// NotifyPeers asks the peers to send no new legs. If it is set, the legs in
	// flight finish before Leave is called. If it is nil, Leave has to notify the
	// peers.
	NotifyPeers func(context.Context) error
	// Leave releases the slots and leaves the zone view. May be nil.
	Leave func(context.Context) error

	phase      atomic.Int32
	queries    atomic.Int64
	legs       atomic.Int64
	signalOnce sync.Once     // creates idle
	idle       chan struct{} // wakes Run when a count has reached 0
}

// BeginQuery counts a query, or returns false if new queries are refused. Each
// true result needs one EndQuery.
func (d *Drainer) BeginQuery() bool { return d.begin(&d.queries, refusing) }

// EndQuery counts the end of a query.
func (d *Drainer) EndQuery() { d.end(&d.queries) }

// BeginLeg counts a leg, or returns false if the shutdown has ended. Each true
// result needs one EndLeg.
func (d *Drainer) BeginLeg() bool { return d.begin(&d.legs, stopped) }

// EndLeg counts the end of a leg.
func (d *Drainer) EndLeg() { d.end(&d.legs) }

// Stopping reports whether a shutdown has started.
func (d *Drainer) Stopping() bool { return d.phase.Load() >= lingering }

// Phase returns the name of the current phase.
func (d *Drainer) Phase() string { return phaseNames[d.phase.Load()] }

// Queries returns the number of queries in flight.
func (d *Drainer) Queries() int64 { return d.queries.Load() }

// Legs returns the number of legs in flight.
func (d *Drainer) Legs() int64 { return d.legs.Load() }

// begin increments the count before it reads the phase, and Run sets the phase
// before it reads the count. So either the request sees the new phase or Run
// sees the request.
func (d *Drainer) begin(count *atomic.Int64, refusedFrom int32) bool {
	count.Add(1)
	if d.phase.Load() < refusedFrom {
		return true
	}
	d.end(count)
	return false
}

func (d *Drainer) end(count *atomic.Int64) {
	if count.Add(-1) == 0 && d.Stopping() {
		select {
		case d.idleSignal() <- struct{}{}:
		default:
		}
	}
}

func (d *Drainer) idleSignal() chan struct{} {
	d.signalOnce.Do(func() { d.idle = make(chan struct{}, 1) })
	return d.idle
}

// Run runs the shutdown and returns nil if nothing was interrupted. The end of ctx
// (a second signal) or the grace limit ends it early. It then returns a
// toucanfault.Error with the number of interrupted queries and legs. If a step
// fails, it returns a toucanfault.Error with that step.
func (d *Drainer) Run(ctx context.Context) error {
	if d.Grace > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Grace)
		defer cancel()
	}
	d.setPhase(lingering)
	linger := time.NewTimer(d.Linger)
	defer linger.Stop()
	select {
	case <-linger.C:
	case <-ctx.Done():
		return d.abort(ctx)
	}
	d.setPhase(refusing)
	if !d.waitZero(ctx, &d.queries) {
		return d.abort(ctx)
	}
	if err := callOptional(ctx, d.CloseListener); err != nil {
		return d.failStep(ctx, "closing the callers' listener", err)
	}
	d.setPhase(leaving)
	if d.NotifyPeers != nil {
		if err := d.NotifyPeers(ctx); err != nil {
			return d.failStep(ctx, "notifying the peers", err)
		}
		if !d.waitZero(ctx, &d.legs) {
			return d.abort(ctx)
		}
	}
	if err := callOptional(ctx, d.Leave); err != nil {
		return d.failStep(ctx, "leaving the zone view", err)
	}
	if !d.waitZero(ctx, &d.legs) {
		return d.abort(ctx)
	}
	d.setPhase(stopped)
	// A leg may have begun just before the phase was set.
	if !d.waitZero(ctx, &d.legs) {
		return d.abort(ctx)
	}
	return nil
}

func (d *Drainer) setPhase(phase int32) {
	d.phase.Store(phase)
	d.log().Info("shutdown", zap.String("phase", phaseNames[phase]),
		zap.Int64("queries", d.Queries()), zap.Int64("legs", d.Legs()))
}

func (d *Drainer) waitZero(ctx context.Context, count *atomic.Int64) bool {
	for count.Load() > 0 {
		select {
		case <-d.idleSignal():
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (d *Drainer) abort(ctx context.Context) error {
	phase := d.Phase()
	queries, legs := d.Queries(), d.Legs()
	d.phase.Store(stopped)
	cause := "second signal"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		cause = "grace limit"
	}
	d.log().Error("shutdown interrupted", zap.String("phase", phase), zap.String("cause", cause),
		zap.Int64("queries", queries), zap.Int64("legs", legs))
	return toucanfault.Unknown(toucanpb.Code_CODE_STOPPING,
		fmt.Sprintf("%s while %s: interrupted %d queries and %d legs", cause, phase, queries, legs))
}

func (d *Drainer) failStep(ctx context.Context, step string, err error) error {
	if ctx.Err() != nil {
		return d.abort(ctx)
	}
	d.phase.Store(stopped)
	d.log().Error("shutdown step failed", zap.String("step", step), zap.Error(err))
	return toucanfault.Unknown(toucanpb.Code_CODE_STOPPING, step).Because(err)
}

func (d *Drainer) log() *zap.Logger {
	if d.Log == nil {
		return zap.NewNop()
	}
	return d.Log
}

func callOptional(ctx context.Context, f func(context.Context) error) error {
	if f == nil {
		return nil
	}
	return f(ctx)
}
