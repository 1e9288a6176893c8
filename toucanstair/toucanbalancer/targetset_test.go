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

// Guards against requests to a target that left more than 3 s ago, on a host that learned of
// it late, and against a target that is dropped early because its removal was learned in time.
func TestRemovedTargetExpiresFromTimeOfRemoval(t *testing.T) {
	const late = 1700 * time.Millisecond
	for _, afterOutage := range []bool{false, true} {
		var set toucanbalancer.TargetSet
		removed := time.Now()
		set.Upsert(entry("late", "a"), removed)
		set.Upsert(entry("prompt", "a"), removed)
		set.MarkRemoved("late", removed, removed.Add(late))
		set.MarkRemoved("prompt", removed.Add(late-850*time.Millisecond), removed.Add(late))
		require.Empty(t, set.RemoveExpired(removed.Add(2600*time.Millisecond), afterOutage))
		require.Equal(t, []toucanreplica.ID{"late"}, set.RemoveExpired(removed.Add(2700*time.Millisecond), afterOutage))
		require.Empty(t, set.RemoveExpired(removed.Add(late+1790*time.Millisecond), afterOutage))
	}
}

// Guards against a target that gets requests between two calls of RemoveExpired, against a
// time of removal that is known only later, and against one that ignores the operators' limit.
func TestTargetGetsNoRequestsAfterItMayHaveEnded(t *testing.T) {
	for limit, set := range map[time.Duration]*toucanbalancer.TargetSet{3 * time.Second: {}, 5 * time.Second: {ServingTime: 5 * time.Second}} {
		picker := toucanbalancer.Picker{}
		removed := time.Now()
		set.Upsert(entry("t1", "a"), removed)
		pick := func(at time.Duration) *toucanbalancer.Target {
			target, _ := picker.Pick(set.Candidates("s"), toucanbalancer.Constraints{}, removed.Add(at))
			return target
		}
		set.MarkUnlisted("t1", removed.Add(limit-time.Second))
		require.NotNil(t, pick(limit))
		set.MarkRemoved("t1", removed, removed.Add(limit-800*time.Millisecond))
		require.NotNil(t, pick(limit-400*time.Millisecond))
		require.Nil(t, pick(limit-300*time.Millisecond))
		_, available := picker.AvailableAt(set.Candidates("s"), toucanbalancer.Constraints{}, removed.Add(limit-300*time.Millisecond))
		require.False(t, available)
	}
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

// Guards against a leaving target that gets requests again because of a late entry, an
// entry that was gone for a while, or the store's outage, and against the next process
// of the target that gets none.
func TestLeavingTargetIsOutForItsProcessOnly(t *testing.T) {
	var set toucanbalancer.TargetSet
	now := time.Now()
	set.Upsert(entry("t1", "a"), now)
	set.Upsert(entry("t2", "a"), now)
	require.True(t, set.MarkLeaving(toucanbalancer.Departure{Target: "t1", StartMillis: 1}, now))
	require.False(t, set.MarkLeaving(toucanbalancer.Departure{Target: "t1", StartMillis: 1}, now), "it is known")
	require.Equal(t, []string{"t2"}, ids(set.Candidates("s")))
	late := entry("t1", "a")
	late.Version = "v2"
	set.Upsert(late, now)
	require.Equal(t, []string{"t2"}, ids(set.Candidates("s")), "a later entry says ready")
	set.MarkUnlisted("t1", now)
	set.MarkUnlisted("t2", now)
	require.Equal(t, []string{"t2"}, ids(set.Candidates("s")), "not even as a fallback")
	set.RemoveExpired(now.Add(time.Minute), false)
	set.Upsert(entry("t1", "a"), now.Add(time.Minute))
	require.Empty(t, ids(set.Candidates("s")), "listed again")
	next := entry("t1", "a")
	next.StartMillis = 2
	set.Upsert(next, now.Add(time.Minute))
	require.Equal(t, []string{"t1"}, ids(set.Candidates("s")))
}

// Guards against departures that are kept without a bound, and against receivers that
// miss one or get it twice.
func TestDeparturesAreBoundedAndNumbered(t *testing.T) {
	var set toucanbalancer.TargetSet
	now := time.Now()
	const recorded, limit = 9000, 8192
	for i := range recorded {
		set.MarkLeaving(toucanbalancer.Departure{Target: toucanreplica.ID(fmt.Sprint(i))}, now)
	}
	all, last := set.DeparturesSince(0)
	require.Len(t, all, limit)
	require.EqualValues(t, recorded, last)
	require.Equal(t, toucanreplica.ID(fmt.Sprint(recorded-limit)), all[0].Target)
	newest, _ := set.DeparturesSince(last - 1)
	require.Equal(t, all[limit-1:], newest)
	none, same := set.DeparturesSince(last)
	require.Empty(t, none)
	require.Equal(t, last, same)
	set.RemoveExpired(now.Add(time.Hour), false)
	none, same = set.DeparturesSince(0)
	require.Empty(t, none)
	require.Equal(t, last, same)
}

// Guards against a target whose entry is gone for a moment during its cold start: it
// would get requests at the full rate.
func TestUnlistedTargetStaysCold(t *testing.T) {
	var set toucanbalancer.TargetSet
	now := time.Now()
	cold := entry("t1", "a")
	cold.ColdRemaining = time.Minute
	set.Upsert(cold, now)
	set.MarkUnlisted("t1", now)
	require.True(t, set.Candidates("s")[0].IsCold(now.Add(time.Second)))
}

// Guards against a full rate in a second cold time that is as long as the first.
func TestTargetTurnsColdAgainWithSameEntry(t *testing.T) {
	var set toucanbalancer.TargetSet
	now := time.Now()
	cold := entry("t1", "a")
	cold.ColdRemaining = 3 * time.Second
	set.Upsert(cold, now)
	now = now.Add(12 * time.Second)
	require.False(t, set.Candidates("s")[0].IsCold(now))
	set.Upsert(cold, now)
	require.True(t, set.Candidates("s")[0].IsCold(now))
}

// Guards against an estimate that uses up the rate of a cold target, and against a cold
// target that gets its full rate again each time its entry changes.
func TestColdTokensAreTakenByRequestsOnly(t *testing.T) {
	var set toucanbalancer.TargetSet
	now := time.Now()
	cold := entry("t1", "a")
	cold.ColdRemaining = time.Hour
	set.Upsert(cold, now)
	cons := toucanbalancer.Constraints{ColdRateLimit: 1}
	_, _ = picker.Pick(set.Candidates("s"), cons, now) // starts the refilling
	now = now.Add(2 * time.Second)
	for range 5 {
		target, _ := picker.Estimate(set.Candidates("s"), cons, now)
		require.NotNil(t, target)
	}
	target, _ := picker.Pick(set.Candidates("s"), cons, now)
	require.NotNil(t, target)
	for i := range 20 {
		cold.Slots = 3 + i
		set.Upsert(cold, now)
		target, _ = picker.Pick(set.Candidates("s"), cons, now)
		require.Nil(t, target)
	}
}

// Guards against a target that asked for a pause and gets requests because another
// response of it arrived meanwhile or its entry changed.
func TestRequestedPauseLasts(t *testing.T) {
	var set toucanbalancer.TargetSet
	now := time.Now()
	set.Upsert(entry("t1", "a"), now)
	target := set.Candidates("s")[0]
	target.Stats.RecordRequestedPause(now, 4*time.Second)
	target.Stats.RecordRequestedPause(now, time.Second)
	target.Stats.RecordSuccess(now, time.Millisecond)
	changed := entry("t1", "a")
	changed.Slots = 7
	set.Upsert(changed, now)
	require.Empty(t, pick(&set, now.Add(3900*time.Millisecond)))
	at, ok := picker.AvailableAt(set.Candidates("s"), toucanbalancer.Constraints{}, now.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, now.Add(4*time.Second), at)
	require.Equal(t, "t1", pick(&set, now.Add(4*time.Second)))
}
