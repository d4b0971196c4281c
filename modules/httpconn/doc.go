// Package httpconn sends HTTP/1.1 requests over kept connections, each exactly
// once: unlike http.Transport it never sends a request again by itself, it says
// whether a byte of it can have left, and it takes an answer only if the caller
// of the pool recognises it.
package httpconn
