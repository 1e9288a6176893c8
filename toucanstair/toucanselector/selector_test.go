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

func runLeg(sel *toucanselector.Selector, c *toucanpb.Replica, s toucanselector.LegResult) {
	sel.BeginLeg(toucanreplica.ID(c.GetId()))
	sel.EndLeg(toucanreplica.ID(c.GetId()), s)
}

// Guards against a host that is cut off and therefore ejects healthy replicas.
func TestEjectionStopsWhenHalfFail(t *testing.T) {
	for failing, ejected := range map[int]int{0: 0, 1: 1, 4: 4, 5: 0, 6: 0, 10: 0} {
		sel := &toucanselector.Selector{Seed: seed}
		all := newReplicas(10)
		for range 10 {
			for i, c := range all {
				s := toucanselector.LegResult{Duration: time.Millisecond}
				if i < failing {
					s.Code = toucanpb.Code_CODE_DOWN
				}
				runLeg(sel, c, s)
			}
		}
		require.Equal(t, ejected, sel.EjectedCount(), "%d of 10 failing, seed %d", failing, seed)
	}
}

// Guards against an ejected replica that gets traffic, and against a recovered one that
// stays ejected.
func TestEjectionGrowsAndProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sel := &toucanselector.Selector{Seed: seed}
		all := newReplicas(3)
		bad := toucanselector.LegResult{Code: toucanpb.Code_CODE_FAILED, Duration: time.Millisecond}
		good := toucanselector.LegResult{Duration: time.Millisecond}
		runLeg(sel, all[1], good)
		runLeg(sel, all[2], good)
		for range 10 {
			runLeg(sel, all[0], bad)
		}
		badLegs := func() (n int) {
			for range 100 {
				c := sel.Select(all, toucanselector.Criteria{})
				s := good
				if c == all[0] {
					n++
					s = bad
				}
				runLeg(sel, c, s)
			}
			return n
		}
		require.Zero(t, badLegs())
		<-time.After(time.Second)
		require.Equal(t, 1, badLegs(), "one probe")
		<-time.After(time.Second)
		require.Zero(t, badLegs(), "the second ejection is longer")
		<-time.After(time.Second)
		probe := sel.Select(all, toucanselector.Criteria{})
		require.Equal(t, all[0], probe)
		runLeg(sel, probe, good)
		require.Zero(t, sel.EjectedCount())
	})
}

// Guards against a leg that is sent to a replica which cannot or must not serve it.
func TestSelectSkipsUnusable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sel := &toucanselector.Selector{Seed: seed}
		all := newReplicas(4)
		runLeg(sel, all[0], toucanselector.LegResult{Draining: true})
		runLeg(sel, all[1], toucanselector.LegResult{Indexes: []uint64{6}})
		for range 100 {
			c := sel.Select(all, toucanselector.Criteria{Index: 7, Exclude: []toucanreplica.ID{"r2"}})
			require.Equal(t, all[3], c)
			require.Equal(t, "v1", sel.Select(all, toucanselector.Criteria{Version: "v1"}).GetVersion())
		}
		require.Nil(t, sel.Select(all[:2], toucanselector.Criteria{Index: 7}))
		require.NotNil(t, sel.Select(all[1:2], toucanselector.Criteria{Index: 6}))
	})
}

// Guards against a slow replica that gets its full share under PolicyPowerOfTwo.
func TestPowerOfTwoAvoidsSlowReplica(t *testing.T) {
	count := func(p toucanselector.Policy) (n int) {
		sel := &toucanselector.Selector{Seed: seed, Policy: p}
		all := newReplicas(4)
		for i, c := range all {
			took := time.Millisecond
			if i == 0 {
				took = 10 * time.Millisecond
			}
			runLeg(sel, c, toucanselector.LegResult{Duration: took})
		}
		for range 1000 {
			if sel.Select(all, toucanselector.Criteria{}) == all[0] {
				n++
			}
		}
		return n
	}
	require.Zero(t, count(toucanselector.PolicyPowerOfTwo))
	require.InDelta(t, 250, count(toucanselector.PolicyRandom), 60)
}
