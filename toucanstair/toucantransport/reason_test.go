package toucantransport_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against the start of a second answer in a body, with a reason that has more than letters in it.
func TestSecondAnswerWithAnyReasonIsNoPartOfABody(t *testing.T) {
	const body = "sixteen-byte rec"
	for name, reason := range map[string]string{"letters": "200 Done", "digits": "200 Done 2", "brackets": "200 Done (cold)"} {
		t.Run(name, func(t *testing.T) {
			first := withStatus(signed("1", "s1", strings.Repeat(body, 4)), reason)
			n := strings.Index(first, "\r\n") + 3
			address := sendPieces(t, first[:len(first)-n]+first[:n], first[n:])
			res, err := newPatientTransport().Do(t.Context(), requestTo(address, "1"), time.Second)
			if err == nil {
				require.Equal(t, strings.Repeat(body, 4), string(res.Body))
			}
		})
	}
}
