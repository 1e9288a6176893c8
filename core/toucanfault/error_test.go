package toucanfault_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
)

func ExampleError_Error() {
	err := toucanfault.NotRun(toucanpb.Code_CODE_OVERLOAD, "1000 queries in flight").Because(io.EOF)
	fmt.Println(err)
	fmt.Println(toucanfault.OutcomeName(err.Outcome))
	// Output:
	// overload: 1000 queries in flight: EOF
	// notrun
}

// Guards against a wrapped error losing its code and outcome.
func TestAsFindsWrappedError(t *testing.T) {
	err := eris.Wrap(toucanfault.Unknown(toucanpb.Code_CODE_DOWN, "reset"), "leg 7")
	f := toucanfault.As(err)
	require.NotNil(t, f)
	require.Equal(t, toucanpb.Outcome_OUTCOME_UNKNOWN, f.Outcome)
	require.Nil(t, toucanfault.As(io.EOF))
}
