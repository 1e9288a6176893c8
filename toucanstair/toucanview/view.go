// Package toucanview provides the membership view of a zone: its members, their voters
// and the slot owners, and the view changes that lead to the next view.
package toucanview

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanrank"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/core/toucanzone"
)

const (
	// MaxEarlierViews is the largest number of earlier views that a view lists.
	MaxEarlierViews = 16
	// MaxRemovals is the largest number of removals that a view lists.
	MaxRemovals = 64
	// MaxOtherVoters is the largest number of a member's voters, without itself and
	// the witness.
	MaxOtherVoters = 4
)

// View is an immutable membership view of a zone. The zero value is view number 0,
// without members.
type View struct {
	msg *toucanpb.ZoneView
}

// FromProto returns the view in a message, which must not be changed afterwards.
func FromProto(z *toucanpb.ZoneView) View { return View{z} }

// Proto returns the message of the view, which must not be changed.
func (v View) Proto() *toucanpb.ZoneView { return v.msg }

// Zone returns the zone's name.
func (v View) Zone() toucanzone.Name { return toucanzone.Name(v.msg.GetZone()) }

// Number returns the view's number; each view of a zone has the number of its
// predecessor plus 1.
func (v View) Number() uint64 { return v.msg.GetNumber() }

// Members returns the members, which must not be changed.
func (v View) Members() []*toucanpb.Member { return v.msg.GetMembers() }

// Member returns the member with the given id, or nil.
func (v View) Member(id toucanhost.ID) *toucanpb.Member {
	for _, m := range v.Members() {
		if m.GetId() == string(id) {
			return m
		}
	}
	return nil
}

// MemberByName returns the member with the given name, or nil.
func (v View) MemberByName(name string) *toucanpb.Member {
	for _, m := range v.Members() {
		if m.GetName() == name {
			return m
		}
	}
	return nil
}

// Witness returns the witness of a 2-member view, or nil. The witness is a host of
// another zone that is a voter of both members, so that either has 3 voters and keeps
// a majority when the other fails.
func (v View) Witness() *toucanpb.Member {
	if len(v.Members()) != 2 || len(v.msg.GetWitnesses()) == 0 {
		return nil
	}
	return v.msg.GetWitnesses()[0]
}

// Rank returns the members in the order of rendezvous hashing for seed and key, the
// best first. The hash is over names, so that a restarted host keeps its rank.
func (v View) Rank(seed, key string) []*toucanpb.Member {
	members := v.Members()
	names := make([]string, len(members))
	byName := make(map[string]*toucanpb.Member, len(members))
	for i, m := range members {
		names[i] = m.GetName()
		byName[m.GetName()] = m
	}
	out := make([]*toucanpb.Member, len(members))
	for i, n := range (toucanrank.Ranker{Seed: seed}).Rank(key, names) {
		out[i] = byName[n]
	}
	return out
}

// Owners returns the members ranked for replica r. Slot i is owned by the member at
// index i modulo their number.
func (v View) Owners(r toucanreplica.ID) []*toucanpb.Member {
	return v.Rank("slot", string(r))
}

// Owner returns the owner of a slot of replica r; false when the view has no members
// or the slot is negative.
func (v View) Owner(r toucanreplica.ID, slot int) (*toucanpb.Member, bool) {
	return OwnerOf(v.Owners(r), slot)
}

// OwnerOf is Owner for members that Owners returned.
func OwnerOf(owners []*toucanpb.Member, slot int) (*toucanpb.Member, bool) {
	if len(owners) == 0 || slot < 0 {
		return nil, false
	}
	return owners[slot%len(owners)], true
}

// Voters returns the voters of a member: the hosts of which a majority renews its
// lease or permits its removal. They are the member itself, at most MaxOtherVoters
// others, and the witness if there is one. It returns nil when id is not a member.
func (v View) Voters(id toucanhost.ID) []*toucanpb.Member {
	self := v.Member(id)
	if self == nil {
		return nil
	}
	out := []*toucanpb.Member{self}
	for _, m := range v.Rank("voter", self.GetName()) {
		if m != self && len(out) <= MaxOtherVoters {
			out = append(out, m)
		}
	}
	if w := v.Witness(); w != nil {
		out = append(out, w)
	}
	return out
}

// IsMajority reports whether agreed is true for more than half of the voters.
func IsMajority(voters []*toucanpb.Member, agreed map[toucanhost.ID]bool) bool {
	n := 0
	for _, m := range voters {
		if agreed[toucanhost.ID(m.GetId())] {
			n++
		}
	}
	return 2*n > len(voters)
}

// Earlier returns the earlier views that this one lists, the newest first.
func (v View) Earlier() []View {
	out := make([]View, len(v.msg.GetEarlier()))
	for i, e := range v.msg.GetEarlier() {
		out[i] = View{e}
	}
	return out
}

// Oldest returns the oldest listed view, or the view itself.
func (v View) Oldest() View {
	if e := v.msg.GetEarlier(); len(e) > 0 {
		return View{e[len(e)-1]}
	}
	return v
}

// Removal returns the record of a member's removal, or nil when none is listed.
func (v View) Removal(id toucanhost.ID) *toucanpb.Removal {
	for _, r := range v.msg.GetRemovals() {
		if r.GetId() == string(id) {
			return r
		}
	}
	return nil
}

