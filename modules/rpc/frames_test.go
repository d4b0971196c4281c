package rpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// pipe returns the two ends of an in-memory connection.
func pipe() (local, remote *Stream) {
	a, b := net.Pipe()
	return &Stream{Conn: a, reader: bufio.NewReader(a)}, &Stream{Conn: b, reader: bufio.NewReader(b)}
}

// receiveAll sends what arrives on a stream to got: the parameters of notifications and the payloads of
// frames.
func receiveAll(t *testing.T, remote *Stream, got chan<- string) {
	ServeFrames(t.Context(), remote,
		func(_ context.Context, _ string, params json.RawMessage) (any, error) {
			got <- string(params)
			return nil, nil
		},
		func(data []byte) error {
			got <- string(data)
			return nil
		})
}

// TestFramesKeepOrder checks that frames and notifications are delivered in the order in which
// they were sent.
func TestFramesKeepOrder(t *testing.T) {
	is := is.New(t)
	local, remote := pipe()
	got := make(chan string, 10)
	receiveAll(t, remote, got)
	conn := ServeFrames(t.Context(), local, nil, nil)
	is.NoErr(conn.SendFrame([]byte("one")))
	is.NoErr(conn.Notify(t.Context(), "m", 2))
	is.NoErr(conn.SendFrame(nil))
	is.NoErr(conn.Notify(t.Context(), "m", 3))
	for _, want := range []string{"one", "2", "", "3"} {
		is.Equal(<-got, want)
	}
	_ = conn.Close()
}

// TestBadFrameClosesConnection checks that the connection is closed when a frame is rejected,
// when there is no frame handler, and when a message exceeds the size limit.
func TestBadFrameClosesConnection(t *testing.T) {
	refuse := func([]byte) error { return errorx.IllegalFormat.New("refused") }
	for _, c := range []struct {
		name    string
		onFrame FrameFunc
		message string
	}{
		{"refused", refuse, "\x02\x00x"},
		{"no handler", nil, "\x02\x00x"},
		{"too long", refuse, "\xff\xff\xff\xff\x7f"},
		{"empty", refuse, "\x00"},
	} {
		t.Run(c.name, func(t *testing.T) {
			local, remote := pipe()
			conn := ServeFrames(t.Context(), remote, nil, c.onFrame)
			_, err := local.Write([]byte(c.message))
			is.New(t).NoErr(err)
			<-conn.DisconnectNotify()
		})
	}
}

// TestBufferedFramesLeaveProcessorToOthers guards against a process that is behind and processes all that has
// arrived on one connection before any other work gets its turn.
func TestBufferedFramesLeaveProcessorToOthers(t *testing.T) {
	is := is.New(t)
	const frames = 200
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	local, remote := pipe()
	var processed, before atomic.Int64
	done := make(chan struct{})
	ServeFrames(t.Context(), remote, nil, func([]byte) error {
		switch processed.Add(1) {
		case 1:
			go func() { before.Store(processed.Load()) }()
		case frames:
			close(done)
		}
		return nil
	})
	_, err := local.Write([]byte(strings.Repeat("\x02\x00x", frames)))
	is.NoErr(err)
	<-done
	is.True(before.Load() > 0)
	is.True(before.Load() < frames/10)
	_ = local.Close()
}

// TestStuckPeerTimesOut checks that a write to a peer that reads nothing times out. Without
// the deadline, one stuck peer would block the writes to all others.
func TestStuckPeerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		local, remote := pipe()
		conn := ServeFrames(t.Context(), local, nil, nil)
		began := time.Now()
		err := conn.SendFrame([]byte(strings.Repeat("x", 1000)))
		is.True(os.IsTimeout(err))
		is.Equal(time.Since(began), frameTimeout)
		_ = conn.Close()
		_ = remote.Close()
	})
}

// TestStuckPeerEndsMessage guards against a JSON message to a peer that reads nothing: it would hold up
// the frames to that peer, and with them those to all others, for good.
func TestStuckPeerEndsMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		local, remote := pipe()
		conn := ServeFrames(t.Context(), local, nil, nil)
		began := time.Now()
		is.True(os.IsTimeout(conn.Notify(t.Context(), "m", strings.Repeat("x", 1000))))
		is.Equal(time.Since(began), messageTimeout)
		<-conn.DisconnectNotify()
		is.True(conn.SendFrame([]byte("x")) != nil)
		_ = remote.Close()
	})
}

// TestFramesQueueBehindMessage guards against frames that wait for a message to a peer which reads slowly,
// and with them those to all other peers, and against frames that overtake it.
func TestFramesQueueBehindMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		local, remote := pipe()
		got := make(chan string, 10)
		conn := ServeFrames(t.Context(), local, nil, nil)
		write, err := conn.StartNotify("m", 1)
		is.NoErr(err)
		is.NoErr(conn.SendFrame([]byte("two")))
		second, err := conn.StartNotify("m", 3)
		is.NoErr(err)
		is.NoErr(conn.SendFrame([]byte("four")))
		done := make(chan error, 2)
		go func() { done <- second() }()
		go func() { done <- write() }()
		synctest.Wait()
		receiveAll(t, remote, got)
		for _, want := range []string{"1", "two", "3", "four"} {
			is.Equal(<-got, want)
		}
		is.NoErr(<-done)
		is.NoErr(<-done)
		is.NoErr(conn.SendFrame([]byte("five"))) // directly again
		is.Equal(<-got, "five")
		var limit error
		again, err := conn.StartNotify("m", 6)
		is.NoErr(err)
		for limit == nil {
			limit = conn.SendFrame(make([]byte, maxQueuedFrames/4))
		}
		_ = conn.Close()
		is.True(again() != nil)
	})
}

// TestCloseDuringWrite guards against a close that waits for a write that the peer does not accept.
func TestCloseDuringWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := pipe()
		conn := ServeFrames(t.Context(), local, nil, nil)
		go func() { _ = conn.Notify(t.Context(), "m", "x") }()
		synctest.Wait()
		began := time.Now()
		_ = conn.Close()
		is.New(t).Equal(time.Since(began), time.Duration(0))
		_ = remote.Close()
	})
}

// TestMessageWithoutEnd guards against memory that a peer takes by the announced length of a message alone,
// and against messages whose length has no bound.
func TestMessageWithoutEnd(t *testing.T) {
	is := is.New(t)
	announced := func(size uint64) *bufio.Reader {
		return bufio.NewReader(bytes.NewReader(binary.AppendUvarint(nil, size)))
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := readMessage(announced(maxMessageBytes))
	runtime.ReadMemStats(&after)
	is.Equal(err, io.ErrUnexpectedEOF)
	is.True(after.TotalAlloc-before.TotalAlloc < maxMessageBytes/8)
	_, err = readMessage(announced(maxMessageBytes + 1))
	is.True(errors.Is(err, ErrMessageTooLong))

	local, remote := pipe()
	conn := Serve(t.Context(), remote, nil)
	_, err = local.Write(binary.AppendUvarint(nil, maxMessageBytes+1))
	is.NoErr(err)
	<-conn.DisconnectNotify() // nothing of it is awaited
}
