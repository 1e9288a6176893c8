// Package toucanrules holds the operators' rules for forwarding requests: routes,
// services and limits of one version.
package toucanrules

import (
	"slices"
	"strings"
	"time"

	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucanzone"
)

// Region identifies a group of availability zones that are close together.
type Region string

// Rules is one version of the operators' rules. It must not be changed after
// BuildIndex.
type Rules struct {
	Version  uint64
	Routes   []*Route
	Services map[toucanservice.Name]Service
	Limits   Limits

	routesByHost map[string][]*Route // longest prefix first
}

// Route says where the requests of one host name and path prefix go.
type Route struct {
	Name             string
	Host             string
	Prefix           string
	Idempotent       bool // whether a request may be executed more than once
	Timeout          time.Duration
	LatencyObjective time.Duration     // time within which a request should be answered
	Priority         int               // 0 is the highest
	MaxAttempts      int               // number of targets of a service that may run one request; refusals do not count
	Split            []WeightedService // a single entry for a route that is not split
	Shards           []toucanservice.Name
	MaxRecords       int      // records in a merged response
	MinCoverage      float64  // minimum share of the shards in a merged response, 0 to 1
	AllowedRegions   []Region // home regions, which may serve the requests; empty: all
}

// WeightedService is a service and its weight in the split of a route's requests.
type WeightedService struct {
	Service toucanservice.Name
	Weight  float64
}

// Service describes the targets of one service.
type Service struct {
	HealthPath     string
	MaxConnections int // to one target, from all hosts together; 0: no limit
	ColdDuration   time.Duration
	ColdRateLimit  float64 // requests per second that a cold target can handle; 0: no limit
}

// Limits limits the size and duration of callers' requests and the idle time of their
// connections. Sizes are in bytes.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// FansOut reports whether a request is sent to every shard in Shards.
func (r *Route) FansOut() bool { return len(r.Shards) > 0 }

// AllowsRegion reports whether the route's requests may be served in a region. A
// route without AllowedRegions allows all.
func (r *Route) AllowsRegion(g Region) bool {
	return len(r.AllowedRegions) == 0 || slices.Contains(r.AllowedRegions, g)
}

// PickService returns the service for a random number in [0, 1), by weight, or "" for
// a route without services.
func (r *Route) PickService(draw float64) toucanservice.Name {
	total := 0.0
	for _, s := range r.Split {
		total += max(0, s.Weight)
	}
	left := draw * total
	for _, s := range r.Split {
		left -= max(0, s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}

// BuildIndex prepares MatchRoute. It is called once, before the rules are used.
func (r *Rules) BuildIndex() {
	r.routesByHost = make(map[string][]*Route, 4)
	for _, route := range r.Routes {
		host := strings.ToLower(route.Host)
		r.routesByHost[host] = append(r.routesByHost[host], route)
	}
	for _, routes := range r.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// MatchRoute returns the route with the longest prefix of path among those of a host
// name, with or without port, or nil.
func (r *Rules) MatchRoute(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := r.routesByHost[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i > 0 {
			routes = r.routesByHost[host[:i]]
		}
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// RouteByName returns the route with that name, or nil.
func (r *Rules) RouteByName(name string) *Route {
	for _, route := range r.Routes {
		if route.Name == name {
			return route
		}
	}
	return nil
}

// ZoneRegions maps each availability zone to its region.
type ZoneRegions map[toucanzone.Name]Region
