// Package toucanview answers questions about the membership view of a zone
// and builds the views that follow it.
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
	// MaxEarlierViews is the number of earlier views that a view keeps.
	MaxEarlierViews = 16
	// MaxRemovals is the number of removals that a view keeps.
	MaxRemovals = 64
	// MaxOtherVoters is the number of a member's voters besides itself.
	MaxOtherVoters = 4
)

// View is an immutable membership view of a zone. The zero value is the view
// number 0 without members.
type View struct {
	z *toucanpb.ZoneView
}

// FromProto returns the view that z describes; z must not be changed afterwards.
func FromProto(z *toucanpb.ZoneView) View { return View{z} }

// Proto returns the message of the view, which must not be changed.
func (v View) Proto() *toucanpb.ZoneView { return v.z }

// Zone returns the zone's name.
func (v View) Zone() toucanzone.Name { return toucanzone.Name(v.z.GetZone()) }

// Number returns the view's number; each view of a zone has the number of its
// predecessor plus 1.
func (v View) Number() uint64 { return v.z.GetNumber() }

// Members returns the members, which must not be changed.
func (v View) Members() []*toucanpb.Member { return v.z.GetMembers() }

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

// Witness returns the witness of a 2-member view, or nil.
func (v View) Witness() *toucanpb.Member {
	if len(v.Members()) != 2 || len(v.z.GetWitnesses()) == 0 {
		return nil
	}
	return v.z.GetWitnesses()[0]
}

// Rank returns the members in rendezvous order for key, the best first. The
// order depends on names, so that a restarted host keeps its place.
func (v View) Rank(seed, key string) []*toucanpb.Member {
	ms := v.Members()
	names := make([]string, len(ms))
	byName := make(map[string]*toucanpb.Member, len(ms))
	for i, m := range ms {
		names[i] = m.GetName()
		byName[m.GetName()] = m
	}
	out := make([]*toucanpb.Member, len(ms))
	for i, n := range (toucanrank.Ranker{Seed: seed}).Rank(key, names) {
		out[i] = byName[n]
	}
	return out
}

// Owners returns the members in slot order for replica r: slot i belongs to
// member i modulo their number.
func (v View) Owners(r toucanreplica.ID) []*toucanpb.Member {
	return v.Rank("slot", string(r))
}

// Owner returns the owner of a slot of replica r; false when the view has no
// members.
func (v View) Owner(r toucanreplica.ID, slot int) (*toucanpb.Member, bool) {
	return OwnerOf(v.Owners(r), slot)
}

// OwnerOf returns the owner of a slot, given what Owners returned.
func OwnerOf(owners []*toucanpb.Member, slot int) (*toucanpb.Member, bool) {
	if len(owners) == 0 || slot < 0 {
		return nil, false
	}
	return owners[slot%len(owners)], true
}

// Voters returns the hosts whose majority renews the lease of a member and
// may remove it; none when id is no member.
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

// IsMajority reports whether more than half of voters are in agreed.
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
	out := make([]View, len(v.z.GetEarlier()))
	for i, e := range v.z.GetEarlier() {
		out[i] = View{e}
	}
	return out
}

// Oldest returns the oldest listed view, or the view itself.
func (v View) Oldest() View {
	if e := v.z.GetEarlier(); len(e) > 0 {
		return View{e[len(e)-1]}
	}
	return v
}

// Removal returns the record of a member's removal, or nil when none is kept.
func (v View) Removal(id toucanhost.ID) *toucanpb.Removal {
	for _, r := range v.z.GetRemovals() {
		if r.GetId() == string(id) {
			return r
		}
	}
	return nil
}

// PossibleViews returns the views that a member may hold, when it is known to hold
// view held or a later one. It returns false when the member may hold a view
// that is no longer listed.
func (v View) PossibleViews(id toucanhost.ID, held uint64) ([]View, bool) {
	oldest := v.Oldest()
	if held < oldest.Number() && oldest.Number() > 1 && oldest.Member(id) != nil {
		return nil, false
	}
	var out []View
	for _, w := range append([]View{v}, v.Earlier()...) {
		if w.Number() >= held && w.Member(id) != nil {
			out = append(out, w)
		}
	}
	return out, true
}

