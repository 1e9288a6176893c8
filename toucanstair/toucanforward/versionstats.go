package toucanforward

import (
	"time"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucantransport"
)

// untimed is the latency that is recorded for an attempt whose latency says nothing of its
// target's version.
const untimed time.Duration = -1

// isWarm reports whether the latency of an attempt that starts now says something of its
// target's version. A cold target or a new connection is slow with any version.
func (f *Forwarder) isWarm(t *toucanbalancer.Target, now time.Time) bool {
	return !t.IsCold(now) && (f.Picker.HasConnection == nil || f.Picker.HasConnection(t))
}

// observeVersion records the result of an attempt for its target's version. warm is the
// result of isWarm at the start of the attempt; cancelled reports whether this host
// cancelled the attempt.
func (f *Forwarder) observeVersion(t *toucanbalancer.Target, route string, result attemptResult, took time.Duration, warm, cancelled bool) {
	var code toucanpb.Code
	switch f.classify(result) {
	case success:
	case definitive:
		code = toucanpb.Code_CODE_REJECTED
	case failed:
		switch {
		case cancelled && (!warm || took < attemptGracePeriod):
			return // the caller is gone or the response was no longer needed
		case cancelled:
			// An attempt that ran for at least attemptGracePeriod counts as a response
			// that took this long.
		case result.err != nil && result.err.Kind == toucantransport.MaybeExecuted:
			if !warm {
				return // a target resets connections beyond its limit
			}
			code = toucanpb.Code_CODE_DOWN
		default:
			code = toucanpb.Code_CODE_FAILED
		}
	default:
		return // the target did not run the request
	}
	took = max(0, took-f.Picker.RTT(t))
	if !warm {
		took = untimed
	}
	f.Rollouts.RecordResponse(t.Service, t.Version, route, code, took)
}
