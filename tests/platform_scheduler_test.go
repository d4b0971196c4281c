package tests

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// scheduler returns the scheduler of the engine service llm as a front chose it, or "".
func (p *platformSite) scheduler(front string) string {
	var status struct {
		Schedulers map[string]string `json:"schedulers"`
	}
	getJSON("http://"+p.fronts[front].address("operators")+"/status", &status)
	if len(status.Schedulers) > 1 {
		p.t.Errorf("schedulers of more than the engine service: %v", status.Schedulers)
	}
	return status.Schedulers["llm"]
}

// chat sends a call of the engine service to a front and checks that it is answered.
func (p *platformSite) chat(front, id string) {
	res, data, err := p.do(front, platformCall{id: id, method: http.MethodPost, target: "/chat/1?events=7", key: "yard-key"})
	switch {
	case err != nil:
		p.t.Errorf("%s: %v", id, err)
	case res.StatusCode != http.StatusOK || strings.Count(string(data), "\n\n") != 7:
		p.t.Errorf("%s: %s, body %q", id, res.Status, data)
	}
}

// TestPlatformScheduler guards against calls that fail when the front that schedules their service is
// killed, or stops as planned: those of the other fronts are answered, and the next front schedules.
func TestPlatformScheduler(t *testing.T) {
	is := is.New(t)
	names := []string{"front-1", "front-2", "front-3"}
	p := newBarePlatformSite(t)
	p.extraSettings = "shared_scheduling: true\n"
	p.putDocument()
	for _, name := range []string{"app-1", "llm-1", "llm-2"} {
		p.addServer(name)
	}
	for _, name := range names {
		p.startFront(name)
	}
	for _, name := range names {
		p.waitReady(name, len(names))
	}
	for i, name := range names {
		p.chat(name, fmt.Sprint("first-", i))
		p.checkCall(t, i) // of the plain service
	}
	first := p.scheduler(names[0])
	var others []string
	for _, name := range names {
		is.Equal(p.scheduler(name), first)
		if name != first {
			others = append(others, name)
		}
	}
	is.Equal(len(others), 2)
	load := p.startChats(others)
	p.waitFor("calls before the kill", func() bool { return load.sent.Load() > 50 })
	p.killFronts([]string{first})
	before := load.sent.Load()
	p.waitFor("calls after the kill", func() bool { return load.sent.Load() > before+200 })
	load.stop()
	second := p.scheduler(others[0])
	is.True(second == others[0] || second == others[1])
	is.Equal(p.scheduler(others[1]), second)
	for _, name := range others {
		if name != second {
			p.checkScheduled(name)
			load = p.startChats([]string{name})
			p.fronts[second].signal(syscall.SIGTERM)
			p.waitFor("the next front schedules", func() bool { return p.scheduler(name) == name })
			p.fronts[second].waitExit()
			load.stop()
		}
	}
}

// chats are callers that send one call after the other.
type chats struct {
	work     sync.WaitGroup
	sent     atomic.Int64
	stopping atomic.Bool
}

// startChats starts callers at the fronts; each call must be answered.
func (p *platformSite) startChats(fronts []string) *chats {
	c := &chats{}
	for i := range 8 {
		c.work.Go(func() {
			for n := 0; !c.stopping.Load(); n++ {
				front := fronts[i%len(fronts)]
				p.chat(front, fmt.Sprintf("%s-%d-%d-%d", front, len(fronts), i, n))
				c.sent.Add(1)
			}
		})
	}
	return c
}

// stop waits until the callers have their last answers.
func (c *chats) stop() {
	c.stopping.Store(true)
	c.work.Wait()
}

// checkScheduled checks the metrics of a front whose calls another one scheduled.
func (p *platformSite) checkScheduled(front string) {
	is := is.New(p.t)
	res, err := http.Get("http://" + p.fronts[front].address("operators") + "/metrics")
	is.NoErr(err)
	text, err := io.ReadAll(res.Body)
	is.NoErr(err)
	_ = res.Body.Close()
	for _, metric := range []string{`runworks_scheduled_total{result="granted"}`, "runworks_schedule_seconds_count", "runworks_grants"} {
		is.True(strings.Contains(string(text), "\n"+metric+" "))
	}
}
