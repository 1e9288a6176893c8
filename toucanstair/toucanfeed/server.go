// Package toucanfeed streams the contents of the store from one host to others,
// so that not every host has to read the store.
package toucanfeed

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucanmirror"
)

const (
	// keepaliveInterval is the longest time between two messages of a feed.
	keepaliveInterval = 500 * time.Millisecond
	// maxTransferTime is the time that a message may take. It counts for the age of the
	// copy, which would otherwise get younger with each hop, and without end between two
	// hosts that follow each other.
	maxTransferTime = 20 * time.Millisecond
	// maxMessageBytes bounds a message; the largest one is a full copy of the
	// store's keys.
	maxMessageBytes = 32 << 20
	// maxHeaderBytes bounds the header of a message.
	maxHeaderBytes = 64 << 10
)

// departures are the targets that announced their departure to this host or to one that
// it follows; toucanbalancer.TargetSet implements it.
type departures interface {
	// DeparturesSince returns the departures after a number, and the last number.
	DeparturesSince(number uint64) ([]toucanbalancer.Departure, uint64)
}

// Server serves a Mirror to other hosts.
type Server struct {
	toucanpb.UnimplementedFeedServer
	Mirror     *toucanmirror.Mirror
	Departures departures // may be nil
}

// Follow sends the changes after the requested revision as they occur, unless the mirror
// is older than the receiver's limit at the start, and every
// keepaliveInterval a message that may have no changes. Each message has the age
// of the mirror and the departures that were not sent yet.
func (s *Server) Follow(r *toucanpb.FollowRequest, stream grpc.ServerStreamingServer[toucanpb.FollowReply]) error {
	era := toucanmirror.Era(r.GetEra())
	if era == 0 {
		era = s.Mirror.Revision().Era() // the receiver knows of no eras
	}
	after, sentDepartures := toucanmirror.Revision(0), uint64(0)
	if r.GetAfter() > 0 {
		after = toucanmirror.At(era, r.GetAfter())
	}
	if after.Era() > s.Mirror.Revision().Era() {
		return status.Error(codes.FailedPrecondition, "the receiver knows a later era of the store")
	}
	if age := s.Mirror.Age(time.Now()); r.GetLimit() > 0 && age > time.Duration(r.GetLimit()) {
		// The receiver gives up an older copy, which may be large.
		return stream.Send(&toucanpb.FollowReply{Revision: after.Count(), Era: uint64(after.Era()), Age: int64(age)})
	}
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	for {
		b, changed := s.Mirror.Since(after)
		if b.Full && r.GetDeltas() {
			return status.Error(codes.FailedPrecondition, "all items would have to be sent")
		}
		// An empty mirror, before its first list, is not a full copy.
		if b.Revision == 0 {
			b.Full = false
		}
		message := reply(b, s.Mirror.Age(time.Now()))
		if s.Departures != nil {
			var left []toucanbalancer.Departure
			left, sentDepartures = s.Departures.DeparturesSince(sentDepartures)
			for _, d := range left {
				message.Departures = append(message.Departures, &toucanpb.Departure{Target: string(d.Target), Start: d.StartMillis})
			}
		}
		if err := stream.Send(message); err != nil {
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
	out := &toucanpb.FollowReply{Whole: b.Full, Revision: b.Revision.Count(), Era: uint64(b.Revision.Era()), Age: int64(age)}
	for _, it := range b.Items {
		record := &toucanpb.Record{Key: it.Key, Value: it.Value, Revision: it.Revision.Count(), Gone: it.Deleted}
		if !it.DeletedAfter.IsZero() {
			record.Since = max(1, int64(time.Since(it.DeletedAfter)))
		}
		out.Records = append(out.Records, record)
	}
	return out
}
