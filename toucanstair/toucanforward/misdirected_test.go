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
// a millisecond, or because of a text that is no time.
func TestColdStartMayBeReportedInFractions(t *testing.T) {
	for text, c := range map[string]struct{ before, after bool }{
		"60000": {false, true}, "60000.5": {false, true}, "1e300": {false, true}, "0": {true, false}, "0.0": {true, false},
		"NaN": {true, true}, "-5": {true, true}, "soon": {true, true},
	} {
		host := newTestHost(0, func(toucanreplica.ID, int) behavior {
			return behavior{header: map[string]string{testHeaders.ColdRemaining: text}}
		})
		targets := host.Targets.Candidates("s0")
		for _, target := range targets {
			if c.before {
				target.SetColdRemaining(time.Now(), time.Minute)
			}
		}
		host.get(t.Context())
		changed := false
		for _, target := range targets {
			changed = changed || target.IsCold(time.Now()) != c.before
		}
		require.Equal(t, c.before != c.after, changed, "%q", text)
	}
}
