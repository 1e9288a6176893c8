package toucanlease

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"toucanstair.example/core/toucanhost"
)

var voters = []toucanhost.ID{"a/1", "b/1", "c/1"}

// Guards against a lease whose term starts when an acknowledgement arrives: it could
// be held for longer than a term after a voter promised not to acknowledge any more.
func TestLeaseStartsAtSendTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l Lease
		r := l.StartRound(voters)
		<-time.After(2 * time.Second)
		l.Acknowledge(r, "a/1")
		assert.False(t, l.Held(), "one of three voters is not a majority")
		l.Acknowledge(r, "a/1")
		l.Acknowledge(r, "x/1")
		assert.False(t, l.Held(), "a repeated acknowledgement and one of another host do not count")
		l.Acknowledge(r, "b/1")
		assert.True(t, l.Held())
		<-time.After(time.Second - 1)
		assert.True(t, l.Held())
		<-time.After(1)
		assert.False(t, l.Held())
	})
}

// Guards against acknowledgements of different rounds that add up to a majority, and
// against one that renews a revoked lease.
func TestAcknowledgementsCountPerRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l Lease
		first := l.StartRound(voters)
		l.Acknowledge(first, "a/1")
		second := l.StartRound(voters)
		l.Acknowledge(first, "b/1")
		l.Acknowledge(second, "c/1")
		assert.False(t, l.Held())
		l.Acknowledge(second, "b/1")
		assert.True(t, l.Held())
		l.Revoke()
		l.Acknowledge(second, "a/1")
		assert.False(t, l.Held())
	})
}
