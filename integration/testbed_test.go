package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucandeploy"
	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanlaunch"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanspec"
	"toucanstair.example/core/toucanzone"
)

const (
	defaultSeed  = 7
	testTimeout  = 2 * time.Minute // of one test
	pollInterval = 25 * time.Millisecond
	// conditionTimeout bounds eventually; it is long so that a slow machine does
	// not fail a test.
	conditionTimeout = 30 * time.Second
)

// testbed is a deployment with fault-injecting proxies between its processes. Each
// host has its own source IP, and a proxy for the peer address of each other host.
type testbed struct {
	*toucandeploy.Deployment
	t       *testing.T
	ctx     context.Context
	seed    uint64
	random  *rand.Rand // for the goroutine of the test only
	network *network

	sources           map[string]string                 // source IP by host name
	peerProxies       map[string]map[string]*faultProxy // peer proxies by source and destination host name
	storeProxies      map[toucanzone.Name]*faultProxy   // store proxy of each zone
	hostStoreProxies  map[string]*faultProxy            // store proxies of single hosts, instead of the zone's; start replaces nil entries by proxies
	targetProxies     map[string]*faultProxy            // target proxies by replica id, as selected by shouldProxyTarget
	shouldProxyTarget func(replica string) bool         // nil puts no target behind a proxy
	routers           map[string]*sourceRouter          // by destination host name
}

// newTestbed returns a testbed that is not started, so that a test can adjust
// its plan. TOUCAN_BIN is the directory of the programs, and TOUCAN_SEED replaces
// defaultSeed. newTestbed logs the seed and, on failure, the command that repeats
// the test.
func newTestbed(t *testing.T) *testbed {
	t.Helper()
	bin := os.Getenv("TOUCAN_BIN")
	require.NotEmpty(t, bin, "TOUCAN_BIN names the directory of the programs; make process sets it")
	seed := uint64(defaultSeed)
	if text := os.Getenv("TOUCAN_SEED"); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err, "TOUCAN_SEED")
	}
	t.Logf("seed %d", seed)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("repeat: make build && TOUCAN_SEED=%d TOUCAN_BIN=$PWD/bin go test -count=1 -run '^%s$' ./integration/...", seed, t.Name())
		}
	})
	plan, err := toucandeploy.NamedPlan("demo")
	require.NoError(t, err)
	plan.Bin, plan.Dir, plan.Seed = bin, t.TempDir(), seed
	// One target process per zone, so that a test can kill the targets of a zone.
	// Each shard has replicas in two zones.
	plan.Processes = 1
	plan.Args = []string{"--linger", "100ms"}
	launcher := &toucanlaunch.Launcher{}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	b := &testbed{
		Deployment: toucandeploy.New(plan, launcher, nil),
		t:          t, ctx: ctx, seed: seed, random: rand.New(rand.NewPCG(seed, 0)),
		network: newNetwork(t),
		sources: map[string]string{}, peerProxies: map[string]map[string]*faultProxy{},
		storeProxies: map[toucanzone.Name]*faultProxy{}, hostStoreProxies: map[string]*faultProxy{}, targetProxies: map[string]*faultProxy{}, routers: map[string]*sourceRouter{},
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, h := range b.Hosts {
				t.Logf("last output of %s:\n%s", h.Name, tail(h.Process.Stderr(), 20000))
			}
		}
		cancel()
		launcher.Close()
	})
	return b
}

func tail(s string, n int) string { return s[max(0, len(s)-n):] }

