// Package dispatch decides at an entry which backend server takes a call and
// which call takes a free slot: calls wait here, by tier, and not at the backend
// servers, whose queues know no tiers.
package dispatch
