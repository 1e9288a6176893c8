// Package toucanclaim keeps idempotency claims in the platform's store, so
// that a keyed request runs at most once.
package toucanclaim

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanservice"
)

const (
	defaultRate = 50 // store writes a second
	// Keys stay for at least lifetime: one store lease serves the claims of an
	// hour and lasts an hour longer.
	lifetime = 24 * time.Hour
	share    = time.Hour
	// attemptLimit bounds the attempts listed in one value.
	attemptLimit = 16
	// tries bounds the rounds of read and compare-and-swap for one call.
	tries       = 4
	pendingMost = 1024
	pause       = time.Second
	voidTimeout = 2 * time.Second
)

const (
	stateHeld = "held"
	stateVoid = "void"
	stateDone = "done"
)

var (
	taken    = metrics.NewCounter("toucan_claim_taken_total")
	refused  = metrics.NewCounter("toucan_claim_refused_total")
	abandons = metrics.NewCounter("toucan_claim_abandoned_total")
)

// Store is what Claims needs of the platform's store.
type Store interface {
	Get(ctx context.Context, key string) (*toucanpb.Entry, error)
	Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (string, error)
}

// Registry takes and voids claims. Store is required. Fields must not change
// after first use.
type Registry struct {
	Store     Store
	WriteRate float64 // store writes a second, default 50
	Log       *zap.Logger

	once    sync.Once
	limiter *rate.Limiter

	mu      sync.Mutex
	lease   string
	granted time.Time
	pending []*Claim
	wake    chan struct{}
}

// Claim is the right to send one request once.
type Claim struct {
	key      string
	attempt  string
	token    string
	revision uint64 // 0 when the write was not confirmed
	value    value
}

// value is the JSON under claim/<service>/<key>. The last attempt of a held
// value is its holder's; the attempts of a void value did not run.
type value struct {
	State    string   `json:"state"`
	Token    string   `json:"token"`
	Attempts []string `json:"attempts"`
}

func (c *Registry) start() {
	c.once.Do(func() {
		r := c.WriteRate
		if r <= 0 {
			r = defaultRate
		}
		c.limiter = rate.NewLimiter(rate.Limit(r), max(1, int(r)))
		c.wake = make(chan struct{}, 1)
	})
}

// Acquire claims a key for an attempt before the request is sent. It fails with
// CODE_DUPLICATE when another claim exists or the attempt was declared not
// run, CODE_OVERLOAD beyond the write budget, and CODE_STORE. The outcome is
// notrun except when the key is held for the same attempt.
func (c *Registry) Acquire(ctx context.Context, s toucanservice.Name, key, attempt string) (*Claim, error) {
	c.start()
	if !c.limiter.Allow() {
		refused.Inc()
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_OVERLOAD, "budget for claims used up")
	}
	lease, err := c.attach(ctx)
	if err != nil {
		refused.Inc()
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_STORE, "no store lease for the claim").Because(err)
	}
	claim := &Claim{key: path(s, key), attempt: attempt, token: rand.Text()}
	claim.value = value{State: stateHeld, Token: claim.token, Attempts: []string{attempt}}
	if err := c.take(ctx, claim, lease); err != nil {
		refused.Inc()
		return nil, err
	}
	taken.Inc()
	return claim, nil
}

func (c *Registry) take(ctx context.Context, claim *Claim, lease string) error {
	var prev uint64
	for range tries {
		rev, err := c.put(ctx, claim.key, claim.value, prev, lease)
		if err == nil {
			claim.revision = rev
			return nil
		}
		if f := toucanfault.As(err); f != nil && f.Code != toucanpb.Code_CODE_CONFLICT && f.Outcome == toucanpb.Outcome_OUTCOME_NOTRUN {
			return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "claim not written").Because(err)
		}
		entry, v, got := c.get(ctx, claim.key)
		switch {
		case got != nil:
			// The write may still take effect, so it is voided in the background.
			c.Release(claim)
			return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "claim not confirmed").Because(got)
		case entry == nil && conflict(err):
			prev = 0
		case entry == nil:
			c.Release(claim)
			return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "claim not confirmed").Because(err)
		case v.Token == claim.token:
			claim.revision = entry.GetRevision()
			return nil
		case v.State != stateVoid:
			if len(v.Attempts) > 0 && v.Attempts[len(v.Attempts)-1] == claim.attempt {
				return toucanfault.Unknown(toucanpb.Code_CODE_DUPLICATE, "this attempt is already claimed")
			}
			return toucanfault.NotRun(toucanpb.Code_CODE_DUPLICATE, "key is already claimed")
		case slices.Contains(v.Attempts, claim.attempt):
			return toucanfault.NotRun(toucanpb.Code_CODE_DUPLICATE, "attempt was declared not run")
		case len(v.Attempts) >= attemptLimit:
			return toucanfault.NotRun(toucanpb.Code_CODE_DUPLICATE, "too many attempts for the key")
		default:
			prev = entry.GetRevision()
			claim.value.Attempts = append(slices.Clone(v.Attempts), claim.attempt)
		}
	}
	c.Release(claim)
	return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "claim contended")
}

