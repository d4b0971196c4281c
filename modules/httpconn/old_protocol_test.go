package httpconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestOldResponsesEndWhereTheySay guards against responses of HTTP/1.0 that end elsewhere than they say, and bytes behind
// them that are taken for the next response.
func TestOldResponsesEndWhereTheySay(t *testing.T) {
	const more = "HTTP/1.0 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nnext"
	for _, c := range []struct {
		name, method, response string
		body                   string
		delimited, whole       bool
	}{
		{"length", http.MethodGet, "HTTP/1.0 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody", "body", false, true},
		{"length, kept, more behind", http.MethodGet, "HTTP/1.0 200 OK\r\nX-Id: 1\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\nbody" + more, "body", false, true},
		{"cut before its length", http.MethodGet, "HTTP/1.0 200 OK\r\nX-Id: 1\r\nContent-Length: 8\r\n\r\nbody", "body", false, false},
		{"no length", http.MethodGet, "HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\nbody", "body", true, true},
		{"no length, kept", http.MethodGet, "HTTP/1.0 200 OK\r\nX-Id: 1\r\nConnection: keep-alive\r\n\r\nbody", "body", true, true},
		{"no content", http.MethodGet, "HTTP/1.0 204 No Content\r\nX-Id: 1\r\n\r\n", "", false, true},
		{"no content, kept, more behind", http.MethodGet, "HTTP/1.0 204 No Content\r\nX-Id: 1\r\nConnection: keep-alive\r\n\r\n" + more, "", false, true},
		{"not modified, with a length", http.MethodGet, "HTTP/1.0 304 Not Modified\r\nX-Id: 1\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\n" + more, "", false, true},
		{"head, without a length", http.MethodHead, "HTTP/1.0 200 OK\r\nX-Id: 1\r\nConnection: keep-alive\r\n\r\n" + more, "", false, true},
		{"head, with a length", http.MethodHead, "HTTP/1.0 200 OK\r\nX-Id: 1\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\n" + more, "", false, true},
		{"interim before", http.MethodGet, "HTTP/1.0 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody", "body", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := serveConns(t, func(conn net.Conn, br *bufio.Reader, n int32) {
				switch {
				case !readRequest(br):
				case n == 1:
					_, _ = io.WriteString(conn, c.response)
					if !c.delimited && strings.Contains(c.response, "keep-alive") {
						readRequest(br) // the connection stays open
					}
				default:
					_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nfresh")
				}
			})
			p := newPool()
			p.WhichServer = whichServer
			defer p.Close()
			res, err := p.Do(t.Context(), s.address, &Call{Request: request(t, c.method, s.address, "")})
			is.NoErr(err)
			is.Equal(CloseDelimited(res), c.delimited)
			data, err := io.ReadAll(res.Body)
			is.Equal(string(data), c.body)
			is.Equal(err == nil, c.whole && !c.delimited) // nobody is asked for the end
			is.NoErr(res.Body.Close())
			res, err = p.Do(t.Context(), s.address, &Call{Request: request(t, http.MethodGet, s.address, "")})
			is.NoErr(err)
			data, err = io.ReadAll(res.Body)
			is.NoErr(err)
			is.NoErr(res.Body.Close())
			is.Equal(string(data), "fresh")
		})
	}
}
