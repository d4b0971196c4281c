// Package tracing sets up OpenTelemetry tracing and propagates the trace context between the
// processes in the W3C Trace Context format.
package tracing
