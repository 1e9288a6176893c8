package toucanselector_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/toucanstair/toucanselector"
)

const seed = 42

func newReplicas(n int) []*toucanpb.Replica {
	out := make([]*toucanpb.Replica, n)
	for i := range out {
		out[i] = &toucanpb.Replica{Id: fmt.Sprint("r", i), Version: fmt.Sprint("v", i%2)}
	}
	return out
}

func runLeg(r *toucanselector.Selector, c *toucanpb.Replica, s toucanselector.LegResult) {
	r.BeginLeg(toucanreplica.ID(c.GetId()))
	r.EndLeg(toucanreplica.ID(c.GetId()), s)
}

// Guards against a host that is cut off and therefore ejects healthy replicas.
func TestEjectionStopsWhenHalfFail(t *testing.T) {
	for failing, ejected := range map[int]int{0: 0, 1: 1, 4: 4, 5: 0, 6: 0, 10: 0} {
		r := &toucanselector.Selector{Seed: seed}
		all := newReplicas(10)
		for range 10 {
			for i, c := range all {
				s := toucanselector.LegResult{Duration: time.Millisecond}
				if i < failing {
					s.Code = toucanpb.Code_CODE_DOWN
				}
				runLeg(r, c, s)
			}
		}
		require.Equal(t, ejected, r.EjectedCount(), "%d of 10 failing, seed %d", failing, seed)
	}
}

// Guards against an ejected replica that gets traffic, and against a recovered one that
// stays ejected.
func TestEjectionGrowsAndProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &toucanselector.Selector{Seed: seed}
		all := newReplicas(3)
		bad := toucanselector.LegResult{Code: toucanpb.Code_CODE_FAILED, Duration: time.Millisecond}
		good := toucanselector.LegResult{Duration: time.Millisecond}
		runLeg(r, all[1], good)
		runLeg(r, all[2], good)
		for range 10 {
			runLeg(r, all[0], bad)
		}
		badLegs := func() (n int) {
			for range 100 {
				c := r.Select(all, toucanselector.Criteria{})
				s := good
				if c == all[0] {
					n++
					s = bad
				}
				runLeg(r, c, s)
			}
			return n
		}
		require.Zero(t, badLegs())
		<-time.After(time.Second)
		require.Equal(t, 1, badLegs(), "one probe")
		<-time.After(time.Second)
		require.Zero(t, badLegs(), "the second ejection is longer")
		<-time.After(time.Second)
		probe := r.Select(all, toucanselector.Criteria{})
		require.Equal(t, all[0], probe)
		runLeg(r, probe, good)
		require.Zero(t, r.EjectedCount())
	})
}

// Guards against a leg that is sent to a replica which cannot or must not serve it.
func TestSelectSkipsUnusable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &toucanselector.Selector{Seed: seed}
		all := newReplicas(4)
		runLeg(r, all[0], toucanselector.LegResult{Draining: true})
		runLeg(r, all[1], toucanselector.LegResult{Indexes: []uint64{6}})
		for range 100 {
			c := r.Select(all, toucanselector.Criteria{Index: 7, Exclude: []toucanreplica.ID{"r2"}})
			require.Equal(t, all[3], c)
			require.Equal(t, "v1", r.Select(all, toucanselector.Criteria{Version: "v1"}).GetVersion())
		}
		require.Nil(t, r.Select(all[:2], toucanselector.Criteria{Index: 7}))
		require.NotNil(t, r.Select(all[1:2], toucanselector.Criteria{Index: 6}))
	})
}

// Guards against a slow replica that gets its full share under PolicyPowerOfTwo.
func TestPowerOfTwoAvoidsSlowReplica(t *testing.T) {
	count := func(p toucanselector.Policy) (n int) {
		r := &toucanselector.Selector{Seed: seed, Policy: p}
		all := newReplicas(4)
		for i, c := range all {
			took := time.Millisecond
			if i == 0 {
				took = 10 * time.Millisecond
			}
			runLeg(r, c, toucanselector.LegResult{Duration: took})
		}
		for range 1000 {
			if r.Select(all, toucanselector.Criteria{}) == all[0] {
				n++
			}
		}
		return n
	}
	require.Zero(t, count(toucanselector.PolicyPowerOfTwo))
	require.InDelta(t, 250, count(toucanselector.PolicyRandom), 60)
}
