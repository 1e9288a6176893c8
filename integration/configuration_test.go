package integration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucandeploy"
	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanhead"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanstorage"
)

const (
	// propagationLimit is the bound of promise 11, counted from the end of the
	// command, or from when a host can be reached again.
	propagationLimit     = 16 * time.Second
	revisionPollInterval = 50 * time.Millisecond
	revisionPollTimeout  = time.Second
	exitConflict         = 3 // toucanctl's exit code after a lost race
)

// revisionTracker records the revisions that each host process shows, on the state page
// and in its log.
type revisionTracker struct {
	testbed *testbed
	client  *http.Client
	newest  uint64 // accepted revision; of the test's own goroutine

	mu         sync.Mutex
	restarts   map[string]int    // processes started before the present one, by host
	revisions  map[string]uint64 // last revision of the present process, by host
	changeIDs  map[uint64]string // change id by revision
	violations []string
}

// trackRevisions starts to poll all hosts until the end of the test.
func (b *testbed) trackRevisions() *revisionTracker {
	t := &revisionTracker{
		testbed: b, client: &http.Client{Timeout: revisionPollTimeout}, newest: 1,
		restarts: map[string]int{}, revisions: map[string]uint64{}, changeIDs: map[uint64]string{},
	}
	ended := make(chan struct{})
	var polls sync.WaitGroup
	for _, h := range b.Hosts {
		name, ops := h.Name, h.Ops // a restart writes into h
		polls.Go(func() {
			for b.sleepUnlessClosed(ended, revisionPollInterval) {
				t.poll(name, ops)
			}
		})
	}
	b.t.Cleanup(func() {
		close(ended)
		polls.Wait()
		t.client.CloseIdleConnections()
	})
	return t
}

func (t *revisionTracker) poll(name, ops string) {
	t.mu.Lock()
	life := t.restarts[name]
	t.mu.Unlock()
	body, err := toucandeploy.Get(t.testbed.ctx, t.client, ops, "/state")
	if err != nil {
		return
	}
	var s struct {
		Configuration struct {
			Revision uint64 `json:"revision"`
			Change   string `json:"change"`
		} `json:"configuration"`
	}
	if json.Unmarshal(body, &s) != nil {
		return
	}
	c := s.Configuration
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.restarts[name] != life {
		return // the page may be that of the process before
	}
	if c.Revision < t.revisions[name] {
		t.violations = append(t.violations, fmt.Sprintf("%s fell from revision %d to %d", name, t.revisions[name], c.Revision))
	}
	t.revisions[name] = c.Revision
	if known := t.changeIDs[c.Revision]; known != "" && known != c.Change {
		t.violations = append(t.violations, fmt.Sprintf("revision %d is change %s and, at %s, %s", c.Revision, known, name, c.Change))
	}
	t.changeIDs[c.Revision] = c.Change
}

func (t *revisionTracker) revisionAt(h *toucandeploy.Host) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revisions[h.Name]
}

// requireInEffect requires the newest revision at all given hosts within the bound
// from a moment on.
func (t *revisionTracker) requireInEffect(since time.Time, hosts ...*toucandeploy.Host) {
	t.testbed.t.Helper()
	for _, h := range hosts {
		for t.revisionAt(h) < t.newest {
			require.Less(t.testbed.t, time.Since(since), propagationLimit,
				"%s is at revision %d, not at %d; its log:\n%s", h.Name, t.revisionAt(h), t.newest, tail(h.Process.Stderr(), 3000))
			require.True(t.testbed.t, t.testbed.sleep(pollInterval))
		}
	}
	t.testbed.t.Logf("revision %d in effect on %d hosts after %v", t.newest, len(hosts), time.Since(since))
}

// restart kills a host and starts it again.
func (t *revisionTracker) restart(h *toucandeploy.Host) {
	t.testbed.t.Helper()
	t.testbed.kill(h)
	t.checkLoggedRevisions(h, 0)
	t.mu.Lock()
	t.restarts[h.Name]++
	t.revisions[h.Name] = 0
	t.mu.Unlock()
	t.testbed.restart(h)
}

