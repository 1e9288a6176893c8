package toucanforward

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucanrollout"
	"toucanstair.example/toucanstair/toucantransport"
)

// recordingRollouts records the responses of all versions.
type recordingRollouts struct {
	*fakeConfig
	mu      sync.Mutex
	codes   []toucanpb.Code
	untimed int
}

func (c *recordingRollouts) RecordResponse(_ toucanservice.Name, _, _ string, code toucanpb.Code, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.codes = append(c.codes, code)
	if took < 0 {
		c.untimed++
	}
}

// Guards against a version whose failures on new connections are not counted: on a rare route
// these are a large part of its requests. A connection that is lost there says nothing of it.
// Guards also against redirects and client errors that count as good responses of a version.
func TestFailuresOnNewConnectionsCountForVersion(t *testing.T) {
	lost := toucantransport.MaybeExecuted
	for name, c := range map[string]struct {
		response behavior
		warm     bool
		codes    []toucanpb.Code
		untimed  int
	}{
		"failure on a new connection":  {behavior{status: http.StatusInternalServerError}, false, []toucanpb.Code{toucanpb.Code_CODE_FAILED}, 1},
		"success on a new connection":  {behavior{}, false, []toucanpb.Code{toucanpb.Code_CODE_UNSPECIFIED}, 1},
		"success on a kept connection": {behavior{}, true, []toucanpb.Code{toucanpb.Code_CODE_UNSPECIFIED}, 0},
		"redirect":                     {behavior{status: http.StatusFound}, true, []toucanpb.Code{toucanpb.Code_CODE_REJECTED}, 0},
		"not found":                    {behavior{status: http.StatusNotFound}, true, []toucanpb.Code{toucanpb.Code_CODE_REJECTED}, 0},
		"forbidden, new connection":    {behavior{status: http.StatusForbidden}, false, []toucanpb.Code{toucanpb.Code_CODE_REJECTED}, 1},
		"new connection lost":          {behavior{errorKind: &lost}, false, nil, 0},
		"kept connection lost":         {behavior{errorKind: &lost}, true, []toucanpb.Code{toucanpb.Code_CODE_DOWN}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			host := newTestHost(0, func(toucanreplica.ID, int) behavior { return c.response })
			host.route.Idempotent = false
			host.config.firstChoice = toucanrollout.VersionChoice{Preferred: "v2"}
			rollouts := &recordingRollouts{fakeConfig: host.config}
			host.Rollouts = rollouts
			host.Picker.HasConnection = func(*toucanbalancer.Target) bool { return c.warm }
			host.get(t.Context())
			require.Equal(t, c.codes, rollouts.codes)
			require.Equal(t, c.untimed, rollouts.untimed)
		})
	}
}
