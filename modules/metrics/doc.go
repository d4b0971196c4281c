// Package metrics builds the OpenTelemetry instruments of the processes and
// serves them in the Prometheus text format.
package metrics
