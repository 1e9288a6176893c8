package toucanfeed_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucanfeed"
	"toucanstair.example/toucanstair/toucanmirror"
)

// receiver passes the parts of a feed to functions, which may be nil.
type receiver struct {
	batch     func(toucanmirror.Batch, time.Time)
	departure func(toucanbalancer.Departure)
}

func (r receiver) ApplyBatch(b toucanmirror.Batch, confirmed time.Time) error {
	if r.batch != nil {
		r.batch(b, confirmed)
	}
	return nil
}

func (r receiver) RecordDeparture(d toucanbalancer.Departure) {
	if r.departure != nil {
		r.departure(d)
	}
}

func serve(t *testing.T, m *toucanmirror.Mirror) string {
	return serveWithDepartures(t, m, nil)
}

func serveWithDepartures(t *testing.T, m *toucanmirror.Mirror, targets *toucanbalancer.TargetSet) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer()
	feed := &toucanfeed.Server{Mirror: m}
	if targets != nil {
		feed.Departures = targets
	}
	toucanpb.RegisterFeedServer(server, feed)
	end := make(chan error, 1)
	go func() { end <- server.Serve(l) }()
	t.Cleanup(func() {
		server.Stop()
		require.NoError(t, <-end)
	})
	return l.Addr().String()
}

var limits = toucanfeed.Limits{MaxSilence: 5 * time.Second, MaxAge: time.Minute}

func put(m *toucanmirror.Mirror, key string, revision toucanmirror.Revision, full bool) {
	_, _, _ = m.Apply(toucanmirror.Batch{Items: []toucanmirror.Item{{Key: key, Revision: revision}}, Full: full, Revision: revision}, time.Now())
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
		end <- toucanfeed.Client{}.Follow(ctx, address, 0, limits, receiver{batch: func(b toucanmirror.Batch, confirmed time.Time) {
			if time.Since(confirmed) < time.Minute && len(b.Items) > 0 {
				batches <- b
			}
		}})
	}()
	first := <-batches
	require.True(t, first.Full)
	require.Equal(t, toucanmirror.Revision(5), first.Revision)
	put(&m, "b", 6, false)
	second := <-batches
	require.False(t, second.Full)
	require.Equal(t, "b", second.Items[0].Key)
	cancel()
	require.Error(t, <-end)
}

// Guards against followers that do not learn of a target's departure before they ask it
// themselves.
func TestFollowReceivesDepartures(t *testing.T) {
	var m toucanmirror.Mirror
	put(&m, "a", 5, true)
	var targets toucanbalancer.TargetSet
	before, after := toucanbalancer.Departure{Target: "t1", StartMillis: 7}, toucanbalancer.Departure{Target: "t2", StartMillis: 8}
	targets.MarkLeaving(before, time.Now())
	address := serveWithDepartures(t, &m, &targets)
	ctx, cancel := context.WithCancel(t.Context())
	received := make(chan toucanbalancer.Departure, 10)
	end := make(chan error, 1)
	go func() {
		end <- toucanfeed.Client{}.Follow(ctx, address, 0, limits, receiver{departure: func(d toucanbalancer.Departure) { received <- d }})
	}()
	require.Equal(t, before, <-received)
	targets.MarkLeaving(after, time.Now())
	put(&m, "b", 6, false)
	require.Equal(t, after, <-received)
	cancel()
	require.Error(t, <-end)
	require.Empty(t, received, "each departure is sent once")
}

// Guards against a removal that seems as recent as the message to a late follower, and against
// a time of removal where none is known.
func TestFollowReceivesTimesOfRemovals(t *testing.T) {
	var m toucanmirror.Mirror
	_, _, _ = m.Apply(toucanmirror.Batch{Items: []toucanmirror.Item{{Key: "a", Revision: 5}, {Key: "b", Revision: 5}}, Full: true, Revision: 5}, time.Now())
	after := time.Now().Add(-time.Second)
	_, _, _ = m.Apply(toucanmirror.Batch{Items: []toucanmirror.Item{{Key: "a", Revision: 6, Deleted: true, DeletedAfter: after}, {Key: "b", Revision: 7, Deleted: true}}, Revision: 7}, time.Now())
	address := serve(t, &m)
	ctx, cancel := context.WithCancel(t.Context())
	received := make(chan toucanmirror.Batch, 10)
	end := make(chan error, 1)
	go func() {
		end <- toucanfeed.Client{}.Follow(ctx, address, 5, limits, receiver{batch: func(b toucanmirror.Batch, _ time.Time) { received <- b }})
	}()
	items := map[string]toucanmirror.Item{}
	for _, it := range (<-received).Items {
		items[it.Key] = it
	}
	require.WithinDuration(t, after, items["a"].DeletedAfter, 500*time.Millisecond)
	require.Zero(t, items["b"].DeletedAfter)
	cancel()
	require.Error(t, <-end)
}

// Guards against a host that follows another one which can no longer read the
// store.
func TestFollowFailsOnStaleFeed(t *testing.T) {
	var m toucanmirror.Mirror
	_, _, _ = m.Apply(toucanmirror.Batch{Full: true, Revision: 5}, time.Now().Add(-time.Hour))
	err := toucanfeed.Client{}.Follow(t.Context(), serve(t, &m), 5, limits, receiver{})
	var stale *toucanfeed.StaleError
	require.ErrorAs(t, err, &stale)
	require.Greater(t, stale.Age, 59*time.Minute)
}

// Guards against a copy that is sent although it is too old for the receiver.
func TestOldCopyIsNotSent(t *testing.T) {
	var m toucanmirror.Mirror
	_, _, _ = m.Apply(toucanmirror.Batch{Items: []toucanmirror.Item{{Key: "a", Revision: 5}}, Full: true, Revision: 5}, time.Now().Add(-time.Hour))
	conn, err := grpc.NewClient(serve(t, &m), grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, conn.Close()) })
	stream, err := toucanpb.NewFeedClient(conn).Follow(t.Context(), &toucanpb.FollowRequest{Limit: int64(time.Minute)})
	require.NoError(t, err)
	reply, err := stream.Recv()
	require.NoError(t, err)
	require.Empty(t, reply.GetRecords())
	require.Greater(t, time.Duration(reply.GetAge()), time.Minute)
	_, err = stream.Recv()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a full copy, of up to 32 MB, to a host that follows a backup.
func TestBackupSendsNoFullCopy(t *testing.T) {
	var m toucanmirror.Mirror
	put(&m, "a", 5, true)
	received := 0
	counting := receiver{batch: func(b toucanmirror.Batch, _ time.Time) { received += len(b.Items) }}
	deltas := limits
	deltas.DeltasOnly = true
	err := toucanfeed.Client{}.Follow(t.Context(), serve(t, &m), 3, deltas, counting)
	require.Equal(t, codes.FailedPrecondition, status.Code(err))
	require.Zero(t, received)
}

// Guards against a host that waits indefinitely on a silent feed.
func TestFollowTimesOutOnSilentFeed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	short := toucanfeed.Limits{MaxSilence: 50 * time.Millisecond, MaxAge: time.Minute}
	require.Error(t, toucanfeed.Client{}.Follow(t.Context(), l.Addr().String(), 0, short, receiver{}))
}
