package toucanforward

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/toucanstair/toucantransport"
)

// requestLog collects the fields of one request's log line.
type requestLog struct {
	id            string
	start         time.Time
	networkTime   time.Duration // round trips between caller and host, connection setup included
	rulesVersion  uint64
	route         string
	status        int
	reason        string
	attempts      int // of all legs, including those that did not reach a target
	hedges        int
	extraAttempts int      // retries and hedges that took a retry token
	requested     int      // legs
	missing       int      // legs without a response
	delegated     bool     // received from another host, which answers the caller
	trail         []string // notes on failures, hedges and delegation
	answer        *answer  // the response that was passed through, nil if there was none
}

// answer tells which response of a target the caller got. Two lines with the same
// signature show a response that was taken for that of another request.
type answer struct {
	target   toucanreplica.ID
	exchange toucantransport.Exchange
}

// MarshalLogObject adds the fields of an answer to a log line.
func (a *answer) MarshalLogObject(e zapcore.ObjectEncoder) error {
	if a == nil {
		return nil
	}
	e.AddString("target", string(a.target))
	e.AddString("connection", a.exchange.Connection)
	e.AddInt("exchange", a.exchange.Number)
	e.AddBool("echoed", a.exchange.Echoed)
	e.AddString("signature", a.exchange.Signature)
	return nil
}

var gatheredForOthers = metrics.NewCounter("toucan_forward_gathered_for_others_total")

// maxTrailNotes limits the notes that are logged for one request.
const maxTrailNotes = 24

// addNote adds text to the trail, prefixed with the milliseconds since the start
// of the request. Notes beyond maxTrailNotes are dropped.
func (l *requestLog) addNote(text string) {
	if len(l.trail) < maxTrailNotes {
		l.trail = append(l.trail, strconv.FormatInt(time.Since(l.start).Milliseconds(), 10)+"ms "+text)
	}
}

// logRequest updates the metrics of a finished request and writes its log line.
func (f *Forwarder) logRequest(l *requestLog) {
	took := time.Since(l.start)
	status := strconv.Itoa(l.status)
	if l.delegated {
		gatheredForOthers.Inc()
	}
	metrics.GetOrCreateCounter(`toucan_forward_responses_total{status="` + status + `"}`).Inc()
	metrics.GetOrCreateHistogram(`toucan_forward_seconds{status="` + status + `"}`).Update(took.Seconds())
	message := "request"
	if l.delegated {
		message = "request of another host"
	}
	f.Log.Info(message,
		zap.String("request", l.id), zap.String("route", l.route), zap.Uint64("version", l.rulesVersion), zap.Duration("way", l.networkTime),
		zap.Int("status", l.status), zap.String("why", l.reason), zap.Duration("took", took),
		zap.Int("asked", l.requested), zap.Int("missing", l.missing),
		zap.Int("sends", l.attempts), zap.Int("hedges", l.hedges), zap.Int("repeats", l.extraAttempts),
		zap.Strings("trail", l.trail), zap.Object("answer", l.answer))
}
