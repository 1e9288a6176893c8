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
	// loadBalancerDelay is the time from a failed readiness check until callers
	// send no new queries to a host; it is below the default of --linger, 2 s.
	loadBalancerDelay = time.Second
	// readinessInterval is the time between readiness checks of a host.
	readinessInterval = 100 * time.Millisecond
	readinessTimeout  = time.Second
	shutdownLoadRate  = 60 // requests a second
)

// loadBalancer tracks the readiness of hosts as a load balancer does.
type loadBalancer struct {
	client *http.Client

	mu           sync.Mutex
	failingSince map[string]time.Time // start of failing checks, by host name
}

// startLoadBalancer starts readiness checks of all hosts, until the test ends.
func (b *testbed) startLoadBalancer() *loadBalancer {
	lb := &loadBalancer{client: &http.Client{Timeout: readinessTimeout}, failingSince: map[string]time.Time{}}
	stop := make(chan struct{})
	var checks sync.WaitGroup
	for _, h := range b.Hosts {
		name, ops := h.Name, h.Ops // copied, because a restart changes h
		checks.Go(func() {
			for b.sleepUnlessClosed(stop, readinessInterval) {
				_, err := toucandeploy.Get(b.ctx, lb.client, ops, "/ready")
				lb.recordCheck(name, err == nil)
			}
		})
	}
	b.t.Cleanup(func() {
		close(stop)
		checks.Wait()
		lb.client.CloseIdleConnections()
	})
	return lb
}

// sleepUnlessClosed waits and returns false if done is closed or the test timed
// out first.
func (b *testbed) sleepUnlessClosed(done <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-b.ctx.Done():
		return false
	case <-done:
		return false
	case <-timer.C:
		return true
	}
}

func (lb *loadBalancer) recordCheck(host string, ready bool) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	if ready {
		delete(lb.failingSince, host)
	} else if lb.failingSince[host].IsZero() {
		lb.failingSince[host] = time.Now()
	}
}

// usableHosts returns the hosts that callers send new queries to.
func (lb *loadBalancer) usableHosts(hosts []*toucandeploy.Host) []*toucandeploy.Host {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	var out []*toucandeploy.Host
	for _, h := range hosts {
		if failing := lb.failingSince[h.Name]; failing.IsZero() || time.Since(failing) < loadBalancerDelay {
			out = append(out, h)
		}
	}
	return out
}

// mixedRequests returns a generator of requests that a host must answer with full
// coverage, to the hosts that choose returns; none are sent while it returns none.
// One in eight is not idempotent, so that a lost leg of it can't be retried; with
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

// requireFullAnswers requires a correct answer with full coverage to every
// request.
func (b *testbed) requireFullAnswers(reference referenceItems, all []request) {
	b.t.Helper()
	b.t.Logf("results %v", countResults(all))
	incomplete := 0
	for _, r := range all {
		c := r.Answer.GetCoverage()
		if r.Err != nil || c.GetAnswered() < c.GetAsked() {
			incomplete++
			b.t.Errorf("%s %s/%s at %s took %v: %v %v", r.Host.Name, r.Query.GetService(), r.Query.GetRoute(),
				r.Started.Format(time.StampMilli), r.Ended.Sub(r.Started), c.GetMissing(), r.Err)
		}
	}
	require.Zero(b.t, incomplete, "requests of %d failed or lack shards during a planned stop", len(all))
	b.checkAnswers(reference, all)
}

// requireGracefulExit waits for the exit of a host that got SIGTERM. It requires
// exit code 0 and a log without interrupted or failed shutdown steps.
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

// waitForReady waits until a host reports that it is ready.
func (b *testbed) waitForReady(h *toucandeploy.Host) {
	b.t.Helper()
	b.eventually(h.Name+" ready", func() bool {
		_, err := b.Get(b.ctx, h.Ops, "/ready")
		return err == nil
	})
}

// Guards against an upgrade that fails requests: all hosts are restarted one after
// the other, as the operators' page describes, under load by callers that follow
// readiness. Each host stops while the others use its slots.
func TestPromise10RestartOfAllHosts(t *testing.T) {
	b := newTestbed(t)
	b.Plan.Args = nil // the default of --linger
	reference := b.readReferenceItems(broadQuery)
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
	b.requireFullAnswers(reference, all)
	used := map[string]int{}
	for _, r := range all {
		used[r.Host.Name]++
	}
	require.Len(t, used, len(b.Hosts), "not every host got queries: %v", used)
	b.stopAllHosts()
	ledger := b.ledger()
	b.checkAtMostOnce(all, ledger)
	b.checkInFlightLimits(ledger)
}

