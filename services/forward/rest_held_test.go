package forward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/dispatch"
)

// TestRestIsNoMeasureOfHeads guards against a frozen server that gets calls for longer, as the head of a rest counts as one
// that came as late as its stream lasted.
func TestRestIsNoMeasureOfHeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		whole := event(1) + event(2) + event(3) + event(4)
		s := &sender{}
		f := newCompletingForwarder(t, s, io.Discard)
		f.Dispatcher.SetServers(threeServers("s")[:1])
		f.Budgets = &Budgets{Ratio: 1, Slack: 100}
		var frozenAt time.Time
		f.Dispatcher.OnUnresponsive = func(_ runworks.Instance, unresponsive bool) {
			if unresponsive && frozenAt.IsZero() {
				frozenAt = time.Now()
			}
		}
		for range 10 {
			s.replies, s.sends = []reply{{body: whole, closeDelimited: true, gap: 500 * time.Millisecond}, {}}, nil
			_, body, err := serve(t.Context(), f, "resumable")
			is.NoErr(err)
			is.Equal(body, whole)
			is.Equal(len(s.sends), 2)
		}
		began := time.Now()
		is.True(frozenAt.IsZero())
		s.replies, s.sends = []reply{{hang: true}}, nil
		_, _, _ = serve(t.Context(), f, "once")
		if frozenAt.IsZero() {
			t.Fatal("never found")
		}
		is.True(frozenAt.Sub(began) < 1500*time.Millisecond)
	})
}

// TestReusedAddressIsKnownFromTheRest guards against calls to a server whose address another one has, which the answer to
// a request for the rest has shown.
func TestReusedAddressIsKnownFromTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		whole := event(1) + event(2)
		s := &sender{replies: []reply{delimited(whole), moved, good}}
		f := newCompletingForwarder(t, s, io.Discard)
		f.Dispatcher.SetServers(threeServers("s")[:1])
		_, _, err := serve(t.Context(), f, "resumable")
		is.True(err != nil) // its server is gone
		is.Equal(len(s.sends), 2)
		_, _, err = serve(t.Context(), f, "once")
		is.True(err != nil)
		is.Equal(len(s.sends), 2) // nothing else is sent there
	})
}

// TestRejectionOfTheRestIsKnown guards against calls that are sent to a server right after it has said that it is full.
func TestRejectionOfTheRestIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		whole := event(1) + event(2)
		s := &sender{replies: []reply{delimited(whole), rejected, good}}
		f := newCompletingForwarder(t, s, io.Discard)
		f.Dispatcher.SetServers(threeServers("s")[:1])
		_, _, err := serve(t.Context(), f, "resumable")
		is.NoErr(err)
		began := time.Now()
		_, _, err = serve(t.Context(), f, "once")
		is.NoErr(err)
		is.True(time.Since(began) > 0)
	})
}

// TestUnreachableServerIsEjectedByRests guards against a server that refuses connections and counts as one that served.
func TestUnreachableServerIsEjectedByRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		whole := event(1) + event(2)
		s := &sender{}
		f := newCompletingForwarder(t, s, io.Discard)
		f.Dispatcher.SetServers(threeServers("s")[:1])
		ejected := 0
		f.Dispatcher.OnEject = func(runworks.Instance, int, time.Duration) { ejected++ }
		done := make(chan struct{}, 4)
		s.replies = []reply{{body: whole, closeDelimited: true, pause: time.Second}, {body: whole, closeDelimited: true, pause: time.Second}, {body: whole, closeDelimited: true, pause: time.Second}, {body: whole, closeDelimited: true, pause: time.Second}, unreachable}
		for range 4 {
			go func() {
				_, _, _ = serve(t.Context(), f, "resumable")
				done <- struct{}{}
			}()
			synctest.Wait()
		}
		for range 4 {
			<-done
		}
		is.True(ejected > 0)
	})
}

// TestSilentRestIsNoFrozenServer guards against a server that gets no calls as it is silent about the rest of a stream
// whose end came late.
func TestSilentRestIsNoFrozenServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{{body: event(1), closeDelimited: true, pause: 600 * time.Millisecond}, {hang: true}}}
		f := newCompletingForwarder(t, s, io.Discard)
		f.Dispatcher.SetServers(threeServers("s")[:1])
		frozen := 0
		f.Dispatcher.OnUnresponsive = func(_ runworks.Instance, unresponsive bool) {
			if unresponsive {
				frozen++
			}
		}
		_, _, err := serve(t.Context(), f, "resumable")
		is.NoErr(err)
		is.Equal(len(s.sends), 2)
		is.Equal(frozen, 0)
	})
}

