// Package tracing sets up OpenTelemetry traces and carries their context
// between the processes in the W3C form.
package tracing
