// Command review3 runs the cases of the third review against the built entry host.
//
//	review3 CASE RECORD
//
// It is started in the repository's root. It exits with 1 if the rule was broken, with 0
// if it held, and with 2 if the case could not run. TROUBLE=0 leaves out the disruption, KEEP=1 keeps the hosts' logs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sort"
	"syscall"
	"time"
)

// bed is a small deployment.
type bed struct {
	log     *record
	dir     string
	store   *store
	hosts   []*host
	servers []*server
	clients *clients
	trouble bool
}

// zones of the deployment. Two hosts are in the first one.
var zones = []string{"quito-a", "tena-a"}

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by name.
var cases = map[string]func(context.Context, *bed) (verdict, error){}

const caseLimit = 110 * time.Second

// The hosts end with the thread that has started them, so that is the main one.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	log, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer log.Close()
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		log.Say("can't run: %v", err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("settings and logs of the hosts:", dir)
	}
	b := &bed{log: log, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	defer b.close()
	log.Say("case %s, disruption %v", name, b.trouble)
	v, err := cases[name](ctx, b)
	switch {
	case err != nil:
		log.Say("can't run: %v", err)
		return 2
	case v.broken:
		log.Say("BROKEN: %s", v.text)
		return 1
	}
	log.Say("held: %s", v.text)
	return 0
}

// start starts the store with a configuration, the servers and the hosts.
func (b *bed) start(ctx context.Context, config map[string]any, servers []*server) error {
	var err error
	if b.store, err = newStore(b.log); err != nil {
		return err
	}
	b.store.Put("op/config", config)
	for _, s := range servers {
		if err := b.add(s); err != nil {
			return err
		}
	}
	for i, zone := range []string{zones[0], zones[0], zones[1]} {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()/250%200, 1+os.Getpid()%250, 10+i)
		h, err := newHost(b.dir, ip, fmt.Sprintf("front-%s-%d", zone, i+1), zone, zones, b.store.Address, b.log)
		if err != nil {
			return err
		}
		b.hosts = append(b.hosts, h)
	}
	for _, h := range b.hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	for _, h := range b.hosts {
		if err := h.WaitReady(ctx); err != nil {
			return err
		}
	}
	b.clients = newClients(b.hosts, b.log)
	return nil
}

// add starts a server.
func (b *bed) add(s *server) error {
	s.store, s.log = b.store, b.log
	b.servers = append(b.servers, s)
	return s.Start()
}

func (b *bed) close() {
	for _, h := range b.hosts {
		h.Kill()
	}
	for _, s := range b.servers {
		s.Stop()
	}
}

// arrivals returns what all servers got, in order.
func (b *bed) arrivals() []arrival {
	var out []arrival
	for _, s := range b.servers {
		out = append(out, s.Arrivals()...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].At.Before(out[j].At) })
	return out
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// configuration returns a document for op/config with one route to each service.
func configuration(version int, routes []map[string]any, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
