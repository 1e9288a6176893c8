package toucangroup_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanspec"
	"toucanstair.example/toucantarget/sample"
	"toucanstair.example/toucantarget/toucancorpus"
	"toucanstair.example/toucantarget/toucangroup"
)

const seed = 7

type fixture struct {
	*testing.T
	group     *toucangroup.Group
	client    *http.Client
	addresses toucangroup.Addresses
}

func start(t *testing.T, specs ...toucanspec.Replica) *fixture {
	corpus, err := toucancorpus.Load(sample.Files)
	require.NoError(t, err)
	group, err := toucangroup.New(specs, corpus, seed, nil)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	addresses, ended, err := group.Start(ctx)
	require.NoError(t, err)
	transport := &http.Transport{}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		cancel()
		require.NoError(t, <-ended)
	})
	return &fixture{t, group, &http.Client{Transport: transport}, addresses}
}

type result struct {
	status int
	header http.Header
	answer toucanpb.TargetAnswer
	err    error
}

// send sends a leg to replica "a", which is shard 0 of the rescue service.
func (f *fixture) send(ctx context.Context, path, leg string) *result {
	body := fmt.Sprintf(`{"leg":%q,"service":"rescue","shard":0,"route":"find","query":"radio working","limit":3,"index":"1"}`, leg)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.addresses.Replicas["a"]+path, strings.NewReader(body))
	require.NoError(f, err)
	request.Header.Set("Toucan-Key", leg)
	response, err := f.client.Do(request)
	if err != nil {
		return &result{err: err}
	}
	defer response.Body.Close()
	r := &result{status: response.StatusCode, header: response.Header}
	raw, err := io.ReadAll(response.Body)
	r.err = err
	if err == nil && response.StatusCode == http.StatusOK {
		r.err = json.Unmarshal(raw, &r.answer)
	}
	return r
}

// sendConcurrently sends n legs at once and counts the responses by status. A leg
// without a response within 30 s counts as status 0.
func (f *fixture) sendConcurrently(n int) map[int]int {
	ctx, cancel := context.WithTimeout(f.Context(), 30*time.Second)
	defer cancel()
	statuses := make(chan int, n)
	for i := range n {
		go func() { statuses <- f.send(ctx, "/search", fmt.Sprint("leg-", i)).status }()
	}
	count := map[int]int{}
	for range n {
		count[<-statuses]++
	}
	return count
}

// holdLegs sends n legs at once and waits until all of them are in flight. The
// returned function cancels them and waits until none is in flight.
func (f *fixture) holdLegs(n int) (release func()) {
	ctx, cancel := context.WithCancel(f.Context())
	before := f.record().InFlight
	var held sync.WaitGroup
	for i := range n {
		held.Go(func() { f.send(ctx, "/search", fmt.Sprint("held-", i)) })
	}
	require.Eventually(f, func() bool { return f.record().InFlight == before+n }, 10*time.Second, time.Millisecond)
	return func() {
		cancel()
		held.Wait()
		require.Eventually(f, func() bool { return f.record().InFlight == before }, 10*time.Second, time.Millisecond)
	}
}

func (f *fixture) record() toucanspec.Record { return f.group.Ledger().Replicas["a"] }

func (f *fixture) update(body string) { require.NoError(f, f.group.Update("a", []byte(body))) }

func replica(change func(*toucanspec.Replica)) toucanspec.Replica {
	s := toucanspec.Replica{ID: "a", Service: "rescue", Slots: 2}
	change(&s)
	return s
}

