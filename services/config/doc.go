// Package config reads, checks, applies and follows the configuration: a pure
// fold over the platform's log decides which document is in force.
package config
