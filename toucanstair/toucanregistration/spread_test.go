package toucanregistration_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/toucanstair/toucanregistration"
	"toucanstair.example/toucanstair/toucansource"
)

// countingStore counts the writes in each tenth of a second.
type countingStore struct {
	mu     sync.Mutex
	ended  map[toucanregistration.Lease]bool
	writes map[time.Time]int
	grants int
}

func (s *countingStore) write() {
	s.writes[time.Now().Truncate(100*time.Millisecond)]++
}

func (s *countingStore) Grant(context.Context, time.Duration) (toucanregistration.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write()
	s.grants++
	return toucanregistration.Lease(fmt.Sprint(s.grants)), nil
}

func (s *countingStore) Renew(_ context.Context, l toucanregistration.Lease) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.ended[l], nil
}

func (s *countingStore) Revoke(context.Context, toucanregistration.Lease) error { return nil }

func (s *countingStore) Put(context.Context, string, []byte, toucanregistration.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write()
	return nil
}

// endAll ends all leases, as when the store comes back from an earlier copy.
func (s *countingStore) endAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := 1; n <= s.grants; n++ {
		s.ended[toucanregistration.Lease(fmt.Sprint(n))] = true
	}
	clear(s.writes)
}

// mostInASecond returns the largest number of writes within a second.
func (s *countingStore) mostInASecond() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, from := range slices.Collect(maps.Keys(s.writes)) {
		n := 0
		for at, count := range s.writes {
			if !at.Before(from) && at.Before(from.Add(time.Second)) {
				n += count
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against a fleet whose hosts, which started together, all register again together, beyond the 400 writes a second that the store takes.
func TestHostsDoNotRegisterAgainTogether(t *testing.T) {
	const hosts, writesPerSecond = 295, 400
	for _, after := range []time.Duration{5 * time.Second, 40 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s := &countingStore{ended: map[toucanregistration.Lease]bool{}, writes: map[time.Time]int{}}
			ctx, cancel := context.WithCancel(t.Context())
			var ends []<-chan error
			for i := range hosts {
				r := &toucanregistration.Registrar{Store: s, Self: toucansource.Peer{ID: toucanhost.ID(fmt.Sprint("h", i))}, Log: zap.NewNop()}
				ends = append(ends, r.Run(ctx))
			}
			<-time.After(after)
			s.endAll()
			<-time.After(6 * time.Second)
			require.Equal(t, 2*hosts, s.grants, "each host has registered again")
			require.Less(t, s.mostInASecond(), writesPerSecond)
			cancel()
			for _, end := range ends {
				require.NoError(t, <-end)
			}
		})
	}
}
