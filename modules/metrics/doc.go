// Package metrics creates the OpenTelemetry instruments of the processes and serves them in the
// Prometheus text format.
package metrics
