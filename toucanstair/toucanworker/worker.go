// Package toucanworker runs short functions on goroutines that are used again.
package toucanworker

import (
	"sync"
	"time"
)

// idleTime is how long a worker waits for its next function. It spans the gaps
// between queries under load, and ends the workers of a burst soon after it.
const idleTime = time.Second

// Pool runs functions at once, each on a goroutine of its own for that time.
// A goroutine that was used before has a stack of the size that a leg needs: a
// new one begins with a small stack, and copying it while it grew took 15% of the
// processor time of a leg. The zero value works.
type Pool struct {
	once sync.Once
	next chan func()
}

// Go runs f on an idle worker, or on a new one when there is none. The caller
// learns of the end through f.
func (p *Pool) Go(f func()) {
	p.once.Do(func() { p.next = make(chan func()) })
	select {
	case p.next <- f:
	default:
		go p.work(f)
	}
}

func (p *Pool) work(f func()) {
	timer := time.NewTimer(idleTime)
	defer timer.Stop()
	for {
		f()
		timer.Reset(idleTime)
		select {
		case f = <-p.next:
		case <-timer.C:
			return
		}
	}
}
