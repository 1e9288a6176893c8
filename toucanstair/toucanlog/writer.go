// Package toucanlog writes log lines asynchronously, so that logging never blocks.
package toucanlog

import (
	"context"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxQueuedLines and maxQueuedBytes bound the lines that wait to be written.
	maxQueuedLines = 4096
	maxQueuedBytes = 1 << 20
)

var droppedLines = metrics.NewCounter("toucan_journal_dropped_lines_total")

// AsyncWriter queues lines for a goroutine that writes them to Out. If the queue is full,
// lines are dropped and counted. Lines written before Run is called stay in the queue.
type AsyncWriter struct {
	Out io.Writer // required

	initQueue   sync.Once
	lines       chan []byte
	mu          sync.Mutex
	queuedBytes int // of the lines in the queue
}

func (w *AsyncWriter) queue() chan []byte {
	w.initQueue.Do(func() { w.lines = make(chan []byte, maxQueuedLines) })
	return w.lines
}

// Write queues a copy of one line or drops it. The error is always nil.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.reserve(len(line)) {
		droppedLines.Inc()
		return len(line), nil
	}
	select {
	case w.queue() <- append([]byte(nil), line...):
	default:
		w.release(len(line))
		droppedLines.Inc()
	}
	return len(line), nil
}

// Sync does nothing, because Run writes the queued lines before it ends.
func (w *AsyncWriter) Sync() error { return nil }

// Run writes lines until ctx ends and the queue is empty. The channel then receives the
// error of the first failed write, or nil. Later lines are still written after an error.
func (w *AsyncWriter) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	lines := w.queue()
	go func() {
		var firstErr error
		writeLine := func(line []byte) {
			w.release(len(line))
			if _, err := w.Out.Write(line); err != nil && firstErr == nil {
				firstErr = err
			}
		}
		for {
			select {
			case line := <-lines:
				writeLine(line)
			case <-ctx.Done():
				for {
					select {
					case line := <-lines:
						writeLine(line)
						continue
					default:
					}
					done <- firstErr
					return
				}
			}
		}
	}()
	return done
}

// reserve counts n bytes as queued and returns true, unless the queue would exceed
// maxQueuedBytes.
func (w *AsyncWriter) reserve(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queuedBytes+n > maxQueuedBytes {
		return false
	}
	w.queuedBytes += n
	return true
}

func (w *AsyncWriter) release(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queuedBytes -= n
}
