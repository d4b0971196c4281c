// Package mutant reads the list of mutants, each a source change that removes one mechanism
// of the product, and applies them. Tests verify that each mutant is detected; benchmarks
// measure the effect of its mechanism.
package mutant
