package toucanforward

import (
	"context"
	"fmt"
	"net/http"
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

// play runs f on a paused clock and lets workers end after it.
func play(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f(t)
		<-time.After(2 * time.Second)
	})
}

func fate(f toucantransport.FailureKind) *toucantransport.FailureKind { return &f }

// Guards against work for a response that can't reach its least coverage: when the
// list lacks the targets of too many shards, as after a start, the request is
// refused before anything is sent.
func TestRequestBelowMinCoverageIsNotSent(t *testing.T) {
	for lacking, status := range map[int]int{1: http.StatusOK, 2: http.StatusServiceUnavailable} {
		play(t, func(t *testing.T) {
			s := newSetting(4, func(toucanreplica.ID, int) conduct { return conduct{takes: 5 * time.Millisecond} })
			for i := range lacking {
				s.Targets.MarkUnlisted(toucanreplica.ID(fmt.Sprint("s", i, "a")), time.Now().Add(-time.Hour))
				s.Targets.MarkUnlisted(toucanreplica.ID(fmt.Sprint("s", i, "b")), time.Now().Add(-time.Hour))
			}
			s.Targets.RemoveExpired(time.Now(), false)
			w, took := s.ask(t.Context())
			require.Equal(t, status, w.Code)
			if status == http.StatusOK {
				require.Equal(t, "1", w.Header().Get(dialect.MissingShards))
				return
			}
			require.Zero(t, s.world.sum(s.world.arrived), "it has not run")
			require.Zero(t, took)
			require.NotEmpty(t, w.Header().Get("Retry-After"))
		})
	}
}

// Guards against a second send of a request that may have run.
func TestNonIdempotentRequestIsNotRetriedWhenItMayHaveRun(t *testing.T) {
	for _, c := range []conduct{
		{fate: fate(toucantransport.MaybeExecuted)}, {status: 500}, {status: 504}, {bare: true}, never(),
	} {
		play(t, func(t *testing.T) {
			s := newSetting(0, func(toucanreplica.ID, int) conduct { return c })
			s.route.Idempotent = false
			w, _ := s.ask(t.Context())
			require.Equal(t, 1, s.world.sum(s.world.arrived))
			require.GreaterOrEqual(t, w.Code, 500)
			require.NotEqual(t, http.StatusServiceUnavailable, w.Code, "it may have run")
		})
	}
}

// Guards against giving up a request that one target did not run.
func TestRefusedRequestGoesToAnotherTarget(t *testing.T) {
	play(t, func(t *testing.T) {
		s := newSetting(0, func(id toucanreplica.ID, _ int) conduct { return conduct{refuse: strings.HasSuffix(string(id), "a")} })
		s.route.Idempotent = false
		w, _ := s.ask(t.Context())
		require.Equal(t, http.StatusOK, w.Code)
		require.Equal(t, "stamp-s0b", w.Header().Get(dialect.Signature))
	})
}

// Guards against a refusal that is untrue, comes late or names no time to
// return.
func TestRequestWithoutReachableTargetIsRefusedAtOnce(t *testing.T) {
	for _, shards := range []int{0, 4} {
		play(t, func(t *testing.T) {
			s := newSetting(shards, func(toucanreplica.ID, int) conduct { return conduct{fate: fate(toucantransport.Unreachable)} })
			w, took := s.ask(t.Context())
			require.Equal(t, http.StatusServiceUnavailable, w.Code)
			require.NotEmpty(t, w.Header().Get("Retry-After"))
			require.Zero(t, s.world.sum(s.world.ran))
			require.Less(t, took, s.route.LatencyObjective)
		})
	}
}

// Plays any mix of target conduct and checks what a refusal and a success
// promise, and that no target gets more time than is left.
func TestResponseInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		conducts := []conduct{
			{}, {takes: 20 * time.Millisecond}, {takes: 300 * time.Millisecond}, never(), {refuse: true},
			{status: 500}, {bare: true}, {status: 421}, {fate: fate(toucantransport.MaybeExecuted)},
			{fate: fate(toucantransport.Unreachable)}, {fate: fate(toucantransport.ConnectionLimitReached)}, {header: map[string]string{"Content-Encoding": "gzip"}},
		}
		kinds := rapid.SliceOfN(rapid.IntRange(0, len(conducts)-1), 64, 64).Draw(rt, "conduct")
		shards := rapid.IntRange(0, 8).Draw(rt, "shards")
		idempotent := shards > 0 || rapid.Bool().Draw(rt, "idempotent")
		play(t, func(t *testing.T) {
			s := newSetting(shards, func(id toucanreplica.ID, nth int) conduct {
				place := 0
				for _, c := range id {
					place = place*7 + int(c)
				}
				c := conducts[kinds[(place+11*nth)%len(kinds)]]
				if c.status == 421 {
					c.refuse = false
				}
				return c
			})
			s.route.Idempotent = idempotent
			w, took := s.ask(t.Context(), dialect.Deadline, "500")
			synctest.Wait()
			require.Less(rt, took, 500*time.Millisecond)
			for _, left := range s.world.left {
				require.LessOrEqual(rt, left, 500*time.Millisecond)
			}
			if !idempotent {
				runs := 0
				for id, n := range s.world.ran {
					for nth := range s.world.arrived[id] {
						if s.world.conduct(id, nth).status == 421 {
							n--
						}
					}
					runs += n
				}
				require.LessOrEqual(rt, runs, 1)
				if w.Code == http.StatusServiceUnavailable {
					require.Zero(rt, runs)
				}
			}
			if w.Code == http.StatusOK && shards > 0 {
				stamps := strings.Split(w.Header().Get(dialect.PartSignatures), ", ")
				require.GreaterOrEqual(rt, float64(len(stamps)), s.route.MinCoverage*float64(shards))
				seen := map[string]bool{}
				for _, stamp := range stamps {
					shard := strings.TrimPrefix(stamp, "stamp-")
					require.False(rt, seen[shard[:len(shard)-1]], "two parts of one shard")
					seen[shard[:len(shard)-1]] = true
				}
			}
		})
	})
}

