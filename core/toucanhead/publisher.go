// Package toucanhead plans and applies changes to the published configuration.
//
// The store holds the head, which lists the files with their digests, at
// config/head and the content of each file at config/blob/<sum>, where sum is
// its SHA-256 in hexadecimal. Blobs are written before the head that refers to
// them. The revision of a head is one above that of the previous head; it is
// independent of the store's revisions of its keys.
package toucanhead

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	mathrand "math/rand/v2"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanfolder"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucantimer"
)

// Keys of the published configuration in the store.
const (
	Key        = "config/head"
	BlobPrefix = "config/blob/"
)

const (
	// maxAttempts bounds the attempts of a write; the backoff between them adds
	// up to at most about 3 s, not counting the calls.
	maxAttempts    = 6
	initialBackoff = 100 * time.Millisecond
	// maxChangeIDs is the number of latest change ids that a head keeps.
	maxChangeIDs      = 16
	maxAuthorBytes    = 256
	maxChangeBytes    = 1 << 10
	changeIDSeparator = "."
	changeIDBytes     = 8
)

// Store is the part of the platform's store that Publisher uses. Put and Delete
// fail with CODE_CONFLICT unless the key's revision is prev.
type Store interface {
	Get(ctx context.Context, key string) (*toucanpb.Entry, error)
	Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (uint64, error)
	Delete(ctx context.Context, key string, prev uint64) error
}

// Publisher reads and changes the published configuration in a store.
type Publisher struct {
	Store Store
	// MinRevision is the lowest revision that Plan assigns. It is needed only
	// after the store lost its content, because hosts ignore revisions below
	// their own.
	MinRevision uint64
}

// Current is the published head as read; Head is nil if nothing is published.
type Current struct {
	Head          *toucanpb.Head
	EntryRevision uint64 // the store's revision of the key, for compare-and-swap
}

// Plan is a change relative to the head that was current when it was made.
// Added, Changed and Removed are names of files.
type Plan struct {
	Base                    Current
	Next                    *toucanpb.Head
	Added, Changed, Removed []string
	blobs                   map[string][]byte
}

// Empty reports whether the plan changes no file.
func (p *Plan) Empty() bool { return len(p.Added)+len(p.Changed)+len(p.Removed) == 0 }

// Phase is the outcome of an Apply.
type Phase int

// Outcomes of an Apply.
const (
	// Unknown: the change may or may not take effect; read the head later.
	Unknown Phase = iota
	// Done: the change took effect at Result.Revision.
	Done
	// Lost: another change took effect first, so that this one never will.
	Lost
	// Failed: nothing was published, and this change never will be.
	Failed
)

// String returns p in lower case, such as "done".
func (p Phase) String() string { return [...]string{"unknown", "done", "lost", "failed"}[p] }

// Result is the result of an Apply. Revision and Author are those of the change
// if it is done and those of the current head if it is lost. An unknown
// result has those of the current head if the change ids no longer reach back to
// the change, and otherwise neither.
type Result struct {
	Phase    Phase
	Revision uint64
	Author   string
	Err      error
}

// Current reads the published head. It returns CODE_CONFIG if the head is invalid.
func (pub *Publisher) Current(ctx context.Context) (Current, error) {
	e, err := pub.Store.Get(ctx, Key)
	if err != nil || e == nil {
		return Current{}, err
	}
	head, err := Decode(e.GetValue())
	if err != nil {
		return Current{}, err
	}
	return Current{Head: head, EntryRevision: e.GetRevision()}, nil
}

// Files reads the files of a head and verifies their digests. It returns
// CODE_CONFIG if a blob is missing or does not match.
func (pub *Publisher) Files(ctx context.Context, head *toucanpb.Head) (map[string][]byte, error) {
	out := make(map[string][]byte, len(head.GetFiles()))
	for _, f := range head.GetFiles() {
		e, err := pub.Store.Get(ctx, BlobPrefix+f.GetSum())
		if err != nil {
			return nil, err
		}
		if e == nil || BlobSum(e.GetValue()) != f.GetSum() {
			return nil, toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "blob of "+f.GetName()+" is missing or has another digest")
		}
		out[f.GetName()] = e.GetValue()
	}
	return out, nil
}

