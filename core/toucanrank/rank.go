// Package toucanrank ranks nodes for a key by rendezvous hashing.
package toucanrank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Ranker orders nodes for keys by highest random weight. All processes that use
// the same seed and nodes get the same order. The zero value is ready to use.
type Ranker struct {
	Seed string
}

// Rank returns the nodes ordered by weight for key, highest first. It does not
// modify nodes.
func (r Ranker) Rank(key string, nodes []string) []string {
	type weighted struct {
		node   string
		weight uint64
	}
	ws := make([]weighted, len(nodes))
	for i, n := range nodes {
		ws[i] = weighted{n, r.weight(key, n)}
	}
	slices.SortFunc(ws, func(a, b weighted) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.node, b.node)
	})
	out := make([]string, len(ws))
	for i, w := range ws {
		out[i] = w.node
	}
	return out
}

// Fraction returns a number in [0, 1) that depends only on the seed and key.
func (r Ranker) Fraction(key string) float64 {
	const mantissa = 1 << 53
	// The top 53 bits of the hash are as many as the mantissa of a float64 holds.
	return float64(r.weight(key, "")>>11) / mantissa
}

// weight separates the parts by zero bytes so that ("a", "bc") and ("ab", "c")
// differ.
func (r Ranker) weight(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(r.Seed)
	d.Write([]byte{0})
	d.WriteString(key)
	d.Write([]byte{0})
	d.WriteString(node)
	return d.Sum64()
}
