package toucanforward

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanservice"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucanrules"
)

// Guards against requests to a target that has announced its departure in a response:
// first sends, hedges and retries.
func TestLeavingTargetGetsNoMoreRequests(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		withFakeClock(t, func(t *testing.T) {
			host := newTestHost(4, func(id toucanreplica.ID, nth int) behavior {
				if id == "s0a" {
					return behavior{delay: time.Millisecond, status: status, header: map[string]string{testHeaders.Leaving: "1"}}
				}
				return behavior{delay: 30 * time.Millisecond, refuse: nth%3 == 2}
			})
			for range 20 {
				w, _ := host.get(t.Context())
				require.Equal(t, http.StatusOK, w.Code)
			}
			require.Equal(t, 1, host.targets.received["s0a"])
		})
	}
}

// Guards against taking out a target because another one, at its former address,
// leaves, and against other values of the header.
func TestOnlyTheLeavingTargetIsTakenOut(t *testing.T) {
	for _, b := range []behavior{
		{status: http.StatusMisdirectedRequest, header: map[string]string{testHeaders.Leaving: "1"}},
		{header: map[string]string{testHeaders.Leaving: "0"}},
		{header: map[string]string{testHeaders.Leaving: ""}},
	} {
		withFakeClock(t, func(t *testing.T) {
			host := newTestHost(0, func(toucanreplica.ID, int) behavior { return b })
			host.get(t.Context())
			require.Len(t, host.Targets.Candidates("s0"), 2)
		})
	}
}

// Guards against a weak host that still sends to a leaving target after the host that
// gathered for it has seen the departure.
func TestDepartureIsPassedToDelegatingHost(t *testing.T) {
	strong := newTestHost(4, func(id toucanreplica.ID, _ int) behavior {
		if id == "s2a" {
			return behavior{delay: time.Millisecond, header: map[string]string{testHeaders.Leaving: "1"}}
		}
		return behavior{delay: time.Millisecond}
	})
	weak := newTestHost(4, fastTarget)
	address, _ := serveGateway(t, strong, &atomic.Bool{})
	delegateTo(t, weak, address)
	w, _ := weak.get(t.Context())
	require.Equal(t, http.StatusOK, w.Code)
	require.Len(t, weak.Targets.Candidates("s1"), 2)
	require.Len(t, weak.Targets.Candidates("s2"), 1)
	require.Equal(t, toucanreplica.ID("s2b"), weak.Targets.Candidates("s2")[0].ID)
}

// Property test over random schedules of requests and of targets that ask for pauses of
// random length: between 0.5 s after such a refusal and the end of the pause a target
// gets at most two requests, over first sends, hedges and retries.
func TestPausedTargetGetsNoRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shards := rapid.IntRange(0, 4).Draw(rt, "shards")
		pauses := rapid.SliceOfN(rapid.SampledFrom([]string{"0.2", "0.7", "1.5", "3", "12", "", "-1", "soon", "NaN"}), 40, 40).Draw(rt, "pauses")
		gaps := rapid.SliceOfN(rapid.IntRange(1, 900), 40, 40).Draw(rt, "gaps")
		withFakeClock(t, func(t *testing.T) {
			type pause struct {
				id       toucanreplica.ID
				from, to time.Time
				arrived  int
			}
			var asked []*pause
			n := 0
			host := newTestHost(shards, nil)
			host.targets.behavior = func(id toucanreplica.ID, nth int) behavior {
				now := time.Now()
				for _, p := range asked {
					if p.id == id && now.After(p.from) && now.Before(p.to) {
						p.arrived++
					}
				}
				n++
				text := pauses[(n*7+len(id)+nth)%len(pauses)]
				if n%3 != 0 || text == "" {
					return behavior{delay: time.Duration(n%5) * 20 * time.Millisecond}
				}
				if d, ok := parseRetryAfter(text); ok && d > 500*time.Millisecond {
					asked = append(asked, &pause{id: id, from: now.Add(500 * time.Millisecond), to: now.Add(d)})
				}
				return behavior{refuse: true, header: map[string]string{"Retry-After": text}}
			}
			for _, gap := range gaps {
				host.get(t.Context())
				<-time.After(time.Duration(gap) * time.Millisecond)
			}
			for _, p := range asked {
				require.LessOrEqual(rt, p.arrived, 2, "%s from %v to %v", p.id, p.from, p.to)
			}
		})
	})
}

