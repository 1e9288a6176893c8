package toucandrain_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucandrain"
)

// Guards against a shutdown that ends before the queries and legs in flight have,
// or that accepts new queries in the phase that refuses them.
func TestRunWaitsForQueriesAndLegs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var steps []string
		d := &toucandrain.Drainer{Linger: 2 * time.Second, Grace: 30 * time.Second}
		d.CloseListener = func(context.Context) error {
			require.Zero(t, d.Queries())
			steps = append(steps, "close")
			return nil
		}
		d.Leave = func(context.Context) error {
			steps = append(steps, "leave")
			return nil
		}
		require.True(t, d.BeginQuery())
		require.True(t, d.BeginLeg())
		end := make(chan error, 1)
		start := time.Now()
		go func() { end <- d.Run(t.Context()) }()

		synctest.Wait()
		require.True(t, d.Stopping())
		require.True(t, d.BeginQuery(), "queries are accepted while lingering")
		d.EndQuery()
		<-time.After(3 * time.Second)
		require.False(t, d.BeginQuery())
		require.Empty(t, steps)
		d.EndQuery()
		synctest.Wait()
		require.Equal(t, []string{"close", "leave"}, steps)
		require.True(t, d.BeginLeg(), "legs of peers run until the host has left")
		<-time.After(time.Second)
		d.EndLeg()
		d.EndLeg()
		require.NoError(t, <-end)
		require.Equal(t, 4*time.Second, time.Since(start))
		require.False(t, d.BeginLeg())
	})
}

// Guards against releasing a slot on which a peer's leg still runs.
func TestLegsEndBetweenNotifyPeersAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &toucandrain.Drainer{}
		require.True(t, d.BeginLeg())
		d.NotifyPeers = func(context.Context) error {
			time.AfterFunc(time.Second, d.EndLeg)
			return nil
		}
		d.Leave = func(context.Context) error {
			require.Zero(t, d.Legs())
			return nil
		}
		require.NoError(t, d.Run(t.Context()))
	})
}

// Guards against a shutdown that hangs on a stuck query, and against an error
// that does not say what was interrupted.
func TestRunEndsAtGraceOrSecondSignal(t *testing.T) {
	for name, wait := range map[string]time.Duration{"grace limit": time.Hour, "second signal": 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			d := &toucandrain.Drainer{Grace: 30 * time.Second}
			require.True(t, d.BeginQuery())
			require.True(t, d.BeginLeg())
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			stop := time.AfterFunc(wait, cancel)
			defer stop.Stop()
			err := toucanfault.As(d.Run(ctx))
			require.NotNil(t, err)
			require.Equal(t, toucanpb.Code_CODE_STOPPING, err.Code)
			require.Contains(t, err.Detail, name+" while refusing: interrupted 1 queries and 1 legs")
		})
	}
}
