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

func (m *Manager) loop(ctx context.Context) error {
	m.mu.Lock()
	now := time.Now()
	m.ticked = now
	m.due.contact = now.Add(m.jitter(contactEvery))
	// Members that start together would else all ask the same zone each second,
	// and hear of each one only once in as many seconds as there are zones.
	m.due.zone = m.rnd.IntN(1 << 16)
	m.due.reread = now.Add(m.jitter(idleReread))
	phase := m.jitter(m.set.HeartbeatInterval)
	m.mu.Unlock()
	m.tick(ctx)
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(phase):
	}
	t := time.NewTicker(m.set.HeartbeatInterval)
	defer t.Stop()
	for {
		if m.replaced.Load() {
			return toucanfault.NotRun(toucanpb.Code_CODE_CONFLICT, "another process joined zone "+string(m.set.Zone)+" as "+m.set.Name)
		}
		select {
		case <-ctx.Done():
			return nil
		case from := <-m.later:
			m.background(ctx, "learn", func(ctx context.Context) { m.learn(ctx, from) })
		case <-t.C:
			m.tick(ctx)
		}
	}
}

// tick starts what is due; everything that waits runs in the background.
func (m *Manager) tick(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	if now.Sub(m.ticked) > m.set.HeartbeatInterval+stall {
		m.set.Log.Warn("heartbeat loop was late", zap.Duration("late", now.Sub(m.ticked)))
		for _, p := range m.peers {
			p.since = now
		}
		clear(m.gone)
	}
	m.ticked = now
	joined := m.joined
	suspects := m.suspects(now)
	needy := !m.lease.Held() || len(suspects) > 0
	m.mu.Unlock()

	if m.left.Load() || m.replaced.Load() {
		return
	}
	if !joined {
		m.background(ctx, "join", m.join)
	} else {
		if !m.rests(len(suspects) > 0) {
			m.beatRound(ctx, &m.group)
		}
		if len(suspects) > 0 {
			m.background(ctx, "remove", func(ctx context.Context) { m.tryRemove(ctx, suspects) })
		}
		m.tendWitness(ctx, now)
	}
	if m.isDue(&m.due.contact, now, contactEvery) {
		m.beatContact(ctx)
	}
	watcher := m.standing.Load().watcher
	every := idleReread
	if watcher || needy {
		every = m.set.StoreReadInterval
	}
	if m.isDue(&m.due.reread, now, every) {
		m.background(ctx, "reread", func(ctx context.Context) { _, _, _ = m.read(ctx) })
	}
	// The list matters for removals only, and has 140 KB at 3,900 hosts.
	if needy && m.isDue(&m.due.hosts, now, m.set.StoreReadInterval) {
		m.background(ctx, "hosts", m.readHosts)
	}
	if m.isDue(&m.due.list, now, idleReread) && (watcher || !joined) {
		m.background(ctx, "list", m.readZones)
	}
}

// rests reports whether this tick needs no heartbeats. In a large zone that
// would go over its bytes, every second tick is left out as long as the last
// round renewed the lease and there is nothing to tell. A round that fails is
// repeated at the full rate, so with the defaults the lease can be renewed 1,
// 1.5, 2 and 2.5 s after it was.
func (m *Manager) rests(suspicious bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rested = !m.rested && !suspicious && m.isSlow() && !m.leaving.Load() && len(m.awaited) == 0 && m.lease.RoundAcknowledged()
	return m.rested
}

// isSlow reports whether members beat at half the rate.
func (m *Manager) isSlow() bool {
	const rounds = 3 // within the term, at half the rate
	return len(m.View().Members()) >= slowZone && 2*rounds*m.set.HeartbeatInterval <= m.set.LeaseTerm
}

// isDue reports whether the time of an action has come and sets the next one.
// A mean interval that has become shorter takes effect at once.
func (m *Manager) isDue(at *time.Time, now time.Time, every time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Before(*at) && at.Sub(now) < 2*every {
		return false
	}
	due := !now.Before(*at)
	*at = now.Add(every/2 + m.jitter(every))
	return due
}

// jitter returns a random time below d; the caller holds mu.
func (m *Manager) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rnd.Int64N(int64(d)))
}