// Plan compares files with the published head. It does not validate their
// content; the caller must have. It returns CODE_CONFIG if the published or the
// planned head is invalid, and the errors of the store.
func (pub *Publisher) Plan(ctx context.Context, files map[string][]byte, author string) (*Plan, error) {
	base, err := pub.Current(ctx)
	if err != nil {
		return nil, err
	}
	p := &Plan{
		Base: base,
		Next: &toucanpb.Head{
			Revision: max(base.Head.GetRevision()+1, pub.MinRevision),
			Change:   prependChangeID(base.Head.GetChange()),
			Author:   author[:min(len(author), maxAuthorBytes)],
		},
		blobs: map[string][]byte{},
	}
	published := map[string]string{}
	for _, f := range base.Head.GetFiles() {
		published[f.GetName()] = f.GetSum()
	}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		sum := BlobSum(files[name])
		p.Next.Files = append(p.Next.Files, &toucanpb.File{Name: name, Sum: sum})
		previous, known := published[name]
		delete(published, name)
		switch {
		case !known:
			p.Added = append(p.Added, name)
		case previous != sum:
			p.Changed = append(p.Changed, name)
		default:
			continue
		}
		p.blobs[sum] = files[name]
	}
	p.Removed = slices.Sorted(maps.Keys(published))
	return p, Validate(p.Next)
}

// Apply publishes a plan unless the head has changed since it was made.
func (pub *Publisher) Apply(ctx context.Context, p *Plan) Result {
	for _, sum := range slices.Sorted(maps.Keys(p.blobs)) {
		if err := pub.writeBlob(ctx, sum, p.blobs[sum], p.Base.EntryRevision); err != nil {
			return Result{Phase: Failed, Err: err}
		}
	}
	value, err := Encode(p.Next)
	if err != nil {
		return Result{Phase: Failed, Err: err}
	}
	// A write without a reply may take effect at any later time. Retrying it is
	// safe, because the compare-and-swap succeeds at most once.
	mayTakeEffect := false
	for attempt := range maxAttempts {
		if attempt > 0 && !backOff(ctx, attempt) {
			break
		}
		_, err = pub.Store.Put(ctx, Key, value, p.Base.EntryRevision, "")
		if err == nil {
			return Result{Phase: Done, Revision: p.Next.GetRevision(), Author: p.Next.GetAuthor()}
		}
		f := toucanfault.As(err)
		conflict := f != nil && f.Code == toucanpb.Code_CODE_CONFLICT
		if f == nil || !conflict && f.Outcome != toucanpb.Outcome_OUTCOME_NOTRUN {
			mayTakeEffect = true
		}
		if r := pub.resolve(ctx, p); r.Phase == Done || r.Phase == Lost || conflict && r.Err == nil {
			return r
		}
	}
	if !mayTakeEffect && !isConflict(err) {
		return Result{Phase: Failed, Err: err}
	}
	return Result{Phase: Unknown, Err: err}
}

// resolve reads the head to find out whether the plan took effect. The change
// ids in the head show it even if later changes followed.
func (pub *Publisher) resolve(ctx context.Context, p *Plan) Result {
	current, err := pub.Current(ctx)
	if err != nil {
		return Result{Phase: Unknown, Err: err}
	}
	revision, planned := current.Head.GetRevision(), p.Next.GetRevision()
	ids := strings.Split(current.Head.GetChange(), changeIDSeparator)
	switch {
	case slices.Contains(ids, ChangeID(p.Next)):
		return Result{Phase: Done, Revision: planned, Author: p.Next.GetAuthor()}
	case current.EntryRevision == p.Base.EntryRevision || revision < p.Base.Head.GetRevision():
		return Result{Phase: Unknown, Err: toucanfault.Unknown(toucanpb.Code_CODE_STORE, "the head has not changed")}
	case revision >= planned+maxChangeIDs:
		// The change ids no longer reach back to the planned revision.
		return Result{Phase: Unknown, Revision: revision, Author: current.Head.GetAuthor()}
	}
	return Result{Phase: Lost, Revision: revision, Author: current.Head.GetAuthor()}
}

