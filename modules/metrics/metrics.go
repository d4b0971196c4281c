package metrics

import (
	"context"
	"net/http"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Set holds the instruments of one process. To keep the cardinality bounded, labels are tiers,
// causes and outcomes, but never IDs, customers or addresses.
type Set struct {
	handler http.Handler
	meter   metric.Meter

	// Requests counts requests by tier and outcome.
	Requests metric.Int64Counter
	// Goodput counts requests completed within their time limit, by tier.
	Goodput metric.Int64Counter
	// Refused counts abandoned requests, by tier and cause.
	Refused metric.Int64Counter
	// WaitSeconds is the time from admission to the grant, in seconds, by tier.
	WaitSeconds metric.Float64Histogram
	// FirstByteSeconds is the time from admission to the head of the response, in seconds, by
	// tier.
	FirstByteSeconds metric.Float64Histogram
	// ForecastError is how far the first event of a call was from its forecast, in seconds, by tier.
	ForecastError metric.Float64Histogram
	// ModelsRejected counts implausible engine models that other entries sent.
	ModelsRejected metric.Int64Counter
	// Claims counts claims by result: granted, gone or lost.
	Claims metric.Int64Counter
	// ReservationsRefused counts reservations that an agent refused, by reason.
	ReservationsRefused metric.Int64Counter
	// Resumes counts response streams that were resumed at an offset.
	Resumes metric.Int64Counter
	// OrderErrors counts events of streams that do not follow the events before them.
	OrderErrors metric.Int64Counter
	// AddressesReused counts responses of servers that have the address of the one the call was sent to.
	AddressesReused metric.Int64Counter
	// CloseDelimitedEnds counts responses without length or chunks by how they ended: proven if the body shows its
	// end, or the rest was asked for and is empty, assumed if their service is completed at a close, and broken.
	CloseDelimitedEnds metric.Int64Counter
	// Retries counts requests that were placed again, by cause.
	Retries metric.Int64Counter
	// Dispatches counts calls sent to the backend server, by tier.
	Dispatches metric.Int64Counter
	// WastedTokens counts prompt tokens that were sent to an engine and then discarded.
	WastedTokens metric.Int64Counter
	// DroppedResponses counts responses that no caller waited for.
	DroppedResponses metric.Int64Counter
	// ControlBytes counts bytes on control connections, by direction.
	ControlBytes metric.Int64Counter
	// BadRecords counts records of the store that describe no usable backend server.
	BadRecords metric.Int64Counter
	// ServerExits counts calls whose backend server exited while it processed them, by rank.
	ServerExits metric.Int64Counter
	// CallersClosed counts connections of callers that are closed as too many are open, by result:
	// closed for idle ones, refused for new ones.
	CallersClosed metric.Int64Counter
	// Quarantined counts calls that were refused as their request is quarantined, by rank.
	Quarantined metric.Int64Counter
	// ServerReports counts server reports of draining or back-off, by kind.
	ServerReports metric.Int64Counter
	// StoreRestores counts how often the store was restored from an older copy.
	StoreRestores metric.Int64Counter
	// StoreTimeouts counts calls to the store that got no response, by whether their connection was
	// new or reused.
	StoreTimeouts metric.Int64Counter
	// Scheduled counts calls of services that one entry schedules, by result: granted, refused, or
	// local, which has a cause.
	Scheduled metric.Int64Counter
	// ScheduleSeconds is the time from a request for a slot to the scheduler's answer, in seconds,
	// for calls that did not wait there.
	ScheduleSeconds metric.Float64Histogram
	// ScheduleMessagesIgnored counts invalid messages to the scheduler, by cause.
	ScheduleMessagesIgnored metric.Int64Counter
	// ScheduleRefusals counts calls that the scheduler of a service refused, by rank, cause, and the basis
	// of the time at which their callers should return.
	ScheduleRefusals metric.Int64Counter
	// RetryAfterSeconds is the time that callers of calls which found no capacity were told to return
	// after, by rank and basis.
	RetryAfterSeconds metric.Float64Histogram
	// Rollouts counts the steps of roll-outs, by step, and RolloutCalls the calls that were sent to
	// versions before they were accepted.
	Rollouts     metric.Int64Counter
	RolloutCalls metric.Int64Counter
	// Keys counts claims of idempotency keys by verdict.
	Keys metric.Int64Counter
}

// New creates the instruments and registers them with a registry of their own.
func New() (*Set, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, errorx.Decorate(err, "build the metrics exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	b := builder{meter: provider.Meter("runworks")}
	s := &Set{
		meter:               b.meter,
		handler:             promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		Requests:            b.counter("runworks.requests", "requests by tier and outcome"),
		Goodput:             b.counter("runworks.goodput", "requests done inside their time limit, by tier"),
		Refused:             b.counter("runworks.refused", "requests given up on, by tier and cause"),
		WaitSeconds:         b.seconds("runworks.wait", "time from admission to the grant, by tier"),
		FirstByteSeconds:    b.seconds("runworks.first_byte", "time from admission to the answer's head, by tier"),
		ForecastError:       b.seconds("runworks.forecast_error", "how far a first event was from its forecast, by tier"),
		ModelsRejected:      b.counter("runworks.engine_models_rejected", "implausible engine models of other entries"),
		Claims:              b.counter("runworks.claims", "claims by result"),
		ReservationsRefused: b.counter("runworks.tickets_refused", "tickets an agent did not hold, by reason"),
		Resumes:             b.counter("runworks.resumes", "answer streams picked up again at an offset"),
		OrderErrors:         b.counter("runworks.order_errors", "events of streams that do not follow those before them"),
		AddressesReused:     b.counter("runworks.addresses_reused", "responses of servers that have the address of the one the call was sent to"),
		CloseDelimitedEnds:  b.counter("runworks.close_delimited_ends", "responses without length or chunks, by how they ended"),
		Retries:             b.counter("runworks.retries", "requests placed again, by cause"),
		Dispatches:          b.counter("runworks.dispatches", "calls sent to the backend server, by tier rank"),
		WastedTokens:        b.counter("runworks.wasted_prompt_tokens", "prompt tokens given to an engine and thrown away"),
		DroppedResponses:    b.counter("runworks.answers_dropped", "answers that nobody waited for"),
		ControlBytes:        b.counter("runworks.control_bytes", "bytes on control connections, by direction"),
		BadRecords:          b.counter("runworks.records_refused", "records on the store that name no backend server to use"),
		ServerExits:         b.counter("runworks.calls_ended_with_server", "calls whose backend server ended under them, by rank"),
		CallersClosed:       b.counter("runworks.callers_closed", "callers' connections closed as too many are open, by result"),
		Quarantined:         b.counter("runworks.quarantined", "calls refused as their request ended backend servers, by rank"),
		ServerReports:       b.counter("runworks.server_words", "backend servers' words that they leave or want rest"),
		StoreRestores:       b.counter("runworks.store_returns", "returns of the store from an older copy"),
		StoreTimeouts:       b.counter("runworks.store_timeouts", "calls to the store without a response, by connection"),
		Scheduled:           b.counter("runworks.scheduled", "calls of scheduled services by result, and by cause of a local one"),
		ScheduleSeconds:     b.seconds("runworks.schedule", "time to the scheduler's answer, of calls that did not wait"),
		ScheduleRefusals:    b.counter("runworks.schedule_refusals", "calls refused by the scheduler of their service, by rank, cause and basis of the retry time"),
		RetryAfterSeconds:   b.seconds("runworks.retry_after", "time to return after that was given to callers that found no capacity, by rank and basis"),
		Rollouts:            b.counter("runworks.rollout_steps", "steps of roll-outs, by step"),
		RolloutCalls:        b.counter("runworks.rollout_calls", "calls sent to versions before they were accepted"),
		Keys:                b.counter("runworks.keys", "claims of idempotency keys, by verdict"),
	}
	s.ScheduleMessagesIgnored = b.counter("runworks.schedule_messages_ignored", "invalid messages to the scheduler, by cause")
	return s, b.err
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (s *Set) Handler() http.Handler { return s.handler }

// Tier returns the label for the name of a tier.
func Tier(name string) attribute.KeyValue { return attribute.String("tier", name) }

// Rank returns the label for the rank of a tier.
func Rank(rank int) attribute.KeyValue { return attribute.Int("rank", rank) }

// Cause returns the label for the cause of an event.
func Cause(name string) attribute.KeyValue { return attribute.String("cause", name) }

// Basis returns the label for what a time was derived from.
func Basis(name string) attribute.KeyValue { return attribute.String("basis", name) }

// Result returns the label for the result of an operation.
func Result(name string) attribute.KeyValue { return attribute.String("result", name) }

// Connection returns the label for whether a call's connection was open before.
func Connection(reused bool) attribute.KeyValue {
	if reused {
		return attribute.String("connection", "reused")
	}
	return attribute.String("connection", "new")
}

// Step returns the label for a step of a roll-out.
func Step(name string) attribute.KeyValue { return attribute.String("step", name) }

// ReportKind returns the label for the kind of a server report.
func ReportKind(name string) attribute.KeyValue { return attribute.String("word", name) }

// CountControl adds bytes read from and written to a control connection.
func (s *Set) CountControl(read, written int) {
	if read > 0 {
		Add(s.ControlBytes, read, attribute.String("direction", "read"))
	}
	if written > 0 {
		Add(s.ControlBytes, written, attribute.String("direction", "written"))
	}
}

// Count adds one to a counter.
func Count(c metric.Int64Counter, labels ...attribute.KeyValue) {
	Add(c, 1, labels...)
}

// Add adds n to a counter.
func Add(c metric.Int64Counter, n int, labels ...attribute.KeyValue) {
	c.Add(context.Background(), int64(n), metric.WithAttributes(labels...))
}

// Observe records seconds in a histogram.
func Observe(h metric.Float64Histogram, seconds float64, labels ...attribute.KeyValue) {
	h.Record(context.Background(), seconds, metric.WithAttributes(labels...))
}

// builder creates instruments and keeps the first error, so that New needs to check only once.
type builder struct {
	meter metric.Meter
	err   error
}

func (b *builder) counter(name, text string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithDescription(text))
	b.setErr(err)
	return c
}

func (b *builder) seconds(name, text string) metric.Float64Histogram {
	bounds := metric.WithExplicitBucketBoundaries(0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.53, 1, 2.5, 5, 15, 60, 300)
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(text), metric.WithUnit("s"), bounds)
	b.setErr(err)
	return h
}

func (b *builder) gauge(name, text string, options ...metric.Int64ObservableGaugeOption) metric.Int64ObservableGauge {
	g, err := b.meter.Int64ObservableGauge(name, append(options, metric.WithDescription(text))...)
	b.setErr(err)
	return g
}

func (b *builder) setErr(err error) {
	if b.err == nil && err != nil {
		b.err = err
	}
}
