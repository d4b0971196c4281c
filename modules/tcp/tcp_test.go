package tcp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks/standin/memnet"
)

// TestDial checks that a connection can be opened with the options set, and that a refused one
// is an error.
func TestDial(t *testing.T) {
	is := is.New(t)
	o := Options{PeerTimeout: 3 * time.Second}
	l, err := o.Listen(context.Background(), "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	c, err := o.Dial(context.Background(), "tcp", l.Addr().String())
	is.NoErr(err)
	is.NoErr(c.Close())
	_, err = o.Dial(context.Background(), "tcp", "127.0.0.1:1")
	is.True(err != nil)
}

// TestIdleTimeoutChanges checks that a changed idle timeout also applies to connections that
// are already open.
func TestIdleTimeoutChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(time.Millisecond)
		inner, err := network.Listen("front:1")
		is.NoErr(err)
		var timeout atomic.Int64
		timeout.Store(int64(10 * time.Second))
		server := &http.Server{ //nolint:gosec // a test's server
			Handler:     http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
			IdleTimeout: time.Minute, ConnState: TrackIdle,
		}
		go func() {
			_ = server.Serve(&IdleListener{Listener: inner, IdleTimeout: func() time.Duration { return time.Duration(timeout.Load()) }})
		}()
		conn, err := network.Dialer("caller")(context.Background(), "tcp", "front:1")
		is.NoErr(err)
		br := bufio.NewReader(conn)
		get(t, conn, br)
		time.Sleep(9 * time.Second)
		get(t, conn, br) // within the timeout
		timeout.Store(int64(20 * time.Second))
		get(t, conn, br)
		time.Sleep(19 * time.Second)
		get(t, conn, br) // within the new timeout
		began := time.Now()
		_, err = br.ReadByte()
		is.True(errors.Is(err, io.EOF))
		is.True(time.Since(began).Round(time.Second) == 20*time.Second)
		is.NoErr(server.Close())
		network.Close()
		time.Sleep(time.Second)
	})
}

func get(t *testing.T, conn net.Conn, br *bufio.Reader) {
	t.Helper()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
}
