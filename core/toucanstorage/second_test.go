package toucanstorage_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanstorage"
)

const (
	answerTime = 100 * time.Millisecond // from the request
	secondTime = 30 * time.Millisecond  // from the first answer
)

// answer is an HTTP response with a JSON body.
type answer struct {
	status int
	body   string
}

// write sends the answer to a call; the client may have closed the connection.
func (a answer) write(c net.Conn) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", a.status, len(a.body), a.body)
}

// serveConns serves each connection to a loopback address until the end of the
// test, and returns a client of that address.
func serveConns(t *testing.T, serve func(net.Conn)) *toucanstorage.Client {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer c.Close()
				serve(c)
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		group.Wait()
	})
	return toucanstorage.New([]string{l.Addr().String()}, nil)
}

// answerTwice returns a client of a store that gives the answers in turn, each of
// them twice on its connection, the second time while the next call may wait there.
func answerTwice(t *testing.T, answers ...answer) *toucanstorage.Client {
	next := make(chan answer, len(answers))
	for _, a := range answers {
		next <- a
	}
	return serveConns(t, func(c net.Conn) {
		var seconds sync.WaitGroup
		defer seconds.Wait()
		for r := bufio.NewReader(c); ; {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			<-time.After(answerTime)
			a := <-next
			a.write(c)
			seconds.Go(func() {
				<-time.After(secondTime)
				a.write(c)
			})
		}
	})
}

// Guards against a second answer of the store to an earlier call that is taken for
// the answer to the next one.
func TestSecondAnswerDoesNotAnswerNextCall(t *testing.T) {
	t.Run("renewal and ended lease", func(t *testing.T) {
		c := answerTwice(t, answer{200, `{}`}, answer{404, `{"detail":"no such lease"}`})
		require.NoError(t, c.Renew(t.Context(), "7"))
		err := c.Renew(t.Context(), "7")
		require.Error(t, err)
		require.Equal(t, toucanpb.Code_CODE_UNKNOWN, toucanfault.As(err).Code)
	})
	t.Run("write and refused write", func(t *testing.T) {
		c := answerTwice(t, answer{200, `{"revision":8}`}, answer{409, `{"detail":"revision 8"}`})
		revision, err := c.Put(t.Context(), "k", []byte("v"), 7, "")
		require.NoError(t, err)
		require.Equal(t, uint64(8), revision)
		_, err = c.Put(t.Context(), "k", []byte("v"), 7, "")
		require.Error(t, err)
		require.Equal(t, toucanpb.Code_CODE_CONFLICT, toucanfault.As(err).Code)
	})
	t.Run("keys", func(t *testing.T) {
		c := answerTwice(t, answer{200, `{"key":"a","value":"YQ==","revision":3}`}, answer{200, `{"key":"b","value":"Yg==","revision":5}`})
		for _, key := range []string{"a", "b"} {
			e, err := c.Get(t.Context(), key)
			require.NoError(t, err)
			require.Equal(t, key, e.GetKey())
		}
	})
	t.Run("grants", func(t *testing.T) {
		c := answerTwice(t, answer{200, `{"lease":"5"}`}, answer{200, `{"lease":"6"}`})
		for _, want := range []string{"5", "6"} {
			lease, err := c.Grant(t.Context(), time.Second)
			require.NoError(t, err)
			require.Equal(t, want, lease)
		}
	})
	t.Run("watch and list", func(t *testing.T) {
		c := answerTwice(t, answer{200, `{"entries":[{"key":"a","revision":8}],"revision":8}`},
			answer{200, `{"entries":[{"key":"b","value":"Yg==","revision":5}],"revision":8}`})
		_, _, err := c.Watch(t.Context(), "", 7)
		require.NoError(t, err)
		entries, err := c.List(t.Context(), "")
		require.NoError(t, err)
		require.Len(t, entries, 1)
		require.Equal(t, "b", entries[0].GetKey())
	})
}

// Guards against a response that was sent before the request and so answers no call,
// and against a write that counts as not run after it.
func TestResponseBeforeRequestIsNotTaken(t *testing.T) {
	c := serveConns(t, func(c net.Conn) {
		answer{200, `{"revision":8}`}.write(c)
		_, _ = http.ReadRequest(bufio.NewReader(c))
	})
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		WroteHeaders: func() { <-time.After(answerTime) }, // to a buffer, which is sent later
	})
	_, err := c.Put(ctx, "k", []byte("v"), 0, "")
	require.Error(t, err)
	require.Equal(t, toucanpb.Outcome_OUTCOME_UNKNOWN, toucanfault.As(err).Outcome)
}
