package tcp

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPeekPeerEnd guards against a close of the peer that is not seen behind unread data, or is dated by when it was read.
func TestPeekPeerEnd(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	peer, err := l.Accept()
	is.NoErr(err)
	defer func() { _ = peer.Close() }()
	state, _ := PeekPeerEnd(c)
	is.Equal(state, PeerEndOpen)
	_, err = io.WriteString(peer, "unread")
	is.NoErr(err)
	state, _ = PeekPeerEnd(c)
	is.Equal(state, PeerEndOpen)
	closed := time.Now()
	is.NoErr(peer.(*net.TCPConn).CloseWrite())
	var ago time.Duration
	for state != PeerEndClosed || ago < 20*time.Millisecond {
		state, ago = PeekPeerEnd(c)
	}
	is.True(ago <= time.Since(closed)+10*time.Millisecond) // the kernel's clock is that coarse
	is.NoErr(peer.(*net.TCPConn).SetLinger(0))
	is.NoErr(peer.Close())
	for state != PeerEndReset {
		state, _ = PeekPeerEnd(c)
	}
	is.NoErr(c.Close())
	state, _ = PeekPeerEnd(c)
	is.Equal(state, PeerEndUnknown)
}
