package toucanrollout

import "sync"

const (
	// newVersionShare is the share of the requests that the new version gets before
	// the rollout is done. The operators' limit for a bad version is 10% of the
	// requests until the deadline plus 50 requests.
	newVersionShare = 0.09
	// extraRequests is the number of requests from all hosts together that the new
	// version gets on top of its share until the move may be done, so that rare routes have
	// samples in time. It is half of the 50 requests in the operators' limit; the other half covers
	// hosts that join during a rollout.
	extraRequests = 25
	// routeShare is the maximum share of the requests of one route that the new
	// version gets. The old version has as many samples of a rare route then.
	routeShare = 0.5
)

// exposure limits the requests that this host sends to the new version of a
// service, and divides them evenly among the routes. A rare route then has as many
// samples as a frequent one, because a fault may show on the rare route only. The
// zero value is ready for use.
type exposure struct {
	mu        sync.Mutex
	total     int // requests that reached a target of either version
	sentToNew int // requests sent to the new version
	routes    map[string]*routeExposure
}

// routeExposure holds the part of one route in the counters of an exposure.
type routeExposure struct{ total, sentToNew int }

// route returns the counters of a route; the caller holds mu.
func (e *exposure) route(name string) *routeExposure {
	r := e.routes[name]
	if r == nil {
		if e.routes == nil {
			e.routes = make(map[string]*routeExposure)
		}
		r = &routeExposure{}
		e.routes[name] = r
	}
	return r
}

// beginRequest counts a request that is being sent to the new version.
func (e *exposure) beginRequest(route string) { e.add(route, 1) }

// endRequest counts a finished request of either version if it reached the target. It
// undoes beginRequest for a request of the new version that did not.
func (e *exposure) endRequest(route string, isNew, reached bool) {
	switch {
	case reached:
		e.mu.Lock()
		defer e.mu.Unlock()
		e.total++
		e.route(route).total++
	case isNew:
		e.add(route, -1)
	}
}

func (e *exposure) add(route string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sentToNew += n
	e.route(route).sentToNew += n
}

// allowance is what a host may send to the new version on top of its share.
type allowance struct {
	// extra is the host's part of extraRequests until now. It grows evenly, since the
	// latency of the first responses says little while the targets are cold.
	extra float64
	// rounding is a fraction of a request, different on each host, by which hosts with less
	// than one request each send as many as they may together.
	rounding float64
}

// allows reports whether a request of a route may go to the new version.
func (e *exposure) allows(route string, a allowance) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	budget := newVersionShare*float64(e.total) + a.extra
	r := e.route(route)
	return float64(e.sentToNew+1) <= budget+a.rounding &&
		float64(r.sentToNew+1) <= budget/float64(len(e.routes))+a.rounding &&
		float64(r.sentToNew) <= routeShare*float64(r.total)
}
