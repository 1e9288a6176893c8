package toucangroup_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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

type bench struct {
	*testing.T
	rack   *toucangroup.Group
	client *http.Client
	at     toucangroup.Addresses
}

func start(t *testing.T, specs ...toucanspec.Replica) *bench {
	library, err := toucancorpus.Load(sample.Files)
	require.NoError(t, err)
	rack, err := toucangroup.New(specs, library, seed, nil)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	at, ended, err := rack.Start(ctx)
	require.NoError(t, err)
	transport := &http.Transport{}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		cancel()
		require.NoError(t, <-ended)
	})
	return &bench{t, rack, &http.Client{Transport: transport}, at}
}

type reply struct {
	status int
	header http.Header
	answer toucanpb.TargetAnswer
	err    error
}

// ask sends a leg to replica "a", which is shard 0 of the rescue service.
func (b *bench) ask(ctx context.Context, path, leg string) *reply {
	body := fmt.Sprintf(`{"leg":%q,"service":"rescue","shard":0,"route":"find","query":"radio working","limit":3,"index":"1"}`, leg)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.at.Replicas["a"]+path, strings.NewReader(body))
	require.NoError(b, err)
	q.Header.Set("Toucan-Key", leg)
	p, err := b.client.Do(q)
	if err != nil {
		return &reply{err: err}
	}
	defer p.Body.Close()
	r := &reply{status: p.StatusCode, header: p.Header}
	raw, err := io.ReadAll(p.Body)
	r.err = err
	if err == nil && p.StatusCode == http.StatusOK {
		r.err = json.Unmarshal(raw, &r.answer)
	}
	return r
}

// together sends n legs that are in progress at once.
func (b *bench) together(n int) map[int]int {
	statuses := make(chan int, n)
	for i := range n {
		go func() { statuses <- b.ask(b.Context(), "/search", fmt.Sprint("leg-", i)).status }()
	}
	count := map[int]int{}
	for range n {
		count[<-statuses]++
	}
	return count
}

func (b *bench) record() toucanspec.Record { return b.rack.Ledger().Replicas["a"] }

func (b *bench) update(body string) { require.NoError(b, b.rack.Update("a", []byte(body))) }

func replica(change func(*toucanspec.Replica)) toucanspec.Replica {
	s := toucanspec.Replica{ID: "a", Service: "rescue", Slots: 2}
	change(&s)
	return s
}

// Guards against items that don't show their snapshot, and results that
// change from run to run.
func TestItemsShowTheirIndexVersion(t *testing.T) {
	b := start(t, replica(func(s *toucanspec.Replica) { s.Indexes = []uint64{1, 2} }))
	first, second := b.ask(t.Context(), "/search", "x"), b.ask(t.Context(), "/search", "x")
	require.NoError(t, first.err)
	require.NotEmpty(t, first.answer.GetItems())
	for _, i := range first.answer.GetItems() {
		require.Contains(t, i.GetText(), toucanspec.ItemSuffix("rescue", 0, 1))
	}
	require.Equal(t, first.answer.GetItems()[0].GetId(), second.answer.GetItems()[0].GetId())
	require.Equal(t, "1,2", first.header.Get("Toucan-Versions"))
	b.update(`{"indexes":[2,3]}`)
	require.Equal(t, http.StatusConflict, b.ask(t.Context(), "/search", "x").status)
	b.update(`{"every":"1ns"}`)
	require.NotEqual(t, "2,3", b.ask(t.Context(), "/search", "x").header.Get("Toucan-Versions"))
}

// Guards against a ledger that misses work above the slots: the tests of the
// hosts' limits rely on it.
func TestLedgerCountsOverloads(t *testing.T) {
	b := start(t, replica(func(s *toucanspec.Replica) {
		s.RejectExcess, s.Work.Median = true, toucanspec.Duration(100*time.Millisecond)
	}))
	require.Equal(t, map[int]int{200: 2, 503: 4}, b.together(6))
	r := b.record()
	require.GreaterOrEqual(t, r.MaxInFlight, 3)
	require.Equal(t, []uint64{6, 2, 4, 4}, []uint64{r.Requests, r.Done, r.Refused, r.Overloads})
	require.Zero(t, r.InFlight)
	b.update(`{"shed":false,"work":{"median":"50ms"}}`)
	began := time.Now()
	require.Equal(t, map[int]int{200: 6}, b.together(6))
	require.Greater(t, time.Since(began), time.Second, "above its slots a target degrades steeply")
	require.Equal(t, uint64(8), b.record().Overloads)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	b.update(`{"work":{"median":"1h"}}`)
	require.Error(t, b.ask(ctx, "/search", "gone").err)
	require.Eventually(t, func() bool { return b.record().InFlight == 0 }, 5*time.Second, time.Millisecond)
	require.Equal(t, uint64(1), b.record().Cancelled)
}

