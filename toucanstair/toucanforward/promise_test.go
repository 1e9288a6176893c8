package toucanforward

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/toucanstair/toucantransport"
)

// promises are the statuses by which callers are told that their request has not run.
var promises = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// Guards against a request that has run and is sent again by its caller, because a target's failure was passed on with a status that promises that it has not.
func TestFailureOfRequestThatRanPromisesNothing(t *testing.T) {
	for _, status := range promises {
		for name, c := range map[string]behavior{
			"signed":           {status: status},
			"unsigned":         {status: status, unsigned: true},
			"with Retry-After": {status: status, header: map[string]string{"Retry-After": "1"}},
			"late":             {status: status, delay: 790 * time.Millisecond},
		} {
			t.Run(strconv.Itoa(status)+" "+name, func(t *testing.T) {
				withFakeClock(t, func(t *testing.T) {
					host := newTestHost(0, func(toucanreplica.ID, int) behavior { return c })
					host.route.Idempotent = false
					w, _ := host.get(t.Context())
					require.Equal(t, 1, host.targets.total(host.targets.executed))
					require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, w.Code)
					require.Empty(t, w.Header().Get(testHeaders.Signature), "another status bears no signature of a target")
					require.Empty(t, w.Header().Get("Retry-After"))
				})
			})
		}
	}
}

// Guards against a refusal of a target that is hidden from the caller, who could send its request again.
func TestRefusalOfRequestThatMayRunOnceIsAPromise(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		host := newTestHost(0, func(toucanreplica.ID, int) behavior { return behavior{refuse: true} })
		host.route.Idempotent = false
		w, _ := host.get(t.Context())
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.NotEmpty(t, w.Header().Get("Retry-After"))
		require.Zero(t, host.targets.total(host.targets.executed))
	})
}

// Guards against an idempotent request that ends at the first such failure although another target serves it, and against a changed status where none does.
func TestFailureThatPromisesIsRetriedWhereThatIsAllowed(t *testing.T) {
	for _, status := range promises {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			withFakeClock(t, func(t *testing.T) {
				failing := toucanreplica.ID("s0a")
				host := newTestHost(0, func(id toucanreplica.ID, _ int) behavior {
					if id == failing {
						return behavior{status: status}
					}
					return behavior{}
				})
				w, _ := host.get(t.Context())
				require.Equal(t, http.StatusOK, w.Code)
				require.Equal(t, "stamp-s0b", w.Header().Get(testHeaders.Signature))
			})
			withFakeClock(t, func(t *testing.T) {
				host := newTestHost(0, func(toucanreplica.ID, int) behavior { return behavior{status: status} })
				w, _ := host.get(t.Context())
				require.Equal(t, status, w.Code)
				require.NotEmpty(t, w.Header().Get(testHeaders.Signature))
			})
		})
	}
}

// Guards against a promise of the host itself while an attempt is under way that may still run the request.
func TestHostPromisesNothingWhileAnAttemptMayRun(t *testing.T) {
	for name, second := range map[string]behavior{
		"refused":     {refuse: true},
		"unreachable": {errorKind: kindPtr(toucantransport.Unreachable)},
		"busy":        {errorKind: kindPtr(toucantransport.ConnectionLimitReached)},
	} {
		for _, idempotent := range []bool{false, true} {
			t.Run(name+" "+strconv.FormatBool(idempotent), func(t *testing.T) {
				withFakeClock(t, func(t *testing.T) {
					host := newTestHost(0, func(id toucanreplica.ID, _ int) behavior {
						if id == "s0a" {
							return neverResponds()
						}
						return second
					})
					host.route.Idempotent = idempotent
					w, _ := host.get(t.Context())
					if host.targets.total(host.targets.executed) > 0 {
						require.Equal(t, http.StatusGatewayTimeout, w.Code)
					}
				})
			})
		}
	}
}
