// Package toucantimer waits for a time that a context can end early.
package toucantimer

import (
	"context"
	"time"
)

// Wait reports whether d passed before ctx was done. It does not wait when d is
// not above zero.
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
