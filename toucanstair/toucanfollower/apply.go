package toucanfollower

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanmirror"
	"toucanstair.example/toucanstair/toucanrules"
	"toucanstair.example/toucanstair/toucansource"
)

// coldRise is the rise of a target's cold time that shows that it turned cold
// again; beats only lower it.
const coldRise = 500 * time.Millisecond

// apply takes in a batch and acts on what changed.
func (f *Follower) apply(b toucanmirror.Batch, confirmed time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.said == nil {
		f.said = make(map[string]Change)
		f.Mirror.IsSignificant = f.notable
	}
	notable, minor := f.Mirror.Apply(b, confirmed)
	now := time.Now()
	for _, it := range minor {
		// A minor change is one of a target's beats, which may lower its cold time.
		if c := f.reads(it); c.Target != nil && c.Target.ColdRemaining > 0 {
			f.Targets.Upsert(*c.Target, now)
		}
	}
	if len(notable) > 0 {
		f.note(notable, now)
	}
	clear(f.batch)
	if f.Mirror.Revision() > 0 && f.listed.CompareAndSwap(false, true) {
		f.Log.Info("store read", zap.Uint64("revision", f.Mirror.Revision()), zap.Int("targets", f.Targets.Len()))
	}
}

// note acts on notable changes.
func (f *Follower) note(items []toucanmirror.Item, now time.Time) {
	out, peers := make(map[toucanzone.Name]bool), make(map[toucanhost.ID]toucansource.Peer)
	maps.Copy(out, f.OutOfServiceZones())
	if m := f.peers.Load(); m != nil {
		maps.Copy(peers, *m)
	}
	for _, it := range items {
		c := f.reads(it)
		if it.Deleted {
			delete(f.said, it.Key)
		} else {
			f.said[it.Key] = c
		}
		f.act(c, it, out, peers, now)
	}
	f.out.Store(&out)
	f.peers.Store(&peers)
}

type version struct {
	key      string
	revision uint64
}

// reads decodes an item, once in each batch.
func (f *Follower) reads(it toucanmirror.Item) Change {
	v := version{it.Key, it.Revision}
	if c, ok := f.batch[v]; ok {
		return c
	}
	c, err := f.Decode(it)
	if err != nil {
		f.Log.Warn("a key can't be read", zap.String("key", it.Key), zap.Uint64("revision", it.Revision), zap.Error(err))
	}
	if f.batch == nil {
		f.batch = make(map[version]Change)
	}
	f.batch[v] = c
	return c
}

// notable reports whether a new value of a key matters to hosts: beats of
// targets that change nothing else do not.
func (f *Follower) notable(_, item toucanmirror.Item) bool {
	a, b := f.said[item.Key].Target, f.reads(item).Target
	if a == nil || b == nil || b.ColdRemaining > a.ColdRemaining+coldRise {
		return true
	}
	same := *a
	same.ColdRemaining = b.ColdRemaining
	return same != *b
}

func (f *Follower) act(c Change, it toucanmirror.Item, out map[toucanzone.Name]bool, peers map[toucanhost.ID]toucansource.Peer, now time.Time) {
	switch {
	case c.Rules != nil:
		if it.Revision <= f.revision {
			return
		}
		c.Rules.BuildIndex()
		f.revision = it.Revision
		kept := []*toucanrules.Rules{c.Rules}
		if old := f.recent.Load(); old != nil {
			kept = append(kept, (*old)[:min(len(*old), keptRules-1)]...)
		}
		f.recent.Store(&kept)
		f.rules.Store(c.Rules)
		f.Log.Info("rules reloaded", zap.Uint64("version", c.Rules.Version), zap.Uint64("revision", it.Revision), zap.Int("routes", len(c.Rules.Routes)))
	case c.Target != nil:
		added := f.Targets.Upsert(*c.Target, now)
		if f.listed.Load() && (added || c.Target.Draining) {
			f.Log.Info("target changed", zap.String("target", string(c.Target.ID)), zap.String("service", string(c.Target.Service)),
				zap.Bool("draining", c.Target.Draining), zap.Uint64("revision", it.Revision))
		}
	case c.RemovedTarget != "":
		f.Targets.MarkUnlisted(c.RemovedTarget, now)
		f.Log.Info("entry of target gone", zap.String("target", string(c.RemovedTarget)), zap.Uint64("revision", it.Revision))
	case c.Zone != "":
		if c.OutOfService {
			out[c.Zone] = true
		} else {
			delete(out, c.Zone)
		}
		f.Log.Info("zone taken out or back", zap.String("name", string(c.Zone)), zap.Bool("out", c.OutOfService), zap.Uint64("revision", it.Revision))
	case c.Order != nil:
		f.Rollouts.AddOrder(*c.Order, now)
	case c.WithdrawnOrder != "":
		f.Rollouts.RemoveOrder(c.WithdrawnOrder)
	case c.State != nil:
		f.Rollouts.ApplyStoredState(*c.State)
	case c.Peer != nil:
		peers[c.Peer.ID] = *c.Peer
		f.Log.Info("host listed", zap.String("peer", string(c.Peer.ID)), zap.Uint64("revision", it.Revision))
	case c.RemovedHost != "":
		delete(peers, c.RemovedHost)
		f.Log.Info("host gone", zap.String("peer", string(c.RemovedHost)), zap.Uint64("revision", it.Revision))
	}
}
