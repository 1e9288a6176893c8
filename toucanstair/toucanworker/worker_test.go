package toucanworker_test

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/toucanstair/toucanworker"
)

func ExamplePool() {
	var p toucanworker.Pool
	done := make(chan struct{})
	p.Go(func() { close(done) })
	<-done
	fmt.Println("done")
	// Output: done
}

// Guards against a pool that queues functions while all workers are busy, which would
// deadlock functions that wait for each other, and against workers that stay after a
// burst.
func TestPoolRunsConcurrentlyAndStopsIdleWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p toucanworker.Pool
		const functions = 200
		before := runtime.NumGoroutine()
		for range 3 {
			var all, ended sync.WaitGroup
			all.Add(functions)
			ended.Add(functions)
			for range functions {
				p.Go(func() {
					defer ended.Done()
					all.Done()
					all.Wait()
				})
			}
			ended.Wait()
			synctest.Wait()
			require.LessOrEqual(t, runtime.NumGoroutine(), before+functions)
		}
		<-time.After(2 * time.Second)
		synctest.Wait()
		require.Equal(t, before, runtime.NumGoroutine())
	})
}

// Guards against a panic in one function that ends the process.
func TestPanicEndsOnlyItsFunction(*testing.T) {
	var p toucanworker.Pool
	var all sync.WaitGroup
	for range 20 {
		all.Add(2)
		p.Go(func() {
			defer all.Done()
			panic("a defect")
		})
		p.Go(all.Done)
	}
	all.Wait()
}
