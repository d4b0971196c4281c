// Package peers connects the entries with each other. They exchange heartbeats with their load
// and their use of the customers' limits, so that each decides with the state of all.
package peers
