package toucanfollower

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanmirror"
	"toucanstair.example/toucanstair/toucanpanic"
	"toucanstair.example/toucanstair/toucanrules"
	"toucanstair.example/toucanstair/toucansource"
)

// minColdTimeIncrease is by how much the end of a target's cold time has to move for the
// target to count as cold again. Other heartbeats only confirm that end.
const minColdTimeIncrease = 500 * time.Millisecond

// appliedChange is a change and when it was applied.
type appliedChange struct {
	Change
	at time.Time
}

// apply stores a batch in the mirror and applies the changes. It fails if the batch is of
// another era than the mirror.
func (f *Follower) apply(b toucanmirror.Batch, confirmed time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastSignificant == nil {
		f.lastSignificant = make(map[string]appliedChange)
		f.Mirror.IsSignificant, f.Mirror.Retention = f.isSignificant, f.retention
	}
	before, lastEra := f.Mirror.Revision(), f.Mirror.LastEraChange()
	significant, insignificant, err := f.Mirror.Apply(b, confirmed)
	if err != nil {
		return err
	}
	now := time.Now()
	if change := f.Mirror.LastEraChange(); change != lastEra {
		f.eraBegan(before, change, now)
	}
	for _, it := range insignificant {
		// An insignificant change is a heartbeat of a target, which may lower
		// its cold time.
		if c := f.decode(it); c.Target != nil && c.Target.ColdRemaining > 0 {
			f.Targets.Upsert(*c.Target, now)
		}
	}
	if len(significant) > 0 {
		f.applySignificant(significant, now)
	}
	clear(f.decoded)
	if f.Mirror.Revision() > 0 && f.listed.CompareAndSwap(false, true) {
		f.Log.Info("store read", zap.Stringer("revision", f.Mirror.Revision()), zap.Int("targets", f.Targets.Len()))
	}
	return nil
}

func (f *Follower) applySignificant(items []toucanmirror.Item, now time.Time) {
	outOfService, peers := make(map[toucanzone.Name]bool), make(map[toucanhost.ID]toucansource.Peer)
	maps.Copy(outOfService, f.OutOfServiceZones())
	if m := f.peers.Load(); m != nil {
		maps.Copy(peers, *m)
	}
	for _, it := range items {
		c := f.decode(it)
		if it.Deleted {
			delete(f.lastSignificant, it.Key)
		} else {
			f.lastSignificant[it.Key] = appliedChange{c, now}
		}
		f.applyChange(c, it, outOfService, peers, now)
	}
	f.outOfService.Store(&outOfService)
	f.peers.Store(&peers)
}

type itemVersion struct {
	key      string
	revision toucanmirror.Revision
}

// decode decodes an item, at most once for each batch.
func (f *Follower) decode(it toucanmirror.Item) Change {
	v := itemVersion{it.Key, it.Revision}
	if c, ok := f.decoded[v]; ok {
		return c
	}
	var c Change
	var err error
	if panicked := toucanpanic.Call(func() { c, err = f.Decode(it) }); panicked != nil {
		c, err = Change{}, panicked
	}
	if err != nil {
		f.Log.Warn("item can't be decoded", zap.String("key", it.Key), zap.Stringer("revision", it.Revision), zap.Error(err))
	}
	if f.decoded == nil {
		f.decoded = make(map[itemVersion]Change)
	}
	f.decoded[v] = c
	return c
}

// isSignificant reports whether a new value of a key matters to hosts.
// Heartbeats of targets that change only the cold time do not, unless the
// target became cold again.
func (f *Follower) isSignificant(_, item toucanmirror.Item) bool {
	last := f.lastSignificant[item.Key]
	previous, current := last.Target, f.decode(item).Target
	if previous == nil || current == nil {
		return true
	}
	coldUntil := last.at.Add(previous.ColdRemaining)
	if current.ColdRemaining > 0 && time.Now().Add(current.ColdRemaining).After(coldUntil.Add(minColdTimeIncrease)) {
		return true
	}
	same := *previous
	same.ColdRemaining = current.ColdRemaining
	return same != *current
}

func (f *Follower) applyChange(c Change, it toucanmirror.Item, outOfService map[toucanzone.Name]bool, peers map[toucanhost.ID]toucansource.Peer, now time.Time) {
	switch {
	case c.Rules != nil:
		if it.Revision <= f.rulesRevision || !f.mayReplaceRules(c.Rules, it.Revision) {
			return
		}
		c.Rules.BuildIndex()
		f.rulesRevision = it.Revision
		recent := []*toucanrules.Rules{c.Rules}
		if old := f.recentRules.Load(); old != nil {
			recent = append(recent, (*old)[:min(len(*old), maxKeptRules-1)]...)
		}
		f.recentRules.Store(&recent)
		f.rules.Store(c.Rules)
		f.Log.Info("rules reloaded", zap.Uint64("version", c.Rules.Version), zap.Stringer("revision", it.Revision), zap.Int("routes", len(c.Rules.Routes)))
	case c.Target != nil:
		added := f.Targets.Upsert(*c.Target, now)
		if f.listed.Load() && (added || c.Target.Draining) {
			f.Log.Info("target changed", zap.String("target", string(c.Target.ID)), zap.String("service", string(c.Target.Service)),
				zap.Bool("draining", c.Target.Draining), zap.Stringer("revision", it.Revision))
		}
	case c.RemovedTarget != "":
		f.Targets.MarkRemoved(c.RemovedTarget, it.DeletedAfter, now)
		f.Log.Info("entry of target gone", zap.String("target", string(c.RemovedTarget)), zap.Stringer("revision", it.Revision))
	case c.Zone != "":
		if c.OutOfService {
			outOfService[c.Zone] = true
		} else {
			delete(outOfService, c.Zone)
		}
		f.Log.Info("zone taken out or back", zap.String("name", string(c.Zone)), zap.Bool("out", c.OutOfService), zap.Stringer("revision", it.Revision))
	case c.Order != nil:
		f.Rollouts.AddOrder(*c.Order, now)
	case c.WithdrawnOrder != "":
		f.Rollouts.RemoveOrder(c.WithdrawnOrder)
	case c.State != nil:
		f.Rollouts.ApplyStoredState(*c.State)
	case c.Peer != nil:
		peers[c.Peer.ID] = *c.Peer
		f.Log.Info("host listed", zap.String("peer", string(c.Peer.ID)), zap.Stringer("revision", it.Revision))
	case c.RemovedHost != "":
		delete(peers, c.RemovedHost)
		f.Log.Info("host gone", zap.String("peer", string(c.RemovedHost)), zap.Stringer("revision", it.Revision))
	}
}
