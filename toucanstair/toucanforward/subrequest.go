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
	// maxSends bounds the exchanges of one leg that reached a target, those that
	// did not run included.
	maxSends = 6
	// connectTime bounds the making of a connection: the way to another region
	// and back, twice, and the target's own time.
	connectTime = 300 * time.Millisecond
	// hedgeLeast is the least time before a leg is sent to a second target.
	hedgeLeast = 12 * time.Millisecond
	// hedgeSpread is how many deviations a response may be later than usual.
	hedgeSpread = 3
	// hedgeSpare is how much earlier than it must a second target is asked.
	hedgeSpare = 8 * time.Millisecond
	// hedgeAgain is the pause after a hedge that was not possible.
	hedgeAgain = 15 * time.Millisecond
	// refusedPause is the pause before a target that refused is asked again.
	refusedPause = 12 * time.Millisecond
	// patiencePart is the part of the objective, one in so many, that a request
	// waits for a target that can take it.
	patiencePart = 4
	// retryReserve is the part of the tokens that hedges leave to retries.
	retryReserve = 0.05
	// connectionShare is the share of a target's connections that the hosts use
	// together. The rest is for hosts that start again while a target still keeps
	// the connections of their former life, and for targets that accept fewer
	// while their queue is long.
	connectionShare = 0.6
	// leastConnections lets a second request pass one that a target holds up.
	leastConnections = 2
)

var (
	hedges  = metrics.NewCounter("toucan_forward_hedges_total")
	repeats = metrics.NewCounter("toucan_forward_repeats_total")
	starved = metrics.NewCounter("toucan_forward_quota_exhausted_total")
)

// leg is the part of a request that goes to one service.
type leg struct {
	service  toucanservice.Name
	tried    []toucanreplica.ID // may have run it, or have it now
	refused  []toucanreplica.ID // have said that they did not run it
	arrived  bool               // an exchange reached a target
	busy     bool               // a target was there, but had no room
	sends    int                // exchanges that began
	live     int                // exchanges that have not ended
	done     bool               // its response is there
	lost     bool               // it is given up
	unserved bool               // its service had no target when the request began
	wake     time.Time          // when to hedge, or to start again
	res      *toucantransport.Response
	failure  *toucantransport.Response // a target's complete failure, the last one
	unknown  bool                      // it may have run without a response
}

// start sends a leg that no target has now, or gives it up.
func (g *flight) start(i int, now time.Time) {
	l := &g.legs[i]
	if l.done || l.lost {
		return
	}
	if l.sends >= maxSends || len(l.tried) >= g.route.MaxAttempts {
		g.lose(l)
		return
	}
	ts := g.f.Targets.Candidates(l.service)
	need := g.need(l, l.excluded())
	t, expect := g.f.Picker.Pick(ts, need, now)
	if t == nil {
		g.again(l, ts, now)
		return
	}
	if l.arrived && !g.repeat(l, 0) {
		g.lose(l)
		return
	}
	l.tried = append(l.tried, t.ID)
	l.wake = g.hedgeAt(l, t, expect, now)
	g.send(i, t, now)
}

// again plans another try at targets that are busy or out of reach for a
// moment, or gives the leg up where there is none or it has waited long enough.
func (g *flight) again(l *leg, ts []*toucanbalancer.Target, now time.Time) {
	if !g.f.Picker.AnyAllowed(ts, g.need(l, l.tried)) {
		g.lose(l)
		return
	}
	at := now.Add(refusedPause)
	if at.After(g.patience(l)) {
		g.lose(l)
		return
	}
	l.refused = l.refused[:0]
	l.wake = at
}

// excluded returns the targets that a leg is not sent to now.
func (l *leg) excluded() []toucanreplica.ID { return append(slices.Clone(l.tried), l.refused...) }

