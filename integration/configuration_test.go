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
	// propagationLimit is the time limit of promise 11, counted from the return of
	// the command, or from when a host can be reached again.
	propagationLimit     = 16 * time.Second
	revisionPollInterval = 50 * time.Millisecond
	revisionPollTimeout  = time.Second
	exitConflict         = 3 // of toucanctl when another change was published first
)

// revisionTracker records the revisions that each host process reports on its
// /state page, and checks those in its log.
type revisionTracker struct {
	testbed *testbed
	client  *http.Client
	newest  uint64 // last accepted revision; for the goroutine of the test only

	mu         sync.Mutex
	restarts   map[string]int    // number of restarts, by host
	revisions  map[string]uint64 // last revision of the current process, by host
	changeIDs  map[uint64]string // change id by revision
	violations []string
}

// trackRevisions returns a tracker that polls all hosts until the test ends.
func (b *testbed) trackRevisions() *revisionTracker {
	tr := &revisionTracker{
		testbed: b, client: &http.Client{Timeout: revisionPollTimeout}, newest: 1,
		restarts: map[string]int{}, revisions: map[string]uint64{}, changeIDs: map[uint64]string{},
	}
	stop := make(chan struct{})
	var polls sync.WaitGroup
	for _, h := range b.Hosts {
		name, ops := h.Name, h.Ops // copied, because a restart changes h
		polls.Go(func() {
			for b.sleepUnlessClosed(stop, revisionPollInterval) {
				tr.poll(name, ops)
			}
		})
	}
	b.t.Cleanup(func() {
		close(stop)
		polls.Wait()
		tr.client.CloseIdleConnections()
	})
	return tr
}

func (tr *revisionTracker) poll(name, ops string) {
	tr.mu.Lock()
	restarts := tr.restarts[name]
	tr.mu.Unlock()
	body, err := toucandeploy.Get(tr.testbed.ctx, tr.client, ops, "/state")
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
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.restarts[name] != restarts {
		return // the page may come from the previous process
	}
	if c.Revision < tr.revisions[name] {
		tr.violations = append(tr.violations, fmt.Sprintf("%s reverted from revision %d to %d", name, tr.revisions[name], c.Revision))
	}
	tr.revisions[name] = c.Revision
	if known := tr.changeIDs[c.Revision]; known != "" && known != c.Change {
		tr.violations = append(tr.violations, fmt.Sprintf("revision %d has change id %s and, at %s, %s", c.Revision, known, name, c.Change))
	}
	tr.changeIDs[c.Revision] = c.Change
}

func (tr *revisionTracker) revisionAt(h *toucandeploy.Host) uint64 {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.revisions[h.Name]
}

// requireInEffect requires the newest revision at the given hosts within
// propagationLimit, counted from since.
func (tr *revisionTracker) requireInEffect(since time.Time, hosts ...*toucandeploy.Host) {
	tr.testbed.t.Helper()
	for _, h := range hosts {
		for tr.revisionAt(h) < tr.newest {
			require.Less(tr.testbed.t, time.Since(since), propagationLimit,
				"%s is at revision %d, not at %d; its log:\n%s", h.Name, tr.revisionAt(h), tr.newest, tail(h.Process.Stderr(), 3000))
			require.True(tr.testbed.t, tr.testbed.sleep(pollInterval))
		}
	}
	tr.testbed.t.Logf("revision %d in effect on %d hosts after %v", tr.newest, len(hosts), time.Since(since))
}

// killAndRestart kills a host and starts it again.
func (tr *revisionTracker) killAndRestart(h *toucandeploy.Host) {
	tr.testbed.t.Helper()
	tr.testbed.kill(h)
	tr.checkLoggedRevisions(h, 0)
	tr.mu.Lock()
	tr.restarts[h.Name]++
	tr.revisions[h.Name] = 0
	tr.mu.Unlock()
	tr.testbed.restart(h)
}

