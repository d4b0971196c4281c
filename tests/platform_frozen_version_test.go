package tests

import (
	"fmt"
	"net/http"
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
			for _, name := range []string{"llm-3", "llm-4"} {
				p.listVersion(name, "v2")
				p.waitListed(name)
			}
			const streams = 16
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
			if one.killed {
				p.fronts["front-1"].signal(syscall.SIGKILL)
			}
			p.wait(one.lasts - time.Since(frozen))
			for i := range lines {
				wg.Go(func() {
					c := p.attempt(i, 1, "front-2", lines[i])
					c.send(&foreignCaller{})
					lines[i].problem = lines[i].add(c)
				})
			}
			p.wait(100 * time.Millisecond) // the calls are in the front's queue
			p.fronts["front-2"].signal(syscall.SIGCONT)
			wg.Wait()
			began, kinds, statuses := map[string]int{}, map[orderKind]int{}, map[int]int{}
			for _, line := range lines {
				last := line.attempts[len(line.attempts)-1]
				statuses[last.status]++
				if line.problem != nil {
					kinds[line.problem.kind]++
					t.Errorf("%s: %s", last.id, line.problem.text)
				}
				began[line.version]++
			}
			if began["v2"] == 0 || statuses[http.StatusOK] < streams/2 {
				t.Error("no stream of the new version, or too many were refused")
			}
			t.Logf("%s, %v: versions %v, problems %v, statuses %v", one.name, time.Since(frozen), began, kinds, statuses)
		})
	}
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
