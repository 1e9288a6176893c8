package toucantransport_test

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that fail because their target answers an earlier one many more times, each with its id.
func TestManyLateAnswersDoNotFailTheNextRequest(t *testing.T) {
	const answers = 6
	address := serveConns(t, func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := q.Header.Get("Toucan-Id")
			if _, err := c.Write([]byte(signed(id, "s"+id, "own "+id))); err != nil {
				return
			}
			<-time.After(5 * time.Millisecond)
			var late strings.Builder
			for n := range answers - 1 {
				late.WriteString(signed(id, "x"+id+strconv.Itoa(n), "again "+id))
			}
			if _, err := c.Write([]byte(late.String())); err != nil {
				return
			}
		}
	})
	transport := newSignedTransport()
	for _, id := range []string{"1", "2", "3", "4"} {
		res, err := transport.Do(t.Context(), requestTo(address, id), time.Second)
		require.NoError(t, err)
		require.Equal(t, "own "+id, string(res.Body))
		<-time.After(20 * time.Millisecond)
	}
}
