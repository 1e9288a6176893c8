package toucanretry_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanstair.example/toucanstair/toucanretry"
)

func ExampleBudget() {
	q := toucanretry.Budget{Ratio: 0.5, Burst: 4}
	fmt.Println(q.TryWithdraw("s", 0), q.TryWithdraw("s", 0), q.TryWithdraw("s", 0), q.TryWithdraw("s", 0))
	q.Deposit("s")
	q.Deposit("s")
	fmt.Println(q.TryWithdraw("s", 0))
	// Output:
	// true true true false
	// true
}

// Guards against more repeats than the operators allow, whatever the order of
// requests, repeats and changes of the bucket, and against a service that
// spends the tokens of another.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, most = 0.2, 5.0
		q := toucanretry.Budget{Ratio: ratio, Burst: most}
		sent, repeats := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				q.Deposit("s")
				sent++
			case 1, 2:
				if q.TryWithdraw("s", rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "reserve")) {
					repeats++
				}
			case 3:
				q.Set(ratio, rapid.Float64Range(1, most).Draw(t, "burst"))
				q.Deposit("other")
			}
			require.LessOrEqual(t, float64(repeats), ratio*float64(sent)+most)
		}
	})
}
