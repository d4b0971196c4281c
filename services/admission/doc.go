// Package admission decides whether a call becomes a request: which customer sends it, which rule
// applies, at which tier and within which limits.
package admission
