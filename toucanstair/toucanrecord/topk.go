// Package toucanrecord merges the fixed-size records in the shards' responses to a
// forwarded request.
package toucanrecord

import (
	"bytes"
	"slices"
)

// Size is the length of a record in bytes.
const Size = 16

// TopK keeps the Limit greatest records that were added, compared byte by byte.
// Duplicates are kept. Limit is set before use.
type TopK struct {
	Limit int

	records [][]byte // in descending order
}

// Add adds the records of one shard's response. A remainder shorter than a record
// is ignored. The slice must not be changed afterwards.
func (t *TopK) Add(part []byte) {
	for len(part) >= Size {
		t.insert(part[:Size:Size])
		part = part[Size:]
	}
}

func (t *TopK) insert(r []byte) {
	if len(t.records) >= t.Limit {
		if t.Limit == 0 || bytes.Compare(r, t.records[t.Limit-1]) <= 0 {
			return
		}
		t.records = t.records[:t.Limit-1]
	}
	i, _ := slices.BinarySearchFunc(t.records, r, func(a, b []byte) int { return bytes.Compare(b, a) })
	t.records = slices.Insert(t.records, i, r)
}

// Bytes returns the kept records, the greatest first.
func (t *TopK) Bytes() []byte {
	out := make([]byte, 0, len(t.records)*Size)
	for _, r := range t.records {
		out = append(out, r...)
	}
	return out
}