// checkLoggedRevisions requires that the log of a host's process shows rising revisions
// only, the first at least the given one, and returns the first.
func (t *revisionTracker) checkLoggedRevisions(h *toucandeploy.Host, least uint64) uint64 {
	t.testbed.t.Helper()
	var first, last uint64
	for line := range strings.Lines(h.Process.Stderr()) {
		var entry struct {
			Message  string `json:"msg"`
			Revision uint64 `json:"revision"`
		}
		if json.Unmarshal([]byte(line), &entry) != nil || entry.Message != "configuration in effect" {
			continue
		}
		require.Greater(t.testbed.t, entry.Revision, last, "%s: %s", h.Name, line)
		last = entry.Revision
		if first == 0 {
			first = last
			require.GreaterOrEqual(t.testbed.t, first, least, "%s put an old revision into effect after its start: %s", h.Name, line)
		}
	}
	return first
}

// checkAll requires that no revision fell at any host.
func (t *revisionTracker) checkAll() {
	t.testbed.t.Helper()
	for _, h := range t.testbed.Hosts {
		t.checkLoggedRevisions(h, 0)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	require.Empty(t.testbed.t, t.violations)
}

// operator is a person with a copy of the folder.
type operator struct {
	testbed *testbed
	name    string
	dir     string
}

func (b *testbed) operator(name string) *operator {
	b.t.Helper()
	o := &operator{b, name, b.t.TempDir()}
	require.NoError(b.t, os.CopyFS(o.dir, os.DirFS(b.Plan.Dir)))
	return o
}

// edit changes a value that no request depends on.
func (o *operator) edit(age int) {
	o.testbed.t.Helper()
	text := fmt.Sprintf("services:\n  - name: %s\n    age: %d\n", o.testbed.Plan.Services[0].Name, age)
	require.NoError(o.testbed.t, os.WriteFile(filepath.Join(o.dir, "40-edit.yaml"), []byte(text), 0o600))
}

// applyResult is the end of an apply.
type applyResult struct {
	Result   string `json:"result"`
	Revision uint64 `json:"revision"`
	Author   string `json:"author"`
	Error    string `json:"error"`

	code int
	at   time.Time
}

// apply publishes the operator's folder.
func (o *operator) apply(args ...string) (applyResult, error) {
	b := o.testbed
	args = append([]string{"apply", o.dir, "--store", b.Store.Address, "--author", o.name, "-o", "json"}, args...)
	cmd := exec.CommandContext(b.ctx, filepath.Join(b.Plan.Bin, "toucanctl"), args...)
	var stdout bytes.Buffer
	cmd.Stdout = &stdout
	err := cmd.Run()
	out := applyResult{at: time.Now()}
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return out, err
	}
	out.code = cmd.ProcessState.ExitCode()
	return out, json.NewDecoder(&stdout).Decode(&out)
}

// publishEdit publishes an edit that must be accepted, and returns when it was.
func (t *revisionTracker) publishEdit(o *operator, age int) time.Time {
	t.testbed.t.Helper()
	o.edit(age)
	out, err := o.apply()
	require.NoError(t.testbed.t, err)
	require.Zero(t.testbed.t, out.code, "%+v", out)
	require.Equal(t.testbed.t, t.newest+1, out.Revision)
	t.newest = out.Revision
	return out.at
}

// addSeeds makes the next starts of a host name all others with --seeds.
func (b *testbed) addSeeds(h *toucandeploy.Host) {
	inner := b.Plan.HostArgs
	b.Plan.HostArgs = func(started *toucandeploy.Host) []string {
		args := inner(started)
		if started != h {
			return args
		}
		var others []string
		for _, o := range b.Hosts {
			if o != h {
				others = append(others, o.Advertise)
			}
		}
		return append(args, "--seeds", strings.Join(others, ","))
	}
}

