package toucanlaunch_test

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanlaunch"
)

// TestMain runs the tests or, with LAUNCHER_TEST set, acts as the program that
// they start.
func TestMain(m *testing.M) {
	switch os.Getenv("LAUNCHER_TEST") {
	case "":
		os.Exit(m.Run())
	case "fail":
		fmt.Fprintln(os.Stderr, "no such zone")
		os.Exit(3)
	case "silent":
		select {}
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	fmt.Println(`{"address":"127.0.0.1:1"}`)
	<-stop
	os.Exit(7)
}

func launch(t *testing.T, l *toucanlaunch.Launcher, mode string, limit time.Duration) (*toucanlaunch.Process, string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	var line struct{ Address string }
	p, err := l.Launch(ctx, toucanlaunch.Program{Path: os.Args[0], Env: []string{"LAUNCHER_TEST=" + mode}}, &line)
	return p, line.Address, err
}

// Guards against a wrong exit code, and against Wait returning while the process
// is only suspended.
func TestSignalsAndExitCode(t *testing.T) {
	var l toucanlaunch.Launcher
	t.Cleanup(l.Close)
	p, address, err := launch(t, &l, "serve", 20*time.Second)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:1", address)
	require.NoError(t, p.Signal(syscall.SIGSTOP))
	require.NoError(t, p.Signal(syscall.SIGTERM))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = p.Wait(ctx)
	require.Error(t, err, "a stopped process does not handle SIGTERM")
	require.NoError(t, p.Signal(syscall.SIGCONT))
	code, err := p.Wait(t.Context())
	require.NoError(t, err)
	require.Equal(t, 7, code)
}

// Guards against processes that keep running after a test fails, and against
// start errors without the program's stderr.
func TestFailedStartsAndCleanup(t *testing.T) {
	var l toucanlaunch.Launcher
	t.Cleanup(l.Close)
	_, _, err := launch(t, &l, "fail", 20*time.Second)
	require.ErrorContains(t, err, "no such zone")
	_, _, err = launch(t, &l, "silent", 100*time.Millisecond)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	p, _, err := launch(t, &l, "serve", 20*time.Second)
	require.NoError(t, err)
	l.Close()
	<-p.Exited()
	require.ErrorIs(t, syscall.Kill(p.Pid(), 0), syscall.ESRCH)
}
