package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/standin"
)

// reportsExit reports whether WatchExit reports an exit. If one is expected, the timeouts allow
// for a busy host.
func reportsExit(t *testing.T, p *Pool, address string, expected bool) bool {
	t.Helper()
	limit := 2*DefaultProbeTimeout + exitWatchTime
	p.ProbeTimeout = 0
	if expected {
		// On a busy host a connection may take seconds to open, and WatchExit would report no
		// exit after the default timeout.
		limit, p.ProbeTimeout = time.Minute, 30*time.Second
	}
	exited := make(chan struct{}, 1)
	p.WatchExit(t.Context(), address, func() { exited <- struct{}{} })
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// TestWatchExit checks that an exit is reported for a refused connection, but not for a server
// that listens or does not respond, and that the next request reuses the connection.
func TestWatchExit(t *testing.T) {
	is := is.New(t)
	s := serveConns(t, respondOK)
	p := newPool()
	defer p.Close()
	is.True(!reportsExit(t, p, s.address, false))
	_, err := get(t, p, s)
	is.NoErr(err)
	is.Equal(s.conns.Load(), int32(1))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	is.True(reportsExit(t, p, l.Addr().String(), true))
	p.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	is.True(!reportsExit(t, p, s.address, false)) // a timeout proves nothing
}

// TestWatchExitResetAfterAccept resets the first connection after it was accepted. An exit is
// reported only if the second connection is refused: an overloaded server also resets
// connections, but continues to listen.
func TestWatchExitResetAfterAccept(t *testing.T) {
	for _, exits := range []bool{true, false} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { _ = l.Close() })
		done := make(chan struct{}, 2)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if exits {
					_ = l.Close()
				}
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				done <- struct{}{}
			}
		}()
		p := newPool()
		p.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err == nil {
				select {
				case <-done: // the server has reset it, even on a busy host
				case <-ctx.Done():
				}
			}
			return c, err
		}
		is.Equal(reportsExit(t, p, l.Addr().String(), exits), exits)
	}
}

// TestWatchExitResetDuringConnect resets the first connection while it is being opened. An exit
// is reported only if the second connection is refused because the listener is closed.
func TestWatchExitResetDuringConnect(t *testing.T) {
	for _, exits := range []bool{true, false} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { _ = l.Close() })
		p := newPool()
		dial, first := p.Dial, true
		p.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if !first {
				return dial(ctx, network, address)
			}
			first = false
			if exits {
				_ = l.Close()
			}
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNRESET)}
		}
		is.Equal(reportsExit(t, p, l.Addr().String(), exits), exits)
	}
}

// TestResponseOfExitedServerIsNotComplete guards against a response without length or chunks that looks
// complete because the exit of its server closed the connection, or as nobody was asked.
func TestResponseOfExitedServerIsNotComplete(t *testing.T) {
	for exits, want := range map[bool]error{true: ErrServerExited, false: runworks.ErrUnconfirmed} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { _ = l.Close() })
		go standin.ServeHalfResponse(l, exits)
		p := newPool()
		p.ProbeTimeout, p.MatchResponse = 30*time.Second, nil
		defer p.Close()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String()+"/", nil)
		is.NoErr(err)
		call := &Call{Request: req}
		if exits {
			call.Identify = identify
		}
		res, err := p.Do(t.Context(), l.Addr().String(), call)
		is.NoErr(err)
		data, err := io.ReadAll(res.Body)
		is.NoErr(res.Body.Close())
		is.Equal(string(data), "half")
		is.True(errors.Is(err, want))
	}
}
