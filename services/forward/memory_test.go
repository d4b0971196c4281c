package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// TestHeldAnswersAreBounded checks that whole answers that their callers have not read hold no more
// than the limit: further ones are passed on as they are read, and all arrive complete.
func TestHeldAnswersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		answer := strings.Repeat("y", 100<<10)
		// A server that takes no time at all would have no capacity by its mean duration.
		s := &sender{replies: []reply{{body: answer}}, connected: func(runworks.Instance) { time.Sleep(time.Millisecond) }}
		f := newForwarder(t, s, io.Discard)
		servers := threeServers("s")
		for i := range servers {
			servers[i].Slots = 100
		}
		f.Dispatcher.SetServers(servers)
		f.Memory.Limit = 1 << 20
		var open []io.ReadCloser
		for range 100 {
			in := &runworks.Inbound{ID: "1", Method: http.MethodPost, Host: "h", Path: "/safe/x", Target: "/safe/x", Received: time.Now()}
			res, err := f.Serve(context.Background(), in)
			is.NoErr(err)
			is.True(f.Memory.Held() <= f.Memory.Limit)
			open = append(open, res.Body)
		}
		is.True(f.Memory.Held() > f.Memory.Limit/2)
		for _, one := range open {
			data, err := io.ReadAll(one)
			is.NoErr(err)
			is.Equal(string(data), answer)
			is.NoErr(one.Close())
		}
		is.Equal(f.Memory.Held(), int64(0))
	})
}

// TestMemoryIsReleased checks that no memory stays reserved after calls that end in different ways.
func TestMemoryIsReleased(t *testing.T) {
	long := reply{body: strings.Repeat("y", 2*maxBufferedBody)}
	for _, replies := range [][]reply{{good}, {truncated, good}, {failed, good}, {failed, failed}, {long}, {{body: long.body, broken: errReset}}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder(t, &sender{replies: replies}, io.Discard)
			_, _, _ = serve(context.Background(), f, "safe")
			is.Equal(f.Memory.Held(), int64(0))
		})
	}
}

// TestLongEventsAreBounded checks that the buffers of streams with long events count as held memory,
// and that a stream ends where the limit does not allow its event.
func TestLongEventsAreBounded(t *testing.T) {
	event := "data: " + strings.Repeat("z", 2*freeBuffers) + "\n\n"
	for _, fits := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder(t, &sender{replies: []reply{{body: event}}}, io.Discard)
			f.Memory.Limit = 1 << 20
			f.Dispatcher.SetServers(threeServers("s")[:1])
			f.Dispatcher.OnEject = func(runworks.Instance, int, time.Duration) { t.Error("a server was ejected") }
			if !fits {
				f.Memory.held.Store(f.Memory.Limit)
			}
			_, body, err := serve(context.Background(), f, "stream")
			if fits {
				is.NoErr(err)
				is.Equal(body, event)
				is.Equal(f.Memory.Held(), int64(0))
				return
			}
			is.True(errors.Is(err, runworks.ErrMemory))
			_, _, err = serve(context.Background(), f, "stream") // two failures would eject the server
			is.True(errors.Is(err, runworks.ErrMemory))
			is.Equal(f.Memory.Held(), f.Memory.Limit)
		})
	}
}

// TestFailurePassedOnWithoutMemory checks that a server's error counts against the server, also if
// there was no memory to read the response whole.
func TestFailurePassedOnWithoutMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out strings.Builder
		f := newForwarder(t, &sender{replies: []reply{failed}}, &out)
		f.Memory.Limit = 1
		res, body, err := serve(context.Background(), f, "once")
		is.NoErr(err)
		is.Equal(res.Status, failed.status)
		is.Equal(body, failed.body)
		is.True(strings.Contains(out.String(), `"outcome":"failed"`))
	})
}
