package toucanexchange_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanstair.example/toucanstair/toucanexchange"
)

// Guards against a connection for each leg to a target that has ids, because one late second answer had lost its id.
func TestOneAnswerWithoutIDDoesNotEndReuse(t *testing.T) {
	const legs = 20
	var served atomic.Int64
	target := newAnsweringTarget(t, func(c net.Conn, id string, _ int) {
		if served.Add(1) == 2 {
			fmt.Fprint(c, answer{status: "500 X", noID: true}.format("late"))
		}
		fmt.Fprint(c, answer{}.format(id))
	})
	var client toucanexchange.Client
	defer client.Close()
	for i := range legs {
		_, err := client.Do(t.Context(), request(target.address, leg(fmt.Sprint("q", i))))
		require.Equal(t, i != 1, err == nil, "leg %d: %v", i, err)
	}
	require.Less(t, target.accepted.Load(), int64(legs/2), "connections for %d legs", legs)
}
