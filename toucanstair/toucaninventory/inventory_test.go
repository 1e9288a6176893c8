package toucaninventory_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucancatalog"
	"toucanstair.example/toucanstair/toucaninventory"
	"toucanstair.example/toucanstair/toucanview"
)

// host is an inventory with its configuration and identity.
type host struct {
	*toucaninventory.Inventory
	catalog *toucancatalog.Catalog
	self    *toucanpb.Member
}

func (h *host) Catalog() *toucancatalog.Catalog { return h.catalog }
func (h *host) Self() *toucanpb.Member          { return h.self }

// catalog returns a configuration in which replica "<zone><n>" holds shard n.
// Every zone holds every shard, except that shard 3 is in costa only.
func catalog(out ...string) *toucancatalog.Catalog {
	s := &toucanpb.Service{Name: "letters", Shards: 4, Age: 2}
	r := &toucanpb.Rules{Revision: 1, Services: []*toucanpb.Service{s}}
	for _, z := range []string{"sierra", "costa", "oriente"} {
		zone := &toucanpb.Zone{Name: z}
		for _, o := range out {
			zone.Out = zone.Out || o == z
		}
		r.Zones = append(r.Zones, zone)
		for n := range uint32(4) {
			if n < 3 || z == "costa" {
				s.Replicas = append(s.Replicas, &toucanpb.Replica{Id: fmt.Sprint(z, n), Shard: n, Zone: z})
			}
		}
	}
	return toucancatalog.New(r)
}

func newHost(id, zone string) *host {
	h := &host{catalog: catalog(), self: &toucanpb.Member{Id: id, Zone: zone}}
	h.Inventory = toucaninventory.New(h, h)
	return h
}

func (h *host) serve(indexes []uint64, replicas ...toucanreplica.ID) {
	for _, r := range replicas {
		h.Record(r, indexes)
	}
}

func heartbeat(from, to *host) *toucanpb.Gossip {
	g := &toucanpb.Gossip{}
	from.Offer(to.self, g)
	to.Accept(from.self, g)
	return g
}

func requirePin(t *testing.T, h *host, want uint64) {
	t.Helper()
	got, err := h.Pin("letters", h.catalog)
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// Guards against selecting a version that covers fewer shards, is older than
// necessary, exceeds the age limit, or is served only in a zone that is out of
// service.
func TestPinSelectsCoverageThenNewestWithinAge(t *testing.T) {
	h := newHost("a/1", "sierra")
	_, err := h.Pin("letters", h.catalog)
	require.Equal(t, toucanpb.Code_CODE_VERSION, toucanfault.As(err).Code)

	h.serve([]uint64{5}, "sierra0", "sierra1")
	h.serve([]uint64{5, 6}, "sierra2")
	requirePin(t, h, 5)
	h.serve([]uint64{5, 6}, "sierra0", "sierra1")
	requirePin(t, h, 6)
	h.serve([]uint64{8}, "sierra0")
	requirePin(t, h, 6)
	h.serve([]uint64{9}, "sierra0")
	requirePin(t, h, 9)

	other := newHost("b/1", "costa")
	other.serve([]uint64{8}, "costa0", "costa1", "costa2", "costa3")
	heartbeat(other, h)
	requirePin(t, h, 8)
	require.Equal(t, map[toucanzone.Name][]byte{"costa": {0b1111}}, h.ShardsByZone("letters", h.catalog, 8))
	h.catalog = catalog("costa")
	requirePin(t, h, 9)
}

// Guards against one replica that reports a version far ahead and thereby makes
// the version that all others serve too old.
func TestPinIgnoresVersionOfFewShards(t *testing.T) {
	h := newHost("a/1", "sierra")
	h.serve([]uint64{5}, "sierra1", "sierra2", "sierra3")
	h.serve([]uint64{5, 1 << 40}, "sierra0")
	requirePin(t, h, 5)
}

// Guards against records and entries of removed sources that hide what is
// served now, and against a host that is cut off losing all its entries.
func TestEntriesExpireUnlessNothingNewerIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, peer := newHost("a/1", "sierra"), newHost("b/1", "sierra")
		peer.serve([]uint64{7}, "sierra0", "sierra1")
		heartbeat(peer, h)
		requirePin(t, h, 7)
		<-time.After(11 * time.Second)
		requirePin(t, h, 7)
		h.serve([]uint64{6}, "sierra0", "sierra1")
		requirePin(t, h, 6)

		// A record that is not refreshed is dropped and its removal offered.
		peer.serve([]uint64{7}, "sierra0", "sierra1")
		heartbeat(peer, h)
		requirePin(t, h, 7)
		<-time.After(9 * time.Second)
		peer.serve([]uint64{7}, "sierra0")
		<-time.After(2 * time.Second)
		heartbeat(peer, h)
		require.Equal(t, map[toucanzone.Name][]byte{"sierra": {0b0001}}, h.ShardsByZone("letters", h.catalog, 7))

		// A host that starts again no longer serves what it did before.
		heartbeat(newHost("b/2", "sierra"), h)
		require.Nil(t, h.ShardsByZone("letters", h.catalog, 7))
	})
}

