// Package httpconn sends HTTP/1.1 requests over pooled connections. Unlike http.Transport it
// never retries a request by itself, its errors distinguish whether a byte of the request can
// have been sent, and it returns only responses that the pool's MatchResponse accepts.
package httpconn
