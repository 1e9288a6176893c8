// Package toucanfeed streams the contents of the store from one host to others,
// so that not every host has to read the store.
package toucanfeed

import (
	"time"

	"google.golang.org/grpc"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanmirror"
)

const (
	// keepaliveInterval is the longest time between two messages of a feed.
	keepaliveInterval = 500 * time.Millisecond
	// maxMessageBytes bounds a message; the largest one is a full copy of the
	// store's keys.
	maxMessageBytes = 32 << 20
)

// Server serves a Mirror to other hosts.
type Server struct {
	toucanpb.UnimplementedFeedServer
	Mirror *toucanmirror.Mirror
}

// Follow sends the changes after the requested revision as they occur, and every
// keepaliveInterval a message that may have no changes. Each message has the age
// of the mirror.
func (s *Server) Follow(r *toucanpb.FollowRequest, stream grpc.ServerStreamingServer[toucanpb.FollowReply]) error {
	after := r.GetAfter()
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	for {
		b, changed := s.Mirror.Since(after)
		// An empty mirror, before its first list, is not a full copy.
		if b.Revision == 0 {
			b.Full = false
		}
		if err := stream.Send(reply(b, s.Mirror.Age(time.Now()))); err != nil {
			return err
		}
		after = b.Revision
		select {
		case <-changed:
		case <-keepalive.C:
		case <-stream.Context().Done():
			return nil
		}
	}
}

func reply(b toucanmirror.Batch, age time.Duration) *toucanpb.FollowReply {
	out := &toucanpb.FollowReply{Whole: b.Full, Revision: b.Revision, Age: int64(age)}
	for _, it := range b.Items {
		out.Records = append(out.Records, &toucanpb.Record{Key: it.Key, Value: it.Value, Revision: it.Revision, Gone: it.Deleted})
	}
	return out
}
