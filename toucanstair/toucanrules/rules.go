// Package toucanrules holds the operators' rules for requests that are
// forwarded as they came: routes, services and limits of one version.
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

// Rules is one version of the operators' rules. It is not changed after
// Index was called.
type Rules struct {
	Version  uint64
	Routes   []*Route
	Services map[toucanservice.Name]Service
	Limits   Limits

	hosts map[string][]*Route // longest prefix first
}

// Route says where the requests of one host name and path prefix go.
type Route struct {
	Name             string
	Host             string
	Prefix           string
	Idempotent       bool // whether a request may run more than once
	Timeout          time.Duration
	LatencyObjective time.Duration     // latency objective
	Priority         int               // 0 is the most urgent
	MaxAttempts      int               // most targets on which one request may run
	Split            []WeightedService // one entry for a plain route
	Shards           []toucanservice.Name
	MaxRecords       int     // records of a merged response
	MinCoverage      float64 // least share of the shards in a merged response
	AllowedRegions   []Region
}

// WeightedService is a service with its part of a route's requests.
type WeightedService struct {
	Service toucanservice.Name
	Weight  float64
}

// Service describes the targets of one service.
type Service struct {
	HealthPath     string
	MaxConnections int // most connections of one target, from all hosts together
	ColdDuration   time.Duration
	ColdRateLimit  float64 // requests a second that a cold target can handle; 0: no limit
}

// Limits bounds what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// FansOut reports whether a request goes to every shard of a set.
func (r *Route) FansOut() bool { return len(r.Shards) > 0 }

// AllowsRegion reports whether the route's requests may be served in a region.
func (r *Route) AllowsRegion(g Region) bool {
	return len(r.AllowedRegions) == 0 || slices.Contains(r.AllowedRegions, g)
}

// PickService returns the service for a draw from 0 to below 1.
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

// BuildIndex prepares Match; it is called once, before other use.
func (r *Rules) BuildIndex() {
	r.hosts = make(map[string][]*Route, 4)
	for _, t := range r.Routes {
		host := strings.ToLower(t.Host)
		r.hosts[host] = append(r.hosts[host], t)
	}
	for _, ts := range r.hosts {
		slices.SortStableFunc(ts, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// MatchRoute returns the route of a host name and path, or nil.
func (r *Rules) MatchRoute(host, path string) *Route {
	host = strings.ToLower(host)
	ts, ok := r.hosts[host]
	if !ok {
		if i := strings.LastIndexByte(host, ':'); i > 0 {
			ts = r.hosts[host[:i]]
		}
	}
	for _, t := range ts {
		if strings.HasPrefix(path, t.Prefix) {
			return t
		}
	}
	return nil
}

// RouteByName returns the route with a name, or nil.
func (r *Rules) RouteByName(name string) *Route {
	for _, t := range r.Routes {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// ZoneRegions tells the region of each availability zone.
type ZoneRegions map[toucanzone.Name]Region
