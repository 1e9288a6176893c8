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

// contact is a host of another zone and the time when it was last heard from.
type contact struct {
	member    *toucanpb.Member
	lastHeard time.Time
}

// Contacts returns hosts of a zone to send requests to: the other members of
// this host's own zone, or the known hosts of another zone, the most recently
// heard from first.
func (m *Manager) Contacts(z toucanzone.Name) []*toucanpb.Member {
	if z == m.settings.Zone {
		v := m.View()
		return slices.DeleteFunc(slices.Clone(v.Members()), func(o *toucanpb.Member) bool { return o.GetName() == m.settings.Name })
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.contactsByRecency(z)
}

// contactsByRecency returns the contacts in a zone, the most recently heard from
// first; the caller holds mu.
func (m *Manager) contactsByRecency(z toucanzone.Name) []*toucanpb.Member {
	cs := slices.SortedFunc(maps.Values(m.contacts[z]), func(a, b contact) int {
		return cmp.Or(b.lastHeard.Compare(a.lastHeard), cmp.Compare(a.member.GetId(), b.member.GetId()))
	})
	out := make([]*toucanpb.Member, len(cs))
	for i, c := range cs {
		out[i] = c.member
	}
	return out
}

// addContact adds or updates a host of another zone. Of each zone it keeps the
// maxContacts hosts that were heard from most recently. The caller holds mu.
func (m *Manager) addContact(host *toucanpb.Member, lastHeard time.Time) {
	z := toucanzone.Name(host.GetZone())
	if z == m.settings.Zone || z == "" || host.GetName() == "" || host.GetAddress() == "" {
		return
	}
	inZone := m.contacts[z]
	if inZone == nil {
		inZone = make(map[string]contact)
		m.contacts[z] = inZone
	}
	if old, ok := inZone[host.GetName()]; ok && !lastHeard.After(old.lastHeard) {
		return
	}
	inZone[host.GetName()] = contact{host, lastHeard}
	if len(inZone) <= maxContacts {
		return
	}
	all := m.contactsByRecency(z)
	delete(inZone, all[len(all)-1].GetName())
}

// contactsToOffer returns the latest contact of one random zone, or none when that is
// the receiver's zone. With more than contactSamplingMinZones zones it returns one in
// only 1 of contactSamplingRate calls; receivers collect contacts over many heartbeats.
func (m *Manager) contactsToOffer(to *toucanpb.Member) []*toucanpb.Contact {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	zones := m.contactZones()
	if len(zones) == 0 || len(zones) > contactSamplingMinZones && m.rng.IntN(contactSamplingRate) > 0 {
		return nil
	}
	z := zones[m.rng.IntN(len(zones))]
	if string(z) == to.GetZone() {
		return nil
	}
	best := m.contactsByRecency(z)[0]
	age := now.Sub(m.contacts[z][best.GetName()].lastHeard)
	return []*toucanpb.Contact{{Member: best, AgeMs: uint64(max(age, 0).Milliseconds())}}
}

// mergeContacts adds contacts from gossip. Their ages are limited to one hour.
func (m *Manager) mergeContacts(cs []*toucanpb.Contact) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range cs {
		age := min(time.Duration(c.GetAgeMs()), time.Duration(idleReadInterval.Milliseconds()*60)) * time.Millisecond
		m.addContact(c.GetMember(), now.Add(-age))
	}
}

// contactZones returns the other zones that have contacts, sorted by name; the
// caller holds mu.
func (m *Manager) contactZones() []toucanzone.Name { return slices.Sorted(maps.Keys(m.contacts)) }

// heartbeatContact sends a heartbeat to one of the three most recently heard from
// hosts of the next zone in turn, and to one seed address: always while no other zone
// is known, and in 1 of 10 calls afterwards, since some zones may still be unknown.
func (m *Manager) heartbeatContact(ctx context.Context) {
	seeds := m.settings.SeedAddresses()
	m.mu.Lock()
	var to *toucanpb.Member
	if zones := m.contactZones(); len(zones) > 0 {
		m.due.zone++
		recent := m.contactsByRecency(zones[m.due.zone%len(zones)])
		to = recent[m.rng.IntN(min(len(recent), 3))]
	}
	known := len(m.contacts)
	var seed string
	if len(seeds) > 0 && (known == 0 || m.rng.IntN(10) == 0) {
		seed = seeds[m.rng.IntN(len(seeds))]
	}
	m.mu.Unlock()
	if to != nil {
		m.wg.Go(func() { m.sendHeartbeat(ctx, to) })
	}
	if seed != "" && seed != m.settings.Address {
		m.wg.Go(func() { m.sendHeartbeat(ctx, &toucanpb.Member{Address: seed}) })
	}
}

// readOtherZoneViews adds contacts from the views of the other zones in the store.
func (m *Manager) readOtherZoneViews(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	es, err := m.settings.Store.List(ctx, "zone/")
	if err != nil {
		return
	}
	// The store does not say when a host was last heard from, so its hosts rank after
	// all that were heard from within idleReadInterval.
	heard := time.Now().Add(-idleReadInterval)
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

// chooseWitness returns the most recently heard from host of another zone, to be
// the witness of the next view, or nil when no host is known. It does not return
// the host with the excluded id.
func (m *Manager) chooseWitness(excluded toucanhost.ID) *toucanpb.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best contact
	for _, inZone := range m.contacts {
		for _, c := range inZone {
			if c.member.GetId() != string(excluded) && (best.member == nil || c.lastHeard.After(best.lastHeard)) {
				best = c
			}
		}
	}
	return best.member
}

// ensureWitness adds a witness to a 2-member view without one, and replaces a
// witness that has been silent for witnessTimeout.
func (m *Manager) ensureWitness(ctx context.Context, now time.Time) {
	s := m.state.Load()
	if len(s.view.Members()) != 2 {
		return
	}
	w := s.view.Witness()
	m.mu.Lock()
	if w != nil {
		p := m.peer(toucanhost.ID(w.GetId()), now)
		if now.Sub(p.lastHeard) <= witnessTimeout || now.Sub(p.observedSince) <= witnessTimeout {
			m.mu.Unlock()
			return
		}
	}
	due := now.After(m.due.witness)
	if due {
		m.due.witness = now.Add(m.settings.HeartbeatInterval + m.jitter(2*m.settings.HeartbeatInterval))
	}
	m.mu.Unlock()
	if !due {
		return
	}
	m.runInBackground(ctx, "witness", func(ctx context.Context) {
		next := m.chooseWitness(toucanhost.ID(w.GetId()))
		if next == nil {
			return
		}
		v, revision, err := m.readView(ctx)
		if err != nil || v.Number() != s.view.Number() {
			return
		}
		if err := m.writeView(ctx, v.ReplaceWitness(next), revision); err == nil {
			m.settings.Log.Info("chose a witness", zap.String("id", next.GetId()))
		}
	})
}
