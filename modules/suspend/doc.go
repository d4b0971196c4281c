// Package suspend tells how long a host was suspended: time that the clock does not count by
// which a process measures ages and deadlines.
package suspend
