package toucanforward

import (
	"context"
	"errors"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanservice"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucangather"
	"toucanstair.example/toucanstair/toucanpanic"
	"toucanstair.example/toucanstair/toucanrules"
	"toucanstair.example/toucanstair/toucantransport"
)

const (
	// softDeadlineMargin is how long before the latency objective, in addition to
	// the network time, a partial response is sent, so that it arrives in time.
	softDeadlineMargin = 6 * time.Millisecond
	// Hedging is postponed while more than lateHoldThreshold legs and more than
	// one in lateHoldDivisor are late at once, at most maxHedgeHolds times per
	// request.
	lateHoldThreshold = 3
	lateHoldDivisor   = 10
	maxHedgeHolds     = 2
	// maxPartBytes bounds the response of one shard. It is 16,384 records, of which a
	// merged response has tens.
	maxPartBytes = 256 << 10
	// attemptGracePeriod is how long attempts may continue after the response was
	// sent. Finished attempts keep their connection open and update the latency
	// statistics.
	attemptGracePeriod = 250 * time.Millisecond
)

// dispatch sends one request to targets and collects the results. Each leg is
// sent in one or more attempts, each to one target.
type dispatch struct {
	f          *Forwarder
	route      *toucanrules.Route
	log        *requestLog
	message    *toucantransport.Message
	deadline   time.Time
	tracker    toucangather.Tracker
	legs       []leg
	inFlight   int // attempts of all legs that have not delivered a result
	results    chan attemptResult
	ctx        context.Context // of the attempts; ends deadlineMargin after deadline
	cancel     context.CancelFunc
	decision   toucangather.Decision
	hedgeHolds int // times that hedging was postponed
	callerGone bool
	expired    bool                        // the delegating host's deadline has passed
	responses  []*toucantransport.Response // of all results that were handled, for release
	released   atomic.Bool                 // release was called
}

// attemptResult is the result of one attempt: a response or an error.
type attemptResult struct {
	leg      int
	target   *toucanbalancer.Target
	response *toucantransport.Response
	err      *toucantransport.Error
}

// newDispatch prepares the dispatch of a message to the shards of a route, or to
// one service that is picked by weight if the route does not fan out.
func (f *Forwarder) newDispatch(m *toucantransport.Message, route *toucanrules.Route, log *requestLog, deadline time.Time) *dispatch {
	d := &dispatch{f: f, route: route, log: log, deadline: deadline, message: m}
	services := route.Shards
	d.tracker = toucangather.Tracker{Shards: len(services), MinCoverage: route.MinCoverage, Deadline: deadline}
	if route.FansOut() {
		if route.LatencyObjective > 0 {
			d.tracker.SoftDeadline = log.start.Add(route.LatencyObjective - softDeadlineMargin - log.networkTime)
		}
	} else {
		services = []toucanservice.Name{route.PickService(rand.Float64())}
		d.tracker.Shards, d.tracker.MinCoverage = 1, 1
	}
	d.legs = make([]leg, len(services))
	for i, s := range services {
		d.legs[i].service = s
	}
	log.requested = len(services)
	d.results = make(chan attemptResult, len(services)*maxAttempts)
	return d
}

// run sends the request and collects results until the tracker decides or the
// caller is gone.
func (d *dispatch) run(caller context.Context) {
	d.ctx, d.cancel = context.WithDeadline(context.WithoutCancel(caller), d.deadline.Add(deadlineMargin))
	defer d.finish()
	now := time.Now()
	if d.abandonUnserved(now); d.tracker.Decide(now) == toucangather.Abandon {
		d.decision = toucangather.Abandon
		return
	}
	for i := range d.legs {
		if l := &d.legs[i]; !l.abandoned {
			d.f.RetryBudget.Deposit(l.service)
			d.startLeg(i, now)
		}
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now = time.Now()
		if d.decision = d.tracker.Decide(now); d.decision != toucangather.Wait {
			return
		}
		timer.Reset(time.Until(d.nextWake(now)))
		select {
		case result := <-d.results:
			d.inFlight--
			d.handleResult(result, time.Now())
		case <-timer.C:
			d.collectReady()
			d.handleTimer(time.Now())
		case <-caller.Done():
			if errors.Is(caller.Err(), context.DeadlineExceeded) {
				// The deadline of the delegating host may come a moment before that of the request.
				d.expired, d.decision = true, d.tracker.Decide(d.tracker.Deadline)
			} else {
				d.callerGone = true
			}
			return
		}
	}
}

// abandonUnserved abandons the legs whose service has no target, or whose targets have
// all asked for a pause that is longer than the leg may wait, so that a request that
// can't be served is refused before anything is sent.
func (d *dispatch) abandonUnserved(now time.Time) {
	for i := range d.legs {
		l := &d.legs[i]
		at, ok := d.f.Picker.AvailableAt(d.f.Targets.Candidates(l.service), d.constraints(l, nil), now)
		switch {
		case !ok:
			l.noTarget = true
			d.abandon(l)
		case at.After(now) && at.After(d.waitLimit(l)):
			l.availableAt = at
			d.abandon(l)
		}
	}
}

// collectReady handles the results that have already arrived, so that a host
// that is short of CPU time does not hedge attempts that have finished.
func (d *dispatch) collectReady() {
	runtime.Gosched()
	for {
		select {
		case result := <-d.results:
			d.inFlight--
			d.handleResult(result, time.Now())
		default:
			return
		}
	}
}