// Guards against a response that waits for a paused replica past the
// objective, and against waiting where all shards are in.
func TestGatheredResponseMeetsObjective(t *testing.T) {
	play(t, func(t *testing.T) {
		s := newSetting(8, func(id toucanreplica.ID, _ int) conduct {
			if strings.HasPrefix(string(id), "s3") {
				return conduct{takes: 400 * time.Millisecond}
			}
			return conduct{takes: 8 * time.Millisecond}
		})
		w, took := s.ask(t.Context())
		require.Equal(t, http.StatusOK, w.Code)
		require.Equal(t, "1", w.Header().Get(dialect.MissingShards))
		require.Less(t, took, s.route.LatencyObjective)
		require.Greater(t, took, s.route.LatencyObjective/2)
	})
	play(t, func(t *testing.T) {
		s := newSetting(8, func(toucanreplica.ID, int) conduct { return conduct{takes: 8 * time.Millisecond} })
		w, took := s.ask(t.Context())
		require.Equal(t, "0", w.Header().Get(dialect.MissingShards))
		require.Equal(t, 8*time.Millisecond, took)
	})
}

// Guards against a pause of one replica that costs its shard: the other
// replica is asked in time.
func TestPausedReplicaIsHedged(t *testing.T) {
	play(t, func(t *testing.T) {
		s := newSetting(8, func(id toucanreplica.ID, _ int) conduct {
			if id == "s3a" {
				return conduct{takes: 150 * time.Millisecond}
			}
			return conduct{takes: 8 * time.Millisecond}
		})
		w, took := s.ask(t.Context())
		require.Equal(t, "0", w.Header().Get(dialect.MissingShards))
		require.Less(t, took, 80*time.Millisecond)
		require.Equal(t, 9, s.world.sum(s.world.arrived))
	})
}

// Guards against a response that is dropped because it came after the
// objective.
func TestLateResponseIsDelivered(t *testing.T) {
	play(t, func(t *testing.T) {
		s := newSetting(4, func(toucanreplica.ID, int) conduct { return conduct{takes: 300 * time.Millisecond} })
		w, took := s.ask(t.Context())
		require.Equal(t, http.StatusOK, w.Code)
		require.Equal(t, 300*time.Millisecond, took)
	})
}

// Guards against targets that work on for a caller that has left.
func TestCallerDisconnectCancelsTargets(t *testing.T) {
	play(t, func(t *testing.T) {
		s := newSetting(4, func(toucanreplica.ID, int) conduct { return never() })
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		s.ask(ctx)
		synctest.Wait()
		require.Equal(t, s.world.sum(s.world.arrived), s.world.ended)
	})
}

// Guards against targets of a zone out of service, or outside the homes of a
// route, that get requests.
func TestZonesOutOfServiceAndHomeRegionsAreRespected(t *testing.T) {
	play(t, func(t *testing.T) {
		s := newSetting(6, func(toucanreplica.ID, int) conduct { return conduct{takes: time.Millisecond} })
		s.orders.out = map[toucanzone.Name]bool{"a": true}
		w, _ := s.ask(t.Context())
		require.Equal(t, "0", w.Header().Get(dialect.MissingShards))
		for id := range s.world.arrived {
			require.True(t, strings.HasSuffix(string(id), "b"), id)
		}
		s.route.AllowedRegions = []toucanrules.Region{"x"}
		w, _ = s.ask(t.Context())
		require.Equal(t, http.StatusServiceUnavailable, w.Code, "the only home is out of service")
	})
}

