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

// Guards against a log that holds up its caller while nobody reads it, and
// against one that grows without bound.
func TestWriterNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	j := &toucanlog.AsyncWriter{Out: w}
	ctx, cancel := context.WithCancel(t.Context())
	end := j.Run(ctx)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 10000 {
		n, err := j.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	cancel()
	read := make(chan int, 1)
	go func() {
		b, _ := io.ReadAll(r)
		read <- len(b)
	}()
	require.NoError(t, <-end)
	require.NoError(t, w.Close())
	require.LessOrEqual(t, <-read, 1<<20+2*len(line))
}

// Guards against lines that are lost at the end of the process.
func TestQueuedLinesAreWrittenOnShutdown(t *testing.T) {
	var out bytes.Buffer
	j := &toucanlog.AsyncWriter{Out: &out}
	for range 10 {
		_, err := j.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, <-j.Run(ctx))
	require.Equal(t, strings.Repeat("line\n", 10), out.String())
}
