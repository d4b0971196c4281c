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

// The names of the spans, one for each hop.
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

// Noop is a tracer that records nothing.
func Noop() trace.Tracer { return noop.NewTracerProvider().Tracer("runworks") }

// Provider sends spans to an OTLP endpoint, a URL; Shutdown flushes them.
type Provider struct {
	provider *sdk.TracerProvider
}

// NewProvider builds a provider for the OTLP/HTTP endpoint; sampled is the
// share of new traces that is kept, from 0 to 1.
func NewProvider(ctx context.Context, endpoint, process string, sampled float64) (*Provider, error) {
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	if err != nil {
		return nil, errorx.Decorate(err, "build the trace exporter")
	}
	sampler := sdk.ParentBased(sdk.TraceIDRatioBased(sampled))
	named := resource.NewSchemaless(attribute.String("service.name", process))
	return &Provider{provider: sdk.NewTracerProvider(sdk.WithBatcher(exporter), sdk.WithSampler(sampler), sdk.WithResource(named))}, nil
}

// Tracer gives the tracer of the processes.
func (p *Provider) Tracer() trace.Tracer { return p.provider.Tracer("runworks") }

// Shutdown sends what is left.
func (p *Provider) Shutdown(ctx context.Context) error { return p.provider.Shutdown(ctx) }

// End ends a span and marks an error on it.
func End(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}