// finish cancels the remaining attempts: at once when the caller is gone or the
// request has failed, otherwise after attemptGracePeriod.
func (d *dispatch) finish() {
	if d.inFlight == 0 || d.callerGone || d.decision == toucangather.Abandon {
		d.cancel()
		return
	}
	time.AfterFunc(attemptGracePeriod, d.cancel)
}

// nextWake returns the time of the next decision, hedge or retry.
func (d *dispatch) nextWake(now time.Time) time.Time {
	at := d.tracker.NextWake(now)
	for i := range d.legs {
		if wakeAt := d.legs[i].wakeAt; !wakeAt.IsZero() && wakeAt.Before(at) {
			at = wakeAt
		}
	}
	return at
}

// handleTimer retries or hedges the legs whose time has come. When many are
// late at once, this host is the likely cause and hedging is postponed.
func (d *dispatch) handleTimer(now time.Time) {
	hold := d.countLate(now) > max(lateHoldThreshold, len(d.legs)/lateHoldDivisor) && d.hedgeHolds < maxHedgeHolds
	if hold {
		d.hedgeHolds++
	}
	for i := range d.legs {
		l := &d.legs[i]
		switch {
		case l.wakeAt.IsZero() || now.Before(l.wakeAt):
		case l.inFlight == 0:
			l.wakeAt = time.Time{}
			d.startLeg(i, now)
		case hold:
			l.wakeAt = now.Add(minHedgeDelay)
		default:
			l.wakeAt = time.Time{}
			d.hedge(i, now)
		}
	}
}

// countLate returns the number of legs whose hedge is due.
func (d *dispatch) countLate(now time.Time) int {
	n := 0
	for i := range d.legs {
		if l := &d.legs[i]; l.inFlight > 0 && !l.wakeAt.IsZero() && !now.Before(l.wakeAt) {
			n++
		}
	}
	return n
}

// startAttempt starts an attempt of leg i at a target.
func (d *dispatch) startAttempt(i int, t *toucanbalancer.Target, now time.Time) {
	l := &d.legs[i]
	l.inFlight++
	l.attempts++
	d.inFlight++
	d.log.attempts++
	r := &toucantransport.Request{
		Target: t.ID, Address: t.Address, Message: d.message, MaxConnections: d.f.connections(t, d.route), FreshConnection: !d.route.Idempotent,
		DialTimeout: min(connectTimeout, d.deadline.Sub(now)),
	}
	if d.route.FansOut() {
		r.MaxBodyBytes = maxPartBytes
	}
	d.f.workers.Go(func() { d.runAttempt(i, t, r, now) })
}

// runAttempt sends leg i to a target and delivers the result to run, also after a panic.
// planned is when the attempt was decided.
func (d *dispatch) runAttempt(i int, t *toucanbalancer.Target, r *toucantransport.Request, planned time.Time) {
	var result attemptResult
	panicked := toucanpanic.Call(func() { result = d.attempt(i, t, r, planned) })
	if panicked != nil {
		d.f.Log.Error("attempt panicked", zap.String("request", d.log.id), zap.String("target", string(t.ID)),
			zap.Error(panicked), zap.ByteString("stack", panicked.Stack))
		result = attemptResult{leg: i, target: t, err: &toucantransport.Error{Kind: toucantransport.MaybeExecuted, Cause: panicked}}
	}
	d.results <- result
	if d.released.Load() {
		d.releasePending()
	}
}

// attempt sends leg i to a target and records the result in the statistics.
func (d *dispatch) attempt(i int, t *toucanbalancer.Target, r *toucantransport.Request, planned time.Time) attemptResult {
	sent := time.Now()
	d.f.sendLag.observe(sent.Sub(planned))
	rollout, warm := d.f.Rollouts.InProgress(t.Service), false
	if rollout {
		warm = d.f.isWarm(t, sent)
	}
	number := t.Stats.Begin(sent)
	d.f.Rollouts.BeginRequest(t.Service, t.Version, d.route.Name)
	ctx, span := startClientSpan(d.ctx, "target")
	res, err := d.f.Transport.Do(ctx, r, d.deadline.Sub(sent))
	t.Stats.End(number)
	endClientSpan(span, err, attribute.String("toucan.target", string(t.ID)), attribute.String("toucan.service", string(t.Service)))
	result := attemptResult{leg: i, target: t, response: res}
	if err != nil && !errors.As(err, &result.err) {
		result.err = &toucantransport.Error{Kind: toucantransport.MaybeExecuted, Cause: err}
	}
	d.f.Rollouts.EndRequest(t.Service, t.Version, d.route.Name, d.f.classify(result) != unsent)
	now, cancelled := time.Now(), d.ctx.Err() != nil
	d.f.observeTarget(t, result, now, sent, cancelled)
	if rollout {
		d.f.observeVersion(t, d.route.Name, result, now.Sub(sent), warm, cancelled)
	}
	return result
}

// release returns the memory of all responses, after the last use of them. Attempts
// that end later release their own.
func (d *dispatch) release() {
	for _, r := range d.responses {
		r.Release()
	}
	d.released.Store(true)
	d.releasePending()
}

// releasePending releases the responses of results that nobody handles.
func (d *dispatch) releasePending() {
	for {
		select {
		case result := <-d.results:
			result.response.Release()
		default:
			return
		}
	}
}
