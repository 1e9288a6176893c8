package toucanhead

import (
	"context"

	"toucanstair.example/core/toucanpb"
)

// DeleteReplacedBlobs deletes the blobs that the plan replaced. It is best effort: a blob
// that is left costs space in the store and nothing else.
//
// An operator who plans a change on the new head may publish the same content
// again. Such a plan rewrites the blob, which gives its entry a revision above
// that of the new head; so only entries below the head's revision are deleted,
// and the compare on that revision settles the race of the two writes. This
// relies on one counter of revisions for all keys of the store.
func (h *Publisher) DeleteReplacedBlobs(ctx context.Context, p *Plan) {
	now, err := h.Current(ctx)
	if err != nil || now.Head.GetRevision() < p.Next.GetRevision() {
		return
	}
	kept := sums(p.Next)
	for sum := range sums(now.Head) {
		kept[sum] = true
	}
	for sum := range sums(p.Base.Head) {
		if kept[sum] {
			continue
		}
		e, err := h.Store.Get(ctx, BlobPrefix+sum)
		if err != nil {
			return
		}
		if e == nil || e.GetRevision() >= now.EntryRevision {
			continue
		}
		if err := h.Store.Delete(ctx, BlobPrefix+sum, e.GetRevision()); err != nil && !isConflict(err) {
			return
		}
	}
}

func sums(head *toucanpb.Head) map[string]bool {
	out := make(map[string]bool, len(head.GetFiles()))
	for _, f := range head.GetFiles() {
		out[f.GetSum()] = true
	}
	return out
}