// background runs f unless a job of that name still runs.
func (m *Manager) background(ctx context.Context, name string, f func(context.Context)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy[name] {
		return
	}
	m.busy[name] = true
	m.group.Go(func() {
		f(ctx)
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.busy, name)
	})
}

// read reads the zone view from the store, makes it current when it is later,
// and returns it with the revision of its key.
func (m *Manager) read(ctx context.Context) (toucanview.View, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	e, err := m.set.Store.Get(ctx, m.key())
	if err != nil {
		return toucanview.View{}, 0, err
	}
	z, err := decodeView(e.GetValue()) // an absent key has no value
	if err != nil {
		return toucanview.View{}, 0, toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "view of zone "+string(m.set.Zone)+" in the store").Because(err)
	}
	v := toucanview.FromProto(z)
	if e == nil {
		v = toucanview.View{}
	}
	if known := m.View(); v.Number() < known.Number() {
		return v, 0, toucanfault.NotRun(toucanpb.Code_CODE_STORE, "the store holds an earlier zone view than the hosts")
	}
	m.adopt(v)
	return v, e.GetRevision(), nil
}

// write stores the view that follows the one at revision prev and makes it
// current. A write whose result is lost is found by a later read.
func (m *Manager) write(ctx context.Context, v toucanview.View, prev uint64) error {
	value, err := encodeView(v.Proto())
	if err != nil {
		return toucanfault.NotRun(toucanpb.Code_CODE_INTERNAL, "encoding the zone view").Because(err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	if _, err := m.set.Store.Put(ctx, m.key(), value, prev, ""); err != nil {
		return err
	}
	m.adopt(v)
	return nil
}

// join adds this host to the view once; the next tick tries again.
func (m *Manager) join(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	wait := now.Before(m.due.join)
	m.mu.Unlock()
	if wait {
		return
	}
	err := m.joinOnce(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil || m.joined {
		return
	}
	if !isConflict(err) {
		m.set.Log.Warn("not joined", zap.Error(err))
	}
	m.due.join = time.Now().Add(m.jitter(m.set.HeartbeatInterval))
}

func (m *Manager) joinOnce(ctx context.Context) error {
	v, revision, err := m.read(ctx)
	if err != nil {
		return err
	}
	if m.Joined() {
		return nil
	}
	self := m.Self()
	if m.isUsed(v) {
		// The join took effect with its reply lost, and this host was removed
		// again; the id of a removed member must not return.
		m.mu.Lock()
		self = m.incarnate()
		m.self.Store(self)
		m.mu.Unlock()
	}
	return m.write(ctx, v.Join(m.set.Zone, self, m.chooseWitness("")), revision)
}

func (m *Manager) isUsed(v toucanview.View) bool {
	used := v.Removal(m.id()) != nil
	for _, e := range v.Earlier() {
		used = used || e.Member(m.id()) != nil
	}
	return used
}

// Leave tells the peers that this host leaves, gives up its slots and removes
// it from the view. The caller has no leg in flight any more. It returns a
// toucanfault.Error when the store did not take the removal in time; then the
// others remove this host by vote.
func (m *Manager) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.set.LeaveTimeout)
	defer cancel()
	m.SetLeaving()
	var group sync.WaitGroup
	defer group.Wait()
	s := m.standing.Load()
	m.tellVoters(ctx, s, &group)
	m.mu.Lock()
	m.left.Store(true) // under mu, so that no acknowledgement is under way
	m.lease.Revoke()
	m.mu.Unlock()
	for {
		err := m.leaveOnce(ctx)
		if err == nil {
			// Nobody else knows the new view before the watching members read it.
			m.tellVoters(ctx, s, &group)
			return nil
		}
		m.mu.Lock()
		pause := m.jitter(m.set.HeartbeatInterval)
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause):
		}
	}
}

func (m *Manager) leaveOnce(ctx context.Context) error {
	id := m.id()
	v, revision, err := m.read(ctx)
	if err != nil || v.Member(id) == nil {
		return err
	}
	return m.write(ctx, v.Remove(id, toucanpb.Removal_CAUSE_LEFT, m.chooseWitness(id)), revision)
}
