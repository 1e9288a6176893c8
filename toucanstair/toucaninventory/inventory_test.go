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

// host is one inventory with its configuration and identity.
type host struct {
	*toucaninventory.Inventory
	catalog *toucancatalog.Catalog
	self    *toucanpb.Member
}

func (h *host) Catalog() *toucancatalog.Catalog { return h.catalog }
func (h *host) Self() *toucanpb.Member          { return h.self }

// Replica "<zone><n>" holds shard n; every zone holds every shard, but for
// shard 3, which lives in costa only.
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

func start(id, zone string) *host {
	h := &host{catalog: catalog(), self: &toucanpb.Member{Id: id, Zone: zone}}
	h.Inventory = toucaninventory.New(h, h)
	return h
}

func (h *host) serve(indexes []uint64, replicas ...toucanreplica.ID) {
	for _, r := range replicas {
		h.Record(r, indexes)
	}
}

func beat(from, to *host) *toucanpb.Gossip {
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

// Guards against a version that covers fewer shards, is older than needed, is
// too old, or is served in a zone out of service only.
func TestPinSelectsCoverageThenNewestWithinAge(t *testing.T) {
	h := start("a/1", "sierra")
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

	other := start("b/1", "costa")
	other.serve([]uint64{8}, "costa0", "costa1", "costa2", "costa3")
	beat(other, h)
	requirePin(t, h, 8)
	require.Equal(t, map[toucanzone.Name][]byte{"costa": {0b1111}}, h.ShardsByZone("letters", h.catalog, 8))
	h.catalog = catalog("costa")
	requirePin(t, h, 9)
}

// Guards against one replica that names a version far ahead making the version
// that all others serve too old.
func TestPinIgnoresVersionOfFewShards(t *testing.T) {
	h := start("a/1", "sierra")
	h.serve([]uint64{5}, "sierra1", "sierra2", "sierra3")
	h.serve([]uint64{5, 1 << 40}, "sierra0")
	requirePin(t, h, 5)
}

// Guards against records and entries of sources that are gone hiding what is
// served now, and against a host that is cut off losing all it knew.
func TestEntriesExpireUnlessNothingNewerIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, peer := start("a/1", "sierra"), start("b/1", "sierra")
		peer.serve([]uint64{7}, "sierra0", "sierra1")
		beat(peer, h)
		requirePin(t, h, 7)
		<-time.After(11 * time.Second)
		requirePin(t, h, 7)
		h.serve([]uint64{6}, "sierra0", "sierra1")
		requirePin(t, h, 6)

		// A record that is not refreshed is dropped and its removal offered.
		peer.serve([]uint64{7}, "sierra0", "sierra1")
		beat(peer, h)
		requirePin(t, h, 7)
		<-time.After(9 * time.Second)
		peer.serve([]uint64{7}, "sierra0")
		<-time.After(2 * time.Second)
		beat(peer, h)
		require.Equal(t, map[toucanzone.Name][]byte{"sierra": {0b0001}}, h.ShardsByZone("letters", h.catalog, 7))

		// A host that starts again no longer serves what it did before.
		beat(start("b/2", "sierra"), h)
		require.Nil(t, h.ShardsByZone("letters", h.catalog, 7))
	})
}

// Guards against heartbeats that repeat what the host has, and against knowledge
// that does not pass through a third host.
func TestOfferSendsChangesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, near, far := start("a/1", "sierra"), start("b/1", "sierra"), start("c/1", "costa")
		h.serve([]uint64{7}, "sierra0")
		var sizes []int
		for range 11 {
			g := &toucanpb.Gossip{}
			h.Offer(near.self, g)
			sizes = append(sizes, len(g.Served))
		}
		require.Equal(t, []int{1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, sizes)

		h.serve([]uint64{7, 8}, "sierra0")
		require.Len(t, beat(h, near).Served, 1)
		beat(h, near)
		g := beat(near, far)
		require.Len(t, g.Served, 1, "only the summary goes to another zone")
		require.Equal(t, "zone/sierra", g.Served[0].Source)
		require.Equal(t, uint64(8), g.Served[0].Index)
		requirePin(t, far, 8)

		// A third host of costa learns sierra's summary from far.
		third := start("d/1", "costa")
		beat(far, third)
		requirePin(t, third, 8)
	})
}

