package toucanretry_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanstair.example/toucanstair/toucanretry"
)

func ExampleBudget() {
	b := toucanretry.Budget{Ratio: 0.5, Burst: 4}
	fmt.Println(b.TryWithdraw("s", 0), b.TryWithdraw("s", 0), b.TryWithdraw("s", 0), b.TryWithdraw("s", 0))
	b.Deposit("s")
	b.Deposit("s")
	fmt.Println(b.TryWithdraw("s", 0))
	// Output:
	// true true true false
	// true
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
