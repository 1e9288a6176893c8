package toucanexchange_test

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/toucanstair/toucanexchange"
)

// Guards against a body that was broken off and filled up with the page of the failure: its items would be a part of the target's.
func TestBrokenBodyIsNotFilledUpWithAFailurePage(t *testing.T) {
	page := "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 7\r\nConnection: close\r\n\r\nfailed\n"
	for _, page := range []string{page, strings.ReplaceAll(page, "\r\n", "\n")} {
		for gap := 1; gap < 60; gap++ {
			target := newAnsweringTarget(t, func(c net.Conn, id string, _ int) {
				text := answer{}.format(id)
				fmt.Fprint(c, text[:len(text)-gap]+page)
				c.Close()
			})
			var client toucanexchange.Client
			_, err := client.Do(t.Context(), request(target.address, leg("q1")))
			client.Close()
			require.Error(t, err, "gap of %d bytes", gap)
			require.NotEqual(t, notRun, toucanfault.As(err).Outcome, "the leg ran: %v", err)
		}
	}
}
