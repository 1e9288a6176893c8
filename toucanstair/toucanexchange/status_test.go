package toucanexchange_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanexchange"
)

// Guards against a leg or a health request that counts a response with a status that HTTP does
// not have, or waits for the end of its body until the deadline: after 101 there is none.
func TestInvalidStatusEndsTheRequestAtOnce(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			address, _ := rawTarget(t, func(c net.Conn, _ int64, id string) {
				fmt.Fprintf(c, "HTTP/1.1 %s X\r\nToucan-Leg: %s\r\n\r\n", status, id)
			})
			client := &toucanexchange.Client{}
			defer client.Close()
			start := time.Now()
			_, err := client.Do(t.Context(), request(address, leg("q")))
			requireFault(t, err, toucanpb.Code_CODE_INVALID, toucanpb.Outcome_OUTCOME_UNKNOWN)
			_, err = client.Health(t.Context(), address, 1)
			require.Error(t, err)
			require.Less(t, time.Since(start), toucanexchange.MaxLegDuration, "a request waited until its deadline")
		})
	}
}
