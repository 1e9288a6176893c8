package toucanforward

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanstatus"
	"toucanstair.example/toucanstair/toucangateway"
	"toucanstair.example/toucanstair/toucanplacement"
	"toucanstair.example/toucanstair/toucanrules"
	"toucanstair.example/toucanstair/toucantransport"
)

// peerRoundTrip is the assumed round-trip time to another host of the zone.
const peerRoundTrip = 2 * time.Millisecond

// gatewayClient asks the host at an address to gather a request.
type gatewayClient interface {
	Gather(ctx context.Context, address string, r *toucanpb.GatherRequest) (*toucanpb.GatherReply, error)
}

// Delegation selects and calls the stronger hosts that gather requests over
// many shards for this one.
type Delegation struct {
	Placer *toucanplacement.Placer
	Client gatewayClient
}

// delegate lets a stronger host gather a request. It returns false when this
// host has to gather it itself; nothing was sent to a target then.
func (f *Forwarder) delegate(ctx context.Context, w http.ResponseWriter, d *dispatch, body []byte, r *http.Request) bool {
	if f.Delegation == nil || !d.route.FansOut() {
		return false
	}
	now := time.Now()
	peer, ok := f.Delegation.Placer.Begin(now)
	if !ok {
		return false
	}
	ctx, cancel := context.WithDeadline(ctx, d.deadline)
	defer cancel()
	ctx, span := startClientSpan(ctx, "gather")
	reply, err := f.Delegation.Client.Gather(ctx, peer.Address, &toucanpb.GatherRequest{
		Id: d.log.id, Method: r.Method, Uri: r.RequestURI, Host: r.Host, Fields: headerFields(f.forwardableHeader(r.Header)),
		Body: body, Rules: d.log.rulesVersion, Route: d.route.Name,
		Due: int64(d.softDeadlineOrEnd().Sub(now) - peerRoundTrip), Limit: int64(d.deadline.Sub(now)),
	})
	endClientSpan(span, err, attribute.String("toucan.host", string(peer.ID)))
	callerGone := r.Context().Err() != nil
	connecting := errors.Is(err, toucangateway.ErrNotConnected)
	// A connection that is still being opened says nothing about the host.
	f.Delegation.Placer.End(peer.ID, err == nil || callerGone || connecting, time.Now())
	f.acceptDepartures(reply.GetDepartures())
	log := d.log
	switch {
	case callerGone:
		log.status, log.reason = statusCallerGone, "the caller has left"
		return true
	case connecting || errors.Is(err, toucangateway.ErrNotAccepted):
		log.addNote("not gathered by " + string(peer.ID) + ": " + err.Error())
		return false
	case err == nil && reply.GetStatus() == 0:
		// A host of an earlier version replies so when its call has reached the deadline.
		f.fail(w, log, http.StatusGatewayTimeout, "no complete response in time from "+string(peer.ID))
		return true
	case err != nil && ctx.Err() != nil:
		f.fail(w, log, http.StatusGatewayTimeout, "no complete response in time from "+string(peer.ID))
		return true
	case err != nil:
		f.fail(w, log, http.StatusBadGateway, "host "+string(peer.ID)+" failed: "+err.Error())
		return true
	}
	if err := toucanstatus.Code(reply.GetStatus()).CheckFinal(); err != nil {
		f.fail(w, log, http.StatusBadGateway, "host "+string(peer.ID)+" failed: "+err.Error())
		return true
	}
	log.status, log.reason, log.missing = int(reply.GetStatus()), reply.GetWhy(), int(reply.GetMissing())
	log.addNote("gathered by " + string(peer.ID))
	for _, h := range reply.GetFields() {
		w.Header()[h.GetName()] = h.GetValues()
	}
	d.writeResponse(w, log.status, reply.GetBody())
	return true
}

// softDeadlineOrEnd returns when a response with missing shards is sent.
func (d *dispatch) softDeadlineOrEnd() time.Time {
	if d.tracker.SoftDeadline.IsZero() {
		return d.deadline
	}
	return d.tracker.SoftDeadline
}

// Gateway is the gRPC server that gathers requests for other hosts.
type Gateway struct {
	toucanpb.UnimplementedGatewayServer
	Forwarder *Forwarder
	RulesAt   func(version uint64) *toucanrules.Rules
}

// Gather accepts a request unless this host is stopping, is full or lacks the
// version of the rules that the delegating host uses. It sends nothing to targets
// before the delegating host has confirmed, since that host gathers the request
// itself when the acceptance is late.
func (g *Gateway) Gather(stream grpc.BidiStreamingServer[toucanpb.GatherRequest, toucanpb.GatherReply]) error {
	f := g.Forwarder
	request, err := stream.Recv()
	if err != nil {
		return err
	}
	var route *toucanrules.Route
	if rules := g.RulesAt(request.GetRules()); rules != nil {
		route = rules.RouteByName(request.GetRoute())
	}
	defer f.inFlight.Add(-1)
	full := f.inFlight.Add(1) > maxInFlight
	if route == nil || full || f.Draining != nil && f.Draining() {
		f.Log.Info("request of another host not taken", zap.String("request", request.GetId()),
			zap.Uint64("version", request.GetRules()), zap.Bool("known", route != nil), zap.Bool("full", full))
		return stream.Send(&toucanpb.GatherReply{})
	}
	start := time.Now()
	if err := stream.Send(&toucanpb.GatherReply{Taken: true}); err != nil {
		return err
	}
	if confirmation, err := stream.Recv(); err != nil || !confirmation.GetGo() {
		f.Log.Info("request of another host not confirmed", zap.String("request", request.GetId()), zap.Error(err))
		return err
	}
	log := &requestLog{id: request.GetId(), start: start, rulesVersion: request.GetRules(), route: route.Name, delegated: true}
	defer f.logRequest(log)
	ctx, span := startServerSpan(stream.Context(), incomingTraceContext(stream.Context()), "request of another host")
	defer func() { endRequestSpan(span, log) }()
	header := make(http.Header, len(request.GetFields()))
	for _, h := range request.GetFields() {
		header[h.GetName()] = h.GetValues()
	}
	message := toucantransport.NewMessage(request.GetId(), request.GetMethod(), request.GetUri(), request.GetHost(), header, request.GetBody())
	d := f.newDispatch(message, route, log, start.Add(time.Duration(request.GetLimit())))
	defer d.release()
	d.tracker.SoftDeadline = start.Add(time.Duration(request.GetDue()))
	_, known := f.Targets.DeparturesSince(math.MaxUint64)
	d.run(ctx)
	var w responseBuffer
	d.respond(&w)
	departures, _ := f.Targets.DeparturesSince(known)
	return stream.Send(&toucanpb.GatherReply{
		Status: int32(w.status), Fields: headerFields(w.header), Body: w.body, Why: log.reason, Missing: int32(log.missing),
		Departures: departureMessages(departures),
	})
}

// responseBuffer is an http.ResponseWriter that keeps the response in memory.
type responseBuffer struct {
	header http.Header
	status int
	body   []byte
}

func (r *responseBuffer) Header() http.Header {
	if r.header == nil {
		r.header = make(http.Header)
	}
	return r.header
}

func (r *responseBuffer) WriteHeader(status int) { r.status = status }

func (r *responseBuffer) Write(b []byte) (int, error) {
	r.body = append(r.body, b...)
	return len(b), nil
}

func headerFields(h http.Header) []*toucanpb.Field {
	out := make([]*toucanpb.Field, 0, len(h))
	for name, values := range h {
		out = append(out, &toucanpb.Field{Name: name, Values: values})
	}
	return out
}