// Guards against items that don't show their index version, and against results
// that differ between identical queries.
func TestItemsShowTheirIndexVersion(t *testing.T) {
	f := start(t, replica(func(s *toucanspec.Replica) { s.Indexes = []uint64{1, 2} }))
	first, second := f.send(t.Context(), "/search", "x"), f.send(t.Context(), "/search", "x")
	require.NoError(t, first.err)
	require.NotEmpty(t, first.answer.GetItems())
	for _, i := range first.answer.GetItems() {
		require.Contains(t, i.GetText(), toucanspec.ItemSuffix("rescue", 0, 1))
	}
	require.Equal(t, first.answer.GetItems()[0].GetId(), second.answer.GetItems()[0].GetId())
	require.Equal(t, "1,2", first.header.Get("Toucan-Versions"))
	f.update(`{"indexes":[2,3]}`)
	require.Equal(t, http.StatusConflict, f.send(t.Context(), "/search", "x").status)
	f.update(`{"every":"1ns"}`)
	require.NotEqual(t, "2,3", f.send(t.Context(), "/search", "x").header.Get("Toucan-Versions"))
}

// Guards against a ledger that doesn't count legs above the slots. The tests of
// the hosts' concurrency limits rely on these counts. Legs that take an hour keep
// the slots busy, so the counts do not depend on the speed of the machine.
func TestLedgerCountsOverloads(t *testing.T) {
	f := start(t, replica(func(s *toucanspec.Replica) {
		s.RejectExcess, s.Work.Median = true, toucanspec.Duration(time.Hour)
	}))
	release := f.holdLegs(2)
	require.Equal(t, map[int]int{503: 4}, f.sendConcurrently(4))
	r := f.record()
	require.GreaterOrEqual(t, r.MaxInFlight, 3)
	require.Equal(t, []uint64{6, 0, 4, 4}, []uint64{r.Requests, r.Done, r.Refused, r.Overloads})
	require.Equal(t, 2, r.InFlight)
	release()
	require.Equal(t, uint64(2), f.record().Cancelled)
	f.update(`{"work":{"median":"100ms"}}`)
	require.Equal(t, map[int]int{200: 2}, f.sendConcurrently(2))
	r = f.record()
	require.Equal(t, []uint64{8, 2, 4, 4}, []uint64{r.Requests, r.Done, r.Refused, r.Overloads})
	require.Zero(t, r.InFlight)

	f.update(`{"shed":false,"work":{"median":"1h"}}`)
	release = f.holdLegs(5) // three of them above the slots
	f.update(`{"work":{"median":"50ms"}}`)
	began := time.Now()
	require.Equal(t, map[int]int{200: 3}, f.sendConcurrently(3))
	require.Greater(t, time.Since(began), time.Second, "above its slots a target degrades steeply")
	release()
	r = f.record()
	require.Equal(t, []uint64{16, 5, 4, 10, 7}, []uint64{r.Requests, r.Done, r.Refused, r.Overloads, r.Cancelled})
}

// Guards against a simulated target that withstands any load in cold start: the
// tests would then pass with hosts that have no slow start.
func TestColdStartCrashesUnderConcurrentLegs(t *testing.T) {
	f := start(t, replica(func(s *toucanspec.Replica) {
		s.ColdStart.Count, s.Work.Median = 2, toucanspec.Duration(100*time.Millisecond)
	}))
	cold := f.send(t.Context(), "/search", "1")
	require.Equal(t, "cold", cold.header.Get("Toucan-State"))
	require.Equal(t, "ready", f.send(t.Context(), "/search", "2").header.Get("Toucan-State"))
	require.Equal(t, map[int]int{200: 2}, f.sendConcurrently(2))
	require.Equal(t, 1, f.record().MaxInFlightCold)
	boot := cold.header.Get("Toucan-Boot")
	f.update(`{"chill":true,"warm":{"silent":true}}`)
	began := time.Now()
	require.Equal(t, map[int]int{500: 2}, f.sendConcurrently(2))
	require.GreaterOrEqual(t, time.Since(began), 1900*time.Millisecond)
	require.Equal(t, uint64(1), f.record().Crashes)
	require.Equal(t, 2, f.record().MaxInFlightCold)
	again := f.send(t.Context(), "/search", "3")
	require.Equal(t, "ready", again.header.Get("Toucan-State"))
	require.Equal(t, boot, again.header.Get("Toucan-Boot"))
	f.update(`{"restart":true}`)
	require.NotEqual(t, boot, f.send(t.Context(), "/search", "4").header.Get("Toucan-Boot"))
}

