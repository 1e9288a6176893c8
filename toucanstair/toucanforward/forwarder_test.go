package toucanforward

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucanrollout"
	"toucanstair.example/toucanstair/toucanrules"
	"toucanstair.example/toucanstair/toucantransport"
)

// withFakeClock runs f with a fake clock and then lets the worker goroutines end.
func withFakeClock(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f(t)
		<-time.After(2 * time.Second)
	})
}

func kindPtr(f toucantransport.FailureKind) *toucantransport.FailureKind { return &f }

// Guards against sending a request that can't reach its minimum coverage. When
// the list lacks the targets of too many shards, as after a start, the request
// has to be refused before anything is sent.
func TestRequestBelowMinCoverageIsNotSent(t *testing.T) {
	for unlisted, status := range map[int]int{1: http.StatusOK, 2: http.StatusServiceUnavailable} {
		withFakeClock(t, func(t *testing.T) {
			host := newTestHost(4, func(toucanreplica.ID, int) behavior { return behavior{delay: 5 * time.Millisecond} })
			for i := range unlisted {
				host.Targets.MarkUnlisted(toucanreplica.ID(fmt.Sprint("s", i, "a")), time.Now().Add(-time.Hour))
				host.Targets.MarkUnlisted(toucanreplica.ID(fmt.Sprint("s", i, "b")), time.Now().Add(-time.Hour))
			}
			host.Targets.RemoveExpired(time.Now(), false)
			w, took := host.get(t.Context())
			require.Equal(t, status, w.Code)
			if status == http.StatusOK {
				require.Equal(t, "1", w.Header().Get(testHeaders.MissingShards))
				return
			}
			require.Zero(t, host.targets.total(host.targets.received), "it has not run")
			require.Zero(t, took)
			require.NotEmpty(t, w.Header().Get("Retry-After"))
		})
	}
}

// Guards against a retry of a non-idempotent request that may have run.
func TestNonIdempotentRequestIsNotRetriedWhenItMayHaveRun(t *testing.T) {
	for _, c := range []behavior{
		{errorKind: kindPtr(toucantransport.MaybeExecuted)}, {status: 500}, {status: 504}, {unsigned: true}, neverResponds(),
	} {
		withFakeClock(t, func(t *testing.T) {
			host := newTestHost(0, func(toucanreplica.ID, int) behavior { return c })
			host.route.Idempotent = false
			w, _ := host.get(t.Context())
			require.Equal(t, 1, host.targets.total(host.targets.received))
			require.GreaterOrEqual(t, w.Code, 500)
			require.NotEqual(t, http.StatusServiceUnavailable, w.Code, "it may have run")
		})
	}
}

// Guards against failing a request that one target refused and another can run.
func TestRefusedRequestGoesToAnotherTarget(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		host := newTestHost(0, func(id toucanreplica.ID, _ int) behavior { return behavior{refuse: strings.HasSuffix(string(id), "a")} })
		host.route.Idempotent = false
		w, _ := host.get(t.Context())
		require.Equal(t, http.StatusOK, w.Code)
		require.Equal(t, "stamp-s0b", w.Header().Get(testHeaders.Signature))
	})
}

// Guards against a refusal that comes late or lacks Retry-After when no target can
// be reached, and against refusing a request that has run.
func TestRequestWithoutReachableTargetIsRefusedInTime(t *testing.T) {
	for _, shards := range []int{0, 4} {
		withFakeClock(t, func(t *testing.T) {
			host := newTestHost(shards, func(toucanreplica.ID, int) behavior { return behavior{errorKind: kindPtr(toucantransport.Unreachable)} })
			w, took := host.get(t.Context())
			require.Equal(t, http.StatusServiceUnavailable, w.Code)
			require.NotEmpty(t, w.Header().Get("Retry-After"))
			require.Zero(t, host.targets.total(host.targets.executed))
			require.Less(t, took, host.route.LatencyObjective)
		})
	}
}

