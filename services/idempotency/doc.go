// Package idempotency decides, at one agent, about the idempotency keys whose home it
// is: which request may run under a key, and where it runs or ran.
package idempotency
