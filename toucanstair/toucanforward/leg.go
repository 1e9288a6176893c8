package toucanforward

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucanrules"
	"toucanstair.example/toucanstair/toucantransport"
)

const (
	// maxAttempts limits the attempts of one leg that reached a target,
	// including those that the target did not run. A route's MaxAttempts limits
	// the targets that may have run the leg.
	maxAttempts = 6
	// connectTimeout limits the opening of a connection: two round trips to
	// another region and the target's own time.
	connectTimeout = 300 * time.Millisecond
	// minHedgeDelay is the shortest delay before a leg is hedged, and the time by
	// which hedging is postponed while many legs are late.
	minHedgeDelay = 12 * time.Millisecond
	// hedgeDeviations is by how many mean deviations a response may exceed the
	// average latency before its leg is hedged.
	hedgeDeviations = 3
	// hedgeMargin is how much earlier than necessary a hedge is sent that has to
	// respond before the soft deadline.
	hedgeMargin = 8 * time.Millisecond
	// hedgeRetryDelay is the delay before the next hedge of a leg, after a hedge that
	// was not possible or an attempt that ended without success while another one is in
	// flight.
	hedgeRetryDelay = 15 * time.Millisecond
	// refusedRetryDelay is the delay before targets that did not run a leg are tried
	// again.
	refusedRetryDelay = 12 * time.Millisecond
	// waitDivisor sets how long a request waits for a target that can take it: the
	// latency objective divided by waitDivisor.
	waitDivisor = 4
	// hedgeTokenReserve is the fraction of the retry budget's burst that hedges
	// leave to retries.
	hedgeTokenReserve = 0.05
	// connectionShare is the share of a target's connections that all hosts use
	// together. The rest is for restarted hosts, whose previous connections the
	// target still holds, and for targets that accept fewer connections while
	// their queue is long.
	connectionShare = 0.6
	// minConnections is the smallest limit on a host's connections to a target, so that
	// a request can bypass another one that is stuck there.
	minConnections = 2
)

var (
	hedgesStarted   = metrics.NewCounter("toucan_forward_hedges_total")
	extraAttempts   = metrics.NewCounter("toucan_forward_repeats_total")
	budgetExhausted = metrics.NewCounter("toucan_forward_quota_exhausted_total")
)

// leg is the part of a request that goes to one service.
type leg struct {
	service        toucanservice.Name
	tried          []toucanreplica.ID // targets that are running it or may have run it
	refused        []toucanreplica.ID // targets that did not run it, excluded until the next retry
	reachedTarget  bool               // an attempt reached a target
	targetBusy     bool               // a target refused it or had no free connection
	attempts       int                // attempts started, without those that did not reach a target
	inFlight       int                // attempts that have not ended
	done           bool               // the response has arrived
	abandoned      bool               // no response is expected any more
	noTarget       bool               // the service had no target when the request started
	availableAt    time.Time          // when its first target is available again; set if it was abandoned for that
	wakeAt         time.Time          // when to hedge or retry; zero: not scheduled
	response       *toucantransport.Response
	respondent     toucanreplica.ID          // target of response
	lastFailure    *toucantransport.Response // last complete response that was not a success
	failedAt       toucanreplica.ID          // target of lastFailure
	outcomeUnknown bool                      // it may have run, but there was no response
}

// startLeg sends a leg that has no attempt in flight, schedules a retry or
// abandons it. Attempts after one that reached a target take a retry token.
func (d *dispatch) startLeg(i int, now time.Time) {
	l := &d.legs[i]
	if l.done || l.abandoned {
		return
	}
	if l.attempts >= maxAttempts || len(l.tried) >= d.route.MaxAttempts {
		d.abandon(l)
		return
	}
	targets := d.f.Targets.Candidates(l.service)
	constraints := d.constraints(l, l.excluded())
	t, expected := d.f.Picker.Pick(targets, constraints, now)
	if t == nil {
		d.scheduleRetry(l, targets, now)
		return
	}
	if l.reachedTarget && !d.takeRetryToken(l, 0) {
		d.abandon(l)
		return
	}
	l.tried = append(l.tried, t.ID)
	l.wakeAt = d.hedgeTime(l, t, expected, now)
	d.startAttempt(i, t, now)
}