// Property test over random target behavior: a refused request has not run, a
// non-idempotent request runs at most once, a success has the minimum coverage
// with one part per shard, and no target gets more time than is left.
func TestResponseInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		behaviors := []behavior{
			{}, {delay: 20 * time.Millisecond}, {delay: 300 * time.Millisecond}, neverResponds(), {refuse: true},
			{status: 500}, {unsigned: true}, {status: 421}, {status: 408}, {status: 429}, {status: 503}, {errorKind: kindPtr(toucantransport.MaybeExecuted)},
			{errorKind: kindPtr(toucantransport.Unreachable)}, {errorKind: kindPtr(toucantransport.ConnectionLimitReached)}, {header: map[string]string{"Content-Encoding": "gzip"}},
		}
		choices := rapid.SliceOfN(rapid.IntRange(0, len(behaviors)-1), 64, 64).Draw(rt, "behaviors")
		shards := rapid.IntRange(0, 8).Draw(rt, "shards")
		idempotent := shards > 0 || rapid.Bool().Draw(rt, "idempotent")
		withFakeClock(t, func(t *testing.T) {
			host := newTestHost(shards, func(id toucanreplica.ID, nth int) behavior {
				hash := 0
				for _, c := range id {
					hash = hash*7 + int(c)
				}
				c := behaviors[choices[(hash+11*nth)%len(choices)]]
				if c.status == 421 {
					c.refuse = false
				}
				return c
			})
			host.route.Idempotent = idempotent
			w, took := host.get(t.Context(), testHeaders.Deadline, "500")
			synctest.Wait()
			require.Less(rt, took, 500*time.Millisecond)
			for _, timeout := range host.targets.timeouts {
				require.LessOrEqual(rt, timeout, 500*time.Millisecond)
			}
			if !idempotent {
				runs := 0
				// The fake counts a 421 as executed, but to the host it means not run.
				for id, n := range host.targets.executed {
					for nth := range host.targets.received[id] {
						if host.targets.behavior(id, nth).status == 421 {
							n--
						}
					}
					runs += n
				}
				require.LessOrEqual(rt, runs, 1)
				if slices.Contains([]int{408, 421, 429, 503}, w.Code) {
					require.Zero(rt, runs, "status %d promises that the request has not run", w.Code)
				}
			}
			if w.Code == http.StatusOK && shards > 0 {
				signatures := strings.Split(w.Header().Get(testHeaders.PartSignatures), ", ")
				require.GreaterOrEqual(rt, float64(len(signatures)), host.route.MinCoverage*float64(shards))
				seen := map[string]bool{}
				for _, signature := range signatures {
					shard := strings.TrimPrefix(signature, "stamp-")
					require.False(rt, seen[shard[:len(shard)-1]], "two parts of one shard")
					seen[shard[:len(shard)-1]] = true
				}
			}
		})
	})
}

// Guards against a response that waits beyond the latency objective for a shard
// whose replicas are all stalled, and against waiting when all shards have responded.
func TestGatheredResponseMeetsObjective(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		host := newTestHost(8, func(id toucanreplica.ID, _ int) behavior {
			if strings.HasPrefix(string(id), "s3") {
				return behavior{delay: 400 * time.Millisecond}
			}
			return behavior{delay: 8 * time.Millisecond}
		})
		w, took := host.get(t.Context())
		require.Equal(t, http.StatusOK, w.Code)
		require.Equal(t, "1", w.Header().Get(testHeaders.MissingShards))
		require.Less(t, took, host.route.LatencyObjective)
		require.Greater(t, took, host.route.LatencyObjective/2)
	})
	withFakeClock(t, func(t *testing.T) {
		host := newTestHost(8, func(toucanreplica.ID, int) behavior { return behavior{delay: 8 * time.Millisecond} })
		w, took := host.get(t.Context())
		require.Equal(t, "0", w.Header().Get(testHeaders.MissingShards))
		require.Equal(t, 8*time.Millisecond, took)
	})
}

// Guards against a shard that is missing because one of its replicas stalls: the
// other replica has to be asked in time.
func TestStalledReplicaIsHedged(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		host := newTestHost(8, func(id toucanreplica.ID, _ int) behavior {
			if id == "s3a" {
				return behavior{delay: 150 * time.Millisecond}
			}
			return behavior{delay: 8 * time.Millisecond}
		})
		w, took := host.get(t.Context())
		require.Equal(t, "0", w.Header().Get(testHeaders.MissingShards))
		require.Less(t, took, 80*time.Millisecond)
		require.Equal(t, 9, host.targets.total(host.targets.received))
	})
}