// MayRemove reports whether a member may be removed from the view: under every
// view that it may hold, the voters that have not promised never to acknowledge
// it again are no majority, so it cannot renew its lease. With an odd number of
// voters this asks for the promises of a majority; with an even number for half,
// because otherwise a member with half of the promises could neither renew its
// lease nor be removed. held is the last view that it is known to hold.
func (v View) MayRemove(id toucanhost.ID, promised map[toucanhost.ID]bool, held uint64) bool {
	if v.Member(id) == nil {
		return false
	}
	span, ok := v.PossibleViews(id, held)
	if !ok {
		return false
	}
	for _, w := range span {
		voters := w.Voters(id)
		free := make(map[toucanhost.ID]bool, len(voters))
		for _, m := range voters {
			voter := toucanhost.ID(m.GetId())
			free[voter] = !promised[voter] && !v.ended(m)
		}
		if IsMajority(voters, free) {
			return false
		}
	}
	return true
}

// An incarnation that left, or whose name joined again, acknowledges nothing
// any more, which is as good as a promise. One that was removed by vote may
// still run, cut off together with the member that it acknowledges.
func (v View) ended(m *toucanpb.Member) bool {
	if now := v.MemberByName(m.GetName()); now != nil && now.GetZone() == m.GetZone() {
		return now.GetId() != m.GetId()
	}
	return v.Removal(toucanhost.ID(m.GetId())).GetCause() == toucanpb.Removal_CAUSE_LEFT
}

// Join returns the view after a host joined; a member of the same name is
// replaced. The witness, which may be nil, serves if the view has 2 members.
func (v View) Join(zone toucanzone.Name, host, witness *toucanpb.Member) View {
	n := v.next(zone)
	if old := v.MemberByName(host.GetName()); old != nil {
		n.drop(toucanhost.ID(old.GetId()), toucanpb.Removal_CAUSE_REPLACED)
	}
	n.z.Members = append(n.z.Members, host)
	return n.witnessed(witness)
}

// Remove returns the view after a member left or was removed.
func (v View) Remove(id toucanhost.ID, cause toucanpb.Removal_Cause, witness *toucanpb.Member) View {
	return v.RemoveAll(map[toucanhost.ID]toucanpb.Removal_Cause{id: cause}, witness)
}

// RemoveAll returns the view after several members were removed at once, each
// of which MayRemove allows under v. One view change for all keeps the views
// that they may hold within the ones that are listed.
func (v View) RemoveAll(causes map[toucanhost.ID]toucanpb.Removal_Cause, witness *toucanpb.Member) View {
	n := v.next(v.Zone())
	for _, id := range slices.Sorted(maps.Keys(causes)) {
		n.drop(id, causes[id])
	}
	return n.witnessed(witness)
}

// ReplaceWitness returns the view with another witness.
func (v View) ReplaceWitness(witness *toucanpb.Member) View {
	n := v.next(v.Zone())
	n.z.Witnesses = nil
	return n.witnessed(witness)
}

func (v View) next(zone toucanzone.Name) View {
	n := &toucanpb.ZoneView{
		Zone:      string(zone),
		Number:    v.Number() + 1,
		Members:   slices.Clone(v.Members()),
		Witnesses: v.z.GetWitnesses(),
		Removals:  slices.Clone(v.z.GetRemovals()),
	}
	if v.z != nil {
		past := proto.CloneOf(v.z)
		past.Earlier, past.Removals = nil, nil
		n.Earlier = append([]*toucanpb.ZoneView{past}, v.z.GetEarlier()...)
		n.Earlier = n.Earlier[:min(len(n.Earlier), MaxEarlierViews)]
	}
	return View{n}
}

func (v View) drop(id toucanhost.ID, cause toucanpb.Removal_Cause) {
	v.z.Members = slices.DeleteFunc(v.z.Members, func(m *toucanpb.Member) bool { return m.GetId() == string(id) })
	r := &toucanpb.Removal{Id: string(id), Number: v.Number(), Cause: cause}
	v.z.Removals = append([]*toucanpb.Removal{r}, v.z.Removals...)
	v.z.Removals = v.z.Removals[:min(len(v.z.Removals), MaxRemovals)]
}

// A view that keeps two members keeps its witness, because each change of
// witness is one more view under which promises are needed.
func (v View) witnessed(witness *toucanpb.Member) View {
	if len(v.z.Members) != 2 {
		v.z.Witnesses = nil
	} else if len(v.z.Witnesses) == 0 && witness != nil {
		v.z.Witnesses = []*toucanpb.Member{witness}
	}
	return v
}
