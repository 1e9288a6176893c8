package integration

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"

	"toucanstair.example/core/toucandeploy"
	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanlaunch"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanspec"
)

const (
	// targetTimeout bounds a query to a reference target, which has no faults; it is
	// enough on a busy machine.
	targetTimeout = 10 * time.Second
	// maxItems is the highest limit of a query; every query of the tests has
	// fewer hits.
	maxItems = 1000
)

// missingReasons are the valid reasons for a missing shard.
var missingReasons = []string{"timeout", "refused", "down", "cut", "out", "version", "invalid", "overload"}

// referenceItems holds the expected items of each shard, by "service/query". The
// text of an item is without the suffix that names the index version.
type referenceItems map[string]map[uint32][]*toucanpb.Item

// readReferenceItems reads the items of each shard from a separate target
// process, so that the ledgers and the state of the deployment's targets don't
// change.
func (b *testbed) readReferenceItems(queries ...string) referenceItems {
	b.t.Helper()
	var specs []toucanspec.Replica
	for _, s := range b.Plan.Services {
		for shard := range s.Shards {
			specs = append(specs, toucanspec.Replica{
				ID: fmt.Sprintf("%s-%d", s.Name, shard), Service: string(s.Name), Shard: shard, Slots: 1,
			})
		}
	}
	stdin, err := json.Marshal(specs)
	require.NoError(b.t, err)
	reference := &toucandeploy.TargetProcess{}
	p, err := b.Launcher.Launch(b.ctx, toucanlaunch.Program{
		Name: "reference targets", Path: b.Plan.Bin + "/toucantarget", Stdin: stdin,
	}, reference)
	require.NoError(b.t, err)
	defer p.Kill()
	out := referenceItems{}
	for _, s := range specs {
		for _, text := range queries {
			name := s.Service + "/" + text
			if out[name] == nil {
				out[name] = map[uint32][]*toucanpb.Item{}
			}
			out[name][s.Shard] = b.askTarget(reference.Replicas[s.ID], s, text)
		}
	}
	return out
}

func (b *testbed) askTarget(address string, s toucanspec.Replica, text string) []*toucanpb.Item {
	b.t.Helper()
	q := &toucanpb.TargetQuery{Leg: "truth", Service: s.Service, Shard: s.Shard, Query: text, Limit: maxItems, Index: 1}
	body, err := protojson.Marshal(q)
	require.NoError(b.t, err)
	client := &http.Client{Timeout: targetTimeout}
	defer client.CloseIdleConnections()
	reply, err := client.Post("http://"+address+"/search", "application/json", bytes.NewReader(body))
	require.NoError(b.t, err)
	defer reply.Body.Close()
	require.Equal(b.t, http.StatusOK, reply.StatusCode)
	var raw bytes.Buffer
	_, err = raw.ReadFrom(reply.Body)
	require.NoError(b.t, err)
	a := &toucanpb.TargetAnswer{}
	require.NoError(b.t, protojson.Unmarshal(raw.Bytes(), a))
	require.NotEmpty(b.t, a.GetItems(), "shard %s/%d must hold items, or a false coverage would go unnoticed", s.Service, s.Shard)
	suffix := toucanspec.ItemSuffix(s.Service, s.Shard, 1)
	for _, i := range a.GetItems() {
		i.Text = i.GetText()[:len(i.GetText())-len(suffix)]
	}
	return a.GetItems()
}

// checkAnswer describes what is wrong with the answer to an idempotent request,
// or returns "". The coverage must add up, and the items must be exactly those
// that the answered shards hold at the stated index version.
func (reference referenceItems) checkAnswer(r request, shards uint32) string {
	c := r.Answer.GetCoverage()
	if c.GetAsked() != shards || int(c.GetAnswered())+len(c.GetMissing()) != int(shards) {
		return fmt.Sprintf("answered and missing shards do not add up: %v", c)
	}
	missing := map[uint32]bool{}
	for _, m := range c.GetMissing() {
		if m.GetShard() >= shards || missing[m.GetShard()] || !slices.Contains(missingReasons, m.GetReason()) {
			return fmt.Sprintf("invalid or duplicate missing shard: %v", m)
		}
		missing[m.GetShard()] = true
	}
	var want []*toucanpb.Item
	itemsByShard := reference[r.Query.GetService()+"/"+r.Query.GetQuery()]
	for shard := range shards {
		if missing[shard] {
			continue
		}
		suffix := toucanspec.ItemSuffix(r.Query.GetService(), shard, r.Answer.GetSnapshot().GetIndex())
		for _, i := range itemsByShard[shard] {
			want = append(want, &toucanpb.Item{Id: i.GetId(), Score: i.GetScore(), Text: i.GetText() + suffix})
		}
	}
	slices.SortFunc(want, func(a, b *toucanpb.Item) int {
		return cmp.Or(cmp.Compare(b.GetScore(), a.GetScore()), cmp.Compare(a.GetId(), b.GetId()))
	})
	want = want[:min(len(want), int(r.Query.GetLimit()))]
	got := r.Answer.GetItems()
	for n := range min(len(want), len(got)) {
		w, g := want[n], got[n]
		if g.GetId() != w.GetId() || g.GetText() != w.GetText() || g.GetScore() != w.GetScore() {
			return fmt.Sprintf("item %d is %q %q, not %q %q; coverage %v", n, g.GetId(), g.GetText(), w.GetId(), w.GetText(), c)
		}
	}
	if len(got) != len(want) {
		return fmt.Sprintf("%d items instead of %d; coverage %v", len(got), len(want), c)
	}
	return ""
}

