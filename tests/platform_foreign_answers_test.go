package tests

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/runworks/runworks/standin"
)

const (
	// foreignAnswers is the number of calls without events that foreign callers send, and foreignHalf the time before each
	// half of a response.
	foreignAnswers = 48
	foreignHalf    = 300 * time.Millisecond
)

// TestPlatformForeignAnswersLookCompleteTooEarly guards against responses without events that look complete though their
// server of HTTP/1.0 ended halfway, and against calls that ran twice or are said not to have run.
func TestPlatformForeignAnswersLookCompleteTooEarly(t *testing.T) {
	for name, event := range map[string]func(p *foreignSite){
		"killed": (*foreignSite).killServer, "ends at SIGTERM": (*foreignSite).endServer,
		"frozen and killed": (*foreignSite).freezeServer, "killed and started again": (*foreignSite).restartServer,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newForeignSite(t, foreignForm{service: "app", http10: true, completeAtClose: true, event: event})
			p.playAnswers()
		})
	}
}

// playAnswers sends all calls, has a server end while it is halfway through some, and checks the responses.
func (p *foreignSite) playAnswers() {
	last := p.form.server(2)
	ending := p.backends[last]
	calls := make([]*soakCall, foreignAnswers)
	var wg sync.WaitGroup
	for i := range calls {
		c := &soakCall{repeatable: i%2 == 0, timeout: foreignTimeout}
		c.platformCall = platformCall{id: fmt.Sprint("a", i), method: http.MethodPost, key: "yard-key", body: []byte("x")}
		c.target = fmt.Sprint([]string{"/safe/", "/once/"}[i%2], i)
		c.address = p.fronts[fmt.Sprint("front-", 1+i/2%2)].address("callers")
		calls[i] = c
		wg.Go(func() {
			p.wait(time.Duration(i) * foreignGap)
			c.send(&foreignCaller{old: i%8 >= 4})
		})
	}
	p.waitFor(last+" is halfway through a response", func() bool {
		return slices.ContainsFunc(routedRuns(p.t, ending), func(run standin.RoutedRun) bool { return !run.Halved.IsZero() && run.Ended.IsZero() })
	})
	p.form.event(p)
	wg.Wait()
	ending.waitExit()
	runs := map[string][]string{}
	for _, of := range slices.Compact([]*process{p.backends[p.form.server(1)], ending, p.backends[last]}) {
		for _, line := range ranLines(of.outputText()) {
			id := runID(line)
			runs[id] = append(runs[id], line+soakRanAt+of.name)
		}
	}
	checks, outcomes, cut := &soak{platformSite: p.platformSite, keys: map[string]bool{}}, map[string]int{}, 0
	for _, c := range calls {
		checks.checkRuns(c, runs[c.id])
		checks.checkStatus(c, runs[c.id])
		checks.checkAnswer(c)
		outcomes[c.outcome()]++
		if len(runs[c.id]) > 0 && (c.status != http.StatusOK || c.err != nil || len(runs[c.id]) > 1) {
			cut++
		}
	}
	p.t.Logf("%d calls: %v, %d of them cut", len(calls), outcomes, cut)
	if outcomes["200"] == 0 || cut == 0 {
		p.t.Error("no call was served, or none was cut")
	}
}
