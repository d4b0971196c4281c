// Command pairs compares versions of the product on the users' bench: it plays each on the
// same sites, days and seeds, and tells the paired differences with their spread from the
// bench's journal alone.
package main
