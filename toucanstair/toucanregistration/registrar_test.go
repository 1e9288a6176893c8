package toucanregistration_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"toucanstair.example/toucanstair/toucanregistration"
	"toucanstair.example/toucanstair/toucansource"
)

type unavailable struct{}

func (unavailable) Error() string { return "try later" }

// fakeStore is an in-memory store that ends leases which are not renewed.
type fakeStore struct {
	mu     sync.Mutex
	down   bool
	until  map[toucanregistration.Lease]time.Time
	keys   map[string]toucanregistration.Lease
	value  []byte
	grants int
}

func (s *fakeStore) Grant(_ context.Context, ttl time.Duration) (toucanregistration.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return "", unavailable{}
	}
	s.grants++
	l := toucanregistration.Lease(fmt.Sprint(s.grants))
	s.until[l] = time.Now().Add(ttl)
	return l, nil
}

func (s *fakeStore) Renew(_ context.Context, l toucanregistration.Lease) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false, unavailable{}
	}
	if time.Now().After(s.until[l]) {
		return false, nil
	}
	s.until[l] = time.Now().Add(9 * time.Second)
	return true, nil
}

func (s *fakeStore) Revoke(_ context.Context, l toucanregistration.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.until, l)
	return nil
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, l toucanregistration.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return unavailable{}
	}
	s.keys[key], s.value = l, value
	return nil
}

func (s *fakeStore) listed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.keys["hosts/h"]
	return ok && time.Now().Before(s.until[l])
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Guards against an entry that expires while its host is alive and reaches the
// store, is not restored after an outage, or remains after the host has
// stopped.
func TestEntryIsRenewedRestoredAndRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{until: map[toucanregistration.Lease]time.Time{}, keys: map[string]toucanregistration.Lease{}}
		self := toucansource.Peer{ID: "h", Zone: "a", Address: "10.0.0.1:7300", CPUMillis: 400}
		ctx, cancel := context.WithCancel(t.Context())
		end := (&toucanregistration.Registrar{Store: s, Self: self, Log: zap.NewNop()}).Run(ctx)
		for range 60 {
			<-time.After(2 * time.Second)
			require.True(t, s.listed())
		}
		require.Equal(t, 1, s.grants)
		require.Equal(t, &self, toucanregistration.Decode("hosts/h", s.value))
		s.setDown(true)
		<-time.After(20 * time.Second)
		require.False(t, s.listed())
		s.setDown(false)
		<-time.After(5 * time.Second)
		require.True(t, s.listed())
		cancel()
		require.NoError(t, <-end)
		require.False(t, s.listed())
	})
}

// Guards against a malformed entry of another writer that is decoded as a host.
func TestDecodeRejectsMalformedEntry(t *testing.T) {
	require.Nil(t, toucanregistration.Decode("hosts/", []byte(`{}`)))
	require.Nil(t, toucanregistration.Decode("hosts/h", []byte(`[`)))
}
