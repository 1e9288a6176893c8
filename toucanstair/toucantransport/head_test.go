package toucantransport_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against the status of one response with the body of another, because a head was cut short and the next one was read as its rest.
func TestSecondAnswerIsNoPartOfAHead(t *testing.T) {
	success := signed("1", "x1", "sixteen-byte rec")
	failure := withStatus(success, "500 X")
	for name, text := range map[string]string{
		"cut in a value":                     "HTTP/1.1 200 OK\r\nDate: Mo" + failure,
		"cut in a value, second without id":  "HTTP/1.1 200 OK\r\nDate: Mo" + without(failure, "Toucan-Id"),
		"cut in the signature":               "HTTP/1.1 200 OK\r\nStamp: s" + failure,
		"cut in the reason":                  "HTTP/1.1 200 O" + failure,
		"cut behind the status":              "HTTP/1.1 200 " + failure,
		"cut behind the status of a failure": "HTTP/1.1 500 " + success,
	} {
		t.Run(name, func(t *testing.T) {
			tg := listen(t, func(int, string) string { return text })
			_, err := do(t, newSignedTransport(), tg, "1")
			require.Error(t, err)
		})
	}
}

// Guards against a failure that becomes a success, because it was read as the rest of the head of a late second answer.
func TestResponseIsNoPartOfTheHeadOfALateOne(t *testing.T) {
	tg := listen(t, func(nth int, id string) string {
		own := signed(id, "s"+id, "own "+id)
		if nth == 2 {
			own = "HTTP/1.1 200 OK\r\nDate: Mo" + withStatus(own, "500 X")
		}
		return own
	})
	transport := newSignedTransport()
	_, err := do(t, transport, tg, "1")
	require.NoError(t, err)
	res, err := do(t, transport, tg, "2")
	if err == nil {
		require.NotEqual(t, http.StatusOK, res.Status)
	}
}

// Guards against a request that ran and counts as refused, so that it is sent again, because a refusal was read as the rest of the head.
func TestRefusalIsNoPartOfAHead(t *testing.T) {
	tg := listen(t, func(int, string) string {
		return "HTTP/1.1 200 O" + refusal
	})
	q := request(tg, "1", 0)
	q.FreshConnection = true
	res, err := newSignedTransport().Do(t.Context(), q, time.Second)
	if err == nil {
		require.Empty(t, res.Header.Get("Not-Run"))
	}
}
