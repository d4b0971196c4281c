// Package tests checks whole systems: as separate processes, and as histories of
// concurrent calls under injected failures in virtual time.
package tests
