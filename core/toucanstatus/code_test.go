package toucanstatus_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanstatus"
)

func ExampleCode_CheckFinal() {
	fmt.Println(toucanstatus.Code(204).CheckFinal())
	fmt.Println(toucanstatus.Code(0).CheckFinal())
	// Output:
	// <nil>
	// status 0 is not that of a final response
}

// Guards against a code that counts as a response without being one of HTTP.
func TestCodeIsFinalInterimOrInvalid(t *testing.T) {
	for code := toucanstatus.Code(-1); code < 1100; code++ {
		final, interim := code >= 200 && code <= 599, code >= 100 && code <= 199 && code != 101
		require.Equal(t, final, code.IsFinal(), code)
		require.Equal(t, interim, code.IsInterim(), code)
		require.Equal(t, final, code.CheckFinal() == nil, code)
	}
}
