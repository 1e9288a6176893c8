package toucanbalancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucanrules"
)

func entry(id string, zone toucanzone.Name) toucanbalancer.TargetInfo {
	return toucanbalancer.TargetInfo{ID: toucanreplica.ID(id), Service: "s", Address: "10.0.0.1:1", Zone: zone, Slots: 2, StartMillis: 1}
}

func ids(ts []*toucanbalancer.Target) []string {
	out := []string{}
	for _, t := range ts {
		out = append(out, string(t.ID))
	}
	return out
}

func ExampleTargetSet() {
	var set toucanbalancer.TargetSet
	now := time.Now()
	set.Upsert(entry("t1", "a"), now)
	set.Upsert(entry("t2", "a"), now)
	leaving := entry("t1", "a")
	leaving.Draining = true
	set.Upsert(leaving, now)
	fmt.Println(ids(set.Candidates("s")))
	// Output: [t2]
}

// Guards against a target that still gets requests after its entry was removed while
// others are listed, and against a service without targets while all of its entries
// are missing for a short time.
func TestUnlistedTargetsAreUsedOnlyAsFallback(t *testing.T) {
	var set toucanbalancer.TargetSet
	now := time.Now()
	set.Upsert(entry("t1", "a"), now)
	set.Upsert(entry("t2", "a"), now)
	set.MarkUnlisted("t1", now)
	require.Equal(t, []string{"t2"}, ids(set.Candidates("s")))
	set.MarkUnlisted("t2", now)
	require.Len(t, set.Candidates("s"), 2)
	set.Upsert(entry("t1", "a"), now.Add(time.Second))
	require.Equal(t, []string{"t1"}, ids(set.Candidates("s")))
	require.Len(t, set.RemoveExpired(now.Add(2*time.Second), false), 1)
	require.Equal(t, 1, set.Len())
}

// Guards against targets that are removed before their entries can be back after the
// list was unavailable.
func TestUnlistedTargetsAreKeptLongerAfterListOutage(t *testing.T) {
	var set toucanbalancer.TargetSet
	now := time.Now()
	set.Upsert(entry("t1", "a"), now)
	set.MarkUnlisted("t1", now)
	require.Empty(t, set.RemoveExpired(now.Add(2*time.Second), true))
	require.Len(t, set.RemoveExpired(now.Add(2150*time.Millisecond), true), 1, "a leaving target serves 3 s, of which a watch may take 0.85 s")
}

// Guards against observations of a target that are kept after it restarted.
func TestNewIncarnationStartsWithoutObservations(t *testing.T) {
	var set toucanbalancer.TargetSet
	now := time.Now()
	set.Upsert(entry("t1", "a"), now)
	set.Candidates("s")[0].Stats.RecordSuccess(now, time.Second)
	set.Upsert(entry("t1", "b"), now)
	require.Equal(t, time.Second, set.Candidates("s")[0].Stats.Snapshot(now).Latency, "not restarted")
	again := entry("t1", "b")
	again.StartMillis = 2
	set.Upsert(again, now)
	require.Zero(t, set.Candidates("s")[0].Stats.Snapshot(now).Latency)
}

var picker = toucanbalancer.Picker{Zone: "a", Region: "x", ZoneRegions: toucanrules.ZoneRegions{"a": "x", "b": "x", "c": "y"}}

func pick(set *toucanbalancer.TargetSet, now time.Time) string {
	t, _ := picker.Pick(set.Candidates("s"), toucanbalancer.Constraints{}, now)
	if t == nil {
		return ""
	}
	return string(t.ID)
}

// Guards against requests that cross zones or regions without need.
func TestPickerPrefersNearTargets(t *testing.T) {
	var set toucanbalancer.TargetSet
	now := time.Now()
	for _, e := range []toucanbalancer.TargetInfo{entry("far", "c"), entry("region", "b"), entry("zone", "a")} {
		set.Upsert(e, now)
	}
	require.Equal(t, "zone", pick(&set, now))
}

// Guards against requests to a stalled target: once the first request is late, the
// others go elsewhere, although no response has shown the stall yet.
func TestStalledTargetIsAvoidedBeforeItResponds(t *testing.T) {
	var set toucanbalancer.TargetSet
	now := time.Now()
	set.Upsert(entry("near", "a"), now)
	set.Upsert(entry("far", "c"), now)
	for _, t := range set.Candidates("s") {
		took := 8 * time.Millisecond
		if t.ID == "far" {
			took = 30 * time.Millisecond
		}
		t.Stats.RecordSuccess(now, took)
	}
	require.Equal(t, "near", pick(&set, now))
	for _, target := range set.Candidates("s") {
		if target.ID == "near" {
			target.Stats.Begin(now)
		}
	}
	require.Equal(t, "near", pick(&set, now.Add(10*time.Millisecond)))
	require.Equal(t, "far", pick(&set, now.Add(45*time.Millisecond)))
}

// Guards against a failing target that is never tried again, and against an
// unreachable one that is tried at each request.
func TestObservationsDecay(t *testing.T) {
	var set toucanbalancer.TargetSet
	now := time.Now()
	set.Upsert(entry("t1", "a"), now)
	target := set.Candidates("s")[0]
	for range 20 {
		target.Stats.RecordFailure(now)
	}
	require.Greater(t, target.Stats.Snapshot(now).FailureRate, 0.9)
	require.Less(t, target.Stats.Snapshot(now.Add(10*time.Second)).FailureRate, 0.05)
	target.Stats.RecordConnectFailure(now)
	require.Empty(t, pick(&set, now.Add(100*time.Millisecond)))
	require.Equal(t, "t1", pick(&set, now.Add(time.Second)))
}
