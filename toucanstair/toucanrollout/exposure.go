package toucanrollout

import "sync"

const (
	// newVersionShare is the share of the requests that the new version gets before
	// the rollout is done. The operators' limit for a bad version is 10% of the
	// requests until the deadline plus 50 requests.
	newVersionShare = 0.09
	// extraRequests is the number of requests from all hosts together that the new
	// version gets on top of its share, so that rare routes have samples in time. It
	// is half of the 50 requests in the operators' limit; the other half covers hosts
	// that join during a rollout.
	extraRequests = 25
	// routeShare is the maximum share of the requests of one route that the new
	// version gets.
	routeShare = 0.3
)

// exposure limits the requests that this host sends to the new version of a
// service, and divides them evenly among the routes. A rare route then has as many
// samples as a frequent one, because a fault may show on the rare route only. The
// zero value is ready for use.
type exposure struct {
	mu          sync.Mutex
	total       int            // requests that reached a target of either version
	sentToNew   int            // requests sent to the new version
	sentByRoute map[string]int // part of sentToNew, by route
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
	case isNew:
		e.add(route, -1)
	}
}

func (e *exposure) add(route string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sentByRoute == nil {
		e.sentByRoute = make(map[string]int)
	}
	e.sentToNew += n
	e.sentByRoute[route] += n
}

// allows reports whether a request of a route may go to the new version, when
// extraRequests is divided among the given number of hosts.
func (e *exposure) allows(route string, hosts int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	budget := newVersionShare*float64(e.total) + extraRequests/float64(max(1, hosts))
	if float64(e.sentToNew+1) > budget {
		return false
	}
	routes := len(e.sentByRoute)
	if _, known := e.sentByRoute[route]; !known {
		routes++
	}
	return float64(e.sentByRoute[route]+1)*float64(routes) <= budget
}
