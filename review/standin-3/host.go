package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// host is a process of the system, started as the deploy file says.
type host struct {
	name             string
	front, readiness string
	settings         string
	log              *record
	command          *exec.Cmd
	exited           chan struct{}
}

// runCommand is "run" of deploy/system.toml.
const runCommand = "target/toucanedge"

// freePort returns a port that is free on an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// bounds are the bounds in the settings of a small deployment.
const bounds = `seed_lag_s = 3
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
`

// newHost prepares a host with settings in the platform's format.
func newHost(dir, ip, name, zone string, zones []string, storeAddress string, log *record) (*host, error) {
	h := &host{name: name, settings: filepath.Join(dir, name+".toml"), log: log}
	var ports []int
	for range 3 { // front, readiness, between hosts
		p, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports = append(ports, p)
	}
	h.front, h.readiness = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
	var zoneTable strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&zoneTable, "%s = \"region-%s\"\n", z, z)
	}
	text := fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "front"
serves = ["front"]
ip_address = %q
zone = %q
region = "region-%s"
internal_ports = [%d,%d]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1000
contracts = ["base","drain","config","cost","retry","recover","scatter","places","rollout","platform"]
[zones]
%s[listen]
front = %q
readiness = %q
[limits]
cpu_share = 0.4
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
%s[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`, name, ip, zone, zone, ports[2], ports[2]+15, zoneTable.String(), h.front, h.readiness, bounds, storeAddress)
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

// Start starts the process.
func (h *host) Start() error {
	out, err := os.Create(h.settings + ".log")
	if err != nil {
		return err
	}
	words := strings.Fields(runCommand)
	h.command = exec.Command(words[0], words[1:]...)
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TOUCANSTAIR_SETTINGS=" + h.settings}
	h.command.Stdout, h.command.Stderr = out, out
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	h.log.Add(h.name, "started, pid %d, front %s", h.command.Process.Pid, h.front)
	h.exited = make(chan struct{})
	go func() {
		err := h.command.Wait()
		h.log.Add(h.name, "process ended: %v", err)
		close(h.exited)
	}()
	return nil
}

// SetBound rewrites one bound in the settings file and tells the process so.
func (h *host) SetBound(name, value string) error {
	text, err := os.ReadFile(h.settings)
	if err != nil {
		return err
	}
	lines := strings.Split(string(text), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, name+" = ") {
			lines[i] = name + " = " + value
		}
	}
	if err := os.WriteFile(h.settings, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		return err
	}
	h.log.Add(h.name, "settings changed: %s = %s", name, value)
	return h.command.Process.Signal(syscall.SIGHUP)
}

// Kill kills the process and waits for its end.
func (h *host) Kill() {
	if h.command == nil {
		return
	}
	_ = h.command.Process.Kill()
	<-h.exited
}

// WaitReady waits until the readiness probe succeeds.
func (h *host) WaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		r, err := http.Get("http://" + h.readiness + "/readiness")
		if err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				h.log.Add(h.name, "ready")
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("host %s is not ready", h.name)
}
