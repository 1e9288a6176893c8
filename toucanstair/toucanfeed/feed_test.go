package toucanfeed_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanfeed"
	"toucanstair.example/toucanstair/toucanmirror"
)

func serve(t *testing.T, m *toucanmirror.Mirror) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer()
	toucanpb.RegisterFeedServer(server, &toucanfeed.Server{Mirror: m})
	end := make(chan error, 1)
	go func() { end <- server.Serve(l) }()
	t.Cleanup(func() {
		server.Stop()
		require.NoError(t, <-end)
	})
	return l.Addr().String()
}

var limits = toucanfeed.Limits{MaxSilence: 5 * time.Second, MaxAge: time.Minute}

func put(m *toucanmirror.Mirror, key string, revision uint64, full bool) {
	m.Apply(toucanmirror.Batch{Items: []toucanmirror.Item{{Key: key, Revision: revision}}, Full: full, Revision: revision}, time.Now())
}

// Guards against a follower that lacks the existing items, later changes, or
// the age of the copy.
func TestFollowReceivesFullCopyThenChanges(t *testing.T) {
	var m toucanmirror.Mirror
	put(&m, "a", 5, true)
	address := serve(t, &m)
	ctx, cancel := context.WithCancel(t.Context())
	batches := make(chan toucanmirror.Batch, 100)
	end := make(chan error, 1)
	go func() {
		end <- toucanfeed.Follow(ctx, address, 0, limits, func(b toucanmirror.Batch, confirmed time.Time) {
			if time.Since(confirmed) < time.Minute && len(b.Items) > 0 {
				batches <- b
			}
		})
	}()
	first := <-batches
	require.True(t, first.Full)
	require.Equal(t, uint64(5), first.Revision)
	put(&m, "b", 6, false)
	second := <-batches
	require.False(t, second.Full)
	require.Equal(t, "b", second.Items[0].Key)
	cancel()
	require.Error(t, <-end)
}

// Guards against a host that follows another one which can no longer read the
// store.
func TestFollowFailsOnStaleFeed(t *testing.T) {
	var m toucanmirror.Mirror
	m.Apply(toucanmirror.Batch{Full: true, Revision: 5}, time.Now().Add(-time.Hour))
	err := toucanfeed.Follow(t.Context(), serve(t, &m), 5, limits, func(toucanmirror.Batch, time.Time) {})
	var stale *toucanfeed.StaleError
	require.ErrorAs(t, err, &stale)
	require.Greater(t, stale.Age, 59*time.Minute)
}

// Guards against a host that waits indefinitely on a silent feed.
func TestFollowTimesOutOnSilentFeed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	short := toucanfeed.Limits{MaxSilence: 50 * time.Millisecond, MaxAge: time.Minute}
	require.Error(t, toucanfeed.Follow(t.Context(), l.Addr().String(), 0, short, func(toucanmirror.Batch, time.Time) {}))
}
