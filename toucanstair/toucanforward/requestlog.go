package toucanforward

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// entry is the log line of one request.
type entry struct {
	id      string
	began   time.Time
	way     time.Duration // that the request spends between caller and host
	version uint64        // of the rules
	route   string
	status  int
	why     string
	sends   int
	hedges  int
	repeats int
	asked   int
	missing int
	handed  bool     // by another host, which answers the caller
	trail   []string // what happened at targets, other than plain success
}

var handed = metrics.NewCounter("toucan_forward_gathered_for_others_total")

// maxTrail bounds the notes of one request.
const maxTrail = 24

func (e *entry) note(text string) {
	if len(e.trail) < maxTrail {
		e.trail = append(e.trail, strconv.FormatInt(time.Since(e.began).Milliseconds(), 10)+"ms "+text)
	}
}

func (f *Forwarder) report(e *entry) {
	took := time.Since(e.began)
	status := strconv.Itoa(e.status)
	if e.handed {
		handed.Inc()
	}
	metrics.GetOrCreateCounter(`toucan_forward_responses_total{status="` + status + `"}`).Inc()
	metrics.GetOrCreateHistogram(`toucan_forward_seconds{status="` + status + `"}`).Update(took.Seconds())
	message := "request"
	if e.handed {
		message = "request of another host"
	}
	f.Log.Info(message,
		zap.String("request", e.id), zap.String("route", e.route), zap.Uint64("version", e.version), zap.Duration("way", e.way),
		zap.Int("status", e.status), zap.String("why", e.why), zap.Duration("took", took),
		zap.Int("asked", e.asked), zap.Int("missing", e.missing),
		zap.Int("sends", e.sends), zap.Int("hedges", e.hedges), zap.Int("repeats", e.repeats),
		zap.Strings("trail", e.trail))
}