// need returns which targets a leg may go to, besides those it was tried at.
func (g *flight) need(l *leg, tried []toucanreplica.ID) toucanbalancer.Constraints {
	c := g.f.Rollouts.ChooseVersion(l.service, g.route.Name, g.entry.id, l.sends > 0)
	n := toucanbalancer.Constraints{AllowedRegions: g.route.AllowedRegions, ExcludedZones: g.f.Config.OutOfServiceZones(), ExcludedTargets: tried, ExcludedVersion: c.Excluded, PreferredVersion: c.Preferred}
	if rules := g.f.Config.Rules(); rules != nil {
		n.ColdRateLimit = rules.Services[l.service].ColdRateLimit * g.f.part(g.route)
	}
	return n
}

// patience returns until when a leg waits for a target: a shard's until the
// response is due while its targets are only busy, others for a part of the
// objective, after which the caller does better to come back.
func (g *flight) patience(l *leg) time.Time {
	until := g.entry.began.Add(g.route.LatencyObjective / patiencePart)
	if g.route.FansOut() && l.busy && g.plan.SoftDeadline.After(until) {
		until = g.plan.SoftDeadline
	}
	if g.limit.Before(until) {
		return g.limit
	}
	return until
}

// repeat takes a token for one more arrival.
func (g *flight) repeat(l *leg, reserve float64) bool {
	if !g.f.RetryBudget.TryWithdraw(l.service, reserve) {
		starved.Inc()
		g.entry.note("no token to repeat at " + string(l.service))
		return false
	}
	repeats.Inc()
	g.entry.repeats++
	return true
}

func (g *flight) lose(l *leg) {
	if l.live > 0 || l.lost || l.done {
		return
	}
	l.lost = true
	g.plan.RecordLoss()
}

// hedgeAt returns when a leg is sent to a second target: when the first one is
// later than usual, but early enough for the second to respond before the
// response is due.
func (g *flight) hedgeAt(l *leg, t *toucanbalancer.Target, expect time.Duration, now time.Time) time.Time {
	if !g.route.Idempotent || g.route.MaxAttempts < 2 {
		return time.Time{}
	}
	v := t.Stats.Snapshot(now)
	wait := 2 * expect
	if v.Latency > 0 {
		wait = v.Latency + hedgeSpread*v.Deviation
	}
	if v.Latency == 0 && g.plan.SoftDeadline.After(now) {
		need := g.need(l, l.excluded())
		if other, takes := g.f.Picker.Pick(g.f.Targets.Candidates(l.service), need, now); other != nil {
			wait = min(wait, g.plan.SoftDeadline.Sub(now)-takes-hedgeSpare)
		}
	}
	// The lag counts twice: on the way out and on the way back.
	return now.Add(max(hedgeLeast, wait) + 2*g.f.lag.mean())
}

// state describes a leg that has no response.
func (l *leg) state() string {
	text := string(l.service)
	if l.lost {
		text += " (given up)"
	}
	for _, id := range l.tried {
		text += " at " + string(id)
	}
	return text
}

// hedge sends a leg that is late to a second target.
func (g *flight) hedge(i int, now time.Time) {
	l := &g.legs[i]
	if l.done || l.lost || l.sends >= maxSends || len(l.tried) >= g.route.MaxAttempts {
		return
	}
	ts := g.f.Targets.Candidates(l.service)
	need := g.need(l, l.excluded())
	t, expect := g.f.Picker.Pick(ts, need, now)
	if now.Add(expect).After(g.limit) {
		return
	}
	if t == nil {
		l.wake = now.Add(hedgeAgain)
		return
	}
	if !g.repeat(l, retryReserve) {
		l.wake = now.Add(hedgeAgain)
		return
	}
	hedges.Inc()
	g.entry.hedges++
	g.entry.note("hedge of " + string(l.tried[0]) + " at " + string(t.ID))
	l.tried = append(l.tried, t.ID)
	g.send(i, t, now)
}

