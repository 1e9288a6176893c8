package toucanfeed_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanfeed"
	"toucanstair.example/toucanstair/toucanmirror"
)

// followUntilBatch follows a host and applies the batches to m until one of them has items.
func followUntilBatch(t *testing.T, address string, m *toucanmirror.Mirror, l toucanfeed.Limits) error {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	return toucanfeed.Client{}.Follow(ctx, address, m.Revision(), l, receiver{batch: func(b toucanmirror.Batch, confirmed time.Time) {
		_, _, err := m.Apply(b, confirmed)
		require.NoError(t, err)
		if len(b.Items) > 0 {
			cancel()
		}
	}})
}

// Guards against a follower that learns nothing of an era whose counts are below those of the one before.
func TestFollowerOfAnEarlierEraGetsTheLaterOne(t *testing.T) {
	var m, follower toucanmirror.Mirror
	put(&follower, "a", toucanmirror.At(1, 900), true)
	put(&m, "a", toucanmirror.At(2, 17), true)
	require.Error(t, followUntilBatch(t, serve(t, &m), &follower, limits))
	require.Equal(t, toucanmirror.At(2, 17), follower.Revision())
}

// Guards against a host that brings an earlier era back to one that knows the later one.
func TestHostOfAnEarlierEraIsNoSource(t *testing.T) {
	var m, follower toucanmirror.Mirror
	put(&follower, "a", toucanmirror.At(2, 17), true)
	put(&m, "a", toucanmirror.At(1, 900), true)
	err := followUntilBatch(t, serve(t, &m), &follower, limits)
	require.Equal(t, codes.FailedPrecondition, status.Code(err))
	require.Equal(t, toucanmirror.At(2, 17), follower.Revision())
}

// earlierVersion is a host of a version that knows of no eras.
type earlierVersion struct {
	toucanpb.UnimplementedFeedServer
}

func (earlierVersion) Follow(r *toucanpb.FollowRequest, stream grpc.ServerStreamingServer[toucanpb.FollowReply]) error {
	return stream.Send(&toucanpb.FollowReply{Revision: r.GetAfter() + 1, Records: []*toucanpb.Record{{Key: "b", Revision: r.GetAfter() + 1}}})
}

// Guards against hosts that can't follow those of an earlier version while they are replaced one by one, and against such a source after a drill, which it has not noticed.
func TestHostOfAnEarlierVersionIsFollowedUntilADrill(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer()
	toucanpb.RegisterFeedServer(server, earlierVersion{})
	end := make(chan error, 1)
	go func() { end <- server.Serve(l) }()
	t.Cleanup(func() {
		server.Stop()
		require.NoError(t, <-end)
	})
	var follower toucanmirror.Mirror
	put(&follower, "a", toucanmirror.At(3, 17), true)
	require.Error(t, followUntilBatch(t, l.Addr().String(), &follower, limits))
	require.Equal(t, toucanmirror.At(3, 18), follower.Revision())

	afterDrill := limits
	afterDrill.NeedsEra = true
	var stale *toucanfeed.StaleError
	require.ErrorAs(t, followUntilBatch(t, l.Addr().String(), &follower, afterDrill), &stale)
	require.Equal(t, toucanmirror.At(3, 18), follower.Revision())
}

// Guards against a follower of an earlier version that gets no changes from a host that knows the era.
func TestFollowerOfAnEarlierVersionGetsChanges(t *testing.T) {
	var m toucanmirror.Mirror
	put(&m, "a", toucanmirror.At(3, 17), true)
	put(&m, "b", toucanmirror.At(3, 18), false)
	conn, err := grpc.NewClient(serve(t, &m), grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, conn.Close()) })
	stream, err := toucanpb.NewFeedClient(conn).Follow(t.Context(), &toucanpb.FollowRequest{After: 17})
	require.NoError(t, err)
	reply, err := stream.Recv()
	require.NoError(t, err)
	require.False(t, reply.GetWhole())
	require.Len(t, reply.GetRecords(), 1)
	require.Equal(t, uint64(18), reply.GetRevision())
}
