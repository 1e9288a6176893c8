// Package toucanclaim records claims on idempotency keys in the platform's store, so
// that a request with a key runs at most once. An attempt is one query with a key; its
// id is the query id.
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
	defaultWriteRate = 50 // store writes a second
	// Claims stay in the store for at least minClaimLifetime. Claims made within
	// leaseReuseTime share one store lease, whose TTL is the sum of both.
	minClaimLifetime = 24 * time.Hour
	leaseReuseTime   = time.Hour
	// maxAttempts limits the attempts listed in one value.
	maxAttempts = 16
	// maxStoreRounds limits the rounds of read and compare-and-swap of one call.
	maxStoreRounds = 4
	maxPending     = 1024            // released claims that wait to be voided
	voidRetryDelay = time.Second     // between attempts to void released claims
	voidTimeout    = 2 * time.Second // of one attempt to void a released claim
)

const (
	stateHeld = "held"
	stateVoid = "void"
	stateDone = "done" // reserved, never written; when read, the key counts as claimed
)

var (
	claimsTaken     = metrics.NewCounter("toucan_claim_taken_total")
	claimsRefused   = metrics.NewCounter("toucan_claim_refused_total")
	claimsAbandoned = metrics.NewCounter("toucan_claim_abandoned_total")
)

// Store is the part of the platform's key-value store that a Registry uses. Get
// returns nil for an absent key. Put writes a key whose revision is prev, or 0 when
// the key is absent, and returns the new revision; it fails with CODE_CONFLICT when
// the key has another revision. Grant returns the id of a new store lease. Errors are
// toucanfault.Errors.
type Store interface {
	Get(ctx context.Context, key string) (*toucanpb.Entry, error)
	Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (string, error)
}

// Registry acquires and voids claims. Store is required. The exported fields must not
// change after first use.
type Registry struct {
	Store     Store
	WriteRate float64 // store writes a second, default 50
	Log       *zap.Logger

	once    sync.Once
	limiter *rate.Limiter

	mu             sync.Mutex
	lease          string        // store lease of new claims
	leaseRequested time.Time     // when the store lease was requested
	pending        []*Claim      // released and not voided yet
	wake           chan struct{} // wakes Run when a claim is released
}

// Claim is the right of one attempt to send the request of a key.
type Claim struct {
	key      string
	attempt  string
	token    string
	revision uint64 // of the key; 0 when the write was not confirmed
	value    value
}

// value is the JSON value at claim/<service>/<key>. The attempts of a void value have
// not run and must not run. In a held value the last attempt holds the claim, and those
// before it were voided. Token identifies the write.
type value struct {
	State    string   `json:"state"`
	Token    string   `json:"token"`
	Attempts []string `json:"attempts"`
}

func (r *Registry) init() {
	r.once.Do(func() {
		perSecond := r.WriteRate
		if perSecond <= 0 {
			perSecond = defaultWriteRate
		}
		r.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
		r.wake = make(chan struct{}, 1)
	})
}

// Acquire claims a key for an attempt; call it before the request is sent. It returns
// a toucanfault.Error with CODE_DUPLICATE when the key is claimed, the attempt was
// declared not run or the key has had too many attempts, CODE_OVERLOAD when WriteRate
// is exceeded, or CODE_STORE when the store fails. The outcome is notrun, except when
// the key is claimed for the same attempt; then it is unknown.
func (r *Registry) Acquire(ctx context.Context, s toucanservice.Name, key, attempt string) (*Claim, error) {
	r.init()
	if !r.limiter.Allow() {
		claimsRefused.Inc()
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_OVERLOAD, "the write rate for claims is exceeded")
	}
	lease, err := r.storeLease(ctx)
	if err != nil {
		claimsRefused.Inc()
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_STORE, "the store granted no lease for the claim").Because(err)
	}
	claim := &Claim{key: storeKey(s, key), attempt: attempt, token: rand.Text()}
	claim.value = value{State: stateHeld, Token: claim.token, Attempts: []string{attempt}}
	if err := r.writeClaim(ctx, claim, lease); err != nil {
		claimsRefused.Inc()
		return nil, err
	}
	claimsTaken.Inc()
	return claim, nil
}