// Void declares an attempt not run. It returns true if no owner can send the
// attempt any more and none has claimed it, and false if it may have run.
func (c *Registry) Void(ctx context.Context, s toucanservice.Name, key, attempt string) (bool, error) {
	c.start()
	if err := c.limiter.Wait(ctx); err != nil {
		return false, toucanfault.Unknown(toucanpb.Code_CODE_OVERLOAD, "budget for claims used up").Because(err)
	}
	lease, err := c.attach(ctx)
	if err != nil {
		return false, toucanfault.Unknown(toucanpb.Code_CODE_STORE, "no store lease for the claim").Because(err)
	}
	var last error
	for range tries {
		entry, v, err := c.get(ctx, path(s, key))
		if err != nil {
			return false, toucanfault.Unknown(toucanpb.Code_CODE_STORE, "claim not read").Because(err)
		}
		switch {
		case entry == nil:
		case v.State != stateVoid:
			return false, nil
		case slices.Contains(v.Attempts, attempt), len(v.Attempts) >= attemptLimit:
			// A full list refuses every further attempt until its lease ends.
			return true, nil
		}
		next := value{State: stateVoid, Token: rand.Text(), Attempts: append(slices.Clone(v.Attempts), attempt)}
		if _, last = c.put(ctx, path(s, key), next, entry.GetRevision(), lease); last == nil {
			return true, nil
		}
	}
	return false, toucanfault.Unknown(toucanpb.Code_CODE_STORE, "claim not voided").Because(last)
}

// Release gives back a claim whose request was not sent; Run writes the void
// value in the background. Beyond 1,024 waiting claims the key stays held
// until its store lease ends, which refuses repeats but runs nothing twice.
func (c *Registry) Release(claim *Claim) {
	c.start()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= pendingMost {
		abandons.Inc()
		if c.Log != nil {
			c.Log.Warn("claim stays held, too many wait to be voided", zap.String("key", claim.key))
		}
		return
	}
	c.pending = append(c.pending, claim)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Pending returns the number of claims that wait to be voided.
func (c *Registry) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// Run voids released claims until ctx ends, and then reports on the channel.
func (c *Registry) Run(ctx context.Context) <-chan error {
	c.start()
	end := make(chan error, 1)
	go func() {
		for {
			c.settle(ctx)
			var again <-chan time.Time
			if c.Pending() > 0 {
				again = time.After(pause)
			}
			select {
			case <-ctx.Done():
				end <- nil
				return
			case <-c.wake:
			case <-again:
			}
		}
	}()
	return end
}

// settle voids the waiting claims in order until the store fails.
func (c *Registry) settle(ctx context.Context) {
	for {
		c.mu.Lock()
		if len(c.pending) == 0 {
			c.mu.Unlock()
			return
		}
		claim := c.pending[0]
		c.mu.Unlock()
		if err := c.void(ctx, claim); err != nil {
			return
		}
		c.mu.Lock()
		c.pending = c.pending[1:]
		c.mu.Unlock()
	}
}

// void replaces an unsent claim of this host. An unconfirmed write may take
// effect later, so a void value is also written where the key is absent.
func (c *Registry) void(ctx context.Context, claim *Claim) error {
	ctx, cancel := context.WithTimeout(ctx, voidTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return err
	}
	lease, err := c.attach(ctx)
	if err != nil {
		return err
	}
	next := value{State: stateVoid, Token: rand.Text(), Attempts: claim.value.Attempts}
	if claim.revision != 0 {
		if _, err = c.put(ctx, claim.key, next, claim.revision, lease); err == nil {
			return nil
		}
	}
	for range tries {
		entry, v, got := c.get(ctx, claim.key)
		if got != nil {
			return got
		}
		switch {
		case entry == nil:
			next.Attempts = []string{claim.attempt}
		case v.Token == claim.token:
			next.Attempts = v.Attempts
		case v.State != stateVoid, slices.Contains(v.Attempts, claim.attempt), len(v.Attempts) >= attemptLimit:
			return nil
		default:
			next.Attempts = append(slices.Clone(v.Attempts), claim.attempt)
		}
		if _, err = c.put(ctx, claim.key, next, entry.GetRevision(), lease); err == nil {
			return nil
		}
	}
	return err
}

// attach returns a store lease that lasts for at least the lifetime of a key.
func (c *Registry) attach(ctx context.Context) (string, error) {
	c.mu.Lock()
	lease, fresh := c.lease, time.Since(c.granted) < share
	c.mu.Unlock()
	if lease != "" && fresh {
		return lease, nil
	}
	start := time.Now()
	lease, err := c.Store.Grant(ctx, lifetime+share)
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease, c.granted = lease, start
	return lease, nil
}

func (c *Registry) put(ctx context.Context, key string, v value, prev uint64, lease string) (uint64, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_INTERNAL, "claim not encodable").Because(err)
	}
	return c.Store.Put(ctx, key, raw, prev, lease)
}

// get reads a claim. A value that cannot be read counts as held, because
// nothing is known of its attempts.
func (c *Registry) get(ctx context.Context, key string) (*toucanpb.Entry, value, error) {
	entry, err := c.Store.Get(ctx, key)
	if err != nil || entry == nil {
		return nil, value{}, err
	}
	var v value
	if err := json.Unmarshal(entry.GetValue(), &v); err != nil {
		return entry, value{State: stateHeld}, nil
	}
	switch v.State {
	case stateHeld, stateVoid, stateDone:
	default:
		v.State = stateHeld
	}
	return entry, v, nil
}

func conflict(err error) bool {
	f := toucanfault.As(err)
	return f != nil && f.Code == toucanpb.Code_CODE_CONFLICT
}

func path(s toucanservice.Name, key string) string { return "claim/" + string(s) + "/" + key }