// TestRestElsewhereDelaysNoEnd guards against the end of a whole stream that waits for a slot of another server, and calls
// that are refused as that request waits before them.
func TestRestElsewhereDelaysNoEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		whole := event(1) + event(2)
		s := &sender{replies: []reply{{body: event(1), closeDelimited: true, pause: 4 * time.Second}, {body: whole, closeDelimited: true, pause: time.Second}, delimited("")}}
		f := newCompletingForwarder(t, s, io.Discard)
		servers := threeServers("s")[:2]
		servers[0].Slots, servers[1].Slots = 1, 1
		f.Dispatcher.SetServers(servers)
		go func() { _, _, _ = serve(t.Context(), f, "stream") }()
		synctest.Wait()
		var ended time.Duration
		done := make(chan struct{})
		began := time.Now()
		go func() {
			in := &runworks.Inbound{ID: "ends", Method: http.MethodPost, Host: "h", Path: "/resumable/x", Target: "/resumable/x", Received: time.Now()}
			res, err := f.Serve(t.Context(), in)
			is.NoErr(err)
			_, err = io.ReadAll(res.Body)
			is.NoErr(err)
			is.NoErr(res.Body.Close())
			ended = time.Since(began)
			close(done)
		}()
		time.Sleep(1200 * time.Millisecond)
		synctest.Wait()
		waiting := f.Dispatcher.WaitingCalls()["app"]
		<-done
		is.True(ended < 1200*time.Millisecond)
		is.Equal(waiting, 0)
	})
}

// TestRestIsNoLateEvent guards against a server, and a version in roll-out, that counts as slow as the time in which the
// end of a stream was settled counts as a pause of it.
func TestRestIsNoLateEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		whole := event(1) + event(2)
		s := &sender{replies: []reply{{body: whole, closeDelimited: true, gap: 10 * time.Millisecond, pause: 10 * time.Millisecond}, {body: event(3) + event(4), gap: 400 * time.Millisecond}}}
		f := newCompletingForwarder(t, s, io.Discard)
		f.Dispatcher.SetServers(threeServers("s")[:1])
		var answers []dispatch.Answer
		f.Dispatcher.SetGate(&dispatch.Gate{
			Allows: func(*runworks.Instance, bool) bool { return true }, Arrived: func(string) {}, Placed: func(*runworks.Instance) {},
			Ended: func(_ *runworks.Instance, a *dispatch.Answer) { answers = append(answers, *a) },
		})
		_, _, err := serve(t.Context(), f, "resumable")
		is.NoErr(err)
		is.Equal(len(answers), 1)
		is.Equal(answers[0].MeanGap, 205*time.Millisecond) // of 10 ms and 400 ms, without the 400 ms before event 3
	})
}

// TestLateEndIsAskedForAtItsServer guards against a cut stream that looks complete as its server, which had sent nothing for a
// second before the cut, is not asked for the rest.
func TestLateEndIsAskedForAtItsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{{body: event(1), closeDelimited: true, pause: 1050 * time.Millisecond}, {body: event(2)}}}
		f := newCompletingForwarder(t, s, io.Discard)
		f.Dispatcher.SetServers(threeServers("s")[:1])
		_, body, err := serve(t.Context(), f, "resumable")
		is.NoErr(err)
		is.Equal(body, event(1)+event(2))
	})
}

// TestRestIsAskedForBesideOtherFailures guards against a cut stream that looks complete as its server, which has rejected or
// refused another call just before, is not asked for the rest.
func TestRestIsAskedForBesideOtherFailures(t *testing.T) {
	for name, other := range map[string]reply{"full": rejected, "ejected": unreachable} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &sender{replies: []reply{{body: event(1), closeDelimited: true, pause: 500 * time.Millisecond}, other, {body: event(2)}}}
				f := newCompletingForwarder(t, s, io.Discard)
				f.Dispatcher.SetServers(threeServers("s")[:1])
				time.AfterFunc(490*time.Millisecond, func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
					defer cancel()
					_, _, _ = serve(ctx, f, "once")
				})
				_, body, err := serve(t.Context(), f, "resumable")
				is.NoErr(err)
				is.Equal(body, event(1)+event(2))
			})
		})
	}
}

// TestRestAnsweredByAnotherServerShowsACut guards against a cut stream that looks complete although the answer to the request
// for its rest shows that its server was replaced.
func TestRestAnsweredByAnotherServerShowsACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{delimited(event(1)), moved}}
		f := newCompletingForwarder(t, s, io.Discard)
		f.Dispatcher.SetServers(threeServers("s")[:1])
		_, _, err := serve(t.Context(), f, "resumable")
		is.True(err != nil)
	})
}
