package toucantransport

import (
	"io"

	"toucanstair.example/toucanstair/toucanquota"
)

const (
	// maxHeadBytes bounds the status line and the headers of a response, and the trailer.
	maxHeadBytes = 16 << 10
	// maxBodyBytes bounds a response body, which is kept in memory.
	maxBodyBytes = 8 << 20
	// maxFramingBytes bounds what a body has besides its bytes: the lengths of its chunks
	// and a trailer.
	maxFramingBytes = 256 << 10
	// preallocatedBytes is the longest body whose buffer is allocated before it arrives.
	preallocatedBytes = 64 << 10
	// unreservedBytes is the part of a response that needs no reservation. Most responses
	// are shorter.
	unreservedBytes = 2 << 10
	// headCost is the memory that a byte of a head may take once it is parsed: a short
	// header line takes an entry of a map and a slice.
	headCost = 16
)

// limitedReader reads a connection up to the limits of a response's head and body, and
// reserves memory for what exceeds unreservedBytes. What is already in the buffer of the
// connection's reader counts for the part before.
type limitedReader struct {
	r      io.Reader
	left   int64 // bytes until errTooLarge
	free   int64 // bytes that need no reservation
	cost   int64 // reserved bytes for each byte read
	failed error // errTooLarge or errNoMemory
	memory *reservation
}

// startHead starts the limits of a response's head.
func (l *limitedReader) startHead() {
	l.left, l.free, l.cost, l.failed = maxHeadBytes, unreservedBytes, headCost, nil
}

// startBody starts the limits of a response's body.
func (l *limitedReader) startBody(maxBytes int64) {
	l.left, l.cost = maxBytes+maxFramingBytes, 1
}

// cause returns the limit that a read has reached, or err.
func (l *limitedReader) cause(err error) error {
	if err != nil && l.failed != nil {
		return l.failed
	}
	return err
}

func (l *limitedReader) Read(b []byte) (int, error) {
	if l.failed == nil && l.left <= 0 {
		l.failed = errTooLarge
	}
	if l.failed != nil {
		return 0, l.failed
	}
	n, err := l.r.Read(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	free := min(l.free, int64(n))
	l.free -= free
	if cost := (int64(n) - free) * l.cost; cost > 0 && !l.memory.reserve(cost) {
		l.failed = errNoMemory
		return 0, l.failed
	}
	return n, err
}

// reservation is the memory that one exchange has reserved. It is used by one goroutine
// at a time.
type reservation struct {
	quota *toucanquota.Quota // nil: no limit
	bytes int64
}

func (r *reservation) reserve(n int64) bool {
	if r == nil || r.quota == nil {
		return true
	}
	if !r.quota.TryReserve(n) {
		return false
	}
	r.bytes += n
	return true
}

func (r *reservation) release() {
	if r.bytes > 0 {
		r.quota.Release(r.bytes)
		r.bytes = 0
	}
}
