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
	// NeedsEra makes Follow fail where the other host tells no era of the store. Otherwise
	// that host is taken to be in the receiver's.
	NeedsEra bool
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
	// ApplyBatch applies changes that the store confirmed at a point in time. An error ends
	// the feed.
	ApplyBatch(b toucanmirror.Batch, confirmed time.Time) error
	// RecordDeparture records a target that announced its departure to another host.
	RecordDeparture(d toucanbalancer.Departure)
}

// Client follows the feeds of other hosts. The zero value is ready for use.
type Client struct{}

// Follow streams the changes after a revision from the host at an address to a
// receiver. It returns an error when the feed fails, is silent for MaxSilence or is older
// than MaxAge; the latter is a *StaleError.
func (Client) Follow(ctx context.Context, address string, after toucanmirror.Revision, l Limits, receiver Receiver) error {
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
	stream, err := toucanpb.NewFeedClient(conn).Follow(ctx, &toucanpb.FollowRequest{After: after.Count(), Era: uint64(after.Era()), Limit: int64(l.MaxAge), Deltas: l.DeltasOnly})
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
		era := toucanmirror.Era(r.GetEra())
		switch {
		case era == 0 && l.NeedsEra:
			return &StaleError{address, "the host does not tell the era of the store", age}
		case era == 0:
			era = after.Era()
		}
		b := toucanmirror.Batch{Full: r.GetWhole(), Revision: toucanmirror.At(era, r.GetRevision())}
		for _, it := range r.GetRecords() {
			item := toucanmirror.Item{Key: it.GetKey(), Value: it.GetValue(), Revision: toucanmirror.At(era, it.GetRevision()), Deleted: it.GetGone()}
			if since := it.GetSince(); since > 0 {
				item.DeletedAfter = time.Now().Add(-time.Duration(since))
			}
			b.Items = append(b.Items, item)
		}
		if err := receiver.ApplyBatch(b, time.Now().Add(-age-maxTransferTime)); err != nil {
			return err
		}
		for _, d := range r.GetDepartures() {
			receiver.RecordDeparture(toucanbalancer.Departure{Target: toucanreplica.ID(d.GetTarget()), StartMillis: d.GetStart()})
		}
	}
}
