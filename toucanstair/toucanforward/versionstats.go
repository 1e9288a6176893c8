package toucanforward

import (
	"time"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucanroster"
	"toucanstair.example/toucanstair/toucansend"
)

// compares reports whether an exchange that begins now tells versions of a
// service apart. A cold start or a new connection says nothing of the version.
func (f *Forwarder) compares(t *toucanroster.Target, now time.Time) bool {
	if !f.Rollouts.Moving(t.Service) || t.Cold(now) {
		return false
	}
	return f.Picker.Connected == nil || f.Picker.Connected(t)
}

// compare counts the end of an exchange for its target's version. given says
// that this host ended the exchange.
func (f *Forwarder) compare(t *toucanroster.Target, route string, ev event, took time.Duration, given bool) {
	var code toucanpb.Code
	switch f.judge(ev) {
	case good, final:
	case failed:
		switch {
		case given && took < lingerTime:
			return // the caller has left, or the response was no longer needed
		case given:
			// A target that is given up counts by the time that it has taken.
		case ev.err != nil && ev.err.Fate == toucansend.Unknown:
			code = toucanpb.Code_CODE_DOWN
		default:
			code = toucanpb.Code_CODE_FAILED
		}
	default:
		return // the target's version had no part in it
	}
	f.Rollouts.Observe(t.Service, t.Version, route, code, max(0, took-f.Picker.Way(t)))
}
