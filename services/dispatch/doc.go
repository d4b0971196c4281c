// Package dispatch assigns calls to backend servers at an entry. Calls that find no free
// slot wait here in a queue ordered by tier, and not at the backend servers, whose own
// queues know no tiers.
package dispatch
