// Package patch encodes a new version of a text as its difference from a known one.
package patch
