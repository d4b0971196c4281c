package httpconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// askedFor sends a call whose server is asked at the end of its response, and returns that.
func askedFor(t *testing.T, p *Pool, address string) (body string, err error) {
	t.Helper()
	res, err := p.Do(t.Context(), address, &Call{Request: request(t, http.MethodGet, address, ""), Identify: identify})
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return string(data), err
}

// TestWholeResponsesOfClosingServersArrive guards against whole responses that are taken for cut since the answer of
// the server that is asked at their end closes its connection too.
func TestWholeResponsesOfClosingServersArrive(t *testing.T) {
	for name, answer := range map[string]string{
		"kept":      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"announced": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"unframed":  "HTTP/1.1 200 OK\r\n\r\nok",
		"old":       "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serveConns(t, func(c net.Conn, br *bufio.Reader, n int32) {
				switch {
				case !readRequest(br):
				case n%2 == 1:
					_, _ = io.WriteString(c, unframed)
				default:
					_, _ = io.WriteString(c, answer)
					if name == "kept" {
						readRequest(br)
					}
				}
			})
			p := newPool()
			p.ProbeTimeout = 30 * time.Second
			p.WhichServer = whichServer
			p.MaxIdle = -1
			defer p.Close()
			for range 2 {
				data, err := askedFor(t, p, s.address)
				is.Equal(data, "half")
				is.NoErr(err)
			}
		})
	}
}

// TestStreamsThatEndInOneStepArrive guards against whole responses that are taken for cut as their server, which ran them
// together, closes their connections at once.
func TestStreamsThatEndInOneStepArrive(t *testing.T) {
	is := is.New(t)
	var begun, ended sync.WaitGroup
	begun.Add(3)
	s := serveConns(t, func(c net.Conn, br *bufio.Reader, n int32) {
		if !readRequest(br) {
			return
		}
		if n > 3 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return
		}
		begun.Done()
		begun.Wait()
		_, _ = io.WriteString(c, unframed)
	})
	p := newPool()
	p.ProbeTimeout = 30 * time.Second
	p.WhichServer = whichServer
	defer p.Close()
	errs := make(chan error, 3)
	for range 3 {
		ended.Go(func() {
			_, err := askedFor(t, p, s.address)
			errs <- err
		})
	}
	ended.Wait()
	for range 3 {
		is.NoErr(<-errs)
	}
}

// TestUnhealthyServerHasEndedItsResponse guards against whole responses that are lost for as long as their server says that
// it is failing or leaving.
func TestUnhealthyServerHasEndedItsResponse(t *testing.T) {
	is := is.New(t)
	s := serveConns(t, func(c net.Conn, br *bufio.Reader, _ int32) {
		for {
			req, err := http.ReadRequest(br)
			switch {
			case err != nil:
				return
			case req.URL.Path != "/who":
				_, _ = io.WriteString(c, unframed)
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := newPool()
	p.ProbeTimeout = 30 * time.Second
	p.WhichServer = func(*http.Request, *http.Response) ServerState { return ServerUnhealthy }
	defer p.Close()
	data, err := askedFor(t, p, s.address)
	is.NoErr(err)
	is.Equal(data, "half")
}
