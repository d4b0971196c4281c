// Package admission decides whether a call may become a request: who calls, by
// which rule, at which tier, within which limits.
package admission
