package toucanlease

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"toucanstair.example/core/toucanhost"
)

var voters = []toucanhost.ID{"a/1", "b/1", "c/1"}

// Guards against a lease counted from the time of the acknowledgement, which
// would outlive the promise of a voter.
func TestLeaseStartsAtSendTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l Lease
		r := l.StartRound(voters)
		<-time.After(2 * time.Second)
		l.Acknowledge(r, "a/1")
		assert.False(t, l.Held(), "one of three is no majority")
		l.Acknowledge(r, "a/1")
		l.Acknowledge(r, "x/1")
		assert.False(t, l.Held(), "a repeat and a stranger do not count")
		l.Acknowledge(r, "b/1")
		assert.True(t, l.Held())
		<-time.After(time.Second - 1)
		assert.True(t, l.Held())
		<-time.After(1)
		assert.False(t, l.Held())
	})
}

// Guards against acknowledgements of different rounds adding up to a majority.
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
