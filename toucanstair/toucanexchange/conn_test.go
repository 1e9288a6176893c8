package toucanexchange

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a byte that leaves after the request was reported as not run.
func TestBlockedConnectionSendsNothing(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := newConn(near)
	require.NoError(t, near.SetWriteDeadline(time.Now().Add(time.Second)))
	c.arm(nil)
	require.True(t, c.seal())
	_, err := c.Write([]byte("POST"))
	require.ErrorIs(t, err, net.ErrClosed)
	require.NoError(t, c.Close())

	near, far = net.Pipe()
	defer far.Close()
	got := make(chan byte, 1)
	go func() {
		var b [1]byte
		_, _ = far.Read(b[:])
		got <- b[0]
	}()
	c = newConn(near)
	c.arm(nil)
	go func() { _, _ = c.Write([]byte("P")) }()
	require.Equal(t, byte('P'), <-got)
	require.False(t, c.seal())
}
