// Package toucantrace sets up the export of a host's OpenTelemetry spans to a collector
// or to standard output.
package toucantrace

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// flushTimeout bounds the export of the remaining spans on shutdown.
const flushTimeout = 2 * time.Second

// Exporters are the values that Tracing.Exporter may have.
var Exporters = []string{"none", "stdout", "otlp"}

// Tracing selects the exporter and holds the attributes of the host.
type Tracing struct {
	Exporter string // one of Exporters; "" means none
	Host     string // host name
	Zone     string // availability zone
}

// Start registers the tracer provider globally and returns it with a function that
// exports the remaining spans and shuts it down. Without an exporter it registers nothing
// and returns a provider that records no spans. out is the output of the stdout exporter.
// The OTLP exporter reads its endpoint from the standard environment variables
// OTEL_EXPORTER_OTLP_*, and the sampler is read from OTEL_TRACES_SAMPLER.
func (t Tracing) Start(ctx context.Context, out io.Writer) (trace.TracerProvider, func() error, error) {
	var exporter sdktrace.SpanExporter
	var err error
	switch t.Exporter {
	case "stdout":
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(out))
	case "otlp":
		exporter, err = otlptracegrpc.New(ctx)
	default:
		return noop.NewTracerProvider(), func() error { return nil }, nil
	}
	if err != nil {
		return nil, nil, eris.Wrap(err, "starting the trace exporter "+t.Exporter)
	}
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter), sdktrace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "toucanstair"),
		attribute.String("service.instance.id", t.Host),
		attribute.String("cloud.availability_zone", t.Zone),
	)))
	// Other packages obtain their tracers with otel.Tracer.
	otel.SetTracerProvider(provider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return provider, func() error {
		flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
		defer cancel()
		return provider.Shutdown(flushCtx)
	}, nil
}
