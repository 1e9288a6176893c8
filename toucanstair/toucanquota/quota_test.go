package toucanquota_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanstair.example/toucanstair/toucanquota"
)

func ExampleQuota() {
	q := toucanquota.Quota{Ratio: 0.5, Burst: 4}
	fmt.Println(q.Take("s", 0), q.Take("s", 0), q.Take("s", 0), q.Take("s", 0))
	q.Earn("s")
	q.Earn("s")
	fmt.Println(q.Take("s", 0))
	// Output:
	// true true true false
	// true
}

// Guards against more repeats than the operators allow, whatever the order of
// requests, repeats and changes of the bucket, and against a service that
// spends the tokens of another.
func TestRepeatsStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, most = 0.2, 5.0
		q := toucanquota.Quota{Ratio: ratio, Burst: most}
		sent, repeats := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				q.Earn("s")
				sent++
			case 1, 2:
				if q.Take("s", rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "reserve")) {
					repeats++
				}
			case 3:
				q.Set(ratio, rapid.Float64Range(1, most).Draw(t, "burst"))
				q.Earn("other")
			}
			require.LessOrEqual(t, float64(repeats), ratio*float64(sent)+most)
		}
	})
}
