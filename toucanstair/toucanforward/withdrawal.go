package toucanforward

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/toucanstair/toucanbalancer"
	"toucanstair.example/toucanstair/toucantransport"
)

// maxRequestedPause bounds the time for which a target can keep this host away with
// Retry-After.
const maxRequestedPause = 10 * time.Minute

var (
	departuresSeen  = metrics.NewCounter("toucan_forward_departures_total")
	pausesRequested = metrics.NewCounter("toucan_forward_pauses_total")
)

// observeDeparture takes a target out of service on this host if its response says that
// it leaves. A response with status 421 comes from another target at the address.
func (f *Forwarder) observeDeparture(t *toucanbalancer.Target, res *toucantransport.Response, now time.Time) {
	if f.Headers.Leaving == "" || res.Header.Get(f.Headers.Leaving) != "1" || res.Status == http.StatusMisdirectedRequest {
		return
	}
	if f.Targets.MarkLeaving(toucanbalancer.Departure{Target: t.ID, StartMillis: t.StartMillis}, now) {
		departuresSeen.Inc()
		f.Log.Info("target leaves", zap.String("target", string(t.ID)), zap.String("service", string(t.Service)), zap.Int64("start", t.StartMillis))
	}
}

// observeRequestedPause keeps this host away from a target for as long as a refusal of
// the target asks for with Retry-After. An invalid value is ignored.
func (f *Forwarder) observeRequestedPause(t *toucanbalancer.Target, res *toucantransport.Response, now time.Time) {
	text := res.Header.Get("Retry-After")
	if text == "" || res.Status != http.StatusServiceUnavailable && res.Status != http.StatusTooManyRequests {
		return
	}
	pause, ok := parseRetryAfter(text)
	if !ok {
		f.invalidPause.Do(func() {
			f.Log.Warn("Retry-After of a target is not a number of seconds, further ones are not logged",
				zap.String("target", string(t.ID)), zap.String("value", text[:min(len(text), maxLoggedValue)]))
		})
		return
	}
	pausesRequested.Inc()
	t.Stats.RecordRequestedPause(now, pause)
}

// maxLoggedValue is how many bytes of an invalid header value are logged.
const maxLoggedValue = 40

// parseRetryAfter returns the time in a Retry-After header, in seconds that may have a
// fraction, at most maxRequestedPause, and whether it is valid.
func parseRetryAfter(text string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && !math.IsInf(seconds, 1) || math.IsNaN(seconds) || seconds < 0 {
		return 0, false
	}
	return time.Duration(min(seconds, maxRequestedPause.Seconds()) * float64(time.Second)), true
}

// departureMessages converts departures to messages for another host.
func departureMessages(departures []toucanbalancer.Departure) []*toucanpb.Departure {
	out := make([]*toucanpb.Departure, 0, len(departures))
	for _, d := range departures {
		out = append(out, &toucanpb.Departure{Target: string(d.Target), Start: d.StartMillis})
	}
	return out
}

// acceptDepartures records the departures that another host observed.
func (f *Forwarder) acceptDepartures(departures []*toucanpb.Departure) {
	now := time.Now()
	for _, d := range departures {
		f.Targets.MarkLeaving(toucanbalancer.Departure{Target: toucanreplica.ID(d.GetTarget()), StartMillis: d.GetStart()}, now)
	}
}
