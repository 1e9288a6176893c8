package toucanrollout_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanxfail"
)

// skipKnownFailure skips a test that KNOWN-RED.txt lists, and prints its entry.
// TOUCAN_RED=1 runs the test anyway.
func skipKnownFailure(t *testing.T) {
	t.Helper()
	entry, err := toucanxfail.Lookup("../../KNOWN-RED.txt", t.Name())
	require.NoError(t, err)
	if entry != "" {
		t.Skipf("KNOWN-RED.txt: %s", entry)
	}
}