// writeBlob writes one file. An existing blob is verified, because its content
// must never change. It is rewritten if it is older than the head that the plan
// is based on, because DeleteReplacedBlobs may delete it then.
func (pub *Publisher) writeBlob(ctx context.Context, sum string, data []byte, baseEntryRevision uint64) error {
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 && !backOff(ctx, attempt) {
			break
		}
		if _, err = pub.Store.Put(ctx, BlobPrefix+sum, data, 0, ""); err == nil {
			return nil
		}
		if !isConflict(err) {
			continue
		}
		var e *toucanpb.Entry
		if e, err = pub.Store.Get(ctx, BlobPrefix+sum); err != nil {
			continue
		}
		if e == nil {
			err = toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT, "blob "+sum+" was deleted meanwhile")
			continue
		}
		if BlobSum(e.GetValue()) != sum {
			return toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "blob "+sum+" in the store has another digest")
		}
		if e.GetRevision() > baseEntryRevision {
			return nil
		}
		if _, err = pub.Store.Put(ctx, BlobPrefix+sum, data, e.GetRevision(), ""); err == nil {
			return nil
		}
	}
	return err
}

func isConflict(err error) bool {
	f := toucanfault.As(err)
	return f != nil && f.Code == toucanpb.Code_CODE_CONFLICT
}

// backOff waits with exponential backoff and jitter, so that operators who met
// the same failure don't retry at the same time. It returns false if ctx ended.
func backOff(ctx context.Context, attempt int) bool {
	d := initialBackoff << (attempt - 1)
	return toucantimer.Wait(ctx, d/2+mathrand.N(d/2))
}

// prependChangeID returns a new change id followed by the latest ids in change.
func prependChangeID(change string) string {
	id := make([]byte, changeIDBytes)
	rand.Read(id) //nolint:errcheck // crypto/rand.Read never returns an error
	ids := []string{hex.EncodeToString(id)}
	if change != "" {
		ids = append(ids, strings.Split(change, changeIDSeparator)...)
	}
	return strings.Join(ids[:min(len(ids), maxChangeIDs)], changeIDSeparator)
}

// ChangeID returns the id of the change that produced head.
func ChangeID(head *toucanpb.Head) string {
	id, _, _ := strings.Cut(head.GetChange(), changeIDSeparator)
	return id
}

// BlobSum returns the hexadecimal SHA-256 of a file.
func BlobSum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Sum returns the SHA-256 digest of a head. It covers all fields and does not
// depend on the protobuf encoding.
func Sum(head *toucanpb.Head) []byte {
	d := sha256.New()
	fmt.Fprintf(d, "%d\n%q\n%q\n", head.GetRevision(), head.GetChange(), head.GetAuthor())
	for _, f := range head.GetFiles() {
		fmt.Fprintf(d, "%q %q\n", f.GetName(), f.GetSum())
	}
	return d.Sum(nil)
}

// Encode encodes a head as the value of Key.
func Encode(head *toucanpb.Head) ([]byte, error) {
	b, err := proto.Marshal(head)
	if err != nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "encoding the head").Because(err)
	}
	return b, nil
}

// Decode decodes the value of Key and validates the head. It returns CODE_CONFIG
// if either fails.
func Decode(value []byte) (*toucanpb.Head, error) {
	head := &toucanpb.Head{}
	if err := proto.Unmarshal(value, head); err != nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "decoding the head").Because(err)
	}
	return head, Validate(head)
}

// Validate checks the format and limits of a head. It returns CODE_CONFIG if the
// head is invalid.
func Validate(head *toucanpb.Head) error {
	bad := func(format string, args ...any) error {
		return toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "head: "+fmt.Sprintf(format, args...))
	}
	switch {
	case head.GetRevision() == 0:
		return bad("no revision")
	case head.GetChange() == "" || len(head.GetChange()) > maxChangeBytes || len(head.GetAuthor()) > maxAuthorBytes:
		return bad("change id missing, or change ids or author too long")
	case len(head.GetFiles()) > toucanfolder.MaxFiles:
		return bad("%d files, the limit is %d", len(head.GetFiles()), toucanfolder.MaxFiles)
	}
	last := ""
	for _, f := range head.GetFiles() {
		if sum, err := hex.DecodeString(f.GetSum()); err != nil || len(sum) != sha256.Size || f.GetSum() != strings.ToLower(f.GetSum()) {
			return bad("bad digest of file %.80q", f.GetName())
		}
		if f.GetName() <= last || !toucanfolder.IsFileName(f.GetName()) {
			return bad("file name %.80q is bad or out of order", f.GetName())
		}
		last = f.GetName()
	}
	return nil
}
