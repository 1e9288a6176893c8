package toucanquery_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanhedge"
)

// Guards against a straggler in a zone with one replica of the shard that
// holds up the query although another zone has a replica, and against a loser
// of the race that goes on.
func TestSlowLegIsHedgedInNextZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cancelled := make(chan struct{}, 1)
		w := &world{}
		w.run = func(ctx context.Context, address string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			if address == "" {
				<-ctx.Done()
				cancelled <- struct{}{}
				return nil, ctx.Err()
			}
			return done(leg), nil
		}
		c := start(w, 1, "sierra", "costa")
		c.Budget = &toucanhedge.Budget{}
		begin := time.Now()
		a, err := c.Search(t.Context(), "r", find("1s"))
		require.NoError(t, err)
		require.Equal(t, uint32(1), a.Coverage.Answered)
		require.Less(t, time.Since(begin), 100*time.Millisecond)
		require.True(t, w.legs[1].Extra)
		<-cancelled
	})
}

// Guards against hedges and repeats beyond the budget when everything is slow.
func TestHedgesInOtherZonesStayInBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{}
		w.run = func(ctx context.Context, _ string, leg *toucanpb.Leg) (*toucanpb.LegResult, error) {
			select {
			case <-time.After(200 * time.Millisecond):
				return done(leg), nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		c := start(w, 10, "sierra", "costa")
		c.Budget = &toucanhedge.Budget{}
		const queries = 100
		for range queries {
			_, err := c.Search(t.Context(), "r", find("1s"))
			require.NoError(t, err)
		}
		extra := 0
		for _, leg := range w.legs {
			if leg.Extra {
				extra++
			}
		}
		require.NotZero(t, extra)
		require.LessOrEqual(t, extra, 20+queries*10/20)
	})
}
