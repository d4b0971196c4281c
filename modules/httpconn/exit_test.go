package httpconn

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// reportsExit says whether WatchEnd tells of an end. One that is to be told is waited for as long as
// a busy host may take.
func reportsExit(t *testing.T, p *Pool, address string, expected bool) bool {
	t.Helper()
	limit := 2*DefaultProbeTimeout + exitWatchTime
	p.ProbeTimeout = 0
	if expected {
		// A busy host may take seconds to open a connection, and then no end is told.
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

// TestWatchExit tells a server whose process has ended from one that still listens; the
// connection that this took is used by the next request.
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
	is.True(!reportsExit(t, p, s.address, false)) // silence is no proof
}

// TestWatchExitResetAfterAccept takes a connection before the listener is gone, and resets it:
// the refusal of the next one proves the end. A server that resets what it has too much of
// goes on listening.
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
				case <-done: // the server is through with it, however busy the host is
				case <-ctx.Done():
				}
			}
			return c, err
		}
		is.Equal(reportsExit(t, p, l.Addr().String(), exits), exits)
	}
}

// TestWatchExitResetDuringConnect asks once more where the first connection was reset before it
// was through: with the listener gone that proves the end, and with it there nothing.
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
