package httpconn

import (
	"bufio"
	"context"
	"errors"
	"net"
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
// that has enough connections resets new ones. One that stays open is kept for the next request.
func (p *Pool) WatchEnd(ctx context.Context, address string, ended func()) {
	raw, err := p.open(ctx, address)
	switch {
	case refused(err):
		ended()
	case err == nil:
		go p.watch(raw, address, ended)
	}
}

// watch keeps a connection that stays open, and asks once more for one if it does not.
func (p *Pool) watch(raw net.Conn, address string, ended func()) {
	if p.staysOpen(raw, address) {
		return
	}
	_ = raw.Close()
	again, err := p.open(context.Background(), address)
	switch {
	case refused(err):
		ended()
	case err == nil:
		_ = again.Close()
	}
}

// staysOpen says whether a connection is still open and silent after a moment; it is kept
// then.
func (p *Pool) staysOpen(raw net.Conn, address string) bool {
	if err := raw.SetReadDeadline(time.Now().Add(endWatch)); err != nil {
		return false
	}
	if _, err := raw.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	if err := raw.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	p.put(&conn{Conn: raw, address: address, br: bufio.NewReader(raw)})
	return true
}

func (p *Pool) open(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, orDuration(p.RefusalTimeout, DefaultRefusalTimeout))
	defer cancel()
	return p.Dial(ctx, "tcp", address)
}

func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