// PossibleViews returns the views that a member may hold, given that it holds view
// number held or a later one. It returns false when the member may hold a view that
// is no longer listed: an unlisted view exists if the oldest listed one is not view 1,
// and contained the member only if the oldest listed one does, because an id that was
// removed does not join again.
func (v View) PossibleViews(id toucanhost.ID, held uint64) ([]View, bool) {
	oldest := v.Oldest()
	if held < oldest.Number() && oldest.Number() > 1 && oldest.Member(id) != nil {
		return nil, false
	}
	var out []View
	for _, view := range append([]View{v}, v.Earlier()...) {
		if view.Number() >= held && view.Member(id) != nil {
			out = append(out, view)
		}
	}
	return out, true
}

// MayRemove reports whether a member may be removed from the view. It may when it
// cannot renew its lease: under each view that it may hold, the voters that have not
// promised, and so can still acknowledge it, are no majority. Promises are thus needed
// from a majority of an odd number of voters, and from half of an even number; if a
// majority of the latter were needed, a member could neither renew its lease nor be
// removed once half of them had promised. promised holds the hosts that promised never
// to acknowledge the member again; held is the number of the last view that it is known
// to hold.
func (v View) MayRemove(id toucanhost.ID, promised map[toucanhost.ID]bool, held uint64) bool {
	if v.Member(id) == nil {
		return false
	}
	views, ok := v.PossibleViews(id, held)
	if !ok {
		return false
	}
	for _, view := range views {
		voters := view.Voters(id)
		available := make(map[toucanhost.ID]bool, len(voters))
		for _, m := range voters {
			voter := toucanhost.ID(m.GetId())
			available[voter] = !promised[voter] && !v.acknowledgesNothing(m)
		}
		if IsMajority(voters, available) {
			return false
		}
	}
	return true
}

// acknowledgesNothing reports whether m is an incarnation of a host, which is one stay
// in the view under an id of its own, that left or whose name joined again. It
// acknowledges no heartbeats any more, which counts like a promise. An incarnation that
// was removed by vote does not count: it may still run and, in the same partition as a
// member, acknowledge that member's heartbeats.
func (v View) acknowledgesNothing(m *toucanpb.Member) bool {
	if current := v.MemberByName(m.GetName()); current != nil && current.GetZone() == m.GetZone() {
		return current.GetId() != m.GetId()
	}
	return v.Removal(toucanhost.ID(m.GetId())).GetCause() == toucanpb.Removal_CAUSE_LEFT
}

// Join returns the next view, with a host added; a member of the same name is
// replaced. The witness, which may be nil, is used if that view has 2 members and no
// witness.
func (v View) Join(zone toucanzone.Name, host, witness *toucanpb.Member) View {
	n := v.successor(zone)
	if old := v.MemberByName(host.GetName()); old != nil {
		n.removeMember(toucanhost.ID(old.GetId()), toucanpb.Removal_CAUSE_REPLACED)
	}
	n.msg.Members = append(n.msg.Members, host)
	return n.withWitness(witness)
}

// Remove returns the next view, without the member that left or was removed. The witness
// is used as in Join.
func (v View) Remove(id toucanhost.ID, cause toucanpb.Removal_Cause, witness *toucanpb.Member) View {
	return v.RemoveAll(map[toucanhost.ID]toucanpb.Removal_Cause{id: cause}, witness)
}

// RemoveAll returns the next view, without several members. MayRemove must hold in v for
// each of them, except for a host that left by itself. One view change for each member
// could exceed MaxEarlierViews, so that views that the members may hold would no longer
// be listed. The witness is used as in Join.
func (v View) RemoveAll(causes map[toucanhost.ID]toucanpb.Removal_Cause, witness *toucanpb.Member) View {
	n := v.successor(v.Zone())
	for _, id := range slices.Sorted(maps.Keys(causes)) {
		n.removeMember(id, causes[id])
	}
	return n.withWitness(witness)
}

// ReplaceWitness returns the next view, with another witness, or without one when
// witness is nil or the view does not have 2 members.
func (v View) ReplaceWitness(witness *toucanpb.Member) View {
	n := v.successor(v.Zone())
	n.msg.Witnesses = nil
	return n.withWitness(witness)
}

// successor returns the next view with the members of v, for its caller to change.
func (v View) successor(zone toucanzone.Name) View {
	n := &toucanpb.ZoneView{
		Zone:      string(zone),
		Number:    v.Number() + 1,
		Members:   slices.Clone(v.Members()),
		Witnesses: v.msg.GetWitnesses(),
		Removals:  slices.Clone(v.msg.GetRemovals()),
	}
	if v.msg != nil {
		previous := proto.CloneOf(v.msg)
		previous.Earlier, previous.Removals = nil, nil
		n.Earlier = append([]*toucanpb.ZoneView{previous}, v.msg.GetEarlier()...)
		n.Earlier = n.Earlier[:min(len(n.Earlier), MaxEarlierViews)]
	}
	return View{n}
}

// removeMember removes a member from a view under construction.
func (v View) removeMember(id toucanhost.ID, cause toucanpb.Removal_Cause) {
	v.msg.Members = slices.DeleteFunc(v.msg.Members, func(m *toucanpb.Member) bool { return m.GetId() == string(id) })
	r := &toucanpb.Removal{Id: string(id), Number: v.Number(), Cause: cause}
	v.msg.Removals = append([]*toucanpb.Removal{r}, v.msg.Removals...)
	v.msg.Removals = v.msg.Removals[:min(len(v.msg.Removals), MaxRemovals)]
}

// withWitness sets the witness of a view under construction. A view that still has
// two members keeps its witness, because another witness would be one more voter from
// which a removal may need a promise.
func (v View) withWitness(witness *toucanpb.Member) View {
	if len(v.msg.Members) != 2 {
		v.msg.Witnesses = nil
	} else if len(v.msg.Witnesses) == 0 && witness != nil {
		v.msg.Witnesses = []*toucanpb.Member{witness}
	}
	return v
}
