package toucanforward

import (
	"time"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucantransport"
)

// countsForVersion reports whether an attempt that starts now counts in the
// comparison of a service's versions. A cold target or a new connection is slow
// with any version.
func (f *Forwarder) countsForVersion(t *toucanbalancer.Target, now time.Time) bool {
	if !f.Rollouts.InProgress(t.Service) || t.IsCold(now) {
		return false
	}
	return f.Picker.HasConnection == nil || f.Picker.HasConnection(t)
}

// observeVersion records the result of an attempt for its target's version.
// cancelled reports whether this host cancelled the attempt.
func (f *Forwarder) observeVersion(t *toucanbalancer.Target, route string, result attemptResult, took time.Duration, cancelled bool) {
	var code toucanpb.Code
	switch f.classify(result) {
	case success, definitive:
	case failed:
		switch {
		case cancelled && took < attemptGracePeriod:
			return // the caller is gone or the response was no longer needed
		case cancelled:
			// An attempt that ran for at least attemptGracePeriod counts as a response
			// that took this long.
		case result.err != nil && result.err.Kind == toucantransport.MaybeExecuted:
			code = toucanpb.Code_CODE_DOWN
		default:
			code = toucanpb.Code_CODE_FAILED
		}
	default:
		return // the target did not run the request
	}
	f.Rollouts.RecordResponse(t.Service, t.Version, route, code, max(0, took-f.Picker.RTT(t)))
}
