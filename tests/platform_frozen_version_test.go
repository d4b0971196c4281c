package tests

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestPlatformFrozenFrontGuessesVersion guards against a front that was frozen while a version appeared, and continues streams
// of it at the one that it knew before.
func TestPlatformFrozenFrontGuessesVersion(t *testing.T) {
	for _, one := range []struct {
		name   string
		lasts  time.Duration
		killed bool
	}{
		{"briefly", 0, false},
		{"briefly, the other front is killed", 0, true},
		{"for long", overlapFreezeLong, false},
		{"for long, the other front is killed", overlapFreezeLong, true},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			p := newOverlapSite(t, overlapForm{fronts: 2})
			p.startUnlisted("v2", "llm-3", "llm-4")
			p.fronts["front-2"].signal(syscall.SIGSTOP)
			frozen := time.Now()
			p.listStarted("v2", "llm-3", "llm-4")
			const streams = 16
			lines := p.beginLines(streams)
			if one.killed {
				p.fronts["front-1"].signal(syscall.SIGKILL)
			}
			p.wait(one.lasts - time.Since(frozen))
			p.resumeLines(lines, "front-2", func() { p.fronts["front-2"].signal(syscall.SIGCONT) })
			statuses := p.checkLines(lines)
			if statuses[http.StatusOK] < streams/2 {
				t.Error("too many streams were refused")
			}
			t.Logf("%s: frozen for %v: statuses %v", one.name, time.Since(frozen), statuses)
		})
	}
}

// TestPlatformCutFrontsGuessVersion guards against fronts that are cut off from the store and from other fronts while a version
// appears, alone or together, and continue streams of it at the one that they knew before: they may not have noticed the cut yet.
func TestPlatformCutFrontsGuessVersion(t *testing.T) {
	for _, one := range []struct {
		cut   []string
		after time.Duration
		// ci is set if CI plays it.
		ci bool
	}{
		{[]string{"front-2"}, 700 * time.Millisecond, true},
		{[]string{"front-2"}, 2 * time.Second, false},
		{[]string{"front-2"}, 9 * time.Second, false},
		{[]string{"front-2", "front-3"}, 700 * time.Millisecond, false},
		{[]string{"front-2", "front-3"}, 2 * time.Second, true},
		{[]string{"front-2", "front-3"}, 4 * time.Second, false},
		{[]string{"front-2", "front-3"}, 9 * time.Second, true},
	} {
		if !one.ci && !*allForeignForms {
			continue
		}
		t.Run(fmt.Sprintf("%d, after %v", len(one.cut), one.after), func(t *testing.T) {
			t.Parallel()
			newCutFrontSite(t, one.cut).play(one.cut, one.after)
		})
	}
}

// cutFrontSite is a site with a store and a front, front-1, that other fronts can't reach once they are cut off: front-1 is of another
// fleet, and stopped is the front whose silence they notice.
type cutFrontSite struct {
	*overlapSite
	paths   *proxy
	stopped string
}

func newCutFrontSite(t *testing.T, fronts []string) *cutFrontSite {
	p := &cutFrontSite{overlapSite: &overlapSite{platformSite: newBarePlatformSite(t)}, stopped: "front-4"}
	p.putDocument()
	p.startVersion("v1", "llm-1", "llm-2")
	p.paths = newProxy(t, p.store.address("standin"))
	other := strings.Replace(p.frontSettings("front-1"), processFleetKey, "key-of-another-fleet-00000000000000", 1)
	p.fronts["front-1"] = startProcess(t, "front-1", "runworks", "front", "--settings", p.settingsFile("front-1", other))
	all := append([]string{p.stopped}, fronts...)
	for _, name := range all {
		p.fronts[name] = startProcess(t, name, "runworks", "front", "--settings", p.settingsFile(name, p.proxiedSettings(name, p.paths, nil)))
	}
	p.waitReady("front-1", 1)
	for _, name := range all {
		p.waitReady(name, len(all))
	}
	return p
}

func (p *cutFrontSite) play(fronts []string, after time.Duration) {
	p.startUnlisted("v2", "llm-3", "llm-4")
	p.paths.set(proxyBlocksBoth)
	p.fronts[p.stopped].signal(syscall.SIGSTOP)
	cut := time.Now()
	p.listStarted("v2", "llm-3", "llm-4")
	const streams = 16
	lines := p.beginLines(streams)
	p.wait(after - time.Since(cut))
	p.resumeLines(lines, fronts[0], func() {})
	p.t.Logf("cut off: %v, resumed after %v: statuses %v", fronts, after, p.checkLines(lines))
}

