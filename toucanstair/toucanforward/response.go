package toucanforward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"toucanstair.example/toucanstair/toucangather"
	"toucanstair.example/toucanstair/toucanrecord"
	"toucanstair.example/toucanstair/toucantransport"
)

// single are the headers that concern only one connection.
var single = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// forwardable returns a caller's headers without those of one connection and
// those that the system sets.
func (f *Forwarder) forwardable(h http.Header) http.Header {
	out := h.Clone()
	dropSingle(out)
	out.Del(f.Headers.Deadline)
	out.Del(f.Headers.ExpectedTarget)
	return out
}

func dropSingle(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range single {
		h.Del(name)
	}
}

// respond gives the caller the response, or a failure that says whether the
// request may have run.
func (g *flight) respond(w http.ResponseWriter) {
	e := g.entry
	e.missing = g.plan.Shards - g.plan.Received()
	switch {
	case g.gone:
		e.status, e.why = 499, "the caller has left"
	case g.verdict == toucangather.Respond && g.route.FansOut():
		g.merge(w)
	case g.verdict == toucangather.Respond:
		g.pass(w, g.legs[0].res)
	case !g.ran():
		pause, why := g.refusal()
		g.f.refuse(w, e, pause, why)
	case !g.route.FansOut() && g.legs[0].failure != nil && g.legs[0].failure.Header.Get(g.f.Headers.Signature) != "" && g.legs[0].failure.Status >= 300:
		g.pass(w, g.legs[0].failure)
	case !time.Now().Before(g.limit):
		g.f.fail(w, e, http.StatusGatewayTimeout, "no complete response in time")
	default:
		g.f.fail(w, e, http.StatusBadGateway, "too few targets answered")
	}
}

// ran reports whether a target may have run the request.
func (g *flight) ran() bool {
	for i := range g.legs {
		l := &g.legs[i]
		if l.live > 0 || l.unknown || l.failure != nil || l.done {
			return true
		}
	}
	return false
}

// refusal says why nothing ran and when the caller may return.
func (g *flight) refusal() (time.Duration, string) {
	for i := range g.legs {
		l := &g.legs[i]
		if l.lost && l.arrived {
			return pauseFull, "the targets of " + string(l.service) + " refused the request"
		}
	}
	for i := range g.legs {
		l := &g.legs[i]
		switch {
		case !l.lost:
		case l.unserved && g.route.FansOut():
			return pauseUnlisted, "no target is known of " + string(l.service) + " and too many other shards"
		default:
			return pauseNone, "no target of " + string(l.service) + " can be reached"
		}
	}
	return pauseNone, "no target can be reached"
}

// pass gives a target's response as it is.
func (g *flight) pass(w http.ResponseWriter, res *toucantransport.Response) {
	g.entry.status = res.Status
	dropSingle(res.Header)
	h := w.Header()
	if _, ok := res.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	for name, values := range res.Header {
		h[name] = values
	}
	g.write(w, res.Status, res.Body)
}

// merge gives the greatest records of the parts that are in.
func (g *flight) merge(w http.ResponseWriter) {
	g.entry.status = http.StatusOK
	top := toucanrecord.TopK{Limit: g.route.MaxRecords}
	stamps := make([]string, 0, len(g.legs))
	for i := range g.legs {
		if res := g.legs[i].res; res != nil && g.legs[i].done {
			stamps = append(stamps, res.Header.Get(g.f.Headers.Signature))
			top.Add(res.Body)
		} else {
			g.entry.note("without " + g.legs[i].state())
		}
	}
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set(g.f.Headers.RequestID, g.entry.id)
	h.Set(g.f.Headers.PartSignatures, strings.Join(stamps, ", "))
	h.Set(g.f.Headers.MissingShards, strconv.Itoa(len(g.legs)-len(stamps)))
	g.write(w, http.StatusOK, top.Bytes())
}

func (g *flight) write(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		g.entry.note("the response could not be written: " + err.Error())
	}
}
