package toucanhedge_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanstair.example/toucanstair/toucanhedge"
)

// Guards against extra load above 5% of the legs sent plus the 20 tokens of a full
// bucket.
func TestExtraRequestsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b toucanhedge.Budget
		legs, extra := 0, 0
		for i, n := range rapid.SliceOfN(rapid.IntRange(0, 300), 2, 30).Draw(t, "runs of sends and of extra requests") {
			for range n {
				if i%2 == 0 {
					b.Deposit()
					legs++
				} else if b.TryWithdraw() {
					extra++
				}
			}
			if float64(extra) > 0.05*float64(legs)+20 || b.Tokens() < 0 || b.Tokens() > 20 {
				t.Fatalf("%d extra for %d sent, %d tokens", extra, legs, b.Tokens())
			}
		}
	})
}

// Guards against a hedge delay that ignores recent latency, or that is so short that
// every request is hedged.
func TestHedgeDelayFollowsLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b toucanhedge.Budget
		require.Equal(t, 20*time.Millisecond, b.HedgeDelay("s"))
		observe := func(n int, took time.Duration) {
			for range n {
				<-time.After(time.Millisecond)
				b.RecordLatency("s", took)
			}
		}
		observe(1000, 100*time.Microsecond)
		require.Equal(t, time.Millisecond, b.HedgeDelay("s"))
		observe(1000, 30*time.Millisecond)
		require.InDelta(t, 30e6, float64(b.HedgeDelay("s")), 1e6)
		<-time.After(time.Minute)
		observe(1000, 5*time.Millisecond)
		require.InDelta(t, 5e6, float64(b.HedgeDelay("s")), 1e6)
		require.Equal(t, 20*time.Millisecond, b.HedgeDelay("other"))
	})
}
