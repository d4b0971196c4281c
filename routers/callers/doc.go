// Package callers serves the HTTP API for callers: the completions API for model engines, and plain
// services by path.
package callers
