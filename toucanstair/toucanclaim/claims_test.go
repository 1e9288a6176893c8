package toucanclaim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanclaim"
)

// store is a key-value store with compare-and-swap whose calls take a random time.
// A share of them fails before or after taking effect.
type store struct {
	mu          sync.Mutex
	rng         *rand.Rand
	failureRate float64
	maxDelay    time.Duration
	revision    uint64
	keys        map[string]*toucanpb.Entry
	calls       int
}

func newStore(seed uint64, failureRate float64, maxDelay time.Duration) *store {
	return &store{rng: rand.New(rand.NewPCG(seed, 1)), failureRate: failureRate, maxDelay: maxDelay, keys: map[string]*toucanpb.Entry{}}
}

// simulateCall waits for the duration of a call, and reports whether its request and
// its reply are lost.
func (s *store) simulateCall() (requestLost, replyLost bool) {
	s.mu.Lock()
	s.calls++
	wait := time.Duration(s.rng.Int64N(int64(s.maxDelay) + 1))
	requestLost, replyLost = s.rng.Float64() < s.failureRate, s.rng.Float64() < s.failureRate
	s.mu.Unlock()
	<-time.After(wait)
	return requestLost, replyLost
}

var errNoReply = toucanfault.Unknown(toucanpb.Code_CODE_STORE, "no reply")

func (s *store) Get(_ context.Context, key string) (*toucanpb.Entry, error) {
	if requestLost, replyLost := s.simulateCall(); requestLost || replyLost {
		return nil, errNoReply
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key], nil
}

func (s *store) Put(_ context.Context, key string, value []byte, prev uint64, lease string) (uint64, error) {
	requestLost, replyLost := s.simulateCall()
	if requestLost && replyLost {
		// The write is delayed in the network and takes effect after the error.
		go func() {
			<-time.After(5 * s.maxDelay)
			_, _ = s.apply(key, value, prev, lease)
		}()
	}
	if requestLost {
		return 0, errNoReply
	}
	rev, err := s.apply(key, value, prev, lease)
	if replyLost {
		return 0, errNoReply
	}
	return rev, err
}

func (s *store) apply(key string, value []byte, prev uint64, lease string) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys[key].GetRevision() != prev {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT, key)
	}
	s.revision++
	s.keys[key] = &toucanpb.Entry{Key: key, Value: value, Revision: s.revision, Lease: lease}
	return s.revision, nil
}

func (s *store) Grant(context.Context, time.Duration) (string, error) { return "lease", nil }

// Guards against a request with a key that runs twice, and against an attempt that
// runs although it was declared not run. Slot owners pause between the steps, query
// coordinators void attempts, and store calls are lost, delayed or reordered.
func TestAtMostOneRun(t *testing.T) {
	base := uint64(time.Now().UnixNano())
	ran, voided := 0, 0
	for i := range uint64(1500) {
		r, v := runInterleaving(t, base+i)
		ran, voided = ran+r, voided+v
	}
	t.Logf("seed %d: %d runs, %d attempts declared not run", base, ran, voided)
	require.Positive(t, ran)
	require.Positive(t, voided)
}

// runInterleaving runs several attempts for one key at random times. It returns how
// many ran and how many were declared not run.
func runInterleaving(t *testing.T, seed uint64) (ran, voided int) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 2))
		s := newStore(seed, 0.15, 20*time.Millisecond)
		ctx, stop := context.WithCancel(t.Context())
		var mu sync.Mutex
		runs, void := map[string]int{}, map[string]bool{}
		var all sync.WaitGroup
		var ends []<-chan error
		for a := range 3 + rng.IntN(3) {
			owner, coordinator := &toucanclaim.Registry{Store: s}, &toucanclaim.Registry{Store: s}
			ends = append(ends, owner.Run(ctx))
			attempt := fmt.Sprint("a", a)
			start, pause := time.Duration(rng.IntN(60))*time.Millisecond, time.Duration(rng.IntN(60))*time.Millisecond
			sendFails, voidAfter := rng.IntN(3) == 0, time.Duration(rng.IntN(120))*time.Millisecond
			all.Go(func() {
				<-time.After(start)
				claim, err := owner.Acquire(ctx, "s", "k", attempt)
				if err != nil {
					return
				}
				<-time.After(pause)
				if sendFails {
					owner.Release(claim)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				runs[attempt]++
			})
			all.Go(func() {
				<-time.After(voidAfter)
				ok, err := coordinator.Void(ctx, "s", "k", attempt)
				mu.Lock()
				defer mu.Unlock()
				void[attempt] = ok && err == nil
			})
		}
		all.Wait()
		<-time.After(10 * time.Second)
		stop()
		for _, e := range ends {
			require.NoError(t, <-e)
		}
		for a, n := range runs {
			ran += n
			require.False(t, void[a], "seed %d: attempt %s ran after it was declared not run", seed, a)
		}
		require.LessOrEqual(t, ran, 1, "seed %d", seed)
		for _, ok := range void {
			if ok {
				voided++
			}
		}
	})
	return ran, voided
}

// Guards against claims that exceed WriteRate, and against more than one store call
// for a claim without a conflict.
func TestAcquireStaysWithinWriteBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(1, 0, 0)
		c := &toucanclaim.Registry{Store: s, WriteRate: 10}
		ok := 0
		for i := range 500 {
			claim, err := c.Acquire(t.Context(), "s", fmt.Sprint(i), "a")
			if err == nil {
				require.NotNil(t, claim)
				ok++
			} else {
				require.Equal(t, toucanpb.Code_CODE_OVERLOAD, toucanfault.As(err).Code)
				require.Equal(t, toucanpb.Outcome_OUTCOME_NOTRUN, toucanfault.As(err).Outcome)
			}
			<-time.After(10 * time.Millisecond)
		}
		require.InDelta(t, 60, ok, 2) // a burst of 10, then 10 a second for 5 s
		require.Equal(t, ok, s.calls)
	})
}

// Guards against an unlimited number of attempts for one key.
func TestAcquireRejectsAttemptsBeyondLimit(t *testing.T) {
	s := newStore(1, 0, 0)
	c := &toucanclaim.Registry{Store: s, WriteRate: 1000}
	for i := range 16 {
		ok, err := c.Void(t.Context(), "s", "k", fmt.Sprint(i))
		require.NoError(t, err)
		require.True(t, ok)
	}
	_, err := c.Acquire(t.Context(), "s", "k", "16")
	require.Error(t, err)
	require.Equal(t, toucanpb.Code_CODE_DUPLICATE, toucanfault.As(err).Code)
	require.Equal(t, toucanpb.Outcome_OUTCOME_NOTRUN, toucanfault.As(err).Outcome)
}
