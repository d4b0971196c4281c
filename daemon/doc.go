// Package daemon puts the parts of an entry and of an agent together and runs
// them until a planned stop is over. Commands and tests use it alike.
package daemon
