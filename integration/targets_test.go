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
	// legTimeout bounds the queries of the tests of targets, so that a leg in
	// flight ends within it and the 250 ms that a host waits for a target to
	// close the connection.
	legTimeout = 500 * time.Millisecond
	// coldDetectionTime is the time within which every owner of a slot has seen a cold
	// sign that another owner got: the legs in flight end, and a lost message is
	// repeated with a heartbeat, every 500 ms.
	coldDetectionTime = legTimeout + 250*time.Millisecond + 500*time.Millisecond
	// noNewWorkAfter is the bound after which a leaving target gets no new work, and
	// a bad version none after its faults show.
	noNewWorkAfter = 5 * time.Second
)

// planWorkTime sets the work time of all services, so that a moderate rate keeps all
// slots in use on any machine.
func (b *testbed) planWorkTime(median time.Duration) {
	for i := range b.Plan.Services {
		b.Plan.Services[i].Behaviour.Work.Median = toucanspec.Duration(median)
	}
}

// configFolder generates the configuration folder, so that a test can leave out
// replicas, label them and add moves.
type configFolder struct {
	*testbed
	omitted      map[string]bool        // ids of replicas that are left out
	versionLabel func(id string) string // version label; nil labels all v1
	rollouts     func() []string        // flow mappings; nil for none
}

// Open implements fs.FS.
func (r *configFolder) Open(name string) (fs.File, error) {
	var zones, services, moves strings.Builder
	v := r.Values()
	zones.WriteString("zones:\n")
	for _, z := range v.Zones {
		fmt.Fprintf(&zones, "  - {name: %s, region: %s, seeds: [\"%s\"]}\n", z.Name, z.Region, strings.Join(z.Seeds, `", "`))
	}
	services.WriteString("services:\n")
	for _, s := range v.Services {
		fmt.Fprintf(&services, "  - name: %s\n    shards: %d\n    age: %d\n    slots: %d\n    connections: %d\n    connect: %v\n    routes:\n",
			s.Name, s.Shards, s.Age, s.Slots, s.Connections, s.Connect)
		for _, o := range s.Routes {
			fmt.Fprintf(&services, "      - {name: %s, once: %v, timeout: %v}\n", o.Name, o.Once, o.Timeout)
		}
		services.WriteString("    replicas:\n")
		for _, a := range s.Replicas {
			if r.omitted[a.ID] {
				continue
			}
			version := a.Version
			if r.versionLabel != nil {
				version = r.versionLabel(a.ID)
			}
			fmt.Fprintf(&services, "      - {id: %s, shard: %d, zone: %s, address: %q, version: %s}\n", a.ID, a.Shard, a.Zone, a.Address, version)
		}
	}
	files := fstest.MapFS{
		"10-zones.yaml":    {Data: []byte(zones.String())},
		"20-services.yaml": {Data: []byte(services.String())},
	}
	if r.rollouts != nil {
		moves.WriteString("moves:\n")
		for _, m := range r.rollouts() {
			moves.WriteString("  - " + m + "\n")
		}
		files["30-moves.yaml"] = &fstest.MapFile{Data: []byte(moves.String())}
	}
	return files.Open(name)
}

// replicaIDs returns the ids of the replicas in a zone, or in all zones for "".
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

// timedRecord is a record with the time at which its process started, so that
// records of several processes compare.
type timedRecord struct {
	toucanspec.Record
	epoch time.Time
}

// wallTime returns the wall time of a time in the record.
func (r timedRecord) wallTime(d toucanspec.Duration) time.Time { return r.epoch.Add(time.Duration(d)) }

// timedLedger returns the records of all running targets. The times err by at
// most the duration of one request to the target process.
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

// checkSlotsAndConnections checks that no target held more legs than its slots or more
// connections than its limit, at any time.
func (b *testbed) checkSlotsAndConnections(ledger map[string]toucanspec.Record) {
	b.t.Helper()
	for id, r := range ledger {
		require.Zero(b.t, r.Overloads, "legs above the %d slots of %s", r.Slots, id)
		require.LessOrEqual(b.t, r.MaxInFlight, r.Slots, id)
		require.Zero(b.t, r.RejectedConnections, "connections above the limit of %s", id)
	}
}

// checkSaturated checks that a test put targets under full load: so many replicas
// had all slots in use.
func (b *testbed) checkSaturated(ledger map[string]toucanspec.Record, least int) {
	b.t.Helper()
	full := 0
	for _, r := range ledger {
		if r.MaxInFlight == r.Slots {
			full++
		}
	}
	require.GreaterOrEqual(b.t, full, least, "the test must see all slots of targets in use")
}

// withLegTimeout gives a query the timeout legTimeout.
func (b *testbed) withLegTimeout(q *toucanpb.Query) *toucanpb.Query {
	q.Timeout = legTimeout.String()
	return q
}
