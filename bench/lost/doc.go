// Command lost reads the output of the benchmark for a day, with the logs of all fronts, and
// prints at which step calls missed their targets: over the day, and in the worst seconds.
package main
