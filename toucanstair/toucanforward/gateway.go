package toucanforward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"toucanstair.example/core/toucanpb"
	"toucanstair.example/toucanstair/toucangateway"
	"toucanstair.example/toucanstair/toucanplacement"
	"toucanstair.example/toucanstair/toucanrules"
	"toucanstair.example/toucanstair/toucantransport"
)

// handTime is the time on the way to another host of the zone and back.
const handTime = 2 * time.Millisecond

// gatherer hands a request to the host at an address.
type gatherer interface {
	Gather(ctx context.Context, address string, r *toucanpb.GatherRequest) (*toucanpb.GatherReply, error)
}

// Delegation says how requests over many shards are handed to stronger hosts.
type Delegation struct {
	Placer *toucanplacement.Placer
	Client gatherer
}

// hand lets a stronger host gather a request. It reports false when this host
// has to gather it itself; nothing was sent then.
func (f *Forwarder) hand(ctx context.Context, w http.ResponseWriter, g *flight, body []byte, r *http.Request) bool {
	if f.Delegation == nil || !g.route.FansOut() {
		return false
	}
	now := time.Now()
	peer, ok := f.Delegation.Placer.Begin(now)
	if !ok {
		return false
	}
	ctx, cancel := context.WithDeadline(ctx, g.limit)
	defer cancel()
	ctx, span := startChild(ctx, "gather")
	reply, err := f.Delegation.Client.Gather(ctx, peer.Address, &toucanpb.GatherRequest{
		Id: g.entry.id, Method: r.Method, Uri: r.RequestURI, Host: r.Host, Fields: fields(f.forwardable(r.Header)),
		Body: body, Rules: g.entry.version, Route: g.route.Name,
		Due: int64(g.plan.SoftDeadline.Sub(now) - handTime), Limit: int64(g.limit.Sub(now)),
	})
	endChild(span, err, attribute.String("toucan.host", string(peer.ID)))
	left := r.Context().Err() != nil
	connecting := errors.Is(err, toucangateway.ErrConnecting)
	f.Delegation.Placer.End(peer.ID, err == nil || left || connecting, time.Now())
	e := g.entry
	switch {
	case left:
		e.status, e.why = 499, "the caller has left"
		return true
	case connecting || errors.Is(err, toucangateway.ErrNotTaken):
		e.note("not gathered by " + string(peer.ID) + ": " + err.Error())
		return false
	case err != nil && ctx.Err() != nil:
		f.fail(w, e, http.StatusGatewayTimeout, "no complete response in time from "+string(peer.ID))
		return true
	case err != nil:
		f.fail(w, e, http.StatusBadGateway, "host "+string(peer.ID)+" failed: "+err.Error())
		return true
	}
	e.status, e.why, e.missing = int(reply.GetStatus()), reply.GetWhy(), int(reply.GetMissing())
	e.note("gathered by " + string(peer.ID))
	for _, h := range reply.GetFields() {
		w.Header()[h.GetName()] = h.GetValues()
	}
	g.write(w, e.status, reply.GetBody())
	return true
}

// Gateway gathers requests for other hosts.
type Gateway struct {
	toucanpb.UnimplementedGatewayServer
	Forwarder *Forwarder
	RulesAt   func(version uint64) *toucanrules.Rules
}

// Gather takes a request unless this host is stopping, is full, or has not
// the rules that the caller's host has. It sends nothing before the caller's host
// has confirmed, since that gathers the request itself after a short time.
func (s *Gateway) Gather(stream grpc.BidiStreamingServer[toucanpb.GatherRequest, toucanpb.GatherReply]) error {
	f := s.Forwarder
	r, err := stream.Recv()
	if err != nil {
		return err
	}
	var route *toucanrules.Route
	if rules := s.RulesAt(r.GetRules()); rules != nil {
		route = rules.RouteByName(r.GetRoute())
	}
	defer f.flights.Add(-1)
	full := f.flights.Add(1) > maxFlights
	if route == nil || full || f.Draining != nil && f.Draining() {
		f.Log.Info("request of another host not taken", zap.String("request", r.GetId()),
			zap.Uint64("version", r.GetRules()), zap.Bool("known", route != nil), zap.Bool("full", full))
		return stream.Send(&toucanpb.GatherReply{})
	}
	began := time.Now()
	if err := stream.Send(&toucanpb.GatherReply{Taken: true}); err != nil {
		return err
	}
	if second, err := stream.Recv(); err != nil || !second.GetGo() {
		f.Log.Info("request of another host not confirmed", zap.String("request", r.GetId()), zap.Error(err))
		return err
	}
	e := &entry{id: r.GetId(), began: began, version: r.GetRules(), route: route.Name, handed: true}
	defer f.report(e)
	ctx, span := startSpan(stream.Context(), incoming(stream.Context()), "request of another host")
	defer func() { endSpan(span, e) }()
	header := make(http.Header, len(r.GetFields()))
	for _, h := range r.GetFields() {
		header[h.GetName()] = h.GetValues()
	}
	m := toucantransport.NewMessage(r.GetId(), r.GetMethod(), r.GetUri(), r.GetHost(), header, r.GetBody())
	g := f.flight(m, route, e, began.Add(time.Duration(r.GetLimit())))
	g.plan.SoftDeadline = began.Add(time.Duration(r.GetDue()))
	g.run(ctx)
	var w reply
	g.respond(&w)
	return stream.Send(&toucanpb.GatherReply{
		Status: int32(w.status), Fields: fields(w.header), Body: w.body, Why: e.why, Missing: int32(e.missing),
	})
}

// reply is a response that is kept in memory.
type reply struct {
	header http.Header
	status int
	body   []byte
}

func (r *reply) Header() http.Header {
	if r.header == nil {
		r.header = make(http.Header)
	}
	return r.header
}

func (r *reply) WriteHeader(status int) { r.status = status }

func (r *reply) Write(b []byte) (int, error) {
	r.body = append(r.body, b...)
	return len(b), nil
}

func fields(h http.Header) []*toucanpb.Field {
	out := make([]*toucanpb.Field, 0, len(h))
	for name, values := range h {
		out = append(out, &toucanpb.Field{Name: name, Values: values})
	}
	return out
}