// scheduleRetry schedules another try at targets that are busy, paused or temporarily
// unreachable. It abandons the leg if there are none or the wait limit has passed, and
// at once if no other leg is in flight and none is available within the limit. With
// other legs in flight, which may run, a request that is given up counts as possibly run.
func (d *dispatch) scheduleRetry(l *leg, targets []*toucanbalancer.Target, now time.Time) {
	available, ok := d.f.Picker.AvailableAt(targets, d.constraints(l, l.tried), now)
	if !ok {
		d.abandon(l)
		return
	}
	at := now.Add(refusedRetryDelay)
	if d.inFlight == 0 && available.After(at) {
		at = available
	}
	if at.After(d.waitLimit(l)) {
		if available.After(now) {
			l.availableAt = available
		}
		d.abandon(l)
		return
	}
	l.refused = l.refused[:0]
	l.wakeAt = at
}

// excluded returns the targets that are not to be tried now.
func (l *leg) excluded() []toucanreplica.ID { return append(slices.Clone(l.tried), l.refused...) }

// constraints returns which targets a leg may go to, without those in excluded.
func (d *dispatch) constraints(l *leg, excluded []toucanreplica.ID) toucanbalancer.Constraints {
	choice := d.f.Rollouts.ChooseVersion(l.service, d.route.Name, l.attempts > 0)
	constraints := toucanbalancer.Constraints{AllowedRegions: d.route.AllowedRegions, ExcludedZones: d.f.Config.OutOfServiceZones(), ExcludedTargets: excluded, ExcludedVersion: choice.Excluded, PreferredVersion: choice.Preferred}
	if rules := d.f.Config.Rules(); rules != nil {
		constraints.ColdRateLimit = rules.Services[l.service].ColdRateLimit * d.f.targetShare(d.route)
	}
	return constraints
}

// waitLimit returns until when a leg waits for a target: for 1/waitDivisor of the
// latency objective, or of the time to the deadline if the route has no objective,
// after which it is better that the caller retries. If the
// targets of a fan-out's leg are busy, it waits until the soft deadline if that is
// later. No leg waits beyond the request's deadline.
func (d *dispatch) waitLimit(l *leg) time.Time {
	objective := d.route.LatencyObjective
	if objective <= 0 {
		objective = d.deadline.Sub(d.log.start)
	}
	until := d.log.start.Add(objective / waitDivisor)
	if d.route.FansOut() && l.targetBusy && d.tracker.SoftDeadline.After(until) {
		until = d.tracker.SoftDeadline
	}
	if d.deadline.Before(until) {
		return d.deadline
	}
	return until
}

// takeRetryToken withdraws a token from the retry budget for one more attempt.
// It leaves at least reserve, a fraction of the burst, in the budget.
func (d *dispatch) takeRetryToken(l *leg, reserve float64) bool {
	if !d.f.RetryBudget.TryWithdraw(l.service, reserve) {
		budgetExhausted.Inc()
		d.log.addNote("no token to repeat at " + string(l.service))
		return false
	}
	extraAttempts.Inc()
	d.log.extraAttempts++
	return true
}

// abandon gives up a leg and counts its shard as lost, unless an attempt is in
// flight or the response has arrived.
func (d *dispatch) abandon(l *leg) {
	if l.inFlight > 0 || l.abandoned || l.done {
		return
	}
	l.abandoned = true
	d.tracker.RecordLoss()
}

