package toucanfollower

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"toucanstair.example/toucanstair/toucanmirror"
	"toucanstair.example/toucanstair/toucanrules"
)

// rewriteTime is how long after the store came back from an earlier copy what was written
// to it before may take to be written again.
const rewriteTime = 15 * time.Second

var erasBegun = metrics.NewCounter("toucan_follow_eras_total")

// eraBegan records that the store came back from an earlier copy.
func (f *Follower) eraBegan(before toucanmirror.Revision, change toucanmirror.EraChange, now time.Time) {
	erasBegun.Inc()
	// Entries of live targets that the copy lacks are written again within seconds.
	f.storeUncertainSince.Store(now.UnixNano())
	f.Log.Warn("the store came back from an earlier copy", zap.Stringer("era", change.Era), zap.Stringer("before", before),
		zap.Stringer("revision", f.Mirror.Revision()), zap.Int("retained", change.Retained))
}

// retention returns how long what is known of a key stays in force against what the copy
// has from which the store came back.
func (f *Follower) retention(known, copied toucanmirror.Item) time.Duration {
	was, is := f.decode(known), f.decode(copied)
	switch {
	case was == Change{} && is == Change{}:
		return 0
	case was.Rules != nil && is.Rules != nil:
		if is.Rules.Version >= was.Rules.Version {
			return 0
		}
	case is.RemovedTarget != "", is.Target != nil && is.Target.Draining:
		// A target that the copy lacks stays as a fallback for as long as it takes to list
		// itself again, and one that leaves gets nothing.
		return 0
	case is.Zone != "" && is.OutOfService:
		return 0 // a zone is out if either says so
	case was.State != nil, is.State != nil:
		return 0 // a rollout never goes back to an earlier state
	}
	return rewriteTime
}

// mayReplaceRules reports whether rules of a revision may replace the current ones. Rules
// of an earlier version that the copy has, or that are written again in turn, don't
// replace those that were in force before. Rules of the same version change nothing.
func (f *Follower) mayReplaceRules(r *toucanrules.Rules, revision toucanmirror.Revision) bool {
	current := f.Rules()
	if current == nil || revision.Era() == f.rulesRevision.Era() || r.Version > current.Version {
		return true
	}
	if r.Version == current.Version {
		f.rulesRevision = revision
		return false
	}
	f.Log.Info("rules of an earlier version not taken back", zap.Uint64("version", r.Version), zap.Uint64("current", current.Version),
		zap.Stringer("revision", revision))
	return false
}
