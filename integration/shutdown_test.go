package integration

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucandeploy"
	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanspec"
)

const (
	// loadBalancerDelay is the time from a failed readiness check until callers send
	// a host no new queries; it is below the default of --linger, 2 s.
	loadBalancerDelay = time.Second
	// readinessInterval is the interval between readiness checks of a host.
	readinessInterval = 100 * time.Millisecond
	readinessTimeout  = time.Second
	shutdownLoadRate  = 60 // requests a second
)

// loadBalancer follows the readiness of hosts as a load balancer does.
type loadBalancer struct {
	client *http.Client

	mu           sync.Mutex
	failingSince map[string]time.Time // since when the checks of a host fail, by name
}

// startLoadBalancer starts the checks of all hosts, which end with the test.
func (b *testbed) startLoadBalancer() *loadBalancer {
	l := &loadBalancer{client: &http.Client{Timeout: readinessTimeout}, failingSince: map[string]time.Time{}}
	ended := make(chan struct{})
	var checks sync.WaitGroup
	for _, h := range b.Hosts {
		name, ops := h.Name, h.Ops // a restart writes into h
		checks.Go(func() {
			for b.sleepUnlessClosed(ended, readinessInterval) {
				_, err := toucandeploy.Get(b.ctx, l.client, ops, "/ready")
				l.recordCheck(name, err == nil)
			}
		})
	}
	b.t.Cleanup(func() {
		close(ended)
		checks.Wait()
		l.client.CloseIdleConnections()
	})
	return l
}

// sleepUnlessClosed waits and reports whether neither the test nor ended has ended.
func (b *testbed) sleepUnlessClosed(ended <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-b.ctx.Done():
		return false
	case <-ended:
		return false
	case <-timer.C:
		return true
	}
}

func (l *loadBalancer) recordCheck(host string, ready bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ready {
		delete(l.failingSince, host)
	} else if l.failingSince[host].IsZero() {
		l.failingSince[host] = time.Now()
	}
}

// usableHosts returns the hosts that callers send new queries to.
func (l *loadBalancer) usableHosts(hosts []*toucandeploy.Host) []*toucandeploy.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*toucandeploy.Host
	for _, h := range hosts {
		if since := l.failingSince[h.Name]; since.IsZero() || time.Since(since) < loadBalancerDelay {
			out = append(out, h)
		}
	}
	return out
}

// mixedRequests returns a generator of requests that a host must answer in full, to
// the hosts that choose returns; none are sent while it returns none. One in
// eight is not idempotent, so that a lost leg of it can't be repeated; with
// keyed set these have a key, which needs the store.
func (b *testbed) mixedRequests(choose func() []*toucandeploy.Host, keyed bool) func(*rand.Rand) (*toucandeploy.Host, *toucanpb.Query) {
	serial := 0
	return func(r *rand.Rand) (*toucandeploy.Host, *toucanpb.Query) {
		hosts := choose()
		if len(hosts) == 0 {
			return nil, nil
		}
		s := b.Plan.Services[r.IntN(len(b.Plan.Services))]
		q := &toucanpb.Query{Service: string(s.Name), Route: s.Routes[0].Name, Query: broadQuery, Limit: maxItems, Timeout: "2s"}
		if serial++; r.IntN(8) == 0 {
			q = &toucanpb.Query{Service: string(s.Name), Route: s.Routes[1].Name, Query: broadQuery, Limit: 1, Timeout: "2s"}
			if keyed {
				q.Key = fmt.Sprintf("steady-%d", serial)
			}
		}
		return hosts[r.IntN(len(hosts))], q
	}
}

// requireFullAnswers requires a full answer to every request.
func (b *testbed) requireFullAnswers(known referenceItems, all []request) {
	b.t.Helper()
	b.t.Logf("ends %v", countResults(all))
	faults := 0
	for _, r := range all {
		c := r.Answer.GetCoverage()
		if r.Err != nil || c.GetAnswered() < c.GetAsked() {
			faults++
			b.t.Errorf("%s %s/%s at %s took %v: %v %v", r.Host.Name, r.Query.GetService(), r.Query.GetRoute(),
				r.Started.Format(time.StampMilli), r.Ended.Sub(r.Started), c.GetMissing(), r.Err)
		}
	}
	require.Zero(b.t, faults, "requests of %d that a planned stop cut", len(all))
	b.checkAnswers(known, all)
}

