// Package runs is the agent's interface towards entries: the control connection
// and the streams of runs.
package runs
