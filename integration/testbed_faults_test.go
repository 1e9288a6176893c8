package integration

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanzone"
)

// Guards against a testbed whose faults have no effect or don't end. Without
// faults every host has full coverage and sees its zone's members through the
// proxies. A partitioned zone misses exactly the shards without a replica in the
// zone, and coverage is full again after the partition heals.
func TestPartitionsTakeEffectAndHeal(t *testing.T) {
	b := newTestbed(t)
	b.startWithFullCoverage()
	for _, z := range b.Plan.Zones {
		for _, h := range b.hostsOf(z.Name) {
			b.eventually("all members in the view of "+h.Name, func() bool {
				var page struct {
					View struct{ Members []string }
				}
				return b.state(h, &page) == nil && len(page.View.Members) == b.Plan.Hosts
			})
		}
	}
	const zone = toucanzone.Name("sierra")
	b.partitionZone(zone)
	began := time.Now()
	q := &toucanpb.Query{Service: "pairing", Route: "match", Query: broadQuery, Limit: maxItems, Timeout: "500ms"}
	for _, h := range b.Hosts {
		// Replica a of a shard is in the zone whose index is the shard's number
		// modulo 3, and b in the next one. sierra is zone 0.
		b.eventually("effect of the partition at "+h.Name, func() bool {
			a, err := b.Search(b.ctx, h.Callers, q)
			if err != nil {
				return false
			}
			for shard := range b.shardCount("pairing") {
				if (missingReason(a, shard) != "") != (h.Zone == zone && shard%3 == 1) {
					return false
				}
			}
			return true
		})
		t.Logf("%s answers as expected %v after the partition", h.Name, time.Since(began))
	}
	b.healZone(zone)
	began = time.Now()
	for _, h := range b.Hosts {
		b.waitForFullCoverage(h)
		t.Logf("%s has full coverage %v after the partition healed", h.Name, time.Since(began))
	}
	b.stopAllHosts()
	ledger := b.ledger()
	require.Len(t, ledger, 20)
	b.checkInFlightLimits(ledger)
}