// TestPlatformStreamsAreRefusedWithoutStore guards against streams of a service of one version that are refused because the front
// which began them was killed, and the store does not respond: nothing says that this front is cut off.
func TestPlatformStreamsAreRefusedWithoutStore(t *testing.T) {
	for _, one := range []struct {
		fronts int
		after  time.Duration
	}{{2, 100 * time.Millisecond}, {3, 100 * time.Millisecond}, {3, 4 * time.Second}} {
		t.Run(fmt.Sprintf("%d fronts, after %v", one.fronts, one.after), func(t *testing.T) {
			t.Parallel()
			p := newOverlapSite(t, overlapForm{fronts: one.fronts})
			lines := p.beginLines(16)
			p.store.signal(syscall.SIGSTOP)
			p.wait(one.after)
			p.fronts["front-1"].signal(syscall.SIGKILL)
			p.fronts["front-1"].waitExit()
			p.wait(100 * time.Millisecond)
			p.resumeLines(lines, "front-2", func() {})
			for _, line := range lines {
				if !line.whole || line.problem != nil {
					last := line.attempts[len(line.attempts)-1]
					t.Errorf("%s: status %d, %v, %+v", last.id, last.status, last.err, line.problem)
				}
			}
		})
	}
}

// TestPlatformStoppedFrontRefusesWithoutStore guards against streams that a front refuses after a stop while the store does not respond,
// though all other fronts say what they know.
func TestPlatformStoppedFrontRefusesWithoutStore(t *testing.T) {
	p := newOverlapSite(t, overlapForm{fronts: 3})
	const streams = 16
	lines := p.beginLines(streams)
	p.store.signal(syscall.SIGSTOP)
	p.wait(overlapFreeze)
	p.fronts["front-2"].signal(syscall.SIGSTOP)
	p.resumeLines(lines, "front-2", func() {
		p.wait(overlapFreeze / 2)
		p.fronts["front-2"].signal(syscall.SIGCONT)
	})
	whole := 0
	for _, line := range lines {
		if line.problem != nil {
			t.Errorf("%s: %s", line.first, line.problem.text)
		}
		if line.whole {
			whole++
		}
	}
	t.Logf("%d of %d streams go on", whole, streams)
	if whole < streams/2 {
		t.Error("too many streams were refused")
	}
}

// listStarted lists servers that run, and waits until a front knows them.
func (p *overlapSite) listStarted(version string, names ...string) {
	for _, name := range names {
		p.listVersion(name, version)
		p.waitListed(name)
	}
}

// beginLines begins streams at front-1, each of which its caller leaves after two events.
func (p *overlapSite) beginLines(streams int) []*orderStream {
	lines := make([]*orderStream, streams)
	var wg sync.WaitGroup
	for i := range lines {
		wg.Go(func() {
			lines[i] = &orderStream{}
			c := p.attempt(i, 0, "front-1", lines[i])
			c.leaveAfter = 2
			c.send(&foreignCaller{})
			lines[i].problem = lines[i].add(c)
		})
	}
	wg.Wait()
	return lines
}

// resumeLines has callers take the streams up at a front, and calls meanwhile once their calls wait there.
func (p *overlapSite) resumeLines(lines []*orderStream, front string, meanwhile func()) {
	var wg sync.WaitGroup
	for i := range lines {
		wg.Go(func() {
			c := p.attempt(i, 1, front, lines[i])
			c.send(&foreignCaller{})
			lines[i].problem = lines[i].add(c)
		})
	}
	p.wait(100 * time.Millisecond)
	meanwhile()
	wg.Wait()
}

// checkLines checks streams that began at two versions, and returns the statuses of their last attempts.
func (p *overlapSite) checkLines(lines []*orderStream) map[int]int {
	began, statuses := map[string]int{}, map[int]int{}
	for _, line := range lines {
		last := line.attempts[len(line.attempts)-1]
		statuses[last.status]++
		if line.problem != nil {
			p.t.Errorf("%s: %s", last.id, line.problem.text)
		}
		began[line.version]++
	}
	if began["v1"] == 0 || began["v2"] == 0 {
		p.t.Errorf("the streams began at %v", began)
	}
	return statuses
}

// attempt returns an attempt of a stream at a front, which continues what a line has.
func (p *overlapSite) attempt(i, try int, front string, line *orderStream) *soakCall {
	c := &soakCall{events: foreignEvents, repeatable: true, timeout: foreignTimeout, front: front, address: p.fronts[front].address("callers")}
	c.platformCall = platformCall{id: fmt.Sprintf("w%d-%d", i, try), method: http.MethodPost, key: "yard-key", body: []byte("x")}
	c.target = fmt.Sprintf("/chat/long/%d?events=%d&origin", i, foreignEvents)
	if line.last > 0 {
		c.header = http.Header{"Last-Event-Id": {fmt.Sprint(line.last)}, "Resumes": {line.first}}
	}
	return c
}
