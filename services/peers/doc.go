// Package peers lets the entries tell each other what they run and what they
// drew on the customers' limits, so that each decides with the load of all.
package peers
