package toucanexchange_test

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/toucanstair/toucanexchange"
)

// Guards against a leg that ran and counts as refused, so that it is sent again, because its response was read as the rest of the head of a late refusal.
func TestResponseIsNoPartOfTheHeadOfALateRefusal(t *testing.T) {
	target := newAnsweringTarget(t, func(c net.Conn, id string, nth int) {
		if nth == 2 {
			fmt.Fprint(c, "HTTP/1.1 "+refused+"\r\nToucan-Refused: 1\r\nDate: Mo")
		}
		fmt.Fprint(c, answer{}.format(id))
	})
	var client toucanexchange.Client
	defer client.Close()
	_, err := client.Do(t.Context(), request(target.address, leg("q1")))
	require.NoError(t, err)
	response, err := client.Do(t.Context(), request(target.address, leg("q2")))
	require.False(t, response.NewConnection)
	if err != nil {
		require.NotEqual(t, notRun, toucanfault.As(err).Outcome, "the leg ran: %v", err)
	}
}
