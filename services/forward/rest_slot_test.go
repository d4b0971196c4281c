package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/dispatch"
)

// TestRestIsAskedForBeforeWaitingCalls guards against streams whose end can't be settled, and calls that are refused, as
// requests for the rest wait for slots among calls.
func TestRestIsAskedForBeforeWaitingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		whole := event(1) + event(2)
		s := &sender{replies: []reply{{body: whole, closeDelimited: true, pause: time.Second}, {}, {body: whole}}}
		f := newCompletingForwarder(t, s, io.Discard)
		servers := threeServers("s")[:1]
		servers[0].Slots = 1
		f.Dispatcher.SetServers(servers)
		bodies := make(chan string, 2)
		for _, id := range []runworks.RequestID{"ends", "waits"} {
			go func() {
				in := &runworks.Inbound{ID: id, Method: http.MethodPost, Host: "h", Path: "/resumable/x", Target: "/resumable/x", Received: time.Now()}
				res, err := f.Serve(t.Context(), in)
				is.NoErr(err)
				data, err := io.ReadAll(res.Body)
				is.NoErr(err)
				is.NoErr(res.Body.Close())
				bodies <- string(data)
			}()
			synctest.Wait()
		}
		is.Equal(<-bodies, whole)
		is.Equal(<-bodies, whole)
		var ids []runworks.RequestID
		for _, send := range s.sends {
			ids = append(ids, send.Inbound.ID)
		}
		is.Equal(ids, []runworks.RequestID{"ends", "ends", "waits"})
		is.Equal(counted(t, f), map[string]int{endProven: 1})
		is.True(idle(f))
	})
}

// TestRestsInTheSameSlotEndIt guards against a slot that is never released, or twice, over several requests for rests.
func TestRestsInTheSameSlotEndIt(t *testing.T) {
	one, two := delimited(event(1)), delimited(event(2))
	for name, replies := range map[string][]reply{
		"cut, cut, empty":             {one, two, {}},
		"cut, cut, empty, unframed":   {one, two, delimited("")},
		"cut, breaks":                 {one, {body: event(2), broken: errReset}, {}},
		"cut, breaks inside an event": {one, {body: event(2) + "id: 3\nda", broken: errReset}, {body: event(3)}},
		"cut, out of order":           {one, {body: event(3) + event(2)}, {}},
		"cut, begins again":           {one, {body: event(1)}, {}},
		"cut, cut, silent":            {one, two, {hang: true}},
		"cut, cut, silent head":       {one, two, {pause: 4 * time.Second}},
		"cut, empty, events":          {one, delimited(""), two, {}},
		"cut, empty, cut, empty":      {one, delimited(""), two, delimited("")},
		"cut, rejected, cut, empty":   {one, rejected, two, {}},
		"cut, lost, cut, lost":        {one, lost, two, lost},
		"cut, moved, events":          {one, moved, two, {}},
		"cut, no stream, events":      {one, {body: "{}", contentType: "application/json"}, two, {}},
		"cut, 204, empty":             {one, {status: http.StatusNoContent}, {}},
	} {
		for _, servers := range []int{1, 2, 3} {
			for _, leaves := range []time.Duration{0, 1, 300 * time.Millisecond} {
				t.Run(fmt.Sprint(name, " ", servers, " ", leaves), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						s := &sender{replies: replies}
						f := newCompletingForwarder(t, s, io.Discard)
						f.Dispatcher.SetServers(threeServers("s")[:servers])
						placed, ended := 0, 0
						f.Dispatcher.SetGate(&dispatch.Gate{
							Allows: func(*runworks.Instance, bool) bool { return true }, Arrived: func(string) {}, Placed: func(*runworks.Instance) { placed++ },
							Ended: func(*runworks.Instance, *dispatch.Answer) { ended++ },
						})
						ctx, cancel := context.WithCancel(t.Context())
						defer cancel()
						if leaves > 0 {
							time.AfterFunc(leaves, cancel)
						}
						_, _, _ = serve(ctx, f, "resumable")
						is.Equal(placed, ended)
						for _, one := range f.Dispatcher.ServerStatuses() {
							is.Equal(one.OwnCalls, 0)
						}
						is.Equal(f.Active(), int64(0))
					})
				})
			}
		}
	}
}
