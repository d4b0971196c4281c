// Package eventstream finds the boundaries of events in the text/event-stream format.
package eventstream
