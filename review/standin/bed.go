package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readyTimeout = 25 * time.Second
	gracePeriod  = 6 * time.Second
	program      = "target/toucanedge" // as in the deploy file
)

// zones of the deployment with their regions and numbers of hosts, as at
// plumas-buscador.
var zones = []struct {
	name, region string
	hosts        int
}{{"quito-a", "sierra", 3}, {"guayaquil-a", "costa", 1}, {"tena-a", "oriente", 2}}

// bed is a deployment: a store, replicas and entry hosts, which are processes.
type bed struct {
	store  *store
	folder string
	hosts  []*host
	// share returns a host's share of a core, 0.4 for all hosts if it is nil.
	share func(h *host) float64
	start time.Time

	mu     sync.Mutex
	record *os.File
}

// host is one entry host.
type host struct {
	name, zone, region, ip, front, readiness string
	peerPort                                 int
	path                                     string // of its settings
	link                                     *storeLink
	process                                  *exec.Cmd
	ended                                    chan error
}

// cantRun is the panic value of a case that couldn't run.
type cantRun struct{ err error }

func check(err error) {
	if err != nil {
		panic(cantRun{err})
	}
}

// newBed starts the store and opens the record.
func newBed(recordPath string) *bed {
	b := &bed{store: newStore(), start: time.Now()}
	var err error
	b.record, err = os.Create(recordPath)
	check(err)
	b.folder, err = os.MkdirTemp("", "review-")
	check(err)
	return b
}

// storeLink is the way of one host to the store.
type storeLink struct {
	store   *store
	address string

	mu        sync.Mutex
	cutOff    bool
	lastWatch time.Time
	watches   int // that the host has sent
}

func newStoreLink(s *store) *storeLink {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	k := &storeLink{store: s, address: l.Addr().String()}
	go func() { _ = http.Serve(l, k) }()
	return k
}

// ServeHTTP passes a call on to the store. While the link is cut off, neither a call nor an
// answer gets through, and the host sees silence.
func (k *storeLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	if r.URL.Path == "/kv-watch" {
		k.lastWatch = time.Now()
		k.watches++
	}
	lost := k.cutOff
	k.mu.Unlock()
	var answer httptest.ResponseRecorder
	if !lost {
		answer = *httptest.NewRecorder()
		k.store.ServeHTTP(&answer, r)
		k.mu.Lock()
		lost = k.cutOff
		k.mu.Unlock()
	}
	if lost {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

func (k *storeLink) cut(off bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cutOff = off
}

// watched returns when the host sent its last watch, and how many it has sent.
func (k *storeLink) watched() (time.Time, int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastWatch, k.watches
}

// note writes a line with the time since the start to the record.
func (b *bed) note(format string, args ...any) { b.noteAt(time.Now(), format, args...) }

func (b *bed) noteAt(at time.Time, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f %s\n", at.Sub(b.start).Seconds(), fmt.Sprintf(format, args...))
}

// startHosts starts all entry hosts and waits until they are ready.
func (b *bed) startHosts() {
	pid, n := os.Getpid(), 0
	for _, z := range zones {
		for i := range z.hosts {
			n++
			ip := fmt.Sprintf("127.%d.%d.%d", 2+pid/250%250, 1+pid%250, 10+n)
			h := &host{name: fmt.Sprintf("front-%s-%d", z.name, i+1), zone: z.name, region: z.region, ip: ip}
			free := freeAddresses(ip, 3)
			h.front, h.readiness = free[0], free[1]
			_, port, _ := net.SplitHostPort(free[2])
			h.peerPort, _ = strconv.Atoi(port)
			h.path = filepath.Join(b.folder, h.name+".toml")
			h.link = newStoreLink(b.store)
			share := 0.4
			if b.share != nil {
				share = b.share(h)
			}
			h.writeSettings(h.link.address, share)
			b.hosts = append(b.hosts, h)
		}
	}
	for _, h := range b.hosts {
		h.run(b)
	}
	for _, h := range b.hosts {
		h.waitReady()
	}
	b.note("hosts ready")
}

// freeAddresses returns addresses with different free ports.
func freeAddresses(ip string, n int) []string {
	var out []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		check(err)
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

// writeSettings writes the settings file of a small deployment.
func (h *host) writeSettings(storeAddress string, share float64) {
	var table strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&table, "%s = %q\n", z.name, z.region)
	}
	text := fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "front"
serves = ["front"]
ip_address = %q
zone = %q
region = %q
internal_ports = [%d,%d]
seeds = []
bootstrap = true
counts_as_loss = true
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places","rollout","platform"]
[zones]
%s[listen]
front = %q
readiness = %q
[limits]
cpu_share = %g
cores = 1
memory_mb = 284
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 2
zones = 1
regions = 1
[bounds]
seed_lag_s = 3
address_reuse_s = 2
stable_window_ms = 5000
acknowledge_ms = 6000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
configuration_apply_ms = 3000
rollback_slack_ms = 250
max_stretch_ms = 15000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 52
exposure_share = 0.1
exposure_slack = 50
rollback_ms = 5000
warmup_overshoot = 1.5
warmup_slack = 5
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
`, h.name, h.ip, h.zone, h.region, h.peerPort, h.peerPort, table.String(), h.front, h.readiness, share, storeAddress)
	check(os.WriteFile(h.path+".new", []byte(text), 0o600))
	check(os.Rename(h.path+".new", h.path))
}

// run starts the process of the host.
func (h *host) run(b *bed) {
	out, err := os.Create(filepath.Join(b.folder, h.name+".log"))
	check(err)
	h.process = exec.Command(program)
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TOUCANSTAIR_SETTINGS=" + h.path}
	h.process.Stdout, h.process.Stderr = out, out
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(h.process.Start())
	h.ended = make(chan error, 1)
	go func() { h.ended <- h.process.Wait() }()
	b.note("host %s started, pid %d, %s", h.name, h.process.Process.Pid, h.front)
}

func (h *host) waitReady() {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(50 * time.Millisecond) {
		res, err := http.Get("http://" + h.readiness + "/readiness")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == 200 {
				return
			}
		}
		if time.Now().After(end) {
			log, _ := os.ReadFile(strings.TrimSuffix(h.path, ".toml") + ".log")
			panic(cantRun{fmt.Errorf("host %s is not ready: %v; its log ends with %q", h.name, err, log[max(0, len(log)-600):])})
		}
	}
}

// stop ends all processes, and keeps their logs if the environment asks for it.
func (b *bed) stop() {
	for _, h := range b.hosts {
		if h.process != nil && h.process.Process != nil {
			_ = h.process.Process.Signal(syscall.SIGTERM)
		}
	}
	deadline := time.After(gracePeriod)
	for _, h := range b.hosts {
		if h.ended == nil {
			continue
		}
		select {
		case <-h.ended:
		case <-deadline:
			_ = h.process.Process.Kill()
			<-h.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.folder)
	}
}