// Guards against a stand-in that bears any load in cold start, which would
// hide a host without slow start.
func TestColdStartCrashesUnderConcurrentLegs(t *testing.T) {
	b := start(t, replica(func(s *toucanspec.Replica) {
		s.ColdStart.Count, s.Work.Median = 2, toucanspec.Duration(100*time.Millisecond)
	}))
	cold := b.ask(t.Context(), "/search", "1")
	require.Equal(t, "cold", cold.header.Get("Toucan-State"))
	require.Equal(t, "ready", b.ask(t.Context(), "/search", "2").header.Get("Toucan-State"))
	require.Equal(t, map[int]int{200: 2}, b.together(2))
	require.Equal(t, 1, b.record().MaxInFlightCold)
	boot := cold.header.Get("Toucan-Boot")
	b.update(`{"chill":true,"warm":{"silent":true}}`)
	began := time.Now()
	require.Equal(t, map[int]int{500: 2}, b.together(2))
	require.GreaterOrEqual(t, time.Since(began), 1900*time.Millisecond)
	require.Equal(t, uint64(1), b.record().Crashes)
	require.Equal(t, 2, b.record().MaxInFlightCold)
	again := b.ask(t.Context(), "/search", "3")
	require.Equal(t, "ready", again.header.Get("Toucan-State"))
	require.Equal(t, boot, again.header.Get("Toucan-Boot"))
	b.update(`{"restart":true}`)
	require.NotEqual(t, boot, b.ask(t.Context(), "/search", "4").header.Get("Toucan-Boot"))
}

// Guards against a run that is counted late or not at all: the proof that a
// key runs at most once rests on this count.
func TestRunsAreCountedByKey(t *testing.T) {
	b := start(t, replica(func(s *toucanspec.Replica) { s.VersionFaults.Fail = 1 }))
	require.Equal(t, 500, b.ask(t.Context(), "/run", "pair-1").status)
	b.update(`{"bad":{"fail":0},"work":{"median":"1h"}}`)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.Error(t, b.ask(ctx, "/run", "pair-1").err)
	b.update(`{"refuse":true,"draining":true}`)
	refused := b.ask(t.Context(), "/run", "pair-2")
	require.Equal(t, "1", refused.header.Get("Toucan-Refused"))
	require.Equal(t, "draining", refused.header.Get("Toucan-State"))
	r := b.record()
	require.Equal(t, map[string]uint64{"pair-1": 2}, r.Runs)
	require.Equal(t, uint64(1), r.AfterDrain.Count)
	require.GreaterOrEqual(t, r.AfterDrain.First, *r.DrainStartedAt)
}

// Guards against fault switches without effect.
func TestBadResponses(t *testing.T) {
	b := start(t, replica(func(*toucanspec.Replica) {}))
	require.NoError(t, b.ask(t.Context(), "/search", "first").err)
	b.update(`{"answers":{"crossed":1}}`)
	crossed := b.ask(t.Context(), "/search", "second")
	require.Equal(t, "first", crossed.answer.GetLeg())
	for _, kind := range []string{"garbage", "truncated"} {
		b.update(`{"answers":{"crossed":0,"garbage":0,"truncated":0}}`)
		b.update(`{"answers":{"` + kind + `":1}}`)
		require.Error(t, b.ask(t.Context(), "/search", "x").err, kind)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	b.update(`{"answers":{"garbage":0,"truncated":0,"endless":1}}`)
	require.ErrorIs(t, b.ask(ctx, "/search", "x").err, context.DeadlineExceeded)
	require.Equal(t, uint64(4), b.record().BadResponses)
	b.update(`{"answers":{"endless":0},"bad":{"fail":1,"route":"other"}}`)
	require.Equal(t, 200, b.ask(t.Context(), "/search", "x").status)
	b.update(`{"bad":{"route":"find"}}`)
	require.Equal(t, 500, b.ask(t.Context(), "/search", "x").status)
}

// Guards against connections above the target's limit staying unseen.
func TestConnectionLimit(t *testing.T) {
	b := start(t, replica(func(s *toucanspec.Replica) {
		s.MaxConnections, s.ConnectCost = 1, toucanspec.Duration(30*time.Millisecond)
	}))
	began := time.Now()
	require.NoError(t, b.ask(t.Context(), "/search", "x").err)
	require.GreaterOrEqual(t, time.Since(began), 30*time.Millisecond)
	c, err := net.Dial("tcp", b.at.Replicas["a"])
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err)
	r := b.record()
	require.Equal(t, []uint64{1, 1}, []uint64{r.AcceptedConnections, r.RejectedConnections})
	require.Equal(t, 1, r.MaxOpenConnections)
}

// Guards against health that is always true to the replica's state.
func TestHealthCanLagAndBeOverridden(t *testing.T) {
	b := start(t, replica(func(s *toucanspec.Replica) { s.Health.Lag = toucanspec.Duration(time.Hour) }))
	health := func() string {
		p, err := b.client.Get("http://" + b.at.Replicas["a"] + "/health")
		require.NoError(t, err)
		defer p.Body.Close()
		return p.Header.Get("Toucan-State")
	}
	b.update(`{"draining":true}`)
	require.Equal(t, "ready", health())
	b.update(`{"health":{"lag":"0s"}}`)
	require.Equal(t, "draining", health())
	b.update(`{"health":{"state":"ready"}}`)
	require.Equal(t, "ready", health())
}