// Guards against legs that are aborted when an owner of slots stops. Callers use
// only the other hosts, so the host runs legs of peers only. Its --linger is
// short, and the host is restarted twice.
func TestPromise10StopOfOwner(t *testing.T) {
	b := newTestbed(t)
	reference := b.readReferenceItems(broadQuery)
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
	b.requireFullAnswers(reference, all)
	b.stopAllHosts()
	b.checkAtMostOnce(all, b.ledger())
}

// Guards against a stop that blocks on the store or is aborted because of it: one
// host is stopped while the store hangs, so that it can't leave the zone view, and
// later one of another zone while the store refuses connections.
func TestPromise10StopWithoutStore(t *testing.T) {
	b := newTestbed(t)
	b.Plan.Args = nil // the default of --linger
	reference := b.readReferenceItems(broadQuery)
	b.startWithFullCoverage()
	zones := b.random.Perm(len(b.Plan.Zones))
	for i, fault := range []string{"hang", "refuse"} {
		b.stopWithStoreFault(reference, fault, b.hostsOf(b.Plan.Zones[zones[i]].Name)[b.random.IntN(b.Plan.Hosts)])
	}
}

// Guards against a shard that becomes unavailable because one host in each of its
// two zones was stopped while the store was down, although each zone has another
// host.
func TestPromise10StopInTwoZonesWithoutStore(t *testing.T) {
	skipKnownFailure(t)
	b := newTestbed(t)
	b.Plan.Args = nil // the default of --linger
	reference := b.readReferenceItems(broadQuery)
	b.startWithFullCoverage()
	zones := b.random.Perm(len(b.Plan.Zones))
	var hosts []*toucandeploy.Host
	for _, z := range zones[:2] {
		hosts = append(hosts, b.hostsOf(b.Plan.Zones[z].Name)[b.random.IntN(b.Plan.Hosts)])
	}
	b.stopWithStoreFault(reference, "refuse", hosts...)
}

