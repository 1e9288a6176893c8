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

// noopSpan is used for hops that are not recorded.
var noopSpan = trace.SpanFromContext(context.Background())

// startServerSpan starts the span of a received request, as a child of the
// sender's span in the carrier.
func startServerSpan(ctx context.Context, from propagation.TextMapCarrier, name string) (context.Context, trace.Span) {
	ctx = propagation.TraceContext{}.Extract(ctx, from)
	return otel.Tracer("toucanforward").Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
}

// startClientSpan starts the span of a hop if the request's span is recorded.
func startClientSpan(ctx context.Context, name string) (context.Context, trace.Span) {
	if !trace.SpanFromContext(ctx).IsRecording() {
		return ctx, noopSpan
	}
	return otel.Tracer("toucanforward").Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient))
}

// endClientSpan ends the span of a hop with its error, if any, and attributes.
func endClientSpan(s trace.Span, err error, attributes ...attribute.KeyValue) {
	if !s.IsRecording() {
		return
	}
	s.SetAttributes(attributes...)
	if err != nil {
		s.SetStatus(codes.Error, err.Error())
	}
	s.End()
}

// incomingTraceContext returns the trace context that the delegating host sent
// in the metadata of its call.
func incomingTraceContext(ctx context.Context) propagation.TextMapCarrier {
	out := propagation.MapCarrier{}
	if v := metadata.ValueFromIncomingContext(ctx, toucangateway.TraceparentKey); len(v) > 0 {
		out[toucangateway.TraceparentKey] = v[0]
	}
	return out
}

// endRequestSpan ends the span of a request with the fields of its log line.
func endRequestSpan(s trace.Span, log *requestLog) {
	if s.IsRecording() {
		s.SetAttributes(
			attribute.String("toucan.request", log.id), attribute.String("toucan.route", log.route),
			attribute.Int("http.response.status_code", log.status), attribute.Int("toucan.missing", log.missing))
		if log.status >= 500 {
			s.SetStatus(codes.Error, log.reason)
		}
	}
	s.End()
}
