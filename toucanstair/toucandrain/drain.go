// Package toucandrain ends the process without interrupting requests.
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
	refusing        // new queries are refused, the running ones end
	leaving         // peers are told, their legs end
	stopped         // legs are refused
)

var words = [...]string{"serving", "lingering", "refusing", "leaving", "stopped"}

// Drainer counts queries and legs in flight and runs the graceful shutdown.
// The exported fields are set before use; the zero value serves.
type Drainer struct {
	Linger time.Duration // time for the load balancer to see that readiness fails
	Grace  time.Duration // limit for the whole shutdown; 0 means none
	Log    *zap.Logger   // may be nil

	// CloseListener ends the callers' listener once no query runs. May be nil.
	CloseListener func(context.Context) error
	// NotifyPeers tells the peers to send no new legs. With it, the legs in flight end
	// before Leave; without it, Leave has to tell the peers. May be nil.
	NotifyPeers func(context.Context) error
	// Leave releases the slots and leaves the zone view. May be nil.
	Leave func(context.Context) error

	phase   atomic.Int32
	queries atomic.Int64
	legs    atomic.Int64
	once    sync.Once
	changed chan struct{}
}

// BeginQuery counts a query, or returns false when new ones are refused. Each
// true result needs one EndQuery.
func (d *Drainer) BeginQuery() bool { return d.begin(&d.queries, refusing) }

// EndQuery counts the end of a query.
func (d *Drainer) EndQuery() { d.end(&d.queries) }

// BeginLeg counts a leg, or returns false when the host has left. Each true
// result needs one EndLeg.
func (d *Drainer) BeginLeg() bool { return d.begin(&d.legs, stopped) }

// EndLeg counts the end of a leg.
func (d *Drainer) EndLeg() { d.end(&d.legs) }

// Stopping reports whether a shutdown has started.
func (d *Drainer) Stopping() bool { return d.phase.Load() >= lingering }

// Phase returns the phase as a word.
func (d *Drainer) Phase() string { return words[d.phase.Load()] }

// Queries returns the number of queries in flight.
func (d *Drainer) Queries() int64 { return d.queries.Load() }

// Legs returns the number of legs in flight.
func (d *Drainer) Legs() int64 { return d.legs.Load() }

// The count rises before the phase is read, and Run sets the phase before it
// reads the count; so either the request sees the phase or Run sees the request.
func (d *Drainer) begin(count *atomic.Int64, until int32) bool {
	count.Add(1)
	if d.phase.Load() < until {
		return true
	}
	d.end(count)
	return false
}

func (d *Drainer) end(count *atomic.Int64) {
	if count.Add(-1) == 0 && d.Stopping() {
		select {
		case d.signal() <- struct{}{}:
		default:
		}
	}
}

func (d *Drainer) signal() chan struct{} {
	d.once.Do(func() { d.changed = make(chan struct{}, 1) })
	return d.changed
}

// Run runs the shutdown and returns nil when nothing was interrupted. The end
// of ctx (a second signal) or the grace limit ends it early; it then returns a
// toucanfault.Error that says what was interrupted.
func (d *Drainer) Run(ctx context.Context) error {
	if d.Grace > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Grace)
		defer cancel()
	}
	d.enter(lingering)
	linger := time.NewTimer(d.Linger)
	defer linger.Stop()
	select {
	case <-linger.C:
	case <-ctx.Done():
		return d.interrupted(ctx)
	}
	d.enter(refusing)
	if !d.wait(ctx, &d.queries) {
		return d.interrupted(ctx)
	}
	if err := call(ctx, d.CloseListener); err != nil {
		return d.failed(ctx, "closing the callers' listener", err)
	}
	d.enter(leaving)
	if d.NotifyPeers != nil {
		if err := d.NotifyPeers(ctx); err != nil {
			return d.failed(ctx, "telling the peers", err)
		}
		if !d.wait(ctx, &d.legs) {
			return d.interrupted(ctx)
		}
	}
	if err := call(ctx, d.Leave); err != nil {
		return d.failed(ctx, "leaving the zone view", err)
	}
	if !d.wait(ctx, &d.legs) {
		return d.interrupted(ctx)
	}
	d.enter(stopped)
	if !d.wait(ctx, &d.legs) {
		return d.interrupted(ctx)
	}
	return nil
}

func (d *Drainer) enter(phase int32) {
	d.phase.Store(phase)
	d.log().Info("shutdown", zap.String("phase", words[phase]),
		zap.Int64("queries", d.Queries()), zap.Int64("legs", d.Legs()))
}

func (d *Drainer) wait(ctx context.Context, count *atomic.Int64) bool {
	for count.Load() > 0 {
		select {
		case <-d.signal():
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (d *Drainer) interrupted(ctx context.Context) error {
	at := d.Phase()
	queries, legs := d.Queries(), d.Legs()
	d.phase.Store(stopped)
	cause := "second signal"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		cause = "grace limit"
	}
	d.log().Error("shutdown interrupted", zap.String("phase", at), zap.String("cause", cause),
		zap.Int64("queries", queries), zap.Int64("legs", legs))
	return toucanfault.Unknown(toucanpb.Code_CODE_STOPPING,
		fmt.Sprintf("%s while %s: interrupted %d queries and %d legs", cause, at, queries, legs))
}

func (d *Drainer) failed(ctx context.Context, step string, err error) error {
	if ctx.Err() != nil {
		return d.interrupted(ctx)
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

func call(ctx context.Context, f func(context.Context) error) error {
	if f == nil {
		return nil
	}
	return f(ctx)
}