// Guards against heartbeats that repeat entries which the receiver has, and
// against entries that are not relayed by a third host.
func TestOfferSendsChangesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, near, far := newHost("a/1", "sierra"), newHost("b/1", "sierra"), newHost("c/1", "costa")
		h.serve([]uint64{7}, "sierra0")
		var sizes []int
		for range 11 {
			g := &toucanpb.Gossip{}
			h.Offer(near.self, g)
			sizes = append(sizes, len(g.Served))
		}
		require.Equal(t, []int{1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, sizes)

		h.serve([]uint64{7, 8}, "sierra0")
		require.Len(t, heartbeat(h, near).Served, 1)
		heartbeat(h, near)
		g := heartbeat(near, far)
		require.Len(t, g.Served, 1, "only the summary goes to another zone")
		require.Equal(t, "zone/sierra", g.Served[0].Source)
		require.Equal(t, uint64(8), g.Served[0].Index)
		requirePin(t, far, 8)

		// A third host of costa learns sierra's summary from far.
		third := newHost("d/1", "costa")
		heartbeat(far, third)
		requirePin(t, third, 8)
	})
}

// Guards against a change that is lost with one heartbeat and then never
// repaired, or repaired by sending all entries repeatedly.
func TestLostHeartbeatIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, near := newHost("a/1", "sierra"), newHost("b/1", "sierra")
		h.serve([]uint64{7}, "sierra0")
		heartbeat(h, near)
		h.serve([]uint64{8}, "sierra0")
		h.Offer(near.self, &toucanpb.Gossip{}) // lost
		sent := 0
		for range 20 {
			h.serve([]uint64{8}, "sierra0")
			for _, s := range append(heartbeat(h, near).Served, heartbeat(near, h).Served...) {
				if s.Service != "" {
					sent++
				}
			}
			<-time.After(250 * time.Millisecond)
		}
		requirePin(t, near, 8)
		require.Equal(t, 2, sent, "the removal of version 7 and version 8")
	})
}

// hostWithView is a host that knows its zone's view.
type hostWithView struct {
	*host
	view toucanview.View
}

func (v *hostWithView) View() toucanview.View { return v.view }

// Guards against entries that expire although their source is in the view, and
// against entries that don't expire after their source was removed from the
// view.
func TestEntriesOfViewMembersDoNotExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer, h := newHost("b/1", "sierra"), newHost("a/1", "sierra")
		v := &hostWithView{host: h, view: toucanview.View{}.Join("sierra", h.self, nil).Join("sierra", peer.self, nil)}
		h.Inventory = toucaninventory.New(h, v)
		peer.serve([]uint64{7}, "sierra0", "sierra1")
		heartbeat(peer, h)
		for range 40 {
			h.serve([]uint64{6}, "sierra0", "sierra1")
			h.Offer(peer.self, &toucanpb.Gossip{})
			<-time.After(500 * time.Millisecond)
		}
		requirePin(t, h, 7)
		v.view = v.view.Remove("b/1", toucanpb.Removal_CAUSE_VOTED, nil)
		for range 21 {
			h.serve([]uint64{6}, "sierra0", "sierra1")
			h.Offer(peer.self, &toucanpb.Gossip{})
			<-time.After(500 * time.Millisecond)
		}
		requirePin(t, h, 6)
	})
}

// Guards against a host that joins a zone whose members exchange entries only
// with their steady peers, and receives no entries at first.
func TestJoiningHostReceivesAllEntriesAtOnce(t *testing.T) {
	var members []*host
	for n := range 12 {
		members = append(members, newHost(fmt.Sprintf("m%d/1", n), "sierra"))
	}
	members[0].serve([]uint64{7}, "sierra0")
	for range 12 {
		for _, a := range members {
			for _, b := range members[:6] {
				if a != b {
					heartbeat(a, b)
				}
			}
		}
	}
	joiner := newHost("x/1", "sierra")
	heartbeat(joiner, members[5])
	heartbeat(members[5], joiner)
	requirePin(t, joiner, 7)
	g := &toucanpb.Gossip{}
	members[5].Offer(&toucanpb.Member{Id: "y/1", Zone: "sierra"}, g)
	require.Empty(t, g.Served, "a host that was not heard is no steady peer")
}

