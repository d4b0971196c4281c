package tracing

import (
	"context"

	"github.com/joomcode/errorx"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"go.opentelemetry.io/otel/attribute"
)

// Names of the spans, one for each hop.
const (
	SpanEntry   = "entry"
	SpanWait    = "entry.wait"
	SpanClaim   = "agent.claim"
	SpanAgent   = "agent.run"
	SpanBackend = "backend"
)

var propagator = propagation.TraceContext{}

// Inject writes the trace context of ctx into a header.
func Inject(ctx context.Context, header propagation.TextMapCarrier) {
	propagator.Inject(ctx, header)
}

// Extract reads a trace context from a header into ctx.
func Extract(ctx context.Context, header propagation.TextMapCarrier) context.Context {
	return propagator.Extract(ctx, header)
}

// Noop returns a tracer that records nothing.
func Noop() trace.Tracer { return noop.NewTracerProvider().Tracer("runworks") }

// Provider exports spans to an OTLP endpoint.
type Provider struct {
	provider *sdk.TracerProvider
}

// NewProvider returns a provider that exports to endpoint, an OTLP/HTTP URL. Sampled is the
// fraction of new traces that is sampled, from 0 to 1; a trace that a caller started keeps the
// caller's decision.
func NewProvider(ctx context.Context, endpoint, process string, sampled float64) (*Provider, error) {
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	if err != nil {
		return nil, errorx.Decorate(err, "build the trace exporter")
	}
	sampler := sdk.ParentBased(sdk.TraceIDRatioBased(sampled))
	named := resource.NewSchemaless(attribute.String("service.name", process))
	return &Provider{provider: sdk.NewTracerProvider(sdk.WithBatcher(exporter), sdk.WithSampler(sampler), sdk.WithResource(named))}, nil
}

// Tracer returns the tracer for the spans of a process.
func (p *Provider) Tracer() trace.Tracer { return p.provider.Tracer("runworks") }

// Shutdown exports the remaining spans.
func (p *Provider) Shutdown(ctx context.Context) error { return p.provider.Shutdown(ctx) }

// End ends a span; if err is not nil, it sets the span's status to it.
func End(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}
