// Package httpconn sends HTTP/1.1 requests over pooled connections. Unlike http.Transport it
// never retries a request by itself, its errors distinguish whether a byte of the request can
// have been sent, and it returns only responses that the pool's MatchResponse accepts.
//
// Where only the end of a connection ends a response, the response is complete only if its body shows that (json.go), or if
// the caller of the pool has the server asked, which then says that it runs (identify.go).
package httpconn