// checkLoggedRevisions requires that the revisions in the log of a host's process
// only increase, starting at atLeast or higher, and returns the first one.
func (tr *revisionTracker) checkLoggedRevisions(h *toucandeploy.Host, atLeast uint64) uint64 {
	tr.testbed.t.Helper()
	var first, last uint64
	for line := range strings.Lines(h.Process.Stderr()) {
		var entry struct {
			Message  string `json:"msg"`
			Revision uint64 `json:"revision"`
		}
		if json.Unmarshal([]byte(line), &entry) != nil || entry.Message != "configuration in effect" {
			continue
		}
		require.Greater(tr.testbed.t, entry.Revision, last, "%s: %s", h.Name, line)
		last = entry.Revision
		if first == 0 {
			first = last
			require.GreaterOrEqual(tr.testbed.t, first, atLeast, "%s put an old revision into effect after its start: %s", h.Name, line)
		}
	}
	return first
}

// checkAll requires that no host reverted to an older revision and that hosts
// agree on the change of each revision.
func (tr *revisionTracker) checkAll() {
	tr.testbed.t.Helper()
	for _, h := range tr.testbed.Hosts {
		tr.checkLoggedRevisions(h, 0)
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	require.Empty(tr.testbed.t, tr.violations)
}

// operator publishes changes from a copy of the configuration folder.
type operator struct {
	testbed *testbed
	name    string
	dir     string
}

// newOperator copies the configuration folder for an operator, whose name is the
// author of its changes.
func (b *testbed) newOperator(name string) *operator {
	b.t.Helper()
	o := &operator{b, name, b.t.TempDir()}
	require.NoError(b.t, os.CopyFS(o.dir, os.DirFS(b.Plan.Dir)))
	return o
}

// edit sets how many index versions behind the newest a service may use (age). That
// does not affect requests here, because the index versions don't change.
func (o *operator) edit(age int) {
	o.testbed.t.Helper()
	text := fmt.Sprintf("services:\n  - name: %s\n    age: %d\n", o.testbed.Plan.Services[0].Name, age)
	require.NoError(o.testbed.t, os.WriteFile(filepath.Join(o.dir, "40-edit.yaml"), []byte(text), 0o600))
}

// applyResult is the result of toucanctl apply.
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

// publishEdit publishes an edit, requires that it is accepted, and returns the time
// at which toucanctl ended.
func (tr *revisionTracker) publishEdit(o *operator, age int) time.Time {
	tr.testbed.t.Helper()
	o.edit(age)
	out, err := o.apply()
	require.NoError(tr.testbed.t, err)
	require.Zero(tr.testbed.t, out.code, "%+v", out)
	require.Equal(tr.testbed.t, tr.newest+1, out.Revision)
	tr.newest = out.Revision
	return out.at
}

// addSeeds adds --seeds with the addresses of all other hosts to the next starts
// of a host.
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

// Guards against concurrent changes that are both reported as accepted, and against
// hosts that disagree on which one is in effect: two operators publish on the same
// revision while the store is slow and, in every second round, a host restarts.
func TestPromise11ConcurrentApply(t *testing.T) {
	b := newTestbed(t)
	b.startWithFullCoverage()
	tracker := b.trackRevisions()
	publisher := &toucanhead.Publisher{Store: toucanstorage.New([]string{b.Store.Address}, nil)}
	operators := []*operator{b.newOperator("alma"), b.newOperator("bruno")}
	for round := range 4 {
		b.setStoreFault(map[string]any{"delay": "100ms"})
		results := make([]applyResult, len(operators))
		errs := make([]error, len(operators))
		var racing sync.WaitGroup
		for i, o := range operators {
			o.edit(100*(i+1) + round)
			racing.Go(func() { results[i], errs[i] = o.apply("--on", fmt.Sprint(tracker.newest)) })
		}
		if round%2 == 1 {
			tracker.killAndRestart(b.Hosts[b.random.IntN(len(b.Hosts))])
		}
		racing.Wait()
		b.setStoreFault(map[string]any{})
		require.NoError(t, errors.Join(errs...))
		winner, loser := 0, 1
		if results[winner].code != 0 {
			winner, loser = loser, winner
		}
		description := fmt.Sprintf("round %d: %+v", round, results)
		t.Log(description)
		require.Zero(t, results[winner].code, description)
		require.Equal(t, tracker.newest+1, results[winner].Revision, description)
		require.Equal(t, exitConflict, results[loser].code, description)
		namesWinner := results[loser].Revision == results[winner].Revision && results[loser].Author == operators[winner].name ||
			strings.Contains(results[loser].Error, fmt.Sprintf("revision %d by %s", results[winner].Revision, operators[winner].name))
		require.True(t, namesWinner, "the rejected operator must be told the accepted revision: %s", description)
		tracker.newest = results[winner].Revision
		current, err := publisher.Current(b.ctx)
		require.NoError(t, err)
		require.Equal(t, tracker.newest, current.Head.GetRevision())
		require.Equal(t, operators[winner].name, current.Head.GetAuthor())
		tracker.requireInEffect(results[winner].at, b.Hosts...)
		tracker.mu.Lock()
		change := tracker.changeIDs[tracker.newest]
		tracker.mu.Unlock()
		require.Equal(t, toucanhead.ChangeID(current.Head), change)
	}
	tracker.checkAll()
}

// Guards against a change that is in effect but reported as failed, or that does
// not spread beyond the hosts that read it from the store. First the store loses
// its replies to the change. Then two zones are partitioned from the store, the
// store goes down as soon as one host of the third zone has the next change, and a
// host is restarted while the store is down.
func TestPromise11LostReplyAndStoreDown(t *testing.T) {
	b := newTestbed(t)
	b.startWithFullCoverage()
	tracker := b.trackRevisions()
	o := b.newOperator("alma")
	// The replies to the writes of the new blob and of the head.
	b.setStoreFault(map[string]any{"lose": 2})
	tracker.requireInEffect(tracker.publishEdit(o, 100), b.Hosts...)
	remaining, err := b.Get(b.ctx, b.Store.Admin, "/admin/fault")
	require.NoError(t, err)
	require.NotContains(t, string(remaining), "lose", "both replies must have been lost")

	readingZone := b.Plan.Zones[b.random.IntN(len(b.Plan.Zones))].Name
	var partitioned []*toucandeploy.Host
	for _, z := range b.Plan.Zones {
		if z.Name != readingZone {
			b.partitionStore(z.Name)
			partitioned = append(partitioned, b.hostsOf(z.Name)...)
		}
	}
	at := tracker.publishEdit(o, 101)
	b.eventually("the change at one host of "+string(readingZone), func() bool {
		for _, h := range b.hostsOf(readingZone) {
			if tracker.revisionAt(h) == tracker.newest {
				return true
			}
		}
		return false
	})
	b.setStoreFault(map[string]any{"down": "refuse"})
	tracker.requireInEffect(at, b.Hosts...)

	restarted := partitioned[b.random.IntN(len(partitioned))]
	b.addSeeds(restarted)
	began := time.Now()
	tracker.killAndRestart(restarted)
	tracker.requireInEffect(began, restarted)
	tracker.checkLoggedRevisions(restarted, tracker.newest)
	b.setStoreFault(map[string]any{})
	for _, z := range b.Plan.Zones {
		b.healStore(z.Name)
	}
	tracker.requireInEffect(tracker.publishEdit(o, 102), b.Hosts...)
	b.waitForReady(restarted)
	tracker.checkAll()
}

// Guards against a zone that keeps a stale revision because it can't read the
// store, or that spreads it when the partition heals: the zone is partitioned first
// from the store only, then also from the other zones, while changes are published.
func TestPromise11ZonePartitionedFromStore(t *testing.T) {
	b := newTestbed(t)
	b.startWithFullCoverage()
	tracker := b.trackRevisions()
	o := b.newOperator("alma")
	zone := b.Plan.Zones[b.random.IntN(len(b.Plan.Zones))].Name
	b.partitionStore(zone)
	tracker.requireInEffect(tracker.publishEdit(o, 100), b.Hosts...)

	b.partitionZone(zone)
	var reachable []*toucandeploy.Host
	for _, z := range b.Plan.Zones {
		if z.Name != zone {
			reachable = append(reachable, b.hostsOf(z.Name)...)
		}
	}
	before := tracker.newest
	for age := range 3 {
		tracker.requireInEffect(tracker.publishEdit(o, 200+age), reachable...)
	}
	for _, h := range b.hostsOf(zone) {
		require.Equal(t, before, tracker.revisionAt(h), "%s must not get changes during the partition", h.Name)
	}
	healed := time.Now()
	b.healZone(zone)
	tracker.requireInEffect(healed, b.Hosts...)
	b.healStore(zone)
	tracker.requireInEffect(tracker.publishEdit(o, 300), b.Hosts...)
	tracker.checkAll()
}

// Guards against a host that starts with the configuration of a stale store: reads
// of the store return the state before the newest change while a host restarts,
// once with --seeds and once without.
func TestPromise11FreshHostAtStaleStore(t *testing.T) {
	b := newTestbed(t)
	b.startWithFullCoverage()
	tracker := b.trackRevisions()
	o := b.newOperator("alma")
	publisher := &toucanhead.Publisher{Store: toucanstorage.New([]string{b.Store.Address}, nil)}
	order := b.random.Perm(len(b.Hosts))
	for i, seeded := range []bool{true, false} {
		h := b.Hosts[order[i]]
		if seeded {
			b.addSeeds(h)
		}
		// Stale reads lag by a constant time, so the old state is served for as
		// long as the store was unchanged before the edit.
		began := time.Now()
		require.True(t, b.sleep(4*time.Second))
		tracker.requireInEffect(tracker.publishEdit(o, 100+i), b.Hosts...)
		b.setStoreFault(map[string]any{"stale": time.Since(began).String()})
		started := time.Now()
		tracker.killAndRestart(h)
		tracker.requireInEffect(started, h)
		current, err := publisher.Current(b.ctx)
		require.NoError(t, err)
		first := tracker.checkLoggedRevisions(h, tracker.newest)
		t.Logf("%s (seeds: %v) started at revision %d, the store served %d", h.Name, seeded, first, current.Head.GetRevision())
		require.Less(t, current.Head.GetRevision(), tracker.newest, "the store must still serve the old revision")
		b.setStoreFault(map[string]any{})
		b.waitForReady(h)
	}
	tracker.checkAll()
}

// Guards against a host that serves without a configuration, or with a stale one,
// when it starts while the store is down. With --seeds it gets the newest revision
// from its peers. Without, it refuses requests until the store is up again or a
// peer sends the configuration.
func TestPromise11FreshHostWithoutStore(t *testing.T) {
	b := newTestbed(t)
	b.startWithFullCoverage()
	tracker := b.trackRevisions()
	o := b.newOperator("alma")
	tracker.requireInEffect(tracker.publishEdit(o, 100), b.Hosts...)
	order := b.random.Perm(len(b.Hosts))
	seeded, unseeded := b.Hosts[order[0]], b.Hosts[order[1]]
	b.addSeeds(seeded)
	b.setStoreFault(map[string]any{"down": "refuse"})
	started := time.Now()
	tracker.killAndRestart(seeded)
	tracker.killAndRestart(unseeded)
	tracker.requireInEffect(started, seeded)
	tracker.checkLoggedRevisions(seeded, tracker.newest)
	for _, h := range []*toucandeploy.Host{seeded, unseeded} {
		_, err := b.Get(b.ctx, h.Ops, "/ready")
		require.Error(t, err, "%s can't join its zone's view", h.Name)
	}
	s := b.Plan.Services[0]
	a, err := b.Search(b.ctx, unseeded.Callers, &toucanpb.Query{Service: string(s.Name), Route: s.Routes[0].Name, Query: broadQuery})
	if err == nil {
		// Members of its zone still send heartbeats to its address, so it may have
		// received the configuration.
		require.Equal(t, tracker.newest, a.GetSnapshot().GetMap())
	} else {
		f := toucanfault.As(err)
		require.Equal(t, toucanpb.Code_CODE_CONFIG, f.Code)
		require.Equal(t, toucanpb.Outcome_OUTCOME_NOTRUN, f.Outcome)
	}
	storeRecovered := time.Now()
	b.setStoreFault(map[string]any{})
	tracker.requireInEffect(storeRecovered, b.Hosts...)
	for _, h := range []*toucandeploy.Host{seeded, unseeded} {
		b.waitForReady(h)
		tracker.checkLoggedRevisions(h, tracker.newest)
	}
	tracker.checkAll()
}
