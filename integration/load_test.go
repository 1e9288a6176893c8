package integration

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"toucanstair.example/core/toucandeploy"
	"toucanstair.example/core/toucanpb"
)

// broadQuery matches texts in every shard of the sample data.
const broadQuery = "football letters animals music pen pal drawing school"

// request is one request of a caller with its result.
type request struct {
	Host    *toucandeploy.Host
	Query   *toucanpb.Query
	Started time.Time
	Ended   time.Time
	Answer  *toucanpb.Answer // nil when Err is set
	Err     error            // *toucanfault.Error
}

// load sends requests in an open loop from a background goroutine, at a rate
// that does not depend on the answers.
type load struct {
	stop    context.CancelFunc
	stopped chan struct{}
	client  *http.Client

	mu       sync.Mutex
	requests []request
}

// startLoad sends requests with Poisson arrivals at a rate in requests a second
// until stopped. One goroutine calls next, with a random generator of its own.
func (b *testbed) startLoad(rate float64, next func(*rand.Rand) (*toucandeploy.Host, *toucanpb.Query)) *load {
	ctx, stop := context.WithCancel(b.ctx)
	l := &load{
		stop: stop, stopped: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	random := rand.New(rand.NewPCG(b.seed, 1))
	go func() {
		defer close(l.stopped)
		var calls sync.WaitGroup
		defer calls.Wait()
		at := time.Now()
		for {
			at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			timer := time.NewTimer(time.Until(at))
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-timer.C:
			}
			h, q := next(random)
			if h == nil {
				continue // no host accepts requests now
			}
			// Requests in flight run to their end after the load is stopped.
			calls.Go(func() { l.record(sendRequest(b.ctx, l.client, h, q)) })
		}
	}()
	b.t.Cleanup(func() { l.finish() })
	return l
}

// sendRequest sends one request and waits for its result.
func sendRequest(ctx context.Context, client *http.Client, h *toucandeploy.Host, q *toucanpb.Query) request {
	// A host answers by the query's deadline, but a suspended host does not.
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	r := request{Host: h, Query: q, Started: time.Now()}
	r.Answer, r.Err = toucandeploy.Search(ctx, client, h.Callers, q)
	r.Ended = time.Now()
	return r
}

const callerTimeout = 6 * time.Second

func (l *load) record(r request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// completed returns the requests that have ended.
func (l *load) completed() []request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]request(nil), l.requests...)
}

// finish stops the load, waits for all requests to end and returns them.
func (l *load) finish() []request {
	l.stop()
	<-l.stopped
	l.client.CloseIdleConnections()
	return l.completed()
}

// shuffleSorted sorts and then shuffles names, so that the order depends only on
// the set of names and the generator.
func shuffleSorted(names []string, r *rand.Rand) {
	slices.Sort(names)
	r.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}
