package toucanmembership

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanview"
)

// loop joins the zone and runs the periodic actions. It returns nil when ctx
// ends, or a toucanfault.Error with CODE_CONFLICT when another process has joined
// under this host's name.
func (m *Manager) loop(ctx context.Context) error {
	m.mu.Lock()
	now := time.Now()
	m.lastTick = now
	m.due.contact = now.Add(m.jitter(contactInterval))
	// A random start spreads the members over the zones. Members that start
	// together would otherwise all contact the same zone each second, and hear
	// from each zone only once in as many seconds as there are zones.
	m.due.zone = m.rng.IntN(1 << 16)
	m.due.viewRead = now.Add(m.jitter(idleReadInterval))
	phase := m.jitter(m.settings.HeartbeatInterval)
	m.mu.Unlock()
	m.tick(ctx)
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(phase):
	}
	t := time.NewTicker(m.settings.HeartbeatInterval)
	defer t.Stop()
	for {
		if m.replaced.Load() {
			return toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT, "another process joined zone "+string(m.settings.Zone)+" as "+m.settings.Name)
		}
		select {
		case <-ctx.Done():
			return nil
		case from := <-m.laterViewHosts:
			m.runInBackground(ctx, "learn", func(ctx context.Context) { m.fetchOrReadView(ctx, from) })
		case <-t.C:
			m.tick(ctx)
		}
	}
}

// tick starts the actions that are due. Calls to peers and to the store run in
// the background.
func (m *Manager) tick(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	if now.Sub(m.lastTick) > m.settings.HeartbeatInterval+maxTickDelay {
		m.settings.Log.Warn("heartbeat loop was late", zap.Duration("late", now.Sub(m.lastTick)))
		for _, p := range m.peers {
			p.observedSince = now
		}
		clear(m.missingSince)
	}
	m.lastTick = now
	joined := m.joined
	suspects := m.suspects(now)
	needsStore := !m.lease.Held() || len(suspects) > 0
	m.mu.Unlock()

	if m.left.Load() || m.replaced.Load() {
		return
	}
	if !joined {
		m.runInBackground(ctx, "join", m.join)
	} else {
		if !m.skipsHeartbeats(len(suspects) > 0) {
			m.sendHeartbeats(ctx, &m.wg)
		}
		if len(suspects) > 0 {
			m.runInBackground(ctx, "remove", func(ctx context.Context) { m.removeSuspects(ctx, suspects) })
		}
		m.ensureWitness(ctx, now)
	}
	if m.isDue(&m.due.contact, now, contactInterval) {
		m.heartbeatContact(ctx)
	}
	watcher := m.state.Load().watchesStore
	readInterval := idleReadInterval
	if watcher || needsStore {
		readInterval = m.settings.StoreReadInterval
	}
	if m.isDue(&m.due.viewRead, now, readInterval) {
		m.runInBackground(ctx, "reread", func(ctx context.Context) { _, _, _ = m.readView(ctx) })
	}
	// The host list is needed for removals only, and has 140 KB at 3,900 hosts.
	if needsStore && m.isDue(&m.due.hostList, now, m.settings.StoreReadInterval) {
		m.runInBackground(ctx, "hosts", m.readHostList)
	}
	if m.isDue(&m.due.otherZones, now, idleReadInterval) && (watcher || !joined) {
		m.runInBackground(ctx, "list", m.readOtherZoneViews)
	}
}

// skipsHeartbeats reports whether this tick sends no heartbeats. To limit the
// traffic of a large zone, every second tick is skipped as long as the last round
// renewed the lease, no member is suspected, no release is awaited and this host
// is not leaving. A failed round is retried at the full rate, so with the default
// settings there are attempts to renew the lease 1, 1.5, 2 and 2.5 s after it was
// renewed.
func (m *Manager) skipsHeartbeats(hasSuspects bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.skippedTick = !m.skippedTick && !hasSuspects && m.usesHalfRate() && !m.leaving.Load() && len(m.awaitedReleases) == 0 && m.lease.RoundAcknowledged()
	return m.skippedTick
}

// usesHalfRate reports whether members send heartbeats at half the rate.
func (m *Manager) usesHalfRate() bool {
	const rounds = 3 // that must fit in the lease term at half the rate
	return len(m.View().Members()) >= halfRateZoneSize && 2*rounds*m.settings.HeartbeatInterval <= m.settings.LeaseTerm
}

// isDue reports whether an action is due, and schedules its next time. A mean
// interval that has become shorter takes effect at once.
func (m *Manager) isDue(next *time.Time, now time.Time, interval time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Before(*next) && next.Sub(now) < 2*interval {
		return false
	}
	due := !now.Before(*next)
	*next = now.Add(interval/2 + m.jitter(interval))
	return due
}

// jitter returns a random duration in [0, d); the caller holds mu.
func (m *Manager) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d)))
}

