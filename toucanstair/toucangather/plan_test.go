package toucangather_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanstair.example/toucanstair/toucangather"
)

func ExamplePlan() {
	now := time.Now()
	p := toucangather.Plan{Shards: 10, Coverage: 0.8, Due: now.Add(time.Second), Limit: now.Add(time.Minute)}
	for range 8 {
		p.Arrived()
	}
	fmt.Println(p.Verdict(now) == toucangather.Wait, p.Verdict(now.Add(time.Second)) == toucangather.Give)
	// Output: true true
}

// Guards against a coverage that floating-point arithmetic rounds up.
func TestLeastIsNotRoundedPastTheShare(t *testing.T) {
	for _, c := range []struct {
		shards   int
		coverage float64
		least    int
	}{{100, 0.89, 89}, {20, 0.89, 18}, {90, 0.95, 86}, {20, 0.75, 15}, {3, 0, 1}, {135, 0.85, 115}} {
		p := toucangather.Plan{Shards: c.shards, Coverage: c.coverage}
		require.Equal(t, c.least, p.Least(), "%d shards, %v", c.shards, c.coverage)
	}
}

// Guards against waiting for a response that can't be given any more, or that
// is as complete as it can be.
func TestKnownEndsAreNotWaitedFor(t *testing.T) {
	now := time.Now()
	p := toucangather.Plan{Shards: 10, Coverage: 0.8, Due: now.Add(time.Second), Limit: now.Add(time.Minute)}
	for range 8 {
		p.Arrived()
	}
	p.Lost()
	p.Lost()
	require.Equal(t, toucangather.Give, p.Verdict(now))
	q := toucangather.Plan{Shards: 10, Coverage: 0.8, Limit: now.Add(time.Minute)}
	for range 3 {
		q.Lost()
	}
	require.Equal(t, toucangather.Abandon, q.Verdict(now))
}

// Plays days of shards that respond, are lost or stay silent, and checks that a
// plan never gives less than the least coverage, never waits past the limit, never
// waits once all is decided, and always wakes for its next change.
func TestVerdictsHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		began := time.Unix(1000, 0)
		p := toucangather.Plan{
			Shards:   rapid.IntRange(1, 40).Draw(t, "shards"),
			Coverage: rapid.Float64Range(0, 1).Draw(t, "coverage"),
			Limit:    began.Add(800 * time.Millisecond),
		}
		if rapid.Bool().Draw(t, "due") {
			p.Due = began.Add(100 * time.Millisecond)
		}
		now := began
		in, lost := 0, 0
		for in+lost < p.Shards {
			v := p.Verdict(now)
			if v == toucangather.Give {
				require.GreaterOrEqual(t, in, p.Least())
			}
			if v == toucangather.Abandon {
				require.True(t, p.Shards-lost < p.Least() || !now.Before(p.Limit))
			}
			if v != toucangather.Wait {
				return
			}
			require.True(t, now.Before(p.Limit))
			wake := p.Wake(now)
			require.True(t, wake.After(now) && !wake.After(p.Limit))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				p.Arrived()
				in++
			case 1:
				p.Lost()
				lost++
			case 2:
				now = wake
			}
		}
		require.NotEqual(t, toucangather.Wait, p.Verdict(now))
	})
}
