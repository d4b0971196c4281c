package rpc

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// pipe gives the two ends of a connection.
func pipe() (near, far *Stream) {
	a, b := net.Pipe()
	return &Stream{Conn: a, reader: bufio.NewReader(a)}, &Stream{Conn: b, reader: bufio.NewReader(b)}
}

// TestFramesKeepTheirOrder hands frames and notifications over in the order in which they
// were sent.
func TestFramesKeepTheirOrder(t *testing.T) {
	is := is.New(t)
	near, far := pipe()
	got := make(chan string, 10)
	ServeFrames(t.Context(), far,
		func(_ context.Context, _ string, params json.RawMessage) (any, error) {
			got <- string(params)
			return nil, nil
		},
		func(data []byte) error {
			got <- string(data)
			return nil
		})
	conn := ServeFrames(t.Context(), near, nil, nil)
	is.NoErr(conn.SendFrame([]byte("one")))
	is.NoErr(conn.Notify(t.Context(), "m", 2))
	is.NoErr(conn.SendFrame(nil))
	is.NoErr(conn.Notify(t.Context(), "m", 3))
	for _, want := range []string{"one", "2", "", "3"} {
		is.Equal(<-got, want)
	}
	_ = conn.Close()
}

// TestBadFrameEndsTheConnection closes a connection whose frame is refused, whose frames
// nobody takes, or whose message is longer than any can be.
func TestBadFrameEndsTheConnection(t *testing.T) {
	refuse := func([]byte) error { return errorx.IllegalFormat.New("refused") }
	for _, c := range []struct {
		name    string
		onFrame FrameFunc
		message string
	}{
		{"refused", refuse, "\x02\x00x"},
		{"not taken", nil, "\x02\x00x"},
		{"too long", refuse, "\xff\xff\xff\xff\x7f"},
		{"empty", refuse, "\x00"},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := pipe()
			conn := ServeFrames(t.Context(), far, nil, c.onFrame)
			_, err := near.Write([]byte(c.message))
			is.New(t).NoErr(err)
			<-conn.DisconnectNotify()
		})
	}
}

// TestStuckPeerHoldsNobodyUp gives up writing to a peer that reads nothing.
func TestStuckPeerHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := pipe()
		conn := ServeFrames(t.Context(), near, nil, nil)
		began := time.Now()
		err := conn.SendFrame([]byte(strings.Repeat("x", 1000)))
		is.True(os.IsTimeout(err))
		is.Equal(time.Since(began), frameTimeout)
		_ = conn.Close()
		_ = far.Close()
	})
}
