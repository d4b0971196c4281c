// Command lost tells, from what the users' bench prints of a day with all fronts' logs, at
// which step calls missed their targets: over the day, and in the worst seconds.
package main
