// Package setting loads the settings of the processes, fills in the defaults
// and checks everything at start.
package setting
