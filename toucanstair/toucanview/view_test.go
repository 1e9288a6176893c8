package toucanview

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
)

func host(name string, incarnation int) *toucanpb.Member {
	return &toucanpb.Member{Id: fmt.Sprintf("%s/%d", name, incarnation), Name: name, Zone: "z", Address: name}
}

func viewOf(names ...string) View {
	var v View
	for _, n := range names {
		v = v.Join("z", host(n, 1), &toucanpb.Member{Id: "w/1", Name: "w", Zone: "y"})
	}
	return v
}

// Guards against n members that are not the n owners of the first n slots, and against
// a restarted host that does not own the same slots again.
func TestOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var names []string
		for i := range rapid.IntRange(1, 8).Draw(t, "members") {
			names = append(names, fmt.Sprint("h", i))
		}
		v := viewOf(names...)
		r := toucanreplica.ID(rapid.StringN(1, 8, -1).Draw(t, "replica"))
		seen := map[string]bool{}
		for slot := range names {
			m, ok := v.Owner(r, slot)
			require.True(t, ok)
			require.False(t, seen[m.GetId()])
			seen[m.GetId()] = true
			again, _ := v.Join("z", host(m.GetName(), 2), nil).Owner(r, slot)
			require.Equal(t, m.GetName()+"/2", again.GetId())
		}
	})
}

// Guards against a removal while a majority of voters without a promise could still
// renew the member's lease under a view that it may hold.
func TestRemovalPreventsLeaseRenewal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := viewOf("h0")
		for i := range rapid.IntRange(1, 24).Draw(t, "changes") {
			name := fmt.Sprint("h", rapid.IntRange(0, 6).Draw(t, "host"))
			if m := v.MemberByName(name); m != nil && len(v.Members()) > 1 {
				v = v.Remove(toucanhost.ID(m.GetId()), toucanpb.Removal_CAUSE_VOTED, host("w", 1))
			} else {
				v = v.Join("z", host(name, 2+i), nil)
			}
		}
		id := toucanhost.ID(rapid.SampledFrom(v.Members()).Draw(t, "candidate").GetId())
		held := rapid.Uint64Range(0, v.Number()).Draw(t, "held")
		promised := map[toucanhost.ID]bool{}
		for _, w := range append([]View{v}, v.Earlier()...) {
			for _, m := range append(w.Members(), w.Proto().GetWitnesses()...) {
				if _, ok := promised[toucanhost.ID(m.GetId())]; !ok && m.GetId() != string(id) {
					promised[toucanhost.ID(m.GetId())] = rapid.Bool().Draw(t, "promised")
				}
			}
		}
		if !v.MayRemove(id, promised, held) {
			return
		}
		for _, w := range append([]View{v}, v.Earlier()...) {
			available := map[toucanhost.ID]bool{}
			voters := w.Voters(id)
			for _, m := range voters {
				available[toucanhost.ID(m.GetId())] = !promised[toucanhost.ID(m.GetId())] && !v.acknowledgesNothing(m)
			}
			require.False(t, w.Number() >= held && IsMajority(voters, available))
		}
	})
}

// Guards against wrong numbers of voters in small zones: leases depend on them.
func TestVoters(t *testing.T) {
	assert.Len(t, viewOf("a").Voters("a/1"), 1)
	assert.Len(t, viewOf("a", "b").Voters("a/1"), 3, "two members and the witness")
	assert.Len(t, viewOf("a", "b", "c").Voters("a/1"), 3)
	v := viewOf("a", "b", "c", "d", "e", "f", "g")
	assert.Len(t, v.Voters("a/1"), 1+MaxOtherVoters)
	assert.Empty(t, v.Voters("a/2"))
}

// Guards against a removal when the member may hold a view that is no longer listed,
// and against views that grow without bound.
func TestUnlistedViewBlocksRemoval(t *testing.T) {
	v := viewOf("a", "b", "c")
	for i := range 2 * MaxRemovals {
		v = v.Join("z", host("c", 2+i), nil)
	}
	assert.Len(t, v.Earlier(), MaxEarlierViews)
	assert.Len(t, v.Proto().GetRemovals(), MaxRemovals)
	all := map[toucanhost.ID]bool{"a/1": true, "b/1": true}
	all[toucanhost.ID(v.MemberByName("c").GetId())] = true
	assert.False(t, v.MayRemove("a/1", all, 3))
	assert.True(t, v.MayRemove("a/1", all, v.Oldest().Number()))
	assert.False(t, v.MayRemove("a/1", map[toucanhost.ID]bool{"b/1": true}, v.Number()))
}
