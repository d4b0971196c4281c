package tcp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// Abort ends a connection at once: its peer sees the end, and reads and writes in progress fail. Unlike Close
// it does not wait until the goroutines that are blocked in them have run; Close must still be called.
func Abort(c net.Conn) {
	sc, ok := unwrap(c).(syscall.Conn)
	if !ok {
		_ = c.Close()
		return
	}
	// Errors mean that the connection has ended already.
	if raw, err := sc.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = unix.Shutdown(int(fd), unix.SHUT_RDWR) })
	}
}

// ResetOnAbort returns a handler that resets the connection of an HTTP/1.0 request if h panics with
// http.ErrAbortHandler. Such a response may end with its connection, and the server's orderly close
// would then look like its complete end. The server needs WithConn as its ConnContext.
func ResetOnAbort(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			h.ServeHTTP(w, r)
			return
		}
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				resetOnClose(r.Context())
			}
			panic(p)
		}()
		h.ServeHTTP(w, r)
	})
}

// resetOnClose makes the close of a request's connection a reset, which discards what was not sent.
func resetOnClose(ctx context.Context) {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	if conn, ok := unwrap(c).(interface{ SetLinger(sec int) error }); ok {
		_ = conn.SetLinger(0) // fails only if the connection is closed already
	}
}