// start starts all processes, with proxies between them, and waits until every
// host is ready.
func (b *testbed) start() {
	b.t.Helper()
	require.NoError(b.t, b.StartPlatform(b.ctx))
	for _, z := range b.Plan.Zones {
		b.storeProxies[z.Name] = b.network.startProxy("store-"+string(z.Name), b.Store.Address)
	}
	if b.shouldProxyTarget != nil {
		for _, t := range b.Targets {
			for id, address := range t.Replicas {
				if b.shouldProxyTarget(id) {
					b.targetProxies[id] = b.network.startProxy("target-"+id, address)
					t.Replicas[id] = b.targetProxies[id].address()
				}
			}
		}
	}
	b.Plan.HostArgs = func(h *toucandeploy.Host) []string {
		if b.routers[h.Name] == nil {
			b.routers[h.Name] = newSourceRouter(b.t)
		}
		h.Advertise = b.routers[h.Name].listener.Addr().String()
		store := b.storeProxies[h.Zone]
		if proxy, ok := b.hostStoreProxies[h.Name]; ok {
			if proxy == nil {
				proxy = b.network.startProxy("store-"+h.Name, b.Store.Address)
				b.hostStoreProxies[h.Name] = proxy
			}
			store = proxy
		}
		return []string{"--source", b.sources[h.Name], "--store", store.address()}
	}
	var hosts []*toucandeploy.Host
	for zi, z := range b.Plan.Zones {
		for i := range b.Plan.Hosts {
			h := &toucandeploy.Host{Name: fmt.Sprintf("%s-%d", z.Name, i+1), Zone: z.Name}
			b.sources[h.Name] = fmt.Sprintf("127.0.%d.%d", zi+1, i+1)
			hosts = append(hosts, h)
		}
	}
	for _, h := range hosts {
		require.NoError(b.t, b.StartHost(b.ctx, h))
		for _, from := range hosts {
			if from == h {
				continue
			}
			p := b.network.startProxy(from.Name+" to "+h.Name, h.Peers)
			if b.peerProxies[from.Name] == nil {
				b.peerProxies[from.Name] = map[string]*faultProxy{}
			}
			b.peerProxies[from.Name][h.Name] = p
			b.routers[h.Name].setProxy(b.sources[from.Name], p)
		}
		b.Hosts = append(b.Hosts, h)
	}
	require.NoError(b.t, b.SetHostList(b.ctx))
	require.NoError(b.t, b.Apply(b.ctx))
	require.NoError(b.t, b.WaitReady(b.ctx))
}

// startWithFullCoverage starts the testbed and waits until every host answers
// each service with full coverage.
func (b *testbed) startWithFullCoverage() {
	b.t.Helper()
	b.start()
	for _, h := range b.Hosts {
		b.waitForFullCoverage(h)
	}
}

// waitForFullCoverage waits until a host answers every service with full
// coverage.
func (b *testbed) waitForFullCoverage(h *toucandeploy.Host) {
	b.t.Helper()
	for _, s := range b.Plan.Services {
		q := &toucanpb.Query{Service: string(s.Name), Route: s.Routes[0].Name, Query: broadQuery, Limit: 1000, Timeout: "1s"}
		b.eventually("full coverage at "+h.Name+" for "+string(s.Name), func() bool {
			a, err := b.Search(b.ctx, h.Callers, q)
			return err == nil && a.GetCoverage().GetAnswered() == s.Shards
		})
	}
}

// eventually polls a condition and fails the test after conditionTimeout.
func (b *testbed) eventually(description string, condition func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		require.True(b.t, time.Now().Before(deadline) && b.sleep(pollInterval), "not reached in %v: %s", conditionTimeout, description)
	}
}

// sleep waits and returns false if the test timed out first.
func (b *testbed) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-b.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// host returns a host by its name, such as sierra-1.
func (b *testbed) host(name string) *toucandeploy.Host {
	b.t.Helper()
	for _, h := range b.Hosts {
		if h.Name == name {
			return h
		}
	}
	require.FailNow(b.t, "no host "+name)
	return nil
}

// hostsOf returns the hosts of a zone.
func (b *testbed) hostsOf(zone toucanzone.Name) []*toucandeploy.Host {
	var out []*toucandeploy.Host
	for _, h := range b.Hosts {
		if h.Zone == zone {
			out = append(out, h)
		}
	}
	return out
}

// forEachZoneLink calls do for each peer proxy between a zone and the other
// zones, in both directions.
func (b *testbed) forEachZoneLink(zone toucanzone.Name, do func(*faultProxy)) {
	for _, from := range b.Hosts {
		for _, to := range b.Hosts {
			if (from.Zone == zone) != (to.Zone == zone) {
				do(b.peerProxies[from.Name][to.Name])
			}
		}
	}
}