// requireGracefulExit waits for the end of a host that got SIGTERM and requires that it
// ended by itself and interrupted nothing.
func (b *testbed) requireGracefulExit(h *toucandeploy.Host) {
	b.t.Helper()
	code, err := h.Process.Wait(b.ctx)
	require.NoError(b.t, err)
	log := h.Process.Stderr()
	require.Zero(b.t, code, "exit code of %s:\n%s", h.Name, tail(log, 3000))
	require.NotContains(b.t, log, "shutdown interrupted", h.Name)
	require.NotContains(b.t, log, "shutdown step failed", h.Name)
	require.Contains(b.t, log, `"phase":"stopped"`, h.Name)
}

// waitForReady waits until a host says that it is ready.
func (b *testbed) waitForReady(h *toucandeploy.Host) {
	b.t.Helper()
	b.eventually(h.Name+" ready", func() bool {
		_, err := b.Get(b.ctx, h.Ops, "/ready")
		return err == nil
	})
}

// Guards against an upgrade that costs requests: all hosts are restarted one
// after the other, as the operators' page says, under load by callers that
// follow readiness. Every host is stopped while the others use its slots.
func TestPromise10RestartOfAllHosts(t *testing.T) {
	b := newTestbed(t)
	b.Plan.Args = nil // the default of --linger
	known := b.readReferenceItems(broadQuery)
	b.startWithFullCoverage()
	balancer := b.startLoadBalancer()
	l := b.startLoad(shutdownLoadRate, b.mixedRequests(func() []*toucandeploy.Host { return balancer.usableHosts(b.Hosts) }, true))
	order := append([]*toucandeploy.Host(nil), b.Hosts...)
	b.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	for _, h := range order {
		b.signal(h, syscall.SIGTERM)
		b.requireGracefulExit(h)
		b.restart(h)
		b.waitForReady(h)
	}
	require.True(t, b.sleep(time.Second))
	all := l.finish()
	b.requireFullAnswers(known, all)
	used := map[string]int{}
	for _, r := range all {
		used[r.Host.Name]++
	}
	require.Len(t, used, len(b.Hosts), "every host must have had queries: %v", used)
	b.stopAllHosts()
	ledger := b.ledger()
	b.checkAtMostOnce(all, ledger)
	b.checkInFlightLimits(ledger)
}

// Guards against legs that are cut at an owner of slots that stops: callers use
// the other hosts only, so all that the host runs is for peers. Its linger is
// short, and the host is started and stopped again.
func TestPromise10StopOfOwner(t *testing.T) {
	b := newTestbed(t)
	known := b.readReferenceItems(broadQuery)
	b.startWithFullCoverage()
	owner := b.Hosts[b.random.IntN(len(b.Hosts))]
	var others []*toucandeploy.Host
	for _, h := range b.Hosts {
		if h != owner {
			others = append(others, h)
		}
	}
	l := b.startLoad(2*shutdownLoadRate, b.mixedRequests(func() []*toucandeploy.Host { return others }, true))
	for range 2 {
		require.True(t, b.sleep(time.Second))
		b.signal(owner, syscall.SIGTERM)
		b.requireGracefulExit(owner)
		require.True(t, b.sleep(time.Second))
		b.restart(owner)
		b.waitForReady(owner)
	}
	require.True(t, b.sleep(time.Second))
	all := l.finish()
	b.requireFullAnswers(known, all)
	b.stopAllHosts()
	b.checkAtMostOnce(all, b.ledger())
}

// Guards against a stop that waits for the store, or that is cut short by it:
// one host is stopped while the store hangs, so that it can't leave the zone
// view, and later one of another zone while the store refuses connections.
func TestPromise10StopWithoutStore(t *testing.T) {
	b := newTestbed(t)
	b.Plan.Args = nil // the default of --linger
	known := b.readReferenceItems(broadQuery)
	b.startWithFullCoverage()
	zones := b.random.Perm(len(b.Plan.Zones))
	for i, fault := range []string{"hang", "refuse"} {
		b.stopWithStoreFault(known, fault, b.hostsOf(b.Plan.Zones[zones[i]].Name)[b.random.IntN(b.Plan.Hosts)])
	}
}

