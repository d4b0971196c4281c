package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// learnEngines returns a dispatcher that places by the models of its engines. For each slowness it has
// a server with nine slots that takes 20 ms times its slowness between events and, times its slowness,
// 50 ms and 10 ms for each 1,000 tokens to the first event.
func learnEngines(slowness ...float64) *Dispatcher {
	var slots []int
	for range slowness {
		slots = append(slots, 9)
	}
	d := newDispatcher(slots...)
	d.ForecastByEngine = true
	d.services["llm"].maxGap = 250 * time.Millisecond
	for i := range 40 {
		for j, slow := range slowness {
			one := d.servers[fmt.Sprint("s", j)]
			one.unread.since = time.Now().Add(-time.Second)
			l := &Lease{Instance: one.Instance, dispatcher: d, server: one, service: "llm", began: time.Now()}
			l.RecordEventGap(time.Duration(20 * slow * float64(time.Millisecond)))
			tokens := 100 * (i + 1)
			l.began = time.Now().Add(-time.Duration(slow * float64(50*time.Millisecond+time.Duration(tokens)*10*time.Microsecond)))
			l.RecordFirstEvent(tokens)
		}
	}
	return d
}

// fillFirst takes all slots of s0 with calls whose prompts are read.
func fillFirst(d *Dispatcher) []*Lease {
	var held []*Lease
	for i := range d.servers["s0"].Slots {
		call := requestWithPrompt(fmt.Sprint("held", i), 100)
		call.Exclude = []string{"s1"}
		l := <-acquireAsync(d, call)
		l.RecordFirstEvent(0)
		held = append(held, l)
	}
	return held
}

// TestLongPromptBesideUnreadPrompts guards against streams of a slow server that pause for longer than
// callers allow because a prompt joins others that are not read yet. Without those it may go there.
func TestLongPromptBesideUnreadPrompts(t *testing.T) {
	for _, reader := range []string{"own", "peer", "none"} {
		t.Run(reader, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := learnEngines(1, 3)
				held := fillFirst(d)
				switch reader {
				case "own":
					is.Equal((<-acquireAsync(d, requestWithPrompt("ahead", 4000))).Instance.ID, "s1")
				case "peer":
					d.SetPeerLoad("other", runworks.EntryLoad{UnreadPromptTokens: map[string]int{"s1": 4000}})
				}
				call := acquireAsync(d, requestWithPrompt("call", 4000))
				if reader == "none" {
					is.Equal((<-call).Instance.ID, "s1")
					return
				}
				is.Equal(len(call), 0)
				is.Equal((<-acquireAsync(d, requestWithPrompt("short", 500))).Instance.ID, "s1")
				held[0].Release(Served)
				is.Equal((<-call).Instance.ID, "s0")
			})
		})
	}
}

// TestForecastRefusesNothing guards against calls that end without having run because the forecast
// allows no server: they start shortly before it is too late, also where prompts are never read.
func TestForecastRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := learnEngines(3)
		d.SetPeerLoad("other", runworks.EntryLoad{UnreadPromptTokens: map[string]int{"s0": 100000}})
		call := requestWithPrompt("call", 4000)
		call.ExpectedTokens = 1 << 20
		call.Target = time.Now().Add(time.Second)
		call.CallerTimeout, call.Deadline = time.Now().Add(4*time.Second), time.Now().Add(15*time.Second)
		got := acquireAsync(d, call)
		time.Sleep(time.Until(call.lastStart()) - lastResort - time.Millisecond)
		d.pumpAll()
		synctest.Wait()
		is.Equal(len(got), 0)
		time.Sleep(recheckInterval)
		d.pumpAll()
		is.Equal((<-got).Instance.ID, "s0")
	})
}

// TestLongPromptWhereNoneIsFastEnough guards against a prompt that waits to the last moment because
// every server pauses too long for it: it goes to one that comes close to the best, not to a slow one.
func TestLongPromptWhereNoneIsFastEnough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := learnEngines(1, 3)
		held := fillFirst(d)
		call := acquireAsync(d, requestWithPrompt("call", 60000))
		is.Equal(len(call), 0)
		held[0].Release(Served)
		is.Equal((<-call).Instance.ID, "s0")
	})
}

// TestNothingKnownOfEngines guards against an entry that has just started and holds calls back by
// forecasts without a basis: it places them as one without models does.
func TestNothingKnownOfEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatcher(1, 1)
		d.ForecastByEngine = true
		for i := range 2 {
			call := requestWithPrompt(fmt.Sprint(i), 60000)
			call.ExpectedTokens = 1 << 20
			is.True(<-acquireAsync(d, call) != nil)
		}
	})
}

// TestLongPromptAfterSpeedChange guards against streams that pause because an engine that was fast
// became 2.5 times slower two gaps of each stream ago.
func TestLongPromptAfterSpeedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := learnEngines(1, 1)
		held := fillFirst(d)
		is.Equal((<-acquireAsync(d, requestWithPrompt("before", 12000))).Instance.ID, "s1")
		d.servers["s1"].ownUnread, d.servers["s1"].unread = 0, unreadState{since: time.Now().Add(-time.Second)}
		changed := &Lease{dispatcher: d, server: d.servers["s1"], service: "llm"}
		for range 20 {
			changed.RecordEventGap(50 * time.Millisecond)
		}
		call := acquireAsync(d, requestWithPrompt("call", 12000))
		is.Equal(len(call), 0)
		held[0].Release(Served)
		is.Equal((<-call).Instance.ID, "s0")
	})
}