// checkAnswers checks all idempotent requests that were answered and returns
// their number.
func (b *testbed) checkAnswers(reference referenceItems, requests []request) int {
	b.t.Helper()
	n, wrongAnswers := 0, 0
	for _, r := range requests {
		if r.Answer == nil || b.isNonIdempotent(r.Query) {
			continue
		}
		n++
		if problem := reference.checkAnswer(r, b.shardCount(r.Query.GetService())); problem != "" {
			if wrongAnswers++; wrongAnswers <= 5 {
				b.t.Errorf("answer %s of %s to %s %q: snapshot %d: %s", r.Answer.GetRequest(), r.Host.Name,
					r.Query.GetService(), r.Query.GetQuery(), r.Answer.GetSnapshot().GetIndex(), problem)
			}
		}
	}
	require.Zero(b.t, wrongAnswers, "wrong answers among %d", n)
	return n
}

func (b *testbed) shardCount(service string) uint32 {
	for _, s := range b.Plan.Services {
		if string(s.Name) == service {
			return s.Shards
		}
	}
	return 0
}

func (b *testbed) isNonIdempotent(q *toucanpb.Query) bool {
	for _, s := range b.Plan.Services {
		for _, r := range s.Routes {
			if string(s.Name) == q.GetService() && r.Name == q.GetRoute() {
				return r.Once
			}
		}
	}
	return false
}

// outcome returns the outcome of the request as its caller sees it.
func (r request) outcome() toucanpb.Outcome {
	if r.Err == nil {
		return toucanpb.Outcome_OUTCOME_DONE
	}
	if f := toucanfault.As(r.Err); f != nil && f.Outcome == toucanpb.Outcome_OUTCOME_NOTRUN {
		return toucanpb.Outcome_OUTCOME_NOTRUN
	}
	return toucanpb.Outcome_OUTCOME_UNKNOWN
}

// runsByKey sums the started runs of each key over all replicas. The key "" has
// the runs of requests without a key.
func runsByKey(ledger map[string]toucanspec.Record) map[string]uint64 {
	out := map[string]uint64{}
	for _, r := range ledger {
		for key, n := range r.Runs {
			out[key] += n
		}
	}
	return out
}

// checkAtMostOnce compares the non-idempotent requests with the ledger, which
// must be final. A key runs at most once, a key whose requests all ended as not
// run has no run, a key with an answer has a run and no second answer, and each
// answer belongs to its request. The runs of requests without a key can't be told
// apart, so only their number is checked: each answer has a run, and each other run
// an unknown outcome.
func (b *testbed) checkAtMostOnce(requests []request, ledger map[string]toucanspec.Record) {
	b.t.Helper()
	ran := runsByKey(ledger)
	byKey := map[string][]request{}
	for _, r := range requests {
		if b.isNonIdempotent(r.Query) {
			byKey[r.Query.GetKey()] = append(byKey[r.Query.GetKey()], r)
		}
	}
	keyless := byKey[""]
	delete(byKey, "")
	unknownKeys, unknownRuns := 0, uint64(0)
	for key, all := range byKey {
		done, unknown := 0, 0
		for _, r := range all {
			switch r.outcome() {
			case toucanpb.Outcome_OUTCOME_DONE:
				done++
				b.checkAnswerOfRun(r)
			case toucanpb.Outcome_OUTCOME_UNKNOWN:
				unknown++
			}
		}
		n := ran[key]
		if done == 0 && unknown > 0 {
			unknownKeys++
			unknownRuns += n
		}
		switch {
		case n > 1:
			b.t.Errorf("key %s ran %d times: %s", key, n, describeRequests(all))
		case n == 1 && done == 0 && unknown == 0:
			b.t.Errorf("key %s ran, but all its requests ended as not run: %s", key, describeRequests(all))
		case done > 1 || done == 1 && n == 0:
			b.t.Errorf("key %s has %d answers and %d runs: %s", key, done, n, describeRequests(all))
		}
	}
	b.t.Logf("%d keys have an unknown outcome, %d of them ran", unknownKeys, unknownRuns)
	for key, n := range ran {
		if key != "" && byKey[key] == nil {
			b.t.Errorf("key %s ran %d times but was never requested", key, n)
		}
	}
	var done, unknown uint64
	for _, r := range keyless {
		switch r.outcome() {
		case toucanpb.Outcome_OUTCOME_DONE:
			done++
			b.checkAnswerOfRun(r)
		case toucanpb.Outcome_OUTCOME_UNKNOWN:
			unknown++
		}
	}
	if n := ran[""]; n < done || n > done+unknown {
		b.t.Errorf("%d runs without a key for %d answers and %d unknown outcomes of %d requests", n, done, unknown, len(keyless))
	}
	require.False(b.t, b.t.Failed(), "the ledger contradicts the callers' records")
}

