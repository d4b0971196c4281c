// Package quota enforces the customers' token limits across all entries: each entry counts what
// it consumed itself and what the others reported. An entry that starts learns what was consumed
// before from the others, or from a stored record that survives them all.
package quota