// Guards against hosts that keep a dead source alive by relaying its entries to
// each other, also after the first of them has dropped it.
func TestRelaysDoNotKeepDeadSourceAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dead := newHost("x/1", "sierra")
		hosts := []*host{newHost("a/1", "sierra"), newHost("b/1", "sierra"), newHost("c/1", "sierra")}
		dead.serve([]uint64{9}, "sierra0", "sierra1")
		heartbeat(dead, hosts[0])
		for round := range 200 {
			if round == 30 {
				// A host that starts now must not consider the dead source
				// alive.
				hosts = append(hosts, newHost("d/1", "sierra"))
			}
			hosts[0].serve([]uint64{7}, "sierra0", "sierra1")
			for n, from := range hosts {
				// Heartbeats in a ring carry entries to all hosts.
				heartbeat(from, hosts[(n+1)%len(hosts)])
			}
			if round == 33 {
				require.Nil(t, hosts[3].ShardsByZone("letters", hosts[3].catalog, 9))
				require.NotNil(t, hosts[3].ShardsByZone("letters", hosts[3].catalog, 7))
			}
			<-time.After(500 * time.Millisecond)
		}
		for _, h := range hosts {
			requirePin(t, h, 7)
			state, err := json.Marshal(h.State())
			require.NoError(t, err)
			require.NotContains(t, string(state), "x/1")
		}
	})
}

// Guards against a zone summary that is rejected forever after the host with
// the fastest clock in that zone is gone.
func TestSummaryFromSlowerClockIsAcceptedAfterExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost("a/1", "sierra")
		costa := &toucanpb.Member{Id: "b/1", Zone: "costa"}
		summary := func(sequence uint64, index uint64, shards byte) *toucanpb.Gossip {
			return &toucanpb.Gossip{Served: []*toucanpb.Served{{
				Source: "zone/costa", Sequence: sequence, Service: "letters", Index: index, Shards: []byte{shards},
			}}}
		}
		h.Accept(costa, summary(1000, 7, 0b0001))
		h.Accept(costa, summary(900, 7, 0b1111))
		require.Equal(t, []byte{0b0001}, h.ShardsByZone("letters", h.catalog, 7)["costa"])
		<-time.After(11 * time.Second)
		h.Accept(costa, summary(900, 7, 0b1111))
		require.Equal(t, []byte{0b1111}, h.ShardsByZone("letters", h.catalog, 7)["costa"])
		oriente := &toucanpb.Member{Id: "c/1", Zone: "oriente"}
		h.Accept(oriente, summary(5000, 9, 0b1111))
		require.Nil(t, h.ShardsByZone("letters", h.catalog, 9), "a zone is authoritative for itself only")
	})
}

// BenchmarkOfferDesignSize reports the bytes of a heartbeat that carries every
// entry and of the average heartbeat, with 103 hosts and 2 versions of 180
// shards.
func BenchmarkOfferDesignSize(b *testing.B) {
	s := &toucanpb.Service{Name: "letters", Shards: 180}
	c := toucancatalog.New(&toucanpb.Rules{Revision: 1, Services: []*toucanpb.Service{s}})
	h := newHost("a/1", "sierra")
	h.catalog = c
	for n := range 103 {
		from := &toucanpb.Member{Id: fmt.Sprintf("host-%d/0123456789abcdef", n), Zone: "sierra"}
		g := &toucanpb.Gossip{}
		for index := range uint64(2) {
			g.Served = append(g.Served, &toucanpb.Served{
				Source: from.Id, Sequence: 1 << 40, Service: "letters", Index: 100 + index, Shards: make([]byte, 23),
			})
		}
		g.Served[0].Shards[n%23] = 0xff
		g.Served[1].Shards[n%23] = 0xff
		h.Accept(from, g)
	}
	to := &toucanpb.Member{Id: "z/1", Zone: "sierra"}
	largest, sum, heartbeats := 0, 0, 0
	for b.Loop() {
		g := &toucanpb.Gossip{}
		h.Offer(to, g)
		n := proto.Size(g)
		largest, sum, heartbeats = max(largest, n), sum+n, heartbeats+1
	}
	b.ReportMetric(float64(largest), "B/full")
	b.ReportMetric(float64(sum)/float64(heartbeats), "B/beat")
}
