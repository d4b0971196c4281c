package tests

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/runworks/runworks/standin"
)

const (
	// goneBound is within which time of a caller's disconnect its work must end.
	goneBound = 500 * time.Millisecond
	// maxLateArrivals is how many calls may reach a server later than goneBound after their callers left.
	maxLateArrivals = 3
	// maxGoneFraction is the highest fraction of the runs that may go on for goneBound after their callers
	// left, of those that would have lasted so long.
	maxGoneFraction = 0.25
)

// leavingCaller is a caller of one call, which it leaves once leave is closed or leaveAfter has passed
// since the send.
type leavingCaller struct {
	call platformCall
	// lasts is the time for which a server runs the call.
	lasts      time.Duration
	leave      chan struct{}
	leaveAfter time.Duration

	// left is when it left; zero if it did not. complete is set if it received the whole response.
	left     time.Time
	complete bool
}

// newStream returns a caller of a stream whose events come at intervals of gap.
func newStream(id string, events int, gap time.Duration) *leavingCaller {
	target := fmt.Sprintf("/chat/%s?events=%d", id, events)
	return &leavingCaller{call: platformCall{id: id, method: http.MethodPost, target: target, key: "yard-key"}, lasts: time.Duration(events) * gap}
}

// run sends the call to an address and leaves as planned.
func (c *leavingCaller) run(address string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done, gone := make(chan struct{}), make(chan struct{})
	defer func() { <-gone }()
	defer close(done)
	var after <-chan time.Time
	if c.leaveAfter > 0 {
		timer := time.NewTimer(c.leaveAfter)
		defer timer.Stop()
		after = timer.C
	}
	go func() {
		defer close(gone)
		select {
		case <-c.leave:
		case <-after:
		case <-done:
			return
		}
		c.left = time.Now()
		cancel()
	}()
	req, err := c.call.request(ctx, address, 15*time.Second)
	if err != nil {
		return
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	res, err := transport.RoundTrip(req)
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	c.complete = err == nil && res.StatusCode == http.StatusOK
}

// goneCount counts what servers did for callers that had left.
type goneCount struct {
	// wentOn is how many of the runs that would have lasted longer than goneBound after their callers left
	// did so; lateArrivals is how many calls arrived later than that.
	lasting, wentOn, lateArrivals int
	longest                       time.Duration
	ran, served                   int
}

// routedRuns returns the runs of a stand-in for a backend server, which must be running.
func routedRuns(t testing.TB, server *process) []standin.RoutedRun {
	t.Helper()
	var out []standin.RoutedRun
	if !getJSON("http://"+server.address("standin")+"/runs", &out) {
		t.Fatalf("%s: no runs", server.name)
	}
	return out
}

// runs returns the runs of all backend servers of the site.
func (p *platformSite) runs() []standin.RoutedRun {
	p.t.Helper()
	var out []standin.RoutedRun
	for _, server := range p.backends {
		out = append(out, routedRuns(p.t, server)...)
	}
	return out
}

// allEnded reports whether all runs have ended.
func allEnded(runs []standin.RoutedRun) bool {
	return !slices.ContainsFunc(runs, func(run standin.RoutedRun) bool { return run.Ended.IsZero() })
}

// allowed reports whether a front ended the work of callers that had left as it must.
func (n *goneCount) allowed() bool {
	return n.lateArrivals <= maxLateArrivals && float64(n.wentOn) <= maxGoneFraction*float64(n.lasting)
}

// countGone compares callers that have left with what servers ran. The time that waited returns for an interval is
// not counted: the front had no processor in it although it was its turn.
func countGone(callers []*leavingCaller, runs []standin.RoutedRun, waited func(from, to time.Time) time.Duration) goneCount {
	byID := map[string]*leavingCaller{}
	var out goneCount
	for _, c := range callers {
		byID[c.call.id] = c
		if c.complete {
			out.served++
		}
	}
	for _, run := range runs {
		out.ran++
		c := byID[run.ID]
		if c == nil || c.left.IsZero() {
			continue
		}
		since := func(at time.Time) time.Duration { return at.Sub(c.left) - waited(c.left, at) }
		if since(run.Arrived) > goneBound {
			out.lateArrivals++
		}
		if since(run.Began.Add(c.lasts)) <= goneBound {
			continue
		}
		out.lasting++
		if since(run.Ended) > goneBound {
			out.wentOn++
			out.longest = max(out.longest, since(run.Ended))
		}
	}
	return out
}

// TestPlatformStarvedFrontEndsWorkOfGoneCallers guards against servers that go on with the calls of
// callers which have left, as the front gets too little of its processor to learn of it in time.
func TestPlatformStarvedFrontEndsWorkOfGoneCallers(t *testing.T) {
	for _, share := range []struct {
		name        string
		run, period time.Duration
	}{
		{"a twentieth of a core", 10 * time.Millisecond, 200 * time.Millisecond},
		{"a seventh of a core", 20 * time.Millisecond, 140 * time.Millisecond},
	} {
		t.Run(share.name, func(t *testing.T) {
			n := playStarvedFront(t, share.run, share.period)
			if n.lasting == 0 || !n.allowed() {
				t.Errorf("%+v", n)
			}
		})
	}
}

// newStarvedSite returns a site with a front of one thread and servers of the given delays, which have slots for many calls.
func newStarvedSite(t *testing.T, delays map[string]time.Duration) *platformSite {
	t.Helper()
	p := newBarePlatformSite(t)
	p.extraSettings = "cores: 1\n"
	p.putDocument()
	for name, delay := range delays {
		p.addServer(name, "--delay", delay.String())
		record := bytes.Replace(p.record(name, "ready", 0), []byte(`"slots": 8`), []byte(`"slots": 60`), 1)
		p.put("keyed.servers", name, record)
	}
	p.startFront("front-1")
	p.waitReady("front-1", 1)
	return p
}

// playStarvedFront has callers of streams and of plain calls leave one after the other, while their front
// has the processor for run of each period only and receives more calls than it can read.
func playStarvedFront(t *testing.T, run, period time.Duration) goneCount {
	const (
		streams, plain = 80, 20
		gap            = 50 * time.Millisecond
		plainDelay     = 4500 * time.Millisecond
		perSecond      = 400
		leaveEvery     = 30 * time.Millisecond
	)
	p := newStarvedSite(t, map[string]time.Duration{"llm-1": gap, "llm-2": gap, "app-1": plainDelay})
	address := p.fronts["front-1"].address("callers")

	var callers []*leavingCaller
	for i := range streams {
		callers = append(callers, newStream(fmt.Sprint("stream-", i), 200, gap))
	}
	for i := range plain {
		c := platformCall{id: fmt.Sprint("plain-", i), method: http.MethodGet, target: fmt.Sprint("/safe/", i), key: "yard-key"}
		callers = append(callers, &leavingCaller{call: c, lasts: plainDelay})
	}
	var wg sync.WaitGroup
	for _, c := range callers {
		c.leave = make(chan struct{})
		wg.Go(func() { c.run(address) })
	}
	p.waitFor("all calls run", func() bool { return len(p.runs()) == len(callers) })
	turns := p.fronts["front-1"].pulse(run, period)
	defer turns.stop()
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	began := time.Now()
	for left := 0; left < streams+plain; <-ticker.C {
		if time.Since(began) > leaveEvery*time.Duration(left+1) {
			close(callers[left].leave)
			left++
		}
		c := newStream(fmt.Sprint("late-", len(callers)), 100, gap)
		c.leaveAfter = 300*time.Millisecond + leaveEvery*time.Duration(left)
		callers = append(callers, c)
		wg.Go(func() { c.run(address) })
	}
	wg.Wait()
	p.waitFor("all runs have ended", func() bool { return allEnded(p.runs()) })
	n := countGone(callers, p.runs(), turns.waited)
	t.Logf("%+v of %d callers; %s", n, len(callers), turns)
	return n
}
