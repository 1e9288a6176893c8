package toucanexchange

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a byte that is sent after the request was reported as not run.
func TestBlockedConnectionSendsNothing(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	c := newConn(local)
	require.NoError(t, local.SetWriteDeadline(time.Now().Add(time.Second)))
	c.beginRequest(nil)
	require.True(t, c.blockWrites())
	_, err := c.Write([]byte("POST"))
	require.ErrorIs(t, err, net.ErrClosed)
	require.NoError(t, c.Close())

	local, remote = net.Pipe()
	defer remote.Close()
	got := make(chan byte, 1)
	go func() {
		var b [1]byte
		_, _ = remote.Read(b[:])
		got <- b[0]
	}()
	c = newConn(local)
	c.beginRequest(nil)
	go func() { _, _ = c.Write([]byte("P")) }()
	require.Equal(t, byte('P'), <-got)
	require.False(t, c.blockWrites())
}
