package toucanforward

import (
	"sync/atomic"
	"time"
)

// lagDivisor sets the weight of a new sample in the average lag: 1/lagDivisor.
const lagDivisor = 32

// sendLag is the moving average of the delay between the decision to send and
// the send itself. It grows when the host is short of CPU time.
type sendLag struct{ nanos atomic.Int64 }

func (l *sendLag) observe(d time.Duration) {
	old := l.nanos.Load()
	// Losing a sample to a concurrent update is harmless.
	l.nanos.CompareAndSwap(old, old+(int64(d)-old)/lagDivisor)
}

func (l *sendLag) mean() time.Duration { return time.Duration(l.nanos.Load()) }
