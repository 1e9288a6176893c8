package toucanfeed

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanmirror"
	"toucanstair.example/toucanstair/toucantransport"
)

// Limits says when a feed is given up.
type Limits struct {
	MaxSilence time.Duration // without any message
	MaxAge     time.Duration // of what the other host knows
}

// StaleError is a feed that was given up.
type StaleError struct {
	Address string
	Reason  string
	Age     time.Duration // of what the other host knew
}

func (e *StaleError) Error() string {
	return "feed of " + e.Address + ": " + e.Reason + " (age " + e.Age.String() + ")"
}

// Follow hands the batches of the host at an address to take until the feed
// fails, which it returns. take is given the moment at which the store
// confirmed a batch.
func Follow(ctx context.Context, address string, after uint64, l Limits, take func(toucanmirror.Batch, time.Time)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(toucantransport.Dial), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)))
	if err != nil {
		return err
	}
	defer conn.Close()
	silent := time.AfterFunc(l.MaxSilence, cancel)
	defer silent.Stop()
	stream, err := toucanpb.NewFeedClient(conn).Follow(ctx, &toucanpb.FollowRequest{After: after})
	if err != nil {
		return err
	}
	for {
		r, err := stream.Recv()
		if err != nil {
			return err
		}
		silent.Reset(l.MaxSilence)
		age := time.Duration(r.GetAge())
		if age > l.MaxAge {
			return &StaleError{address, "the host has lost the store", age}
		}
		b := toucanmirror.Batch{Full: r.GetWhole(), Revision: r.GetRevision()}
		for _, it := range r.GetRecords() {
			b.Items = append(b.Items, toucanmirror.Item{Key: it.GetKey(), Value: it.GetValue(), Revision: it.GetRevision(), Deleted: it.GetGone()})
		}
		take(b, time.Now().Add(-age))
	}
}
