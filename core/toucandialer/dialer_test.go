package toucandialer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucandialer"
)

// dialEcho connects to a server that sends greeting, then what it receives.
func dialEcho(ctx context.Context, greeting string) (net.Conn, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	var d toucandialer.Dialer
	c, err := d.DialContext(ctx, "tcp", l.Addr().String())
	if err != nil {
		return nil, err
	}
	server, err := l.Accept()
	if err != nil {
		return nil, err
	}
	if _, err := io.WriteString(server, greeting); err != nil {
		return nil, err
	}
	go func() {
		defer server.Close()
		_, _ = io.Copy(server, server)
	}()
	return c, nil
}

func ExampleDialer() {
	c, err := dialEcho(context.Background(), "hello")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close()
	_, err = c.Read(make([]byte, 8))
	fmt.Println(err)
	// Output: the server sent bytes before the request
}

// Guards against bytes that count as an answer although they came before any write, and against the loss of answers.
func TestOnlyBytesBeforeWriteAreUnsolicited(t *testing.T) {
	greeted, err := dialEcho(t.Context(), "hello")
	require.NoError(t, err)
	defer greeted.Close()
	_, err = greeted.Read(make([]byte, 8))
	require.ErrorIs(t, err, toucandialer.ErrUnsolicited)

	c, err := dialEcho(t.Context(), "")
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "hello")
	require.NoError(t, err)
	b := make([]byte, 5)
	_, err = io.ReadFull(c, b)
	require.NoError(t, err)
	require.Equal(t, "hello", string(b))
}
