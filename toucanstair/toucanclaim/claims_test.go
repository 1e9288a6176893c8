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

// store is a key-value service with compare-and-swap whose calls take a
// random time, and of which a share fails before or after taking effect.
type store struct {
	mu    sync.Mutex
	rng   *rand.Rand
	fail  float64
	slow  time.Duration
	rev   uint64
	keys  map[string]*toucanpb.Entry
	calls int
}

func newStore(seed uint64, fail float64, slow time.Duration) *store {
	return &store{rng: rand.New(rand.NewPCG(seed, 1)), fail: fail, slow: slow, keys: map[string]*toucanpb.Entry{}}
}

// step waits and reports whether the request and the reply are lost.
func (s *store) step() (lost, mute bool) {
	s.mu.Lock()
	s.calls++
	wait := time.Duration(s.rng.Int64N(int64(s.slow) + 1))
	lost, mute = s.rng.Float64() < s.fail, s.rng.Float64() < s.fail
	s.mu.Unlock()
	<-time.After(wait)
	return lost, mute
}

var down = toucanfault.Unknown(toucanpb.Code_CODE_STORE, "no reply")

func (s *store) Get(_ context.Context, key string) (*toucanpb.Entry, error) {
	if lost, mute := s.step(); lost || mute {
		return nil, down
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key], nil
}

func (s *store) Put(_ context.Context, key string, value []byte, prev uint64, lease string) (uint64, error) {
	lost, mute := s.step()
	if lost && mute {
		// The write is delayed in the network and takes effect after the error.
		go func() {
			<-time.After(5 * s.slow)
			_, _ = s.apply(key, value, prev, lease)
		}()
	}
	if lost {
		return 0, down
	}
	rev, err := s.apply(key, value, prev, lease)
	if mute {
		return 0, down
	}
	return rev, err
}

func (s *store) apply(key string, value []byte, prev uint64, lease string) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys[key].GetRevision() != prev {
		return 0, toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT, key)
	}
	s.rev++
	s.keys[key] = &toucanpb.Entry{Key: key, Value: value, Revision: s.rev, Lease: lease}
	return s.rev, nil
}

func (s *store) Grant(context.Context, time.Duration) (string, error) { return "lease", nil }

// Guards against a keyed request running twice, and against a request that
// was declared not run and runs after all, when owners pause between the
// steps, entry hosts void, and store calls are lost, delayed or crossed.
func TestAtMostOneRun(t *testing.T) {
	base := uint64(time.Now().UnixNano())
	ran, voided := 0, 0
	for i := range uint64(1500) {
		r, v := interleave(t, base+i)
		ran, voided = ran+r, voided+v
	}
	t.Logf("seed %d: %d runs, %d attempts declared not run", base, ran, voided)
	require.Positive(t, ran)
	require.Positive(t, voided)
}

func interleave(t *testing.T, seed uint64) (ran, voided int) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 2))
		s := newStore(seed, 0.15, 20*time.Millisecond)
		ctx, stop := context.WithCancel(t.Context())
		var mu sync.Mutex
		runs, void := map[string]int{}, map[string]bool{}
		var all sync.WaitGroup
		var ends []<-chan error
		for a := range 3 + rng.IntN(3) {
			owner, entry := &toucanclaim.Registry{Store: s}, &toucanclaim.Registry{Store: s}
			ends = append(ends, owner.Run(ctx))
			attempt := fmt.Sprint("a", a)
			start, pause := time.Duration(rng.IntN(60))*time.Millisecond, time.Duration(rng.IntN(60))*time.Millisecond
			abort, patience := rng.IntN(3) == 0, time.Duration(rng.IntN(120))*time.Millisecond
			all.Go(func() {
				<-time.After(start)
				claim, err := owner.Acquire(ctx, "s", "k", attempt)
				if err != nil {
					return
				}
				<-time.After(pause)
				if abort {
					owner.Release(claim)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				runs[attempt]++
			})
			all.Go(func() {
				<-time.After(patience)
				ok, err := entry.Void(ctx, "s", "k", attempt)
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

// Guards against claims that use more of the store's write rate than allowed,
// and more than two calls for each.
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
		require.InDelta(t, 60, ok, 2) // 10 at first and 10 a second for 5 s
		require.Equal(t, ok, s.calls)
	})
}

// Guards against a key that takes attempts without bound.
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
