// Package tests holds the tests of whole systems: separate processes, and
// histories of concurrent runs under failure in virtual time.
package tests