// TestLongAnswerBeforeDeadline guards against answers that run to their deadline on a slow server and
// are cut off there.
func TestLongAnswerBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := learnEngines(1, 3)
		d.services["llm"].tokensPerEvent = 6
		held := fillFirst(d)
		call := requestWithPrompt("call", 500)
		call.ExpectedTokens = 6 * 150 // 150 events: 3 s on s0, 9 s on s1
		call.Deadline = time.Now().Add(10 * time.Second)
		waits := acquireAsync(d, call)
		is.Equal(len(waits), 0)
		held[0].Release(Served)
		is.Equal((<-waits).Instance.ID, "s0")
	})
}

// TestReportedSlownessOfUnknownEngine guards against a long prompt at an engine that reports that it is
// slow and of which nothing else is known.
func TestReportedSlownessOfUnknownEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := learnEngines(1)
		d.ForecastByEngine = false
		d.SetServers(instances(9, 9))
		for i, slowness := range []float64{1, 3} {
			l := &Lease{dispatcher: d, server: d.servers[fmt.Sprint("s", i)], service: "llm"}
			l.ApplyReport(&runworks.ServerReport{Load: &runworks.ServerLoad{Slowness: slowness}}, time.Now())
		}
		held := fillFirst(d)
		call := acquireAsync(d, requestWithPrompt("call", 12000))
		is.Equal(len(call), 0)
		held[0].Release(Served)
		is.Equal((<-call).Instance.ID, "s0")
	})
}

// TestModelOfGrantedCalls guards against an entry that grants slots for others and knows nothing of its
// engines because the calls run at those entries: it learns from what they report, and numbers that
// can't be change nothing.
func TestModelOfGrantedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := starting(9, 9)
		for i := range 40 {
			for j, slow := range []time.Duration{1, 3} {
				one := d.servers[fmt.Sprint("s", j)]
				one.unread.since = time.Now().Add(-time.Second)
				l := &Lease{dispatcher: d, server: one, service: "llm", entry: "other"}
				l.RecordRemoteGaps(5, slow*100*time.Millisecond, 0)
				tokens := 100 * (i + 1)
				l.RecordRemoteFirstEvent(tokens, slow*(50*time.Millisecond+time.Duration(tokens)*10*time.Microsecond))
				l.RecordRemoteGaps(1, 100*time.Hour, 1)
				l.RecordRemoteFirstEvent(tokens, -time.Hour)
				l.RecordRemoteFirstEvent(tokens, 100*time.Hour)
			}
		}
		held := fillFirst(d)
		call := acquireAsync(d, requestWithPrompt("call", 12000))
		is.Equal(len(call), 0)
		held[0].Release(Served)
		is.Equal((<-call).Instance.ID, "s0")
		f := d.forecast(time.Now(), d.services["llm"])
		is.Equal(f.common.Gap, 0.02)
		slow := d.servers["s1"].rates
		is.True(slow.Gap > 0.055 && slow.Gap < 0.065)
		is.True(slow.FirstEvent(1000) > 0.17 && slow.FirstEvent(1000) < 0.19) // 3 * (50 + 10) ms
	})
}

// TestWithoutReportsAsBefore guards against a change of placement in services that neither share
// scheduling nor report how long work takes: only the call's own prompt counts there.
func TestWithoutReportsAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := learnEngines(1, 3)
		d.ForecastByEngine = false
		fillFirst(d)
		is.Equal((<-acquireAsync(d, requestWithPrompt("ahead", 4000))).Instance.ID, "s1")
		is.Equal((<-acquireAsync(d, requestWithPrompt("call", 4000))).Instance.ID, "s1")
	})
}

// BenchmarkChoose measures the choice of a server among 44, without and with models, where ten calls
// are placed in one pass over the queue.
func BenchmarkChoose(b *testing.B) {
	for _, by := range []bool{false, true} {
		b.Run(fmt.Sprint(by), func(b *testing.B) {
			slow := make([]float64, 44)
			for i := range slow {
				slow[i] = loadSpeeds[i%3]
			}
			d := learnEngines(slow...)
			d.ForecastByEngine = by
			s := d.services["llm"]
			s.tokensPerEvent = 6
			for _, one := range s.servers {
				one.ownUnread = 6000
			}
			req := requestWithPrompt("x", 20000)
			req.ExpectedTokens = 600
			now := time.Now()
			w := &waiter{req: req, feasible: true}
			open := s.available(now)
			b.ResetTimer()
			f := d.forecast(now, s)
			for i := range b.N {
				if i%10 == 0 {
					f = d.forecast(now, s)
				}
				d.choose(now, s, f, open, w)
			}
		})
	}
}