// Guards against a request that waits although all targets have asked for a pause, and
// against a Retry-After that ends before a target is available again.
func TestRequestIsRefusedWhileAllTargetsArePaused(t *testing.T) {
	for _, shards := range []int{0, 4} {
		withFakeClock(t, func(t *testing.T) {
			host := newTestHost(shards, fastTarget)
			now := time.Now()
			paused := map[string]time.Duration{"s0a": 3 * time.Second, "s0b": 2500 * time.Millisecond, "s1a": time.Second, "s1b": 2 * time.Second}
			for _, s := range []string{"s0", "s1"} {
				for _, target := range host.Targets.Candidates(toucanservice.Name(s)) {
					target.Stats.RecordRequestedPause(now, paused[string(target.ID)])
				}
			}
			<-time.After(500 * time.Millisecond)
			w, took := host.get(t.Context())
			require.Equal(t, http.StatusServiceUnavailable, w.Code)
			require.Zero(t, took)
			require.Zero(t, host.targets.total(host.targets.received))
			seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			require.NoError(t, err)
			if shards == 0 {
				require.InDelta(t, 2, seconds, 0.001, "when s0b is available")
				return
			}
			require.InDelta(t, 0.5, seconds, 0.001, "when s1a is available, without which too few shards are left")
			<-time.After(500 * time.Millisecond)
			w, _ = host.get(t.Context())
			require.Equal(t, http.StatusOK, w.Code)
			require.Equal(t, "1", w.Header().Get(testHeaders.MissingShards))
		})
	}
}

// Guards against a pause of unbounded or negative length, and against an invalid value
// that takes the target out of service.
func TestRetryAfterIsBounded(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"0": 0, "1": time.Second, "0.25": 250 * time.Millisecond, "1e9": maxRequestedPause, "1e999": maxRequestedPause, "600.5": maxRequestedPause,
	} {
		d, ok := parseRetryAfter(text)
		require.True(t, ok, text)
		require.Equal(t, want, d, text)
	}
	for _, text := range []string{"", "-1", "-1e999", "NaN", "soon", "Fri, 31 Dec 1999 23:59:59 GMT", strings.Repeat("9", 10) + "x"} {
		_, ok := parseRetryAfter(text)
		require.False(t, ok, text)
	}
}

// Guards against a route without a latency objective that gives up a busy target, or
// leaves out slow shards, at once.
func TestRouteWithoutObjectiveWaits(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		host := newTestHost(0, func(_ toucanreplica.ID, nth int) behavior { return behavior{refuse: nth == 0} })
		host.route.LatencyObjective = 0
		host.RetryBudget.Set(0.2, 100)
		w, _ := host.get(t.Context())
		require.Equal(t, http.StatusOK, w.Code)
	})
	withFakeClock(t, func(t *testing.T) {
		host := newTestHost(4, func(id toucanreplica.ID, _ int) behavior {
			return behavior{delay: time.Duration(id[1]-'0'+1) * 50 * time.Millisecond}
		})
		host.route.LatencyObjective = 0
		w, _ := host.get(t.Context())
		require.Equal(t, "0", w.Header().Get(testHeaders.MissingShards), fmt.Sprint(w.Code))
	})
}

// Guards against a hedge estimate that sends a cold target over its rate.
func TestHedgeEstimateTakesNoColdToken(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		host := newTestHost(1, func(toucanreplica.ID, int) behavior { return behavior{delay: time.Millisecond} })
		host.config.rules.Services["s0"] = toucanrules.Service{ColdRateLimit: 1}
		candidates := host.Targets.Candidates("s0")
		for _, target := range candidates {
			target.SetColdRemaining(time.Now(), time.Hour)
		}
		cons := toucanbalancer.Constraints{ColdRateLimit: 1}
		_, _ = host.Picker.Pick(candidates, cons, time.Now())
		<-time.After(2 * time.Second)
		host.get(t.Context())
		left, _ := host.Picker.Estimate(candidates, cons, time.Now())
		require.NotNil(t, left, "the request took one of two tokens")
	})
}