// runInBackground runs f in a goroutine unless a job of that name is running.
func (m *Manager) runInBackground(ctx context.Context, name string, f func(context.Context)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runningJobs[name] {
		return
	}
	m.runningJobs[name] = true
	m.wg.Go(func() {
		f(ctx)
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.runningJobs, name)
	})
}

// readView reads the zone view from the store, adopts it when it is later, and
// returns it with the revision of its key. It returns a toucanfault.Error when the
// store fails, the value is invalid, or the view is earlier than the known one.
func (m *Manager) readView(ctx context.Context) (toucanview.View, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e, err := m.settings.Store.Get(ctx, m.ownViewKey())
	if err != nil {
		return toucanview.View{}, 0, err
	}
	z, err := decodeView(e.GetValue()) // an absent key has no value
	if err != nil {
		return toucanview.View{}, 0, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "the view of zone "+string(m.settings.Zone)+" in the store cannot be decoded").Because(err)
	}
	v := toucanview.FromProto(z)
	if e == nil {
		v = toucanview.View{}
	}
	if known := m.View(); v.Number() < known.Number() {
		return v, 0, toucanfault.NotRun(toucanpb.Code_CODE_STORE, "the zone view in the store is earlier than the one that this host knows")
	}
	m.adoptView(v)
	return v, e.GetRevision(), nil
}

// writeView stores the view that follows the one at revision prev and adopts it.
// It returns a toucanfault.Error when the store did not confirm the write; a write
// that took effect all the same is found by a later read.
func (m *Manager) writeView(ctx context.Context, v toucanview.View, prev uint64) error {
	value, err := encodeView(v.Proto())
	if err != nil {
		return toucanfault.NotRun(toucanpb.Code_CODE_INTERNAL, "the zone view cannot be encoded").Because(err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := m.settings.Store.Put(ctx, m.ownViewKey(), value, prev, ""); err != nil {
		return err
	}
	m.adoptView(v)
	return nil
}

// join tries once to add this host to the view, unless the last attempt was too
// recent. Later ticks try again.
func (m *Manager) join(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	wait := now.Before(m.due.join)
	m.mu.Unlock()
	if wait {
		return
	}
	err := m.tryJoin(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil || m.joined {
		return
	}
	if !isConflict(err) {
		m.settings.Log.Warn("could not join the zone", zap.Error(err))
	}
	m.due.join = time.Now().Add(m.jitter(m.settings.HeartbeatInterval))
}

// tryJoin writes a view with this host to the store.
func (m *Manager) tryJoin(ctx context.Context) error {
	v, revision, err := m.readView(ctx)
	if err != nil {
		return err
	}
	if m.Joined() {
		return nil
	}
	self := m.Self()
	if m.isIDUsed(v) {
		// An earlier join took effect although its reply was lost, and this host
		// was removed again. The id of a removed member must not be reused.
		m.mu.Lock()
		self = m.newIncarnation()
		m.self.Store(self)
		m.mu.Unlock()
	}
	return m.writeView(ctx, v.Join(m.settings.Zone, self, m.chooseWitness("")), revision)
}

// isIDUsed reports whether v lists this host's id as removed or as a member of an
// earlier view.
func (m *Manager) isIDUsed(v toucanview.View) bool {
	used := v.Removal(m.id()) != nil
	for _, e := range v.Earlier() {
		used = used || e.Member(m.id()) != nil
	}
	return used
}

// Leave notifies the voters that this host is leaving, ends its lease, which gives
// up its slots, and removes it from the view. The caller must have no leg in
// flight. It returns a toucanfault.Error when the store did not confirm the
// removal within LeaveTimeout; the other members then remove this host by vote.
func (m *Manager) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.settings.LeaveTimeout)
	defer cancel()
	m.SetLeaving()
	var wg sync.WaitGroup
	defer wg.Wait()
	s := m.state.Load()
	m.notifyVoters(ctx, s, &wg)
	m.mu.Lock()
	m.left.Store(true) // under mu, so that no acknowledgement is being processed
	m.lease.Revoke()
	m.mu.Unlock()
	for {
		err := m.tryLeave(ctx)
		if err == nil {
			// Without this, the others would learn of the new view only when the
			// watching members next read the store.
			m.notifyVoters(ctx, s, &wg)
			return nil
		}
		m.mu.Lock()
		pause := m.jitter(m.settings.HeartbeatInterval)
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause):
		}
	}
}

// tryLeave writes a view without this host to the store. It returns nil when the
// view has no such member any more.
func (m *Manager) tryLeave(ctx context.Context) error {
	id := m.id()
	v, revision, err := m.readView(ctx)
	if err != nil || v.Member(id) == nil {
		return err
	}
	return m.writeView(ctx, v.Remove(id, toucanpb.Removal_CAUSE_LEFT, m.chooseWitness(id)), revision)
}
