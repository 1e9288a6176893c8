package toucanforward

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/toucanstair/toucangather"
	"toucanstair.example/toucanstair/toucanrecord"
	"toucanstair.example/toucanstair/toucantransport"
)

// hopByHopHeaders apply to a single connection and are not forwarded. Content-Length
// and Expect are among them because the host reads each body whole and sends it with a
// length of its own.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// forwardableHeader returns a copy of a caller's headers without hop-by-hop
// headers and without those that the system sets itself.
func (f *Forwarder) forwardableHeader(h http.Header) http.Header {
	out := h.Clone()
	removeHopByHop(out)
	out.Del(f.Headers.Deadline)
	out.Del(f.Headers.ExpectedTarget)
	return out
}

func removeHopByHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// respond writes the response, or an error that says whether the request may
// have run. On a route that does not fan out, the last signed error response of a
// target is passed through, unless it would promise what may not be true.
func (d *dispatch) respond(w http.ResponseWriter) {
	log := d.log
	log.missing = d.tracker.Shards - d.tracker.Received()
	failure, withheld := d.passableFailure()
	switch {
	case d.callerGone:
		log.status, log.reason = statusCallerGone, "the caller has left"
	case d.decision == toucangather.Respond && d.route.FansOut():
		d.mergeRecords(w)
	case d.decision == toucangather.Respond:
		d.passThrough(w, d.legs[0].response, d.legs[0].respondent)
	case !d.mayHaveRun():
		retryAfter, reason := d.refusalReason()
		d.f.refuse(w, log, retryAfter, reason)
	case failure != nil:
		d.passThrough(w, failure, d.legs[0].failedAt)
	case d.expired || !time.Now().Before(d.deadline):
		d.f.fail(w, log, http.StatusGatewayTimeout, "no complete response in time")
	case withheld:
		withheldPromises.Inc()
		d.f.fail(w, log, http.StatusBadGateway, "a target failed with a status that would promise that the request has not run")
	default:
		d.f.fail(w, log, http.StatusBadGateway, "too few targets answered")
	}
}

// withheldPromises counts failures of targets that were not passed on for their status.
var withheldPromises = metrics.NewCounter("toucan_forward_withheld_promises_total")

// promisesNotRun reports whether callers take a status for the promise that their request
// has not run and will not.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// passableFailure returns the last signed failure of a target, or nil if the caller may
// not get one. withheld says that its status is the reason: a request that may run once at
// most would be sent again after a promise that it has not run.
func (d *dispatch) passableFailure() (failure *toucantransport.Response, withheld bool) {
	res := d.legs[0].lastFailure
	switch {
	case d.route.FansOut() || res == nil || res.Header.Get(d.f.Headers.Signature) == "" || res.Status < 300:
		return nil, false
	case !d.route.Idempotent && promisesNotRun(res.Status):
		return nil, true
	}
	return res, false
}

// mayHaveRun reports whether a target may have run the request.
func (d *dispatch) mayHaveRun() bool {
	for i := range d.legs {
		l := &d.legs[i]
		if l.inFlight > 0 || l.outcomeUnknown || l.lastFailure != nil || l.done {
			return true
		}
	}
	return false
}

// servableIn returns the time until so many abandoned legs have a target again that the
// request can be served, and false if that is not known.
func (d *dispatch) servableIn(now time.Time) (time.Duration, bool) {
	var waits []time.Duration
	for i := range d.legs {
		if at := d.legs[i].availableAt; !at.IsZero() {
			waits = append(waits, at.Sub(now))
		}
	}
	needed := d.tracker.MinShards() - d.tracker.Remaining()
	if needed < 1 || needed > len(waits) {
		return 0, false
	}
	slices.Sort(waits)
	return waits[needed-1], true
}

// refusalReason returns when the caller may retry, and why nothing ran.
func (d *dispatch) refusalReason() (time.Duration, string) {
	if wait, ok := d.servableIn(time.Now()); ok {
		return max(wait, retryAfterOverload), "too many targets are paused"
	}
	for i := range d.legs {
		l := &d.legs[i]
		if l.abandoned && l.reachedTarget {
			return retryAfterOverload, "the targets of " + string(l.service) + " refused the request"
		}
	}
	for i := range d.legs {
		l := &d.legs[i]
		switch {
		case !l.abandoned:
		case l.noTarget && d.route.FansOut():
			return retryAfterUnlisted, "no target is known of " + string(l.service) + " and too many other shards"
		default:
			return retryAfterUnreachable, "no target of " + string(l.service) + " can be reached"
		}
	}
	return retryAfterUnreachable, "no target can be reached"
}

// passThrough writes a target's response unchanged, without hop-by-hop headers.
func (d *dispatch) passThrough(w http.ResponseWriter, res *toucantransport.Response, target toucanreplica.ID) {
	d.log.status = res.Status
	d.log.answer = &answer{target: target, exchange: res.Exchange}
	removeHopByHop(res.Header)
	h := w.Header()
	if _, ok := res.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	for name, values := range res.Header {
		h[name] = values
	}
	d.writeResponse(w, res.Status, res.Body)
}

// mergeRecords writes the greatest records of the shards that responded.
func (d *dispatch) mergeRecords(w http.ResponseWriter) {
	d.log.status = http.StatusOK
	top := toucanrecord.TopK{Limit: d.route.MaxRecords}
	signatures := make([]string, 0, len(d.legs))
	for i := range d.legs {
		if res := d.legs[i].response; res != nil && d.legs[i].done {
			signatures = append(signatures, res.Header.Get(d.f.Headers.Signature))
			top.Add(res.Body)
		} else {
			d.log.addNote("without " + d.legs[i].describe())
		}
	}
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set(d.f.Headers.RequestID, d.log.id)
	h.Set(d.f.Headers.PartSignatures, strings.Join(signatures, ", "))
	h.Set(d.f.Headers.MissingShards, strconv.Itoa(len(d.legs)-len(signatures)))
	d.writeResponse(w, http.StatusOK, top.Bytes())
}

func (d *dispatch) writeResponse(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		d.log.addNote("the response could not be written: " + err.Error())
	}
}