// hedgeTime returns when a leg is sent to a second target: when the first one
// is later than usual. If the first one has no measured latency, that is after
// twice its expected time, but early enough for the second to respond before the
// soft deadline. Zero means never.
func (d *dispatch) hedgeTime(l *leg, t *toucanbalancer.Target, expected time.Duration, now time.Time) time.Time {
	if !d.route.Idempotent || d.route.MaxAttempts < 2 {
		return time.Time{}
	}
	stats := t.Stats.Snapshot(now)
	delay := 2 * expected
	if stats.Latency > 0 {
		delay = stats.Latency + hedgeDeviations*stats.Deviation
	}
	if stats.Latency == 0 && d.tracker.SoftDeadline.After(now) {
		constraints := d.constraints(l, l.excluded())
		if other, expectedOther := d.f.Picker.Estimate(d.f.Targets.Candidates(l.service), constraints, now); other != nil {
			delay = min(delay, d.tracker.SoftDeadline.Sub(now)-expectedOther-hedgeMargin)
		}
	}
	// The lag delays both the request and its response.
	return now.Add(max(minHedgeDelay, delay) + 2*d.f.sendLag.mean())
}

// describe returns the service and the tried targets of a leg that has no
// response, for the log.
func (l *leg) describe() string {
	text := string(l.service)
	if l.abandoned {
		text += " (given up)"
	}
	for _, id := range l.tried {
		text += " at " + string(id)
	}
	return text
}

// hedge sends a late leg to a second target.
func (d *dispatch) hedge(i int, now time.Time) {
	l := &d.legs[i]
	if l.done || l.abandoned || l.attempts >= maxAttempts || len(l.tried) >= d.route.MaxAttempts {
		return
	}
	targets := d.f.Targets.Candidates(l.service)
	constraints := d.constraints(l, l.excluded())
	t, expected := d.f.Picker.Pick(targets, constraints, now)
	if now.Add(expected).After(d.deadline) {
		return
	}
	if t == nil {
		l.wakeAt = now.Add(hedgeRetryDelay)
		return
	}
	if !d.takeRetryToken(l, hedgeTokenReserve) {
		l.wakeAt = now.Add(hedgeRetryDelay)
		return
	}
	hedgesStarted.Inc()
	d.log.hedges++
	d.log.addNote("hedge of " + string(l.tried[0]) + " at " + string(t.ID))
	l.tried = append(l.tried, t.ID)
	d.startAttempt(i, t, now)
}

// handleResult processes the result of an attempt: it completes, retries or
// abandons the leg.
func (d *dispatch) handleResult(result attemptResult, now time.Time) {
	l := &d.legs[result.leg]
	l.inFlight--
	d.responses = append(d.responses, result.response)
	if l.done {
		return
	}
	id := result.target.ID
	switch d.f.classify(result) {
	case success:
		l.done, l.response, l.respondent = true, result.response, id
		l.wakeAt = time.Time{}
		d.tracker.RecordArrival()
		return
	case notRun:
		l.reachedTarget, l.targetBusy = true, true
		d.log.addNote("refused by " + string(id) + describeExchange(result.response))
		l.tried = slices.DeleteFunc(l.tried, func(t toucanreplica.ID) bool { return t == id })
		l.refused = append(l.refused, id)
	case unsent:
		l.attempts--
		l.targetBusy = l.targetBusy || result.err.Kind == toucantransport.ConnectionLimitReached
		d.log.addNote("not sent to " + string(id) + ": " + result.err.Error())
		l.tried = slices.DeleteFunc(l.tried, func(t toucanreplica.ID) bool { return t == id })
		l.refused = append(l.refused, id)
	case definitive:
		l.reachedTarget, l.lastFailure, l.failedAt = true, result.response, id
		l.done, l.response, l.respondent = !d.route.FansOut(), result.response, id
		d.log.addNote("status " + strconv.Itoa(result.response.Status) + " of " + string(id) + describeExchange(result.response))
		if l.done {
			d.tracker.RecordArrival()
			return
		}
	case failed:
		l.reachedTarget = true
		if result.response != nil {
			l.lastFailure, l.failedAt = result.response, id
			d.log.addNote("status " + strconv.Itoa(result.response.Status) + " of " + string(id) + describeExchange(result.response))
		} else {
			l.outcomeUnknown = true
			d.log.addNote("lost at " + string(id) + ": " + result.err.Error())
		}
		if !d.route.Idempotent {
			d.abandon(l)
			return
		}
	}
	switch {
	case l.inFlight == 0:
		d.startLeg(result.leg, now)
	case l.wakeAt.IsZero():
		l.wakeAt = now.Add(hedgeRetryDelay)
	}
}

