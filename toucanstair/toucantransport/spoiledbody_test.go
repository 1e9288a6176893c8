package toucantransport_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sendPieces serves each connection with pieces of text that arrive one after the other, and then closes it.
func sendPieces(t *testing.T, pieces ...string) string {
	return serveConns(t, func(c net.Conn) {
		defer c.Close()
		_, _ = c.Read(make([]byte, 1024)) // a failure shows in the response
		for _, text := range pieces {
			_, _ = c.Write([]byte(text))
			<-time.After(20 * time.Millisecond)
		}
	})
}

// Guards against a refusal without id and signature that is read as part of a body.
func TestRefusalIsNoPartOfABody(t *testing.T) {
	const body = "sixteen-byte rec"
	first, long := signed("1", "s1", body), signed("1", "s1", strings.Repeat(body, 20))
	for name, text := range map[string]string{
		"no length": without(first, "Content-Length") + refusal,
		"cut short": long[:len(long)-len(refusal)] + refusal,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newPatientTransport().Do(t.Context(), requestTo(sendPieces(t, text), "1"), time.Second)
			require.Error(t, err)
		})
	}
}

// Guards against the start of a second answer that is read as the rest of a body before the remaining bytes arrive.
func TestSecondAnswerInPiecesIsNoPartOfABody(t *testing.T) {
	first := signed("1", "s1", "sixteen-byte rec")
	for name, n := range map[string]int{"one byte": 1, "four bytes": 4, "status line": len("HTTP/1.1 200 OK")} {
		t.Run(name, func(t *testing.T) {
			skipKnownFailure(t)
			address := sendPieces(t, first[:len(first)-n]+first[:n], first[n:])
			_, err := newPatientTransport().Do(t.Context(), requestTo(address, "1"), time.Second)
			require.Error(t, err)
		})
	}
}

// Guards against the start of a second answer at the end of a body without a length.
func TestStartOfSecondAnswerIsNoPartOfABody(t *testing.T) {
	first := signed("1", "s1", "sixteen-byte rec")
	for name, n := range map[string]int{"in the status line": 10, "in the first header": 20} {
		t.Run(name, func(t *testing.T) {
			address := sendPieces(t, without(first, "Content-Length")+first[:n])
			_, err := newPatientTransport().Do(t.Context(), requestTo(address, "1"), time.Second)
			require.Error(t, err)
		})
	}
}
