// Command pairs compares versions of the product in the benchmark. It runs each version on the
// same sites, days and seeds, and prints the paired differences with their confidence
// intervals, computed from the benchmark's journal alone.
package main
