package toucanpanic_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanstair.example/toucanstair/toucanpanic"
)

func ExampleCall() {
	var entries map[string]int
	fmt.Println(toucanpanic.Call(func() { entries["a"] = 1 }))
	// Output: panic: assignment to entry in nil map
}

// Guards against a panic without the place that caused it, and against an error without
// a panic.
func TestCallReturnsPanicWithItsStack(t *testing.T) {
	require.Nil(t, toucanpanic.Call(func() {}))
	err := toucanpanic.Call(func() { panic("here") })
	require.Contains(t, string(err.Stack), "TestCallReturnsPanicWithItsStack")
}
