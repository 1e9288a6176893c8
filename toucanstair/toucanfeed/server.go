// Package toucanfeed passes what the store says from one host to others.
package toucanfeed

import (
	"time"

	"google.golang.org/grpc"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanmirror"
)

const (
	// noteTime is the longest time between two messages of a feed.
	noteTime = 500 * time.Millisecond
	// maxMessage bounds a message, in bytes: a whole copy of the store's keys.
	maxMessage = 32 << 20
)

// Server serves a mirror to other hosts.
type Server struct {
	toucanpb.UnimplementedFeedServer
	Mirror *toucanmirror.Mirror
}

// Follow sends what changed after the revision that was asked for, and a note
// of the mirror's age while nothing changes.
func (s *Server) Follow(r *toucanpb.FollowRequest, stream grpc.ServerStreamingServer[toucanpb.FollowReply]) error {
	after := r.GetAfter()
	note := time.NewTicker(noteTime)
	defer note.Stop()
	for {
		b, changed := s.Mirror.Since(after)
		if b.Revision == 0 {
			b.Full = false
		}
		if err := stream.Send(reply(b, s.Mirror.Age(time.Now()))); err != nil {
			return err
		}
		after = b.Revision
		select {
		case <-changed:
		case <-note.C:
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
