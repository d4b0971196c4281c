// Package callers is the interface towards callers: the completions interface
// for model engines, and plain services by path.
package callers
