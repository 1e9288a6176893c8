package toucanrollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanrollout"
	"toucanstair.example/toucanstair/toucansource"
)

// drillSpan is how long a simulation goes on after a drill.
const drillSpan = 6 * time.Second

// drill makes the store forget the state of the rollout, and the operators write the order
// again, under a lower number in the next era.
func (f *fleet) drill() {
	f.store.mu.Lock()
	f.store.values, f.store.revs, f.store.status = map[string][]byte{}, map[string]uint64{}, nil
	f.store.mu.Unlock()
	again := order(5)
	again.Era = 1
	for _, manager := range f.managers {
		manager.AddOrder(again, time.Now())
	}
}

// simulateDrill simulates an order with a drill at a time, and requires each host to
// choose the version as before at every step after it, and the store to have the phase.
func simulateDrill(t *testing.T, drillAt time.Duration, newVersion response, want toucanrollout.VersionChoice, phase toucanrollout.Phase) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(hosts)
				drilled := false
				f.simulate(t, seed, drillAt+drillSpan, newVersion, func(at time.Duration) {
					if at < drillAt {
						return
					}
					if !drilled {
						drilled = true
						f.drill()
					}
					for i, manager := range f.managers {
						require.Equal(t, want, manager.ChooseVersion("s", "broad", false), "seed %d: host %d, %v", seed, i, at)
					}
				})
				require.Equal(t, phase, f.store.lastPhase(), "seed %d: the state is written again", seed)
				late := &toucanrollout.Manager{Log: zap.NewNop(), Peers: func() []toucansource.Peer { return nil }}
				again := order(5)
				again.Era = 1
				late.AddOrder(again, time.Now())
				state := toucanrollout.DecodeState("moves/s", f.store.values["moves/s"])
				require.NotNil(t, state)
				require.Equal(t, uint64(5), state.Number, "a host that starts now finds the state of its order")
			})
		})
	}
}

// Guards against requests to a version that was rolled back, because the store lost the state and the order is written again.
func TestRolledBackVersionStaysOutWhenItsOrderIsWrittenAgain(t *testing.T) {
	always := func(*rand.Rand, request) (bool, time.Duration) { return true, 8 * time.Millisecond }
	for _, at := range []time.Duration{timeLimit - 2*time.Second, timeLimit + 5*time.Second} {
		simulateDrill(t, at, always, toucanrollout.VersionChoice{Excluded: "v2"}, toucanrollout.RolledBack)
	}
}

// Guards against requests to targets that have stopped, because a version that was completed starts anew.
func TestCompletedVersionStaysWhenItsOrderIsWrittenAgain(t *testing.T) {
	simulateDrill(t, timeLimit+time.Second, healthy, toucanrollout.VersionChoice{Preferred: "v2"}, toucanrollout.Done)
}

// Guards against a rollout that gets more time or requests because its order is written again, and against one that never ends.
func TestRunningRolloutGoesOnWhenItsOrderIsWrittenAgain(t *testing.T) {
	always := func(*rand.Rand, request) (bool, time.Duration) { return true, 8 * time.Millisecond }
	for name, newVersion := range map[string]response{"good": healthy, "bad": always} {
		for seed := range uint64(10) {
			for _, at := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 8 * time.Second} {
				t.Run(fmt.Sprint(name, "/", seed, "/", at), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newFleet(hosts)
						drilled := false
						f.simulate(t, seed, timeLimit, newVersion, func(now time.Duration) {
							if !drilled && now >= at {
								drilled = true
								f.drill()
							}
						})
						want := toucanrollout.Done
						if name == "bad" {
							want = toucanrollout.RolledBack
							require.LessOrEqual(t, float64(f.exposed), exposureShare*float64(f.total)+exposureSlack)
						}
						require.Equal(t, want, f.store.lastPhase(), "seed %d: %s", seed, f.store.values["moves/s"])
					})
				})
			}
		}
	}
}

// Guards against an order for another version, or one that was given again on purpose, that is taken for the one before.
func TestOtherOrdersStartAnew(t *testing.T) {
	manager := &toucanrollout.Manager{Log: zap.NewNop(), Peers: func() []toucansource.Peer { return nil }}
	manager.AddOrder(order(7), time.Now())
	other := order(5)
	other.Era, other.Version = 1, "v3"
	manager.AddOrder(other, time.Now())
	require.Equal(t, toucanrollout.VersionChoice{Excluded: "v3"}, manager.ChooseVersion("s", "broad", false))
	manager.AddOrder(order(9), time.Now())
	require.Equal(t, toucanrollout.VersionChoice{Excluded: "v3"}, manager.ChooseVersion("s", "broad", false), "an order of an earlier era is older")
}

// Guards against a version that gets the state of another one, because the store has given out the number of its order again.
func TestOrderWithAUsedNumberStartsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hosts)
		drillAt, drilled := timeLimit+time.Second, false
		f.simulate(t, 1, drillAt+drillSpan, healthy, func(at time.Duration) {
			if at < drillAt || drilled {
				return
			}
			drilled = true
			stale := toucanrollout.DecodeState("moves/s", f.store.values["moves/s"])
			require.NotNil(t, stale)
			other := order(7)
			other.Era, other.Version = 1, "v3"
			for _, manager := range f.managers {
				require.Equal(t, toucanrollout.VersionChoice{Preferred: "v2"}, manager.ChooseVersion("s", "broad", false))
				manager.AddOrder(other, time.Now())
				require.NotEqual(t, "v3", manager.ChooseVersion("s", "broad", false).Preferred)
				manager.ApplyStoredState(*stale)
			}
		})
		state := toucanrollout.DecodeState("moves/s", f.store.values["moves/s"])
		t.Logf("%s", f.store.values["moves/s"])
		require.Equal(t, "v3", state.Version)
		require.Equal(t, toucanpb.MoveState_PHASE_RUNNING, state.Phase)
	})
}

// Guards against a completed rollout that starts anew, because the copy has an earlier order of the same content, and the last one is written again after that.
func TestOrderThatWasGivenTwiceIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hosts)
		drillAt, drilled := timeLimit+time.Second, false
		f.simulate(t, 1, drillAt+drillSpan, healthy, func(at time.Duration) {
			if at >= drillAt && !drilled {
				drilled = true
				for _, number := range []uint64{3, 6} {
					again := order(number)
					again.Era = 1
					for _, manager := range f.managers {
						manager.AddOrder(again, time.Now())
					}
				}
			}
			if drilled {
				for _, manager := range f.managers {
					require.Equal(t, toucanrollout.VersionChoice{Preferred: "v2"}, manager.ChooseVersion("s", "broad", false))
				}
			}
		})
		require.Equal(t, toucanrollout.Done, f.store.lastPhase())
	})
}
