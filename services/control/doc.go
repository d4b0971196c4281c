// Package control defines the protocol between entries and agents: the messages
// of their control connections, and the headers of the HTTP requests that start
// and read a run.
package control
