// Package tracing records OpenTelemetry traces with a span for each hop of a request.
//
// # Usage
//
//	tracer, err := tracing.New(ctx, tracing.Options{Exporter: tracing.ExporterStdout, Daemon: "daemon-1"})
//	defer tracer.Shutdown(ctx)
//	ctx, span := tracer.Start(tracing.Extract(ctx, traceparent), "accept")
//	defer span.End()
package tracing

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// HeaderTraceparent is the W3C header that carries the trace context.
const HeaderTraceparent = "traceparent"

// batchTimeout is the longest time that a finished span waits for its export.
const batchTimeout = 500 * time.Millisecond

// Exporter selects where finished spans are exported.
type Exporter string

// The exporters.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout"
	ExporterOTLP   Exporter = "otlp"
)

// Options configure a Tracer.
type Options struct {
	Exporter Exporter
	// Endpoint is the URL of the OpenTelemetry collector, for ExporterOTLP.
	Endpoint string
	// SampleRatio is the ratio of recorded traces, from 0 to 1, among the traces that start in this
	// daemon. A trace that started elsewhere is recorded if its parent span is.
	SampleRatio float64
	// Daemon is the service.instance.id of the spans.
	Daemon string
	// Output is the destination of ExporterStdout.
	Output io.Writer
}

// Tracer creates spans.
type Tracer struct {
	tracer   trace.Tracer
	shutdown func(context.Context) error
}

// New returns a tracer. With ExporterNone its spans are not recorded.
func New(ctx context.Context, options Options) (*Tracer, error) {
	exporter, err := newExporter(ctx, options)
	if err != nil {
		return nil, err
	}
	if exporter == nil {
		return &Tracer{
			tracer:   noop.NewTracerProvider().Tracer("azurehitch"),
			shutdown: func(context.Context) error { return nil },
		}, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter, sdktrace.WithBatchTimeout(batchTimeout)),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(options.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "azurehitch"),
			attribute.String("service.instance.id", options.Daemon),
		)),
	)
	return &Tracer{tracer: provider.Tracer("azurehitch"), shutdown: provider.Shutdown}, nil
}

// newExporter returns the exporter that the options select. It returns nil without an error for
// ExporterNone and unknown values.
func newExporter(ctx context.Context, options Options) (sdktrace.SpanExporter, error) {
	switch options.Exporter {
	case ExporterStdout:
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(options.Output))
		return exporter, errors.Wrap(err, "stdout exporter")
	case ExporterOTLP:
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(options.Endpoint))
		return exporter, errors.Wrap(err, "OTLP exporter")
	}
	return nil, nil
}

// Start starts a span, as a child of the span in ctx if there is one.
func (t *Tracer) Start(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, trace.WithAttributes(attributes...))
}

// Shutdown exports the remaining spans.
func (t *Tracer) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }

// Extract returns a context with the trace context of a traceparent header value.
func Extract(ctx context.Context, traceparent string) context.Context {
	carrier := propagation.MapCarrier{HeaderTraceparent: traceparent}
	return propagation.TraceContext{}.Extract(ctx, carrier)
}

// Traceparent returns the traceparent header value that propagates the trace context of ctx; it is
// empty if ctx has none.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[HeaderTraceparent]
}
