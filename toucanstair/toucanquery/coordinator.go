// Package toucanquery runs queries: it pins the snapshot, runs a leg for each
// shard, merges the results and states the coverage.
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
	maxLimit     = 1000
	defaultLimit = 10
	// maxKey bounds the idempotency key in bytes; it becomes part of a store key.
	maxKey = 256
	// defaultMargin is kept between the end of the legs and the deadline for
	// merging and encoding. A query of less than ten margins keeps a tenth.
	defaultMargin = 2 * time.Millisecond
)

type inventory interface {
	Pin(toucanservice.Name, *toucancatalog.Catalog) (uint64, error)
	ShardsByZone(toucanservice.Name, *toucancatalog.Catalog, uint64) map[toucanzone.Name][]byte
}

type keeper interface {
	Catalog() *toucancatalog.Catalog
}

type cell interface {
	Run(context.Context, *toucanpb.Leg) *toucanpb.LegResult
}

type link interface {
	Do(ctx context.Context, address string, leg *toucanpb.Leg) (*toucanpb.LegResult, error)
}

type contacts interface {
	Contacts(toucanzone.Name) []*toucanpb.Member
}

// judge chooses the version; the owners of the slots report the responses to it,
// so that a leg counts once.
type judge interface {
	VersionFor(s toucanservice.Name, request string) string
	NewVersionMayServe(s toucanservice.Name) bool
}

// budget bounds the legs that are sent beside or after another one.
type budget interface {
	Deposit()
	TryWithdraw() bool
	HedgeDelay(toucanservice.Name) time.Duration
	RecordLatency(toucanservice.Name, time.Duration)
}

type claims interface {
	Void(ctx context.Context, s toucanservice.Name, key, attempt string) (bool, error)
}

type drainer interface {
	BeginLeg() bool
	EndLeg()
}

// Coordinator runs queries. Its fields are set before use and not changed;
// Keeper, Inventory, Cell, Link and Contacts are needed, the others may be nil.
type Coordinator struct {
	Zone           toucanzone.Name // this host's zone
	Configuration  keeper
	Inventory      inventory
	Local          cell
	PeerLink       link
	Contacts       contacts
	Canary         judge
	Claims         claims
	Budget         budget // without one, no leg is hedged in another zone
	Drainer        drainer
	ResponseMargin time.Duration // time kept before the deadline; 0 means 2 ms
	Log            *zap.Logger

	workers toucanworker.Pool
}

// task is a validated query.
type task struct {
	request string
	query   *toucanpb.Query
	catalog *toucancatalog.Catalog
	service toucanservice.Name
	shards  uint32
	once    bool
	limit   uint32
	leave   time.Time // when to respond
	label   string    // version of the service
	trace   string    // traceparent
}

// Search runs one query under the request id that the host gave it. It returns
// a toucanfault.Error when there is no answer; its outcome is NOTRUN only if no
// leg of a non-idempotent request can have run.
func (c *Coordinator) Search(ctx context.Context, request string, q *toucanpb.Query) (*toucanpb.Answer, error) {
	t, err := c.check(request, q)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, t.leave)
	defer cancel()
	t.trace = traceparent(ctx)
	if c.Canary != nil {
		t.label = c.Canary.VersionFor(t.service, request)
	}
	if t.once {
		return c.runOnce(ctx, t)
	}
	return c.gather(ctx, t)
}

// check validates a query against the configuration in effect.
func (c *Coordinator) check(request string, q *toucanpb.Query) (*task, error) {
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
		return nil, invalid("limit %d is above %d", q.GetLimit(), maxLimit)
	}
	longest := time.Duration(route.GetTimeoutUs()) * time.Microsecond
	timeout, err := timeoutOf(q, longest)
	if err != nil {
		return nil, err
	}
	if err := checkKey(q.GetKey(), route.GetOnce()); err != nil {
		return nil, err
	}
	t := &task{
		request: request,
		query:   q,
		catalog: catalog,
		service: name,
		shards:  service.GetShards(),
		once:    route.GetOnce(),
		limit:   q.GetLimit(),
		leave:   start.Add(timeout - min(c.margin(), timeout/10)),
	}
	if t.limit == 0 {
		t.limit = defaultLimit
	}
	if t.shards == 0 {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_UNKNOWN, fmt.Sprintf("service %q has no shards", q.GetService()))
	}
	return t, nil
}

func timeoutOf(q *toucanpb.Query, longest time.Duration) (time.Duration, error) {
	if q.GetTimeout() == "" {
		return longest, nil
	}
	d, err := time.ParseDuration(q.GetTimeout())
	switch {
	case err != nil:
		return 0, invalid("timeout %.40q is not a duration such as \"50ms\"", q.GetTimeout())
	case d <= 0:
		return 0, invalid("timeout %s is not above zero", d)
	case d > longest:
		return 0, invalid("timeout %s is above the route's longest deadline %s", d, longest)
	}
	return d, nil
}

func checkKey(key string, once bool) error {
	if key == "" {
		return nil
	}
	if !once {
		return invalid("a key is only for a route that is not idempotent")
	}
	if len(key) > maxKey {
		return invalid("key has %d bytes, more than %d", len(key), maxKey)
	}
	for _, r := range key {
		if unicode.IsControl(r) || r == unicode.ReplacementChar {
			return invalid("key contains control characters or invalid UTF-8")
		}
	}
	return nil
}

func (c *Coordinator) margin() time.Duration {
	if c.ResponseMargin > 0 {
		return c.ResponseMargin
	}
	return defaultMargin
}

func (c *Coordinator) log() *zap.Logger {
	if c.Log == nil {
		return zap.NewNop()
	}
	return c.Log
}

func invalid(format string, args ...any) error {
	return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, fmt.Sprintf(format, args...))
}
