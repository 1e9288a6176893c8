package toucanfeed

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucanmirror"
	"toucanstair.example/toucanstair/toucantransport"
)

// Limits bounds a feed. Follow fails when a bound is exceeded.
type Limits struct {
	MaxSilence time.Duration // without any message
	MaxAge     time.Duration // since the store confirmed the other host's copy
	// DeltasOnly makes Follow fail where the other host would send all items.
	DeltasOnly bool
}

// StaleError is the error of a feed whose host has an outdated copy of the
// store.
type StaleError struct {
	Address string
	Reason  string
	Age     time.Duration // since the store confirmed the other host's copy
}

func (e *StaleError) Error() string {
	return "feed of " + e.Address + ": " + e.Reason + " (age " + e.Age.String() + ")"
}

// Receiver takes in the messages of a feed.
type Receiver interface {
	// ApplyBatch applies changes that the store confirmed at a point in time.
	ApplyBatch(b toucanmirror.Batch, confirmed time.Time)
	// RecordDeparture records a target that announced its departure to another host.
	RecordDeparture(d toucanbalancer.Departure)
}

// Client follows the feeds of other hosts. The zero value is ready for use.
type Client struct{}

// Follow streams the changes after a revision from the host at an address to a
// receiver. It returns an error when the feed fails, is silent for MaxSilence or is older
// than MaxAge; the latter is a *StaleError.
func (Client) Follow(ctx context.Context, address string, after uint64, l Limits, receiver Receiver) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(toucantransport.Dial), grpc.WithMaxHeaderListSize(maxHeaderBytes), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return err
	}
	defer conn.Close()
	silenceTimer := time.AfterFunc(l.MaxSilence, cancel)
	defer silenceTimer.Stop()
	stream, err := toucanpb.NewFeedClient(conn).Follow(ctx, &toucanpb.FollowRequest{After: after, Limit: int64(l.MaxAge), Deltas: l.DeltasOnly})
	if err != nil {
		return err
	}
	for {
		r, err := stream.Recv()
		if err != nil {
			return err
		}
		silenceTimer.Reset(l.MaxSilence)
		age := time.Duration(r.GetAge())
		if age > l.MaxAge {
			return &StaleError{address, "the host's copy of the store is outdated", age}
		}
		b := toucanmirror.Batch{Full: r.GetWhole(), Revision: r.GetRevision()}
		for _, it := range r.GetRecords() {
			item := toucanmirror.Item{Key: it.GetKey(), Value: it.GetValue(), Revision: it.GetRevision(), Deleted: it.GetGone()}
			if since := it.GetSince(); since > 0 {
				item.DeletedAfter = time.Now().Add(-time.Duration(since))
			}
			b.Items = append(b.Items, item)
		}
		receiver.ApplyBatch(b, time.Now().Add(-age-maxTransferTime))
		for _, d := range r.GetDepartures() {
			receiver.RecordDeparture(toucanbalancer.Departure{Target: toucanreplica.ID(d.GetTarget()), StartMillis: d.GetStart()})
		}
	}
}
