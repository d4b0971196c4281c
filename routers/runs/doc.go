// Package runs serves the agent's HTTP API for entries: the control connection and the streams of
// runs.
package runs
