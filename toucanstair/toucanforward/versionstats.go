package toucanforward

import (
	"time"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucantransport"
)

// compares reports whether an exchange that begins now tells versions of a
// service apart. A cold start or a new connection says nothing of the version.
func (f *Forwarder) compares(t *toucanbalancer.Target, now time.Time) bool {
	if !f.Rollouts.InProgress(t.Service) || t.IsCold(now) {
		return false
	}
	return f.Picker.HasConnection == nil || f.Picker.HasConnection(t)
}

// compare counts the end of an exchange for its target's version. given says
// that this host ended the exchange.
func (f *Forwarder) compare(t *toucanbalancer.Target, route string, ev event, took time.Duration, given bool) {
	var code toucanpb.Code
	switch f.judge(ev) {
	case good, final:
	case failed:
		switch {
		case given && took < lingerTime:
			return // the caller has left, or the response was no longer needed
		case given:
			// A target that is given up counts by the time that it has taken.
		case ev.err != nil && ev.err.Kind == toucantransport.MaybeExecuted:
			code = toucanpb.Code_CODE_DOWN
		default:
			code = toucanpb.Code_CODE_FAILED
		}
	default:
		return // the target's version had no part in it
	}
	f.Rollouts.RecordResponse(t.Service, t.Version, route, code, max(0, took-f.Picker.RTT(t)))
}
