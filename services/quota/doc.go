// Package quota keeps the customers' limits in tokens over all entries: each
// entry draws on a bucket that also counts what the others said they drew.
package quota
