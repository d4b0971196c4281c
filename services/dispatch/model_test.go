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

// TestPrefillModel finds the line behind what was seen, and says nothing on too little.
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

// heterogeneous gives a dispatcher that has seen two servers: s0 takes 20 ms between events, s1
// four times as long; a prompt takes the fastest 50 ms and 10 ms for 1,000 tokens.
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

// requestWithPrompt is a call with a prompt of so many tokens.
func requestWithPrompt(id string, tokens int) *Request {
	a := newRequest(id, 0)
	a.PromptTokens, a.MaxGap = tokens, 250*time.Millisecond
	return a
}

// TestLongPromptsAvoidSlowServers sends a long prompt to the busier fast server, as the
// slow one would pause for all its streams, and lets it wait for it; a short one it takes.
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

// TestUnreadPromptsDelay sends a call to another server than the one that reads a long
// prompt for another entry, until that is read.
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

// TestUnreadPromptsAreReported tells the other entries of a long prompt until it is read.
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

// TestStallsAreAvoided lets a long answer wait for a server without pauses, where it
// can, and sends a short one to the server with them.
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

// TestCallsWaitForServersThatMeetTarget lets a call that could have met its target not go to a
// server at which it will miss it, also when no server can let it meet it any more, and
// gives it any as soon as it is late.
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
