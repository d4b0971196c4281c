// Package suspend detects for how long a host was suspended. The monotonic clock, by which a
// process measures ages and deadlines, does not count that time.
package suspend
