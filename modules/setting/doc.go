// Package setting loads the settings files of the processes, applies the defaults and validates
// the values.
package setting
