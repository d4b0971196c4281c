// Package quarantine keeps calls that make backend servers exit away from further servers. It finds what
// such calls have in common, the whole request or a part of the prompt, and recognizes that whenever it
// is sent again.
package quarantine
