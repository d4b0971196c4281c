// Package httpconn sends HTTP/1.1 requests over pooled connections. Unlike http.Transport it
// never retries a request by itself, its errors distinguish whether a byte of the request can
// have been sent, and it returns only responses that the pool's MatchResponse accepts.
//
// Where only the end of a connection ends a response, the pool asks the server whether it runs (identify.go), and judges by
// the other connections to it whether the response was cut (ends_together.go). It remembers how they ended (ends.go), and
// keeps one unused beside such responses (witness.go).
package httpconn
