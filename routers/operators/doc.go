// Package operators is the interface towards operators: life, readiness,
// metrics and state. It is served on an address that callers do not reach.
package operators
