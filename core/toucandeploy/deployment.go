// Package toucandeploy runs a complete deployment on this machine: the store,
// targets and hosts, each as a process, with a configuration.
package toucandeploy

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanlaunch"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanspec"
	"toucanstair.example/core/toucanzone"
)

const (
	startTimeout      = 15 * time.Second
	readyTimeout      = 30 * time.Second
	readyPollInterval = 100 * time.Millisecond
	ctlTimeout        = 20 * time.Second
	// stopTimeout is above the sum of the hosts' --linger and --grace, which are
	// 2 s and 30 s by default.
	stopTimeout = 35 * time.Second
)

// Deployment is a set of running processes. Start and StartHost set its fields.
// The launcher's Close kills the processes that still run.
type Deployment struct {
	Plan     Plan
	Launcher *toucanlaunch.Launcher
	Store    *Store
	Targets  []*TargetProcess
	Hosts    []*Host

	log    *zap.Logger
	client *http.Client
}

// Store is the process of the platform's key-value store.
type Store struct {
	Process *toucanlaunch.Process `json:"-"`
	Address string                `json:"address"`
	Admin   string                `json:"admin"` // address of the /admin/ endpoints
}

// TargetProcess is a toucantarget process that serves replicas of one zone.
type TargetProcess struct {
	Process  *toucanlaunch.Process `json:"-"`
	Zone     toucanzone.Name       `json:"-"`
	Admin    string                `json:"admin"`    // address of the /admin/ endpoints
	Replicas map[string]string     `json:"replicas"` // address by replica id
}

// Host is the process of a host.
type Host struct {
	Process *toucanlaunch.Process `json:"-"`
	Name    string                `json:"-"`
	Zone    toucanzone.Name       `json:"-"`
	Callers string                `json:"callers"` // address for callers
	// Advertise is the peer address announced to other hosts; if empty, Peers is.
	Advertise string `json:"-"`
	Peers     string `json:"peers"` // address for other hosts
	Ops       string `json:"ops"`   // address for operators
}

