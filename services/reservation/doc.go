// Package reservation orders the tickets that wait at an agent: by tier, then by
// fair share between customers, then by time left; and it decides which ticket
// is refused or dropped when the bound is reached.
package reservation