// Guards against a change that is lost with one heartbeat, and is then missing
// for good or repaired by sending everything again and again.
func TestLostHeartbeatIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, near := start("a/1", "sierra"), start("b/1", "sierra")
		h.serve([]uint64{7}, "sierra0")
		beat(h, near)
		h.serve([]uint64{8}, "sierra0")
		h.Offer(near.self, &toucanpb.Gossip{}) // lost
		sent := 0
		for range 20 {
			h.serve([]uint64{8}, "sierra0")
			for _, s := range append(beat(h, near).Served, beat(near, h).Served...) {
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

// viewed is a host that knows its zone's view.
type viewed struct {
	*host
	view toucanview.View
}

func (v *viewed) View() toucanview.View { return v.view }

// Guards against members whose entries expire although the view vouches for
// them, and against entries of removed members that do not.
func TestEntriesOfViewMembersDoNotExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer, h := start("b/1", "sierra"), start("a/1", "sierra")
		v := &viewed{host: h, view: toucanview.View{}.Join("sierra", h.self, nil).Join("sierra", peer.self, nil)}
		h.Inventory = toucaninventory.New(h, v)
		peer.serve([]uint64{7}, "sierra0", "sierra1")
		beat(peer, h)
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

// Guards against a host that joins a zone whose members exchange entries with
// their steady peers only, and is told nothing at first.
func TestJoiningHostReceivesAllEntriesAtOnce(t *testing.T) {
	var members []*host
	for n := range 12 {
		members = append(members, start(fmt.Sprintf("m%d/1", n), "sierra"))
	}
	members[0].serve([]uint64{7}, "sierra0")
	for range 12 {
		for _, a := range members {
			for _, b := range members[:6] {
				if a != b {
					beat(a, b)
				}
			}
		}
	}
	joiner := start("x/1", "sierra")
	beat(joiner, members[5])
	beat(members[5], joiner)
	requirePin(t, joiner, 7)
	g := &toucanpb.Gossip{}
	members[5].Offer(&toucanpb.Member{Id: "y/1", Zone: "sierra"}, g)
	require.Empty(t, g.Served, "a host that was not heard is no steady peer")
}

// Guards against a dead source that hosts keep alive by telling each other, also
// after the first of them has forgotten it.
func TestRelaysDoNotKeepDeadSourceAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dead := start("x/1", "sierra")
		hosts := []*host{start("a/1", "sierra"), start("b/1", "sierra"), start("c/1", "sierra")}
		dead.serve([]uint64{9}, "sierra0", "sierra1")
		beat(dead, hosts[0])
		for round := range 200 {
			if round == 30 {
				// A host that starts now must not take the dead one for alive.
				hosts = append(hosts, start("d/1", "sierra"))
			}
			hosts[0].serve([]uint64{7}, "sierra0", "sierra1")
			for n, from := range hosts {
				// A ring, so that the news goes round.
				beat(from, hosts[(n+1)%len(hosts)])
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

// Guards against a summary refused for ever after the host with the fastest
// clock of that zone is gone.
func TestSummaryFromSlowerClockIsAcceptedAfterExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := start("a/1", "sierra")
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
		require.Nil(t, h.ShardsByZone("letters", h.catalog, 9), "a zone speaks for itself only")
	})
}

// BenchmarkOfferDesignSize reports the bytes of a heartbeat that carries every
// entry and of the average one, with 103 hosts and 2 versions of 180 shards.
func BenchmarkOfferDesignSize(b *testing.B) {
	s := &toucanpb.Service{Name: "letters", Shards: 180}
	c := toucancatalog.New(&toucanpb.Rules{Revision: 1, Services: []*toucanpb.Service{s}})
	h := start("a/1", "sierra")
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
	largest, sum, beats := 0, 0, 0
	for b.Loop() {
		g := &toucanpb.Gossip{}
		h.Offer(to, g)
		n := proto.Size(g)
		largest, sum, beats = max(largest, n), sum+n, beats+1
	}
	b.ReportMetric(float64(largest), "B/full")
	b.ReportMetric(float64(sum)/float64(beats), "B/beat")
}
