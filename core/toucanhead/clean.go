package toucanhead

import (
	"context"

	"toucanstair.example/core/toucanpb"
)

// DeleteReplacedBlobs deletes the blobs that the plan replaced. It is best
// effort: a blob that remains only takes space in the store.
//
// A concurrent change based on the new head may publish the same content again.
// It rewrites the blob, which gives the blob's entry a revision above that of
// the head's entry. Therefore only older entries are deleted, and the
// compare-and-swap on their revision resolves the race between the delete and
// the rewrite. This requires that all keys of the store share one revision
// counter.
func (pub *Publisher) DeleteReplacedBlobs(ctx context.Context, p *Plan) {
	current, err := pub.Current(ctx)
	if err != nil || current.Head.GetRevision() < p.Next.GetRevision() {
		return
	}
	kept := blobSums(p.Next)
	for sum := range blobSums(current.Head) {
		kept[sum] = true
	}
	for sum := range blobSums(p.Base.Head) {
		if kept[sum] {
			continue
		}
		e, err := pub.Store.Get(ctx, BlobPrefix+sum)
		if err != nil {
			return
		}
		if e == nil || e.GetRevision() >= current.EntryRevision {
			continue
		}
		if err := pub.Store.Delete(ctx, BlobPrefix+sum, e.GetRevision()); err != nil && !isConflict(err) {
			return
		}
	}
}

func blobSums(head *toucanpb.Head) map[string]bool {
	out := make(map[string]bool, len(head.GetFiles()))
	for _, f := range head.GetFiles() {
		out[f.GetSum()] = true
	}
	return out
}
