package tests

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestPlatformStarvedFrontEndsWorkOfGoneBesideStayingCallers guards against servers that go on with the calls of callers
// which have left, as a front with hardly any processor is busy with the callers that stay.
func TestPlatformStarvedFrontEndsWorkOfGoneBesideStayingCallers(t *testing.T) {
	const (
		gap         = 50 * time.Millisecond
		events      = 100
		perSecond   = 200
		lasts       = 7 * time.Second
		staying     = 1500 * time.Millisecond
		run, period = 5 * time.Millisecond, 200 * time.Millisecond
	)
	p := newStarvedSite(t, map[string]time.Duration{"llm-1": gap, "llm-2": gap})
	address := p.fronts["front-1"].address("callers")
	turns := p.fronts["front-1"].pulse(run, period)
	defer turns.stop()
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	var wg sync.WaitGroup
	var leaving []*leavingCaller
	rest := make(chan struct{})
	for i, began := 0, time.Now(); time.Since(began) < lasts; i++ {
		<-ticker.C
		c := newStream(fmt.Sprint("stream-", i), events, gap)
		c.leave = rest
		if i%2 == 0 {
			c.leaveAfter = 600*time.Millisecond + time.Duration(i*37%600)*time.Millisecond
			leaving = append(leaving, c)
		}
		wg.Go(func() { c.run(address) })
	}
	time.AfterFunc(staying, func() { close(rest) })
	wg.Wait()
	p.waitFor("all runs have ended", func() bool { return allEnded(p.runs()) })
	n := countGone(leaving, p.runs(), turns.waited)
	t.Logf("%+v of %d callers that left; %s", n, len(leaving), turns)
	if n.lasting == 0 || !n.allowed() {
		t.Errorf("%+v", n)
	}
}
