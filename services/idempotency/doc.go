// Package idempotency implements the key table of an agent. The agent that owns an idempotency
// key decides which request may run under it and records where that request runs or ran.
package idempotency
