// Package config reads, checks, applies and follows the configuration. Documents are records
// on the platform's log, and the active one is a pure function of that log.
package config
