package toucantransport_test

import (
	"strconv"
	"sync"
	"testing"
	"time"
)

// Guards against an exchange number that counts requests of the connection's next user.
func TestExchangeNumberIsReadBeforeConnectionIsReused(t *testing.T) {
	target := &stutteringTarget{lag: 1 << 30, respond: func(_ int, id string) string { return signed(id, "s"+id, "own "+id) }}
	address, transport := target.start(t), newSignedTransport()
	var mu sync.Mutex
	seen := map[string]bool{}
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for n := range 300 {
				q := requestTo(address, strconv.Itoa(g)+"-"+strconv.Itoa(n))
				res, err := transport.Do(t.Context(), q, time.Second)
				if err != nil {
					t.Error(err)
					return
				}
				key := res.Exchange.Connection + " #" + strconv.Itoa(res.Exchange.Number)
				mu.Lock()
				if seen[key] {
					t.Errorf("two exchanges are %s", key)
				}
				seen[key] = true
				mu.Unlock()
			}
		})
	}
	wg.Wait()
}
