package toucanstorage_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a call that counts a reply with a status that HTTP does not have, or waits for
// the end of its body until the time limit of calls: after 101 there is none.
func TestInvalidStatusEndsTheCallAtOnce(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			closed := make(chan struct{})
			c := serveConns(t, func(c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\n\r\n", status) // the client may have closed the connection
				<-closed
			})
			defer close(closed)
			const callTime = 2 * time.Second // after which the client gives a call up
			start := time.Now()
			_, err := c.Get(t.Context(), "k")
			require.Error(t, err)
			require.Less(t, time.Since(start), callTime, "the call waited until its deadline")
		})
	}
}
