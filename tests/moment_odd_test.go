package tests

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks/standin"
)

// TestMomentOddEndings guards against plays in which a server that is to break a stream off oddly sends something else.
func TestMomentOddEndings(t *testing.T) {
	const target, half, garbage, surplus = "/chat/long/m0?events=12&origin", "id: 9\ndata: /chat", "\x00\x01\xff no response", "X-Request-Id: nobody\r\n"
	for _, one := range []struct {
		odd   standin.OddEnding
		point standin.Point
		has   string
	}{
		{standin.OddPart, standin.PointHead, "Content-Ty"},
		{standin.OddPart, standin.PointFirst, "id: 1\ndata: /chat"},
		{standin.OddPart, standin.PointBetween, half},
		{standin.OddPart, standin.PointInside, "id: 6\ndata: /chat"},
		{standin.OddBytes, standin.PointHead, garbage},
		{standin.OddBytes, standin.PointBetween, garbage},
		{standin.OddBytes, standin.PointLast, garbage},
		{standin.OddSurplus, standin.PointHead, surplus},
		{standin.OddSurplus, standin.PointBetween, surplus},
		{standin.OddSurplus, standin.PointLast, "0\r\n\r\nHTTP/1.1 200 OK\r\n" + surplus},
	} {
		for _, old := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s at %s, HTTP/1.0 %t", one.odd, one.point, old), func(t *testing.T) {
				is := is.New(t)
				server := &standin.RoutedServer{Instance: "llm-1", Version: "v1"}
				server.SetStops([]standin.Stop{{Target: target, Point: one.point, Event: momentEventOf(one.point), Break: true, Odd: one.odd}})
				var handler http.Handler = server
				if old {
					handler = standin.OldProtocol(handler)
				}
				listener := httptest.NewServer(handler)
				defer listener.Close()
				conn, err := net.Dial("tcp", listener.Listener.Addr().String())
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Expect-Instance: llm-1\r\n\r\n", target)
				is.NoErr(err)
				data, err := io.ReadAll(conn)
				is.NoErr(err)
				got := string(data)
				want := one.has
				if old {
					want = strings.TrimPrefix(want, "0\r\n\r\n")
				}
				is.True(strings.Contains(got, want))
				is.True(!strings.HasSuffix(got, "\r\n0\r\n\r\n"))
				is.True(!old || !strings.Contains(got, "0\r\n\r\n"))
			})
		}
	}
}

// TestMomentAwaitsOutput guards against calls that count as not run since the output of their server is read late.
func TestMomentAwaitsOutput(t *testing.T) {
	is := is.New(t)
	s := &momentServer{id: "llm-1", process: &process{t: t, name: "llm-1", done: make(chan struct{}), changed: make(chan struct{}, 1)}}
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `[{}]`)
		time.AfterFunc(momentPeriod, func() { s.handleLine("ran a POST /once/m0 \"yard\" 00") })
	}))
	defer listener.Close()
	s.addresses = map[string]string{"standin": listener.Listener.Addr().String()}
	p := &momentSite{platformSite: &platformSite{site: &site{t: t}}, servers: []*momentServer{s}}
	is.Equal(p.ran(), map[string][]string{"a": {"llm-1"}})
}
