package toucanrollout_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanpb"
)

// Measures the gossip traffic of a host during a rollout, and how long a rollback
// takes to reach all hosts without the store.
func BenchmarkExchange(b *testing.B) {
	const span = 5 * time.Second
	for _, n := range []int{6, 12, 24, 62, 100} {
		b.Run(fmt.Sprint("hosts=", n), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(n)
				ctx, cancel := context.WithCancel(context.Background())
				var ends []<-chan error
				for _, mgr := range f.managers {
					ends = append(ends, mgr.Run(ctx))
					mgr.AddOrder(order(7), time.Now())
				}
				rng := rand.New(rand.NewPCG(1, 1))
				began := time.Now()
				for time.Since(began) < span {
					for range n {
						f.sendRequest(rng, f.managers[rng.IntN(n)], []string{"broad", "broad", "broad", "quick"}[rng.IntN(4)], time.Since(began), healthy)
					}
					<-time.After(step)
				}
				b.ReportMetric(float64(f.bytes.Load())/span.Seconds()/float64(n), "B/s/host")
				f.store.mu.Lock()
				f.store.unavailableTo = func(toucanhost.ID) bool { return true }
				f.store.mu.Unlock()
				shown := time.Now()
				for range 30 {
					f.managers[0].RecordResponse("s", "v1", "broad", toucanpb.Code_CODE_UNSPECIFIED, time.Millisecond)
				}
				for range 30 {
					f.managers[0].RecordResponse("s", "v2", "broad", toucanpb.Code_CODE_FAILED, time.Millisecond)
				}
				for !f.noneUsesNewVersion() {
					<-time.After(step)
				}
				b.ReportMetric(time.Since(shown).Seconds(), "s/rollback")
				cancel()
				for _, e := range ends {
					require.NoError(b, <-e)
				}
			}
		})
	}
}

// noneUsesNewVersion reports whether no host sends requests to the new version.
func (f *fleet) noneUsesNewVersion() bool {
	for _, mgr := range f.managers {
		for range 100 {
			if mgr.ChooseVersion("s", "broad", false).Preferred != "" {
				return false
			}
		}
	}
	return true
}