// stopWithStoreFault stops hosts one after the other while the store has a fault,
// and starts them again after it is cleared. It requires full answers from the
// first stop until the lease time after the last one.
func (b *testbed) stopWithStoreFault(reference referenceItems, fault string, hosts ...*toucandeploy.Host) {
	b.t.Helper()
	balancer := b.startLoadBalancer()
	l := b.startLoad(shutdownLoadRate, b.mixedRequests(func() []*toucandeploy.Host { return balancer.usableHosts(b.Hosts) }, false))
	b.setStoreFault(map[string]any{"down": fault})
	for _, h := range hosts {
		b.signal(h, syscall.SIGTERM)
		b.requireGracefulExit(h)
		require.True(b.t, b.sleep(time.Second))
	}
	// After the owner of slot 0, the leader of a target's cold start, has stopped,
	// the other open slots of the target stay open for the lease time of 3 s
	// without hearing from it. Wait until that has passed.
	require.True(b.t, b.sleep(3*time.Second))
	b.requireFullAnswers(reference, l.finish())
	b.setStoreFault(map[string]any{})
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

// Guards against hosts that stop at the same time and abort each other's legs: all
// get SIGTERM at once, and callers stop sending as readiness checks fail.
func TestPromise10StopOfAllHostsAtOnce(t *testing.T) {
	b := newTestbed(t)
	b.Plan.Args = nil // the default of --linger
	reference := b.readReferenceItems(broadQuery)
	b.startWithFullCoverage()
	balancer := b.startLoadBalancer()
	l := b.startLoad(shutdownLoadRate, b.mixedRequests(func() []*toucandeploy.Host { return balancer.usableHosts(b.Hosts) }, true))
	require.True(t, b.sleep(time.Second))
	signalled := time.Now()
	for _, h := range b.Hosts {
		b.signal(h, syscall.SIGTERM)
	}
	for _, h := range b.Hosts {
		b.requireGracefulExit(h)
	}
	all := l.finish()
	late := 0
	for _, r := range all {
		if r.Started.After(signalled) {
			late++
		}
	}
	t.Logf("%d requests started after SIGTERM", late)
	require.Positive(t, late, "no request started after SIGTERM")
	b.requireFullAnswers(reference, all)
	b.checkAtMostOnce(all, b.ledger())
}

// Guards against hosts that refuse new requests and then exit before requests in
// flight are done: targets work on requests beyond the end of the linger time. The
// requests are not idempotent, so that an aborted leg can't be hidden by a retry.
func TestPromise10StopOfAllHostsWithRunningRequests(t *testing.T) {
	b := newTestbed(t)
	const (
		linger    = time.Second
		sendAfter = 800 * time.Millisecond // after SIGTERM
		work      = 300 * time.Millisecond // longer than the rest of the linger time
	)
	b.Plan.Args = []string{"--linger", linger.String()}
	b.disableColdStart()
	b.startWithFullCoverage()
	b.setWorkTime(work)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	t.Cleanup(client.CloseIdleConnections)
	signalled := time.Now()
	for _, h := range b.Hosts {
		b.signal(h, syscall.SIGTERM)
	}
	require.True(t, b.sleep(time.Until(signalled.Add(sendAfter))))
	all := b.sendBurst(client, 2*len(b.Hosts), b.Hosts, "all")
	for _, h := range b.Hosts {
		b.requireGracefulExit(h)
	}
	running := 0
	for _, r := range all {
		// Readiness had failed before these requests, so a late one may be refused,
		// but not aborted.
		if f := toucanfault.As(r.Err); f != nil && (f.Code == toucanpb.Code_CODE_STOPPING && f.Outcome == toucanpb.Outcome_OUTCOME_NOTRUN ||
			errors.Is(f, syscall.ECONNREFUSED)) {
			continue
		}
		require.NoError(t, r.Err, "%s at %s", r.Query.GetKey(), r.Host.Name)
		if r.Ended.After(signalled.Add(linger)) {
			running++
		}
	}
	t.Logf("%d requests ran beyond the linger time; results %v", running, countResults(all))
	require.Positive(t, running, "no request in flight at the end of the linger time")
	b.checkAtMostOnce(all, b.ledger())
}

// disableColdStart configures the targets, before the start, without a cold start,
// which would make some requests last up to their deadline.
func (b *testbed) disableColdStart() {
	for i := range b.Plan.Services {
		b.Plan.Services[i].Behavior.ColdStart = toucanspec.ColdStart{}
	}
}

// setWorkTime sets how long targets work on a request.
func (b *testbed) setWorkTime(median time.Duration) {
	b.t.Helper()
	b.changeBehavior("*", map[string]any{"work": map[string]any{"median": median.String(), "spread": 0.1}})
}

// sendBurst sends n non-idempotent requests at once, to the hosts in turn, with
// keys that begin with keyPrefix, and waits for all results.
func (b *testbed) sendBurst(client *http.Client, n int, hosts []*toucandeploy.Host, keyPrefix string) []request {
	results := make([]request, n)
	var calls sync.WaitGroup
	for i := range results {
		h, s := hosts[i%len(hosts)], b.Plan.Services[i%len(b.Plan.Services)]
		q := &toucanpb.Query{
			Service: string(s.Name), Route: s.Routes[1].Name, Query: broadQuery, Limit: 1, Timeout: "2s", Key: fmt.Sprintf("%s-%d", keyPrefix, i),
		}
		calls.Go(func() { results[i] = sendRequest(b.ctx, client, h, q) })
	}
	calls.Wait()
	return results
}

// Guards against a host that exits while it runs legs for peers. The requests are
// not idempotent, so that no other host can retry an aborted leg, and the host
// gets SIGTERM, with a linger time of zero, while targets work on them.
func TestPromise10StopOfOwnerWithRunningLegs(t *testing.T) {
	b := newTestbed(t)
	b.Plan.Args = []string{"--linger", "0s"}
	b.disableColdStart()
	const work, normalWork = 150 * time.Millisecond, 5 * time.Millisecond
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
		signalled := time.Now()
		b.signal(owner, syscall.SIGTERM)
		burst := <-sent
		b.requireGracefulExit(owner)
		for _, r := range burst {
			if r.Ended.After(signalled) {
				running++
			}
		}
		all = append(all, burst...)
		b.setWorkTime(normalWork)
		b.restart(owner)
		for _, h := range b.Hosts {
			b.waitForReady(h)
			b.waitForFullCoverage(h)
		}
	}
	t.Logf("%d of %d requests were in flight when a host got SIGTERM; results %v", running, len(all), countResults(all))
	for _, r := range all {
		require.NoError(t, r.Err, "%s at %s", r.Query.GetKey(), r.Host.Name)
	}
	require.Positive(t, running, "no request in flight at SIGTERM")
	b.stopAllHosts()
	b.checkAtMostOnce(all, b.ledger())
}
