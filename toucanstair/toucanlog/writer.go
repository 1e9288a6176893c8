// Package toucanlog writes log lines without ever blocking the caller.
package toucanlog

import (
	"context"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// queued bounds the lines that wait to be written.
	queued = 4096
	// queuedBytes bounds their size.
	queuedBytes = 1 << 20
)

var dropped = metrics.NewCounter("toucan_journal_dropped_lines_total")

// AsyncWriter hands lines to a goroutine that writes them to Out. Lines that find
// the queue full are counted and dropped. The zero value drops every line
// until Run is called.
type AsyncWriter struct {
	Out io.Writer

	once  sync.Once
	lines chan []byte
	mu    sync.Mutex
	bytes int
}

func (w *AsyncWriter) queue() chan []byte {
	w.once.Do(func() { w.lines = make(chan []byte, queued) })
	return w.lines
}

// Write queues one line; it never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.reserve(len(line)) {
		dropped.Inc()
		return len(line), nil
	}
	select {
	case w.queue() <- append([]byte(nil), line...):
	default:
		w.release(len(line))
		dropped.Inc()
	}
	return len(line), nil
}

// Sync does nothing: Run writes what is queued before it ends.
func (w *AsyncWriter) Sync() error { return nil }

// Run writes lines until ctx ends and the queue is empty, and then reports on
// the channel: the first failed write, or nil.
func (w *AsyncWriter) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	lines := w.queue()
	go func() {
		var first error
		put := func(line []byte) {
			w.release(len(line))
			if _, err := w.Out.Write(line); err != nil && first == nil {
				first = err
			}
		}
		for {
			select {
			case line := <-lines:
				put(line)
			case <-ctx.Done():
				for {
					select {
					case line := <-lines:
						put(line)
						continue
					default:
					}
					end <- first
					return
				}
			}
		}
	}()
	return end
}

func (w *AsyncWriter) reserve(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bytes+n > queuedBytes {
		return false
	}
	w.bytes += n
	return true
}

func (w *AsyncWriter) release(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytes -= n
}
