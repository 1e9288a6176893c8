package toucangather_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanstair.example/toucanstair/toucangather"
)

func ExampleTracker() {
	now := time.Now()
	p := toucangather.Tracker{Shards: 10, MinCoverage: 0.8, SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Minute)}
	for range 8 {
		p.RecordArrival()
	}
	fmt.Println(p.Decide(now) == toucangather.Wait, p.Decide(now.Add(time.Second)) == toucangather.Respond)
	// Output: true true
}

// Guards against a coverage that floating-point arithmetic rounds up.
func TestMinShardsIgnoresRoundingError(t *testing.T) {
	for _, c := range []struct {
		shards   int
		coverage float64
		least    int
	}{{100, 0.89, 89}, {20, 0.89, 18}, {90, 0.95, 86}, {20, 0.75, 15}, {3, 0, 1}, {135, 0.85, 115}} {
		p := toucangather.Tracker{Shards: c.shards, MinCoverage: c.coverage}
		require.Equal(t, c.least, p.MinShards(), "%d shards, %v", c.shards, c.coverage)
	}
}

// Guards against waiting for a response that can't be given any more, or that
// is as complete as it can be.
func TestDecidedResponseIsNotDelayed(t *testing.T) {
	now := time.Now()
	p := toucangather.Tracker{Shards: 10, MinCoverage: 0.8, SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Minute)}
	for range 8 {
		p.RecordArrival()
	}
	p.RecordLoss()
	p.RecordLoss()
	require.Equal(t, toucangather.Respond, p.Decide(now))
	q := toucangather.Tracker{Shards: 10, MinCoverage: 0.8, Deadline: now.Add(time.Minute)}
	for range 3 {
		q.RecordLoss()
	}
	require.Equal(t, toucangather.Abandon, q.Decide(now))
}

// Plays days of shards that respond, are lost or stay silent, and checks that a
// plan never gives less than the least coverage, never waits past the limit, never
// waits once all is decided, and always wakes for its next change.
func TestDecisionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		began := time.Unix(1000, 0)
		p := toucangather.Tracker{
			Shards:      rapid.IntRange(1, 40).Draw(t, "shards"),
			MinCoverage: rapid.Float64Range(0, 1).Draw(t, "coverage"),
			Deadline:    began.Add(800 * time.Millisecond),
		}
		if rapid.Bool().Draw(t, "due") {
			p.SoftDeadline = began.Add(100 * time.Millisecond)
		}
		now := began
		in, lost := 0, 0
		for in+lost < p.Shards {
			v := p.Decide(now)
			if v == toucangather.Respond {
				require.GreaterOrEqual(t, in, p.MinShards())
			}
			if v == toucangather.Abandon {
				require.True(t, p.Shards-lost < p.MinShards() || !now.Before(p.Deadline))
			}
			if v != toucangather.Wait {
				return
			}
			require.True(t, now.Before(p.Deadline))
			wake := p.NextWake(now)
			require.True(t, wake.After(now) && !wake.After(p.Deadline))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				p.RecordArrival()
				in++
			case 1:
				p.RecordLoss()
				lost++
			case 2:
				now = wake
			}
		}
		require.NotEqual(t, toucangather.Wait, p.Decide(now))
	})
}