// Guards against two operators who both believe that their change is in
// effect, and against hosts that disagree about who won: both publish on the
// same revision while the store is slow, and a host is killed meanwhile.
func TestPromise11ConcurrentApply(t *testing.T) {
	b := newTestbed(t)
	b.startWithFullCoverage()
	trail := b.trackRevisions()
	head := &toucanhead.Publisher{Store: toucanstorage.New([]string{b.Store.Address}, nil)}
	operators := []*operator{b.operator("alma"), b.operator("bruno")}
	for round := range 4 {
		b.storeFault(map[string]any{"delay": "100ms"})
		ends := make([]applyResult, len(operators))
		errs := make([]error, len(operators))
		var racing sync.WaitGroup
		for i, o := range operators {
			o.edit(100*(i+1) + round)
			racing.Go(func() { ends[i], errs[i] = o.apply("--on", fmt.Sprint(trail.newest)) })
		}
		if round%2 == 1 {
			trail.restart(b.Hosts[b.random.IntN(len(b.Hosts))])
		}
		racing.Wait()
		b.storeFault(map[string]any{})
		require.NoError(t, errors.Join(errs...))
		winner, loser := 0, 1
		if ends[winner].code != 0 {
			winner, loser = loser, winner
		}
		what := fmt.Sprintf("round %d: %+v", round, ends)
		t.Log(what)
		require.Zero(t, ends[winner].code, what)
		require.Equal(t, trail.newest+1, ends[winner].Revision, what)
		require.Equal(t, exitConflict, ends[loser].code, what)
		named := ends[loser].Revision == ends[winner].Revision && ends[loser].Author == operators[winner].name ||
			strings.Contains(ends[loser].Error, fmt.Sprintf("revision %d by %s", ends[winner].Revision, operators[winner].name))
		require.True(t, named, "the loser must be told the winner's revision: %s", what)
		trail.newest = ends[winner].Revision
		now, err := head.Current(b.ctx)
		require.NoError(t, err)
		require.Equal(t, trail.newest, now.Head.GetRevision())
		require.Equal(t, operators[winner].name, now.Head.GetAuthor())
		trail.requireInEffect(ends[winner].at, b.Hosts...)
		trail.mu.Lock()
		change := trail.changeIDs[trail.newest]
		trail.mu.Unlock()
		require.Equal(t, toucanhead.ChangeID(now.Head), change)
	}
	trail.checkAll()
}

// Guards against a change that took effect and is reported as failed, or that
// stays with the few hosts that read it: its replies are lost; then two zones
// are cut off from the store, the store goes down as soon as one host of the
// third zone has the change, and a host is replaced while it is down.
func TestPromise11LostReplyAndStoreDown(t *testing.T) {
	b := newTestbed(t)
	b.startWithFullCoverage()
	trail := b.trackRevisions()
	o := b.operator("alma")
	// The reply to the new blob, and to the head.
	b.storeFault(map[string]any{"lose": 2})
	trail.requireInEffect(trail.publishEdit(o, 100), b.Hosts...)
	left, err := b.Get(b.ctx, b.Store.Admin, "/admin/fault")
	require.NoError(t, err)
	require.NotContains(t, string(left), "lose", "both replies must have been lost")

	reader := b.Plan.Zones[b.random.IntN(len(b.Plan.Zones))].Name
	var cut []*toucandeploy.Host
	for _, z := range b.Plan.Zones {
		if z.Name != reader {
			b.partitionStore(z.Name)
			cut = append(cut, b.hostsOf(z.Name)...)
		}
	}
	at := trail.publishEdit(o, 101)
	b.eventually("the change at one host of "+string(reader), func() bool {
		for _, h := range b.hostsOf(reader) {
			if trail.revisionAt(h) == trail.newest {
				return true
			}
		}
		return false
	})
	b.storeFault(map[string]any{"down": "refuse"})
	trail.requireInEffect(at, b.Hosts...)

	replaced := cut[b.random.IntN(len(cut))]
	b.addSeeds(replaced)
	began := time.Now()
	trail.restart(replaced)
	trail.requireInEffect(began, replaced)
	trail.checkLoggedRevisions(replaced, trail.newest)
	b.storeFault(map[string]any{})
	for _, z := range b.Plan.Zones {
		b.healStore(z.Name)
	}
	trail.requireInEffect(trail.publishEdit(o, 102), b.Hosts...)
	b.waitForReady(replaced)
	trail.checkAll()
}

