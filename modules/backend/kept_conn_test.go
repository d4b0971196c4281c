package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"runtime"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/tcp"
)

// closingServer responds to one call on each connection, and then sends more or closes it at a signal.
type closingServer struct {
	listener net.Listener
	work     sync.WaitGroup
	// end receives what the server sends before it closes a connection.
	end chan string

	mu    sync.Mutex
	paths []string
}

func newClosingServer(t *testing.T) *closingServer {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &closingServer{listener: listener, end: make(chan string)}
	s.work.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.work.Go(func() { s.serve(conn) })
		}
	})
	t.Cleanup(func() {
		close(s.end)
		_ = listener.Close()
		s.work.Wait()
	})
	return s
}

func (s *closingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	s.mu.Lock()
	s.paths = append(s.paths, req.URL.Path)
	s.mu.Unlock()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	_, _ = io.WriteString(conn, <-s.end)
}

func (s *closingServer) url() string { return "http://" + s.listener.Addr().String() }

// arrived returns how many calls of a path have arrived.
func (s *closingServer) arrived(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, p := range s.paths {
		if p == path {
			n++
		}
	}
	return n
}

// slowConn is a connection whose end, and what comes unasked, is read only once it is released or written to again, as in a
// process that gets no processor time.
type slowConn struct {
	*net.TCPConn
	released      chan struct{}
	once          sync.Once
	reads, writes int
	// ended is closed when the end was read.
	ended   chan struct{}
	endOnce sync.Once
}

func (c *slowConn) release() { c.once.Do(func() { close(c.released) }) }

// Write implements net.Conn.
func (c *slowConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes > 1 {
		defer c.release()
	}
	return c.TCPConn.Write(p)
}

// Read implements net.Conn. Its first call reads the response to the first call.
func (c *slowConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads > 1 {
		<-c.released
	}
	n, err := c.TCPConn.Read(p)
	if err != nil {
		c.endOnce.Do(func() { close(c.ended) })
	}
	return n, err
}

// slowBackend returns a client of a server whose first connection is a slowConn, after one call on it.
func slowBackend(t *testing.T, s *closingServer) (*HTTP, *slowConn) {
	t.Helper()
	raw, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	first := &slowConn{TCPConn: raw.(*net.TCPConn), released: make(chan struct{}), ended: make(chan struct{})}
	conns := make(chan net.Conn, 1)
	conns <- first
	h := New(runworks.KindEngine, s.url(), func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case c := <-conns:
			return c, nil
		default:
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
	})
	t.Cleanup(h.Close)
	warmUp(t, h)
	return h, first
}

// TestCallOnEndedConnection guards against a call that is lost because it is written to a kept connection which the server
// has closed, or reset, or on which it has sent bytes that would be taken for the response.
func TestCallOnEndedConnection(t *testing.T) {
	for name, sent := range map[string]string{"closed": "", "surplus response": "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nothers"} {
		for _, method := range []string{http.MethodPost, http.MethodDelete} {
			t.Run(name+" "+method, func(t *testing.T) {
				is := is.New(t)
				s := newClosingServer(t)
				h, first := slowBackend(t, s)
				defer first.release()
				s.end <- sent
				for tcp.PeekState(first.TCPConn) == tcp.Idle {
					runtime.Gosched()
				}
				reply, err := h.Do(t.Context(), "id", &runworks.Call{Method: method, Path: "/marked", Body: []byte("x")})
				is.NoErr(err)
				data := make([]byte, 2)
				_, err = io.ReadFull(reply.Body, data)
				is.NoErr(err)
				is.NoErr(reply.Body.Close())
				is.Equal(string(data), "ok")
				is.Equal(s.arrived("/marked"), 1)
			})
		}
	}
}

// TestCallOnEndingConnection guards against a call that is lost because its kept connection ends between the moment at which it
// is chosen and the first byte.
func TestCallOnEndingConnection(t *testing.T) {
	is := is.New(t)
	s := newClosingServer(t)
	h, first := slowBackend(t, s)
	var once sync.Once
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		once.Do(func() {
			s.end <- ""
			first.release()
			<-first.ended
		})
	}})
	reply, err := h.Do(ctx, "id", &runworks.Call{Method: http.MethodPost, Path: "/marked", Body: []byte("x")})
	is.NoErr(err)
	is.NoErr(reply.Body.Close())
	is.Equal(s.arrived("/marked"), 1)
}

// TestCallOnEndedConnectionOfExitedServer guards against a call that counts as one that may have run, though its server had
// exited and closed the kept connection before.
func TestCallOnEndedConnectionOfExitedServer(t *testing.T) {
	is := is.New(t)
	s := newClosingServer(t)
	h, first := slowBackend(t, s)
	defer first.release()
	is.NoErr(s.listener.Close())
	s.end <- ""
	for tcp.PeekState(first.TCPConn) == tcp.Idle {
		runtime.Gosched()
	}
	err := do(t, h, &runworks.Call{Method: http.MethodPost, Path: "/marked", Body: []byte("x")})
	is.True(errors.Is(err, runworks.ErrNotDispatched))
}
