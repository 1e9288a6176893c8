package toucaninventory

import (
	"bytes"
	"math/bits"

	"toucanstair.example/core/toucanshard"
)

// bitmap has bit n%8 of byte n/8 set for shard n.
type bitmap []byte

func newBitmap(shards uint32) bitmap { return make(bitmap, (shards+7)/8) }

func (b bitmap) set(s toucanshard.ID) {
	if int(s/8) < len(b) {
		b[s/8] |= 1 << (s % 8)
	}
}

// merge adds the shards of o that fit into b.
func (b bitmap) merge(o bitmap) {
	for n := range min(len(b), len(o)) {
		b[n] |= o[n]
	}
}

// union returns a new bitmap with the shards of b and o.
func (b bitmap) union(o bitmap) bitmap {
	out := make(bitmap, max(len(b), len(o)))
	out.merge(b)
	out.merge(o)
	return out
}

// without returns a new bitmap with the shards of b that are not in o.
func (b bitmap) without(o bitmap) bitmap {
	out := bytes.Clone(b)
	for n := range min(len(out), len(o)) {
		out[n] &^= o[n]
	}
	return out
}

func (b bitmap) count() int {
	n := 0
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}

func (b bitmap) equal(o bitmap) bool { return bytes.Equal(b, o) }
