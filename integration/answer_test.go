package integration

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucandeploy"
	"toucanstair.example/core/toucanpb"
)

// Guards against callers that get an incomplete answer or items of another
// request. Targets send late, truncated, endless and garbage answers and answers
// to other requests. Concurrent requests have different queries and limits, and
// one host is killed and another suspended under load.
func TestPromise06CompleteAnswerToOwnRequest(t *testing.T) {
	b := newTestbed(t)
	texts := []string{broadQuery}
	for word := range strings.FieldsSeq("football letters animals music drawing") {
		texts = append(texts, broadQuery+" "+word+" "+word+"s", "pen pal school letters music football "+word)
	}
	reference := b.readReferenceItems(texts...)
	b.startWithFullCoverage()
	// Late and endless answers hold a slot up to the deadline, so with a higher
	// share of them almost all requests would end as overload.
	b.changeBehavior("*", map[string]any{"answers": map[string]any{
		"crossed": 0.05, "late": 0.003, "delay": "300ms", "truncated": 0.02, "garbage": 0.02, "endless": 0.003,
	}})
	next := b.searchRequests(b.Hosts, texts...)
	serial := 0
	l := b.startLoad(250, func(r *rand.Rand) (*toucandeploy.Host, *toucanpb.Query) {
		h, q := next(r)
		q.Limit, q.Timeout = []uint32{1, 3, 20, maxItems}[r.IntN(4)], "500ms"
		serial++
		if s := b.Plan.Services[0]; serial%10 == 0 {
			q = &toucanpb.Query{
				Service: string(s.Name), Route: s.Routes[1].Name, Query: fmt.Sprintf("request number %d,", serial),
				Limit: 1, Timeout: "1s", Key: fmt.Sprintf("own-%d", serial),
			}
		}
		return h, q
	})
	require.True(t, b.sleep(2*time.Second))
	killed, suspended := b.host("sierra-2"), b.host("oriente-1")
	b.kill(killed)
	require.True(t, b.sleep(1500*time.Millisecond))
	b.suspend(suspended)
	require.True(t, b.sleep(1500*time.Millisecond))
	b.resume(suspended)
	b.restart(killed)
	require.True(t, b.sleep(2*time.Second))
	all := l.finish()
	n := b.checkAnswers(reference, all)
	ids := map[string]bool{}
	for _, r := range all {
		if r.Answer != nil {
			require.False(t, ids[r.Answer.GetRequest()], "request id %s was assigned twice", r.Answer.GetRequest())
			ids[r.Answer.GetRequest()] = true
		}
	}
	b.stopAllHosts()
	ledger := b.ledger()
	b.checkAtMostOnce(all, ledger)
	var bad uint64
	for _, r := range ledger {
		bad += r.BadResponses
	}
	results := countResults(all)
	t.Logf("%d answers, %d bad responses of targets, results %v", n, bad, results)
	require.Greater(t, results["done"], n/4, "too few answers with full coverage")
	require.Positive(t, bad, "no target sent a bad response")
	require.Positive(t, results["missing/invalid"], "no response of a target was rejected as invalid")
}
