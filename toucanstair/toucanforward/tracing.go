package toucanforward

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc/metadata"

	"toucanstair.example/toucanstair/toucangateway"
)

// unrecorded is the span of a hop that nobody records.
var unrecorded = trace.SpanFromContext(context.Background())

// startSpan starts the span of a request whose sender's span is in the carrier.
func startSpan(ctx context.Context, from propagation.TextMapCarrier, name string) (context.Context, trace.Span) {
	ctx = propagation.TraceContext{}.Extract(ctx, from)
	return otel.Tracer("toucanforward").Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
}

// startChild starts the span of a hop of a request, if that is recorded.
func startChild(ctx context.Context, name string) (context.Context, trace.Span) {
	if !trace.SpanFromContext(ctx).IsRecording() {
		return ctx, unrecorded
	}
	return otel.Tracer("toucanforward").Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient))
}

// endChild ends the span of a hop.
func endChild(s trace.Span, err error, attributes ...attribute.KeyValue) {
	if !s.IsRecording() {
		return
	}
	s.SetAttributes(attributes...)
	if err != nil {
		s.SetStatus(codes.Error, err.Error())
	}
	s.End()
}

// incoming carries the span of the host that sent a message.
func incoming(ctx context.Context) propagation.TextMapCarrier {
	out := propagation.MapCarrier{}
	if v := metadata.ValueFromIncomingContext(ctx, toucangateway.TraceKey); len(v) > 0 {
		out[toucangateway.TraceKey] = v[0]
	}
	return out
}

// endSpan ends the span of a whole request.
func endSpan(s trace.Span, e *entry) {
	if s.IsRecording() {
		s.SetAttributes(
			attribute.String("toucan.request", e.id), attribute.String("toucan.route", e.route),
			attribute.Int("http.response.status_code", e.status), attribute.Int("toucan.missing", e.missing))
		if e.status >= 500 {
			s.SetStatus(codes.Error, e.why)
		}
	}
	s.End()
}
