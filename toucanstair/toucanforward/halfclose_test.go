package toucanforward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanreplica"
)

// Guards against the empty success that net/http sends for a handler that writes nothing.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	host := newTestHost(0, func(toucanreplica.ID, int) behavior { return neverResponds() })
	server := httptest.NewServer(host)
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = fmt.Fprintf(c, "GET /p/x HTTP/1.1\r\nHost: a.example\r\n%s: id-1\r\n\r\n", testHeaders.RequestID)
	require.NoError(t, err)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return // closed without a response
	}
	defer res.Body.Close()
	require.NotEqual(t, 2, res.StatusCode/100)
}
