package toucanquota_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanstair.example/toucanstair/toucanquota"
)

func ExampleQuota() {
	q := toucanquota.Quota{Limit: 100}
	fmt.Println(q.TryReserve(60), q.TryReserve(60), q.TryReserve(40))
	q.Release(60)
	fmt.Println(q.TryReserve(60), q.Used())
	// Output:
	// true false true
	// true 100
}

// Guards against more bytes in use than the limit, and against a refusal that keeps its
// bytes.
func TestConcurrentUsersStayWithinTheLimit(t *testing.T) {
	q := toucanquota.Quota{Limit: 10}
	var users sync.WaitGroup
	for range 16 {
		users.Go(func() {
			for range 1000 {
				if q.TryReserve(3) {
					q.Release(3)
				}
			}
		})
	}
	users.Wait()
	require.Zero(t, q.Used())
	require.True(t, q.TryReserve(10))
}