// take decides what follows from the end of an exchange.
func (g *flight) take(ev event, now time.Time) {
	l := &g.legs[ev.leg]
	l.live--
	if l.done {
		return
	}
	id := ev.target.ID
	switch g.f.judge(ev) {
	case good:
		l.done, l.res = true, ev.res
		l.wake = time.Time{}
		g.plan.RecordArrival()
		return
	case notRun:
		l.arrived, l.busy = true, true
		g.entry.note("refused by " + string(id))
		l.tried = slices.DeleteFunc(l.tried, func(t toucanreplica.ID) bool { return t == id })
		l.refused = append(l.refused, id)
	case unsent:
		l.sends--
		l.busy = l.busy || ev.err.Kind == toucantransport.ConnectionLimitReached
		g.entry.note("not sent to " + string(id) + ": " + ev.err.Error())
		l.tried = slices.DeleteFunc(l.tried, func(t toucanreplica.ID) bool { return t == id })
		l.refused = append(l.refused, id)
	case final:
		l.arrived, l.failure = true, ev.res
		l.done, l.res = !g.route.FansOut(), ev.res
		g.entry.note("status " + strconv.Itoa(ev.res.Status) + " of " + string(id))
		if l.done {
			g.plan.RecordArrival()
			return
		}
	case failed:
		l.arrived = true
		if ev.res != nil {
			l.failure = ev.res
			g.entry.note("status " + strconv.Itoa(ev.res.Status) + " of " + string(id))
		} else {
			l.unknown = true
			g.entry.note("lost at " + string(id) + ": " + ev.err.Error())
		}
		if !g.route.Idempotent {
			g.lose(l)
			return
		}
	}
	switch {
	case l.live == 0:
		g.start(ev.leg, now)
	case l.wake.IsZero():
		l.wake = now.Add(hedgeAgain)
	}
}

type judgement int

const (
	good   judgement = iota // the response that was asked for
	final                   // a target's response that a repeat would not change
	failed                  // it ran, or may have run, without success
	notRun                  // the target did not run it
	unsent                  // it reached no target
)

func (f *Forwarder) judge(ev event) judgement {
	if ev.err != nil {
		if ev.err.Kind == toucantransport.MaybeExecuted {
			return failed
		}
		return unsent
	}
	res := ev.res
	stamped := res.Header.Get(f.Headers.Signature) != ""
	switch {
	case res.Status == http.StatusMisdirectedRequest || res.Header.Get(f.Headers.NotExecuted) != "":
		return notRun
	case res.Status/100 == 2:
		if stamped && res.Header.Get("Content-Encoding") == "" {
			return good
		}
		return failed
	case res.Status >= 500 || !stamped:
		return failed
	}
	return final
}

// observe notes what an exchange tells of its target. given says that this
// host ended the exchange.
func (f *Forwarder) observe(t *toucanbalancer.Target, ev event, now, sent time.Time, given bool) {
	took := now.Sub(sent)
	if ev.err != nil {
		switch {
		case given:
			t.Stats.RecordTimeout(now, took)
		case ev.err.Kind == toucantransport.Unreachable:
			t.Stats.RecordConnectFailure(now)
		case ev.err.Kind == toucantransport.MaybeExecuted:
			t.Stats.RecordFailure(now)
		}
		return
	}
	if f.Headers.ParseLoad != nil {
		if n, ok := f.Headers.ParseLoad(ev.res.Header.Get(f.Headers.Load)); ok {
			t.Stats.RecordQueueLength(now, n)
		}
	}
	if text := ev.res.Header.Get(f.Headers.ColdRemaining); text != "" {
		if ms, err := strconv.ParseInt(text, 10, 32); err == nil {
			t.SetColdRemaining(now, time.Duration(ms)*time.Millisecond)
		}
	}
	switch f.judge(ev) {
	case good, final:
		t.Stats.RecordSuccess(now, took)
	case notRun:
		if ev.res.Status == http.StatusMisdirectedRequest {
			t.Stats.RecordConnectFailure(now)
			return
		}
		t.Stats.RecordRefusal(now)
	default:
		t.Stats.RecordFailure(now)
	}
}

// connections returns how many connections this host may have to a target.
func (f *Forwarder) connections(t *toucanbalancer.Target, route *toucanrules.Route) int {
	rules := f.Config.Rules()
	if rules == nil {
		return 1
	}
	all := rules.Services[t.Service].MaxConnections
	if all <= 0 {
		return 0
	}
	return max(leastConnections, int(math.Ceil(connectionShare*float64(all)*f.part(route))))
}
