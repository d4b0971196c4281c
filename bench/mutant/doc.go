// Package mutant reads the list of mechanisms that can be taken out of the product, and
// makes the changed sources. A test proves that each is missed; a measurement tells what it
// is worth.
package mutant
