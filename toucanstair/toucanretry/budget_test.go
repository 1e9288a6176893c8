package toucanretry_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanstair.example/toucanstair/toucanretry"
)

func ExampleBudget() {
	b := toucanretry.Budget{Ratio: 0.5, Burst: 4}
	fmt.Println(b.TryWithdraw("s", 0))
	b.Deposit("s")
	b.Deposit("s")
	fmt.Println(b.TryWithdraw("s", 0), b.TryWithdraw("s", 0))
	// Output:
	// false
	// true false
}

// Guards against more retries than the operators allow, in any order of requests,
// retries and changes of the bucket, and against a service that spends the tokens
// of another.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, maxBurst = 0.2, 5.0
		b := toucanretry.Budget{Ratio: ratio, Burst: maxBurst}
		sent, retries := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				b.Deposit("s")
				sent++
			case 1, 2:
				if b.TryWithdraw("s", rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "reserve")) {
					retries++
				}
			case 3:
				b.Set(ratio, rapid.Float64Range(1, maxBurst).Draw(t, "burst"))
				b.Deposit("other")
			}
			require.LessOrEqual(t, float64(retries), ratio*float64(sent)+maxBurst)
		}
	})
}

// Guards against restarts that add to the retries of all hosts together.
func TestRestartsStayWithinBudget(t *testing.T) {
	const (
		ratio, slack = 0.2, 52.0
		window       = 10 * time.Second
		hosts        = 6
		interval     = 50 * time.Millisecond // between the requests at a host
		faultStart   = 30 * time.Second      // every attempt fails from here on
		end          = 2 * time.Minute
	)
	for _, c := range []struct {
		name        string
		restart     time.Duration // of the first host
		gap, repeat time.Duration // between restarts of two hosts, and of the same host
	}{
		{"all at once", faultStart + time.Second, 0, end},
		{"in turn", faultStart, time.Second, end},
		{"in turn, again and again", faultStart, 500 * time.Millisecond, 4 * time.Second},
		{"in turn before the fault", faultStart - 3*time.Second, time.Second, end},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var budgets [hosts]*toucanretry.Budget
				var restarts [hosts]time.Duration // the next one of each host
				for i := range budgets {
					budgets[i] = &toucanretry.Budget{Ratio: ratio, Burst: slack / hosts, FirstStart: true}
					restarts[i] = c.restart + time.Duration(i)*c.gap
				}
				var requests, retries []int // in each interval
				for time.Since(start) < end {
					sent, extra := 0, 0
					for i := range budgets {
						if time.Since(start) >= restarts[i] {
							budgets[i] = &toucanretry.Budget{Ratio: ratio, Burst: slack / hosts}
							restarts[i] += c.repeat
						}
						budgets[i].Deposit("s")
						sent++
						for time.Since(start) >= faultStart && budgets[i].TryWithdraw("s", 0) {
							extra++
						}
					}
					requests, retries = append(requests, sent), append(retries, extra)
					<-time.After(interval)
				}
				worst, at := math.Inf(-1), 0 // extra attempts beyond the limit, and the start of their window
				for from := range len(requests) - int(window/interval) + 1 {
					excess := -slack
					for i := from; i < from+int(window/interval); i++ {
						excess += float64(retries[i]) - ratio*float64(requests[i])
					}
					if excess > worst {
						worst, at = excess, from
					}
				}
				require.LessOrEqual(t, worst, 0.0, "retries beyond the limit in the window from %v", time.Duration(at)*interval)
			})
		})
	}
}

// Guards against hosts that cannot retry when the whole system has just started.
func TestFirstStartHasTokens(t *testing.T) {
	b := toucanretry.Budget{Ratio: 0.2, Burst: 4, FirstStart: true}
	for range 3 {
		require.True(t, b.TryWithdraw("s", 0))
	}
	require.False(t, b.TryWithdraw("s", 0))
}

// Guards against a started host whose first requests do not earn it a full bucket.
func TestNewBudgetEarnsFullBurst(t *testing.T) {
	const ratio, burst = 0.25, 5
	b := toucanretry.Budget{Ratio: ratio, Burst: burst}
	for range int(1 / ratio) {
		require.False(t, b.TryWithdraw("s", 0))
		b.Deposit("s")
	}
	require.True(t, b.TryWithdraw("s", 0), "one token earned")
	for range int(2 * burst / ratio) {
		b.Deposit("s")
	}
	for range burst {
		require.True(t, b.TryWithdraw("s", 0))
	}
	require.False(t, b.TryWithdraw("s", 0), "no more than a full bucket")
}
