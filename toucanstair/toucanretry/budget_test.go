package toucanretry_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanstair.example/core/toucanservice"
	"toucanstair.example/toucanstair/toucanretry"
)

func ExampleBudget() {
	b := toucanretry.Budget{Ratio: 0.5, Burst: 4, Window: 10 * time.Second}
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
		b := toucanretry.Budget{Ratio: ratio, Burst: maxBurst, Window: rapid.SampledFrom([]time.Duration{0, time.Hour}).Draw(t, "window")}
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

const (
	ratio, slack = 0.2, 52.0
	window       = 10 * time.Second
	hosts        = 6
	interval     = 50 * time.Millisecond // between the requests at a host
	faultStart   = 30 * time.Second      // every attempt fails from here on
	end          = 2 * time.Minute
)

// excessRetries simulates hosts that retry as much as they may from faultStart on. It
// returns by how much their retries exceed the operators' limit in the worst window, and
// the start of that window. restarts reports whether a host is restarted at a time.
func excessRetries(restarts func(host int, at time.Duration) bool) (excess float64, from time.Duration) {
	start := time.Now()
	var budgets [hosts]*toucanretry.Budget
	newBudget := func() *toucanretry.Budget {
		b := &toucanretry.Budget{Window: window}
		b.Set(ratio, slack/hosts)
		return b
	}
	for i := range budgets {
		budgets[i] = newBudget()
	}
	var requests, retries []int // in each interval
	for time.Since(start) < end {
		sent, extra := 0, 0
		for i := range budgets {
			if restarts(i, time.Since(start)) {
				budgets[i] = newBudget()
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
	excess = math.Inf(-1)
	for first := range len(requests) - int(window/interval) + 1 {
		sum := -slack
		for i := first; i < first+int(window/interval); i++ {
			sum += float64(retries[i]) - ratio*float64(requests[i])
		}
		if sum > excess {
			excess, from = sum, time.Duration(first)*interval
		}
	}
	return excess, from
}

// Guards against restarts that add to the retries of all hosts together.
func TestRestartsStayWithinBudget(t *testing.T) {
	for _, c := range []struct {
		name        string
		restart     time.Duration // of the first host
		gap, repeat time.Duration // between restarts of two hosts, and of the same host
	}{
		{"all at once", faultStart + time.Second, 0, end},
		{"in turn", faultStart, time.Second, end},
		{"in turn, again and again", faultStart, 500 * time.Millisecond, 4 * time.Second},
		{"in turn, again after the window", faultStart, 500 * time.Millisecond, window + time.Second},
		{"in turn before the fault", faultStart - 3*time.Second, time.Second, end},
		{"at the start, a window before the fault", faultStart - window, 0, end},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var restarts [hosts]time.Duration // the next one of each host
				for i := range restarts {
					restarts[i] = c.restart + time.Duration(i)*c.gap
				}
				excess, from := excessRetries(func(host int, at time.Duration) bool {
					if at < restarts[host] {
						return false
					}
					restarts[host] += c.repeat
					return true
				})
				require.LessOrEqual(t, excess, 0.0, "retries beyond the limit in the window from %v", from)
			})
		})
	}
}

// Guards against an order of restarts in which hosts together get more than the limit.
func TestRandomRestartsStayWithinBudget(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				mean := time.Duration(1+random.IntN(30)) * time.Second // between the restarts of a host
				excess, from := excessRetries(func(int, time.Duration) bool {
					return random.Float64() < interval.Seconds()/mean.Seconds()
				})
				require.LessOrEqual(t, excess, 0.0, "retries beyond the limit in the window from %v", from)
			})
		})
	}
}

// Guards against hosts that cannot retry at rare services long after their start, and
// against ones that use more than their share by a bucket that was granted to them.
func TestBudgetIsFullAfterWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const burst = 4
		b := toucanretry.Budget{Window: window}
		b.Set(0.25, burst)
		require.False(t, b.TryWithdraw("rare", 0), "a host that ran before may have spent all tokens")
		for range 8 {
			b.Deposit("busy")
		}
		require.True(t, b.TryWithdraw("busy", 0), "two tokens earned")
		require.True(t, b.TryWithdraw("busy", 0))
		<-time.After(window - time.Millisecond)
		require.False(t, b.TryWithdraw("rare", 0))
		<-time.After(time.Millisecond)
		for s, want := range map[toucanservice.Name]int{"rare": burst, "busy": burst - 2} {
			for range want {
				require.True(t, b.TryWithdraw(s, 0), s)
			}
			require.False(t, b.TryWithdraw(s, 0), s)
		}
	})
}

// Guards against a host that uses the share of one that has left, and may have spent it, at
// once.
func TestLargerBurstIsInEffectAfterWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const small, large = 3, 7
		b := toucanretry.Budget{Window: window}
		tokens := func() int {
			for range 100 {
				b.Deposit("s")
			}
			n := 0
			for b.TryWithdraw("s", 0) {
				n++
			}
			return n
		}
		b.Set(1, small)
		require.Equal(t, small, tokens())
		for start := time.Now(); time.Since(start) < window; <-time.After(time.Second) {
			b.Set(1, large)
			require.Equal(t, small, tokens())
		}
		b.Set(1, large)
		require.Equal(t, large, tokens())
		b.Set(1, small)
		require.Equal(t, small, tokens(), "a smaller one is in effect at once")
	})
}

// Guards against a started host whose first requests do not earn it a full bucket.
func TestNewBudgetEarnsFullBurst(t *testing.T) {
	const ratio, burst = 0.25, 5
	b := toucanretry.Budget{Ratio: ratio, Burst: burst, Window: time.Hour}
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
