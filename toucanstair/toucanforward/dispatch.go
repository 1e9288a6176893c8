package toucanforward

import (
	"context"
	"errors"
	"math/rand/v2"
	"runtime"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"toucanstair.example/core/toucanservice"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucangather"
	"toucanstair.example/toucanstair/toucanrules"
	"toucanstair.example/toucanstair/toucantransport"
)

const (
	// dueSpare is how long before the objective, besides the time on the way, a
	// response with missing shards leaves, so that it arrives within it.
	dueSpare = 6 * time.Millisecond
	// Hedging waits when more than crowdLeast legs and more than one in crowdPart
	// are late at once, at most crowdHolds times in a request.
	crowdLeast = 3
	crowdPart  = 10
	crowdHolds = 2
	// lingerTime is how long targets may still finish after the response was
	// given; it saves the connection, and the latency is learnt from.
	lingerTime = 250 * time.Millisecond
)

// flight is one request on its way to targets.
type flight struct {
	f       *Forwarder
	route   *toucanrules.Route
	entry   *entry
	message *toucantransport.Message
	limit   time.Time
	plan    toucangather.Tracker
	legs    []leg
	live    int
	events  chan event
	ctx     context.Context // of the exchanges with targets
	cancel  context.CancelFunc
	verdict toucangather.Decision
	held    int  // times that hedging has waited because many legs were late
	gone    bool // the caller has left
}

// event is the end of one exchange.
type event struct {
	leg    int
	target *toucanbalancer.Target
	res    *toucantransport.Response
	err    *toucantransport.Error
}

func (f *Forwarder) flight(m *toucantransport.Message, route *toucanrules.Route, e *entry, limit time.Time) *flight {
	g := &flight{f: f, route: route, entry: e, limit: limit, message: m}
	services := route.Shards
	g.plan = toucangather.Tracker{Shards: len(services), MinCoverage: route.MinCoverage, Deadline: limit}
	if route.FansOut() {
		g.plan.SoftDeadline = e.began.Add(route.LatencyObjective - dueSpare - e.way)
	} else {
		services = []toucanservice.Name{route.PickService(rand.Float64())}
		g.plan.Shards, g.plan.MinCoverage = 1, 1
	}
	g.legs = make([]leg, len(services))
	for i, s := range services {
		g.legs[i].service = s
	}
	e.asked = len(services)
	g.events = make(chan event, len(services)*maxSends)
	return g
}

// run sends the request and gathers until there is a verdict.
func (g *flight) run(caller context.Context) {
	g.ctx, g.cancel = context.WithDeadline(context.WithoutCancel(caller), g.limit.Add(deadlineSpare))
	defer g.end()
	now := time.Now()
	if g.loseUnserved(); g.plan.Decide(now) == toucangather.Abandon {
		g.verdict = toucangather.Abandon
		return
	}
	for i := range g.legs {
		if l := &g.legs[i]; !l.lost {
			g.f.RetryBudget.Deposit(l.service)
			g.start(i, now)
		}
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now = time.Now()
		if g.verdict = g.plan.Decide(now); g.verdict != toucangather.Wait {
			return
		}
		timer.Reset(time.Until(g.wake(now)))
		select {
		case ev := <-g.events:
			g.live--
			g.take(ev, time.Now())
		case <-timer.C:
			g.drain()
			g.tick(time.Now())
		case <-caller.Done():
			g.gone = true
			return
		}
	}
}

// loseUnserved gives up the legs whose service has no target, so that a request
// that can't be served is refused before anything is sent.
func (g *flight) loseUnserved() {
	for i := range g.legs {
		l := &g.legs[i]
		if !g.f.Picker.AnyAllowed(g.f.Targets.Candidates(l.service), g.need(l, nil)) {
			l.unserved = true
			g.lose(l)
		}
	}
}

// drain takes in the responses that are already there, so that a host that is
// short of processor time sends no second requests for them.
func (g *flight) drain() {
	runtime.Gosched()
	for {
		select {
		case ev := <-g.events:
			g.live--
			g.take(ev, time.Now())
		default:
			return
		}
	}
}

// end lets the remaining exchanges finish for a short time, unless nobody
// waits for the response.
func (g *flight) end() {
	if g.live == 0 || g.gone || g.verdict == toucangather.Abandon {
		g.cancel()
		return
	}
	time.AfterFunc(lingerTime, g.cancel)
}

// wake returns the next moment at which something has to be decided.
func (g *flight) wake(now time.Time) time.Time {
	at := g.plan.NextWake(now)
	for i := range g.legs {
		if w := g.legs[i].wake; !w.IsZero() && w.Before(at) {
			at = w
		}
	}
	return at
}

// tick starts or hedges the legs whose time has come. Where many are late at
// once, this host is the likely cause, and hedging waits a little.
func (g *flight) tick(now time.Time) {
	crowd := g.late(now) > max(crowdLeast, len(g.legs)/crowdPart) && g.held < crowdHolds
	if crowd {
		g.held++
	}
	for i := range g.legs {
		l := &g.legs[i]
		switch {
		case l.wake.IsZero() || now.Before(l.wake):
		case l.live == 0:
			l.wake = time.Time{}
			g.start(i, now)
		case crowd:
			l.wake = now.Add(hedgeLeast)
		default:
			l.wake = time.Time{}
			g.hedge(i, now)
		}
	}
}

// late returns the number of legs that are to be hedged now.
func (g *flight) late(now time.Time) int {
	n := 0
	for i := range g.legs {
		if l := &g.legs[i]; l.live > 0 && !l.wake.IsZero() && !now.Before(l.wake) {
			n++
		}
	}
	return n
}

// send starts one exchange with a target.
func (g *flight) send(i int, t *toucanbalancer.Target, now time.Time) {
	l := &g.legs[i]
	l.live++
	l.sends++
	g.live++
	g.entry.sends++
	r := &toucantransport.Request{
		Target: t.ID, Address: t.Address, Message: g.message, MaxConnections: g.f.connections(t, g.route), FreshConnection: !g.route.Idempotent,
		DialTimeout: min(connectTime, g.limit.Sub(now)),
	}
	g.f.workers.Go(func() { g.exchange(i, t, r, now) })
}

func (g *flight) exchange(i int, t *toucanbalancer.Target, r *toucantransport.Request, planned time.Time) {
	sent := time.Now()
	g.f.lag.observe(sent.Sub(planned))
	compared := g.f.compares(t, sent)
	n := t.Stats.Begin(sent)
	g.f.Rollouts.BeginRequest(t.Service, t.Version, g.route.Name)
	ctx, span := startChild(g.ctx, "target")
	res, err := g.f.Transport.Do(ctx, r, g.limit.Sub(sent))
	t.Stats.End(n)
	endChild(span, err, attribute.String("toucan.target", string(t.ID)), attribute.String("toucan.service", string(t.Service)))
	ev := event{leg: i, target: t, res: res}
	if err != nil && !errors.As(err, &ev.err) {
		ev.err = &toucantransport.Error{Kind: toucantransport.MaybeExecuted, Cause: err}
	}
	g.f.Rollouts.EndRequest(t.Service, t.Version, g.route.Name, g.f.judge(ev) != unsent)
	now, given := time.Now(), g.ctx.Err() != nil
	g.f.observe(t, ev, now, sent, given)
	if compared {
		g.f.compare(t, g.route.Name, ev, now.Sub(sent), given)
	}
	g.events <- ev
}
