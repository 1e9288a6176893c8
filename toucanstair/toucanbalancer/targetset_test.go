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
	var r toucanbalancer.TargetSet
	now := time.Now()
	r.Upsert(entry("t1", "a"), now)
	r.Upsert(entry("t2", "a"), now)
	leaving := entry("t1", "a")
	leaving.Draining = true
	r.Upsert(leaving, now)
	fmt.Println(ids(r.Candidates("s")))
	// Output: [t2]
}

// Guards against a target that still gets requests after its entry was removed while
// others are listed, and against a service without targets while all of its entries
// are missing for a short time.
func TestUnlistedTargetsAreUsedOnlyAsFallback(t *testing.T) {
	var r toucanbalancer.TargetSet
	now := time.Now()
	r.Upsert(entry("t1", "a"), now)
	r.Upsert(entry("t2", "a"), now)
	r.MarkUnlisted("t1", now)
	require.Equal(t, []string{"t2"}, ids(r.Candidates("s")))
	r.MarkUnlisted("t2", now)
	require.Len(t, r.Candidates("s"), 2)
	r.Upsert(entry("t1", "a"), now.Add(time.Second))
	require.Equal(t, []string{"t1"}, ids(r.Candidates("s")))
	require.Len(t, r.RemoveExpired(now.Add(2*time.Second), false), 1)
	require.Equal(t, 1, r.Len())
}

// Guards against targets that are removed before their entries can be back after the
// list was unavailable.
func TestUnlistedTargetsAreKeptLongerAfterListOutage(t *testing.T) {
	var r toucanbalancer.TargetSet
	now := time.Now()
	r.Upsert(entry("t1", "a"), now)
	r.MarkUnlisted("t1", now)
	require.Empty(t, r.RemoveExpired(now.Add(2*time.Second), true))
	require.Len(t, r.RemoveExpired(now.Add(2150*time.Millisecond), true), 1, "a leaving target serves 3 s, of which a watch may take 0.85 s")
}

// Guards against observations of a target that are kept after it restarted.
func TestNewIncarnationStartsWithoutObservations(t *testing.T) {
	var r toucanbalancer.TargetSet
	now := time.Now()
	r.Upsert(entry("t1", "a"), now)
	r.Candidates("s")[0].Stats.RecordSuccess(now, time.Second)
	r.Upsert(entry("t1", "b"), now)
	require.Equal(t, time.Second, r.Candidates("s")[0].Stats.Snapshot(now).Latency, "not restarted")
	again := entry("t1", "b")
	again.StartMillis = 2
	r.Upsert(again, now)
	require.Zero(t, r.Candidates("s")[0].Stats.Snapshot(now).Latency)
}

var picker = toucanbalancer.Picker{Zone: "a", Region: "x", ZoneRegions: toucanrules.ZoneRegions{"a": "x", "b": "x", "c": "y"}}

func pick(r *toucanbalancer.TargetSet, now time.Time) string {
	t, _ := picker.Pick(r.Candidates("s"), toucanbalancer.Constraints{}, now)
	if t == nil {
		return ""
	}
	return string(t.ID)
}

// Guards against requests that cross zones or regions without need.
func TestPickerPrefersNearTargets(t *testing.T) {
	var r toucanbalancer.TargetSet
	now := time.Now()
	for _, e := range []toucanbalancer.TargetInfo{entry("far", "c"), entry("region", "b"), entry("zone", "a")} {
		r.Upsert(e, now)
	}
	require.Equal(t, "zone", pick(&r, now))
}

// Guards against requests to a stalled target: once the first request is late, the
// others go elsewhere, although no response has shown the stall yet.
func TestStalledTargetIsAvoidedBeforeItResponds(t *testing.T) {
	var r toucanbalancer.TargetSet
	now := time.Now()
	r.Upsert(entry("near", "a"), now)
	r.Upsert(entry("far", "c"), now)
	for _, t := range r.Candidates("s") {
		took := 8 * time.Millisecond
		if t.ID == "far" {
			took = 30 * time.Millisecond
		}
		t.Stats.RecordSuccess(now, took)
	}
	require.Equal(t, "near", pick(&r, now))
	for _, target := range r.Candidates("s") {
		if target.ID == "near" {
			target.Stats.Begin(now)
		}
	}
	require.Equal(t, "near", pick(&r, now.Add(10*time.Millisecond)))
	require.Equal(t, "far", pick(&r, now.Add(45*time.Millisecond)))
}

// Guards against a failing target that is never tried again, and against an
// unreachable one that is tried at each request.
func TestObservationsDecay(t *testing.T) {
	var r toucanbalancer.TargetSet
	now := time.Now()
	r.Upsert(entry("t1", "a"), now)
	target := r.Candidates("s")[0]
	for range 20 {
		target.Stats.RecordFailure(now)
	}
	require.Greater(t, target.Stats.Snapshot(now).Failures, 0.9)
	require.Less(t, target.Stats.Snapshot(now.Add(10*time.Second)).Failures, 0.05)
	target.Stats.RecordConnectFailure(now)
	require.Empty(t, pick(&r, now.Add(100*time.Millisecond)))
	require.Equal(t, "t1", pick(&r, now.Add(time.Second)))
}
