package toucanserver

import (
	"context"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanplacement"
	"toucanstair.example/toucanstair/toucanretry"
	"toucanstair.example/toucanstair/toucansource"
)

// Guards against a host that starts alone in its zone and takes, for the first
// second, the part of one of many.
func TestShareFollowsHostList(t *testing.T) {
	// listed is when the other hosts are known; the part has to follow soon, since
	// a restarted host meets all callers of its zone at once.
	const listed, soon = 100 * time.Millisecond, 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		e := &Server{}
		e.repeats.Store(&RetryBudget{Ratio: 0.2, Slack: 52})
		p := &toucanplacement.Placer{Self: toucansource.Peer{ID: "a-1", Zone: "a", CPUMillis: 400}, MinHosts: 6}
		p.Update(nil)
		alone := p.ShardedShare()
		var updates atomic.Int64
		ctx, cancel := context.WithCancel(t.Context())
		end := e.share(ctx, &toucanretry.Budget{}, p, func() {
			updates.Add(1)
			if time.Since(began) >= listed {
				p.Update([]toucansource.Peer{{ID: "b-1", Zone: "b", CPUMillis: 400}, {ID: "b-2", Zone: "b", CPUMillis: 400}})
			}
		})
		<-time.After(listed + soon)
		require.Greater(t, p.ShardedShare(), 2*alone, "half of what all hosts may use, as its zone has")
		<-time.After(2 * settleTime)
		before := updates.Load()
		<-time.After(10 * time.Second)
		synctest.Wait()
		require.EqualValues(t, 10, updates.Load()-before, "once a second")
		cancel()
		require.NoError(t, <-end)
	})
}

// Guards against settings that change without a signal and are not taken up, against
// settings that can't be read and replace sound ones, and against a line in the log
// each time they are read.
func TestSettingsAreReloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		var file atomic.Pointer[RetryBudget] // nil: it can't be read
		file.Store(&RetryBudget{Ratio: 0.2, Slack: 52})
		e := &Server{Log: zap.New(core), Reload: func() (Settings, error) {
			if now := file.Load(); now != nil {
				return Settings{RetryBudget: *now}, nil
			}
			return Settings{}, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "line 3: no value")
		}}
		e.repeats.Store(&RetryBudget{Ratio: 0.2, Slack: 52})
		signals, ended := make(chan os.Signal), make(chan error, 1)
		go func() { ended <- e.wait(t.Context(), signals, nil) }()
		<-time.After(3 * reloadTime)
		require.Zero(t, logs.Len(), "nothing changed")

		changed := RetryBudget{Ratio: 0.1, Slack: 20}
		file.Store(&changed)
		<-time.After(3 * reloadTime)
		require.Equal(t, changed, *e.repeats.Load())
		require.Len(t, logs.TakeAll(), 1)

		file.Store(nil)
		<-time.After(3 * reloadTime)
		require.Equal(t, changed, *e.repeats.Load())
		require.Len(t, logs.TakeAll(), 1)
		signals <- syscall.SIGHUP
		synctest.Wait()
		require.Len(t, logs.TakeAll(), 1, "an answer to the signal")

		signals <- syscall.SIGTERM
		require.NoError(t, <-ended)
	})
}
