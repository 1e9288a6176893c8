package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	entryBinary = "target/toucanedge" // "run" of the deploy file

	frontPort, readinessPort, peerPort, metricsPort = 8104, 8108, 7380, 9464

	// Bounds of the small deployment, as in the settings of the pages' small sites.
	stableWindow = 4000 * time.Millisecond
	applyTime    = 3000 * time.Millisecond
	drainTime    = 3000 * time.Millisecond
	maxStretch   = 12000 * time.Millisecond
	graceTime    = 6 * time.Second
	lossSlack    = 200 * time.Millisecond

	readyTimeout = 20 * time.Second
)

// errCantRun means that a case couldn't run.
var errCantRun = errors.New("the case couldn't run")

// bed is a small deployment: the store and the replicas in this process, and entry hosts
// as processes of their own.
type bed struct {
	rec      *record
	store    *store
	storeAt  string
	base     string // "127.a.b."
	dir      string // for the settings
	hosts    []*host
	replicas []*replica
	regions  map[string]string // zone to region
	next     int
}

type host struct {
	name, ip, zone string
	command        *exec.Cmd
	log            *os.File
	ended          chan struct{}
}

func newBed(rec *record, regions map[string]string) (*bed, error) {
	b := &bed{rec: rec, store: newStore(), regions: regions, next: 10}
	var err error
	if b.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	for range 50 {
		b.base = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))
		if free(b.base+"10", frontPort, readinessPort, peerPort, metricsPort) {
			break
		}
	}
	l, err := net.Listen("tcp", b.base+"2:0")
	if err != nil {
		return nil, err
	}
	b.storeAt = l.Addr().String()
	go func() { _ = http.Serve(l, b.store) }()
	return b, nil
}

func free(ip string, ports ...int) bool {
	for _, p := range ports {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// newReplica returns a replica that is not started yet.
func (b *bed) newReplica(service, zone string, work time.Duration) *replica {
	p := &replica{
		id: fmt.Sprintf("i-%04x", 4096+(len(b.replicas)+1)*37), service: service, zone: zone, version: "v1", slots: 8, address: b.base + "3:0", work: work,
		rec: b.rec, store: b.store,
	}
	b.replicas = append(b.replicas, p)
	return p
}

// addReplicas starts count replicas of a service in each zone.
func (b *bed) addReplicas(service string, count int, work time.Duration, zones ...string) ([]*replica, error) {
	var out []*replica
	for _, zone := range zones {
		for range count {
			p := b.newReplica(service, zone, work)
			if err := p.start(); err != nil {
				return nil, err
			}
			out = append(out, p)
			// Heartbeats of replicas are not in step.
			time.Sleep(heartbeatInterval / 40)
		}
	}
	return out, nil
}

// addHost writes the settings of an entry host and starts its process.
func (b *bed) addHost(zone string) (*host, error) {
	ip := fmt.Sprintf("%s%d", b.base, b.next)
	b.next++
	h := &host{name: fmt.Sprintf("front-%s-%d", zone, b.next), ip: ip, zone: zone, ended: make(chan struct{})}
	var zones strings.Builder
	for z, region := range b.regions {
		fmt.Fprintf(&zones, "%s = %q\n", z, region)
	}
	settings := fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "front"
serves = ["front"]
ip_address = %q
zone = %q
region = %q
internal_ports = [%d,%d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = %d
contracts = ["base","drain","config","cost","retry","recover","scatter","places","rollout","platform"]
[zones]
%s[listen]
front = "%s:%d"
readiness = "%s:%d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
file_descriptors = 4100
[tolerate]
machines = 2
zones = 1
regions = 1
[bounds]
address_reuse_s = 2
stable_window_ms = %d
acknowledge_ms = 5000
catch_up_s = 4
drain_ms = %d
grace_s = %d
loss_slack_ms = %d
configuration_apply_ms = %d
rollback_slack_ms = 250
max_stretch_ms = %d
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 52
evacuation_ms = 5000
recovery_s = 12
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`, h.name, ip, zone, b.regions[zone], peerPort, peerPort+15, heartbeatInterval.Milliseconds(), zones.String(), ip, frontPort, ip, readinessPort,
		stableWindow.Milliseconds(), drainTime.Milliseconds(), int(graceTime.Seconds()), lossSlack.Milliseconds(), applyTime.Milliseconds(), maxStretch.Milliseconds(), b.storeAt)
	path := filepath.Join(b.dir, h.name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(b.dir, h.name+".log"))
	if err != nil {
		return nil, err
	}
	h.log = log
	h.command = exec.Command(entryBinary)
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TOUCANSTAIR_SETTINGS=" + path}
	h.command.Stdout, h.command.Stderr = log, log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = h.command.Wait() // its exit code is logged below
		close(h.ended)
		b.rec.add("host ended", map[string]any{"host": h.name, "code": h.command.ProcessState.ExitCode()})
	}()
	b.rec.add("host started", map[string]any{"host": h.name, "ip": ip, "zone": zone})
	b.hosts = append(b.hosts, h)
	return h, nil
}

// ready reports whether the readiness probe of a host succeeds.
func (h *host) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readiness", h.ip, readinessPort), nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}

// waitReady waits until all hosts are ready.
func (b *bed) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, h := range b.hosts {
			all = all && h.ready()
		}
		if all {
			b.rec.add("all hosts are ready", nil)
			return nil
		}
	}
	return fmt.Errorf("%w: not all hosts are ready", errCantRun)
}

func (h *host) front() string { return fmt.Sprintf("%s:%d", h.ip, frontPort) }

// stop ends all processes that were started, and removes the settings and the logs.
func (b *bed) stop() {
	for _, h := range b.hosts {
		_ = h.command.Process.Signal(syscall.SIGKILL)
		<-h.ended
		h.log.Close()
	}
	for _, p := range b.replicas {
		p.stopped.Store(true)
		if p.server != nil {
			p.server.Close()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs of the hosts:", b.dir)
	}
}
