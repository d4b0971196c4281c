package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// garbledFor is for how long one engine of each service spoils one in garbledEvery of its answers, from the
	// garbledFirst on.
	garbledFor   = 5500 * time.Millisecond
	garbledEvery = 50
	garbledFirst = 10
	// garbageRate is the rate of a spoiled answer in bytes a second, below a front's link of 1,000 Mbit/s.
	garbageRate  = 100 << 20
	garbageChunk = 64 << 10
	// gateCallers is the number of callers of each front, and gateThink the time between two calls of one.
	gateCallers = 20
	gateThink   = 60 * time.Millisecond
	gateTimeout = time.Second
	gateBytes   = 600
	// dossierCallers is the number of callers of each front that request streams of dossierEvents events, of
	// which the first takes dossierFirst: a long prompt, 18,300 tokens at 32.4 a millisecond.
	dossierCallers = 7
	dossierEvents  = 5
	dossierFirst   = 565 * time.Millisecond
	dossierGap     = 50 * time.Millisecond
	dossierTimeout = 8 * time.Second
	// memoryCheck is the interval at which the platform checks the memory of processes, and restartAfter
	// the delay of a restart.
	memoryCheck  = 5 * time.Millisecond
	restartAfter = 300 * time.Millisecond
	// allowedLost is the number of requests that may be lost by the rule.
	allowedLost = 3
)

// gateCase is the play of playGarbage.
type gateCase struct {
	*site
	engines []*engine
	begin   time.Time
	done    chan struct{}
	work    sync.WaitGroup

	mu                          sync.Mutex
	sent, answered, lost, ended int
}

// playGarbage plays an engine of which some answers are bytes that form no answer, without a line end. The
// front keeps them all in memory while it searches for the end of the status line; the platform kills a
// process over its memory.
func playGarbage(s *site) (bool, error) {
	c := &gateCase{site: s, done: make(chan struct{})}
	for i := range 3 {
		app := &engine{site: s, id: fmt.Sprintf("app-%d", i+1), version: "v1", work: 30 * time.Millisecond}
		llm := &engine{site: s, id: fmt.Sprintf("llm-%d", i+1), version: "v1", first: dossierFirst, gap: dossierGap}
		if i == 0 && s.trouble {
			app.spoil, app.spoils = c.sendGarbage, c.isSpoiled
			llm.spoil, llm.spoils = c.sendGarbage, c.isSpoiled
		}
		if err := c.add(app, "yard-app", 6); err != nil {
			return false, err
		}
		if err := c.add(llm, "yard-llm", 7); err != nil {
			return false, err
		}
	}
	if err := s.startFronts("front-1", "front-2"); err != nil {
		return false, err
	}
	c.begin = time.Now()
	for _, f := range s.fronts {
		c.work.Go(func() { c.watchMemory(f) })
		for i := range gateCallers {
			c.work.Go(func() { c.call(f, fmt.Sprintf("%s-gate-%d", f.name, i), "/gate/", gateTimeout) })
		}
		for i := range dossierCallers {
			path := fmt.Sprintf("/chat/?events=%d", dossierEvents)
			c.work.Go(func() { c.call(f, fmt.Sprintf("%s-dossier-%d", f.name, i), path, dossierTimeout) })
		}
	}
	time.Sleep(garbledFor + time.Second)
	close(c.done)
	c.work.Wait()
	s.note("sent %d, answered %d, lost %d, processes ended %d", c.sent, c.answered, c.lost, c.ended)
	fmt.Printf("sent %d, answered %d, lost %d, processes ended %d\n", c.sent, c.answered, c.lost, c.ended)
	return c.lost > allowedLost, nil
}

// isSpoiled reports whether an engine spoils its n-th answer.
func (c *gateCase) isSpoiled(n int) bool {
	return n%garbledEvery == garbledFirst && time.Since(c.begin) < garbledFor
}

// add starts an engine and writes its entry.
func (c *gateCase) add(e *engine, service string, slots int) error {
	if err := e.start(); err != nil {
		return err
	}
	c.engines = append(c.engines, e)
	return c.list(e.id, service, e.address, e.version, slots)
}

// sendGarbage sends bytes that form no answer until the front closes the channel, or the disruption is over.
func (c *gateCase) sendGarbage(conn net.Conn) {
	chunk := bytes.Repeat([]byte("0"), garbageChunk)
	began, sent := time.Now(), 0
	for time.Since(c.begin) < garbledFor {
		n, err := conn.Write(chunk)
		if sent += n; err != nil {
			break
		}
		time.Sleep(time.Duration(float64(sent)/garbageRate*float64(time.Second)) - time.Since(began))
	}
	c.note("spoiled answer of %d bytes in %d ms", sent, time.Since(began).Milliseconds())
}

// watchMemory kills a front over its memory, and starts it again after a short delay.
func (c *gateCase) watchMemory(f *front) {
	peak := 0.0
	defer func() { c.note("%s: peak of %.0f MB", f.name, peak) }()
	for !c.over() {
		time.Sleep(memoryCheck)
		p := f.process()
		used := p.residentMB()
		peak = max(peak, used)
		if used <= memoryMB && !p.ended() {
			continue
		}
		p.kill()
		c.mu.Lock()
		c.ended++
		c.mu.Unlock()
		c.note("%s has ended: %.0f MB of %d", f.name, used, memoryMB)
		time.Sleep(restartAfter)
		if err := f.start(); err != nil {
			c.note("%s: %v", f.name, err)
			return
		}
	}
}

func (c *gateCase) over() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// call sends requests on a kept channel, and opens a new one when it was closed.
func (c *gateCase) call(f *front, name, path string, timeout time.Duration) {
	var ch *channel
	for n := 0; !c.over(); n++ {
		time.Sleep(gateThink)
		if ch == nil {
			var err error
			if ch, err = open(f.listen); err != nil {
				ch = nil
				continue
			}
		}
		one := &call{id: fmt.Sprintf("%s-%d", name, n), method: "POST", path: path, timeout: timeout, body: strings.Repeat("b", gateBytes)}
		kept := ch.served > 0
		a := ch.do(one, nil)
		c.judge(one, kept, &a)
		if !a.complete || a.closes {
			ch.close()
			ch = nil
		}
	}
	if ch != nil {
		ch.close()
	}
}

// judge counts a request that a front took from a kept channel and passed on to a sound engine, and whose
// channel it closed with no answer.
func (c *gateCase) judge(one *call, kept bool, a *answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	by, sound := "", false
	for _, e := range c.engines {
		if e.ran(one.id) {
			by, sound = by+" "+e.id, e.spoils == nil
		}
	}
	c.note("%s: %s; kept channel: %v, run by:%s", one.id, a.text(), kept, by)
	if a.complete {
		c.answered++
		return
	}
	if kept && sound && a.status == 0 && !errors.Is(a.err, os.ErrDeadlineExceeded) {
		c.lost++
	}
}
