// Package control names the messages between entries and agents: what travels
// over their control connections, and the headers of a run.
package control