// writeClaim writes a claim whose key is absent or void. It reads the key back after
// a conflict and when the result of a write is not known.
func (r *Registry) writeClaim(ctx context.Context, claim *Claim, lease string) error {
	var prev uint64
	for range maxStoreRounds {
		rev, err := r.put(ctx, claim.key, claim.value, prev, lease)
		if err == nil {
			claim.revision = rev
			return nil
		}
		if f := toucanfault.As(err); f != nil && f.Code != toucanpb.Code_CODE_CONFLICT && f.Outcome == toucanpb.Outcome_OUTCOME_NOTRUN {
			return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "the claim was not written").Because(err)
		}
		entry, v, getErr := r.get(ctx, claim.key)
		switch {
		case getErr != nil:
			// The write may still take effect, so the claim is voided in the background.
			r.Release(claim)
			return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "the write of the claim was not confirmed").Because(getErr)
		case entry == nil && isConflict(err):
			prev = 0 // the key was deleted between the write and the read
		case entry == nil:
			r.Release(claim)
			return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "the write of the claim was not confirmed").Because(err)
		case v.Token == claim.token:
			claim.revision = entry.GetRevision()
			return nil
		case v.State != stateVoid:
			if len(v.Attempts) > 0 && v.Attempts[len(v.Attempts)-1] == claim.attempt {
				return toucanfault.Unknown(toucanpb.Code_CODE_DUPLICATE, "the key is already claimed for this attempt")
			}
			return toucanfault.NotRun(toucanpb.Code_CODE_DUPLICATE, "the key is already claimed")
		case slices.Contains(v.Attempts, claim.attempt):
			return toucanfault.NotRun(toucanpb.Code_CODE_DUPLICATE, "the attempt was declared not run")
		case len(v.Attempts) >= maxAttempts:
			return toucanfault.NotRun(toucanpb.Code_CODE_DUPLICATE, "the key has had too many attempts")
		default:
			prev = entry.GetRevision()
			claim.value.Attempts = append(slices.Clone(v.Attempts), claim.attempt)
		}
	}
	r.Release(claim)
	return toucanfault.NotRun(toucanpb.Code_CODE_STORE, "the claim was not written because other writes of the key conflicted")
}

// Void declares an attempt not run. It returns true when the attempt has not run
// and cannot run any more, and false when the key is claimed, so that it may have
// run. It returns a toucanfault.Error with outcome unknown and CODE_OVERLOAD when ctx
// ends before WriteRate permits a write, or CODE_STORE when the store fails.
func (r *Registry) Void(ctx context.Context, s toucanservice.Name, key, attempt string) (bool, error) {
	r.init()
	if err := r.limiter.Wait(ctx); err != nil {
		return false, toucanfault.Unknown(toucanpb.Code_CODE_OVERLOAD, "the write rate for claims is exceeded").Because(err)
	}
	lease, err := r.storeLease(ctx)
	if err != nil {
		return false, toucanfault.Unknown(toucanpb.Code_CODE_STORE, "the store granted no lease for the claim").Because(err)
	}
	var last error
	for range maxStoreRounds {
		entry, v, err := r.get(ctx, storeKey(s, key))
		if err != nil {
			return false, toucanfault.Unknown(toucanpb.Code_CODE_STORE, "the claim was not read").Because(err)
		}
		switch {
		case entry == nil:
		case v.State != stateVoid:
			return false, nil
		case slices.Contains(v.Attempts, attempt), len(v.Attempts) >= maxAttempts:
			// A full list rejects every further attempt until its store lease ends.
			return true, nil
		}
		next := value{State: stateVoid, Token: rand.Text(), Attempts: append(slices.Clone(v.Attempts), attempt)}
		if _, last = r.put(ctx, storeKey(s, key), next, entry.GetRevision(), lease); last == nil {
			return true, nil
		}
	}
	return false, toucanfault.Unknown(toucanpb.Code_CODE_STORE, "the claim was not voided").Because(last)
}

