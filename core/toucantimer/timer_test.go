package toucantimer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucantimer"
)

// Guards against a wait that outlasts its context, and one that reports true
// before the time has passed.
func TestWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		require.True(t, toucantimer.Wait(ctx, 400*time.Millisecond))
		require.False(t, toucantimer.Wait(ctx, time.Minute))
		require.Equal(t, time.Second, time.Since(began))
		require.False(t, toucantimer.Wait(ctx, 0))
		require.True(t, toucantimer.Wait(t.Context(), -1))
	})
}
