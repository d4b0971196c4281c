package tcp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAbortedResponseIsNotComplete guards against an aborted response that looks complete to a caller
// of HTTP/1.0, for which the end of the connection ends a response.
func TestAbortedResponseIsNotComplete(t *testing.T) {
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, aborted := range []bool{false, true} {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			server := &http.Server{ //nolint:gosec // a test's server
				ConnContext: WithConn,
				Handler: ResetOnAbort(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(w, "half")
					_ = http.NewResponseController(w).Flush()
					if aborted {
						panic(http.ErrAbortHandler)
					}
				})),
			}
			go func() {
				_ = server.Serve(&IdleListener{Listener: l, IdleTimeout: func() time.Duration { return time.Minute }})
			}()
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			_, err = io.WriteString(c, "GET / "+proto+"\r\nHost: h\r\nConnection: close\r\n\r\n")
			is.NoErr(err)
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				_, err = io.ReadAll(res.Body)
			}
			is.Equal(err != nil, aborted)
			is.NoErr(c.Close())
			is.NoErr(server.Close())
		}
	}
}
