package toucanexchange_test

import (
	"fmt"
	"net"
	"slices"
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

// Guards against a part of a response without a length that counts as whole because its
// connection was reset.
func TestResetResponseIsNoPart(t *testing.T) {
	for cut := 1; cut < 40; cut++ {
		target := newAnsweringTarget(t, func(c net.Conn, id string, _ int) {
			head, body, _ := strings.Cut(answer{}.format(id), "\r\n\r\n")
			fields := strings.Split(head, "\r\n")
			fields = slices.DeleteFunc(fields, func(f string) bool { return strings.HasPrefix(f, "Content-Length") })
			fmt.Fprint(c, strings.Join(fields, "\r\n")+"\r\n\r\n"+body[:max(0, len(body)-cut)])
			if tcp, ok := c.(*net.TCPConn); ok && cut%2 == 0 {
				_ = tcp.SetLinger(0)
			}
			c.Close()
		})
		var client toucanexchange.Client
		_, err := client.Do(t.Context(), request(target.address, leg("q1")))
		client.Close()
		require.Error(t, err, "%d bytes cut off", cut)
		require.NotEqual(t, notRun, toucanfault.As(err).Outcome, "the leg ran: %v", err)
	}
}
