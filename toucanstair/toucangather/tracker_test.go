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
	tracker := toucangather.Tracker{Shards: 10, MinCoverage: 0.8, SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Minute)}
	for range 8 {
		tracker.RecordArrival()
	}
	fmt.Println(tracker.Decide(now) == toucangather.Wait, tracker.Decide(now.Add(time.Second)) == toucangather.Respond)
	// Output: true true
}

// Guards against floating-point error that raises the number of shards needed.
func TestMinShardsIgnoresRoundingError(t *testing.T) {
	for _, c := range []struct {
		shards   int
		coverage float64
		least    int
	}{{100, 0.89, 89}, {20, 0.89, 18}, {90, 0.95, 86}, {20, 0.75, 15}, {3, 0, 1}, {135, 0.85, 115}} {
		tracker := toucangather.Tracker{Shards: c.shards, MinCoverage: c.coverage}
		require.Equal(t, c.least, tracker.MinShards(), "%d shards, %v", c.shards, c.coverage)
	}
}

// Guards against waiting when the minimum coverage can't be reached any more, or
// when all shards have responded or are lost.
func TestDecidedResponseIsNotDelayed(t *testing.T) {
	now := time.Now()
	tracker := toucangather.Tracker{Shards: 10, MinCoverage: 0.8, SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Minute)}
	for range 8 {
		tracker.RecordArrival()
	}
	tracker.RecordLoss()
	tracker.RecordLoss()
	require.Equal(t, toucangather.Respond, tracker.Decide(now))
	abandoned := toucangather.Tracker{Shards: 10, MinCoverage: 0.8, Deadline: now.Add(time.Minute)}
	for range 3 {
		abandoned.RecordLoss()
	}
	require.Equal(t, toucangather.Abandon, abandoned.Decide(now))
}

// Property test over shards that respond, are lost or stay silent: a tracker
// never responds below the minimum coverage, never waits past the deadline or
// after the last shard, and always returns a wake time for its next change.
func TestDecisionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		tracker := toucangather.Tracker{
			Shards:      rapid.IntRange(1, 40).Draw(t, "shards"),
			MinCoverage: rapid.Float64Range(0, 1).Draw(t, "coverage"),
			Deadline:    start.Add(800 * time.Millisecond),
		}
		if rapid.Bool().Draw(t, "softDeadline") {
			tracker.SoftDeadline = start.Add(100 * time.Millisecond)
		}
		now := start
		received, lost := 0, 0
		for received+lost < tracker.Shards {
			decision := tracker.Decide(now)
			if decision == toucangather.Respond {
				require.GreaterOrEqual(t, received, tracker.MinShards())
			}
			if decision == toucangather.Abandon {
				require.True(t, tracker.Shards-lost < tracker.MinShards() || !now.Before(tracker.Deadline))
			}
			if decision != toucangather.Wait {
				return
			}
			require.True(t, now.Before(tracker.Deadline))
			wake := tracker.NextWake(now)
			require.True(t, wake.After(now) && !wake.After(tracker.Deadline))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				tracker.RecordArrival()
				received++
			case 1:
				tracker.RecordLoss()
				lost++
			case 2:
				now = wake
			}
		}
		require.NotEqual(t, toucangather.Wait, tracker.Decide(now))
	})
}
