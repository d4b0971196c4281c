package forward

import (
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// TestOriginThatArrivesBeforeFirstEvent guards against a stream that goes on, or looks complete, at the only version that was known when
// its caller came, though its origin, or another version, has become known before the server has sent anything, and against one that breaks off after a stop in between.
func TestOriginThatArrivesBeforeFirstEvent(t *testing.T) {
	part := event(3) + event(4)
	origin := func(service, version string) func(f *Forwarder) {
		return func(f *Forwarder) {
			f.Origins.Apply(time.Now(), []runworks.StreamOrigin{{Stream: "1", Service: service, Version: version, LeftMs: 60000}})
		}
	}
	listed := func(f *Forwarder) {
		servers := threeServers("s")
		servers[2].Version = "v2"
		f.Dispatcher.SetServers(servers)
		f.Origins.SetServers(time.Now(), servers)
	}
	both := func(f *Forwarder) {
		listed(f)
		origin("app", "v2")(f)
	}
	var stops atomic.Int64
	first, second := reply{body: part, gap: 100 * time.Millisecond}, reply{body: part}
	empty := reply{pause: 100 * time.Millisecond}
	for _, c := range []struct {
		name    string
		learn   func(f *Forwarder)
		replies []reply
		body    string
		sends   int
		err     error
	}{
		{"nothing", func(*Forwarder) {}, []reply{first}, part, 1, nil},
		{"nothing, an empty rest", func(*Forwarder) {}, []reply{empty}, "", 1, nil},
		{"a stop", func(*Forwarder) { stops.Add(1) }, []reply{first}, part, 1, nil},
		{"the same version", origin("app", ""), []reply{first}, part, 1, nil},
		{"another version", both, []reply{first, second}, part, 2, nil},
		{"another version, an empty rest", both, []reply{empty, second}, part, 2, nil},
		{"another version without servers", origin("app", "v2"), []reply{first}, "", 1, runworks.ErrNoServer},
		{"another service", origin("other", ""), []reply{first}, "", 1, runworks.ErrUnknownStream},
		{"one of two versions", listed, []reply{first}, "", 1, runworks.ErrUnknownStream},
		{"one of two versions, an empty rest", listed, []reply{empty}, "", 1, runworks.ErrUnknownStream},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &sender{replies: c.replies}
				f := newForwarder(t, s, io.Discard)
				stops.Store(0)
				f.Origins.Stops, f.Origins.Update = func() int { return int(stops.Load()) }, func(bool) bool { return false }
				time.AfterFunc(50*time.Millisecond, func() { c.learn(f) })
				body, err := serveResumed(t, f)
				is.Equal(body, c.body)
				is.True(errors.Is(err, c.err))
				is.Equal(len(s.sends), c.sends)
				is.True(c.sends == 1 || s.sends[1].To.Version == "v2")
				is.True(idle(f))
			})
		})
	}
}
