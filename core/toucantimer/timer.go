// Package toucantimer provides a sleep that a context can interrupt.
package toucantimer

import (
	"context"
	"time"
)

// Wait sleeps for d and reports whether d passed before ctx was done. With d of
// zero or less it returns at once and reports whether ctx is still active.
func Wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