// describeExchange returns the connection of a response and its use, for the log.
func describeExchange(res *toucantransport.Response) string {
	text := " on " + res.Exchange.Connection + " #" + strconv.Itoa(res.Exchange.Number)
	if !res.Exchange.Echoed {
		text += " without its id"
	}
	return text
}

// resultClass is the class of an attempt's result.
type resultClass int

const (
	success    resultClass = iota // a usable response
	definitive                    // another signed response, 3xx or 4xx, that promises nothing; passed on unless the route fans out
	failed                        // it ran or may have run, without success
	notRun                        // the target did not run it
	unsent                        // it reached no target
)

// classify returns the class of a result. A response without a signature, a 2xx response
// with a Content-Encoding, or one with a status by which a caller is told that its request
// has not run counts as a failure, unless the target itself says that it did not run it.
func (f *Forwarder) classify(result attemptResult) resultClass {
	if result.err != nil {
		if result.err.Kind == toucantransport.MaybeExecuted {
			return failed
		}
		return unsent
	}
	res := result.response
	signed := res.Header.Get(f.Headers.Signature) != ""
	switch {
	case res.Status == http.StatusMisdirectedRequest || res.Header.Get(f.Headers.NotExecuted) != "":
		return notRun
	case res.Status/100 == 2:
		if signed && res.Header.Get("Content-Encoding") == "" {
			return success
		}
		return failed
	case res.Status >= 500 || !signed || promisesNotRun(res.Status):
		return failed
	}
	return definitive
}

// observeTarget updates a target's statistics with the result of an attempt.
// cancelled reports whether this host cancelled the attempt.
func (f *Forwarder) observeTarget(t *toucanbalancer.Target, result attemptResult, now, sent time.Time, cancelled bool) {
	took := now.Sub(sent)
	if result.err != nil {
		switch {
		case cancelled:
			t.Stats.RecordTimeout(now, took)
		case result.err.Kind == toucantransport.Unreachable:
			t.Stats.RecordConnectFailure(now)
		case result.err.Kind == toucantransport.MaybeExecuted:
			t.Stats.RecordFailure(now)
		}
		return
	}
	if result.response.Status == http.StatusMisdirectedRequest {
		// Another target answers at this address.
		t.Stats.RecordConnectFailure(now)
		return
	}
	if f.Headers.ParseLoad != nil {
		if n, ok := f.Headers.ParseLoad(result.response.Header.Get(f.Headers.Load)); ok {
			t.Stats.RecordQueueLength(now, n)
		}
	}
	f.observeDeparture(t, result.response, now)
	f.observeRequestedPause(t, result.response, now)
	if text := result.response.Header.Get(f.Headers.ColdRemaining); text != "" {
		if ms, err := strconv.ParseFloat(text, 64); err == nil && ms >= 0 {
			t.SetColdRemaining(now, time.Duration(min(ms, math.MaxInt32)*float64(time.Millisecond)))
		}
	}
	switch f.classify(result) {
	case success, definitive:
		t.Stats.RecordSuccess(now, took)
	case notRun:
		t.Stats.RecordRefusal(now)
	default:
		t.Stats.RecordFailure(now)
	}
}

// connections returns how many connections this host may open to a target; 0
// means no limit.
func (f *Forwarder) connections(t *toucanbalancer.Target, route *toucanrules.Route) int {
	rules := f.Config.Rules()
	if rules == nil {
		return 1
	}
	maxConnections := rules.Services[t.Service].MaxConnections
	if maxConnections <= 0 {
		return 0
	}
	return max(minConnections, int(math.Ceil(connectionShare*float64(maxConnections)*f.targetShare(route))))
}