// Guards against runs that are counted late or not at all. The tests that a key
// runs at most once rely on this count.
func TestRunsAreCountedByKey(t *testing.T) {
	f := start(t, replica(func(s *toucanspec.Replica) { s.VersionFaults.Fail = 1 }))
	require.Equal(t, 500, f.send(t.Context(), "/run", "pair-1").status)
	f.update(`{"bad":{"fail":0},"work":{"median":"1h"}}`)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.Error(t, f.send(ctx, "/run", "pair-1").err)
	f.update(`{"refuse":true,"draining":true}`)
	refused := f.send(t.Context(), "/run", "pair-2")
	require.Equal(t, "1", refused.header.Get("Toucan-Refused"))
	require.Equal(t, "draining", refused.header.Get("Toucan-State"))
	r := f.record()
	require.Equal(t, map[string]uint64{"pair-1": 2}, r.Runs)
	require.Equal(t, uint64(1), r.AfterDrain.Count)
	require.GreaterOrEqual(t, r.AfterDrain.First, *r.DrainStartedAt)
}

// Guards against bad responses and faults of one route that have no effect when they
// are switched on, which would let the tests of the hosts pass without the fault.
func TestBadResponses(t *testing.T) {
	f := start(t, replica(func(*toucanspec.Replica) {}))
	require.NoError(t, f.send(t.Context(), "/search", "first").err)
	f.update(`{"answers":{"crossed":1}}`)
	crossed := f.send(t.Context(), "/search", "second")
	require.Equal(t, "first", crossed.answer.GetLeg())
	for _, kind := range []string{"garbage", "truncated"} {
		f.update(`{"answers":{"crossed":0,"garbage":0,"truncated":0}}`)
		f.update(`{"answers":{"` + kind + `":1}}`)
		require.Error(t, f.send(t.Context(), "/search", "x").err, kind)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	f.update(`{"answers":{"garbage":0,"truncated":0,"endless":1}}`)
	require.ErrorIs(t, f.send(ctx, "/search", "x").err, context.DeadlineExceeded)
	require.Equal(t, uint64(4), f.record().BadResponses)
	f.update(`{"answers":{"endless":0},"bad":{"fail":1,"route":"other"}}`)
	require.Equal(t, 200, f.send(t.Context(), "/search", "x").status)
	f.update(`{"bad":{"route":"find"}}`)
	require.Equal(t, 500, f.send(t.Context(), "/search", "x").status)
}

// Guards against connections above the target's limit that are accepted or not
// counted, and against a connect cost that has no effect.
func TestConnectionLimit(t *testing.T) {
	f := start(t, replica(func(s *toucanspec.Replica) {
		s.MaxConnections, s.ConnectCost = 1, toucanspec.Duration(30*time.Millisecond)
	}))
	began := time.Now()
	require.NoError(t, f.send(t.Context(), "/search", "x").err)
	require.GreaterOrEqual(t, time.Since(began), 30*time.Millisecond)
	c, err := net.Dial("tcp", f.addresses.Replicas["a"])
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err)
	r := f.record()
	require.Equal(t, []uint64{1, 1}, []uint64{r.AcceptedConnections, r.RejectedConnections})
	require.Equal(t, 1, r.MaxOpenConnections)
}

// Guards against a health endpoint that always reports the true state: hosts
// must cope with one that lags or is wrong.
func TestHealthCanLagAndBeOverridden(t *testing.T) {
	f := start(t, replica(func(s *toucanspec.Replica) { s.Health.Lag = toucanspec.Duration(time.Hour) }))
	health := func() string {
		p, err := f.client.Get("http://" + f.addresses.Replicas["a"] + "/health")
		require.NoError(t, err)
		defer p.Body.Close()
		return p.Header.Get("Toucan-State")
	}
	f.update(`{"draining":true}`)
	require.Equal(t, "ready", health())
	f.update(`{"health":{"lag":"0s"}}`)
	require.Equal(t, "draining", health())
	f.update(`{"health":{"state":"ready"}}`)
	require.Equal(t, "ready", health())
}
