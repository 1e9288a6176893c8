package toucanforward

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanreplica"
)

// Guards against a cold start that another target at the former address of a target reports.
func TestMisdirectedResponseDoesNotChangeTheColdStart(t *testing.T) {
	for name, text := range map[string]string{"ended": "0", "begun": "60000"} {
		t.Run(name, func(t *testing.T) {
			host := newTestHost(0, func(toucanreplica.ID, int) behavior {
				return behavior{status: http.StatusMisdirectedRequest, header: map[string]string{testHeaders.ColdRemaining: text}}
			})
			cold := text == "0"
			for _, target := range host.Targets.Candidates("s0") {
				if cold {
					target.SetColdRemaining(time.Now(), time.Minute)
				}
			}
			host.get(t.Context())
			require.NotEmpty(t, host.targets.received)
			for _, target := range host.Targets.Candidates("s0") {
				require.Equal(t, cold, target.IsCold(time.Now()), "target %s", target.ID)
			}
		})
	}
}

// Guards against a cold target that is taken for a warm one because it reports a fraction of
// a millisecond, or an unreadable number that ends its cold start.
func TestColdStartMayBeReportedInFractions(t *testing.T) {
	for text, cold := range map[string]bool{"60000": true, "60000.5": true, "1e300": true, "0.0": false, "0": false, "NaN": true, "-5": true, "soon": true} {
		host := newTestHost(0, func(toucanreplica.ID, int) behavior {
			return behavior{header: map[string]string{testHeaders.ColdRemaining: text}}
		})
		unreadable := text == "NaN" || text == "-5" || text == "soon"
		for _, target := range host.Targets.Candidates("s0") {
			if unreadable || !cold {
				target.SetColdRemaining(time.Now(), time.Minute)
			}
		}
		host.get(t.Context())
		isCold := 0
		for _, target := range host.Targets.Candidates("s0") {
			if target.IsCold(time.Now()) {
				isCold++
			}
		}
		require.Equal(t, cold, isCold == len(host.Targets.Candidates("s0")) || !unreadable && cold && isCold > 0, "%q: %d cold", text, isCold)
	}
}
