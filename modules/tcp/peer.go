package tcp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// PeerEnd is what the operating system knows of the peer's side of a connection.
type PeerEnd int

// The states of the peer's side, as PeekPeerEnd returns them.
const (
	// PeerEndUnknown means that the connection is closed locally, or is not a socket.
	PeerEndUnknown PeerEnd = iota
	// PeerEndOpen means that the peer may send more.
	PeerEndOpen
	// PeerEndClosed means that the peer closed it without a reset.
	PeerEndClosed
	// PeerEndReset means that the peer reset it, be it after a close. A read still returns io.EOF after a close.
	PeerEndReset
)

// PeekPeerEnd returns the state of the peer's side of a connection, whether or not what it sent before was read, and how
// long ago it closed that: too short a time if keep-alive probes were answered since.
func PeekPeerEnd(c net.Conn) (state PeerEnd, ago time.Duration) {
	info := kernelInfo(c)
	switch {
	case info == nil:
		return PeerEndUnknown, 0
	case info.State == unix.BPF_TCP_ESTABLISHED:
		return PeerEndOpen, 0
	case info.State == unix.BPF_TCP_CLOSE_WAIT:
		// Nothing but the answers to keep-alive probes arrives after the close.
		return PeerEndClosed, time.Duration(info.Last_ack_recv) * time.Millisecond
	case info.State == unix.BPF_TCP_CLOSE:
		return PeerEndReset, 0
	}
	return PeerEndUnknown, 0
}

// kernelInfo returns what the kernel knows of a connection; nil if it tells nothing, or if that is not a socket.
func kernelInfo(c net.Conn) *unix.TCPInfo {
	sc, ok := unwrap(c).(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || infoErr != nil {
		return nil
	}
	return info
}
