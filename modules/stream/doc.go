// Package stream buffers the bytes of a response in bounded memory, so that a reader that was
// disconnected can resume at its offset.
package stream
