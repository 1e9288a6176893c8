// Package toucanhead plans and applies changes of the published configuration.
//
// The store holds the head at config/head and each file, by the hexadecimal
// SHA-256 of its content, at config/blob/<sum>. Blobs are written before the
// head that names them. The revision of a head is that of the head before it
// plus 1; it is independent of the store's own revision numbers.
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
	// tries bounds how often a write with an unknown outcome is repeated; with
	// the pauses it takes about 3 s plus the time of the calls.
	tries      = 6
	firstPause = 100 * time.Millisecond
	// history is the number of change ids that a head carries.
	history     = 16
	maxAuthor   = 256
	maxChange   = 1 << 10
	separator   = "."
	changeBytes = 8
)

// Store is the part of the platform's store that Head uses.
type Store interface {
	Get(ctx context.Context, key string) (*toucanpb.Entry, error)
	Put(ctx context.Context, key string, value []byte, prev uint64, lease string) (uint64, error)
	Delete(ctx context.Context, key string, prev uint64) error
}

// Publisher is the published configuration in a store.
type Publisher struct {
	Store Store
	// MinRevision is the least revision that Plan gives. It is needed only after the
	// store lost its content, because hosts ignore revisions below their own.
	MinRevision uint64
}

// Current is the published head as read; Head is nil when nothing is published.
type Current struct {
	Head          *toucanpb.Head
	EntryRevision uint64 // the store's revision of the key
}

// Plan is a change from the head that was current when it was made.
type Plan struct {
	Base                    Current
	Next                    *toucanpb.Head
	Added, Changed, Removed []string
	blobs                   map[string][]byte
}

// Empty reports whether the change leaves every file as it is.
func (p *Plan) Empty() bool { return len(p.Added)+len(p.Changed)+len(p.Removed) == 0 }

// Phase is the end of an Apply.
type Phase int

// Ends of an Apply.
const (
	// Unknown: the change may take effect or not; reading the head later tells.
	Unknown Phase = iota
	// Done: the change took effect at Result.Revision.
	Done
	// Lost: another change took effect first; this one never will.
	Lost
	// Failed: nothing was published, and this change never will be.
	Failed
)

// String returns the word for p.
func (p Phase) String() string { return [...]string{"unknown", "done", "lost", "failed"}[p] }

// Result says how an Apply ended. Revision and Author are those of the change
// when done and those of the newest head when lost.
type Result struct {
	Phase    Phase
	Revision uint64
	Author   string
	Err      error
}

// Current reads the published head.
func (h *Publisher) Current(ctx context.Context) (Current, error) {
	e, err := h.Store.Get(ctx, Key)
	if err != nil || e == nil {
		return Current{}, err
	}
	head, err := Decode(e.GetValue())
	if err != nil {
		return Current{}, err
	}
	return Current{Head: head, EntryRevision: e.GetRevision()}, nil
}