// Guards against requests for a version that is on order and has not been
// judged.
func TestHeldVersionGetsNoRequests(t *testing.T) {
	play(t, func(t *testing.T) {
		// The targets of the old version are slower, so that only the order keeps
		// requests from the new one.
		s := newSetting(0, func(id toucanreplica.ID, _ int) conduct {
			if id == "new" {
				return conduct{takes: time.Millisecond}
			}
			return conduct{takes: 40 * time.Millisecond}
		})
		s.Targets.Upsert(toucanbalancer.TargetInfo{ID: "new", Service: "s0", Address: "10.0.0.1:1", Zone: "a", Slots: 2, Version: "v2"}, time.Now())
		s.orders.first = toucanrollout.VersionChoice{Excluded: "v2"}
		s.orders.again = s.orders.first
		for range 50 {
			w, _ := s.ask(t.Context())
			require.Equal(t, http.StatusOK, w.Code)
		}
		require.Zero(t, s.world.arrived["new"])
		s.Targets.MarkUnlistedExcept(map[toucanreplica.ID]bool{"new": true}, time.Now())
		w, _ := s.ask(t.Context())
		require.Equal(t, http.StatusOK, w.Code, "no other version is left")
	})
}

// Guards against a failing new version whose requests fail for the callers, and
// against evidence that counts for the wrong version.
func TestFailedRequestsOfNewVersionAreRetriedAtOldVersion(t *testing.T) {
	fresh := map[toucanreplica.ID]bool{"new1": true, "new2": true}
	play(t, func(t *testing.T) {
		s := newSetting(0, func(id toucanreplica.ID, _ int) conduct {
			if fresh[id] {
				return conduct{takes: time.Millisecond, status: http.StatusInternalServerError}
			}
			return conduct{takes: time.Millisecond}
		})
		for id := range fresh {
			s.Targets.Upsert(toucanbalancer.TargetInfo{ID: id, Service: "s0", Address: "10.0.0.1:1", Zone: "b", Slots: 2, Version: "v2"}, time.Now())
		}
		s.orders.first, s.orders.again = toucanrollout.VersionChoice{Preferred: "v2"}, toucanrollout.VersionChoice{Excluded: "v2"}
		const requests = 3
		for range requests {
			w, _ := s.ask(t.Context())
			require.Equal(t, http.StatusOK, w.Code)
		}
		require.Equal(t, requests, s.world.arrived["new1"]+s.world.arrived["new2"])
		failed, good := "v2 "+toucanpb.Code_CODE_FAILED.String(), " "+toucanpb.Code_CODE_UNSPECIFIED.String()
		require.Equal(t, []string{failed, good, failed, good, failed, good}, s.orders.compared)
	})
}

// Plays a zone of cold targets under load from several hosts, and checks that
// no target gets more in a second than it bears.
func TestColdTargetsAreRateLimited(t *testing.T) {
	play(t, func(t *testing.T) {
		const hosts, rate = 6, 10.0
		var all []*setting
		for range hosts {
			s := newSetting(0, quick)
			s.UnshardedShare = func() float64 { return 1.0 / hosts }
			s.orders.rules.Services["s0"] = toucanrules.Service{ColdRateLimit: rate}
			for _, target := range s.Targets.Candidates("s0") {
				target.SetColdRemaining(time.Now(), time.Minute)
			}
			all = append(all, s)
		}
		for range 5 {
			before, most := map[toucanreplica.ID]int{}, map[toucanreplica.ID]int{}
			for _, s := range all {
				for id, n := range s.world.arrived {
					before[id] += n
				}
			}
			for second := time.Now(); time.Since(second) < time.Second; {
				for _, s := range all {
					s.ask(t.Context())
				}
			}
			for _, s := range all {
				for id, n := range s.world.arrived {
					most[id] += n
				}
			}
			for id, n := range most {
				require.LessOrEqual(t, float64(n-before[id]), rate*1.5+5)
			}
		}
	})
}

// Guards against extra load that grows with the trouble: when every target is
// slow, repeats stay within the tokens.
func TestRetriesStayWithinBudget(t *testing.T) {
	play(t, func(t *testing.T) {
		s := newSetting(4, func(toucanreplica.ID, int) conduct { return conduct{takes: 700 * time.Millisecond} })
		s.RetryBudget.Set(0.2, 3)
		const requests = 20
		for range requests {
			s.ask(t.Context())
		}
		arrived := s.world.sum(s.world.arrived)
		extra := arrived - 4*requests
		require.LessOrEqual(t, float64(extra), 4*(0.2*requests+3))
	})
}

// Guards against a host that serves before it knows the rules, unknown routes
// and malformed headers.
func TestUnservableRequestsAreRejected(t *testing.T) {
	s := newSetting(0, func(toucanreplica.ID, int) conduct { return conduct{} })
	for _, c := range []struct {
		prepare func()
		header  []string
		status  int
	}{
		{func() {}, []string{dialect.Deadline, "soon"}, http.StatusBadRequest},
		{func() {}, []string{dialect.Deadline, "-5"}, http.StatusBadRequest},
		{func() {}, []string{dialect.RequestID, ""}, http.StatusBadRequest},
		{func() { s.orders.rules.Routes[0].Host = "b.example"; s.orders.rules.BuildIndex() }, nil, http.StatusNotFound},
		{func() { s.orders.rules = nil }, nil, http.StatusServiceUnavailable},
	} {
		c.prepare()
		w, _ := s.ask(t.Context(), c.header...)
		require.Equal(t, c.status, w.Code)
		require.Zero(t, s.world.sum(s.world.arrived))
	}
}
