// Package toucantrace sends the spans of a host to a collector or to standard
// output.
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

// traceFlush bounds the sending of the last spans on shutdown.
const traceFlush = 2 * time.Second

// Exporters are the values of Tracing.Kind.
var Exporters = []string{"none", "stdout", "otlp"}

// Tracing says where spans go and which host they are of.
type Tracing struct {
	Exporter string // one of Kinds; "" is none
	Host     string
	Zone     string
}

// Start returns the tracer provider and the function that sends the last
// spans. The OTLP exporter takes its endpoint from the standard variables
// OTEL_EXPORTER_OTLP_*, and the sampler from OTEL_TRACES_SAMPLER.
func (s Tracing) Start(ctx context.Context, out io.Writer) (trace.TracerProvider, func() error, error) {
	var exporter sdktrace.SpanExporter
	var err error
	switch s.Exporter {
	case "stdout":
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(out))
	case "otlp":
		exporter, err = otlptracegrpc.New(ctx)
	default:
		return noop.NewTracerProvider(), func() error { return nil }, nil
	}
	if err != nil {
		return nil, nil, eris.Wrap(err, "starting the trace exporter "+s.Exporter)
	}
	p := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter), sdktrace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "toucanstair"),
		attribute.String("service.instance.id", s.Host),
		attribute.String("cloud.availability_zone", s.Zone),
	)))
	// The gRPC and HTTP instrumentation takes the provider from here.
	otel.SetTracerProvider(p)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return p, func() error {
		flush, cancel := context.WithTimeout(context.WithoutCancel(ctx), traceFlush)
		defer cancel()
		return p.Shutdown(flush)
	}, nil
}
