// Package daemon assembles the components of an entry, an agent or a front and runs them until a
// planned stop is complete. Commands and tests use it.
package daemon