// Release gives up a claim whose request was not sent; Run voids it in the background.
// When maxPending claims are waiting, the key stays claimed until its store lease ends:
// further attempts are rejected, but nothing runs twice.
func (r *Registry) Release(claim *Claim) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) >= maxPending {
		claimsAbandoned.Inc()
		if r.Log != nil {
			r.Log.Warn("claim not voided, too many claims are waiting", zap.String("key", claim.key))
		}
		return
	}
	r.pending = append(r.pending, claim)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Pending returns the number of released claims that are not voided yet.
func (r *Registry) Pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending)
}

// Run voids released claims until ctx ends, and then sends nil on the channel.
func (r *Registry) Run(ctx context.Context) <-chan error {
	r.init()
	end := make(chan error, 1)
	go func() {
		for {
			r.voidPending(ctx)
			var retry <-chan time.Time
			if r.Pending() > 0 {
				retry = time.After(voidRetryDelay)
			}
			select {
			case <-ctx.Done():
				end <- nil
				return
			case <-r.wake:
			case <-retry:
			}
		}
	}()
	return end
}

// voidPending voids the released claims in order, until none is left or the store
// fails.
func (r *Registry) voidPending(ctx context.Context) {
	for {
		r.mu.Lock()
		if len(r.pending) == 0 {
			r.mu.Unlock()
			return
		}
		claim := r.pending[0]
		r.mu.Unlock()
		if err := r.voidClaim(ctx, claim); err != nil {
			return
		}
		r.mu.Lock()
		r.pending = r.pending[1:]
		r.mu.Unlock()
	}
}

// voidClaim voids a claim whose request was not sent. An unconfirmed write of the claim
// may take effect later, so a void value is also written when the key is absent.
func (r *Registry) voidClaim(ctx context.Context, claim *Claim) error {
	ctx, cancel := context.WithTimeout(ctx, voidTimeout)
	defer cancel()
	if err := r.limiter.Wait(ctx); err != nil {
		return err
	}
	lease, err := r.storeLease(ctx)
	if err != nil {
		return err
	}
	next := value{State: stateVoid, Token: rand.Text(), Attempts: claim.value.Attempts}
	if claim.revision != 0 {
		if _, err = r.put(ctx, claim.key, next, claim.revision, lease); err == nil {
			return nil
		}
	}
	for range maxStoreRounds {
		entry, v, getErr := r.get(ctx, claim.key)
		if getErr != nil {
			return getErr
		}
		switch {
		case entry == nil:
			next.Attempts = []string{claim.attempt}
		case v.Token == claim.token:
			next.Attempts = v.Attempts
		case v.State != stateVoid, slices.Contains(v.Attempts, claim.attempt), len(v.Attempts) >= maxAttempts:
			return nil
		default:
			next.Attempts = append(slices.Clone(v.Attempts), claim.attempt)
		}
		if _, err = r.put(ctx, claim.key, next, entry.GetRevision(), lease); err == nil {
			return nil
		}
	}
	return err
}

// storeLease returns the id of a store lease that lasts for at least
// minClaimLifetime.
func (r *Registry) storeLease(ctx context.Context) (string, error) {
	r.mu.Lock()
	lease, reusable := r.lease, time.Since(r.leaseRequested) < leaseReuseTime
	r.mu.Unlock()
	if lease != "" && reusable {
		return lease, nil
	}
	start := time.Now()
	lease, err := r.Store.Grant(ctx, minClaimLifetime+leaseReuseTime)
	if err != nil {
		return "", err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease, r.leaseRequested = lease, start
	return lease, nil
}

func (r *Registry) put(ctx context.Context, key string, v value, prev uint64, lease string) (uint64, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_INTERNAL, "the claim cannot be encoded").Because(err)
	}
	return r.Store.Put(ctx, key, raw, prev, lease)
}

// get reads the value of a key. A value that cannot be decoded or has an unknown state
// counts as held, because its attempts are not known.
func (r *Registry) get(ctx context.Context, key string) (*toucanpb.Entry, value, error) {
	entry, err := r.Store.Get(ctx, key)
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

func isConflict(err error) bool {
	f := toucanfault.As(err)
	return f != nil && f.Code == toucanpb.Code_CODE_CONFLICT
}

func storeKey(s toucanservice.Name, key string) string { return "claim/" + string(s) + "/" + key }