// Guards against dropping a response that is complete only after the latency
// objective.
func TestLateResponseIsDelivered(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		host := newTestHost(4, func(toucanreplica.ID, int) behavior { return behavior{delay: 300 * time.Millisecond} })
		w, took := host.get(t.Context())
		require.Equal(t, http.StatusOK, w.Code)
		require.Equal(t, 300*time.Millisecond, took)
	})
}

// Guards against targets that go on working after the caller has disconnected.
func TestCallerDisconnectCancelsTargets(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		host := newTestHost(4, func(toucanreplica.ID, int) behavior { return neverResponds() })
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		host.get(ctx)
		synctest.Wait()
		require.Equal(t, host.targets.total(host.targets.received), host.targets.cancelled)
	})
}

// Guards against requests to targets in a zone out of service or outside the home
// regions (AllowedRegions) of a route.
func TestZonesOutOfServiceAndHomeRegionsAreRespected(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		host := newTestHost(6, func(toucanreplica.ID, int) behavior { return behavior{delay: time.Millisecond} })
		host.config.zonesOut = map[toucanzone.Name]bool{"a": true}
		w, _ := host.get(t.Context())
		require.Equal(t, "0", w.Header().Get(testHeaders.MissingShards))
		for id := range host.targets.received {
			require.True(t, strings.HasSuffix(string(id), "b"), id)
		}
		host.route.AllowedRegions = []toucanrules.Region{"x"}
		w, _ = host.get(t.Context())
		require.Equal(t, http.StatusServiceUnavailable, w.Code, "the zone of the only home region is out of service")
	})
}

// Guards against requests to a new version that the rollout still holds back, and
// against failing requests when no target of another version is left.
func TestHeldVersionGetsNoRequests(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		// The targets of the old version are slower, so the new one would be picked if
		// it were not excluded.
		host := newTestHost(0, func(id toucanreplica.ID, _ int) behavior {
			if id == "new" {
				return behavior{delay: time.Millisecond}
			}
			return behavior{delay: 40 * time.Millisecond}
		})
		host.Targets.Upsert(toucanbalancer.TargetInfo{ID: "new", Service: "s0", Address: "10.0.0.1:1", Zone: "a", Slots: 2, Version: "v2"}, time.Now())
		host.config.firstChoice = toucanrollout.VersionChoice{Excluded: "v2"}
		host.config.retryChoice = host.config.firstChoice
		for range 50 {
			w, _ := host.get(t.Context())
			require.Equal(t, http.StatusOK, w.Code)
		}
		require.Zero(t, host.targets.received["new"])
		host.Targets.MarkUnlistedExcept(map[toucanreplica.ID]bool{"new": true}, time.Now())
		w, _ := host.get(t.Context())
		require.Equal(t, http.StatusOK, w.Code, "no other version is left")
	})
}

// Guards against failures of a new version that reach the callers instead of
// being retried at the old one, and against results that are recorded for the
// wrong version.
func TestFailedRequestsOfNewVersionAreRetriedAtOldVersion(t *testing.T) {
	newTargets := map[toucanreplica.ID]bool{"new1": true, "new2": true}
	withFakeClock(t, func(t *testing.T) {
		host := newTestHost(0, func(id toucanreplica.ID, _ int) behavior {
			if newTargets[id] {
				return behavior{delay: time.Millisecond, status: http.StatusInternalServerError}
			}
			return behavior{delay: time.Millisecond}
		})
		for id := range newTargets {
			host.Targets.Upsert(toucanbalancer.TargetInfo{ID: id, Service: "s0", Address: "10.0.0.1:1", Zone: "b", Slots: 2, Version: "v2"}, time.Now())
		}
		host.config.firstChoice, host.config.retryChoice = toucanrollout.VersionChoice{Preferred: "v2"}, toucanrollout.VersionChoice{Excluded: "v2"}
		const requests = 3
		for range requests {
			w, _ := host.get(t.Context())
			require.Equal(t, http.StatusOK, w.Code)
		}
		require.Equal(t, requests, host.targets.received["new1"]+host.targets.received["new2"])
		failed, good := "v2 "+toucanpb.Code_CODE_FAILED.String(), " "+toucanpb.Code_CODE_UNSPECIFIED.String()
		require.Equal(t, []string{failed, good, failed, good, failed, good}, host.config.observed)
	})
}