// Guards against a shard that is lost because hosts of both its zones were
// stopped while the store was down, though each zone has a host left.
func TestPromise10StopInTwoZonesWithoutStore(t *testing.T) {
	skipKnownFailure(t)
	b := newTestbed(t)
	b.Plan.Args = nil // the default of --linger
	known := b.readReferenceItems(broadQuery)
	b.startWithFullCoverage()
	zones := b.random.Perm(len(b.Plan.Zones))
	var hosts []*toucandeploy.Host
	for _, z := range zones[:2] {
		hosts = append(hosts, b.hostsOf(b.Plan.Zones[z].Name)[b.random.IntN(b.Plan.Hosts)])
	}
	b.stopWithStoreFault(known, "refuse", hosts...)
}

// stopWithStoreFault stops hosts one after the other while the store has a fault, and
// starts them again without it. It requires whole answers all the time.
func (b *testbed) stopWithStoreFault(known referenceItems, fault string, hosts ...*toucandeploy.Host) {
	b.t.Helper()
	balancer := b.startLoadBalancer()
	l := b.startLoad(shutdownLoadRate, b.mixedRequests(func() []*toucandeploy.Host { return balancer.usableHosts(b.Hosts) }, false))
	b.storeFault(map[string]any{"down": fault})
	for _, h := range hosts {
		b.signal(h, syscall.SIGTERM)
		b.requireGracefulExit(h)
		require.True(b.t, b.sleep(time.Second))
	}
	// A slot whose leader is gone stays open for the lease time of 3 s.
	require.True(b.t, b.sleep(3*time.Second))
	b.requireFullAnswers(known, l.finish())
	b.storeFault(map[string]any{})
	for _, h := range hosts {
		b.restart(h)
	}
	for _, h := range hosts {
		b.waitForReady(h)
	}
	for _, h := range b.Hosts {
		b.waitForFullCoverage(h)
	}
}

// Guards against hosts that stop at once and cut each other's legs: all get
// SIGTERM together, and callers turn away as they learn of it.
func TestPromise10StopOfAllHostsAtOnce(t *testing.T) {
	b := newTestbed(t)
	b.Plan.Args = nil // the default of --linger
	known := b.readReferenceItems(broadQuery)
	b.startWithFullCoverage()
	balancer := b.startLoadBalancer()
	l := b.startLoad(shutdownLoadRate, b.mixedRequests(func() []*toucandeploy.Host { return balancer.usableHosts(b.Hosts) }, true))
	require.True(t, b.sleep(time.Second))
	told := time.Now()
	for _, h := range b.Hosts {
		b.signal(h, syscall.SIGTERM)
	}
	for _, h := range b.Hosts {
		b.requireGracefulExit(h)
	}
	all := l.finish()
	late := 0
	for _, r := range all {
		if r.Started.After(told) {
			late++
		}
	}
	t.Logf("%d requests began after SIGTERM", late)
	require.Positive(t, late, "the test must see requests after SIGTERM")
	b.requireFullAnswers(known, all)
	b.checkAtMostOnce(all, b.ledger())
}

