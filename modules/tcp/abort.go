package tcp

import (
	"context"
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

// ResetOnAbort returns a handler that has the connection of an HTTP/1.0 request reset if it is closed before h returns: by a
// panic, as with http.ErrAbortHandler, by the server, or by the exit of the process. Such a response may end with its
// connection, and an orderly close would then look like its complete end. The server needs WithConn as its ConnContext.
func ResetOnAbort(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			h.ServeHTTP(w, r)
			return
		}
		setLinger(r.Context(), 0)
		h.ServeHTTP(w, r)
		setLinger(r.Context(), -1)
	})
}

// setLinger sets what a close of a request's connection does: 0 is a reset, which discards what was not sent, and -1 the
// orderly close.
func setLinger(ctx context.Context, sec int) {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	if conn, ok := unwrap(c).(interface{ SetLinger(sec int) error }); ok {
		_ = conn.SetLinger(sec) // fails only if the connection is closed already
	}
}
