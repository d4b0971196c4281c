package httpconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestInformationalResponsesTakeNoPlace guards against a response that is lost behind informational ones, which counted as
// responses to other requests, and against a connection that is read for ever.
func TestInformationalResponsesTakeNoPlace(t *testing.T) {
	const (
		hints   = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
		surplus = "HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 5\r\n\r\nwrong"
	)
	for _, c := range []struct {
		before string
		ok     bool
	}{
		{"", true},
		{"HTTP/1.1 100 Continue\r\n\r\n" + hints, true},
		{"HTTP/1.1 100 Continue\r\n\r\n" + hints + hints, true},
		{strings.Repeat(hints, 9), true},
		{hints + surplus + hints, true},
		{hints + hints + surplus + hints + hints + surplus, true},
		{strings.Repeat(hints, 1000), false},
		{strings.Repeat(hints+surplus, 4), false},
	} {
		t.Run(fmt.Sprintf("%d bytes before", len(c.before)), func(t *testing.T) {
			is := is.New(t)
			s := serveConns(t, func(conn net.Conn, br *bufio.Reader, _ int32) {
				for readRequest(br) {
					_, _ = io.WriteString(conn, c.before+okResponse)
				}
			})
			p := newPool()
			defer p.Close()
			for range 2 {
				text, err := get(t, p, s)
				is.Equal(err == nil, c.ok)
				is.Equal(text == "ok", c.ok)
			}
			is.Equal(s.conns.Load() == 1, c.ok)
		})
	}
}