// partitionZone drops all data between the hosts of a zone and those of other
// zones.
func (b *testbed) partitionZone(zone toucanzone.Name) {
	b.forEachZoneLink(zone, (*faultProxy).partition)
}

// healZone undoes partitionZone.
func (b *testbed) healZone(zone toucanzone.Name) { b.forEachZoneLink(zone, (*faultProxy).heal) }

// partitionStore drops all data between the hosts of a zone and the store.
func (b *testbed) partitionStore(zone toucanzone.Name) { b.storeProxies[zone].partition() }

// healStore undoes partitionStore.
func (b *testbed) healStore(zone toucanzone.Name) { b.storeProxies[zone].heal() }

// isolateHost drops all data between a host and its peers.
func (b *testbed) isolateHost(h *toucandeploy.Host) { b.forEachHostLink(h, (*faultProxy).partition) }

// reconnectHost undoes isolateHost.
func (b *testbed) reconnectHost(h *toucandeploy.Host) { b.forEachHostLink(h, (*faultProxy).heal) }

func (b *testbed) forEachHostLink(h *toucandeploy.Host, do func(*faultProxy)) {
	for _, o := range b.Hosts {
		if o != h {
			do(b.peerProxies[h.Name][o.Name])
			do(b.peerProxies[o.Name][h.Name])
		}
	}
}

// signal sends a signal to a host.
func (b *testbed) signal(h *toucandeploy.Host, s syscall.Signal) {
	b.t.Helper()
	require.NoError(b.t, h.Process.Signal(s))
}

// suspend stops a host with SIGSTOP.
func (b *testbed) suspend(h *toucandeploy.Host) { b.signal(h, syscall.SIGSTOP) }

// resume continues a suspended host.
func (b *testbed) resume(h *toucandeploy.Host) { b.signal(h, syscall.SIGCONT) }

// kill ends a host with SIGKILL.
func (b *testbed) kill(h *toucandeploy.Host) { h.Process.Kill() }

// restart waits until the process of a host that was killed or stopped has exited,
// and starts the host again.
func (b *testbed) restart(h *toucandeploy.Host) {
	b.t.Helper()
	<-h.Process.Exited()
	require.NoError(b.t, b.StartHost(b.ctx, h))
}

// targetProcess returns the process that runs the targets of a zone.
func (b *testbed) targetProcess(zone toucanzone.Name) *toucandeploy.TargetProcess {
	b.t.Helper()
	for _, t := range b.Targets {
		if t.Zone == zone {
			return t
		}
	}
	require.FailNow(b.t, "no target process in "+string(zone))
	return nil
}

// changeBehavior changes the behaviour of a replica, or of all replicas for "*".
// change is encoded as JSON for toucansimulator.Target.Update.
func (b *testbed) changeBehavior(replica string, change any) {
	b.t.Helper()
	if replica != "*" {
		require.NoError(b.t, b.SetBehavior(b.ctx, replica, change))
		return
	}
	for _, t := range b.Targets {
		select {
		case <-t.Process.Exited():
		default:
			require.NoError(b.t, b.Put(b.ctx, t.Admin, "/admin/replica/*", change))
		}
	}
}

// setStoreFault replaces the injected faults of the store, such as {"down": "hang"},
// {"delay": "300ms"}, {"lose": 3} or {"drop": 1}; {} clears them. The keys are those
// of toucanplatform.Fault.
func (b *testbed) setStoreFault(fault map[string]any) {
	b.t.Helper()
	require.NoError(b.t, b.Put(b.ctx, b.Store.Admin, "/admin/fault", fault))
}

// ledger returns what each replica of the running target processes recorded.
func (b *testbed) ledger() map[string]toucanspec.Record {
	b.t.Helper()
	records, err := b.Ledger(b.ctx)
	require.NoError(b.t, err)
	return records
}

// state decodes the /state page of a host into v.
func (b *testbed) state(h *toucandeploy.Host, v any) error {
	body, err := b.Get(b.ctx, h.Ops, "/state")
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return toucanfault.Unknown(toucanpb.Code_CODE_INVALID, "state of "+h.Name).Because(err)
	}
	return nil
}
