// Package toucanquery runs queries: it pins the index version, runs a leg (the part of
// the query for one shard) for each shard, merges the results and reports the coverage.
package toucanquery

import (
	"context"
	"fmt"
	"time"
	"unicode"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucancatalog"
	"toucanstair.example/toucanstair/toucanworker"
)

const (
	maxLimit     = 1000 // items in a response
	defaultLimit = 10   // items in a response
	// maxKeyBytes limits the idempotency key, which becomes part of a store key.
	maxKeyBytes = 256
	// defaultResponseMargin is the time kept before the deadline for merging and
	// encoding. A query with a timeout below ten margins keeps a tenth of it.
	defaultResponseMargin = 2 * time.Millisecond
)

// inventory selects the index version of a query and knows which zones serve it;
// toucaninventory.Inventory implements it.
type inventory interface {
	// Pin returns the index version for all legs of a query. It fails with a
	// toucanfault.Error.
	Pin(toucanservice.Name, *toucancatalog.Catalog) (uint64, error)
	// ShardsByZone returns for each zone a bitmap of the shards that it is known to serve
	// at an index version: bit n%8 of byte n/8 is shard n.
	ShardsByZone(toucanservice.Name, *toucancatalog.Catalog, uint64) map[toucanzone.Name][]byte
}

// configuration is the configuration of this host; toucanconfig.Syncer implements it.
type configuration interface {
	// Catalog returns the catalog in effect, or nil if there is none.
	Catalog() *toucancatalog.Catalog
	// AwaitRevision waits for a bounded time until a revision or a later one is in effect.
	// It returns its catalog, or nil.
	AwaitRevision(ctx context.Context, revision uint64) *toucancatalog.Catalog
}

// legRunner runs legs in this host's zone; toucandispatch.Dispatcher implements it.
type legRunner interface {
	Run(context.Context, *toucanpb.Leg) *toucanpb.LegResult
}

// peerLink runs a leg at another host; toucanpeerlink.Client implements it.
type peerLink interface {
	Do(ctx context.Context, address string, leg *toucanpb.Leg) (*toucanpb.LegResult, error)
}

// contacts returns hosts through which another zone can be reached, best first.
type contacts interface {
	Contacts(toucanzone.Name) []*toucanpb.Member
}

// canary selects the service version of a query during a rollout. The coordinator
// reports no responses to it: the hosts that send the requests to the targets do, so
// that none counts twice.
type canary interface {
	// VersionFor returns the version that serves a request, or "" if any may.
	VersionFor(s toucanservice.Name, request string) string
	// NewVersionMayServe reports whether the rollout has begun and was not rolled back.
	NewVersionMayServe(s toucanservice.Name) bool
}

// budget limits hedges and retries in other zones; toucanhedge.Budget implements it.
type budget interface {
	Deposit()
	TryWithdraw() bool
	HedgeDelay(toucanservice.Name) time.Duration
	RecordLatency(toucanservice.Name, time.Duration)
}

// claims voids the claims of idempotency keys; toucanclaim.Registry implements it.
type claims interface {
	// Void declares an attempt not run. It returns true if the attempt has not run and
	// cannot run any more, and false if it may have run.
	Void(ctx context.Context, s toucanservice.Name, key, attempt string) (bool, error)
}

// drainer counts running legs, so that a shutdown waits for them.
type drainer interface {
	// BeginLeg counts a leg until EndLeg. It returns false, and counts none, if the
	// host refuses new legs.
	BeginLeg() bool
	EndLeg()
}

// Coordinator runs queries. Configuration, Inventory, Local, PeerLink and Contacts
// are required; the other interfaces and Log may be nil. Fields must not change after
// first use.
type Coordinator struct {
	Zone           toucanzone.Name // this host's zone
	Configuration  configuration
	Inventory      inventory
	Local          legRunner // runs legs in this zone
	PeerLink       peerLink  // runs legs at hosts of other zones
	Contacts       contacts
	Canary         canary
	Claims         claims
	Budget         budget // if nil, no leg is hedged in another zone
	Drainer        drainer
	ResponseMargin time.Duration // time kept before the deadline; 0 means 2 ms
	Log            *zap.Logger

	workers toucanworker.Pool
}