// Guards against hosts that all refuse new requests and then end before those
// that run are done: targets work on requests beyond the end of the linger
// time. The requests are not idempotent, so that a leg that is cut is seen.
func TestPromise10StopOfAllHostsWithRunningRequests(t *testing.T) {
	b := newTestbed(t)
	const (
		linger = time.Second
		last   = 800 * time.Millisecond // when the requests begin
		work   = 300 * time.Millisecond // more than is left of the linger time
	)
	b.Plan.Args = []string{"--linger", linger.String()}
	b.disableColdStart()
	b.startWithFullCoverage()
	b.setWorkTime(work)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	t.Cleanup(client.CloseIdleConnections)
	told := time.Now()
	for _, h := range b.Hosts {
		b.signal(h, syscall.SIGTERM)
	}
	require.True(t, b.sleep(time.Until(told.Add(last))))
	all := b.sendBurst(client, 2*len(b.Hosts), b.Hosts, "all")
	for _, h := range b.Hosts {
		b.requireGracefulExit(h)
	}
	running := 0
	for _, r := range all {
		// These callers had been told, so a late one may be refused, but not cut.
		if f := toucanfault.As(r.Err); f != nil && (f.Code == toucanpb.Code_CODE_STOPPING && f.Outcome == toucanpb.Outcome_OUTCOME_NOTRUN ||
			errors.Is(f, syscall.ECONNREFUSED)) {
			continue
		}
		require.NoError(t, r.Err, "%s at %s", r.Query.GetKey(), r.Host.Name)
		if r.Ended.After(told.Add(linger)) {
			running++
		}
	}
	t.Logf("%d requests ran beyond the linger time; ends %v", running, countResults(all))
	require.Positive(t, running, "the test must see requests at the end of the linger time")
	b.checkAtMostOnce(all, b.ledger())
}

// disableColdStart ends the cold start of the targets of a bed that is not started,
// which would make a few requests last up to their deadline.
func (b *testbed) disableColdStart() {
	for i := range b.Plan.Services {
		b.Plan.Services[i].Behaviour.ColdStart = toucanspec.ColdStart{}
	}
}

// setWorkTime sets how long targets work on a request.
func (b *testbed) setWorkTime(median time.Duration) {
	b.t.Helper()
	b.changeBehavior("*", map[string]any{"work": map[string]any{"median": median.String(), "spread": 0.1}})
}

// sendBurst sends non-idempotent requests, with keys that begin with a word, to
// the hosts in turn, all at once, and waits for the ends.
func (b *testbed) sendBurst(client *http.Client, n int, hosts []*toucandeploy.Host, word string) []request {
	ends := make([]request, n)
	var calls sync.WaitGroup
	for i := range ends {
		h, s := hosts[i%len(hosts)], b.Plan.Services[i%len(b.Plan.Services)]
		q := &toucanpb.Query{
			Service: string(s.Name), Route: s.Routes[1].Name, Query: broadQuery, Limit: 1, Timeout: "2s", Key: fmt.Sprintf("%s-%d", word, i),
		}
		calls.Go(func() { ends[i] = sendRequest(b.ctx, client, h, q) })
	}
	calls.Wait()
	return ends
}

// Guards against a host that ends while it runs legs for peers. The requests
// are not idempotent, so that no host can make up for a leg that is cut, and
// the host gets SIGTERM, without any linger time, while targets work on them.
func TestPromise10StopOfOwnerWithRunningLegs(t *testing.T) {
	b := newTestbed(t)
	b.Plan.Args = []string{"--linger", "0s"}
	b.disableColdStart()
	const work, usual = 150 * time.Millisecond, 5 * time.Millisecond
	b.startWithFullCoverage()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	t.Cleanup(client.CloseIdleConnections)
	running := 0
	var all []request
	for round, at := range b.random.Perm(len(b.Hosts))[:3] {
		owner := b.Hosts[at]
		others := append(append([]*toucandeploy.Host(nil), b.Hosts[:at]...), b.Hosts[at+1:]...)
		b.setWorkTime(work)
		sent := make(chan []request, 1)
		go func() { sent <- b.sendBurst(client, 16, others, fmt.Sprintf("owner-%d", round)) }()
		require.True(t, b.sleep(work/3))
		told := time.Now()
		b.signal(owner, syscall.SIGTERM)
		ends := <-sent
		b.requireGracefulExit(owner)
		for _, r := range ends {
			if r.Ended.After(told) {
				running++
			}
		}
		all = append(all, ends...)
		b.setWorkTime(usual)
		b.restart(owner)
		for _, h := range b.Hosts {
			b.waitForReady(h)
			b.waitForFullCoverage(h)
		}
	}
	t.Logf("%d of %d requests ran when a host got SIGTERM; ends %v", running, len(all), countResults(all))
	for _, r := range all {
		require.NoError(t, r.Err, "%s at %s", r.Query.GetKey(), r.Host.Name)
	}
	require.Positive(t, running, "the test must see requests at SIGTERM")
	b.stopAllHosts()
	b.checkAtMostOnce(all, b.ledger())
}
