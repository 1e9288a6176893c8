package toucanlog_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanstair.example/toucanstair/toucanlog"
)

// Guards against a writer that blocks its caller while the output is stalled, and
// against a queue that grows without bound.
func TestWriterNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	log := &toucanlog.AsyncWriter{Out: w}
	ctx, cancel := context.WithCancel(t.Context())
	done := log.Run(ctx)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 10000 {
		n, err := log.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	cancel()
	bytesRead := make(chan int, 1)
	go func() {
		b, _ := io.ReadAll(r)
		bytesRead <- len(b)
	}()
	require.NoError(t, <-done)
	require.NoError(t, w.Close())
	// The queue holds at most 1 MiB beside the line being written; one more line is slack.
	require.LessOrEqual(t, <-bytesRead, 1<<20+2*len(line))
}

// Guards against queued lines that are lost on shutdown.
func TestQueuedLinesAreWrittenOnShutdown(t *testing.T) {
	var out bytes.Buffer
	log := &toucanlog.AsyncWriter{Out: &out}
	for range 10 {
		_, err := log.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, <-log.Run(ctx))
	require.Equal(t, strings.Repeat("line\n", 10), out.String())
}