// task is a validated query.
type task struct {
	requestID   string
	query       *toucanpb.Query
	catalog     *toucancatalog.Catalog
	service     toucanservice.Name
	shards      uint32
	once        bool // the route is not idempotent
	limit       uint32
	legDeadline time.Time // deadline of the query less the response margin
	version     string    // of the service; "" for any
	traceparent string
}

// Search runs one query under the request id that the host assigned. It fails with a
// toucanfault.Error, whose outcome is notrun only if no leg of a non-idempotent
// request can have run.
func (c *Coordinator) Search(ctx context.Context, requestID string, q *toucanpb.Query) (*toucanpb.Answer, error) {
	t, err := c.validate(requestID, q)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, t.legDeadline)
	defer cancel()
	t.traceparent = traceparent(ctx)
	if c.Canary != nil {
		t.version = c.Canary.VersionFor(t.service, requestID)
	}
	if t.once {
		return c.runOnce(ctx, t)
	}
	return c.gather(ctx, t)
}

// validate checks a query against the configuration in effect.
func (c *Coordinator) validate(requestID string, q *toucanpb.Query) (*task, error) {
	start := time.Now()
	var catalog *toucancatalog.Catalog
	if c.Configuration != nil {
		catalog = c.Configuration.Catalog()
	}
	if catalog == nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "no configuration is in effect on this host")
	}
	name := toucanservice.Name(q.GetService())
	service, route := catalog.Service(name), catalog.Route(name, q.GetRoute())
	if service == nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, fmt.Sprintf("service %q is not configured", q.GetService()))
	}
	if route == nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN,
			fmt.Sprintf("service %q has no route %q", q.GetService(), q.GetRoute()))
	}
	if q.GetLimit() > maxLimit {
		return nil, invalidQuery("limit %d is above %d", q.GetLimit(), maxLimit)
	}
	maxTimeout := time.Duration(route.GetTimeoutUs()) * time.Microsecond
	timeout, err := queryTimeout(q, maxTimeout)
	if err != nil {
		return nil, err
	}
	if err := validateKey(q.GetKey(), route.GetOnce()); err != nil {
		return nil, err
	}
	t := &task{
		requestID:   requestID,
		query:       q,
		catalog:     catalog,
		service:     name,
		shards:      service.GetShards(),
		once:        route.GetOnce(),
		limit:       q.GetLimit(),
		legDeadline: start.Add(timeout - min(c.responseMargin(), timeout/10)),
	}
	if t.limit == 0 {
		t.limit = defaultLimit
	}
	if t.shards == 0 {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, fmt.Sprintf("service %q has no shards", q.GetService()))
	}
	return t, nil
}

// queryTimeout returns the timeout of a query, or the longest of the route if the
// query has none.
func queryTimeout(q *toucanpb.Query, maxTimeout time.Duration) (time.Duration, error) {
	if q.GetTimeout() == "" {
		return maxTimeout, nil
	}
	d, err := time.ParseDuration(q.GetTimeout())
	switch {
	case err != nil:
		return 0, invalidQuery("timeout %.40q is not a duration such as \"50ms\"", q.GetTimeout())
	case d <= 0:
		return 0, invalidQuery("timeout %s is not above zero", d)
	case d > maxTimeout:
		return 0, invalidQuery("timeout %s is above the route's longest deadline %s", d, maxTimeout)
	}
	return d, nil
}

func validateKey(key string, once bool) error {
	if key == "" {
		return nil
	}
	if !once {
		return invalidQuery("a key is only for a route that is not idempotent")
	}
	if len(key) > maxKeyBytes {
		return invalidQuery("key has %d bytes, more than %d", len(key), maxKeyBytes)
	}
	for _, r := range key {
		if unicode.IsControl(r) || r == unicode.ReplacementChar {
			return invalidQuery("key contains control characters or invalid UTF-8")
		}
	}
	return nil
}

func (c *Coordinator) responseMargin() time.Duration {
	if c.ResponseMargin > 0 {
		return c.ResponseMargin
	}
	return defaultResponseMargin
}

func (c *Coordinator) log() *zap.Logger {
	if c.Log == nil {
		return zap.NewNop()
	}
	return c.Log
}

func invalidQuery(format string, args ...any) error {
	return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, fmt.Sprintf(format, args...))
}
