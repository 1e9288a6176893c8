package toucanforward

import (
	"sync/atomic"
	"time"
)

// lagWeight is the weight, one in so many, of a new sample of the lag.
const lagWeight = 32

// lag is the average time between the decision to send and the sending, which
// grows when the host is short of processor time.
type lag struct{ nanos atomic.Int64 }

func (l *lag) observe(d time.Duration) {
	old := l.nanos.Load()
	// A sample that is lost to another goroutine does no harm.
	l.nanos.CompareAndSwap(old, old+(int64(d)-old)/lagWeight)
}

func (l *lag) mean() time.Duration { return time.Duration(l.nanos.Load()) }
