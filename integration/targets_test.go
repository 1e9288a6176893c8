package integration

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"strings"
	"testing/fstest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanspec"
	"toucanstair.example/core/toucanzone"
)

const (
	// saturatingTimeout is the timeout of queries under saturating load. A leg in
	// flight ends within it plus the 250 ms that a host waits for a target to close
	// the connection.
	saturatingTimeout = 500 * time.Millisecond
	// coldDetectionTime is the time within which all owners of a target's slots know
	// that a response to one of them reported a cold start: legs in flight end, and
	// a lost message is sent again with a heartbeat, every 500 ms.
	coldDetectionTime = saturatingTimeout + 250*time.Millisecond + 500*time.Millisecond
	// noNewWorkAfter is the time after which a draining or removed target gets no
	// new work, counted from the change, and a faulty version none, counted from
	// its first visible faults.
	noNewWorkAfter = 5 * time.Second
)

// planWorkTime sets the median work time of all services before the start, so
// that a moderate rate keeps all slots in use on any machine.
func (b *testbed) planWorkTime(median time.Duration) {
	for i := range b.Plan.Services {
		b.Plan.Services[i].Behavior.Work.Median = toucanspec.Duration(median)
	}
}

// configFolder generates the configuration folder, so that a test can omit
// replicas, set their versions and add rollouts.
type configFolder struct {
	*testbed
	omitted      map[string]bool        // replicas that are left out, by id
	versionLabel func(id string) string // version of a replica; nil keeps the version of the plan
	rollouts     func() []string        // entries of moves, as YAML flow mappings; nil for none
}

// Open implements fs.FS.
func (r *configFolder) Open(name string) (fs.File, error) {
	var zones, services, rollouts strings.Builder
	v := r.Values()
	zones.WriteString("zones:\n")
	for _, z := range v.Zones {
		fmt.Fprintf(&zones, "  - {name: %s, region: %s, seeds: [\"%s\"]}\n", z.Name, z.Region, strings.Join(z.Seeds, `", "`))
	}
	services.WriteString("services:\n")
	for _, s := range v.Services {
		fmt.Fprintf(&services, "  - name: %s\n    shards: %d\n    age: %d\n    slots: %d\n    connections: %d\n    connect: %v\n    routes:\n",
			s.Name, s.Shards, s.Age, s.Slots, s.Connections, s.Connect)
		for _, route := range s.Routes {
			fmt.Fprintf(&services, "      - {name: %s, once: %v, timeout: %v}\n", route.Name, route.Once, route.Timeout)
		}
		services.WriteString("    replicas:\n")
		for _, replica := range s.Replicas {
			if r.omitted[replica.ID] {
				continue
			}
			version := replica.Version
			if r.versionLabel != nil {
				version = r.versionLabel(replica.ID)
			}
			fmt.Fprintf(&services, "      - {id: %s, shard: %d, zone: %s, address: %q, version: %s}\n", replica.ID, replica.Shard, replica.Zone, replica.Address, version)
		}
	}
	files := fstest.MapFS{
		"10-zones.yaml":    {Data: []byte(zones.String())},
		"20-services.yaml": {Data: []byte(services.String())},
	}
	if r.rollouts != nil {
		rollouts.WriteString("moves:\n")
		for _, rollout := range r.rollouts() {
			rollouts.WriteString("  - " + rollout + "\n")
		}
		files["30-moves.yaml"] = &fstest.MapFile{Data: []byte(rollouts.String())}
	}
	return files.Open(name)
}

// replicaIDs returns the ids of the replicas in a zone, or in all zones for "",
// in random order.
func (b *testbed) replicaIDs(zone toucanzone.Name) []string {
	var out []string
	for _, t := range b.Targets {
		if zone == "" || t.Zone == zone {
			for id := range t.Replicas {
				out = append(out, id)
			}
		}
	}
	shuffleSorted(out, b.random)
	return out
}

// changeZoneBehavior changes all replicas of a zone in one request.
func (b *testbed) changeZoneBehavior(zone toucanzone.Name, change any) {
	b.t.Helper()
	require.NoError(b.t, b.Put(b.ctx, b.targetProcess(zone).Admin, "/admin/replica/*", change))
}

// timedRecord is a record with the start time of its process, to which the times
// in the record are relative.
type timedRecord struct {
	toucanspec.Record
	epoch time.Time
}

// wallTime converts a time in the record to wall-clock time.
func (r timedRecord) wallTime(d toucanspec.Duration) time.Time { return r.epoch.Add(time.Duration(d)) }

// timedLedger returns the records of all running targets. The times are
// late by at most the duration of one request to the target process.
func (b *testbed) timedLedger() map[string]timedRecord {
	b.t.Helper()
	out := map[string]timedRecord{}
	for _, t := range b.Targets {
		select {
		case <-t.Process.Exited():
			continue
		default:
		}
		body, err := b.Get(b.ctx, t.Admin, "/admin/ledger")
		require.NoError(b.t, err)
		now := time.Now()
		var l toucanspec.Ledger
		require.NoError(b.t, json.Unmarshal(body, &l))
		for id, r := range l.Replicas {
			out[id] = timedRecord{r, now.Add(-time.Duration(l.Now))}
		}
	}
	return out
}

// checkSlotsAndConnections checks that no target ever had more legs in flight
// than slots, or more connections than its limit. Unlike checkInFlightLimits, it
// allows concurrent legs in cold start.
func (b *testbed) checkSlotsAndConnections(ledger map[string]toucanspec.Record) {
	b.t.Helper()
	for id, r := range ledger {
		require.Zero(b.t, r.Overloads, "legs in excess of the %d slots of %s", r.Slots, id)
		require.LessOrEqual(b.t, r.MaxInFlight, r.Slots, id)
		require.Zero(b.t, r.RejectedConnections, "connections in excess of the limit of %s", id)
	}
}

// checkSaturated checks that at least minReplicas replicas had all slots in use.
func (b *testbed) checkSaturated(ledger map[string]toucanspec.Record, minReplicas int) {
	b.t.Helper()
	full := 0
	for _, r := range ledger {
		if r.MaxInFlight == r.Slots {
			full++
		}
	}
	require.GreaterOrEqual(b.t, full, minReplicas, "too few replicas had all slots in use")
}

// withSaturatingTimeout sets the timeout of a query to saturatingTimeout.
func (b *testbed) withSaturatingTimeout(q *toucanpb.Query) *toucanpb.Query {
	q.Timeout = saturatingTimeout.String()
	return q
}
