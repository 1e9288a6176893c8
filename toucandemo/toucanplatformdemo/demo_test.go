package toucanplatformdemo_test

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanlaunch"
	"toucanstair.example/platform/toucantestbed"
	"toucanstair.example/toucandemo/toucanplatformdemo"
)

// Guards against a demonstration whose steps no longer give the expected results.
// It runs real processes.
func TestDemo(t *testing.T) {
	const timeout = time.Minute
	binary := filepath.Join(t.TempDir(), "toucanedge")
	built, err := exec.Command("go", "build", "-o", binary, "toucanstair.example/platform").CombinedOutput()
	require.NoError(t, err, string(built))
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	launcher := &toucanlaunch.Launcher{}
	defer launcher.Close()
	var out bytes.Buffer
	demo := &toucanplatformdemo.Demo{
		Testbed: &toucantestbed.Testbed{EntryBinary: binary, SettingsDir: t.TempDir(), Launcher: launcher}, Out: &out,
	}
	require.NoError(t, demo.Run(ctx), out.String())
	require.Contains(t, out.String(), "All hosts exited with code 0.")
}
