// Package stream keeps the bytes of a running answer in bounded memory, so that
// a reader that was cut off goes on at its offset.
package stream
