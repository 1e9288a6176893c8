// Package toucanworker provides a pool of reusable goroutines for short functions.
package toucanworker

import (
	"fmt"
	"os"
	"sync"
	"time"

	"toucanstair.example/toucanstair/toucanpanic"
)

// idleTimeout is how long a worker waits for its next function before it ends. It is
// longer than the gaps between queries under load, and short enough that the workers
// of a burst end soon after it.
const idleTimeout = time.Second

// Pool runs each function on a goroutine of its own, and reuses goroutines whose
// function has returned. A reused goroutine already has a stack of the size that a
// leg, the part of a query for one shard, needs. The stack of a new one is small, and
// copying it as it grew took 15% of the processor time of a leg. The zero value is
// ready to use. Go is safe for concurrent use.
type Pool struct {
	once  sync.Once
	tasks chan func()
}

// Go runs f on an idle worker, or on a new one when none is idle, and returns at once.
// It does not signal when f has returned; f does that itself if needed. A panic of f is
// counted and written to standard error.
func (p *Pool) Go(f func()) {
	p.once.Do(func() { p.tasks = make(chan func()) })
	select {
	case p.tasks <- f:
	default:
		go p.run(f)
	}
}

func (p *Pool) run(f func()) {
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	for {
		if err := toucanpanic.Call(f); err != nil {
			// f should recover itself and report its failure. The log is not known here.
			fmt.Fprintf(os.Stderr, "worker: %v\n%s", err, err.Stack)
		}
		timer.Reset(idleTimeout)
		select {
		case f = <-p.tasks:
		case <-timer.C:
			return
		}
	}
}
