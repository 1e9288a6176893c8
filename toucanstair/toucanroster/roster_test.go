package toucanroster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanroster"
	"toucanstair.example/toucanstair/toucanrules"
)

func entry(id string, zone toucanzone.Name) toucanroster.Entry {
	return toucanroster.Entry{ID: toucanreplica.ID(id), Service: "s", Address: "10.0.0.1:1", Zone: zone, Slots: 2, Born: 1}
}

func ids(ts []*toucanroster.Target) []string {
	out := []string{}
	for _, t := range ts {
		out = append(out, string(t.ID))
	}
	return out
}

func ExampleRoster() {
	var r toucanroster.Roster
	now := time.Now()
	r.Put(entry("t1", "a"), now)
	r.Put(entry("t2", "a"), now)
	leaving := entry("t1", "a")
	leaving.Draining = true
	r.Put(leaving, now)
	fmt.Println(ids(r.Listed("s")))
	// Output: [t2]
}

// Guards against a target that goes on getting requests after its entry went
// while others are listed, and against a service without targets while all of
// its entries lapse for a short time.
func TestTargetsWithoutEntryAreTheLastResort(t *testing.T) {
	var r toucanroster.Roster
	now := time.Now()
	r.Put(entry("t1", "a"), now)
	r.Put(entry("t2", "a"), now)
	r.Drop("t1", now)
	require.Equal(t, []string{"t2"}, ids(r.Listed("s")))
	r.Drop("t2", now)
	require.Len(t, r.Listed("s"), 2)
	r.Put(entry("t1", "a"), now.Add(time.Second))
	require.Equal(t, []string{"t1"}, ids(r.Listed("s")))
	require.Len(t, r.Sweep(now.Add(2*time.Second), false), 1)
	require.Equal(t, 1, r.Size())
}

// Guards against targets that are forgotten before their entries can be back
// after the list was out of reach.
func TestTargetsAreKeptLongerWhileTheListIsUncertain(t *testing.T) {
	var r toucanroster.Roster
	now := time.Now()
	r.Put(entry("t1", "a"), now)
	r.Drop("t1", now)
	require.Empty(t, r.Sweep(now.Add(2*time.Second), true))
	require.Len(t, r.Sweep(now.Add(2150*time.Millisecond), true), 1, "a leaving target serves 3 s, of which a watch may take 0.85 s")
}

// Guards against observations of a former incarnation that count for the next.
func TestNewIncarnationStartsWithoutObservations(t *testing.T) {
	var r toucanroster.Roster
	now := time.Now()
	r.Put(entry("t1", "a"), now)
	r.Listed("s")[0].Load.Answered(now, time.Second)
	r.Put(entry("t1", "b"), now)
	require.Equal(t, time.Second, r.Listed("s")[0].Load.View(now).Latency, "the same incarnation")
	again := entry("t1", "b")
	again.Born = 2
	r.Put(again, now)
	require.Zero(t, r.Listed("s")[0].Load.View(now).Latency)
}

var chooser = toucanroster.Chooser{Zone: "a", Region: "x", Places: toucanrules.Places{"a": "x", "b": "x", "c": "y"}}

func choose(r *toucanroster.Roster, now time.Time) string {
	t, _ := chooser.Choose(r.Listed("s"), toucanroster.Need{}, now)
	if t == nil {
		return ""
	}
	return string(t.ID)
}

// Guards against requests that cross zones or regions without need.
func TestNearTargetsComeFirst(t *testing.T) {
	var r toucanroster.Roster
	now := time.Now()
	for _, e := range []toucanroster.Entry{entry("far", "c"), entry("region", "b"), entry("zone", "a")} {
		r.Put(e, now)
	}
	require.Equal(t, "zone", choose(&r, now))
}

// Plays a paused replica under load: after the first request is late, the
// others go elsewhere although no response has shown the pause yet.
func TestPausedTargetIsAvoidedBeforeItResponds(t *testing.T) {
	var r toucanroster.Roster
	now := time.Now()
	r.Put(entry("near", "a"), now)
	r.Put(entry("far", "c"), now)
	for _, t := range r.Listed("s") {
		took := 8 * time.Millisecond
		if t.ID == "far" {
			took = 30 * time.Millisecond
		}
		t.Load.Answered(now, took)
	}
	require.Equal(t, "near", choose(&r, now))
	for _, target := range r.Listed("s") {
		if target.ID == "near" {
			target.Load.Begin(now)
		}
	}
	require.Equal(t, "near", choose(&r, now.Add(10*time.Millisecond)))
	require.Equal(t, "far", choose(&r, now.Add(45*time.Millisecond)))
}

// Guards against a slow or failing target that is never tried again, and
// against one that can't be reached and is tried all the time.
func TestObservationsFade(t *testing.T) {
	var r toucanroster.Roster
	now := time.Now()
	r.Put(entry("t1", "a"), now)
	target := r.Listed("s")[0]
	for range 20 {
		target.Load.Failed(now)
	}
	require.Greater(t, target.Load.View(now).Failures, 0.9)
	require.Less(t, target.Load.View(now.Add(10*time.Second)).Failures, 0.05)
	target.Load.Unreachable(now)
	require.Empty(t, choose(&r, now.Add(100*time.Millisecond)))
	require.Equal(t, "t1", choose(&r, now.Add(time.Second)))
}
