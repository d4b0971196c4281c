package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/services/enginemodel"
)

// starting returns a dispatcher that has just started and knows nothing of its servers.
func starting(slots ...int) *Dispatcher {
	d := newDispatcher(slots...)
	d.ForecastByEngine = true
	d.services["llm"].maxGap = 250 * time.Millisecond
	return d
}

// TestStartingEntryUsesEstimates guards against a starting entry that sends long prompts to a slow
// engine until it has learned by its own calls that the streams there pause.
func TestStartingEntryUsesEstimates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := starting(9, 9)
		d.ApplyEngineEstimates(learnEngines(1, 3).EngineEstimates())
		held := fillFirst(d)
		call := acquireAsync(d, requestWithPrompt("call", 12000))
		is.Equal(len(call), 0)
		held[0].Release(Served)
		is.Equal((<-call).Instance.ID, "s0")
	})
}

// TestEstimatesBeforeRecords guards against estimates that are lost because they arrive before the
// record of their server, and against ones that are kept for longer than a minute.
func TestEstimatesBeforeRecords(t *testing.T) {
	for _, wait := range []time.Duration{time.Second, expiredRetention + time.Second} {
		t.Run(wait.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := &Dispatcher{Hall: "a", ForecastByEngine: true}
				list := learnEngines(1).EngineEstimates()
				list[0].AgeMs = 0
				d.ApplyEngineEstimates(list)
				older := list[0]
				older.GapMs, older.AgeMs = 1000, 500
				d.ApplyEngineEstimates([]enginemodel.Estimate{older})
				is.Equal(len(d.earlyEstimates), 1)
				time.Sleep(wait)
				d.pumpAll()
				is.Equal(len(d.earlyEstimates) == 1, wait < expiredRetention)
				d.SetServers(instances(9))
				c := d.services["llm"].common(time.Now())
				is.Equal(c.Known, wait < expiredRetention)
				is.Equal(len(d.earlyEstimates), 0)
				if c.Known {
					is.Equal(c.Gap, 0.02)
				}
			})
		})
	}
}

// TestEstimatesOfManyUnknownServers guards against an entry whose memory grows with the names that
// others send.
func TestEstimatesOfManyUnknownServers(t *testing.T) {
	is := is.New(t)
	d := starting(9)
	for i := range 2 * maxEarlyEstimates {
		d.ApplyEngineEstimates([]enginemodel.Estimate{{Server: fmt.Sprint("unknown", i), GapMs: 20, Samples: 40}})
	}
	is.Equal(len(d.earlyEstimates), maxEarlyEstimates)
}

// TestEstimatesOfOtherIncarnation guards against forecasts of a restarted engine by what was learned
// of its last incarnation.
func TestEstimatesOfOtherIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &Dispatcher{Hall: "a", ForecastByEngine: true}
		one := runworks.Instance{ID: "s0", Service: "llm", Hall: "a", Slots: 9, Generation: 1}
		d.SetServers([]runworks.Instance{one})
		e := enginemodel.Estimate{Server: one.IncarnationID(), GapMs: 20, PerTokenUs: 10, OverheadMs: 50, Samples: 40}
		d.ApplyEngineEstimates([]enginemodel.Estimate{e})
		is.True(d.services["llm"].common(time.Now()).Known)
		one.Generation = 2
		d.SetServers([]runworks.Instance{one})
		d.ApplyEngineEstimates([]enginemodel.Estimate{e})
		is.True(!d.services["llm"].common(time.Now()).Known)
	})
}

// TestChangedEstimatesAreBounded guards against messages that take the bandwidth of a small front:
// unchanged estimates are not sent again, and the rest of many follows in the next message.
func TestChangedEstimatesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slowness := make([]float64, maxChanged+4)
		for i := range slowness {
			slowness[i] = 1
		}
		d := learnEngines(slowness...)
		is.Equal(len(d.EngineEstimates()), maxChanged+4)
		is.Equal(len(d.ChangedEngineEstimates()), maxChanged)
		is.Equal(len(d.ChangedEngineEstimates()), 4)
		is.Equal(len(d.ChangedEngineEstimates()), 0)
		// Services that are not placed by models send nothing.
		d.ForecastByEngine = false
		is.Equal(len(d.EngineEstimates()), 0)
	})
}

// TestEstimatesAreNotPassedOn guards against an estimate that circulates after its engine changed.
func TestEstimatesAreNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := starting(9, 9)
		d.ApplyEngineEstimates(learnEngines(1, 3).EngineEstimates())
		is.Equal(len(d.EngineEstimates()), 0)
		is.Equal(len(d.ChangedEngineEstimates()), 0)
	})
}

// TestLeaseForecast guards against a log that shows forecasts other than those by which calls are
// placed.
func TestLeaseForecast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := learnEngines(1)
		l := <-acquireAsync(d, requestWithPrompt("first", 2000))
		is.Equal(l.Forecast().Round(time.Millisecond), 70*time.Millisecond)
		l = <-acquireAsync(d, requestWithPrompt("second", 2000))
		is.Equal(l.Forecast().Round(time.Millisecond), 90*time.Millisecond)
		d.ForecastByEngine = false
		l = <-acquireAsync(d, requestWithPrompt("third", 2000))
		is.Equal(l.Forecast(), time.Duration(0))
	})
}
