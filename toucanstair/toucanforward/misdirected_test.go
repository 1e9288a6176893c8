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