// Guards against overloading a cold target: several hosts together send it no more
// requests a second than its limit allows.
func TestColdTargetsAreRateLimited(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		const hosts, rate = 6, 10.0
		var testHosts []*testHost
		for range hosts {
			host := newTestHost(0, fastTarget)
			host.UnshardedShare = func() float64 { return 1.0 / hosts }
			host.config.rules.Services["s0"] = toucanrules.Service{ColdRateLimit: rate}
			for _, target := range host.Targets.Candidates("s0") {
				target.SetColdRemaining(time.Now(), time.Minute)
			}
			testHosts = append(testHosts, host)
		}
		for range 5 {
			before, after := map[toucanreplica.ID]int{}, map[toucanreplica.ID]int{}
			for _, host := range testHosts {
				for id, n := range host.targets.received {
					before[id] += n
				}
			}
			for second := time.Now(); time.Since(second) < time.Second; {
				for _, host := range testHosts {
					host.get(t.Context())
				}
			}
			for _, host := range testHosts {
				for id, n := range host.targets.received {
					after[id] += n
				}
			}
			for id, n := range after {
				require.LessOrEqual(t, float64(n-before[id]), rate*1.5+5)
			}
		}
	})
}

// Guards against retry storms: when every target is slow, retries and hedges stay
// within the retry budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		host := newTestHost(4, func(toucanreplica.ID, int) behavior { return behavior{delay: 700 * time.Millisecond} })
		host.RetryBudget.Set(0.2, 3)
		const requests = 20
		for range requests {
			host.get(t.Context())
		}
		attempts := host.targets.total(host.targets.received)
		extra := attempts - 4*requests
		require.LessOrEqual(t, float64(extra), 4*(0.2*requests+3))
	})
}

// Guards against a panic on one response that ends the process, or that leaves the
// request without an answer.
func TestPanicOnOneResponseFailsItsAttempt(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		host := newTestHost(4, func(id toucanreplica.ID, _ int) behavior { return behavior{panics: strings.HasSuffix(string(id), "a")} })
		w, _ := host.get(t.Context())
		require.Equal(t, http.StatusOK, w.Code)
		require.Equal(t, "0", w.Header().Get(testHeaders.MissingShards), "the other replicas were asked")
	})
	withFakeClock(t, func(t *testing.T) {
		host := newTestHost(0, func(toucanreplica.ID, int) behavior { return behavior{panics: true} })
		host.route.Idempotent = false
		w, _ := host.get(t.Context())
		require.Equal(t, http.StatusBadGateway, w.Code, "it may have run")
	})
}

// Guards against serving requests before the rules are known, for unknown routes
// or with malformed headers.
func TestUnservableRequestsAreRejected(t *testing.T) {
	host := newTestHost(0, func(toucanreplica.ID, int) behavior { return behavior{} })
	for _, c := range []struct {
		prepare func()
		header  []string
		status  int
	}{
		{func() {}, []string{testHeaders.Deadline, "soon"}, http.StatusBadRequest},
		{func() {}, []string{testHeaders.Deadline, "-5"}, http.StatusBadRequest},
		{func() {}, []string{testHeaders.RequestID, ""}, http.StatusBadRequest},
		{func() { host.config.rules.Routes[0].Host = "b.example"; host.config.rules.BuildIndex() }, nil, http.StatusNotFound},
		{func() { host.config.rules = nil }, nil, http.StatusServiceUnavailable},
	} {
		c.prepare()
		w, _ := host.get(t.Context(), c.header...)
		require.Equal(t, c.status, w.Code)
		require.Zero(t, host.targets.total(host.targets.received))
	}
}
