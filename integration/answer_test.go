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

// Guards against callers that get a part of their response, or items of
// another request. Targets send crossed, late, truncated, endless and garbage
// answers, many callers ask different things at once with different limits,
// and a host is killed and another frozen under them.
func TestPromise06CompleteAnswerToOwnRequest(t *testing.T) {
	b := newTestbed(t)
	texts := []string{broadQuery}
	for word := range strings.FieldsSeq("football letters animals music drawing") {
		texts = append(texts, broadQuery+" "+word+" "+word+"s", "pen pal school letters music football "+word)
	}
	known := b.readReferenceItems(texts...)
	b.startWithFullCoverage()
	// Late and endless answers hold a slot up to the deadline, so a higher
	// share of them leaves nothing but overload to see.
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
	killed, frozen := b.host("sierra-2"), b.host("oriente-1")
	b.kill(killed)
	require.True(t, b.sleep(1500*time.Millisecond))
	b.suspend(frozen)
	require.True(t, b.sleep(1500*time.Millisecond))
	b.resume(frozen)
	b.restart(killed)
	require.True(t, b.sleep(2*time.Second))
	all := l.finish()
	n := b.checkAnswers(known, all)
	ids := map[string]bool{}
	for _, r := range all {
		if r.Answer != nil {
			require.False(t, ids[r.Answer.GetRequest()], "request id %s was given twice", r.Answer.GetRequest())
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
	ends := countResults(all)
	t.Logf("%d answers, %d bad answers of targets, ends %v", n, bad, ends)
	require.Greater(t, ends["done"], n/4, "the test must see full answers")
	require.Positive(t, bad, "the test must see bad answers of targets")
	require.Positive(t, ends["missing/invalid"], "the test must see rejected answers")
}
