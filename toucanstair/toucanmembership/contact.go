package toucanmembership

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanzone"
)

// contact is a host of another zone and when it was last heard from.
type contact struct {
	member *toucanpb.Member
	heard  time.Time
}

// Contacts returns hosts to reach a zone by, the best first: the other members
// of this zone, or the most recently heard hosts of another one.
func (m *Manager) Contacts(z toucanzone.Name) []*toucanpb.Member {
	if z == m.set.Zone {
		v := m.View()
		return slices.DeleteFunc(slices.Clone(v.Members()), func(o *toucanpb.Member) bool { return o.GetName() == m.set.Name })
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.freshest(z)
}

// freshest returns the contacts in a zone; the caller holds mu.
func (m *Manager) freshest(z toucanzone.Name) []*toucanpb.Member {
	cs := slices.SortedFunc(maps.Values(m.contacts[z]), func(a, b contact) int {
		return cmp.Or(b.heard.Compare(a.heard), cmp.Compare(a.member.GetId(), b.member.GetId()))
	})
	out := make([]*toucanpb.Member, len(cs))
	for i, c := range cs {
		out[i] = c.member
	}
	return out
}

// addContact keeps the most recently heard hosts of other zones; the caller
// holds mu.
func (m *Manager) addContact(o *toucanpb.Member, heard time.Time) {
	z := toucanzone.Name(o.GetZone())
	if z == m.set.Zone || z == "" || o.GetName() == "" || o.GetAddress() == "" {
		return
	}
	in := m.contacts[z]
	if in == nil {
		in = make(map[string]contact)
		m.contacts[z] = in
	}
	if old, ok := in[o.GetName()]; ok && !heard.After(old.heard) {
		return
	}
	in[o.GetName()] = contact{o, heard}
	if len(in) <= maxContacts {
		return
	}
	all := m.freshest(z)
	delete(in, all[len(all)-1].GetName())
}

// offeredContacts returns one random contact or, with many zones, mostly none;
// the receiver collects them over many heartbeats.
func (m *Manager) offeredContacts(to *toucanpb.Member) []*toucanpb.Contact {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	zones := m.zones()
	if len(zones) == 0 || len(zones) > manyZones && m.rnd.IntN(contactShare) > 0 {
		return nil
	}
	z := zones[m.rnd.IntN(len(zones))]
	if string(z) == to.GetZone() {
		return nil
	}
	best := m.freshest(z)[0]
	age := now.Sub(m.contacts[z][best.GetName()].heard)
	return []*toucanpb.Contact{{Member: best, AgeMs: uint64(max(age, 0).Milliseconds())}}
}

func (m *Manager) acceptContacts(cs []*toucanpb.Contact) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range cs {
		age := min(time.Duration(c.GetAgeMs()), time.Duration(idleReread.Milliseconds()*60)) * time.Millisecond
		m.addContact(c.GetMember(), now.Add(-age))
	}
}

// zones returns the other zones that have contacts, in order; the caller holds
// mu.
func (m *Manager) zones() []toucanzone.Name { return slices.Sorted(maps.Keys(m.contacts)) }

// beatContact sends a heartbeat to a host of the next zone in turn, and to one
// seed address as long as a zone may be unknown.
func (m *Manager) beatContact(ctx context.Context) {
	seeds := m.set.SeedAddresses()
	m.mu.Lock()
	var to *toucanpb.Member
	if zones := m.zones(); len(zones) > 0 {
		m.due.zone++
		best := m.freshest(zones[m.due.zone%len(zones)])
		to = best[m.rnd.IntN(min(len(best), 3))]
	}
	known := len(m.contacts)
	var seed string
	if len(seeds) > 0 && (known == 0 || m.rnd.IntN(10) == 0) {
		seed = seeds[m.rnd.IntN(len(seeds))]
	}
	m.mu.Unlock()
	if to != nil {
		m.group.Go(func() { m.beat(ctx, to) })
	}
	if seed != "" && seed != m.set.Address {
		m.group.Go(func() { m.beat(ctx, &toucanpb.Member{Address: seed}) })
	}
}

// readZones takes contacts from the views of the other zones in the store.
func (m *Manager) readZones(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	es, err := m.set.Store.List(ctx, "zone/")
	if err != nil {
		return
	}
	// The store does not say when a host was last heard from.
	heard := time.Now().Add(-idleReread)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range es {
		if !strings.HasSuffix(e.GetKey(), "/view") {
			continue
		}
		z, err := decodeView(e.GetValue())
		if err != nil {
			continue
		}
		for _, o := range z.GetMembers() {
			m.addContact(o, heard)
		}
	}
}

// chooseWitness returns a host of another zone to be the witness of the view
// that follows v, or nil. The host with the given id is not chosen.
func (m *Manager) chooseWitness(not toucanhost.ID) *toucanpb.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best contact
	for _, in := range m.contacts {
		for _, c := range in {
			if c.member.GetId() != string(not) && (best.member == nil || c.heard.After(best.heard)) {
				best = c
			}
		}
	}
	return best.member
}

// tendWitness gives a 2-member view a witness when it has none, and another
// one when the witness is silent.
func (m *Manager) tendWitness(ctx context.Context, now time.Time) {
	s := m.standing.Load()
	if len(s.view.Members()) != 2 {
		return
	}
	w := s.view.Witness()
	m.mu.Lock()
	if w != nil {
		p := m.peer(toucanhost.ID(w.GetId()), now)
		if now.Sub(p.heard) <= witnessLimit || now.Sub(p.since) <= witnessLimit {
			m.mu.Unlock()
			return
		}
	}
	due := now.After(m.due.witness)
	if due {
		m.due.witness = now.Add(m.set.HeartbeatInterval + m.jitter(2*m.set.HeartbeatInterval))
	}
	m.mu.Unlock()
	if !due {
		return
	}
	m.background(ctx, "witness", func(ctx context.Context) {
		next := m.chooseWitness(toucanhost.ID(w.GetId()))
		if next == nil {
			return
		}
		v, revision, err := m.read(ctx)
		if err != nil || v.Number() != s.view.Number() {
			return
		}
		if err := m.write(ctx, v.ReplaceWitness(next), revision); err == nil {
			m.set.Log.Info("chose a witness", zap.String("id", next.GetId()))
		}
	})
}
