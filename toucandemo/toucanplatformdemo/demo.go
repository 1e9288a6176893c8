// Package toucanplatformdemo demonstrates the entry host on the users' platform.
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
	// zoneTime is how soon a zone that was taken out gets nothing, changeTime how
	// soon hosts know that targets left.
	zoneTime   = 5 * time.Second
	changeTime = 4 * time.Second
	// wholeTime is how long a host is asked until a response has all shards that
	// have targets; on a busy machine one may be late.
	wholeTime = 5 * time.Second
	lost      = 4 // the shard whose targets crash
	questions = 20
)

// Demo runs the demonstration on a deployment that is not started.
type Demo struct {
	Testbed *toucantestbed.Testbed
	Out     io.Writer

	asked int
}

// Run runs all steps and stops the deployment; it fails when a step did not go as
// described.
func (s *Demo) Run(ctx context.Context) error {
	for _, step := range []struct {
		title string
		run   func(context.Context) error
	}{
		{"Start the platform's store, targets and three entry hosts", s.Testbed.Start},
		{"Ask each host for the records of all shards", s.askAll},
		{fmt.Sprintf("Crash both targets of shard %d and ask again", lost), s.lose},
		{"Take zone " + toucantestbed.Zones[0] + " out of service and ask again", s.takeOut},
		{"Let the store refuse all calls and ask again", s.withoutStore},
		{"Stop the hosts with SIGTERM", s.Testbed.Stop},
	} {
		began := time.Now()
		s.say("\n== On the users' platform: %s", step.title)
		if err := step.run(ctx); err != nil {
			return wrong(err, "%s", step.title)
		}
		s.say("   (%s)", time.Since(began).Round(time.Millisecond))
	}
	s.say("\nAll hosts exited with code 0.")
	return nil
}

func (s *Demo) askAll(ctx context.Context) error { return s.ask(ctx, s.Testbed.ShardCount()) }

// ask asks all hosts until their responses have a number of shards, never more, and
// prints the responses.
func (s *Demo) ask(ctx context.Context, want int) error {
	lines, err := s.responses(ctx, want)
	for _, line := range lines {
		s.say("   %s", line)
	}
	return err
}

func (s *Demo) responses(ctx context.Context, want int) ([]string, error) {
	var lines []string
	for i, name := range s.Testbed.HostNames() {
		for until := time.Now().Add(wholeTime); ; {
			s.asked++
			id := fmt.Sprint("demo-", s.asked)
			records, in, err := s.Testbed.Query(ctx, i, id)
			if err != nil {
				return lines, wrong(err, "host %s", name)
			}
			lines = append(lines, fmt.Sprintf("%-9s %s: %d of %d shards, greatest records %v", name, id, in, s.Testbed.ShardCount(), records))
			if in == want {
				break
			}
			if in > want || time.Now().After(until) {
				return lines, wrong(nil, "host %s answers with %d shards, not %d", name, in, want)
			}
		}
	}
	return lines, nil
}

func (s *Demo) lose(ctx context.Context) error {
	if err := s.Testbed.CrashShard(lost); err != nil {
		return err
	}
	toucantimer.Wait(ctx, changeTime)
	return s.ask(ctx, s.Testbed.ShardCount()-1)
}

func (s *Demo) takeOut(ctx context.Context) error {
	zone := toucantestbed.Zones[0]
	if err := s.Testbed.TakeZoneOutOfService(zone); err != nil {
		return err
	}
	toucantimer.Wait(ctx, zoneTime)
	before := s.Testbed.RequestsRun(zone)
	for range questions {
		if _, err := s.responses(ctx, s.Testbed.ShardCount()-1); err != nil {
			return err
		}
	}
	if after := s.Testbed.RequestsRun(zone); after != before {
		return wrong(nil, "targets of zone %s ran %d requests", zone, after-before)
	}
	s.say("   targets of zone %s ran none of %d requests", zone, questions*len(s.Testbed.HostNames()))
	return s.ask(ctx, s.Testbed.ShardCount()-1)
}

func (s *Demo) withoutStore(ctx context.Context) error {
	s.Testbed.SetStoreUnavailable(true)
	defer s.Testbed.SetStoreUnavailable(false)
	toucantimer.Wait(ctx, changeTime)
	return s.ask(ctx, s.Testbed.ShardCount()-1)
}

func (s *Demo) say(format string, args ...any) { fmt.Fprintf(s.Out, format+"\n", args...) }

// wrong says which step did not go as described; cause may be nil.
func wrong(cause error, format string, args ...any) error {
	return (&toucanfault.Error{Code: toucanpb.Code_CODE_FAILED, Detail: fmt.Sprintf(format, args...)}).Because(cause)
}
