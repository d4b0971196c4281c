package dispatch

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// TestPrefillModel fits a line to samples on it, and returns no result for too few samples.
func TestPrefillModel(t *testing.T) {
	is := is.New(t)
	var r prefillModel
	for i := range 2 * minPrefillSamples {
		_, _, ok := r.fit()
		is.True(!ok || i >= minPrefillSamples)
		tokens := float64(100 * (i + 1))
		r.add(tokens, 0.05+tokens*0.0001)
	}
	start, perToken, ok := r.fit()
	is.True(ok)
	is.True(math.Abs(start-0.05) < 1e-9)
	is.True(math.Abs(perToken-0.0001) < 1e-9)
}

// heterogeneous returns a dispatcher with two servers: s0 takes 20 ms between events, s1 four
// times as long; the fastest takes 50 ms for a prompt and 10 ms more for each 1,000 tokens.
func heterogeneous() *Dispatcher {
	d := newDispatcher(9, 9)
	for i := range 2 * minPrefillSamples {
		for _, one := range []struct {
			id   string
			slow int
		}{{"s0", 1}, {"s1", 4}} {
			l := &Lease{Instance: runworks.Instance{ID: one.id}, dispatcher: d, server: d.servers[one.id], service: "llm", began: time.Now()}
			l.RecordEventGap(time.Duration(20*one.slow) * time.Millisecond)
			tokens := 100 * (i + 1)
			l.began = time.Now().Add(-time.Duration(one.slow) * (50*time.Millisecond + time.Duration(tokens)*10*time.Microsecond))
			l.RecordFirstEvent(tokens)
		}
	}
	return d
}

// requestWithPrompt returns a request with a prompt of the given number of tokens.
func requestWithPrompt(id string, tokens int) *Request {
	a := newRequest(id, 0)
	a.PromptTokens, a.MaxGap = tokens, 250*time.Millisecond
	return a
}

// TestLongPromptsAvoidSlowServers lets long prompts wait for the busier fast server, as all
// streams of the slow one would exceed their gaps meanwhile. A short prompt goes to the latter.
func TestLongPromptsAvoidSlowServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := heterogeneous()
		var held []*Lease
		for i := range 9 {
			l := <-acquireAsync(d, requestWithPrompt(fmt.Sprint("long", i), 6000))
			is.Equal(l.Instance.ID, "s0")
			l.RecordFirstEvent(0)
			held = append(held, l)
		}
		waits := acquireAsync(d, requestWithPrompt("waits", 6000))
		is.Equal(len(waits), 0)
		is.Equal((<-acquireAsync(d, requestWithPrompt("short", 500))).Instance.ID, "s1")
		held[0].Release(Served)
		is.Equal((<-waits).Instance.ID, "s0")
	})
}

// TestUnreadPromptsDelay sends a call to another server than the one that is reading a long
// prompt for another entry, until that prompt is read.
func TestUnreadPromptsDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(9, 9)
		for i := range 2 * minPrefillSamples {
			l := &Lease{dispatcher: d, server: d.servers["s0"], service: "llm", began: time.Now()}
			tokens := 100 * (i + 1)
			l.began = time.Now().Add(-50*time.Millisecond - time.Duration(tokens)*10*time.Microsecond)
			l.RecordFirstEvent(tokens)
		}
		first := <-acquireAsync(d, requestWithPrompt("first", 500))
		first.Release(Served)
		reads := runworks.EntryLoad{UnreadPromptTokens: map[string]int{first.Instance.ID: 60000}}
		d.SetPeerLoad("other", reads)
		is.True((<-acquireAsync(d, requestWithPrompt("second", 500))).Instance.ID != first.Instance.ID)
		d.SetPeerLoad("other", runworks.EntryLoad{})
		is.Equal((<-acquireAsync(d, requestWithPrompt("third", 500))).Instance.ID, first.Instance.ID)
	})
}

// TestUnreadPromptsAreReported reports a long prompt to the other entries until it is read.
func TestUnreadPromptsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(9)
		l := <-acquireAsync(d, requestWithPrompt("long", minUnreadReported))
		is.Equal(d.LocalLoad().UnreadPromptTokens, map[string]int{"s0": minUnreadReported})
		l.RecordFirstEvent(minUnreadReported)
		is.Equal(len(d.LocalLoad().UnreadPromptTokens), 0)
		l.Release(Served)
		left := <-acquireAsync(d, requestWithPrompt("left", minUnreadReported))
		left.Release(Abandoned)
		is.Equal(len(d.LocalLoad().UnreadPromptTokens), 0)
	})
}

// TestStallsAreAvoided lets a long answer wait for a server without stalls if it can, and sends
// a short one to the server with them.
func TestStallsAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(1, 9)
		quick := <-acquireAsync(d, requestWithPrompt("quick", 500))
		for quick.Instance.ID != "s0" {
			quick = <-acquireAsync(d, requestWithPrompt("again"+quick.Instance.ID, 500))
		}
		quick.RecordLength(60, 10)
		paused := &Lease{dispatcher: d, server: d.servers["s1"], service: "llm"}
		for range 100 {
			paused.RecordEventGap(400 * time.Millisecond)
		}
		long := requestWithPrompt("long", 500)
		long.ExpectedTokens = 600
		waits := acquireAsync(d, long)
		is.Equal(len(waits), 0)
		short := requestWithPrompt("short", 500)
		is.Equal((<-acquireAsync(d, short)).Instance.ID, "s1")
		quick.Release(Served)
		is.Equal((<-waits).Instance.ID, "s0")
	})
}

// TestCallsWaitForServersThatMeetTarget does not send a call that could have met its target to
// a server where it will miss it, even if no server can meet it any more. Once the call is
// late, it may go anywhere.
func TestCallsWaitForServersThatMeetTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := heterogeneous()
		for i := range 9 {
			l := <-acquireAsync(d, requestWithPrompt(fmt.Sprint("long", i), 6000))
			is.Equal(l.Instance.ID, "s0")
			l.RecordFirstEvent(0)
		}
		call := requestWithPrompt("call", 500)
		call.Target = time.Now().Add(150 * time.Millisecond)
		waits := acquireAsync(d, call)
		time.Sleep(140 * time.Millisecond)
		d.pumpAll()
		synctest.Wait()
		is.Equal(len(waits), 0)
		time.Sleep(10 * time.Millisecond)
		is.Equal((<-waits).Instance.ID, "s1")
	})
}
