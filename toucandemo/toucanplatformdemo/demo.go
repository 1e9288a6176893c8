// Package toucanplatformdemo demonstrates entry hosts on the users' platform.
package toucanplatformdemo

import (
	"context"
	"fmt"
	"io"
	"time"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucantimer"
	"toucanstair.example/platform/toucantestbed"
)

const (
	// After zoneDelay, a zone taken out of service gets no requests. After
	// membershipDelay, hosts know that targets have crashed; the store is also
	// unavailable for that time before the hosts are queried.
	zoneDelay       = 5 * time.Second
	membershipDelay = 4 * time.Second
	// coverageTimeout bounds the queries to a host until a response has all
	// shards that have targets; on a busy machine one may be late.
	coverageTimeout = 5 * time.Second
	crashedShard    = 4  // number of the shard whose targets crash
	queryRounds     = 20 // queries to each host with a zone out of service, not counting retries
)

// Demo runs the demonstration on a testbed that has not been started.
type Demo struct {
	Testbed *toucantestbed.Testbed
	Out     io.Writer

	queryCount int
}

// Run runs all steps, the last of which stops the hosts. It returns an error with
// CODE_FAILED that names the step that failed.
func (d *Demo) Run(ctx context.Context) error {
	for _, step := range []struct {
		title string
		run   func(context.Context) error
	}{
		{"Start the platform's store, targets and three entry hosts", d.Testbed.Start},
		{"Query each host for the records of all shards", d.queryAll},
		{fmt.Sprintf("Crash both targets of shard %d and query again", crashedShard), d.crashShard},
		{"Take zone " + toucantestbed.Zones[0] + " out of service and query again", d.takeZoneOut},
		{"Let the store refuse all calls and query again", d.makeStoreUnavailable},
		{"Stop the hosts with SIGTERM", d.Testbed.Stop},
	} {
		began := time.Now()
		d.printf("\n== On the users' platform: %s", step.title)
		if err := step.run(ctx); err != nil {
			return failedf(err, "%s", step.title)
		}
		d.printf("   (%s)", time.Since(began).Round(time.Millisecond))
	}
	d.printf("\nAll hosts exited with code 0.")
	return nil
}

func (d *Demo) queryAll(ctx context.Context) error { return d.queryHosts(ctx, d.Testbed.ShardCount()) }

// queryHosts queries all hosts until each response has want shards and prints the
// responses. More shards than that are an error.
func (d *Demo) queryHosts(ctx context.Context, want int) error {
	lines, err := d.collectResponses(ctx, want)
	for _, line := range lines {
		d.printf("   %s", line)
	}
	return err
}

func (d *Demo) collectResponses(ctx context.Context, want int) ([]string, error) {
	var lines []string
	for i, name := range d.Testbed.HostNames() {
		for until := time.Now().Add(coverageTimeout); ; {
			d.queryCount++
			id := fmt.Sprint("demo-", d.queryCount)
			records, shards, err := d.Testbed.Query(ctx, i, id)
			if err != nil {
				return lines, failedf(err, "host %s", name)
			}
			lines = append(lines, fmt.Sprintf("%-9s %s: %d of %d shards, greatest records %v", name, id, shards, d.Testbed.ShardCount(), records))
			if shards == want {
				break
			}
			if shards > want || time.Now().After(until) {
				return lines, failedf(nil, "host %s answers with %d shards, not %d", name, shards, want)
			}
		}
	}
	return lines, nil
}

func (d *Demo) crashShard(ctx context.Context) error {
	if err := d.Testbed.CrashShard(crashedShard); err != nil {
		return err
	}
	toucantimer.Wait(ctx, membershipDelay)
	return d.queryHosts(ctx, d.Testbed.ShardCount()-1)
}

func (d *Demo) takeZoneOut(ctx context.Context) error {
	zone := toucantestbed.Zones[0]
	if err := d.Testbed.TakeZoneOutOfService(zone); err != nil {
		return err
	}
	toucantimer.Wait(ctx, zoneDelay)
	before := d.Testbed.RequestsRun(zone)
	for range queryRounds {
		if _, err := d.collectResponses(ctx, d.Testbed.ShardCount()-1); err != nil {
			return err
		}
	}
	if after := d.Testbed.RequestsRun(zone); after != before {
		return failedf(nil, "targets of zone %s ran %d requests", zone, after-before)
	}
	d.printf("   targets of zone %s ran none of %d requests", zone, queryRounds*len(d.Testbed.HostNames()))
	return d.queryHosts(ctx, d.Testbed.ShardCount()-1)
}

func (d *Demo) makeStoreUnavailable(ctx context.Context) error {
	d.Testbed.SetStoreUnavailable(true)
	defer d.Testbed.SetStoreUnavailable(false)
	toucantimer.Wait(ctx, membershipDelay)
	return d.queryHosts(ctx, d.Testbed.ShardCount()-1)
}

func (d *Demo) printf(format string, args ...any) { fmt.Fprintf(d.Out, format+"\n", args...) }

// failedf returns an error with CODE_FAILED; cause may be nil.
func failedf(cause error, format string, args ...any) error {
	return (&toucanfault.Error{Code: toucanpb.Code_CODE_FAILED, Detail: fmt.Sprintf(format, args...)}).Because(cause)
}