// New returns a deployment without starting it; log may be nil.
func New(plan Plan, launcher *toucanlaunch.Launcher, log *zap.Logger) *Deployment {
	if log == nil {
		log = zap.NewNop()
	}
	return &Deployment{
		Plan: plan, Launcher: launcher, log: log,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
}

// Start starts all processes, applies the configuration and waits until every
// host is ready.
func (d *Deployment) Start(ctx context.Context) error {
	for _, step := range []func(context.Context) error{
		d.StartPlatform, d.StartHosts, d.Apply, d.WaitReady,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// StartPlatform starts the store and the targets.
func (d *Deployment) StartPlatform(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	store := &Store{}
	p, err := d.Launcher.Launch(ctx, d.program("toucanstore", "store"), store)
	if err != nil {
		return err
	}
	store.Process = p
	d.Store = store
	processes := max(d.Plan.Processes, 1)
	for _, z := range d.Plan.Zones {
		parts := make([][]toucanspec.Replica, processes)
		n := 0
		for _, r := range d.Plan.replicas() {
			if r.Zone == z.Name {
				parts[n%processes] = append(parts[n%processes], r.Replica)
				n++
			}
		}
		for i, part := range parts {
			name := fmt.Sprintf("targets-%s-%d", z.Name, i)
			if err := d.startTargets(ctx, z.Name, name, part); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Deployment) startTargets(ctx context.Context, zone toucanzone.Name, name string, part []toucanspec.Replica) error {
	specs, err := json.Marshal(part)
	if err != nil {
		return failure("encoding the replicas of "+name, err)
	}
	program := d.program("toucantarget", name, "--seed", strconv.FormatUint(d.Plan.Seed, 10))
	program.Stdin = specs
	t := &TargetProcess{Zone: zone}
	if t.Process, err = d.Launcher.Launch(ctx, program, t); err != nil {
		return err
	}
	d.Targets = append(d.Targets, t)
	return nil
}

// StartHosts starts all hosts and sets the platform's host list.
func (d *Deployment) StartHosts(ctx context.Context) error {
	for _, z := range d.Plan.Zones {
		for i := range d.Plan.Hosts {
			h := &Host{Name: fmt.Sprintf("%s-%d", z.Name, i+1), Zone: z.Name}
			if err := d.StartHost(ctx, h); err != nil {
				return err
			}
			d.Hosts = append(d.Hosts, h)
		}
	}
	return d.SetHostList(ctx)
}

// StartHost starts the process of a host; a restarted host keeps its addresses.
func (d *Deployment) StartHost(ctx context.Context, h *Host) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	const free = "127.0.0.1:0"
	args := []string{
		"--name", h.Name, "--zone", string(h.Zone), "--store", d.Store.Address,
		"--report", "--callers", cmp.Or(h.Callers, free), "--peers", cmp.Or(h.Peers, free), "--ops", cmp.Or(h.Ops, free),
	}
	args = append(args, d.Plan.Args...)
	if d.Plan.HostArgs != nil {
		args = append(args, d.Plan.HostArgs(h)...)
	}
	if h.Advertise != "" {
		args = append(args, "--advertise", h.Advertise)
	}
	program := d.program("toucanstair", h.Name, args...)
	program.Env = d.Plan.Env
	p, err := d.Launcher.Launch(ctx, program, h)
	if err != nil {
		return err
	}
	h.Process = p
	return nil
}

// SetHostList sets the platform's host list to all hosts, in the state live.
func (d *Deployment) SetHostList(ctx context.Context) error {
	list := []*toucanpb.HostStatus{}
	for _, h := range d.Hosts {
		list = append(list, &toucanpb.HostStatus{Name: h.Name, State: "live"})
	}
	return d.Put(ctx, d.Store.Admin, "/admin/hosts", map[string]any{"hosts": list})
}

// Apply writes the configuration folder and applies it.
func (d *Deployment) Apply(ctx context.Context) error {
	if err := d.WriteRules(); err != nil {
		return err
	}
	_, err := d.RunToucanctl(ctx, "apply", d.Plan.Dir)
	return err
}

// ZoneOut takes a zone out of service.
func (d *Deployment) ZoneOut(ctx context.Context, zone toucanzone.Name) error {
	_, err := d.RunToucanctl(ctx, "zone", "out", string(zone), "--dir", d.Plan.Dir)
	return err
}

// RunToucanctl runs toucanctl against the store and returns its output on stderr.
// It fails if the exit code is not 0.
func (d *Deployment) RunToucanctl(ctx context.Context, args ...string) (string, error) {
	name := "toucanctl " + strings.Join(args, " ")
	p, err := d.Launcher.Start(ctx, d.program("toucanctl", name, append(args, "--store", d.Store.Address)...))
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, ctlTimeout)
	defer cancel()
	code, err := p.Wait(ctx)
	if err != nil {
		p.Kill()
		return "", err
	}
	if code != 0 {
		return "", exitError(p, code)
	}
	return p.Stderr(), nil
}

// WaitReady waits until every host with a running process is ready.
func (d *Deployment) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, h := range d.Hosts {
		if err := d.waitReady(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) waitReady(ctx context.Context, h *Host) error {
	for {
		body, err := d.Get(ctx, h.Ops, "/ready")
		if err == nil {
			return nil
		}
		timer := time.NewTimer(readyPollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return failure(fmt.Sprintf("host %s is not ready: %s; stderr: %s", h.Name, body, h.Process.Stderr()), err)
		case <-h.Process.Exited():
			timer.Stop()
			return failure(fmt.Sprintf("host %s exited; stderr: %s", h.Name, h.Process.Stderr()), err)
		case <-timer.C:
		}
	}
}

// Stop sends SIGTERM to the hosts, all at once, then to the targets and the
// store, and fails unless all exit with code 0.
func (d *Deployment) Stop(ctx context.Context) error {
	var hosts, rest []*toucanlaunch.Process
	for _, h := range d.Hosts {
		hosts = append(hosts, h.Process)
	}
	for _, t := range d.Targets {
		rest = append(rest, t.Process)
	}
	if d.Store != nil {
		rest = append(rest, d.Store.Process)
	}
	err := errors.Join(stop(ctx, hosts), stop(ctx, rest))
	d.client.CloseIdleConnections()
	return err
}

func stop(ctx context.Context, processes []*toucanlaunch.Process) error {
	ended := make(chan error, len(processes))
	n := 0
	for _, p := range processes {
		select {
		case <-p.Exited():
			// Killed earlier by the test or tool.
			continue
		default:
		}
		n++
		go func() {
			code, err := p.Stop(ctx, syscall.SIGTERM, stopTimeout)
			if err == nil && code != 0 {
				err = exitError(p, code)
			}
			ended <- err
		}()
	}
	var all []error
	for range n {
		all = append(all, <-ended)
	}
	return errors.Join(all...)
}

func (d *Deployment) replicaAddress(replica string) string {
	for _, t := range d.Targets {
		if a := t.Replicas[replica]; a != "" {
			return a
		}
	}
	return ""
}

func (d *Deployment) program(program, name string, args ...string) toucanlaunch.Program {
	return toucanlaunch.Program{Name: name, Path: filepath.Join(d.Plan.Bin, program), Args: args}
}

func exitError(p *toucanlaunch.Process, code int) error {
	return &toucanfault.Error{
		Code:   toucanpb.Code_CODE_FAILED,
		Detail: fmt.Sprintf("%s exited with code %d; stderr: %s", p.Name(), code, p.Stderr()),
	}
}