// checkAnswerOfRun checks that the answer to a non-idempotent request holds only the
// item of a run of that request.
func (b *testbed) checkAnswerOfRun(r request) {
	items := r.Answer.GetItems()
	wantPrefix := r.Query.GetQuery() + " [service=" + r.Query.GetService()
	if len(items) != 1 || items[0].GetId() != "run-"+r.Query.GetKey() ||
		len(items[0].GetText()) < len(wantPrefix) || items[0].GetText()[:len(wantPrefix)] != wantPrefix {
		b.t.Errorf("answer to key %q, query %q, belongs to another request: %v", r.Query.GetKey(), r.Query.GetQuery(), items)
	}
}

// describeRequests lists the results of the requests for one key, ordered by
// start time.
func describeRequests(all []request) string {
	sort.Slice(all, func(i, j int) bool { return all[i].Started.Before(all[j].Started) })
	var out bytes.Buffer
	for _, r := range all {
		fmt.Fprintf(&out, "\n  %s %s..%s: %s %v", r.Host.Name, r.Started.Format("05.000"), r.Ended.Format("05.000"),
			toucanfault.OutcomeName(r.outcome()), r.Err)
	}
	return out.String()
}

// checkInFlightLimits checks that no target had more requests in flight than
// slots, or more than one while cold.
func (b *testbed) checkInFlightLimits(ledger map[string]toucanspec.Record) {
	b.t.Helper()
	for id, r := range ledger {
		require.Zero(b.t, r.Overloads, "requests in excess of the %d slots of %s", r.Slots, id)
		require.LessOrEqual(b.t, r.MaxInFlight, r.Slots, id)
		require.LessOrEqual(b.t, r.MaxInFlightCold, 1, "cold %s", id)
	}
}

// stopAllHosts stops all running hosts with SIGTERM and waits until no target
// has a request in flight, after which the ledger is final.
func (b *testbed) stopAllHosts() {
	b.t.Helper()
	for _, h := range b.Hosts {
		select {
		case <-h.Process.Exited():
		default:
			b.signal(h, syscall.SIGTERM)
		}
	}
	for _, h := range b.Hosts {
		// A host that the test killed has exit code -1.
		code, err := h.Process.Wait(b.ctx)
		require.NoError(b.t, err)
		if code > 0 {
			b.t.Errorf("%s exited with code %d", h.Name, code)
		}
	}
	b.eventually("no request in flight at a target", func() bool {
		for _, r := range b.ledger() {
			if r.InFlight > 0 {
				return false
			}
		}
		return true
	})
}

// countResults counts requests by result, for the log and for checks that the
// intended faults occurred. Answers count as "done" with full coverage and as
// "partial" without, other requests by outcome and code, such as "notrun/store".
// Missing shards are counted by reason, such as "missing/timeout".
func countResults(requests []request) map[string]int {
	out := map[string]int{}
	for _, r := range requests {
		result := "done"
		if f := toucanfault.As(r.Err); f != nil {
			result = toucanfault.OutcomeName(f.Outcome) + "/" + toucanfault.CodeName(f.Code)
		} else if c := r.Answer.GetCoverage(); c.GetAnswered() < c.GetAsked() {
			result = "partial"
			for _, m := range c.GetMissing() {
				out["missing/"+m.GetReason()]++
			}
		}
		out[result]++
	}
	return out
}