// Files reads the files of a head and verifies their digests.
func (h *Publisher) Files(ctx context.Context, head *toucanpb.Head) (map[string][]byte, error) {
	out := make(map[string][]byte, len(head.GetFiles()))
	for _, f := range head.GetFiles() {
		e, err := h.Store.Get(ctx, BlobPrefix+f.GetSum())
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

// Plan compares files with the published head. The files must be valid.
func (h *Publisher) Plan(ctx context.Context, files map[string][]byte, author string) (*Plan, error) {
	base, err := h.Current(ctx)
	if err != nil {
		return nil, err
	}
	p := &Plan{
		Base: base,
		Next: &toucanpb.Head{
			Revision: max(base.Head.GetRevision()+1, h.MinRevision),
			Change:   chain(base.Head.GetChange()),
			Author:   author[:min(len(author), maxAuthor)],
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
		was, known := published[name]
		delete(published, name)
		switch {
		case !known:
			p.Added = append(p.Added, name)
		case was != sum:
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
func (h *Publisher) Apply(ctx context.Context, p *Plan) Result {
	for _, sum := range slices.Sorted(maps.Keys(p.blobs)) {
		if err := h.blob(ctx, sum, p.blobs[sum], p.Base.EntryRevision); err != nil {
			return Result{Phase: Failed, Err: err}
		}
	}
	value, err := Encode(p.Next)
	if err != nil {
		return Result{Phase: Failed, Err: err}
	}
	// A write without a reply may take effect at any later time. Repeating it
	// is safe: the compare-and-swap succeeds at most once.
	open := false
	for try := range tries {
		if try > 0 && !pause(ctx, try) {
			break
		}
		_, err = h.Store.Put(ctx, Key, value, p.Base.EntryRevision, "")
		if err == nil {
			return Result{Phase: Done, Revision: p.Next.GetRevision(), Author: p.Next.GetAuthor()}
		}
		f := toucanfault.As(err)
		conflict := f != nil && f.Code == toucanpb.Code_CODE_CONFLICT
		if f == nil || !conflict && f.Outcome != toucanpb.Outcome_OUTCOME_NOTRUN {
			open = true
		}
		if r := h.resolve(ctx, p); r.Phase == Done || r.Phase == Lost || conflict && r.Err == nil {
			return r
		}
	}
	if !open && !isConflict(err) {
		return Result{Phase: Failed, Err: err}
	}
	return Result{Phase: Unknown, Err: err}
}

// resolve reads the head back. The change ids in the head tell whether the
// plan took effect even when later changes followed it.
func (h *Publisher) resolve(ctx context.Context, p *Plan) Result {
	now, err := h.Current(ctx)
	if err != nil {
		return Result{Phase: Unknown, Err: err}
	}
	revision, mine := now.Head.GetRevision(), p.Next.GetRevision()
	ids := strings.Split(now.Head.GetChange(), separator)
	switch {
	case slices.Contains(ids, ChangeID(p.Next)):
		return Result{Phase: Done, Revision: mine, Author: p.Next.GetAuthor()}
	case now.EntryRevision == p.Base.EntryRevision || revision < p.Base.Head.GetRevision():
		return Result{Phase: Unknown, Err: toucanfault.Unknown(toucanpb.Code_CODE_STORE, "the head has not changed")}
	case revision >= mine+history:
		// The history no longer reaches back to the planned revision.
		return Result{Phase: Unknown, Revision: revision, Author: now.Head.GetAuthor()}
	}
	return Result{Phase: Lost, Revision: revision, Author: now.Head.GetAuthor()}
}

// blob writes one file. A blob that is there already is compared, because its
// content must never change, and rewritten if it is older than the head that
// the plan is based on, because Clean may delete it then.
func (h *Publisher) blob(ctx context.Context, sum string, data []byte, base uint64) error {
	var err error
	for try := range tries {
		if try > 0 && !pause(ctx, try) {
			break
		}
		if _, err = h.Store.Put(ctx, BlobPrefix+sum, data, 0, ""); err == nil {
			return nil
		}
		if !isConflict(err) {
			continue
		}
		var e *toucanpb.Entry
		if e, err = h.Store.Get(ctx, BlobPrefix+sum); err != nil {
			continue
		}
		if e == nil {
			err = toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT, "blob "+sum+" was deleted meanwhile")
			continue
		}
		if BlobSum(e.GetValue()) != sum {
			return toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "blob "+sum+" in the store has another digest")
		}
		if e.GetRevision() > base {
			return nil
		}
		if _, err = h.Store.Put(ctx, BlobPrefix+sum, data, e.GetRevision(), ""); err == nil {
			return nil
		}
	}
	return err
}

func isConflict(err error) bool {
	f := toucanfault.As(err)
	return f != nil && f.Code == toucanpb.Code_CODE_CONFLICT
}

// pause waits with jitter, so that operators who met the same failure do not
// repeat in step; it returns false when ctx ended.
func pause(ctx context.Context, try int) bool {
	d := firstPause << (try - 1)
	return toucantimer.Wait(ctx, d/2+mathrand.N(d/2))
}

// chain returns a new change id followed by the most recent ones of change.
func chain(change string) string {
	id := make([]byte, changeBytes)
	rand.Read(id) //nolint:errcheck // crypto/rand.Read never returns an error
	ids := []string{hex.EncodeToString(id)}
	if change != "" {
		ids = append(ids, strings.Split(change, separator)...)
	}
	return strings.Join(ids[:min(len(ids), history)], separator)
}

// ChangeID returns the id of the change that made head.
func ChangeID(head *toucanpb.Head) string {
	id, _, _ := strings.Cut(head.GetChange(), separator)
	return id
}

// BlobSum returns the hexadecimal SHA-256 of a file.
func BlobSum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Sum returns the digest of a head, which covers all its fields in a form that
// does not depend on the encoding of messages.
func Sum(head *toucanpb.Head) []byte {
	d := sha256.New()
	fmt.Fprintf(d, "%d\n%q\n%q\n", head.GetRevision(), head.GetChange(), head.GetAuthor())
	for _, f := range head.GetFiles() {
		fmt.Fprintf(d, "%q %q\n", f.GetName(), f.GetSum())
	}
	return d.Sum(nil)
}

// Encode returns the value of the head's key.
func Encode(head *toucanpb.Head) ([]byte, error) {
	b, err := proto.Marshal(head)
	if err != nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "head").Because(err)
	}
	return b, nil
}

// Decode returns the head in a value of the head's key, or CODE_CONFIG.
func Decode(value []byte) (*toucanpb.Head, error) {
	head := &toucanpb.Head{}
	if err := proto.Unmarshal(value, head); err != nil {
		return nil, toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "head").Because(err)
	}
	return head, Validate(head)
}

// Validate checks the form and bounds of a head; it fails with CODE_CONFIG.
func Validate(head *toucanpb.Head) error {
	bad := func(format string, args ...any) error {
		return toucanfault.NotRun(toucanpb.Code_CODE_CONFIG, "head: "+fmt.Sprintf(format, args...))
	}
	switch {
	case head.GetRevision() == 0:
		return bad("no revision")
	case head.GetChange() == "" || len(head.GetChange()) > maxChange || len(head.GetAuthor()) > maxAuthor:
		return bad("change id or author missing or too long")
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
