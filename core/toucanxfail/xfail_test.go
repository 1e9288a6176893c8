package toucanxfail_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanxfail"
)

// Guards against skipping an unlisted test whose name is a prefix of a listed one,
// and against TOUCAN_RED not running the listed tests.
func TestLookupMatchesWholeName(t *testing.T) {
	t.Setenv("TOUCAN_RED", "")
	path := filepath.Join(t.TempDir(), "list")
	entry, err := toucanxfail.Lookup(path, "TestA")
	require.NoError(t, err)
	require.Empty(t, entry)
	require.NoError(t, os.WriteFile(path, []byte("test: TestA/seed13\ncommand: x\n\ntest: TestB\n"), 0o600))
	entry, err = toucanxfail.Lookup(path, "TestA/seed13")
	require.NoError(t, err)
	require.Contains(t, entry, "command: x")
	for _, name := range []string{"TestA", "TestA/seed1", "TestC"} {
		entry, err = toucanxfail.Lookup(path, name)
		require.NoError(t, err)
		require.Empty(t, entry, name)
	}
	t.Setenv("TOUCAN_RED", "1")
	entry, err = toucanxfail.Lookup(path, "TestB")
	require.NoError(t, err)
	require.Empty(t, entry)
}
