// Package operators serves the HTTP API for operators: liveness, readiness, metrics and status. It
// listens on an address that callers cannot reach.
package operators
