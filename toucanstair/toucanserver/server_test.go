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

// Guards against a host that starts alone in its zone and keeps, for the first
// second, the smaller share that it has before the list of hosts is loaded.
func TestShareFollowsHostList(t *testing.T) {
	// listDelay is when the other hosts become known. The share has to follow
	// within updateLimit, since a restarted host gets all callers of its zone at
	// once.
	const listDelay, updateLimit = 100 * time.Millisecond, 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		s := &Server{}
		s.retryLimit.Store(&RetryBudget{Ratio: 0.2, Slack: 52})
		placer := &toucanplacement.Placer{Self: toucansource.Peer{ID: "a-1", Zone: "a", CPUMillis: 400}, MinHosts: 6}
		placer.Update(nil)
		shareAlone := placer.ShardedShare()
		var updates atomic.Int64
		ctx, cancel := context.WithCancel(t.Context())
		done := s.updateShares(ctx, &toucanretry.Budget{}, placer, func() {
			updates.Add(1)
			if time.Since(start) >= listDelay {
				placer.Update([]toucansource.Peer{{ID: "b-1", Zone: "b", CPUMillis: 400}, {ID: "b-2", Zone: "b", CPUMillis: 400}})
			}
		})
		<-time.After(listDelay + updateLimit)
		require.Greater(t, placer.ShardedShare(), 2*shareAlone, "half of the total, as the share of its zone")
		<-time.After(2 * initialSharePeriod)
		before := updates.Load()
		<-time.After(10 * time.Second)
		synctest.Wait()
		require.EqualValues(t, 10, updates.Load()-before, "once a second")
		cancel()
		require.NoError(t, <-done)
	})
}

// Guards against settings that change without a signal and are not applied, against
// unreadable settings that replace valid ones, and against a log line at each
// reload.
func TestSettingsAreReloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		var file atomic.Pointer[RetryBudget] // nil: reading fails
		file.Store(&RetryBudget{Ratio: 0.2, Slack: 52})
		s := &Server{Log: zap.New(core), Reload: func() (Settings, error) {
			if budget := file.Load(); budget != nil {
				return Settings{RetryBudget: *budget}, nil
			}
			return Settings{}, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "line 3: no value")
		}}
		s.retryLimit.Store(&RetryBudget{Ratio: 0.2, Slack: 52})
		signals, done := make(chan os.Signal), make(chan error, 1)
		go func() { done <- s.wait(t.Context(), signals, nil) }()
		<-time.After(3 * reloadInterval)
		require.Zero(t, logs.Len(), "nothing changed")

		changed := RetryBudget{Ratio: 0.1, Slack: 20}
		file.Store(&changed)
		<-time.After(3 * reloadInterval)
		require.Equal(t, changed, *s.retryLimit.Load())
		require.Len(t, logs.TakeAll(), 1)

		file.Store(nil)
		<-time.After(3 * reloadInterval)
		require.Equal(t, changed, *s.retryLimit.Load())
		require.Len(t, logs.TakeAll(), 1)
		signals <- syscall.SIGHUP
		synctest.Wait()
		require.Len(t, logs.TakeAll(), 1, "an answer to the signal")

		signals <- syscall.SIGTERM
		require.NoError(t, <-done)
	})
}

// Guards against a setting that is replaced without a log line, one that keeps the others
// from being applied, and a line for it at each reload.
func TestReplacedSettingIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		var settings atomic.Pointer[Settings]
		settings.Store(&Settings{})
		s := &Server{Log: zap.New(core), Reload: func() (Settings, error) { return *settings.Load(), nil }}
		s.retryLimit.Store(&RetryBudget{})
		signals, done := make(chan os.Signal), make(chan error, 1)
		go func() { done <- s.wait(t.Context(), signals, nil) }()

		changed := RetryBudget{Ratio: 0.1, Slack: 20}
		unusable := toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "bounds.drain_ms: is not a number; using 3000")
		settings.Store(&Settings{RetryBudget: changed, Unusable: unusable})
		<-time.After(3 * reloadInterval)
		require.Equal(t, changed, *s.retryLimit.Load())
		warnings := logs.FilterField(zap.Error(unusable))
		require.Equal(t, 1, warnings.Len())
		require.Equal(t, zap.WarnLevel, warnings.All()[0].Level)

		logs.TakeAll()
		signals <- syscall.SIGHUP
		synctest.Wait()
		require.Equal(t, 1, logs.FilterField(zap.Error(unusable)).Len(), "an answer to the signal")

		settings.Store(&Settings{RetryBudget: changed})
		<-time.After(2 * reloadInterval)
		logs.TakeAll()
		settings.Store(&Settings{RetryBudget: changed, Unusable: unusable})
		<-time.After(2 * reloadInterval)
		require.Equal(t, 1, logs.FilterField(zap.Error(unusable)).Len(), "it is new again")
		signals <- syscall.SIGTERM
		require.NoError(t, <-done)
	})
}
