// Package toucanpanic turns panics into errors, so that one malformed message or one
// defect does not end a process.
package toucanpanic

import (
	"fmt"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
)

var recovered = metrics.NewCounter("toucan_panics_total")

// Error is a recovered panic.
type Error struct {
	Value any
	Stack []byte
}

func (e *Error) Error() string { return fmt.Sprint("panic: ", e.Value) }

// Call calls f. It returns nil, or the panic of f.
func Call(f func()) (err *Error) {
	defer func() {
		if v := recover(); v != nil {
			recovered.Inc()
			err = &Error{v, debug.Stack()}
		}
	}()
	f()
	return nil
}
