package toucanfollow

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanmirror"
	"toucanstair.example/toucanstair/toucanreader"
)

// apply takes in a batch and acts on what changed.
func (f *Follower) apply(b toucanmirror.Batch, confirmed time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	notable, minor := f.Mirror.Apply(b, confirmed)
	out, peers := maps.Clone(f.Out()), map[toucanhost.ID]toucanreader.Peer(nil)
	if m := f.peers.Load(); m != nil {
		peers = maps.Clone(*m)
	}
	if out == nil {
		out = make(map[toucanzone.Name]bool)
	}
	if peers == nil {
		peers = make(map[toucanhost.ID]toucanreader.Peer)
	}
	now := time.Now()
	for _, it := range minor {
		// A minor change is one of a target's beats.
		if c, err := f.Decode(it); err == nil && c.Target != nil {
			f.Roster.Put(*c.Target, now)
		}
	}
	for _, it := range notable {
		c, err := f.Decode(it)
		if err != nil {
			f.Log.Warn("a key can't be read", zap.String("key", it.Key), zap.Uint64("revision", it.Revision), zap.Error(err))
		}
		f.act(c, it, out, peers, now)
	}
	if len(notable) > 0 {
		f.out.Store(&out)
		f.peers.Store(&peers)
	}
	if f.Mirror.At() > 0 && f.listed.CompareAndSwap(false, true) {
		f.Log.Info("store read", zap.Uint64("revision", f.Mirror.At()), zap.Int("targets", f.Roster.Size()))
	}
}

func (f *Follower) act(c Change, it toucanmirror.Item, out map[toucanzone.Name]bool, peers map[toucanhost.ID]toucanreader.Peer, now time.Time) {
	switch {
	case c.Rules != nil:
		if it.Revision <= f.revision {
			return
		}
		c.Rules.Index()
		f.revision = it.Revision
		f.rules.Store(c.Rules)
		f.Log.Info("rules reloaded", zap.Uint64("version", c.Rules.Version), zap.Uint64("revision", it.Revision), zap.Int("routes", len(c.Rules.Routes)))
	case c.Target != nil:
		added := f.Roster.Put(*c.Target, now)
		if f.listed.Load() && (added || c.Target.Draining) {
			f.Log.Info("target changed", zap.String("target", string(c.Target.ID)), zap.String("service", string(c.Target.Service)),
				zap.Bool("draining", c.Target.Draining), zap.Uint64("revision", it.Revision))
		}
	case c.Left != "":
		f.Roster.Drop(c.Left, now)
		f.Log.Info("entry of target gone", zap.String("target", string(c.Left)), zap.Uint64("revision", it.Revision))
	case c.Zone != "":
		if c.Out {
			out[c.Zone] = true
		} else {
			delete(out, c.Zone)
		}
		f.Log.Info("evacuation changed", zap.String("evacuated", string(c.Zone)), zap.Bool("out", c.Out), zap.Uint64("revision", it.Revision))
	case c.Peer != nil:
		peers[c.Peer.ID] = *c.Peer
		f.Log.Info("host listed", zap.String("peer", string(c.Peer.ID)), zap.Uint64("revision", it.Revision))
	case c.Parted != "":
		delete(peers, c.Parted)
		f.Log.Info("host gone", zap.String("peer", string(c.Parted)), zap.Uint64("revision", it.Revision))
	}
}

// Notable reports whether a new value of a key matters to hosts: beats of
// targets that change nothing else do not.
func Notable(decode func(toucanmirror.Item) (Change, error)) func(old, new toucanmirror.Item) bool {
	// coldRise is the rise of a target's cold time that shows that it turned cold
	// again; beats only lower it.
	const coldRise = 500 * time.Millisecond
	return func(old, new toucanmirror.Item) bool {
		a, errA := decode(old)
		b, errB := decode(new)
		if errA != nil || errB != nil || a.Target == nil || b.Target == nil {
			return true
		}
		if b.Target.Cold > a.Target.Cold+coldRise {
			return true
		}
		a.Target.Cold = b.Target.Cold
		return *a.Target != *b.Target
	}
}
