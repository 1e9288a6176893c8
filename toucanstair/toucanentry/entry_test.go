package toucanentry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/toucanstair/toucanplace"
	"toucanstair.example/toucanstair/toucanquota"
	"toucanstair.example/toucanstair/toucanreader"
)

// Guards against a host that starts alone in its zone and takes, for the first
// second, the part of one of many.
func TestPartFollowsTheListOfHosts(t *testing.T) {
	// listed is when the other hosts are known; the part has to follow soon, since
	// a restarted host meets all callers of its zone at once.
	const listed, soon = 100 * time.Millisecond, 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		e := &Entry{}
		e.repeats.Store(&Repeats{Ratio: 0.2, Slack: 52})
		p := &toucanplace.Placer{Self: toucanreader.Peer{ID: "a-1", Zone: "a", Power: 400}, Least: 6}
		p.Update(nil)
		alone, updates := p.Part(), 0
		ctx, cancel := context.WithCancel(t.Context())
		end := e.share(ctx, &toucanquota.Quota{}, p, func() {
			updates++
			if time.Since(began) >= listed {
				p.Update([]toucanreader.Peer{{ID: "b-1", Zone: "b", Power: 400}, {ID: "b-2", Zone: "b", Power: 400}})
			}
		})
		<-time.After(listed + soon)
		require.Greater(t, p.Part(), 2*alone, "half of what all hosts may use, as its zone has")
		<-time.After(2 * settleTime)
		before := updates
		<-time.After(10 * time.Second)
		require.Equal(t, 10, updates-before, "once a second")
		cancel()
		require.NoError(t, <-end)
	})
}
