// Package reservation implements an agent's queue of waiting requests. It is ordered by tier,
// then by fair share between customers, then by deadline, and has an upper limit at which
// reservations are refused or dropped.
package reservation
