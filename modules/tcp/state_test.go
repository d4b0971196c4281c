package tcp

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks/standin/memnet"
)

// waitState waits until a connection has a state.
func waitState(t *testing.T, c net.Conn, want State) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if PeekState(c) == want {
			return
		}
	}
	t.Fatalf("the connection has state %d, not %d", PeekState(c), want)
}

// TestPeekState checks the state of a connection, also during a blocked read, and that nothing
// is consumed.
func TestPeekState(t *testing.T) {
	is := is.New(t)
	l, err := Options{PeerTimeout: time.Second}.Listen(context.Background(), "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	idle := &IdleListener{Listener: l, IdleTimeout: func() time.Duration { return time.Minute }}
	peer, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	c, err := idle.Accept()
	is.NoErr(err)
	waitState(t, c, Idle)
	_, err = io.WriteString(peer, "ab")
	is.NoErr(err)
	waitState(t, c, Readable)
	both := make([]byte, 2)
	_, err = io.ReadFull(c, both)
	is.NoErr(err)
	is.Equal(string(both), "ab")
	waitState(t, c, Idle)
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(both)
		read <- err
	}()
	is.Equal(PeekState(c), Idle)
	is.NoErr(peer.Close())
	waitState(t, c, Closed)
	is.True(<-read != nil)
	is.NoErr(c.Close())
	is.Equal(PeekState(c), Closed)
	is.Equal(PeekState(memnetConn(t)), Idle)
}

// memnetConn returns a connection of an IdleListener that is not a socket.
func memnetConn(t *testing.T) net.Conn {
	t.Helper()
	network := memnet.New(time.Millisecond)
	inner, err := network.Listen("front:1")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = network.Dialer("caller")(context.Background(), "tcp", "front:1") }()
	c, err := (&IdleListener{Listener: inner, IdleTimeout: func() time.Duration { return time.Minute }}).Accept()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestPeerClosed checks that a handler can detect that the client closed the connection.
func TestPeerClosed(t *testing.T) {
	is := is.New(t)
	is.True(!PeerClosed(context.Background()))
	entered, closed := make(chan bool), make(chan bool)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{ //nolint:gosec // a test's server
		ConnContext: WithConn,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			entered <- PeerClosed(r.Context())
			end := time.Now().Add(10 * time.Second)
			for !PeerClosed(r.Context()) && time.Now().Before(end) {
			}
			closed <- PeerClosed(r.Context())
		}),
	}
	go func() {
		_ = server.Serve(&IdleListener{Listener: l, IdleTimeout: func() time.Duration { return time.Minute }})
	}()
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	is.True(!<-entered)
	is.NoErr(c.Close())
	is.True(<-closed)
}
