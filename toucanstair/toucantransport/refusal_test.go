package toucantransport_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// overdueRefusal is a target that answers request 2 with a copy of the failure of request
// 1 and refuses it only later. It runs request 3, after a copy of that refusal if the
// request comes on the same connection.
type overdueRefusal struct {
	ran atomic.Int32 // runs of request 3
}

func (o *overdueRefusal) serve(c net.Conn) {
	defer c.Close()
	withID := func(text, id string) string {
		return strings.Replace(text, "Content-Length", "Toucan-Id: "+id+"\r\nContent-Length", 1)
	}
	failure := strings.Replace(strings.Replace(refusal, "503 Service Unavailable", "500 X", 1), "Not-Run: 1\r\n", "", 1)
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		var texts []string
		switch id := q.Header.Get("Toucan-Id"); id {
		case "1":
			texts = []string{withID(failure, id)}
		case "2":
			texts = []string{withID(failure, id), withID(refusal, id)}
		case "3":
			o.ran.Add(1)
			if n == 3 {
				texts = []string{withID(refusal, id)}
			}
			texts = append(texts, signed(id, "s3", "ran"))
		}
		for _, text := range texts {
			if _, err := c.Write([]byte(text)); err != nil {
				return
			}
			<-time.After(20 * time.Millisecond)
		}
	}
}

// Guards against a non-idempotent request that counts as refused because of an overdue refusal.
func TestCopyOfOverdueRefusalDoesNotRefuseNonIdempotentRequest(t *testing.T) {
	target := &overdueRefusal{}
	address, transport := serveConns(t, target.serve), newSignedTransport()
	for _, id := range []string{"1", "2"} {
		res, err := transport.Do(t.Context(), requestTo(address, id), time.Second)
		require.NoError(t, err)
		require.Equal(t, http.StatusInternalServerError, res.Status)
	}
	q := requestTo(address, "3")
	q.FreshConnection = true
	res, err := transport.Do(t.Context(), q, time.Second)
	require.NoError(t, err)
	require.Empty(t, res.Header.Get("Not-Run"), "request 3 counts as refused, but it ran %d times", target.ran.Load())
	require.Equal(t, "ran", string(res.Body))
}