// Guards against a zone that stays behind because it can't read the store, or
// that brings an old revision back when it returns: first the zone is cut off
// from the store only, then from the other zones too while changes go on.
func TestPromise11ZoneCutFromStore(t *testing.T) {
	b := newTestbed(t)
	b.startWithFullCoverage()
	trail := b.trackRevisions()
	o := b.operator("alma")
	zone := b.Plan.Zones[b.random.IntN(len(b.Plan.Zones))].Name
	b.partitionStore(zone)
	trail.requireInEffect(trail.publishEdit(o, 100), b.Hosts...)

	b.partitionZone(zone)
	var reached []*toucandeploy.Host
	for _, z := range b.Plan.Zones {
		if z.Name != zone {
			reached = append(reached, b.hostsOf(z.Name)...)
		}
	}
	before := trail.newest
	for age := range 3 {
		trail.requireInEffect(trail.publishEdit(o, 200+age), reached...)
	}
	for _, h := range b.hostsOf(zone) {
		require.Equal(t, before, trail.revisionAt(h), "%s must be cut off", h.Name)
	}
	healed := time.Now()
	b.healZone(zone)
	trail.requireInEffect(healed, b.Hosts...)
	b.healStore(zone)
	trail.requireInEffect(trail.publishEdit(o, 300), b.Hosts...)
	trail.checkAll()
}

// Guards against a host that starts with what an outdated store serves: reads
// of the store are of the time before the newest change while a host is
// replaced, once with --seeds and once without.
func TestPromise11FreshHostAtStaleStore(t *testing.T) {
	b := newTestbed(t)
	b.startWithFullCoverage()
	trail := b.trackRevisions()
	o := b.operator("alma")
	head := &toucanhead.Publisher{Store: toucanstorage.New([]string{b.Store.Address}, nil)}
	order := b.random.Perm(len(b.Hosts))
	for i, seeded := range []bool{true, false} {
		h := b.Hosts[order[i]]
		if seeded {
			b.addSeeds(h)
		}
		// The reads lag by a constant time, so the old state is served for as
		// long as the store stays unchanged now.
		began := time.Now()
		require.True(t, b.sleep(4*time.Second))
		trail.requireInEffect(trail.publishEdit(o, 100+i), b.Hosts...)
		b.storeFault(map[string]any{"stale": time.Since(began).String()})
		started := time.Now()
		trail.restart(h)
		trail.requireInEffect(started, h)
		now, err := head.Current(b.ctx)
		require.NoError(t, err)
		first := trail.checkLoggedRevisions(h, trail.newest)
		t.Logf("%s with seeds %v began at revision %d, the store served %d", h.Name, seeded, first, now.Head.GetRevision())
		require.Less(t, now.Head.GetRevision(), trail.newest, "the store must still serve the old revision")
		b.storeFault(map[string]any{})
		b.waitForReady(h)
	}
	trail.checkAll()
}

// Guards against a host that serves under no configuration or an old one when
// it starts without the store: with --seeds it takes the newest revision from
// its peers, without them it refuses until the store returns or a peer tells it.
func TestPromise11FreshHostWithoutStore(t *testing.T) {
	b := newTestbed(t)
	b.startWithFullCoverage()
	trail := b.trackRevisions()
	o := b.operator("alma")
	trail.requireInEffect(trail.publishEdit(o, 100), b.Hosts...)
	order := b.random.Perm(len(b.Hosts))
	seeded, alone := b.Hosts[order[0]], b.Hosts[order[1]]
	b.addSeeds(seeded)
	b.storeFault(map[string]any{"down": "refuse"})
	started := time.Now()
	trail.restart(seeded)
	trail.restart(alone)
	trail.requireInEffect(started, seeded)
	trail.checkLoggedRevisions(seeded, trail.newest)
	for _, h := range []*toucandeploy.Host{seeded, alone} {
		_, err := b.Get(b.ctx, h.Ops, "/ready")
		require.Error(t, err, "%s can't join its zone's view", h.Name)
	}
	s := b.Plan.Services[0]
	a, err := b.Search(b.ctx, alone.Callers, &toucanpb.Query{Service: string(s.Name), Route: s.Routes[0].Name, Query: broadQuery})
	if err == nil {
		// Members of its zone still send heartbeats to its address.
		require.Equal(t, trail.newest, a.GetSnapshot().GetMap())
	} else {
		f := toucanfault.As(err)
		require.Equal(t, toucanpb.Code_CODE_CONFIG, f.Code)
		require.Equal(t, toucanpb.Outcome_OUTCOME_NOTRUN, f.Outcome)
	}
	returned := time.Now()
	b.storeFault(map[string]any{})
	trail.requireInEffect(returned, b.Hosts...)
	for _, h := range []*toucandeploy.Host{seeded, alone} {
		b.waitForReady(h)
		trail.checkLoggedRevisions(h, trail.newest)
	}
	trail.checkAll()
}
